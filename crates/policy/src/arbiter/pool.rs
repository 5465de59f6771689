//! The runners of a service: selection for requests, and outlier detection.
//!
//! A runner's latencies as seen by callers are compared with the median of its pool.
//! At most a third of the pool is set aside as slow, the slowest first; each is
//! probed with one request at a time and returns when a probe is about as fast as
//! the others.

use std::{
    cell::Cell,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use super::{
    estimate::Capacity,
    message::{End, Sample},
    pace::{Pace, Rate},
    path::Paths,
    prompt::{Usage, Work},
    runner::{self, Cause, Health, Runner},
    speed::{self, Usual},
};
use crate::{
    catalogue::Class,
    id::{ClassId, DomainId, RunnerId},
    platform::{self, Standing},
};

/// Most runners in one shard.
pub const MAX_RUNNERS: usize = 256;

/// Multiple of the median latency above which a runner is slow.
const SLOW_RATIO: f64 = 3.0;

/// The same where runners share their machines: the slowest of 1.6 times the mean is slowed 2.5
/// times now and then, beside a median of 0.6 of the mean. Requests are placed by that anyway.
const SHARED_SLOW_RATIO: f64 = 8.0;

/// Multiple of the median latency up to which a probed runner has recovered, where runners
/// share their machines: the slowest beside a median of the fastest, with some slowdown.
const SHARED_RECOVERED_RATIO: f64 = 4.0;

/// Multiple of the median latency up to which a probed runner has recovered.
const RECOVERED_RATIO: f64 = 1.8;

/// Fewest samples of a runner before it is compared.
const MIN_SAMPLES: u32 = 3;

/// Extra utilisation accepted for a runner that has the prefix cached.
const AFFINITY_SCORE: f64 = 0.25;

/// Utilisation added to the score of a runner on which every request fails.
const FAULT_SCORE: f64 = 4.0;

/// Tokens to prefill added to the cost of a runner on which every request fails.
const FAULT_TOKENS: f64 = 60_000.0;

/// Utilisation added to the score of a runner in another failure domain: a local
/// runner may be a tenth fuller before a remote one is preferred.
const REMOTE_SCORE: f64 = 0.1;

/// Tokens to prefill added to the cost of a runner in another failure domain: 25 ms
/// at 40 tokens a millisecond, too little to make a first token late.
const REMOTE_TOKENS: f64 = 1_000.0;

/// Tokens to prefill added to the cost of a runner without a free slot, for the wait until
/// one is free: a second at 40 tokens a millisecond.
const FULL_TOKENS: f64 = 40_000.0;

/// Upper bound of the factor on a slow runner's cost.
const MAX_SLOWDOWN: f64 = 8.0;

/// Share of their work that requests in progress have left on average.
const WORK_LEFT: f64 = 0.5;

/// Service times that an attempt costs on a runner on which every request fails: the attempts
/// that may follow a failed one, and the wait for them.
const FAULT_WORK: f64 = 4.0;

/// Service times by which a runner that has the prefix cached may be later than another.
const AFFINITY_WORK: f64 = 0.25;

/// Seconds added to the expected time of a runner in another failure domain: a round trip and
/// the opening of a connection, of about a millisecond each.
const REMOTE_TIME: f64 = 0.002;

/// Retry delay when no runner is excluded, as in an empty pool.
const NO_RUNNER_RETRY: Duration = Duration::from_secs(1);

/// Shortest retry delay that is returned.
const MIN_RETRY: Duration = Duration::from_millis(250);

/// A change in a runner's health.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// Set aside as slow.
    Aside(RunnerId),
    /// Excluded because its connections broke or it refused requests.
    Down(RunnerId),
    /// In use again.
    Back(RunnerId),
}

/// What a request requires of a runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Query<'a> {
    /// Runners on which it has already failed.
    pub(super) avoid: &'a [RunnerId],
    /// Version of the software that it must have.
    pub(super) build: Option<&'a str>,
    /// Failure domain of the asking daemon, if known.
    pub(super) domain: Option<&'a DomainId>,
    /// Whether it has time to wait for a slot on a full runner.
    pub(super) may_wait: bool,
    pub(super) class: &'a ClassId,
    pub(super) work: Work<'a>,
}

impl Query<'_> {
    /// Whether a runner can serve the request at all.
    fn accepts(&self, runner: &Runner) -> bool {
        has_build(runner, self.build)
    }
}

/// Why a request found no runner; it is not tried again until that changes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Obstacle {
    generation: u64,
    /// Number of the last runner change taken into account.
    seen: u64,
    /// Indexes and costs of the cheapest runners, which have no room: with and without
    /// regard to the failure domain. `None` if no runner was free.
    cheapest: Option<[(usize, f64); 2]>,
}

/// Runners by name.
#[derive(Debug, Default)]
pub(super) struct Pool {
    runners: IndexMap<RunnerId, Runner>,
    pub(super) paths: Paths,
    /// Limits reported of runners that are not on the list yet.
    early_limits: IndexMap<RunnerId, Pace>,
    /// Number of times that a runner was evaluated for a request.
    evaluations: Cell<u64>,
    /// Generation of the cached obstacles; those of an older one are void.
    generation: u64,
    /// Number of runner changes so far.
    changes: u64,
    /// Indexes of the runners that changed since the last [`Pool::clear_changes`].
    changed: IndexSet<usize>,
    /// Reference values for the runners, as of the last [`Pool::detect_outliers`].
    baseline: Baseline,
    /// Whether runners share their machines with others.
    shared_hosts: bool,
    /// Service times with which the runners are compared.
    usual: Usual,
}

/// Reference values of a pool, with which its runners are compared.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    /// Median time to prefill, scaled to one prompt length, in seconds.
    prefill_time: Option<f64>,
    /// Median time between tokens, in seconds.
    between: Option<f64>,
    /// Lowest failure rate; failures that all runners share are not held against one.
    faults: f64,
}

impl Pool {
    pub(super) fn new(shared_hosts: bool) -> Self {
        Self {
            shared_hosts,
            ..Self::default()
        }
    }

    /// Applies the platform's list; runners that remain keep their state.
    pub(super) fn set(&mut self, listed: &[platform::Runner], max: u32) {
        let names: IndexSet<&RunnerId> = listed.iter().map(|it| &it.id).collect();
        self.runners
            .retain(|id, runner| runner.held > 0 || names.contains(id));
        for runner in self.runners.values_mut() {
            runner.leaving = true;
        }
        for it in listed {
            if self.runners.len() >= MAX_RUNNERS && !self.runners.contains_key(&it.id) {
                continue;
            }
            let runner = self.runners.entry(it.id.clone()).or_insert_with(|| {
                let mut runner = Runner::new(max);
                runner.pace = self.early_limits.shift_remove(&it.id);
                runner
            });
            runner.address = Some(it.address);
            runner.domain.clone_from(&it.domain);
            runner.reclaimable = it.reclaimable;
            if *runner.build != *it.build {
                runner.build = Arc::from(it.build.as_str());
            }
            runner.leaving = it.standing == Standing::Leaving;
            if it.slots > 0 {
                runner.set_slots(it.slots);
            }
            runner.set_max(max);
        }
        self.invalidate_obstacles();
    }

    /// Records the limit that a runner names; true if it was not known.
    pub(super) fn on_limit(&mut self, now: Instant, id: &RunnerId, rate: Rate) -> bool {
        let Some(runner) = self.runners.get_mut(id) else {
            if self.early_limits.len() >= MAX_RUNNERS {
                self.early_limits.shift_remove_index(0);
            }
            self.early_limits.insert(id.clone(), Pace::new(now, rate));
            return false;
        };
        match &mut runner.pace {
            Some(pace) => pace.on_named(now, rate),
            none => {
                *none = Some(Pace::new(now, rate));
                true
            }
        }
    }

    /// Ends a limit that an answer to a request granted at `granted` did not name;
    /// false if there was none.
    pub(super) fn end_limit(&mut self, id: &RunnerId, granted: Instant) -> bool {
        let Some(runner) = self.runners.get_mut(id) else {
            return false;
        };
        let ended = runner.pace.is_some_and(|pace| pace.is_ended_by(granted));
        if ended {
            runner.pace = None;
            self.touch(id);
        }
        ended
    }

    /// Records that a runner says that it is brittle; true if that is news.
    pub(super) fn on_brittle(&mut self, now: Instant, id: &RunnerId, most: u32) -> bool {
        let runner = self.runners.get_mut(id);
        runner.is_some_and(|it| it.on_brittle(now, most))
    }

    /// Limits of the runners that name one.
    pub(super) fn limits(&self) -> impl Iterator<Item = (RunnerId, Rate)> {
        let runners = self.runners.iter();
        runners.filter_map(|(id, it)| Some((id.clone(), it.pace.as_ref()?.rate())))
    }

    /// Whether a usable runner gets no request now because of its limit.
    pub(super) fn is_held_back(&self, now: Instant) -> bool {
        let mut runners = self.runners.values();
        runners.any(|it| it.is_usable() && it.is_held_back(now))
    }

    pub(super) fn set_max(&mut self, max: u32) {
        self.runners
            .values_mut()
            .for_each(|runner| runner.set_max(max));
    }

    pub(super) fn runners(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    pub(super) fn get(&self, id: &RunnerId) -> Option<&Runner> {
        self.runners.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &RunnerId) -> Option<&mut Runner> {
        self.runners.get_mut(id)
    }

    pub(super) fn evaluations(&self) -> u64 {
        self.evaluations.get()
    }

    /// Voids the cached obstacles, so that all waiting requests are tried again.
    pub(super) fn invalidate_obstacles(&mut self) {
        self.generation += 1;
        self.changed.clear();
    }

    /// Records that a runner may have become a better or worse choice.
    pub(super) fn touch(&mut self, id: &RunnerId) {
        if let Some((place, _, runner)) = self.runners.get_full_mut(id) {
            self.changes += 1;
            runner.last_change = self.changes;
            self.changed.insert(place);
        }
    }

    /// Clears the changed runners, once all waiting requests have been tried.
    pub(super) fn clear_changes(&mut self) {
        self.changed.clear();
    }

    /// Whether a slot can be granted now.
    pub(super) fn is_free(&self, now: Instant) -> bool {
        self.runners.values().any(|runner| runner.free(now) > 0)
    }

    /// Sum of the concurrency limits of the usable runners.
    pub(super) fn slots(&self) -> u32 {
        let usable = self.runners.values().filter(|it| it.is_usable());
        usable.map(Runner::limit).sum()
    }

    /// What the usable runners can serve.
    pub(super) fn capacity(&self) -> Capacity {
        let mut capacity = Capacity::default();
        for runner in self.runners.values().filter(|it| it.is_usable()) {
            match &runner.pace {
                None => capacity.slots += runner.limit(),
                Some(pace) => {
                    capacity.limited_slots += runner.limit();
                    capacity.limited_rate += pace.rate().per_second();
                }
            }
        }
        capacity
    }

    /// Versions of the listed runners' software.
    pub(super) fn builds(&self) -> impl Iterator<Item = &Arc<str>> {
        self.runners.values().map(|it| &it.build)
    }

    /// Whether a runner of a build is listed and not about to leave.
    pub(super) fn has_build(&self, build: &str) -> bool {
        let mut runners = self.runners.values();
        runners.any(|it| !it.leaving && *it.build == *build)
    }

    /// Whether a runner of a build is usable.
    pub(super) fn is_usable_for(&self, build: &str) -> bool {
        let mut runners = self.runners.values();
        runners.any(|it| it.is_usable() && *it.build == *build)
    }

    /// Whether no runner is usable.
    pub(super) fn is_unusable(&self) -> bool {
        !self.runners.values().any(Runner::is_usable)
    }

    pub(super) fn usable(&self) -> usize {
        self.runners.values().filter(|it| it.is_usable()).count()
    }

    /// Runners set aside as slow.
    pub(super) fn aside(&self) -> usize {
        let slow = |it: &&Runner| {
            matches!(
                it.health,
                Health::Excluded {
                    cause: Cause::Slow,
                    ..
                }
            )
        };
        self.runners.values().filter(slow).count()
    }

    /// Sets the declared KV-cache capacity of each runner, in tokens.
    pub(super) fn set_memory(&mut self, tokens: u32) {
        for runner in self.runners.values_mut() {
            runner.prompts.set_memory(tokens);
        }
    }

    /// The runner with the least cost for a prompt, if it has room.
    ///
    /// Prefers a runner in the failure domain of the asking daemon. If the cheapest
    /// runner has no room, the prompt waits: on a costlier runner with room it would
    /// delay the requests for which that runner was left free. A full runner is
    /// considered too as long as the prompt has time to wait for it.
    pub(super) fn pick_for_prompt(
        &self,
        now: Instant,
        query: &Query<'_>,
    ) -> Result<RunnerId, Obstacle> {
        let others = self.has_others(now, query);
        let mut cheapest: Option<[(usize, f64); 2]> = None;
        for (place, (id, runner)) in self.runners.iter().enumerate() {
            if !query.accepts(runner)
                || !(runner.free(now) > 0 || (query.may_wait && runner.takes_requests(now)))
                || (others && query.avoid.contains(id))
            {
                continue;
            }
            let costs = self.costs(now, runner, query);
            let best = cheapest.get_or_insert([(place, costs[0]), (place, costs[1])]);
            for (best, cost) in best.iter_mut().zip(costs) {
                if cost < best.1 {
                    *best = (place, cost);
                }
            }
        }
        let chosen = cheapest.iter().flatten().find_map(|(place, _)| {
            let (id, runner) = self.runners.get_index(*place)?;
            let fits = runner.free(now) > 0 && runner.prompts.has_room(&query.work);
            fits.then(|| id.clone())
        });
        chosen.ok_or(self.obstacle(cheapest))
    }

    /// Cost of a request on a runner, with and without regard to its failure domain.
    fn costs(&self, now: Instant, runner: &Runner, query: &Query<'_>) -> [f64; 2] {
        self.evaluations.set(self.evaluations.get() + 1);
        let utilisation = f64::from(runner.load(now)) / f64::from(runner.limit());
        let slow = match (
            runner.prefill_time.get(MIN_SAMPLES),
            self.baseline.prefill_time,
        ) {
            (Some(own), Some(median)) if median > 0.0 => (own / median).clamp(1.0, MAX_SLOWDOWN),
            _ => 1.0,
        };
        let faults = (runner.fault_rate(now) - self.baseline.faults) * FAULT_TOKENS;
        let prefill = runner.prompts.cost(now, &query.work, utilisation);
        let full = if runner.free(now) > 0 {
            0.0
        } else {
            FULL_TOKENS
        };
        let cost = prefill * slow + faults + full;
        let remote = if is_remote(runner, query.domain) {
            REMOTE_TOKENS
        } else {
            0.0
        };
        [cost + remote, cost]
    }

    fn obstacle(&self, cheapest: Option<[(usize, f64); 2]>) -> Obstacle {
        Obstacle {
            generation: self.generation,
            seen: self.changes,
            cheapest,
        }
    }

    /// Whether a runner change may have removed a request's obstacle.
    pub(super) fn is_outdated(&self, now: Instant, query: &Query<'_>, found: &Obstacle) -> bool {
        if found.generation != self.generation {
            return true;
        }
        let changed = self.changed.iter().filter_map(|place| {
            let (id, runner) = self.runners.get_index(*place)?;
            (runner.last_change > found.seen).then_some((*place, id, runner))
        });
        changed.into_iter().any(|(place, id, runner)| {
            let fits = query.accepts(runner) && runner.free(now) > 0 && !query.avoid.contains(id);
            let Some(cheapest) = &found.cheapest else {
                return fits;
            };
            let cheaper = || {
                let costs = self.costs(now, runner, query);
                cheapest.iter().zip(costs).any(|(best, cost)| cost < best.1)
            };
            cheapest.iter().any(|it| it.0 == place) || (fits && cheaper())
        })
    }

    /// Whether any runner that may be used now is not one of those to avoid.
    pub(super) fn has_others(&self, now: Instant, query: &Query<'_>) -> bool {
        if query.avoid.is_empty() {
            return false;
        }
        let usable = |it: &Runner| it.is_usable() && !it.is_held_back(now) && query.accepts(it);
        let mut runners = self.runners.iter();
        runners.any(|(id, it)| usable(it) && !query.avoid.contains(id))
    }

    /// The best runner with a free slot; avoided ones only if no other is usable.
    pub(super) fn pick(
        &self,
        now: Instant,
        query: &Query<'_>,
        warm: Option<&RunnerId>,
    ) -> Result<RunnerId, Obstacle> {
        if self.shared_hosts {
            return self.pick_by_time(now, query, warm);
        }
        let others = self.has_others(now, query);
        let mut best: Option<(f64, &RunnerId)> = None;
        let mut warm_score = None;
        for (id, runner) in &self.runners {
            if !query.accepts(runner)
                || runner.free(now) == 0
                || (others && query.avoid.contains(id))
            {
                continue;
            }
            self.evaluations.set(self.evaluations.get() + 1);
            let faults = (runner.fault_rate(now) - self.baseline.faults) * FAULT_SCORE;
            let remote = if is_remote(runner, query.domain) {
                REMOTE_SCORE
            } else {
                0.0
            };
            let score = score(now, runner, self.baseline.between) + faults + remote;
            if warm == Some(id) {
                warm_score = Some((score, id));
            }
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, id));
            }
        }
        let (least, id) = best.ok_or(self.obstacle(None))?;
        match warm_score {
            Some((score, warm)) if score <= least + AFFINITY_SCORE => Ok(warm.clone()),
            _ => Ok(id.clone()),
        }
    }

    /// The runner with a free slot that is expected to complete the request first.
    fn pick_by_time(
        &self,
        now: Instant,
        query: &Query<'_>,
        warm: Option<&RunnerId>,
    ) -> Result<RunnerId, Obstacle> {
        let others = self.has_others(now, query);
        let work = self.usual.work(query.class);
        let free = self.runners.iter().filter(|(id, it)| {
            query.accepts(it) && it.free(now) > 0 && !(others && query.avoid.contains(id))
        });
        let times = free.map(|(id, it)| (self.expected_time(now, it, query, work), id));
        let times: Vec<(f64, &RunnerId)> = times.collect();
        let best = times.iter().min_by(|a, b| a.0.total_cmp(&b.0));
        let (least, id) = best.ok_or(self.obstacle(None))?;
        let is_warm = |(time, id): &&(f64, &RunnerId)| {
            warm == Some(*id) && *time <= least + AFFINITY_WORK * work
        };
        let warm = times.iter().find(is_warm);
        Ok(warm.map_or(*id, |(_, warm)| *warm).clone())
    }

    /// Expected time until a runner completes a request of that usual service time, in seconds.
    fn expected_time(&self, now: Instant, runner: &Runner, query: &Query<'_>, work: f64) -> f64 {
        self.evaluations.set(self.evaluations.get() + 1);
        let granted = WORK_LEFT * runner.work;
        let ahead = (granted + runner.work_beyond(now, work)) / f64::from(runner.limit());
        let faults = (runner.fault_rate(now) - self.baseline.faults) * FAULT_WORK * work;
        let remote = if is_remote(runner, query.domain) {
            REMOTE_TIME
        } else {
            0.0
        };
        runner.speed.slowness(now) * (ahead + work) + faults + remote
    }

    /// Records that runners share their machines with others.
    pub(super) fn on_shared_hosts(&mut self) {
        self.shared_hosts = true;
    }

    /// Whether runners share their machines with others.
    pub(super) fn has_shared_hosts(&self) -> bool {
        self.shared_hosts
    }

    /// Usual service time of a class in seconds, where runners share their machines.
    pub(super) fn usual_work(&self, class: &ClassId) -> f64 {
        if self.shared_hosts {
            self.usual.work(class)
        } else {
            0.0
        }
    }

    /// Records what the end of a request tells about the speed of its runner.
    pub(super) fn on_speed(
        &mut self,
        now: Instant,
        id: &RunnerId,
        class: &ClassId,
        usage: Option<&Usage>,
        sample: &Sample,
    ) {
        let Some(runner) = self.runners.get_mut(id).filter(|_| self.shared_hosts) else {
            return;
        };
        let report = sample.report.unwrap_or_default();
        if sample.report.is_some() {
            runner.on_report(now, &report);
            runner.speed.on_report(now, &report);
        }
        if sample.end != End::Done {
            return;
        }
        match (usage, sample.first_token) {
            (None, _) => {
                let slowdown = runner.speed.slowdown_at(&report);
                runner.speed.on_time(now, class, sample.whole, slowdown);
            }
            (Some(usage), Some(first)) if usage.timed => {
                // The report came with the first token.
                let slowdown = speed::slowdown(&report.load);
                let took = runner::scale_prefill(first, usage.ahead);
                runner.speed.on_time(now, speed::PREFILL, took, slowdown);
            }
            (Some(_), _) => {}
        }
    }

    /// Learned service times of the fastest and the slowest usable runner, in percent of the
    /// mean; `None` if runners do not share their machines.
    pub(super) fn speeds(&self, now: Instant) -> Option<(u32, u32)> {
        let usable = self.runners.values().filter(|it| it.is_usable());
        let learned = usable.map(|it| it.speed.learned(now));
        let (least, most) = learned.fold(None, |seen: Option<(f64, f64)>, it| {
            let (least, most) = seen.unwrap_or((it, it));
            Some((least.min(it), most.max(it)))
        })?;
        self.shared_hosts.then_some((percent(least), percent(most)))
    }

    /// An excluded runner that is due for a probe with one request.
    pub(super) fn probe(&self, now: Instant) -> Option<RunnerId> {
        self.probe_of(now, Duration::ZERO, None)
    }

    /// The same among the runners of a build, if one is given, whose probe has been due
    /// for some time.
    pub(super) fn probe_of(
        &self,
        now: Instant,
        due_for: Duration,
        build: Option<&str>,
    ) -> Option<RunnerId> {
        let outage = self.is_unusable();
        let mut runners = self.runners.iter();
        let is_due = |it: &Runner| {
            let at = it.probe_at(outage);
            it.may_be_probed(now) && at.is_some_and(|at| at + due_for <= now)
        };
        let due = runners.find(|(_, it)| is_due(it) && has_build(it, build));
        due.map(|(id, _)| id.clone())
    }

    /// The least loaded usable runner, for a request that must run alone.
    pub(super) fn least_loaded(
        &self,
        now: Instant,
        avoid: &[RunnerId],
        build: Option<&str>,
    ) -> Option<RunnerId> {
        let usable = |it: &Runner| it.is_usable() && has_build(it, build);
        let usable = self.runners.iter().filter(|(_, it)| usable(it));
        usable
            .min_by_key(|(id, it)| (it.is_held_back(now), avoid.contains(id), it.held))
            .map(|(id, _)| id.clone())
    }

    /// Delay after which a request that finds no runner should be retried.
    pub(super) fn retry_after(&self, now: Instant) -> Duration {
        let outage = self.is_unusable();
        let probes = self.runners.values().filter_map(|it| it.probe_at(outage));
        let waits = probes.map(|at| at.saturating_duration_since(now));
        waits.min().unwrap_or(NO_RUNNER_RETRY).max(MIN_RETRY)
    }

    /// Records that a runner answered an asker.
    pub(super) fn on_answer(&mut self, now: Instant, asker: u32, id: &RunnerId) {
        if let Some(runner) = self.runners.get_mut(id) {
            self.paths.on_answer(now, asker, &mut runner.sightings);
        }
    }

    /// Whether no other runner can take its requests; `of_build`: its streams, which
    /// only go on at the version that began them.
    fn is_last(&self, id: &RunnerId, of_build: bool) -> bool {
        let build = self.runners.get(id).filter(|_| of_build);
        let build = build.map(|it| &*it.build);
        let mut others = self.runners.iter().filter(|(other, _)| *other != id);
        !others.any(|(_, it)| it.is_usable() && has_build(it, build))
    }

    /// Records the end of an asker's request; returns the health transition that it causes.
    pub(super) fn on_end(
        &mut self,
        now: Instant,
        (asker, id): (u32, &RunnerId),
        class: &Class,
        sample: &Sample,
        read: bool,
    ) -> Option<Transition> {
        let had_begun = sample.first_token.is_some();
        let is_needed = sample.end == End::Broken && self.is_last(id, had_begun);
        let runner = self.runners.get_mut(id)?;
        let sightings = &mut runner.sightings;
        match sample.end {
            End::Broken | End::Unreachable => {
                if !self.paths.on_failure(now, asker, id, sightings) {
                    runner.end_probe();
                    return None;
                }
            }
            End::Done | End::Refused => self.paths.on_answer(now, asker, sightings),
            End::Cancelled | End::Late | End::Preempted => {
                if sample.first_token.is_some() {
                    self.paths.on_answer(now, asker, sightings);
                }
            }
        }
        let was_down = matches!(
            runner.health,
            Health::Excluded {
                cause: Cause::Down,
                ..
            }
        );
        match sample.end {
            End::Broken => {
                runner.note_fault(now, true);
                if !runner.on_broken(is_needed) && !was_down {
                    return None;
                }
                runner.exclude(now, Cause::Down);
                runner.prompts.clear_cache();
                (!was_down).then(|| Transition::Down(id.clone()))
            }
            End::Refused | End::Unreachable => {
                runner.note_fault(now, true);
                let down = runner.on_refused(now) || was_down;
                if down {
                    runner.exclude(now, Cause::Down);
                }
                (down && !was_down).then(|| Transition::Down(id.clone()))
            }
            End::Done | End::Cancelled | End::Late | End::Preempted => {
                let answered = sample.end == End::Done || sample.first_token.is_some();
                if answered || sample.end == End::Late {
                    runner.note_fault(now, !answered);
                }
                if answered {
                    runner.on_sample(now, class, sample, read);
                }
                if was_down && answered {
                    runner.restore();
                    return Some(Transition::Back(id.clone()));
                }
                if !answered || was_down {
                    runner.end_probe();
                }
                None
            }
        }
    }

    /// Records what running streams observe.
    pub(super) fn on_progress(
        &mut self,
        id: &RunnerId,
        silent: Duration,
        between: Option<Duration>,
    ) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.on_progress(silent, between);
        }
    }

    /// Compares the runners: sets slow ones aside and restores recovered ones.
    pub(super) fn detect_outliers(&mut self, now: Instant) -> Vec<Transition> {
        if self.shared_hosts {
            let speeds = self.runners.values_mut().map(|it| &mut it.speed);
            self.usual.update(speeds);
        }
        let mut transitions = Vec::new();
        let medians = [
            self.median(|it| it.between.get(MIN_SAMPLES)),
            self.median(|it| it.first.get(MIN_SAMPLES)),
            self.median(|it| it.whole.get(MIN_SAMPLES)),
        ];
        let usable = self.runners.values().filter(|it| it.is_usable());
        let faults = usable.map(|it| it.fault_rate(now)).reduce(f64::min);
        self.baseline = Baseline {
            prefill_time: self.median(|it| it.prefill_time.get(MIN_SAMPLES)),
            between: medians[0],
            faults: faults.unwrap_or(0.0),
        };
        self.invalidate_obstacles();
        let (slow_ratio, recovered_ratio) = if self.shared_hosts {
            (SHARED_SLOW_RATIO, SHARED_RECOVERED_RATIO)
        } else {
            (SLOW_RATIO, RECOVERED_RATIO)
        };
        for (id, runner) in &mut self.runners {
            let Health::Excluded {
                cause: Cause::Slow,
                probing: true,
                ..
            } = runner.health
            else {
                continue;
            };
            match slowness(runner, medians, 1) {
                Some(slowness) if slowness <= recovered_ratio => {
                    runner.restore();
                    transitions.push(Transition::Back(id.clone()));
                }
                Some(_) if runner.held == 0 => runner.exclude(now, Cause::Slow),
                _ => {}
            }
        }
        let live = self.runners.values().filter(|it| !it.leaving).count();
        let room = (live / 3).saturating_sub(self.aside());
        let mut slow: Vec<(f64, RunnerId)> = self
            .runners
            .iter()
            .filter(|(_, it)| it.is_usable())
            .filter_map(|(id, it)| Some((slowness(it, medians, MIN_SAMPLES)?, id.clone())))
            .filter(|(slowness, _)| *slowness > slow_ratio)
            .collect();
        slow.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, id) in slow.into_iter().take(room) {
            if let Some(runner) = self.runners.get_mut(&id) {
                runner.exclude(now, Cause::Slow);
                transitions.push(Transition::Aside(id));
            }
        }
        transitions
    }

    fn median<F>(&self, value: F) -> Option<f64>
    where
        F: Fn(&Runner) -> Option<f64>,
    {
        let live = self.runners.values().filter(|it| !it.leaving);
        let mut values: Vec<f64> = live.filter_map(value).collect();
        if values.len() < 3 {
            return None;
        }
        values.sort_by(f64::total_cmp);
        Some(values[(values.len() - 1) / 2])
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a ratio is not negative, and a float is cut to the integer's range"
)]
fn percent(ratio: f64) -> u32 {
    (ratio * 100.0).round() as u32
}

/// Whether a runner is of a build, if one is given.
fn has_build(runner: &Runner, build: Option<&str>) -> bool {
    build.is_none_or(|build| *runner.build == *build)
}

/// Whether a runner is in another failure domain than the asking daemon.
fn is_remote(runner: &Runner, domain: Option<&DomainId>) -> bool {
    domain.is_some_and(|domain| runner.domain != *domain)
}

/// Utilisation, scaled by the runner's slowdown.
fn score(now: Instant, runner: &Runner, median: Option<f64>) -> f64 {
    let utilisation = f64::from(runner.load(now) + 1) / f64::from(runner.limit());
    let slowdown = match (runner.between.get(MIN_SAMPLES), median) {
        (Some(own), Some(median)) if median > 0.0 => (own / median).clamp(0.5, 3.0),
        _ => 1.0,
    };
    utilisation * slowdown
}

/// Multiple of the median latency, by the worst signal.
fn slowness(runner: &Runner, medians: [Option<f64>; 3], min_samples: u32) -> Option<f64> {
    let own = [
        runner.between.get(min_samples),
        runner.first.get(min_samples),
        runner.whole.get(min_samples),
    ];
    let ratios = own.into_iter().zip(medians).filter_map(|pair| match pair {
        (Some(own), Some(median)) if median > 0.0 => Some(own / median),
        _ => None,
    });
    ratios.reduce(f64::max)
}
