//! Which build of a service's runners began each stream.
//!
//! Load pattern: runners of two or three builds serve side by side for minutes, while
//! streams break, or callers leave them and take them up again at any daemon. What two
//! builds write does not fit together, and runners do not check it, so the rest of a
//! stream must come from the build that began it.
//!
//! The daemon that gets a slot records the build when the stream begins, and tells the
//! arbiter, and the next one. Records end when the caller's time does.
//!
//! A caller names the request that brought the first event, or else repeats it, so each
//! stream is recorded under the ids of both.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    crash::NO_FINGERPRINT,
    id::{BuildId, Fingerprint, StreamId},
};

/// Stream without a known id; it is not recorded.
pub const NO_STREAM: StreamId = 0;

/// Build in a record of a stream that runners of two builds began; no runner has it.
const CONFLICT: &str = "\0";

/// Smallest extension of a record's life that other daemons need to know of; delays of
/// messages are shorter.
const MIN_EXTENSION: Duration = Duration::from_secs(1);

/// Longest time for which a stream is recorded.
pub const MAX_LIFE: Duration = Duration::from_mins(10);

/// Most streams recorded; the ones that end first give way.
const MAX_RECORDS: usize = 524_288;

/// Id of a stream whose caller does not name the request that began it, from the digest
/// of account and body, which is the same in both requests.
#[must_use]
pub fn unnamed(request: Fingerprint) -> StreamId {
    if request == NO_FINGERPRINT {
        NO_STREAM
    } else {
        !request
    }
}

/// The stream that a request begins or goes on with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Digest of the id of the request that brought its first event.
    pub id: StreamId,
    /// How it began.
    pub origin: Origin,
    /// Time left to its caller, who may take it up again until then.
    pub life: Duration,
}

/// How a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It has no events yet.
    New,
    /// Runners of this build began it.
    Build(BuildId),
    /// Another request began it.
    Unknown,
    /// Another request began it, perhaps at another service.
    Recorded,
}

/// Streams that runners of one build began, with the time for which each is recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// The build.
    pub build: BuildId,
    /// The streams.
    pub streams: Vec<(StreamId, Duration)>,
}

/// Builds of the streams that callers may still take up.
#[derive(Debug, Default)]
pub struct Records {
    streams: IndexMap<StreamId, Record>,
    expiries: BTreeSet<(Instant, StreamId)>,
    /// When the last stream of each build ends; each name is kept once.
    builds: IndexMap<Arc<str>, Instant>,
}

#[derive(Debug)]
struct Record {
    build: Arc<str>,
    until: Instant,
}

impl Records {
    /// Records that runners of a build began a stream; true if that tells other daemons
    /// something new.
    ///
    /// A record lasts as long as any that was made of the stream. If two builds began
    /// streams of one id, it names none.
    pub fn insert(&mut self, now: Instant, id: StreamId, build: &str, life: Duration) -> bool {
        self.expire(now);
        if id == NO_STREAM {
            return false;
        }
        let old = self.streams.get(&id);
        let is_new = old.is_none_or(|it| *it.build != *build && *it.build != *CONFLICT);
        let build = if old.is_none_or(|it| *it.build == *build) {
            build
        } else {
            CONFLICT
        };
        let old_until = old.map(|it| it.until);
        let until = (now + life.min(MAX_LIFE)).max(old_until.unwrap_or(now));
        let is_longer = old_until.is_some_and(|it| until >= it + MIN_EXTENSION);
        let build = self.build_until(build, until);
        if self.streams.len() >= MAX_RECORDS && !self.streams.contains_key(&id) {
            self.drop_first();
        }
        if let Some(old) = self.streams.insert(id, Record { build, until }) {
            self.expiries.remove(&(old.until, id));
        }
        self.expiries.insert((until, id));
        is_new || is_longer
    }

    /// Adds the records of another daemon.
    pub fn extend(&mut self, now: Instant, groups: &[Group]) {
        for group in groups {
            for (id, life) in &group.streams {
                self.insert(now, *id, &group.build, *life);
            }
        }
    }

    /// The build that began a stream.
    #[must_use]
    pub fn get(&self, now: Instant, id: StreamId) -> Option<&Arc<str>> {
        let record = self.streams.get(&id).filter(|it| it.until > now);
        let build = record.map(|it| &it.build);
        build.filter(|it| ***it != *CONFLICT)
    }

    /// Whether there is a record of a stream, even one of two builds.
    #[must_use]
    pub fn contains(&self, now: Instant, id: StreamId) -> bool {
        self.streams.get(&id).is_some_and(|it| it.until > now)
    }

    /// All records, by build.
    #[must_use]
    pub fn groups(&self, now: Instant) -> Vec<Group> {
        self.groups_of(now, self.streams.keys().copied())
    }

    /// Records of some streams, by build.
    pub fn groups_of<I>(&self, now: Instant, ids: I) -> Vec<Group>
    where
        I: IntoIterator<Item = StreamId>,
    {
        let mut groups: IndexMap<&str, Vec<(StreamId, Duration)>> = IndexMap::new();
        for id in ids {
            if let Some(record) = self.streams.get(&id).filter(|it| it.until > now) {
                let life = record.until.saturating_duration_since(now);
                groups.entry(&record.build).or_default().push((id, life));
            }
        }
        let groups = groups.into_iter().map(|(build, streams)| Group {
            build: build.to_owned(),
            streams,
        });
        groups.collect()
    }

    /// Forgets what no caller can take up any more.
    pub fn expire(&mut self, now: Instant) {
        while self
            .expiries
            .first()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.drop_first();
        }
        self.builds.retain(|_, until| *until > now);
    }

    fn drop_first(&mut self) {
        if let Some((_, id)) = self.expiries.pop_first() {
            self.streams.swap_remove(&id);
        }
    }

    /// Keeps a build until a time at least; returns its shared name.
    fn build_until(&mut self, build: &str, until: Instant) -> Arc<str> {
        if let Some((_, name, last)) = self.builds.get_full_mut(build) {
            *last = (*last).max(until);
            return Arc::clone(name);
        }
        let name: Arc<str> = Arc::from(build);
        self.builds.insert(Arc::clone(&name), until);
        name
    }
}
