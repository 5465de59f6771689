//! The log entries held in memory and the voter sets that they contain.
//!
//! Some entries that the snapshot covers are retained, so that a slow replica
//! can be sent entries and not the whole state.

use std::{collections::VecDeque, sync::Arc};

use crate::id::{Index, Term};

use super::{
    Entry, Payload, Snapshot, Voters,
    message::{Append, LogPosition},
};

/// Entries from `base + 1` on.
#[derive(Debug)]
pub(super) struct Log {
    base: LogPosition,
    entries: VecDeque<Arc<Entry>>,
    bytes: usize,
    /// Voters that apply from each index on, ascending; never empty.
    voters: Vec<(Index, Voters)>,
}

impl Log {
    /// Restores the log from durable state.
    pub(super) fn new(
        initial_voters: Voters,
        snapshot: Option<&Snapshot>,
        entries: Vec<Arc<Entry>>,
    ) -> Self {
        let mut log = Self::empty(initial_voters, snapshot);
        for entry in entries {
            let end = log.end();
            assert!(
                entry.index == end.index + 1 && entry.term >= end.term,
                "entry {} does not follow entry {}",
                entry.index,
                end.index
            );
            log.push(entry);
        }
        log
    }

    fn empty(initial_voters: Voters, snapshot: Option<&Snapshot>) -> Self {
        let (base, voters) = match snapshot {
            Some(it) => (
                LogPosition {
                    term: it.term,
                    index: it.index,
                },
                it.voters.clone(),
            ),
            None => (LogPosition { term: 0, index: 0 }, initial_voters),
        };
        Self {
            base,
            entries: VecDeque::new(),
            bytes: 0,
            voters: vec![(base.index, voters)],
        }
    }

    /// Position of the last entry.
    pub(super) fn end(&self) -> LogPosition {
        self.entries.back().map_or(self.base, |it| LogPosition {
            term: it.term,
            index: it.index,
        })
    }

    pub(super) fn last(&self) -> Index {
        self.end().index
    }

    /// Index before the first entry held.
    pub(super) fn base(&self) -> Index {
        self.base.index
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Term of the entry at an index, if it is held.
    pub(super) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|it| it.term)
    }

    fn get(&self, index: Index) -> Option<&Arc<Entry>> {
        let place = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// Entries from `first` to `last`, both included.
    pub(super) fn range(&self, first: Index, last: Index) -> Vec<Arc<Entry>> {
        (first..=last)
            .filter_map(|index| self.get(index))
            .map(Arc::clone)
            .collect()
    }

    /// Entries from `first` on, up to `max_bytes` but at least one.
    pub(super) fn batch(&self, first: Index, max_bytes: usize) -> Vec<Arc<Entry>> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        for index in first..=self.last() {
            let Some(entry) = self.get(index) else { break };
            bytes += entry.bytes();
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(Arc::clone(entry));
        }
        batch
    }

    /// Estimated bytes of the entries after an index.
    pub(super) fn bytes_after(&self, index: Index) -> usize {
        let held = self.entries.iter().rev();
        held.take_while(|it| it.index > index)
            .map(|it| it.bytes())
            .sum()
    }

    /// Whether this log matches the leader's at the entry before an append.
    ///
    /// Entries before those held are committed, so they match.
    pub(super) fn matches_prev(&self, append: &Append) -> bool {
        append.prev_index < self.base.index
            || self.term(append.prev_index) == Some(append.prev_term)
    }

    /// Index at which the leader should probe next after a mismatch.
    pub(super) fn conflict_hint(&self, append: &Append) -> Index {
        let mut hint = append.prev_index.saturating_sub(1).min(self.last());
        while hint > self.base.index && self.term(hint).is_some_and(|it| it > append.prev_term) {
            hint -= 1;
        }
        hint
    }

    /// Appends the new entries and returns them; a conflicting tail is truncated first.
    pub(super) fn merge(&mut self, commit: Index, entries: &[Arc<Entry>]) -> Vec<Arc<Entry>> {
        let known = entries
            .iter()
            .take_while(|it| it.index <= self.base.index || self.term(it.index) == Some(it.term))
            .count();
        let fresh = entries.get(known..).unwrap_or_default();
        let Some(first) = fresh.first() else {
            return Vec::new();
        };
        assert!(
            first.index > commit,
            "committed entry {} would be replaced",
            first.index
        );
        self.truncate(first.index);
        for entry in fresh {
            self.push(Arc::clone(entry));
        }
        fresh.to_vec()
    }

    pub(super) fn push(&mut self, entry: Arc<Entry>) {
        if let Payload::Voters(voters) = &entry.payload {
            self.voters.push((entry.index, voters.clone()));
        }
        self.bytes += entry.bytes();
        self.entries.push_back(entry);
    }

    fn truncate(&mut self, from: Index) {
        while self.entries.back().is_some_and(|it| it.index >= from) {
            if let Some(entry) = self.entries.pop_back() {
                self.bytes -= entry.bytes();
            }
        }
        self.voters
            .retain(|(index, _)| *index < from || *index <= self.base.index);
    }

    /// Drops the oldest entries up to `index` until at most `retained_bytes` of them are held.
    pub(super) fn shrink(&mut self, index: Index, retained_bytes: usize) {
        let after = self.bytes_after(index);
        while self.bytes - after > retained_bytes {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= entry.bytes();
            self.base = LogPosition {
                term: entry.term,
                index: entry.index,
            };
        }
        let base = self.base.index;
        let superseded = self.voters.partition_point(|(from, _)| *from <= base);
        self.voters.drain(..superseded.saturating_sub(1));
    }

    /// The latest voters, committed or not.
    pub(super) fn voters(&self) -> &Voters {
        &self.voters[self.voters.len() - 1].1
    }

    /// Index of the entry that set the latest voters.
    pub(super) fn voters_index(&self) -> Index {
        self.voters[self.voters.len() - 1].0
    }

    /// The voters that applied at an index.
    pub(super) fn voters_at(&self, index: Index) -> &Voters {
        let after = self.voters.partition_point(|(from, _)| *from <= index);
        &self.voters[after.saturating_sub(1)].1
    }

    /// Sets the voters that apply before the first entry.
    pub(super) fn set_initial_voters(&mut self, voters: Voters) {
        if self.base.index == 0
            && let Some(first) = self.voters.first_mut()
            && first.0 == 0
        {
            first.1 = voters;
        }
    }
}
