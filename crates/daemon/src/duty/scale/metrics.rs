//! Metrics of the orders of runners.

use std::{cell::RefCell, sync::atomic::AtomicU64};

use citron_policy::{
    autoscale::{Outcome, Planner},
    id::ServiceId,
};
use indexmap::IndexMap;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Labels of runners.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RunnersLabel {
    service: String,
    domain: String,
    kind: &'static str,
}

/// Label of a service.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// Labels of the reason of a plan.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabel {
    service: String,
    reason: String,
}

/// Label of orders.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// Metrics of the orders of runners.
#[derive(Debug, Default)]
pub(super) struct Metrics {
    desired: Family<RunnersLabel, Gauge>,
    ready: Family<RunnersLabel, Gauge>,
    need: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    reason: Family<ReasonLabel, Gauge>,
    /// Reason of the last plan of each service.
    reasons: RefCell<IndexMap<ServiceId, ReasonLabel>>,
    orders: Family<OutcomeLabel, Counter>,
}

impl Metrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_scale_desired",
            "Runners that are wanted; only on the holder of the duties",
            self.desired.clone(),
        );
        registry.register(
            "citron_scale_ready",
            "Runners that are listed and in use; only on the holder of the duties",
            self.ready.clone(),
        );
        registry.register(
            "citron_scale_need",
            "Runners that the load of the last seconds needs",
            self.need.clone(),
        );
        registry.register(
            "citron_scale_reason",
            "One for the reason of the last change of the plan",
            self.reason.clone(),
        );
        registry.register(
            "citron_scale_orders",
            "Orders of runners, by outcome",
            self.orders.clone(),
        );
    }

    /// Forgets the plans of this daemon.
    pub(super) fn clear(&self) {
        self.desired.clear();
        self.ready.clear();
        self.need.clear();
        self.reason.clear();
    }

    pub(super) fn on_plan(&self, service: &ServiceId, planner: &Planner, need: f64) {
        for (domain, reclaimable, desired, ready) in planner.runners() {
            let label = RunnersLabel {
                service: service.clone(),
                domain: domain.clone(),
                kind: kind(reclaimable),
            };
            self.desired.get_or_create(&label).set(desired.into());
            self.ready.get_or_create(&label).set(ready.into());
        }
        let label = ReasonLabel {
            service: service.clone(),
            reason: planner.reason().to_string(),
        };
        let last = self
            .reasons
            .borrow_mut()
            .insert(service.clone(), label.clone());
        if let Some(last) = last.filter(|it| *it != label) {
            self.reason.remove(&last);
        }
        self.reason.get_or_create(&label).set(1);
        let label = ServiceLabel {
            service: service.clone(),
        };
        self.need.get_or_create(&label).set(need);
    }

    pub(super) fn count(&self, outcome: Outcome) {
        let outcome = name(outcome);
        self.orders.get_or_create(&OutcomeLabel { outcome }).inc();
    }
}

/// Name of a kind of runners.
pub(super) fn kind(reclaimable: bool) -> &'static str {
    if reclaimable { "reclaimable" } else { "stable" }
}

/// Name of an outcome.
pub(super) fn name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Accepted => "accepted",
        Outcome::Unavailable => "unavailable",
        Outcome::Failed => "failed",
    }
}
