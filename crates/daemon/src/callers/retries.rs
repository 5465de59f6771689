//! Per-service retry budgets on this daemon.

use std::{
    cell::{Cell, RefCell},
    time::Instant,
};

use citron_policy::{
    catalogue::Service,
    id::ServiceId,
    retry::{self, Allowance, Attempt, Budget, DEFAULT_BURST, Decision},
};
use indexmap::IndexMap;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Retry budgets by service.
#[derive(Debug)]
pub(crate) struct Retries {
    /// Largest number of unused retries that a budget keeps.
    burst: Cell<u32>,
    /// What budgets start with and hold at most, instead of being earned alone.
    allowance: Cell<Option<Allowance>>,
    budgets: RefCell<IndexMap<ServiceId, Budget>>,
    made: Counter,
    refused: Counter,
    /// Whole number of retries left, by service.
    left: Family<Labels, Gauge>,
}

/// Metric labels of a budget.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Labels {
    service: ServiceId,
}

impl Default for Retries {
    fn default() -> Self {
        Self::new(DEFAULT_BURST)
    }
}

impl Retries {
    /// Budgets that keep at most `burst` unused retries each.
    pub(crate) fn new(burst: u32) -> Self {
        Self {
            burst: Cell::new(burst),
            allowance: Cell::new(None),
            budgets: RefCell::default(),
            made: Counter::default(),
            refused: Counter::default(),
            left: Family::default(),
        }
    }

    /// Sets the largest number of unused retries that a budget keeps.
    pub(crate) fn set_burst(&self, burst: u32) {
        self.burst.set(burst);
    }

    /// Sets what budgets start with and hold at most.
    pub(crate) fn set_allowance(&self, allowance: Allowance) {
        self.allowance.set(Some(allowance));
    }

    /// Adds the counters to a registry.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_retries",
            "Attempts made again at another runner",
            self.made.clone(),
        );
        registry.register(
            "citron_retries_refused",
            "Failed attempts that were not made again",
            self.refused.clone(),
        );
        registry.register(
            "citron_retries_left",
            "Retries that a service has earned and not used",
            self.left.clone(),
        );
    }

    /// Credits the service's budget for one request.
    pub(crate) fn earn(&self, service: &Service) {
        self.with_budget(service, Budget::earn);
    }

    /// Whole number of retries that a service has left.
    pub(crate) fn left(&self, service: &Service) -> u64 {
        self.with_budget(service, |budget| budget.left())
    }

    /// Decides whether a failed attempt is retried.
    pub(crate) fn decide(&self, now: Instant, service: &Service, attempt: &Attempt) -> Decision {
        let decision = self.with_budget(service, |budget| retry::decide(now, attempt, budget));
        match decision {
            Decision::Again => self.made.inc(),
            Decision::GiveUp(_) => self.refused.inc(),
        };
        decision
    }

    fn with_budget<F, T>(&self, service: &Service, act: F) -> T
    where
        F: FnOnce(&mut Budget) -> T,
    {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.name.clone())
            .or_insert_with(|| Budget::new(service.retry_percent));
        match self.allowance.get() {
            Some(allowance) => budget.allow(&allowance),
            None => budget.set_burst(self.burst.get()),
        }
        budget.set_percent(service.retry_percent);
        let outcome = act(budget);
        let labels = Labels {
            service: service.name.clone(),
        };
        let left = i64::try_from(budget.left()).unwrap_or(i64::MAX);
        self.left.get_or_create(&labels).set(left);
        outcome
    }
}
