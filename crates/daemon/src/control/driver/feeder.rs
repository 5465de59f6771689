//! What is committed, for this daemon's own view.

use std::{sync::Arc, time::Instant};

use citron_policy::{
    feed::{Local, Update},
    id::Index,
    state::Machine,
};
use tokio::sync::mpsc;

use super::Metrics;

/// Sends what is committed; a view that falls behind gets the whole state.
pub(super) struct Feeder {
    feed: mpsc::Sender<Local>,
    metrics: Metrics,
    /// Whether the view lacks something and must get a snapshot first.
    lags: bool,
}

impl Feeder {
    pub(super) fn new(feed: mpsc::Sender<Local>, metrics: Metrics) -> Self {
        Self {
            feed,
            metrics,
            lags: true,
        }
    }

    /// Notes that the view lacks something.
    pub(super) fn lag(&mut self) {
        self.lags = true;
    }

    pub(super) fn update(&mut self, update: Update) {
        if !self.lags && self.feed.try_send(Local::Update(update)).is_err() {
            self.metrics.feed_gaps.inc();
            log::warn!("CP0409 this daemon's view fell behind and gets a snapshot");
            self.lags = true;
        }
    }

    /// Tells that a quorum confirmed the state; the next round makes up for a loss.
    pub(super) fn proved(&mut self, index: Index, at: Instant) {
        if !self.lags {
            drop(self.feed.try_send(Local::Proved { index, at }));
        }
    }

    /// Sends the whole state if the view lacks something.
    pub(super) fn flush(&mut self, machine: &Machine) {
        if !self.lags {
            return;
        }
        let snapshot = Local::Snapshot {
            index: machine.index(),
            catalogue: Arc::clone(machine.catalogue()),
            declaration: machine.declaration().cloned(),
            marks: Arc::clone(machine.marks()),
        };
        self.lags = self.feed.try_send(snapshot).is_err();
    }
}
