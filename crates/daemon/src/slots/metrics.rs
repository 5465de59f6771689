//! Metrics of slots: grants, refusals, wait times and wasted work.

use std::{sync::atomic::AtomicU64, time::Duration};

use citron_policy::{
    arbiter::{End, Rate, Refusal, Sample, Source, Stats, Transition},
    id::RunnerId,
};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Label of a tier.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TierLabel {
    /// Tier; zero is the highest.
    pub tier: u8,
}

/// Label of a service and a tier.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QueueLabel {
    /// Service.
    pub service: String,
    /// Tier; zero is the highest.
    pub tier: u8,
}

/// Label of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Service.
    pub service: String,
}

/// Labels of a crash mark.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MarkLabel {
    mark: &'static str,
    /// Side that proposed it: `asker` or `arbiter`.
    by: &'static str,
}

/// Labels of a service and its runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RunnerLabel {
    service: String,
    runner: String,
}

/// Labels of a service and an end of the range of its runners' speeds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SpeedLabel {
    service: String,
    /// `fastest` or `slowest`.
    runner: &'static str,
}

/// Label of a reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Reason.
    pub reason: &'static str,
}

/// Label of the evidence for the build of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SourceLabel {
    evidence: &'static str,
}

/// Counters and gauges of this daemon's requesters and arbiters.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Slots granted by hosted arbiters.
    pub(super) grants: Family<TierLabel, Counter>,
    /// Grants from the share reserved for classes past their wait bound.
    pub(super) floor_grants: Counter,
    /// Refusals of requests of this daemon's callers.
    pub(super) refusals: Family<ReasonLabel, Counter>,
    /// Slots preempted by hosted arbiters, by tier of the preempted request.
    pub(super) preemptions: Family<TierLabel, Counter>,
    /// Changes of runner health: slow, broken or back in use.
    pub(super) transitions: Family<ReasonLabel, Counter>,
    /// Askers whose lease expired.
    pub(super) lost_askers: Counter,
    /// Malformed messages from other daemons.
    pub(super) malformed: Counter,
    /// Requesters and arbiters that were dropped after a panic.
    pub(super) panics: Counter,
    wait: Family<TierLabel, Histogram>,
    queued: Family<QueueLabel, Gauge>,
    running: Family<ServiceLabel, Gauge>,
    aside: Family<ServiceLabel, Gauge>,
    speed: Family<SpeedLabel, Gauge>,
    limited: Family<ServiceLabel, Gauge>,
    limit: Family<RunnerLabel, Gauge<f64, AtomicU64>>,
    held_back: Family<ServiceLabel, Counter>,
    continued: Family<SourceLabel, Counter>,
    marks: Family<MarkLabel, Counter>,
    suspects: Family<ServiceLabel, Gauge>,
    parked: Family<ServiceLabel, Gauge>,
    arbiters: Gauge,
    events: Counter,
    busy: Counter<f64, AtomicU64>,
    tokens: Family<ReasonLabel, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let wait = || Histogram::new(exponential_buckets(0.001, 2.0, 16));
        Self {
            grants: Family::default(),
            floor_grants: Counter::default(),
            refusals: Family::default(),
            preemptions: Family::default(),
            transitions: Family::default(),
            lost_askers: Counter::default(),
            malformed: Counter::default(),
            panics: Counter::default(),
            wait: Family::new_with_constructor(wait),
            queued: Family::default(),
            running: Family::default(),
            aside: Family::default(),
            speed: Family::default(),
            limited: Family::default(),
            limit: Family::default(),
            held_back: Family::default(),
            continued: Family::default(),
            marks: Family::default(),
            suspects: Family::default(),
            parked: Family::default(),
            arbiters: Gauge::default(),
            events: Counter::default(),
            busy: Counter::default(),
            tokens: Family::default(),
        }
    }
}

impl Metrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let mut registrar = Registrar(registry);
        registrar.add("grants", "Slots granted by arbiters here", &self.grants);
        registrar.add(
            "floor_grants",
            "Grants to classes past their wait bound",
            &self.floor_grants,
        );
        registrar.add("refusals", "Requests given up", &self.refusals);
        registrar.add("preemptions", "Slots asked back", &self.preemptions);
        registrar.add(
            "runner_turns",
            "Changes of runners' health",
            &self.transitions,
        );
        registrar.add("lost_askers", "Askers whose lease ended", &self.lost_askers);
        registrar.add("garbage", "Messages that made no sense", &self.malformed);
        registrar.add(
            "panics",
            "Requesters and arbiters that were dropped after a panic",
            &self.panics,
        );
        registrar.add("wait_seconds", "Time from ask to grant", &self.wait);
        registrar.add(
            "queued",
            "Requests that wait at arbiters here",
            &self.queued,
        );
        registrar.add("running", "Slots in use by arbiters here", &self.running);
        registrar.add("aside_runners", "Runners set aside as slow", &self.aside);
        registrar.add(
            "runner_time_percent",
            "Learned service time of the fastest and the slowest runner, in percent of the mean",
            &self.speed,
        );
        registrar.add(
            "limited_runners",
            "Runners that name a limit, at arbiters here",
            &self.limited,
        );
        registrar.add(
            "runner_limit",
            "Requests per second that a runner takes, as it last named",
            &self.limit,
        );
        registrar.add(
            "held_back",
            "Requests that waited because of the limits of runners",
            &self.held_back,
        );
        registrar.add(
            "continued",
            "Streams that go on, by what shows the build that began them",
            &self.continued,
        );
        registrar.add("marks", "Requests whose crash mark changed", &self.marks);
        registrar.add(
            "suspects",
            "Suspected requests that wait to run alone at arbiters here",
            &self.suspects,
        );
        registrar.add(
            "parked",
            "Copies that wait for the first of their request to complete",
            &self.parked,
        );
        registrar.add("arbiters", "Arbiters hosted here", &self.arbiters);
        registrar.add(
            "arbiter_events",
            "Events taken in by arbiters here",
            &self.events,
        );
        registrar.add(
            "arbiter_busy_seconds",
            "Time spent on the events of arbiters here",
            &self.busy,
        );
        registrar.add(
            "tokens",
            "Tokens received, by how the slot ended",
            &self.tokens,
        );
    }

    /// Counts the tokens received on a slot; all but `done` are wasted work.
    pub(super) fn on_sample(&self, sample: &Sample) {
        let reason = match sample.end {
            End::Done => "done",
            End::Cancelled => "cancelled",
            End::Refused => "refused",
            End::Unreachable => "unreachable",
            End::Broken => "broken",
            End::Late => "late",
            End::Preempted => "preempted",
        };
        let tokens = u64::from(sample.tokens);
        self.tokens
            .get_or_create(&ReasonLabel { reason })
            .inc_by(tokens);
    }

    pub(super) fn on_wait(&self, tier: u8, seconds: f64) {
        self.wait
            .get_or_create(&TierLabel { tier })
            .observe(seconds);
    }

    pub(super) fn on_refusal(&self, refusal: &Refusal) {
        let reason = reason(refusal);
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(super) fn on_transition(&self, transition: &Transition) {
        let reason = match transition {
            Transition::Aside(_) => "aside",
            Transition::Down(_) => "down",
            Transition::Back(_) => "back",
        };
        self.transitions
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a request that waits because of the limit of a runner.
    pub(super) fn on_held_back(&self, service: &str) {
        let service = service.to_owned();
        self.held_back
            .get_or_create(&ServiceLabel { service })
            .inc();
    }

    /// Counts a stream that goes on.
    pub(super) fn on_continued(&self, source: Source) {
        let evidence = evidence(source);
        self.continued
            .get_or_create(&SourceLabel { evidence })
            .inc();
    }

    /// Shows the limit of a runner; hides it when the limit has ended.
    pub(super) fn on_limit(&self, service: &str, runner: &RunnerId, rate: Option<Rate>) {
        let label = RunnerLabel {
            service: service.to_owned(),
            runner: runner.clone(),
        };
        match rate {
            Some(rate) => {
                self.limit.get_or_create(&label).set(rate.per_second());
            }
            None => {
                self.limit.remove(&label);
            }
        }
    }

    /// Counts proposed crash marks.
    pub(super) fn on_marks(&self, mark: &'static str, by: &'static str, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.marks
            .get_or_create(&MarkLabel { mark, by })
            .inc_by(count);
    }

    pub(super) fn on_stats(&self, service: &str, stats: &Stats) {
        let service = service.to_owned();
        for (tier, queued) in stats.queued.iter().enumerate() {
            let label = QueueLabel {
                service: service.clone(),
                tier: u8::try_from(tier).unwrap_or(u8::MAX),
            };
            self.queued.get_or_create(&label).set(signed(*queued));
        }
        let of = ServiceLabel { service };
        self.running.get_or_create(&of).set(signed(stats.running));
        self.aside.get_or_create(&of).set(signed(stats.aside));
        for (runner, percent) in stats
            .speeds
            .into_iter()
            .flat_map(|(fastest, slowest)| [("fastest", fastest), ("slowest", slowest)])
        {
            let label = SpeedLabel {
                service: of.service.clone(),
                runner,
            };
            self.speed.get_or_create(&label).set(i64::from(percent));
        }
        self.limited
            .get_or_create(&of)
            .set(signed(stats.limited.len()));
        self.suspects.get_or_create(&of).set(signed(stats.suspects));
        self.parked.get_or_create(&of).set(signed(stats.parked));
    }

    /// Clears the gauges of an arbiter that is no longer hosted.
    pub(super) fn on_retired(&self, service: &str, last: &Stats) {
        for runner in &last.limited {
            self.on_limit(service, runner, None);
        }
        for runner in ["fastest", "slowest"] {
            self.speed.remove(&SpeedLabel {
                service: service.to_owned(),
                runner,
            });
        }
        self.on_stats(
            service,
            &Stats {
                queued: vec![0; 8],
                ..Stats::default()
            },
        );
    }

    pub(super) fn add_cost(&self, events: u64, busy: Duration) {
        self.events.inc_by(events);
        self.busy.inc_by(busy.as_secs_f64());
    }

    pub(super) fn set_arbiters(&self, count: usize) {
        self.arbiters.set(signed(count));
    }
}

/// Label value of a refusal.
pub(super) fn reason(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::Shed { .. } => "shed",
        Refusal::NoRunner { .. } => "no-runner",
        Refusal::Quarantined => "quarantined",
        Refusal::Account { .. } => "account",
        Refusal::Late => "late",
        Refusal::UnknownBuild { .. } => "unknown-build",
        Refusal::NoBuild { .. } => "no-build",
        Refusal::Unreachable { .. } => "unreachable",
    }
}

/// Label value of the evidence for the build of a stream.
pub(super) fn evidence(source: Source) -> &'static str {
    match source {
        Source::Asker => "asker",
        Source::Arbiter => "arbiter",
        Source::Search => "search",
        Source::Nothing => "nothing",
    }
}

fn signed(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

struct Registrar<'registry>(&'registry mut Registry);

impl Registrar<'_> {
    fn add<M>(&mut self, name: &str, help: &str, metric: &M)
    where
        M: prometheus_client::registry::Metric + Clone,
    {
        let name = format!("citron_slot_{name}");
        self.0.register(name, help, metric.clone());
    }
}
