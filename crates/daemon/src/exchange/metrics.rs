//! Counters and latencies of the exchange.

use std::time::Duration;

use citron_policy::id::ClassId;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

/// Shortest latency that is told apart, in seconds.
const LEAST_SECONDS: f64 = 0.004;

/// Buckets, each twice as wide as the one before; the last begins at 16 s.
const BUCKETS: u16 = 13;

/// A class and how its requests ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ended {
    class: ClassId,
    outcome: &'static str,
}

/// A class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Of {
    class: ClassId,
}

/// Why requests were refused or given up.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Refused {
    kind: &'static str,
    status: u16,
}

/// Counters and latencies; clones share them.
#[derive(Clone, Debug)]
pub(super) struct Metrics {
    whole: Family<Ended, Histogram, fn() -> Histogram>,
    first: Family<Of, Histogram, fn() -> Histogram>,
    wait: Family<Of, Histogram, fn() -> Histogram>,
    refused: Family<Refused, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            whole: Family::new_with_constructor(histogram),
            first: Family::new_with_constructor(histogram),
            wait: Family::new_with_constructor(histogram),
            refused: Family::default(),
        }
    }
}

impl Metrics {
    /// Adds all of them to a registry.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register_with_unit(
            "citron_exchange_duration",
            "Time from arrival to the end of a request, by outcome",
            Unit::Seconds,
            self.whole.clone(),
        );
        registry.register_with_unit(
            "citron_exchange_first_event",
            "Time from arrival to the first event of a stream",
            Unit::Seconds,
            self.first.clone(),
        );
        registry.register_with_unit(
            "citron_exchange_slot_wait",
            "Time that requests waited for a slot on a runner",
            Unit::Seconds,
            self.wait.clone(),
        );
        registry.register(
            "citron_exchange_refused",
            "Requests refused or given up, by reason",
            self.refused.clone(),
        );
    }

    /// Notes the end of a request.
    pub(super) fn ended(&self, class: &ClassId, outcome: &'static str, took: Duration) {
        let class = class.clone();
        let ended = self.whole.get_or_create_owned(&Ended { class, outcome });
        ended.observe(took.as_secs_f64());
    }

    /// Notes the first event of a stream.
    pub(super) fn first(&self, class: &ClassId, took: Duration) {
        let class = class.clone();
        let first = self.first.get_or_create_owned(&Of { class });
        first.observe(took.as_secs_f64());
    }

    /// Notes a wait for a slot.
    pub(super) fn waited(&self, class: &ClassId, took: Duration) {
        let class = class.clone();
        let wait = self.wait.get_or_create_owned(&Of { class });
        wait.observe(took.as_secs_f64());
    }

    /// Counts a refusal.
    pub(super) fn refused(&self, kind: &'static str, status: u16) {
        self.refused.get_or_create(&Refused { kind, status }).inc();
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(LEAST_SECONDS, 2.0, BUCKETS))
}
