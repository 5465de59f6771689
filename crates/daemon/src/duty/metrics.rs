//! Metrics of the duties.

use actix_http::StatusCode;
use citron_policy::id::FencingToken;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use super::Failure;

/// Label of the calls.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Label {
    outcome: &'static str,
}

/// Metrics of the lease and of the calls under it.
#[derive(Debug, Default)]
pub(super) struct Metrics {
    holds: Gauge,
    token: Gauge,
    taken: Counter,
    calls: Family<Label, Counter>,
}

impl Metrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_duty_holds",
            "One on the daemon that holds the lease of the duties",
            self.holds.clone(),
        );
        registry.register(
            "citron_duty_token",
            "Fencing token under which this daemon last held the lease",
            self.token.clone(),
        );
        registry.register(
            "citron_duty_taken",
            "Times that this daemon came to hold the lease",
            self.taken.clone(),
        );
        registry.register(
            "citron_duty_calls",
            "Calls of duties, by outcome",
            self.calls.clone(),
        );
    }

    pub(super) fn on_taken(&self, token: FencingToken) {
        self.holds.set(1);
        self.token.set(i64::try_from(token).unwrap_or(i64::MAX));
        self.taken.inc();
    }

    pub(super) fn on_lost(&self) {
        self.holds.set(0);
    }

    pub(super) fn count(&self, outcome: Result<StatusCode, Failure>) {
        let outcome = match outcome {
            Ok(status) if status.is_success() => "accepted",
            Ok(StatusCode::TOO_MANY_REQUESTS) => "too-many",
            Ok(StatusCode::CONFLICT) => "unavailable",
            Ok(_) => "refused",
            Err(Failure::NotHolder) => "not-holder",
            Err(Failure::Unreachable) => "unreachable",
            Err(Failure::NoAnswer) => "no-answer",
        };
        self.calls.get_or_create(&Label { outcome }).inc();
    }
}
