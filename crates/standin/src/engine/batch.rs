//! The engine's batch: who runs, and who waits for a place.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
};

use tokio::sync::oneshot;

/// Places in the batch, given to the best tier first.
#[derive(Debug)]
pub(super) struct Batch {
    slots: u32,
    running: Cell<u32>,
    waiting: RefCell<BTreeMap<(u8, u64), oneshot::Sender<()>>>,
    next: Cell<u64>,
}

/// A place that is given back when dropped.
#[derive(Debug)]
pub(super) struct Permit<'a> {
    batch: &'a Batch,
}

/// A place in the queue, left when dropped.
struct Waiter<'a> {
    batch: &'a Batch,
    key: (u8, u64),
    slot: oneshot::Receiver<()>,
}

impl Batch {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            running: Cell::new(0),
            waiting: RefCell::default(),
            next: Cell::new(0),
        }
    }

    pub(super) fn running(&self) -> u32 {
        self.running.get()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Waits for a place and takes it.
    pub(super) async fn acquire(&self, tier: u8) -> Permit<'_> {
        if self.running.get() < self.slots {
            self.running.set(self.running.get() + 1);
            return Permit { batch: self };
        }
        let (sender, slot) = oneshot::channel();
        let key = (tier, self.next.get());
        self.next.set(key.1 + 1);
        self.waiting.borrow_mut().insert(key, sender);
        let mut waiter = Waiter {
            batch: self,
            key,
            slot,
        };
        // The sender stays in the queue until it is used, so this never fails.
        drop((&mut waiter.slot).await);
        Permit { batch: self }
    }

    fn pop_waiter(&self) -> Option<((u8, u64), oneshot::Sender<()>)> {
        self.waiting.borrow_mut().pop_first()
    }

    /// Hands a freed place to the next that still waits.
    fn release(&self) {
        while let Some((_, sender)) = self.pop_waiter() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        self.running.set(self.running.get() - 1);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.batch.release();
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.batch.waiting.borrow_mut().remove(&self.key);
        // The place was given in the same moment as its waiter left.
        if self.slot.try_recv().is_ok() {
            self.batch.release();
        }
    }
}
