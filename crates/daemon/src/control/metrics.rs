//! Metrics of the control log on this instance.

use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// Gauges and counters of the replica; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct Metrics {
    pub(super) term: Gauge,
    pub(super) leads: Gauge,
    pub(super) last: Gauge,
    pub(super) commit: Gauge,
    pub(super) log_bytes: Gauge,
    pub(super) pending: Gauge,
    pub(super) ledger_records: Gauge,
    pub(super) ledger_bytes: Gauge,
    pub(super) kept_answers: Gauge,
    pub(super) voters: Gauge,
    pub(super) silent_voters: Gauge,
    pub(super) ready_learners: Gauge,
    pub(super) replacement_age: Gauge,
    pub(super) syncs: Counter,
    pub(super) entries: Counter,
    pub(super) dropped_inputs: Counter,
    pub(super) dropped_messages: Counter,
    pub(super) feed_gaps: Counter,
}

impl Metrics {
    /// Adds the metrics to a registry.
    pub(super) fn register(&self, registry: &mut Registry) {
        let gauges = [
            ("term", "Term of the replica", &self.term),
            ("leads", "One on the leader", &self.leads),
            ("last_index", "Index of the last entry", &self.last),
            (
                "commit_index",
                "Index of the last committed entry",
                &self.commit,
            ),
            ("log_bytes", "Entries held in memory", &self.log_bytes),
            ("pending", "Commands that wait for a quorum", &self.pending),
            (
                "ledger_records",
                "Idempotency keys remembered",
                &self.ledger_records,
            ),
            (
                "ledger_bytes",
                "Bytes of the ledger, room for open claims included",
                &self.ledger_bytes,
            ),
            (
                "kept_answers",
                "Answers to change ids kept",
                &self.kept_answers,
            ),
            (
                "voters",
                "Voters, as the leader counts them; zero elsewhere",
                &self.voters,
            ),
            (
                "silent_voters",
                "Voters that do not answer the leader; zero elsewhere",
                &self.silent_voters,
            ),
            (
                "ready_learners",
                "Replicas that could become voters, as the leader counts them; zero elsewhere",
                &self.ready_learners,
            ),
            (
                "replacement_age_ms",
                "Age of the replacement of a voter that is in progress; zero if none is",
                &self.replacement_age,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(format!("citron_control_{name}"), help, gauge.clone());
        }
        let counters = [
            ("syncs", "Syncs of the journal", &self.syncs),
            ("entries", "Entries applied", &self.entries),
            (
                "dropped_inputs",
                "Inputs dropped since the replica's queue was full",
                &self.dropped_inputs,
            ),
            (
                "dropped_messages",
                "Messages dropped since the sending queue was full",
                &self.dropped_messages,
            ),
            (
                "feed_gaps",
                "Times that the local feed fell behind and got a snapshot",
                &self.feed_gaps,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(format!("citron_control_{name}"), help, counter.clone());
        }
    }
}
