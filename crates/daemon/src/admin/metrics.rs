//! Metrics of the operators' interface.

use actix_http::StatusCode;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    status: u16,
}

/// Counters of the operators' interface.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    requests: Family<Labels, Counter>,
}

impl Metrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_admin_requests",
            "Requests of operators by HTTP status",
            self.requests.clone(),
        );
    }

    /// Counts a response by its status.
    pub(super) fn count(&self, status: StatusCode) {
        let status = status.as_u16();
        self.requests.get_or_create(&Labels { status }).inc();
    }
}
