//! Asks all daemons for the builds of streams that the arbiter has no record of.
//!
//! Load pattern: callers take up streams at an arbiter that stood still, was cut off or
//! has just started, while other daemons know which build began them. That no record is
//! here says nothing about a stream, so its request waits for what the daemons answer,
//! a short time at most. After a mass loss thousands of streams wait at once, so answers
//! touch only the requests that they are about.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use super::{Effect, Key, Reply, queue::Item};
use crate::{
    id::{InstanceId, StreamId},
    stream::NO_STREAM,
};

/// Number of a search, unique at its arbiter.
pub type Number = u64;

/// Longest wait for the answers. A request that is refused then still has time to start
/// anew.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Ticks that a search lasts at least: after a pause of this process its answers are read
/// before the second one.
const MIN_TICKS: u32 = 2;

/// Time between two searches of a small fleet; streams that come in between are searched
/// for together.
const INTERVAL: Duration = Duration::from_millis(50);

/// Daemons for each of which the time between two searches grows by [`INTERVAL`], so that
/// searches do not grow with the square of the fleet.
const SMALL_FLEET: usize = 64;

/// Most requests that wait for searches.
const MAX_WAITING: usize = 4_096;

/// Streams that all daemons are asked for.
#[derive(Debug)]
struct Search {
    streams: IndexSet<StreamId>,
    /// Daemons that have not answered yet.
    missing: IndexSet<InstanceId>,
    until: Instant,
    ticks: u32,
}

impl Search {
    fn is_over(&self, now: Instant) -> bool {
        self.missing.is_empty() || (now >= self.until && self.ticks >= MIN_TICKS)
    }
}

/// Searches under way, and the requests that wait for them.
#[derive(Debug, Default)]
pub(super) struct Searches {
    live: IndexSet<InstanceId>,
    waiting: IndexMap<Key, Item>,
    by_stream: IndexMap<StreamId, IndexSet<Key>>,
    by_account: IndexMap<Arc<str>, u32>,
    /// Streams for the next search.
    next: IndexSet<StreamId>,
    open: IndexMap<Number, Search>,
    /// Streams that something was told of, or whose search is over.
    due: IndexSet<StreamId>,
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

    pub(super) fn on_tick(&mut self) {
        for search in self.open.values_mut() {
            search.ticks += 1;
        }
    }

    /// Whether another request may wait.
    pub(super) fn has_room(&self) -> bool {
        self.waiting.len() < MAX_WAITING
    }

    /// Keeps a request until the build of its stream is known, or nobody knows it.
    pub(super) fn push(&mut self, item: Item) {
        let stream = stream_of(&item);
        self.next.insert(stream);
        self.by_stream.entry(stream).or_default().insert(item.key);
        *self
            .by_account
            .entry(Arc::clone(&item.account))
            .or_default() += 1;
        self.waiting.insert(item.key, item);
    }

    pub(super) fn remove(&mut self, key: Key) -> Option<Item> {
        let item = self.waiting.swap_remove(&key)?;
        let stream = stream_of(&item);
        if let Some(keys) = self.by_stream.get_mut(&stream) {
            keys.swap_remove(&key);
            if keys.is_empty() {
                self.by_stream.swap_remove(&stream);
                self.next.swap_remove(&stream);
            }
        }
        if let Some(count) = self.by_account.get_mut(&item.account) {
            *count -= 1;
            if *count == 0 {
                self.by_account.swap_remove(&item.account);
            }
        }
        Some(item)
    }

    pub(super) fn get(&self, key: Key) -> Option<&Item> {
        self.waiting.get(&key)
    }

    pub(super) fn waiting_of(&self, account: &str) -> u32 {
        self.by_account.get(account).copied().unwrap_or(0)
    }

    pub(super) fn items(&self) -> impl Iterator<Item = &Item> {
        self.waiting.values()
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = Key> {
        self.waiting.keys().copied()
    }

    /// Starts a search for the streams that are not searched for yet.
    pub(super) fn begin(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let fleet = u32::try_from(self.live.len() / SMALL_FLEET).unwrap_or(u32::MAX);
        let interval = INTERVAL.saturating_mul(fleet.saturating_add(1));
        let is_early = |at: Instant| now.saturating_duration_since(at) < interval;
        if self.next.is_empty() || self.last_begun.is_some_and(is_early) {
            return;
        }
        self.last_begun = Some(now);
        self.last_number += 1;
        let search = Search {
            streams: std::mem::take(&mut self.next),
            missing: self.live.clone(),
            until: now + MAX_WAIT,
            ticks: 0,
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

    /// Records that something was told of a stream.
    pub(super) fn touch(&mut self, stream: StreamId) {
        if self.by_stream.contains_key(&stream) {
            self.due.insert(stream);
        }
    }

    /// Ends the searches that all daemons have answered, or that take too long; returns
    /// the requests that something has changed for.
    pub(super) fn end(&mut self, now: Instant) -> Vec<Key> {
        let due = &mut self.due;
        self.open.retain(|_, search| {
            let is_over = search.is_over(now);
            if is_over {
                due.extend(search.streams.iter().copied());
            }
            !is_over
        });
        let due = std::mem::take(&mut self.due);
        let keys = due.iter().filter_map(|it| self.by_stream.get(it));
        keys.flatten().copied().collect()
    }

    /// Whether daemons may still tell what they know of a stream.
    pub(super) fn is_open(&self, stream: StreamId) -> bool {
        let mut open = self.open.values();
        self.next.contains(&stream) || open.any(|it| it.streams.contains(&stream))
    }
}

fn stream_of(item: &Item) -> StreamId {
    item.stream.as_ref().map_or(NO_STREAM, |it| it.id)
}
