//! What an attempt holds: a slot on a runner, or a place in a peer's hand.

use citron_policy::id::BuildId;

use super::hop::Hop;
use crate::slots::{Sample, Slot};

/// Held until the attempt ends.
#[derive(Debug)]
pub(super) enum Lease {
    Slot(Slot),
    /// The peer holds the slot, and reports on it.
    Hop(Hop),
}

impl Lease {
    pub(super) fn slot(&self) -> Option<&Slot> {
        match self {
            Self::Slot(slot) => Some(slot),
            Self::Hop(_) => None,
        }
    }

    /// Version of the runner's software, if it is known here.
    pub(super) fn build(&self) -> Option<BuildId> {
        self.slot().map(|it| it.build.clone())
    }

    pub(super) fn record_start(&self) {
        if let Some(slot) = self.slot() {
            slot.record_start();
        }
    }

    pub(super) fn record_tokens(&self, tokens: u32) {
        if let Some(slot) = self.slot() {
            slot.record_tokens(tokens);
        }
    }

    pub(super) fn release(self, sample: Sample) {
        match self {
            Self::Slot(slot) => slot.release(sample),
            Self::Hop(hop) => drop(hop),
        }
    }
}
