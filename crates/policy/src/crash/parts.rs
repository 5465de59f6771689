//! Parts of prompts that crash runners, whatever else a request holds.
//!
//! Load pattern: requests of which no two are alike share a part, and each runner that
//! begins an answer on it crashes, with all that runs beside it. Marks of whole requests
//! come too late for each of them, and hit its neighbors.
//!
//! A part is convicted when it was in flight at some crashes, on different requests and
//! runners, without one full answer on it in between. Parts that many requests share are
//! answered all the time, which clears them. A conviction explains the crashes that it
//! rests on, so that nothing is held against what else ran there.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id::{Fingerprint, PartId, RunnerId};

/// Crashes without a full answer in between that convict a part, if as many different
/// requests had it.
const MIN_CRASHES: usize = 3;

/// The same if fewer requests had it: one alone may crash three runners before it is
/// quarantined itself.
const MIN_CRASHES_OF_FEW: usize = 4;

/// Different requests at these crashes.
const MIN_REQUESTS: usize = 2;

/// Crashes and different requests that make a part suspected, so that the next arbiter
/// needs one more crash only.
const MIN_SUSPECT_CRASHES: usize = 2;

/// Different runners that crashed.
const MIN_RUNNERS: usize = 2;

/// Time from the first crash to a conviction: sound requests with the part get a chance
/// to be answered meanwhile.
const MIN_SPAN: Duration = Duration::from_secs(1);

/// Wait for the requests of a crash to be reported before it is judged.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Time after the latest crash in which the crashes are judged again: a little more than
/// [`MIN_SPAN`].
const JUDGE_TIME: Duration = Duration::from_secs(2);

/// Time within which the daemons report the crashes of runners that are lost together.
const SAME_EVENT: Duration = Duration::from_millis(150);

/// Time within which the requests of an explained crash are reported.
const REPORT_TIME: Duration = Duration::from_millis(400);

/// Time after which an answer that goes on proves that its parts crash nothing: a part
/// crashes its runner as the answer begins.
const SOUND_AFTER: Duration = Duration::from_millis(250);

/// Maximum number of crashes remembered; the oldest are dropped first.
const MAX_CRASHES: usize = 128;

/// Waits before the requests that test whether a conviction still holds.
const PROBE_WAITS: [Duration; 2] = [Duration::from_secs(10), Duration::from_mins(1)];

/// Maximum number of convictions with a probe pending; the oldest are dropped first.
const MAX_PROBED: usize = 1_024;

/// Number under which a part of a service's prompts is marked, like a request.
#[must_use]
pub fn mark_of(service: &str, part: PartId) -> Fingerprint {
    let seed = xxh3_64(service.as_bytes());
    xxh3_64_with_seed(&part.to_le_bytes(), seed).max(1)
}

/// A request in flight on a runner that crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlight<'a> {
    /// Its runner.
    pub runner: &'a RunnerId,
    /// The request.
    pub request: Fingerprint,
    /// Its parts that other requests may hold too.
    pub parts: &'a [PartId],
    /// When it was granted its slot.
    pub granted: Instant,
    /// How long its answer had gone on, if it had begun.
    pub answering: Option<Duration>,
}

/// A request that was seen at a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    request: Fingerprint,
    granted: Instant,
    /// Its parts that may have caused the crash.
    parts: Vec<PartId>,
}

/// A runner that crashed with requests in flight.
#[derive(Clone, Debug)]
struct Crash {
    runner: RunnerId,
    at: Instant,
    seen: Vec<Seen>,
    judged: bool,
}

/// What the crashes say of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was seen at some crashes; one more convicts it, also at the next arbiter.
    Suspected(PartId),
    /// It crashes runners.
    Convicted(Conviction),
}

/// A part found to crash runners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conviction {
    /// The part.
    pub part: PartId,
    /// Crashes that it was seen at.
    pub crashes: usize,
    /// Requests without the part that were in flight at these crashes.
    pub beside: Vec<Fingerprint>,
}

/// Crashes of a service's runners that no conviction explains.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    crashes: VecDeque<Crash>,
    /// Runners whose crash a convicted part explains, and when it was noticed.
    explained: IndexMap<RunnerId, Instant>,
    /// Parts whose suspicion rests on crashes known here.
    suspected: IndexSet<PartId>,
    probes: IndexMap<Fingerprint, Probe>,
}

/// What the crashes hold against a part, the weightiest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Weight {
    /// Crashes at different moments.
    crashes: usize,
    /// All crashes, those of one moment too.
    all: usize,
    /// Different requests.
    requests: usize,
    /// Different runners.
    runners: usize,
    /// Time of the first one.
    first: Instant,
}

impl Weight {
    /// Adds crashes that another arbiter saw.
    fn and_earlier(self, crashes: usize) -> Self {
        Self {
            crashes: self.crashes + crashes,
            requests: self.requests + crashes,
            runners: self.runners + crashes,
            ..self
        }
    }

    fn convicts(&self, now: Instant) -> bool {
        let enough = if self.requests >= MIN_CRASHES {
            MIN_CRASHES
        } else {
            MIN_CRASHES_OF_FEW
        };
        self.crashes >= enough
            && self.requests >= MIN_REQUESTS
            && self.runners >= MIN_RUNNERS
            && now.saturating_duration_since(self.first) >= MIN_SPAN
    }

    fn suspects(&self) -> bool {
        self.crashes >= MIN_SUSPECT_CRASHES
            && self.requests >= MIN_SUSPECT_CRASHES
            && self.runners >= MIN_RUNNERS
    }
}

/// Requests that may still test a conviction.
#[derive(Clone, Copy, Debug)]
struct Probe {
    next: Instant,
    done: usize,
}

impl Evidence {
    /// Records a request whose runner crashed.
    pub fn on_crash(&mut self, now: Instant, it: &InFlight<'_>) {
        let sound = it.answering.is_some_and(|it| it >= SOUND_AFTER);
        if sound {
            self.on_answered(it.parts);
        }
        let seen = Seen {
            request: it.request,
            granted: it.granted,
            parts: if sound { Vec::new() } else { it.parts.to_vec() },
        };
        // What was granted before a crash was in flight at it, however late it is reported.
        let same = |crash: &&mut Crash| crash.runner == *it.runner && it.granted <= crash.at;
        if let Some(crash) = self.crashes.iter_mut().find(same) {
            crash.seen.push(seen);
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(Crash {
            runner: it.runner.clone(),
            at: now,
            seen: vec![seen],
            judged: false,
        });
    }

    /// Records an answer on these parts, full or going on, which clears them.
    pub fn on_answered(&mut self, parts: &[PartId]) {
        for seen in self.crashes.iter_mut().flat_map(|it| &mut it.seen) {
            seen.parts.retain(|it| !parts.contains(it));
        }
        self.crashes.retain(|it| !it.judged || it.has_parts());
    }

    /// Records that work granted on a runner at `granted` was completed: the runner
    /// lost answers since, but did not crash.
    pub fn on_survived(&mut self, now: Instant, runner: &RunnerId, granted: Instant) {
        // A completion just before a crash may be reported after it.
        let before = |it: &Crash| now.saturating_duration_since(it.at) < REPORT_TIME;
        self.crashes
            .retain(|it| it.runner != *runner || it.at < granted || before(it));
    }

    /// Records that a convicted part was in flight on a runner that crashed.
    pub fn explain(&mut self, now: Instant, runner: &RunnerId) {
        self.explained
            .retain(|_, at| now.saturating_duration_since(*at) < REPORT_TIME);
        self.explained.insert(runner.clone(), now);
        self.crashes.retain(|it| it.runner != *runner || it.judged);
    }

    /// Whether a convicted part explains the crash of a runner just now.
    #[must_use]
    pub fn is_explained(&self, now: Instant, runner: &RunnerId) -> bool {
        let at = self.explained.get(runner);
        at.is_some_and(|at| now.saturating_duration_since(*at) < REPORT_TIME)
    }

    /// Judges the crashes whose requests have been reported; `is_suspected` tells which
    /// parts are marked as suspected. A conviction forgets the crashes that it explains.
    pub fn judge<F>(&mut self, now: Instant, is_suspected: F) -> Option<Verdict>
    where
        F: Fn(PartId) -> bool,
    {
        let latest = self.crashes.back()?.at;
        if now.saturating_duration_since(latest) > JUDGE_TIME {
            return None;
        }
        for crash in &mut self.crashes {
            crash.judged |= now.saturating_duration_since(crash.at) >= SETTLE_TIME;
        }
        let (part, certain) = self.guilty(now, &is_suspected)?;
        if certain {
            return Some(Verdict::Convicted(self.convict(now, part)));
        }
        if self.suspected.len() >= MAX_CRASHES {
            self.suspected.shift_remove_index(0);
        }
        self.suspected.insert(part);
        Some(Verdict::Suspected(part))
    }

    /// The part that is to be marked next, and whether it is certain to be guilty.
    ///
    /// One crash has one cause: it is held against the part with most crashes only.
    fn guilty<F>(&self, now: Instant, is_suspected: F) -> Option<(PartId, bool)>
    where
        F: Fn(PartId) -> bool,
    {
        let mut left: Vec<&Crash> = self.crashes.iter().filter(|it| it.judged).collect();
        // Crashes that another arbiter saw count for a part that it suspected.
        let earlier = |part| {
            let elsewhere = is_suspected(part) && !self.suspected.contains(&part);
            if elsewhere { MIN_SUSPECT_CRASHES } else { 0 }
        };
        let mut suspect = None;
        loop {
            let parts = parts_of(&left).into_iter();
            let repeated =
                parts.filter(|(part, crashes)| crashes + earlier(*part) >= MIN_SUSPECT_CRASHES);
            let weighed = repeated.filter_map(|(part, _)| {
                let weight = weigh(&left, part)?;
                Some((weight.and_earlier(earlier(part)), part))
            });
            let mut most: Vec<(Weight, PartId)> = weighed.collect();
            let Some(crashes) = most.iter().map(|it| it.0.crashes).max() else {
                return suspect.map(|part| (part, false));
            };
            let all = most.clone();
            most.retain(|it| it.0.crashes == crashes);
            let (weight, part) = innermost(&left, &most, &all)?;
            // Few crashes may have another cause, even one seen at fewer moments.
            let is_rival = |it: &Weight| {
                it.crashes >= weight.crashes
                    || (weight.crashes < MIN_CRASHES_OF_FEW && it.all >= weight.all)
            };
            let mut rivals = all.iter().filter(|(it, _)| is_rival(it));
            let rivaled = rivals.any(|(_, other)| {
                share_crashes(&left, *other, part)
                    && !always_beside(&left, *other, part)
                    && !replaces(&left, part, *other)
            });
            if !rivaled && weight.convicts(now) {
                return Some((part, true));
            }
            if weight.suspects() && !is_suspected(part) && !self.suspected.contains(&part) {
                suspect = suspect.or(Some(part));
            }
            left.retain(|it| !it.has(part));
        }
    }

    fn convict(&mut self, now: Instant, part: PartId) -> Conviction {
        let mut beside = IndexSet::new();
        let mut crashes = 0;
        for crash in self.crashes.iter().filter(|it| it.has(part)) {
            crashes += 1;
            let others = crash.seen.iter().filter(|it| !it.parts.contains(&part));
            beside.extend(others.map(|it| it.request));
            self.explained.insert(crash.runner.clone(), crash.at);
        }
        self.crashes.retain(|it| !it.has(part));
        self.suspected.swap_remove(&part);
        self.explained
            .retain(|_, at| now.saturating_duration_since(*at) < REPORT_TIME);
        Conviction {
            part,
            crashes,
            beside: beside.into_iter().collect(),
        }
    }

    /// Starts the wait for the first probe of a conviction made here.
    ///
    /// Other arbiters know the conviction too, and make no probes, since those of all
    /// count together.
    pub fn start_probes(&mut self, now: Instant, mark: Fingerprint) {
        if self.probes.len() >= MAX_PROBED && !self.probes.contains_key(&mark) {
            self.probes.shift_remove_index(0);
        }
        let next = now + PROBE_WAITS[0];
        self.probes.entry(mark).or_insert(Probe { next, done: 0 });
    }

    /// Whether a request with a convicted part may run, to test the conviction.
    pub fn probe(&mut self, now: Instant, mark: Fingerprint) -> bool {
        let probe = self.probes.get_mut(&mark);
        let Some(probe) = probe.filter(|it| it.done < PROBE_WAITS.len() && now >= it.next) else {
            return false;
        };
        probe.done += 1;
        let wait = PROBE_WAITS.get(probe.done).copied().unwrap_or_default();
        probe.next = now + wait;
        true
    }

    /// Forgets the probes of convictions that no longer hold.
    pub fn retain_probes<F>(&mut self, holds: F)
    where
        F: Fn(Fingerprint) -> bool,
    {
        self.probes.retain(|mark, _| holds(*mark));
    }
}

impl Crash {
    /// Requests with a part.
    fn with(&self, part: PartId) -> impl Iterator<Item = &Seen> {
        self.seen.iter().filter(move |it| it.parts.contains(&part))
    }

    fn has(&self, part: PartId) -> bool {
        self.with(part).next().is_some()
    }

    fn has_parts(&self) -> bool {
        self.seen.iter().any(|it| !it.parts.is_empty())
    }
}

/// Parts seen at some crashes, and at how many.
fn parts_of(crashes: &[&Crash]) -> IndexMap<PartId, usize> {
    let mut parts = IndexMap::new();
    for crash in crashes {
        let of_crash = crash.seen.iter().flat_map(|it| it.parts.iter().copied());
        for part in of_crash.collect::<IndexSet<PartId>>() {
            *parts.entry(part).or_default() += 1;
        }
    }
    parts
}

/// The weightiest part, or the last one behind it in their requests.
///
/// A part comes with those before it, which other requests hold too. Of parts seen at
/// the same crashes, the last one concerns fewest requests. Requests without the inner
/// part may give the outer one more moments, so equal weights are not required.
fn innermost(
    crashes: &[&Crash],
    most: &[(Weight, PartId)],
    all: &[(Weight, PartId)],
) -> Option<(Weight, PartId)> {
    let mut inner = *most.iter().max()?;
    // A part is behind another in all their requests, so this ends at the last one.
    for _ in all {
        let equal = most.iter().find(|it| is_behind(crashes, it.1, inner.1));
        let behind = equal.or_else(|| all.iter().find(|it| replaces(crashes, it.1, inner.1)));
        inner = *behind.unwrap_or(&inner);
    }
    Some(inner)
}

/// Whether a part comes behind another and was seen at all crashes of that one, so that
/// it explains them as well and concerns fewer requests.
fn replaces(crashes: &[&Crash], part: PartId, other: PartId) -> bool {
    let mut of_other = crashes.iter().filter(|it| it.has(other));
    is_behind(crashes, part, other) && of_other.all(|it| it.has(part))
}

/// Whether a part comes behind another in a request.
fn is_behind(crashes: &[&Crash], part: PartId, other: PartId) -> bool {
    let mut seen = crashes.iter().flat_map(|it| &it.seen);
    seen.any(|it| {
        let place = |wanted| it.parts.iter().position(|part| *part == wanted);
        place(other).is_some_and(|other| place(part) > Some(other))
    })
}

/// Whether every request with `part` holds `other` too.
fn always_beside(crashes: &[&Crash], other: PartId, part: PartId) -> bool {
    let mut with = crashes.iter().flat_map(|it| it.with(part));
    with.all(|it| it.parts.contains(&other))
}

/// Whether two parts were seen at the same crash.
fn share_crashes(crashes: &[&Crash], one: PartId, other: PartId) -> bool {
    crashes.iter().any(|it| it.has(one) && it.has(other))
}

/// How much some crashes, in order, hold against a part.
///
/// Runners of a rack are lost together, with what was granted before. A crash counts if
/// it came later, or hit a request granted since the one before.
fn weigh(crashes: &[&Crash], part: PartId) -> Option<Weight> {
    let (mut runners, mut requests) = (IndexSet::new(), IndexSet::new());
    let (mut all, mut counted) = (0, 0);
    let mut last: Option<Instant> = None;
    let mut first = None;
    for crash in crashes {
        let Some(granted) = crash.with(part).map(|it| it.granted).max() else {
            continue;
        };
        all += 1;
        first = first.or(Some(crash.at));
        runners.insert(&crash.runner);
        requests.extend(crash.with(part).map(|it| it.request));
        let apart = |last| crash.at.saturating_duration_since(last) >= SAME_EVENT;
        if last.is_none_or(|last| granted > last || apart(last)) {
            counted += 1;
            last = Some(crash.at);
        }
    }
    first.map(|first| Weight {
        crashes: counted,
        all,
        requests: requests.len(),
        runners: runners.len(),
        first,
    })
}
