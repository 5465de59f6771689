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

/// Daemons that get a copy of a record. With the arbiter and the daemon that served the
/// stream, they survive the loss of a third of the daemons in nearly all cases.
const COPIES: usize = 3;

/// Most builds that are remembered as listed.
const MAX_BUILDS: usize = 64;

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
    /// Builds of the runners that were ever listed, the newest last.
    listed: IndexSet<Arc<str>>,
}

impl Continuity {
    /// Records the builds of the listed runners.
    pub(super) fn on_listed<'a, I>(&mut self, builds: I)
    where
        I: Iterator<Item = &'a Arc<str>>,
    {
        for build in builds {
            if !self.listed.contains(build) {
                if self.listed.len() >= MAX_BUILDS {
                    self.listed.shift_remove_index(0);
                }
                self.listed.insert(Arc::clone(build));
            }
        }
    }

    pub(super) fn on_standbys(&mut self, standbys: Vec<InstanceId>) {
        self.standbys = standbys;
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
        let known = self.records.get(now, stream.id);
        if known.is_none_or(|it| **it == *build) {
            self.insert(now, stream.id, build, stream.life);
        }
        self.insert(now, stream::unnamed(request), build, stream.life);
    }

    /// Records a stream of a held slot under the id of its request too, which older
    /// daemons do not tell.
    pub(super) fn on_held(&mut self, now: Instant, stream: &Stream, request: Fingerprint) {
        if let Some(build) = self.records.get(now, stream.id).cloned() {
            self.insert(now, stream::unnamed(request), &build, stream.life);
        }
    }

    fn insert(&mut self, now: Instant, id: StreamId, build: &str, life: Duration) {
        if self.records.insert(now, id, build, life) {
            self.fresh.insert(id);
        }
    }

    /// All records, for a daemon to keep when the arbiter ends.
    pub(super) fn groups(&self, now: Instant) -> Vec<Group> {
        self.records.groups(now)
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
        let is_named = stream.id != stream::unnamed(item.fingerprint);
        let is_recorded = self.continuity.records.contains(now, stream.id);
        let known = self.continuity.records.get(now, stream.id).cloned();
        let (build, source) = match (&stream.origin, known) {
            (Origin::New, _) => return Ok(Verdict::Ready),
            (Origin::Build(build), _) => (Arc::from(build.as_str()), Source::Asker),
            (Origin::Unknown | Origin::Recorded, Some(build)) if is_named => {
                (build, Source::Arbiter)
            }
            // An equal request may have begun at another build, as others may know; or, with
            // several services, at another one.
            (Origin::Unknown, Some(_)) if self.searches.has_room() => return Ok(Verdict::Search),
            (Origin::Unknown, None) if !is_recorded && self.searches.has_room() => {
                return Ok(Verdict::Search);
            }
            (Origin::Recorded, None) if is_named && !is_recorded && self.searches.has_room() => {
                return Ok(Verdict::Search);
            }
            (Origin::Unknown | Origin::Recorded, _) => {
                return Err(self.unknown_build(now, item, effects));
            }
        };
        self.set_build(now, item, build, source, effects)?;
        Ok(Verdict::Ready)
    }

    fn unknown_build(&self, now: Instant, item: &Item, effects: &mut Vec<Effect>) -> Refusal {
        note_decision(now, item, "", Source::Nothing, effects);
        let retry_after = self.pool.retry_after(now);
        Refusal::UnknownBuild { retry_after }
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

    /// Records what a daemon tells about streams that other arbiters granted.
    pub(super) fn on_told(&mut self, now: Instant, groups: &[Group]) {
        for group in groups {
            for (id, life) in &group.streams {
                self.continuity.insert(now, *id, &group.build, *life);
                self.searches.touch(*id);
            }
        }
    }

    /// Decides on the streams that were found, or that nobody knows.
    pub(super) fn end_searches(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for key in self.searches.end(now) {
            let Some(item) = self.searches.get(key) else {
                continue;
            };
            let id = item.stream.as_ref().map_or(NO_STREAM, |it| it.id);
            let is_named = id != stream::unnamed(item.fingerprint);
            let found = self.continuity.records.get(now, id).cloned();
            let is_conflict = found.is_none() && self.continuity.records.contains(now, id);
            // Who has not answered yet may know of an equal request at another build.
            let is_certain = found.is_some() && is_named;
            if !is_certain && !is_conflict && self.searches.is_open(id) {
                continue;
            }
            let Some(mut item) = self.searches.remove(key) else {
                continue;
            };
            let decided = match found {
                Some(build) => self.set_build(now, &mut item, build, Source::Search, effects),
                None => Err(self.unknown_build(now, &item, effects)),
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
        // Runners of a build that was never listed here may have joined since.
        if self.pool.has_build(build) || !self.continuity.listed.contains(build) {
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
