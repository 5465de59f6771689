//! Metrics of the reports of usage.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Label of reports and windows.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Label {
    outcome: &'static str,
}

/// What became of a report to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sent {
    Received,
    /// Without an answer, or refused.
    Lost,
}

/// Metrics of the reports of usage.
#[derive(Debug, Default)]
pub(super) struct Metrics {
    starts: Counter,
    reports: Family<Label, Counter>,
    windows: Family<Label, Counter>,
}

impl Metrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_usage_starts",
            "Starts of requests of accounts recorded here",
            self.starts.clone(),
        );
        registry.register(
            "citron_usage_reports",
            "Reports of starts sent to peers, by outcome",
            self.reports.clone(),
        );
        registry.register(
            "citron_usage_windows",
            "Windows of usage reported to the platform or skipped, by outcome",
            self.windows.clone(),
        );
    }

    pub(super) fn on_recorded(&self) {
        self.starts.inc();
    }

    pub(super) fn on_sent(&self, sent: Sent) {
        let outcome = match sent {
            Sent::Received => "received",
            Sent::Lost => "lost",
        };
        self.reports.get_or_create(&Label { outcome }).inc();
    }

    pub(super) fn on_reported(&self, is_late: bool) {
        let outcome = if is_late { "late" } else { "reported" };
        self.windows.get_or_create(&Label { outcome }).inc();
    }

    pub(super) fn on_skipped(&self) {
        let outcome = "skipped";
        self.windows.get_or_create(&Label { outcome }).inc();
    }
}
