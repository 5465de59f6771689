//! A stream goes on only at the build that a record names.
//!
//! The daemon that gets the first event of a stream records its build and tells the
//! arbiter, which copies its records to a few other daemons, in turns: it may be lost
//! together with the daemons that served the streams. An arbiter without a record asks
//! all daemons. If nobody knows the stream it is refused, so that its caller can start
//! anew: other arbiters may have granted runners that this one has not heard of.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexSet;

use super::{Arbiter, Effect, Key, Note, Refusal, Reply, queue::Item};
use crate::{
    id::{BuildId, Fingerprint, InstanceId, StreamId},
    stream::{self, Group, NO_STREAM, Origin, Records, Stream},
};

/// Oldest list of runners that shows that no runner of a build is left: a few reads.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);

/// Daemons that get a copy of a record. With the arbiter and the daemon that served the
/// stream, they survive the loss of a third of the daemons in nearly all cases.
const COPIES: usize = 3;

/// What shows at which build a stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The daemon that asks has the record.
    Asker,
    /// The arbiter has the record.
    Arbiter,
    /// Another daemon was asked and has the record.
    Search,
    /// No daemon that answered has a record.
    Nothing,
}

/// How an arbiter decided where a stream goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The stream.
    pub stream: StreamId,
    /// The build, or empty if it is not known.
    pub build: BuildId,
    /// What shows it.
    pub source: Source,
    /// Time from the request's arrival at the arbiter.
    pub waited: Duration,
}

/// Whether a request can be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It can; the build of its stream is known if it matters.
    Ready,
    /// The daemons have to be asked for the build of its stream.
    Search,
}

/// What an arbiter knows of the builds that began streams.
#[derive(Debug, Default)]
pub(super) struct Continuity {
    records: Records,
    /// Records that were not copied yet.
    fresh: IndexSet<StreamId>,
    /// Daemons that keep copies, in turns.
    standbys: Vec<InstanceId>,
    /// Index of the standby that gets the next copy.
    turn: usize,
    /// When the list of runners was last read.
    listed_at: Option<Instant>,
}

impl Continuity {
    pub(super) fn on_listed(&mut self, at: Instant) {
        self.listed_at = Some(at);
    }

    pub(super) fn on_standbys(&mut self, standbys: Vec<InstanceId>) {
        self.standbys = standbys;
    }

    /// Records what a daemon tells about streams that other arbiters granted.
    pub(super) fn on_told(&mut self, now: Instant, groups: &[Group]) {
        let streams = groups.iter().flat_map(|it| &it.streams).map(|(id, _)| *id);
        let new = streams.filter(|id| !self.records.contains(now, *id));
        self.fresh.extend(new);
        self.records.extend(now, groups);
    }

    /// Records that a runner of a build has begun a stream, under the ids that its caller
    /// may use.
    ///
    /// What its daemon told before is kept: its slot may be one of another arbiter.
    pub(super) fn on_begun(
        &mut self,
        now: Instant,
        stream: &Stream,
        request: Fingerprint,
        build: &str,
    ) {
        if !self.records.contains(now, stream.id) {
            self.records.insert(now, stream.id, build, stream.life);
            self.fresh.insert(stream.id);
        }
        let unnamed = stream::unnamed(request);
        if unnamed != stream.id {
            self.records.insert(now, unnamed, build, stream.life);
            self.fresh.insert(unnamed);
        }
    }

    /// All records, for a daemon to keep when the arbiter ends.
    pub(super) fn groups(&self, now: Instant) -> Vec<Group> {
        self.records.groups(now)
    }

    fn is_list_fresh(&self, now: Instant) -> bool {
        let age = self.listed_at.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age <= MAX_LIST_AGE)
    }

    /// The daemons that get the next copy.
    fn next_standbys(&mut self) -> Vec<InstanceId> {
        let count = self.standbys.len();
        let next = (0..COPIES.min(count)).map(|it| self.standbys[(self.turn + it) % count].clone());
        let next = next.collect();
        self.turn = (self.turn + COPIES) % count.max(1);
        next
    }
}

impl Arbiter {
    /// Sets the build that an item's stream must go on at, if it has begun.
    pub(super) fn decide_build(
        &self,
        now: Instant,
        item: &mut Item,
        effects: &mut Vec<Effect>,
    ) -> Result<Verdict, Refusal> {
        let Some(stream) = item.stream.as_ref().filter(|_| self.collecting.is_none()) else {
            return Ok(Verdict::Ready);
        };
        let (build, source) = match &stream.origin {
            Origin::New => return Ok(Verdict::Ready),
            Origin::Build(build) => (Arc::from(build.as_str()), Source::Asker),
            Origin::Unknown | Origin::Recorded => {
                match self.continuity.records.get(now, stream.id) {
                    Some(build) => (Arc::clone(build), Source::Arbiter),
                    None => return Ok(Verdict::Search),
                }
            }
        };
        self.set_build(now, item, build, source, effects)?;
        Ok(Verdict::Ready)
    }

    fn set_build(
        &self,
        now: Instant,
        item: &mut Item,
        build: Arc<str>,
        source: Source,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        note_decision(now, item, &build, source, effects);
        self.check_build(now, &build)?;
        item.build = Some(build);
        Ok(())
    }

    /// Decides on the streams that came before this arbiter knew enough.
    pub(super) fn decide_builds(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let undecided = |it: &&Item| it.is_begun() && it.build.is_none();
        let waiting = self.queue.items().chain(self.suspects.items());
        let keys: Vec<Key> = waiting.filter(undecided).map(|it| it.key).collect();
        for key in keys {
            let Some(mut item) = self.take_waiting(key) else {
                continue;
            };
            match self.decide_build(now, &mut item, effects) {
                Ok(Verdict::Ready) => self.requeue_item(item, effects),
                Ok(Verdict::Search) => self.searches.push(item),
                Err(refusal) => self.refuse_item(&item, refusal, effects),
            }
        }
    }

    /// Decides on the streams that were found, or that nobody knows.
    pub(super) fn end_searches(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.searches.end(now);
        let records = &self.continuity.records;
        let is_decided = |it: &&Item| {
            let stream = it.stream.as_ref().map(|stream| stream.id);
            stream.is_none_or(|id| records.get(now, id).is_some() || !self.searches.is_open(id))
        };
        let decided = self.searches.items().filter(is_decided);
        let keys: Vec<Key> = decided.map(|it| it.key).collect();
        for key in keys {
            let Some(mut item) = self.searches.remove(key) else {
                continue;
            };
            let stream = item.stream.as_ref();
            let found = stream.and_then(|it| self.continuity.records.get(now, it.id).cloned());
            let decided = if let Some(build) = found {
                self.set_build(now, &mut item, build, Source::Search, effects)
            } else {
                note_decision(now, &item, "", Source::Nothing, effects);
                let retry_after = self.pool.retry_after(now);
                Err(Refusal::UnknownBuild { retry_after })
            };
            match decided {
                Ok(()) => self.requeue_item(item, effects),
                Err(refusal) => self.refuse_item(&item, refusal, effects),
            }
        }
        self.searches.begin(now, effects);
    }

    /// Whether a stream of a build can go on, now or soon.
    fn check_build(&self, now: Instant, build: &Arc<str>) -> Result<(), Refusal> {
        if self.pool.is_usable_for(build)
            || self
                .pool
                .probe_of(now, Duration::ZERO, Some(build))
                .is_some()
        {
            return Ok(());
        }
        // Runners that an old list lacks may have joined since.
        if self.pool.has_build(build) || !self.continuity.is_list_fresh(now) {
            let retry_after = self.pool.retry_after(now);
            return Err(Refusal::NoRunner { retry_after });
        }
        Err(Refusal::NoBuild {
            build: build.to_string(),
        })
    }

    /// Refuses the waiting streams whose build has no usable runner any more.
    pub(super) fn refuse_without_build(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.collecting.is_some() {
            return;
        }
        let waiting = self.queue.items().chain(self.suspects.items());
        let stranded = waiting.filter_map(|it| {
            let refusal = self.check_build(now, it.build.as_ref()?).err()?;
            Some((it.key, refusal))
        });
        let stranded: Vec<(Key, Refusal)> = stranded.collect();
        for (key, refusal) in stranded {
            if let Some(item) = self.take_waiting(key) {
                self.refuse_item(&item, refusal, effects);
            }
        }
    }

    /// Copies new records to the standbys whose turn it is.
    pub(super) fn copy_records(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let known = &mut self.continuity;
        known.records.expire(now);
        let fresh = std::mem::take(&mut known.fresh);
        let groups = known.records.groups_of(now, fresh);
        if groups.is_empty() {
            return;
        }
        for standby in known.next_standbys() {
            let copy = Reply::Streams(groups.clone());
            effects.push(Effect::Send(standby, copy));
        }
    }
}

fn note_decision(
    now: Instant,
    item: &Item,
    build: &str,
    source: Source,
    effects: &mut Vec<Effect>,
) {
    let stream = item.stream.as_ref().map_or(NO_STREAM, |it| it.id);
    effects.push(Effect::Note(Note::Continued(Decision {
        stream,
        build: build.to_owned(),
        source,
        waited: now.saturating_duration_since(item.arrived),
    })));
}
