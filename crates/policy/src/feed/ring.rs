//! The latest updates, kept for those who follow closely.

use std::collections::VecDeque;

use crate::id::Index;

use super::{Step, Update};

/// Bytes that an update takes beyond its entries.
const UPDATE_BYTES: usize = 128;

/// Bytes that one catalogue entry takes, about.
const ENTRY_BYTES: usize = 384;

/// Bytes that one marked fingerprint takes.
const MARK_BYTES: usize = 8;

/// Updates in order, without a gap above the floor.
#[derive(Debug, Default)]
pub(super) struct Ring {
    updates: VecDeque<Update>,
    bytes: usize,
    floor: Index,
}

impl Ring {
    /// Adds the next update; the oldest give way to the bounds.
    pub(super) fn push(&mut self, update: Update, most: usize, most_bytes: usize) {
        self.bytes += approx_bytes(&update);
        self.updates.push_back(update);
        while self.updates.len() > most || self.bytes > most_bytes {
            let Some(oldest) = self.updates.pop_front() else {
                return;
            };
            self.bytes -= approx_bytes(&oldest);
            self.floor = oldest.index;
        }
    }

    /// Starts anew after a snapshot.
    pub(super) fn reset(&mut self, floor: Index) {
        self.updates.clear();
        self.bytes = 0;
        self.floor = floor;
    }

    /// Updates after an index, oldest first, up to a bound but at least one;
    /// none if some of them are no longer kept.
    pub(super) fn after(&self, index: Index, most_bytes: usize) -> Option<Vec<Update>> {
        if index < self.floor {
            return None;
        }
        let start = self.updates.partition_point(|it| it.index <= index);
        let mut bytes = 0;
        let mut chosen = Vec::new();
        for update in self.updates.range(start..) {
            bytes += approx_bytes(update);
            if bytes > most_bytes && !chosen.is_empty() {
                break;
            }
            chosen.push(update.clone());
        }
        Some(chosen)
    }

    /// Index of the newest update.
    pub(super) fn newest(&self) -> Option<Index> {
        self.updates.back().map(|it| it.index)
    }

    /// Updates kept, and about how many bytes they take.
    pub(super) fn size(&self) -> (usize, usize) {
        (self.updates.len(), self.bytes)
    }
}

fn approx_bytes(update: &Update) -> usize {
    let content = match &update.step {
        Step::Change(change) => (change.puts.len() + change.removes.len()) * ENTRY_BYTES,
        Step::Declare(declaration) => declaration.source.len(),
        Step::Crash(crate::crash::Step::Suspected(marks)) => marks.len() * MARK_BYTES,
        Step::Crash(_) => MARK_BYTES,
    };
    UPDATE_BYTES + content
}
