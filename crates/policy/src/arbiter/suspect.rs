//! Requests kept out of the main queue, so that they crash few runners.
//!
//! These are requests suspected of crashing runners, and further copies of requests
//! that have not completed yet. Suspects run alone, one per pool at a time. At most
//! two copies of a fingerprint wait or run before one completes, and one after a
//! crash, so that a request sent many times at once crashes at most two runners
//! before it is suspected, and one more when it runs alone.

use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use super::{Key, queue::Item};
use crate::{
    crash::NO_FINGERPRINT,
    id::{Fingerprint, RunnerId},
};

/// Most copies of a request that wait or run before one has completed.
const MAX_COPIES: u32 = 2;

/// The same for a request that was in flight on a crashed runner.
const MAX_EXPOSED_COPIES: u32 = 1;

/// Completed fingerprints in one generation of [`Completed`]; twice as many are
/// remembered at most.
const GENERATION: usize = 4_096;

/// The request that runs alone, or for which a runner is reserved.
#[derive(Clone, Debug)]
pub(super) struct Alone {
    pub(super) key: Key,
    pub(super) runner: RunnerId,
}

/// Requests outside the main queue.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    /// Suspected requests, which wait to run alone.
    waiting: IndexMap<Key, Item>,
    /// Copies beyond those allowed.
    parked: IndexMap<Key, Item>,
    /// Copies that wait in the main queue or run.
    copies: IndexMap<Fingerprint, u32>,
    completed: Completed,
    pub(super) alone: Option<Alone>,
}

impl Suspects {
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len() + self.parked.len()
    }

    pub(super) fn suspected(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn parked(&self) -> usize {
        self.parked.len()
    }

    pub(super) fn waiting_of(&self, account: &str) -> u32 {
        let all = self.waiting.values().chain(self.parked.values());
        let of = all.filter(|it| &*it.account == account).count();
        u32::try_from(of).unwrap_or(u32::MAX)
    }

    pub(super) fn contains(&self, key: Key) -> bool {
        self.waiting.contains_key(&key) || self.parked.contains_key(&key)
    }

    pub(super) fn get(&self, key: Key) -> Option<&Item> {
        self.waiting.get(&key)
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = Key> {
        self.waiting.keys().chain(self.parked.keys()).copied()
    }

    /// All requests here.
    pub(super) fn items(&self) -> impl Iterator<Item = &Item> {
        self.waiting.values().chain(self.parked.values())
    }

    pub(super) fn push(&mut self, item: Item) {
        self.waiting.insert(item.key, item);
    }

    pub(super) fn remove(&mut self, key: Key) -> Option<Item> {
        let item = self.waiting.shift_remove(&key);
        item.or_else(|| self.parked.shift_remove(&key))
    }

    pub(super) fn expired(&self, now: Instant) -> Vec<Key> {
        let all = self.waiting.values().chain(self.parked.values());
        let expired = all.filter(|it| it.deadline <= now);
        expired.map(|it| it.key).collect()
    }

    /// The next suspect: of the highest tier, the one that has waited longest.
    pub(super) fn next(&self) -> Option<&Item> {
        self.waiting
            .values()
            .min_by_key(|it| (it.class.tier, it.waiting_since, it.key))
    }

    /// Counts and returns a copy, or parks it if there are enough.
    pub(super) fn admit_copy(&mut self, item: Item, exposed: bool) -> Option<Item> {
        if item.fingerprint == NO_FINGERPRINT || self.completed.contains(item.fingerprint) {
            return Some(item);
        }
        let copies = self.copies.entry(item.fingerprint).or_default();
        if *copies >= max_copies(exposed) {
            self.parked.insert(item.key, item);
            return None;
        }
        *copies += 1;
        Some(item)
    }

    /// Counts a copy that already runs.
    pub(super) fn adopt_copy(&mut self, fingerprint: Fingerprint) {
        if fingerprint != NO_FINGERPRINT && !self.completed.contains(fingerprint) {
            *self.copies.entry(fingerprint).or_default() += 1;
        }
    }

    /// Ends the count of copies that are admitted anew.
    pub(super) fn remove_copies(&mut self, fingerprint: Fingerprint, count: usize) {
        if let Some(copies) = self.copies.get_mut(&fingerprint) {
            *copies = copies.saturating_sub(u32::try_from(count).unwrap_or(u32::MAX));
        }
    }

    /// Ends a copy that did not complete; returns the parked copies that replace it.
    pub(super) fn end_copy(&mut self, fingerprint: Fingerprint, exposed: bool) -> Vec<Item> {
        let Some(copies) = self.copies.get_mut(&fingerprint) else {
            return Vec::new();
        };
        *copies = copies.saturating_sub(1);
        let room = max_copies(exposed).saturating_sub(*copies);
        let next = self.take_parked(fingerprint, room as usize);
        self.add_copies(fingerprint, next.len());
        next
    }

    /// Records the completion of a copy; returns all parked ones.
    pub(super) fn on_completed(&mut self, fingerprint: Fingerprint) -> Vec<Item> {
        if fingerprint == NO_FINGERPRINT || !self.completed.insert(fingerprint) {
            return Vec::new();
        }
        self.copies.swap_remove(&fingerprint);
        self.take_parked(fingerprint, usize::MAX)
    }

    /// Records that a request was in flight at a crash, whatever it did before.
    pub(super) fn on_crash(&mut self, fingerprint: Fingerprint) {
        self.completed.remove(fingerprint);
    }

    /// Records that a request is suspected; returns its parked copies.
    pub(super) fn on_suspected(&mut self, fingerprint: Fingerprint) -> Vec<Item> {
        self.completed.remove(fingerprint);
        self.copies.swap_remove(&fingerprint);
        self.take_parked(fingerprint, usize::MAX)
    }

    /// Takes the waiting suspects of a fingerprint that was cleared or quarantined.
    pub(super) fn take_waiting(&mut self, fingerprint: Fingerprint) -> Vec<Item> {
        take(&mut self.waiting, fingerprint, usize::MAX)
    }

    /// Fingerprints of the parked copies.
    pub(super) fn parked_fingerprints(&self) -> IndexSet<Fingerprint> {
        self.parked.values().map(|it| it.fingerprint).collect()
    }

    /// Fingerprints of the waiting suspects.
    pub(super) fn fingerprints(&self) -> Vec<Fingerprint> {
        self.waiting.values().map(|it| it.fingerprint).collect()
    }

    fn take_parked(&mut self, fingerprint: Fingerprint, most: usize) -> Vec<Item> {
        take(&mut self.parked, fingerprint, most)
    }

    fn add_copies(&mut self, fingerprint: Fingerprint, count: usize) {
        let copies = self.copies.entry(fingerprint).or_default();
        *copies += u32::try_from(count).unwrap_or(u32::MAX);
        if *copies == 0 {
            self.copies.swap_remove(&fingerprint);
        }
    }
}

/// Requests that completed, the newest at least; the oldest are dropped as a whole
/// generation, in constant time.
#[derive(Debug, Default)]
struct Completed {
    newer: IndexSet<Fingerprint>,
    older: IndexSet<Fingerprint>,
}

impl Completed {
    fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.newer.contains(&fingerprint) || self.older.contains(&fingerprint)
    }

    /// False if it is among the newer ones already.
    fn insert(&mut self, fingerprint: Fingerprint) -> bool {
        if self.newer.len() >= GENERATION && !self.newer.contains(&fingerprint) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(fingerprint)
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        self.newer.swap_remove(&fingerprint);
        self.older.swap_remove(&fingerprint);
    }
}

fn max_copies(exposed: bool) -> u32 {
    if exposed {
        MAX_EXPOSED_COPIES
    } else {
        MAX_COPIES
    }
}

fn take(items: &mut IndexMap<Key, Item>, fingerprint: Fingerprint, most: usize) -> Vec<Item> {
    let matching = items.values().filter(|it| it.fingerprint == fingerprint);
    let keys: Vec<Key> = matching.map(|it| it.key).take(most).collect();
    keys.iter()
        .filter_map(|key| items.shift_remove(key))
        .collect()
}
