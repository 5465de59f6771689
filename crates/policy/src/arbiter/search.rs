//! Asks all daemons for the builds of streams that the arbiter has no record of.
//!
//! Load pattern: callers take up streams at an arbiter that stood still, was cut off or
//! has just started, while other daemons know which build began them. That no record is
//! here says nothing about a stream, so its request waits for what the daemons answer,
//! a short time at most.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::{Effect, Key, Reply, queue::Item};
use crate::id::{InstanceId, StreamId};

/// Number of a search, unique at its arbiter.
pub type Number = u64;

/// Longest wait for the answers. A request that is refused then still has time to start
/// anew.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Time between two searches; streams that come in between are searched for together.
const INTERVAL: Duration = Duration::from_millis(50);

/// Streams that all daemons are asked for.
#[derive(Debug)]
struct Search {
    streams: IndexSet<StreamId>,
    /// Daemons that have not answered yet.
    missing: IndexSet<InstanceId>,
    until: Instant,
}

/// Searches under way, and the requests that wait for them.
#[derive(Debug, Default)]
pub(super) struct Searches {
    live: IndexSet<InstanceId>,
    waiting: IndexMap<Key, Item>,
    /// Streams for the next search.
    next: IndexSet<StreamId>,
    open: IndexMap<Number, Search>,
    last_number: Number,
    last_begun: Option<Instant>,
}

impl Searches {
    pub(super) fn new(live: IndexSet<InstanceId>) -> Self {
        Self {
            live,
            ..Self::default()
        }
    }

    /// The daemons to ask.
    pub(super) fn live(&self) -> &IndexSet<InstanceId> {
        &self.live
    }

    /// Sets the daemons to ask; nobody waits for the others any more.
    pub(super) fn on_live(&mut self, live: &IndexSet<InstanceId>) {
        self.live.clone_from(live);
        for search in self.open.values_mut() {
            search.missing.retain(|it| live.contains(it));
        }
    }

    /// Keeps a request until the build of its stream is known, or nobody knows it.
    pub(super) fn push(&mut self, item: Item) {
        if let Some(stream) = &item.stream {
            self.next.insert(stream.id);
        }
        self.waiting.insert(item.key, item);
    }

    pub(super) fn remove(&mut self, key: Key) -> Option<Item> {
        self.waiting.shift_remove(&key)
    }

    pub(super) fn contains(&self, key: Key) -> bool {
        self.waiting.contains_key(&key)
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn items(&self) -> impl Iterator<Item = &Item> {
        self.waiting.values()
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = Key> {
        self.waiting.keys().copied()
    }

    /// Starts a search for the streams that are not searched for yet.
    pub(super) fn begin(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let is_early = |at: Instant| now.saturating_duration_since(at) < INTERVAL;
        if self.next.is_empty() || self.last_begun.is_some_and(is_early) {
            return;
        }
        self.last_begun = Some(now);
        self.last_number += 1;
        let search = Search {
            streams: std::mem::take(&mut self.next),
            missing: self.live.clone(),
            until: now + MAX_WAIT,
        };
        for daemon in &search.missing {
            let find = Reply::FindStreams {
                search: self.last_number,
                streams: search.streams.iter().copied().collect(),
            };
            effects.push(Effect::Send(daemon.clone(), find));
        }
        self.open.insert(self.last_number, search);
    }

    /// Records that a daemon has told what it knows of the streams of a search.
    pub(super) fn on_found(&mut self, from: &InstanceId, number: Number) {
        if let Some(search) = self.open.get_mut(&number) {
            search.missing.swap_remove(from);
        }
    }

    /// Records that a daemon has told all that it knows.
    pub(super) fn on_told(&mut self, from: &InstanceId) {
        for search in self.open.values_mut() {
            search.missing.swap_remove(from);
        }
    }

    /// Ends the searches that all daemons have answered, or that take too long.
    pub(super) fn end(&mut self, now: Instant) {
        self.open
            .retain(|_, it| !it.missing.is_empty() && now < it.until);
    }

    /// Whether daemons may still tell what they know of a stream.
    pub(super) fn is_open(&self, stream: StreamId) -> bool {
        let mut open = self.open.values();
        self.next.contains(&stream) || open.any(|it| it.streams.contains(&stream))
    }
}
