//! A stream goes on only at the build that began it.
//!
//! The slot in which a stream began tells the build; one that was granted may never be
//! used. The arbiter copies its records to two other daemons
//! while runners of several builds serve, since it may be lost together with the daemons
//! that served the streams. A stream without a record goes on only where one build comes
//! into question; otherwise it is refused at once, so that its caller can start anew.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Arbiter, Effect, Key, Note, Refusal, Reply, queue::Item};
use crate::{
    id::{BuildId, InstanceId, StreamId},
    stream::{Group, MAX_LIFE, Origin, Records, Stream},
};

/// Oldest list of runners that tells which builds there are: a few reads.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);

/// What shows at which build a stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The daemon that asks has the record.
    Asker,
    /// The arbiter has the record.
    Record,
    /// There is no record; it is the only build known.
    OnlyBuild,
    /// There is no record, and several builds or too old a list of runners.
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
    pub evidence: Source,
    /// Age of the list of runners, if one was read.
    pub list_age: Option<Duration>,
    /// Daemons that told what they know, and those that were asked, at the start.
    pub told: usize,
    /// See `told`.
    pub asked: usize,
}

/// What an arbiter knows of the builds that began streams.
#[derive(Debug, Default)]
pub(super) struct Continuity {
    records: Records,
    /// Records since the last copy.
    fresh: Vec<StreamId>,
    /// Daemons that keep copies.
    standbys: Vec<InstanceId>,
    /// Daemons that have all records but the fresh ones.
    copied_to: Vec<InstanceId>,
    /// When the list of runners was last read.
    listed_at: Option<Instant>,
    /// Daemons that were asked, and those that told, what they know.
    asked: usize,
    told: usize,
}

impl Continuity {
    pub(super) fn new(asked: usize) -> Self {
        Self {
            asked,
            ..Self::default()
        }
    }

    pub(super) fn on_listed(&mut self, at: Instant) {
        self.listed_at = Some(at);
    }

    pub(super) fn on_standbys(&mut self, standbys: Vec<InstanceId>) {
        self.standbys = standbys;
    }

    /// Records what a daemon tells about streams that other arbiters granted.
    pub(super) fn on_told(&mut self, now: Instant, groups: &[Group]) {
        self.told += 1;
        self.records.extend(now, groups);
        let streams = groups.iter().flat_map(|it| &it.streams);
        self.fresh.extend(streams.map(|(id, _)| *id));
    }

    /// Records that a runner of a build has begun a stream.
    ///
    /// What its daemon told before is kept: its slot may be one of another arbiter.
    pub(super) fn on_begun(&mut self, now: Instant, stream: &Stream, build: &str) {
        if self.records.get(now, stream.id).is_none() {
            self.records.insert(now, stream.id, build, stream.life);
            self.fresh.push(stream.id);
        }
    }

    /// Whether most daemons have told what they know, or nothing they could tell matters.
    fn is_informed(&self, now: Instant, started: Instant) -> bool {
        2 * self.told > self.asked || now.saturating_duration_since(started) >= MAX_LIFE
    }

    fn is_list_fresh(&self, now: Instant) -> bool {
        let age = self.listed_at.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age <= MAX_LIST_AGE)
    }
}

impl Arbiter {
    /// Sets the build that an item's stream must go on at, if it has begun.
    pub(super) fn decide_build(
        &self,
        now: Instant,
        item: &mut Item,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        if self.collecting.is_some() {
            return Ok(());
        }
        item.build = self.build_for(now, item, effects)?;
        match &item.build {
            Some(build) => self.check_build(now, build),
            None => Ok(()),
        }
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
                Ok(()) => self.requeue_item(item, effects),
                Err(refusal) => self.refuse_item(&item, refusal, effects),
            }
        }
    }

    fn build_for(
        &self,
        now: Instant,
        item: &Item,
        effects: &mut Vec<Effect>,
    ) -> Result<Option<Arc<str>>, Refusal> {
        let Some(stream) = &item.stream else {
            return Ok(None);
        };
        let only_build = || Some((self.only_build(now)?, Source::OnlyBuild));
        let recorded = || {
            let build = self.continuity.records.get(now, stream.id)?;
            Some((Arc::clone(build), Source::Record))
        };
        let known = match &stream.origin {
            Origin::New => return Ok(None),
            Origin::Build(build) => Some((Arc::from(build.as_str()), Source::Asker)),
            Origin::Unknown => recorded().or_else(only_build),
            Origin::Recorded => recorded(),
        };
        let (build, evidence) = known.unzip();
        let listed_at = self.continuity.listed_at;
        effects.push(Effect::Note(Note::Continued(Decision {
            stream: stream.id,
            build: build.as_deref().unwrap_or_default().to_owned(),
            evidence: evidence.unwrap_or(Source::Nothing),
            list_age: listed_at.map(|at| now.saturating_duration_since(at)),
            told: self.continuity.told,
            asked: self.continuity.asked,
        })));
        let retry_after = self.pool.retry_after(now);
        build.map(Some).ok_or(Refusal::UnknownBuild { retry_after })
    }

    /// The build of all streams that may still go on, if it is certain.
    fn only_build(&self, now: Instant) -> Option<Arc<str>> {
        let known = &self.continuity;
        if !known.is_list_fresh(now) || !known.is_informed(now, self.started) {
            return None;
        }
        let mut builds = self.pool.builds().chain(known.records.builds(now));
        let first = builds.next()?;
        builds.all(|it| it == first).then(|| Arc::clone(first))
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
        if self.pool.has_build(build) {
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

    /// Copies new records to the standbys while there are several builds; all of them if
    /// a standby has none yet.
    pub(super) fn copy_records(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let several = self.builds(now).len() > 1;
        let known = &mut self.continuity;
        known.records.expire(now);
        let fresh = std::mem::take(&mut known.fresh);
        if !several {
            known.copied_to.clear();
            return;
        }
        let groups = if known.copied_to == known.standbys {
            known.records.groups_of(now, fresh)
        } else {
            known.records.groups(now)
        };
        known.copied_to.clone_from(&known.standbys);
        if groups.is_empty() {
            return;
        }
        for standby in &known.standbys {
            let copy = Reply::Streams(groups.clone());
            effects.push(Effect::Send(standby.clone(), copy));
        }
    }

    /// Builds of the runners on the list and of the streams that may still go on.
    pub(super) fn builds(&self, now: Instant) -> Vec<BuildId> {
        let all = self
            .pool
            .builds()
            .chain(self.continuity.records.builds(now));
        let mut builds: Vec<BuildId> = all.map(ToString::to_string).collect();
        builds.sort_unstable();
        builds.dedup();
        builds
    }
}
