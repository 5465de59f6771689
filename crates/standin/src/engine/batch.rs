//! The engine's batch: a semaphore with a priority queue.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
};

use tokio::sync::oneshot;

/// Slots of the batch, granted to the best (lowest) tier first, then by arrival.
#[derive(Debug)]
pub(super) struct Batch {
    slots: u32,
    running: Cell<u32>,
    waiting: RefCell<BTreeMap<(u8, u64), oneshot::Sender<()>>>,
    next: Cell<u64>,
}

/// An occupied slot, released on drop.
#[derive(Debug)]
pub(super) struct Permit<'a> {
    batch: &'a Batch,
}

/// A queue entry, removed on drop.
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

    /// Waits for a slot and occupies it.
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

    /// Passes a freed slot to the next request that is still waiting.
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
        // The slot was granted, but the waiter was dropped before taking it.
        if self.slot.try_recv().is_ok() {
            self.batch.release();
        }
    }
}
