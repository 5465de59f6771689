//! One runner as its arbiter sees it: load, concurrency limit and speed.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    brittle::Brittle,
    message::{End, Report, Sample},
    pace::Pace,
    path::Sightings,
    prompt::Load,
    speed::Speed,
};
use crate::{
    catalogue::Class,
    id::{DomainId, Fingerprint},
};

/// Weight of a new sample in the exponentially weighted means.
const MEAN_GAIN: f64 = 0.2;

/// Weight of the newest outcome in the failure rate.
const FAULT_GAIN: f64 = 0.1;

/// Time constant by which the failure rate decays, so that a runner is tried again.
const FAULT_DECAY: Duration = Duration::from_secs(4);

/// Consecutive broken connections at which a runner is considered dead.
const MAX_BROKEN: u32 = 3;

/// Time since a lost answer from which another request, granted before the loss and
/// ending now, proves that the runner is alive. Longer than the spread of the daemons'
/// reports of one death.
const SURVIVAL_MARGIN: Duration = Duration::from_millis(100);

/// Most lost answers recorded for one runner.
const MAX_LOST_ANSWERS: usize = 64;

/// Prompt length to which prefill times are scaled, in tokens; also added to each
/// length for the fixed part of the time to a first token.
const PREFILL_UNIT_TOKENS: f64 = 2_000.0;

/// Factor on the limit when latency targets are missed.
const LIMIT_DECREASE: f64 = 0.85;

/// Shortest time between two decreases of the limit, so that one can take effect.
const DECREASE_INTERVAL: Duration = Duration::from_secs(1);

/// Ratio of latency to target below which the limit grows.
const GROWTH_RATIO: f64 = 0.85;

/// Age after which a load report is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// Half of the window by which load reports may lag.
const PEAK_WINDOW: Duration = Duration::from_secs(1);

/// Time without grants after a refusal by the runner.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// Consecutive refusals after which a runner is considered down.
const MAX_REFUSALS: u32 = 3;

/// Delay before the first probe of an excluded runner.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(500);

/// Time for which a due probe waits for a request of the lowest class.
const PROBE_OVERDUE_AFTER: Duration = Duration::from_secs(3);

/// Upper bound of the probe delay.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(8);

/// The same while no runner of the service is usable: with 8 s callers were refused for
/// that long after the end of an outage.
const MAX_OUTAGE_PROBE_DELAY: Duration = Duration::from_secs(2);

/// Why a runner is excluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// Much slower than its pool.
    Slow,
    /// Its connections broke, or it refused requests.
    Down,
}

/// Whether a runner is given requests, or probes only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Health {
    Healthy,
    Excluded {
        cause: Cause,
        since: Instant,
        probe_at: Instant,
        delay: Duration,
        probing: bool,
    },
}

/// Exponentially weighted mean of samples, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    fn add(&mut self, value: Duration) {
        let value = value.as_secs_f64();
        if self.samples == 0 {
            self.value = value;
        }
        self.value += MEAN_GAIN * (value - self.value);
        self.samples = self.samples.saturating_add(1);
    }

    /// The mean, once there are `least` samples.
    pub(super) fn get(&self, least: u32) -> Option<f64> {
        (self.samples >= least).then_some(self.value)
    }
}

/// Failure rate, decaying while no requests are tried.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    rate: f64,
    noted: Option<Instant>,
}

impl Faults {
    fn note(&mut self, now: Instant, failed: bool) {
        let seen = if failed { 1.0 } else { 0.0 };
        self.rate = self.rate(now) + FAULT_GAIN * (seen - self.rate(now));
        self.noted = Some(now);
    }

    fn rate(&self, now: Instant) -> f64 {
        if self.rate <= 0.0 {
            return 0.0;
        }
        let age = self
            .noted
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.rate * (-age.as_secs_f64() / FAULT_DECAY.as_secs_f64()).exp()
    }
}

/// State of one runner.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) leaving: bool,
    /// Address on the platform's list.
    pub(super) address: Option<SocketAddr>,
    /// Failure domain on the platform's list.
    pub(super) domain: DomainId,
    /// Whether the platform may take it back at short notice.
    pub(super) reclaimable: bool,
    /// Version of its software on the platform's list.
    pub(super) build: Arc<str>,
    /// Whether it is reserved for a request that must run alone.
    pub(super) reserved: bool,
    /// Slots in use, as far as this arbiter knows.
    pub(super) held: u32,
    /// Number of its last change, to compare with [`super::pool::Obstacle`].
    pub(super) last_change: u64,
    /// Cached prompt parts and pending prefill.
    pub(super) prompts: Load,
    /// What the askers have seen of it.
    pub(super) sightings: Sightings,
    /// Recent failure rate.
    faults: Faults,
    /// Connections broken since the last answer.
    consecutive_breaks: u32,
    /// Requests whose answers were lost while the runner was usable.
    lost_answers: Vec<(Instant, Fingerprint)>,
    pub(super) health: Health,
    /// Time between tokens.
    pub(super) between: Mean,
    /// Time to the first token.
    pub(super) first: Mean,
    /// Time of a whole exchange.
    pub(super) whole: Mean,
    /// Time to prefill, scaled to one prompt length.
    pub(super) prefill_time: Mean,
    /// How long it takes, where runners share their machines.
    pub(super) speed: Speed,
    /// Usual service time of all requests that it holds, in seconds.
    pub(super) work: f64,
    limit: f64,
    max: u32,
    /// Batch size that the runner reports.
    slots: u32,
    /// Mean ratio of latency to target.
    latency_ratio: f64,
    decreased_at: Option<Instant>,
    paused_until: Option<Instant>,
    /// Limit on requests per second that it names.
    pub(super) pace: Option<Pace>,
    /// What it says of the requests that it turns away.
    brittle: Option<Brittle>,
    refusals: u32,
    /// Highest `held` in this and the previous window.
    peaks: [u32; 2],
    peak_at: Option<Instant>,
    /// Requests reported beyond those granted here.
    external: u32,
    /// The same in the last answer, and when.
    beyond: Option<(u32, Instant)>,
    reported_at: Option<Instant>,
}

impl Runner {
    pub(super) fn new(max: u32) -> Self {
        Self {
            leaving: false,
            address: None,
            domain: DomainId::new(),
            reclaimable: false,
            build: Arc::from(""),
            reserved: false,
            held: 0,
            last_change: 0,
            prompts: Load::default(),
            sightings: Sightings::default(),
            faults: Faults::default(),
            consecutive_breaks: 0,
            lost_answers: Vec::new(),
            health: Health::Healthy,
            between: Mean::default(),
            first: Mean::default(),
            whole: Mean::default(),
            prefill_time: Mean::default(),
            speed: Speed::default(),
            work: 0.0,
            limit: f64::from(max),
            max,
            slots: 0,
            latency_ratio: 0.0,
            decreased_at: None,
            paused_until: None,
            pace: None,
            brittle: None,
            refusals: 0,
            peaks: [0; 2],
            peak_at: None,
            external: 0,
            beyond: None,
            reported_at: None,
        }
    }

    pub(super) fn set_max(&mut self, max: u32) {
        if self.max != max {
            self.max = max;
            self.limit = f64::from(max);
        }
    }

    /// Sets the number of requests that it can run at once.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Concurrency limit; zero without slots.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float is cut to the integer's range"
    )]
    pub(super) fn limit(&self) -> u32 {
        let limit = (self.limit as u32).max(1).min(self.max);
        if self.slots == 0 {
            limit
        } else {
            limit.min(self.slots)
        }
    }

    /// Requests on the runner: granted here, and reported beyond those.
    pub(super) fn load(&self, now: Instant) -> u32 {
        let fresh = self
            .reported_at
            .is_some_and(|at| now.saturating_duration_since(at) < REPORT_MAX_AGE);
        self.held + if fresh { self.external } else { 0 }
    }

    pub(super) fn is_usable(&self) -> bool {
        self.has_slots() && !self.leaving && self.health == Health::Healthy
    }

    /// Whether its service is in use: one without slots takes no requests.
    fn has_slots(&self) -> bool {
        self.max > 0
    }

    /// Whether it gets requests as soon as it has a free slot.
    pub(super) fn takes_requests(&self, now: Instant) -> bool {
        let paused = self.paused_until.is_some_and(|until| now < until);
        self.is_usable() && !self.reserved && !paused && !self.is_held_back(now)
    }

    /// Slots that can be granted now.
    pub(super) fn free(&self, now: Instant) -> u32 {
        if !self.takes_requests(now) {
            return 0;
        }
        let room = self.brittle(now).and_then(|it| it.room(now));
        let limit = room.map_or(self.limit(), |room| room.min(self.limit()));
        limit.saturating_sub(self.load(now))
    }

    /// Whether it must be given no request yet.
    pub(super) fn is_held_back(&self, now: Instant) -> bool {
        self.pace.is_some_and(|pace| pace.holds_back(now))
            || self.brittle(now).is_some_and(|it| it.holds_back(now))
    }

    /// What it says of the requests that it turns away, if it did lately.
    fn brittle(&self, now: Instant) -> Option<&Brittle> {
        self.brittle.as_ref().filter(|it| it.is_current(now))
    }

    /// Records that it says that it is brittle; true if that is news.
    pub(super) fn on_brittle(&mut self, now: Instant, most: u32) -> bool {
        match &mut self.brittle {
            Some(brittle) if brittle.is_current(now) => {
                let changed = brittle.most() != most;
                brittle.on_named(now, most);
                changed
            }
            none => {
                *none = Some(Brittle::new(now, most));
                true
            }
        }
    }

    /// Records that a request granted at `granted` was taken.
    pub(super) fn on_taken(&mut self, granted: Instant) {
        if let Some(brittle) = &mut self.brittle {
            brittle.on_settled(granted);
        }
    }

    /// Records the end of a request granted at `granted`, for a brittle runner.
    pub(super) fn on_brittle_end(&mut self, now: Instant, granted: Instant, end: End) {
        let held = self.held;
        if let Some(brittle) = &mut self.brittle {
            brittle.on_settled(granted);
            if end == End::Refused {
                brittle.on_rejected(now, held);
            }
        }
    }

    /// Whether nothing but the time of its probe keeps it from one.
    pub(super) fn may_be_probed(&self, now: Instant) -> bool {
        let idle = matches!(self.health, Health::Excluded { probing: false, .. });
        idle && self.has_slots()
            && !self.leaving
            && !self.reserved
            && self.held == 0
            && !self.is_held_back(now)
    }

    /// When it may be probed, if it is excluded; `outage`: no runner is usable.
    pub(super) fn probe_at(&self, outage: bool) -> Option<Instant> {
        match self.health {
            _ if !self.has_slots() => None,
            Health::Excluded {
                since, probe_at, ..
            } if outage => Some(probe_at.min(since + MAX_OUTAGE_PROBE_DELAY)),
            Health::Excluded { probe_at, .. } => Some(probe_at),
            Health::Healthy => None,
        }
    }

    /// Whether its probe has waited too long for a request of the lowest class.
    pub(super) fn is_probe_overdue(&self, now: Instant) -> bool {
        matches!(self.health, Health::Excluded { probe_at, .. } if probe_at + PROBE_OVERDUE_AFTER <= now)
    }

    pub(super) fn on_grant(&mut self, now: Instant) {
        if let Some(pace) = &mut self.pace {
            pace.on_grant(now);
        }
        if let Some(brittle) = &mut self.brittle {
            brittle.on_grant(now);
        }
        self.on_hold(now);
    }

    /// Records a slot in use, granted here or by another arbiter.
    pub(super) fn on_hold(&mut self, now: Instant) {
        self.held += 1;
        self.roll_peaks(now);
        self.peaks[0] = self.peaks[0].max(self.held);
        if let Health::Excluded { probing, .. } = &mut self.health {
            *probing = true;
            self.between = Mean::default();
            self.first = Mean::default();
            self.whole = Mean::default();
        }
    }

    pub(super) fn on_free(&mut self, now: Instant) {
        self.roll_peaks(now);
        self.held = self.held.saturating_sub(1);
    }

    /// Records a load report, which describes the recent past.
    pub(super) fn on_load(&mut self, now: Instant, running: u32, slots: u32) {
        self.roll_peaks(now);
        let own = self.peaks[0].max(self.peaks[1]).max(self.held);
        self.external = running.saturating_sub(own);
        self.slots = slots;
        self.reported_at = Some(now);
    }

    /// Records what a finished request observed.
    ///
    /// Requests with a prompt are not compared here: their times depend on the prompt.
    pub(super) fn on_sample(&mut self, now: Instant, class: &Class, sample: &Sample, read: bool) {
        self.refusals = 0;
        self.consecutive_breaks = 0;
        if read {
            return;
        }
        if let Some(first) = sample.first_token {
            self.first.add(first);
        }
        match sample.between_tokens {
            Some(between) => {
                self.between.add(between);
                self.adapt(now, between, class.between_tokens);
            }
            None if sample.first_token.is_none() => {
                self.whole.add(sample.whole);
                self.adapt(now, sample.whole, class.whole);
            }
            None => {}
        }
    }

    /// Records the prefill time of a prompt and of the tokens queued ahead of it.
    ///
    /// The time is scaled to one length, so that runners with different prompts compare.
    /// It raises the cost of a slow runner but never excludes it: under a burst the
    /// times of healthy runners differ as much, and the pool must not shrink then.
    pub(super) fn on_prefill(&mut self, took: Duration, tokens: u64) {
        self.prefill_time.add(scale_prefill(took, tokens));
    }

    /// Records the load that it named in an answer: the requests beyond those granted here, such
    /// as abandoned ones that it still runs.
    pub(super) fn on_report(&mut self, now: Instant, report: &Report) {
        let at = now.checked_sub(report.age).unwrap_or(now);
        if self.beyond.is_some_and(|(_, known)| at < known) {
            return;
        }
        self.roll_peaks(now);
        // The answer is older than the last grants, so that the most of late is subtracted.
        let own = self.peaks[0].max(self.peaks[1]).max(self.held);
        let there = report.load.running.saturating_add(report.load.waiting);
        self.beyond = Some((there.saturating_sub(own), at));
    }

    /// Work left of the requests beyond those granted here, in seconds of all its slots
    /// together, if each takes `work`.
    pub(super) fn work_beyond(&self, now: Instant, work: f64) -> f64 {
        let Some((count, at)) = self.beyond else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        if age >= REPORT_MAX_AGE {
            return 0.0;
        }
        let done = age.as_secs_f64() * f64::from(self.limit());
        (f64::from(count) * work - done).max(0.0)
    }

    /// Records what running streams observe.
    pub(super) fn on_progress(&mut self, silent: Duration, between: Option<Duration>) {
        if self
            .first
            .get(1)
            .is_none_or(|first| silent.as_secs_f64() > first)
            && !silent.is_zero()
        {
            self.first.add(silent);
        }
        if let Some(between) = between {
            self.between.add(between);
        }
    }

    /// Adapts the limit to the ratio of latency to target (AIMD).
    fn adapt(&mut self, now: Instant, seen: Duration, target: Duration) {
        let ratio = seen.as_secs_f64() / target.as_secs_f64().max(0.000_001);
        self.latency_ratio += MEAN_GAIN * (ratio - self.latency_ratio);
        let may_decrease = self
            .decreased_at
            .is_none_or(|at| now.saturating_duration_since(at) >= DECREASE_INTERVAL);
        if self.latency_ratio > 1.0 && may_decrease {
            self.limit = (self.limit * LIMIT_DECREASE).max(1.0);
            self.decreased_at = Some(now);
        } else if self.latency_ratio < GROWTH_RATIO && self.held + 1 >= self.limit() {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.max));
        }
    }

    /// Records a broken connection; true if the runner must be considered dead.
    ///
    /// A single lost answer is no evidence: a runner that dies breaks all its
    /// connections at once. If it was the only request there, it is taken for one as
    /// long as another runner can do the work, that is unless this one `is_needed`.
    pub(super) fn on_broken(&mut self, is_needed: bool) -> bool {
        self.consecutive_breaks += 1;
        self.consecutive_breaks >= MAX_BROKEN || (self.held == 0 && !is_needed)
    }

    /// Records the loss of a request's answer.
    pub(super) fn on_lost_answer(&mut self, now: Instant, fingerprint: Fingerprint) {
        if self.lost_answers.len() < MAX_LOST_ANSWERS {
            self.lost_answers.push((now, fingerprint));
        }
    }

    /// Removes and returns the lost answers that no crash explains, since a request
    /// granted before them has now completed.
    pub(super) fn take_survived(&mut self, now: Instant, granted: Instant) -> Vec<Fingerprint> {
        let survived =
            |at: Instant| granted < at && now.saturating_duration_since(at) >= SURVIVAL_MARGIN;
        let lost = self.lost_answers.extract_if(.., |(at, _)| survived(*at));
        lost.map(|(_, fingerprint)| fingerprint).collect()
    }

    /// Records whether a request failed on the runner.
    pub(super) fn note_fault(&mut self, now: Instant, failed: bool) {
        self.faults.note(now, failed);
    }

    /// Recent failure rate, from zero to one.
    pub(super) fn fault_rate(&self, now: Instant) -> f64 {
        self.faults.rate(now)
    }

    /// Records a refusal before execution; true if the runner is considered down.
    pub(super) fn on_refused(&mut self, now: Instant) -> bool {
        self.refusals += 1;
        self.paused_until = Some(now + REFUSAL_PAUSE);
        self.refusals >= MAX_REFUSALS
    }

    /// Excludes the runner until a probe succeeds.
    pub(super) fn exclude(&mut self, now: Instant, cause: Cause) {
        let delay = match self.health {
            Health::Healthy => MIN_PROBE_DELAY,
            Health::Excluded { delay, probing, .. } if probing => (delay * 2).min(MAX_PROBE_DELAY),
            Health::Excluded { .. } => return,
        };
        self.refusals = 0;
        self.lost_answers.clear();
        self.health = Health::Excluded {
            cause,
            since: now,
            probe_at: now + delay,
            delay,
            probing: false,
        };
    }

    /// Makes the runner usable again.
    pub(super) fn restore(&mut self) {
        self.health = Health::Healthy;
        self.limit = f64::from(self.max);
        self.latency_ratio = 0.0;
    }

    /// Ends an inconclusive probe; the next one may start at once.
    pub(super) fn end_probe(&mut self) {
        if let Health::Excluded { probing, .. } = &mut self.health {
            *probing = false;
        }
    }

    fn roll_peaks(&mut self, now: Instant) {
        let at = *self.peak_at.get_or_insert(now);
        if now.saturating_duration_since(at) >= PEAK_WINDOW {
            self.peaks = [self.held, self.peaks[0]];
            self.peak_at = Some(now);
        }
    }
}

/// A prefill time, scaled to one prompt length.
pub(super) fn scale_prefill(took: Duration, tokens: u64) -> Duration {
    let tokens = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
    took.mul_f64(PREFILL_UNIT_TOKENS / (tokens + PREFILL_UNIT_TOKENS))
}
