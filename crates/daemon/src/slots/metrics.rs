//! Metrics of slots: grants, refusals, waits and wasted work.

use std::{sync::atomic::AtomicU64, time::Duration};

use citron_policy::arbiter::{End, Refusal, Sample, Stats, Transition};
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
pub struct Tier {
    /// Tier; zero is the highest.
    pub tier: u8,
}

/// Label of a service and a tier.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Line {
    /// Service.
    pub service: String,
    /// Tier; zero is the highest.
    pub tier: u8,
}

/// Label of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Of {
    /// Service.
    pub service: String,
}

/// Label of a reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Why {
    /// Reason, in one word.
    pub reason: &'static str,
}

/// Counters and gauges of this daemon's desks and arbiters.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Slots granted by arbiters here.
    pub(super) grants: Family<Tier, Counter>,
    /// Grants that spent the floor's share.
    pub(super) floor_grants: Counter,
    /// Requests given up, as this daemon's callers saw it.
    pub(super) refusals: Family<Why, Counter>,
    /// Slots asked back by arbiters here, by tier that lost.
    pub(super) preemptions: Family<Tier, Counter>,
    /// Runners that turned slow, broke or came back.
    pub(super) turns: Family<Why, Counter>,
    /// Askers whose lease ended.
    pub(super) lost_askers: Counter,
    /// Messages that made no sense.
    pub(super) garbage: Counter,
    wait: Family<Tier, Histogram>,
    queued: Family<Line, Gauge>,
    running: Family<Of, Gauge>,
    aside: Family<Of, Gauge>,
    arbiters: Gauge,
    events: Counter,
    busy: Counter<f64, AtomicU64>,
    tokens: Family<Why, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let wait = || Histogram::new(exponential_buckets(0.001, 2.0, 16));
        Self {
            grants: Family::default(),
            floor_grants: Counter::default(),
            refusals: Family::default(),
            preemptions: Family::default(),
            turns: Family::default(),
            lost_askers: Counter::default(),
            garbage: Counter::default(),
            wait: Family::new_with_constructor(wait),
            queued: Family::default(),
            running: Family::default(),
            aside: Family::default(),
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
        let mut add = Adder(registry);
        add.add("grants", "Slots granted by arbiters here", &self.grants);
        add.add(
            "floor_grants",
            "Grants to classes past their wait bound",
            &self.floor_grants,
        );
        add.add("refusals", "Requests given up", &self.refusals);
        add.add("preemptions", "Slots asked back", &self.preemptions);
        add.add("runner_turns", "Changes of runners' health", &self.turns);
        add.add("lost_askers", "Askers whose lease ended", &self.lost_askers);
        add.add("garbage", "Messages that made no sense", &self.garbage);
        add.add("wait_seconds", "Time from ask to grant", &self.wait);
        add.add(
            "queued",
            "Requests that wait at arbiters here",
            &self.queued,
        );
        add.add("running", "Slots in use by arbiters here", &self.running);
        add.add("aside_runners", "Runners set aside as slow", &self.aside);
        add.add("arbiters", "Arbiters hosted here", &self.arbiters);
        add.add(
            "arbiter_events",
            "Events taken in by arbiters here",
            &self.events,
        );
        add.add(
            "arbiter_busy_seconds",
            "Time spent on the events of arbiters here",
            &self.busy,
        );
        add.add(
            "tokens",
            "Tokens received, by how the slot ended",
            &self.tokens,
        );
    }

    /// Counts what was received on a slot; all but `done` is wasted work.
    pub(super) fn on_sample(&self, sample: &Sample) {
        let reason = match sample.end {
            End::Done => "done",
            End::Cancelled => "cancelled",
            End::Refused => "refused",
            End::Broken => "broken",
            End::Late => "late",
            End::Preempted => "preempted",
        };
        let tokens = u64::from(sample.tokens);
        self.tokens.get_or_create(&Why { reason }).inc_by(tokens);
    }

    pub(super) fn on_wait(&self, tier: u8, seconds: f64) {
        self.wait.get_or_create(&Tier { tier }).observe(seconds);
    }

    pub(super) fn on_refusal(&self, refusal: &Refusal) {
        let reason = reason(refusal);
        self.refusals.get_or_create(&Why { reason }).inc();
    }

    pub(super) fn on_turn(&self, turn: &Transition) {
        let reason = match turn {
            Transition::Aside(_) => "aside",
            Transition::Down(_) => "down",
            Transition::Back(_) => "back",
        };
        self.turns.get_or_create(&Why { reason }).inc();
    }

    pub(super) fn on_stats(&self, service: &str, stats: &Stats) {
        let service = service.to_owned();
        for (tier, queued) in stats.queued.iter().enumerate() {
            let line = Line {
                service: service.clone(),
                tier: u8::try_from(tier).unwrap_or(u8::MAX),
            };
            self.queued.get_or_create(&line).set(signed(*queued));
        }
        let of = Of { service };
        self.running.get_or_create(&of).set(signed(stats.running));
        self.aside.get_or_create(&of).set(signed(stats.aside));
    }

    /// Forgets the gauges of an arbiter that is no longer here.
    pub(super) fn on_retired(&self, service: &str) {
        self.on_stats(
            service,
            &Stats {
                queued: vec![0; 8],
                ..Stats::default()
            },
        );
    }

    pub(super) fn on_effort(&self, events: u64, busy: Duration) {
        self.events.inc_by(events);
        self.busy.inc_by(busy.as_secs_f64());
    }

    pub(super) fn set_arbiters(&self, count: usize) {
        self.arbiters.set(signed(count));
    }
}

/// A refusal in one word.
pub(super) fn reason(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::Shed { .. } => "shed",
        Refusal::NoRunner { .. } => "no-runner",
        Refusal::Quarantined => "quarantined",
        Refusal::Account { .. } => "account",
        Refusal::Late => "late",
        Refusal::Unreachable { .. } => "unreachable",
    }
}

fn signed(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

struct Adder<'registry>(&'registry mut Registry);

impl Adder<'_> {
    fn add<M>(&mut self, name: &str, help: &str, metric: &M)
    where
        M: prometheus_client::registry::Metric + Clone,
    {
        let name = format!("citron_slot_{name}");
        self.0.register(name, help, metric.clone());
    }
}
