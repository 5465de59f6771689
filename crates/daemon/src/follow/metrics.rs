//! Metrics of the feed.

use std::{sync::atomic::AtomicU64, time::Instant};

use citron_policy::feed::Feed;
use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// Counters and sizes of the feed.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    answered: Counter,
    unanswered: Counter,
    refused: Counter,
    snapshots_taken: Counter,
    snapshots_encoded: Counter,
    index: Gauge,
    revision: Gauge,
    proof_age: Gauge<f64, AtomicU64>,
    takes_work: Gauge,
    held: Gauge,
    ring_updates: Gauge,
    ring_bytes: Gauge,
    marks: Gauge,
}

impl Metrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let counters = [
            (
                "citron_feed_answers",
                "Questions that a parent answered",
                &self.answered,
            ),
            (
                "citron_feed_failures",
                "Questions that a parent left unanswered",
                &self.unanswered,
            ),
            (
                "citron_feed_refused",
                "Answers of parents that were not understood",
                &self.refused,
            ),
            (
                "citron_feed_snapshots_taken",
                "Snapshots taken from parents",
                &self.snapshots_taken,
            ),
            (
                "citron_feed_snapshots_encoded",
                "Snapshots written for followers",
                &self.snapshots_encoded,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let gauges = [
            (
                "citron_feed_index",
                "Index of the control log in force",
                &self.index,
            ),
            (
                "citron_feed_revision",
                "Catalogue revision in force",
                &self.revision,
            ),
            (
                "citron_feed_takes_work",
                "Whether the catalogue is known to be current",
                &self.takes_work,
            ),
            (
                "citron_feed_held",
                "Questions of followers being held",
                &self.held,
            ),
            (
                "citron_feed_ring_updates",
                "Updates kept for followers",
                &self.ring_updates,
            ),
            (
                "citron_feed_ring_bytes",
                "Bytes of the updates kept for followers",
                &self.ring_bytes,
            ),
            (
                "citron_feed_marks",
                "Requests marked as crashing runners",
                &self.marks,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "citron_feed_proof_age_seconds",
            "Age of the proof that the catalogue is current; -1 without one",
            self.proof_age.clone(),
        );
    }

    pub(super) fn answered(&self) {
        self.answered.inc();
    }

    pub(super) fn unanswered(&self) {
        self.unanswered.inc();
    }

    pub(super) fn refused(&self) {
        self.refused.inc();
    }

    pub(super) fn snapshot_taken(&self) {
        self.snapshots_taken.inc();
    }

    pub(super) fn snapshot_encoded(&self) {
        self.snapshots_encoded.inc();
    }

    pub(super) fn observe(&self, now: Instant, feed: &Feed, held: usize) {
        let integer = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        let view = feed.view();
        let (updates, bytes) = feed.ring_size();
        self.index.set(integer(view.index));
        self.revision.set(integer(view.catalogue.revision));
        self.takes_work.set(i64::from(feed.may_take_work(now)));
        self.held.set(integer(held as u64));
        self.ring_updates.set(integer(updates as u64));
        self.ring_bytes.set(integer(bytes as u64));
        self.marks.set(integer(view.marks.marks.len() as u64));
        let age = feed.proof_age(now).map_or(-1.0, |age| age.as_secs_f64());
        self.proof_age.set(age);
    }
}
