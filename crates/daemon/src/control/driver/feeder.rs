//! Passes committed updates on to this daemon's own view.

use std::{sync::Arc, time::Instant};

use citron_policy::{
    feed::{Local, Update},
    id::Index,
    state::Machine,
};
use tokio::sync::mpsc;

use super::Metrics;

/// Sends committed updates; a view that falls behind gets a snapshot instead.
pub(super) struct Feeder {
    feed: mpsc::Sender<Local>,
    metrics: Metrics,
    /// Whether the view has missed updates and must get a snapshot first.
    needs_snapshot: bool,
}

impl Feeder {
    pub(super) fn new(feed: mpsc::Sender<Local>, metrics: Metrics) -> Self {
        Self {
            feed,
            metrics,
            needs_snapshot: true,
        }
    }

    /// Records that the view has missed updates.
    pub(super) fn require_snapshot(&mut self) {
        self.needs_snapshot = true;
    }

    pub(super) fn update(&mut self, update: Update) {
        if !self.needs_snapshot && self.feed.try_send(Local::Update(update)).is_err() {
            self.metrics.feed_gaps.inc();
            log::warn!("CP0409 this daemon's view fell behind and will get a snapshot");
            self.needs_snapshot = true;
        }
    }

    /// Sends that a quorum confirmed the state; if the queue is full, the next round does.
    pub(super) fn proved(&mut self, index: Index, at: Instant) {
        if !self.needs_snapshot {
            drop(self.feed.try_send(Local::Proved { index, at }));
        }
    }

    /// Sends a snapshot if the view has missed updates.
    pub(super) fn flush(&mut self, machine: &Machine) {
        if !self.needs_snapshot {
            return;
        }
        let snapshot = Local::Snapshot {
            index: machine.index(),
            catalogue: Arc::clone(machine.catalogue()),
            declaration: machine.declaration().cloned(),
            marks: Arc::clone(machine.marks()),
        };
        self.needs_snapshot = self.feed.try_send(snapshot).is_err();
    }
}
