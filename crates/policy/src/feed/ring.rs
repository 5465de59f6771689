//! Latest updates, kept for followers that are nearly up to date.
//!
//! A declaration replaces the whole one before it, so only the newest is kept: a
//! follower that is behind by many versions gets one.

use std::collections::VecDeque;

use crate::{declaration::Declaration, id::Index};

use super::{Step, Update};

/// Size of an update beyond its entries, in bytes.
const UPDATE_BYTES: usize = 128;

/// Approximate size of one catalogue entry, in bytes.
pub(super) const ENTRY_BYTES: usize = 384;

/// Size of one marked fingerprint, in bytes.
pub(super) const MARK_BYTES: usize = 8;

/// Updates in log order; all those above `floor` are present.
#[derive(Debug, Default)]
pub(super) struct Ring {
    updates: VecDeque<Update>,
    bytes: usize,
    floor: Index,
}

impl Ring {
    /// Adds the next update and drops the oldest ones beyond the limits.
    pub(super) fn push(&mut self, update: Update, most: usize, most_bytes: usize) {
        if let Step::Declare(newer) = &update.step {
            self.drop_superseded(newer);
        }
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

    fn drop_superseded(&mut self, newer: &Declaration) {
        let superseded = |it: &Update| match &it.step {
            Step::Declare(older) => newer.supersedes(Some(&**older)),
            Step::Change(_) | Step::Crash(_) => false,
        };
        self.updates.retain(|it| !superseded(it));
        self.bytes = self.updates.iter().map(approx_bytes).sum();
    }

    /// Clears the ring after a snapshot at index `floor`.
    pub(super) fn reset(&mut self, floor: Index) {
        self.updates.clear();
        self.bytes = 0;
        self.floor = floor;
    }

    /// Updates after an index, oldest first, up to `most_bytes` but at least the first
    /// one; none if some of them are no longer kept.
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

    /// Sizes of the updates after an index, oldest first, in bytes; none if some of them
    /// are no longer kept.
    pub(super) fn sizes_after(&self, index: Index) -> Option<impl Iterator<Item = usize>> {
        let start = self.updates.partition_point(|it| it.index <= index);
        (index >= self.floor).then(|| self.updates.range(start..).map(approx_bytes))
    }

    /// Index of the newest update.
    pub(super) fn newest(&self) -> Option<Index> {
        self.updates.back().map(|it| it.index)
    }

    /// Number of kept updates, and their approximate size in bytes.
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
