//! Counters and latencies of the exchange.

use std::time::Duration;

use citron_policy::id::ClassId;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

use crate::upstream::Framing;

/// Upper bound of the first bucket, in seconds.
const LEAST_SECONDS: f64 = 0.004;

/// Number of buckets, each bound twice the one before; the last bound is 16 s.
const BUCKETS: u16 = 13;

/// Labels of a class and an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Outcome {
    class: ClassId,
    outcome: &'static str,
}

/// Label of a class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabel {
    class: ClassId,
}

/// Labels of a refused or failed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Refused {
    kind: &'static str,
    status: u16,
}

/// Label of a complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Whole {
    framing: &'static str,
}

/// Label of an attempt passed on to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HopLabel {
    outcome: &'static str,
}

/// Labels of a stream that goes on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Continued {
    by: &'static str,
    build: &'static str,
}

/// Counters and latency histograms; clones share them.
#[derive(Clone, Debug)]
pub(super) struct Metrics {
    duration: Family<Outcome, Histogram, fn() -> Histogram>,
    first_event: Family<ClassLabel, Histogram, fn() -> Histogram>,
    slot_wait: Family<ClassLabel, Histogram, fn() -> Histogram>,
    refused: Family<Refused, Counter>,
    continued: Family<Continued, Counter>,
    hops: Family<HopLabel, Counter>,
    whole: Family<Whole, Counter>,
    cut_off: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            duration: Family::new_with_constructor(histogram),
            first_event: Family::new_with_constructor(histogram),
            slot_wait: Family::new_with_constructor(histogram),
            refused: Family::default(),
            continued: Family::default(),
            hops: Family::default(),
            whole: Family::default(),
            cut_off: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Adds the metrics to a registry.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register_with_unit(
            "citron_exchange_duration",
            "Time from arrival to the end of a request, by outcome",
            Unit::Seconds,
            self.duration.clone(),
        );
        registry.register_with_unit(
            "citron_exchange_first_event",
            "Time from arrival to the first event of a stream",
            Unit::Seconds,
            self.first_event.clone(),
        );
        registry.register_with_unit(
            "citron_exchange_slot_wait",
            "Time that requests waited for a slot on a runner",
            Unit::Seconds,
            self.slot_wait.clone(),
        );
        registry.register(
            "citron_exchange_refused",
            "Requests refused or given up, by reason",
            self.refused.clone(),
        );
        registry.register(
            "citron_exchange_continued",
            "Streams sent to a runner to go on, by who takes them up and by build",
            self.continued.clone(),
        );
        registry.register(
            "citron_exchange_hops",
            "Attempts passed on to peers, by outcome",
            self.hops.clone(),
        );
        registry.register(
            "citron_exchange_whole",
            "Complete answers of runners, by what told their end",
            self.whole.clone(),
        );
        registry.register(
            "citron_exchange_cut_off",
            "Whether this instance reaches no runner",
            self.cut_off.clone(),
        );
    }

    /// Records the time from arrival to the end of a request.
    pub(super) fn record_end(&self, class: &ClassId, outcome: &'static str, took: Duration) {
        let class = class.clone();
        let ended = self
            .duration
            .get_or_create_owned(&Outcome { class, outcome });
        ended.observe(took.as_secs_f64());
    }

    /// Counts a complete answer.
    pub(super) fn count_whole(&self, framing: Framing) {
        let framing = match framing {
            Framing::Stated => "stated",
            Framing::Close => "close",
        };
        self.whole.get_or_create_owned(&Whole { framing }).inc();
    }

    /// Records the time from arrival to the first event of a stream.
    pub(super) fn record_first_event(&self, class: &ClassId, took: Duration) {
        let class = class.clone();
        let first = self.first_event.get_or_create_owned(&ClassLabel { class });
        first.observe(took.as_secs_f64());
    }

    /// Records the time that a request waited for a slot.
    pub(super) fn record_wait(&self, class: &ClassId, took: Duration) {
        let class = class.clone();
        let wait = self.slot_wait.get_or_create_owned(&ClassLabel { class });
        wait.observe(took.as_secs_f64());
    }

    /// Counts a stream that goes on, and whether at the build that began it, if known.
    pub(super) fn count_continued(&self, by: &'static str, same: Option<bool>) {
        let build = match same {
            Some(true) => "same",
            Some(false) => "other",
            None => "unknown",
        };
        let labels = Continued { by, build };
        self.continued.get_or_create(&labels).inc();
    }

    /// Counts an attempt passed on to a peer.
    pub(super) fn count_hop(&self, outcome: &'static str) {
        self.hops.get_or_create(&HopLabel { outcome }).inc();
    }

    /// Sets whether this instance reaches no runner.
    pub(super) fn set_cut_off(&self, cut_off: bool) {
        self.cut_off.set(i64::from(cut_off));
    }

    /// Counts a refused or failed request.
    pub(super) fn count_refusal(&self, kind: &'static str, status: u16) {
        self.refused.get_or_create(&Refused { kind, status }).inc();
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(LEAST_SECONDS, 2.0, BUCKETS))
}
