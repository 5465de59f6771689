//! Orders of runners: reports of demand, and the planners at the holder of the duties.
//!
//! The host of an arbiter sends the demand of its service to the holder, or to the first
//! candidates if it knows no holder; each receiver answers with the holder and, if it
//! is the holder, with the orders in force. The host keeps these and adds them to its
//! next reports, so that a new holder knows what the former one ordered.
//!
//! The holder has one [`Planner`] per service. What is wanted is read when an order is
//! written, not when it is planned: calls may wait while the platform is down.

mod metrics;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use citron_policy::{
    autoscale::{self, Demand, Order, Outcome, Planner},
    feed::View,
    id::{FencingToken, InstanceId, ServiceId},
    member::Members,
};
use citron_wire::{
    Body,
    generated::duty::{self as proto, message},
    scale::{self as form, Plan},
};
use indexmap::IndexMap;
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use self::metrics::Metrics;
use super::{Duty, Failure, candidates};
use crate::{clock, peers::Hub, slots::Slots};

/// Time between two reports of demand.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Wait before the first report: right after a start an instance knows few others, and
/// would take itself for the host of all arbiters.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Candidates that get the demand while no holder is known.
const RECEIVERS: usize = 2;

/// Time for which a holder named in an answer is believed: some reports may be lost,
/// and a report to a former holder is answered with the next one.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(2);

/// What the orders of runners need of the daemon.
#[derive(Clone, Debug)]
pub struct Ports {
    /// The lease, and the calls under it.
    pub duty: Duty,
    /// Connections to the other daemons.
    pub hub: Hub,
    /// Daemons of the cluster.
    pub members: watch::Receiver<Arc<Members>>,
    /// The arbiters hosted here.
    pub slots: Slots,
    /// The catalogue.
    pub view: watch::Receiver<Arc<View>>,
}

/// The orders of runners; clones share them.
#[derive(Clone, Debug)]
pub struct Scale {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    ports: Ports,
    /// Holder named in an answer, and when.
    holder: RefCell<Option<(InstanceId, Instant)>>,
    /// Orders in force by service, as the holder told.
    known: RefCell<IndexMap<ServiceId, Plan>>,
    planners: RefCell<IndexMap<ServiceId, Planner>>,
    /// Token under which the planners were started.
    token: Cell<Option<FencingToken>>,
    /// Orders on their way.
    in_flight: Cell<usize>,
    /// Whether the last order got no answer.
    failing: Cell<bool>,
    metrics: Metrics,
}

impl Scale {
    /// Starts to report demand, and to order runners while the lease is held here.
    #[must_use]
    pub fn start(ports: Ports) -> Self {
        let is_candidate = ports.duty.is_candidate();
        let scale = Self {
            inner: Rc::new(Inner {
                ports,
                holder: RefCell::default(),
                known: RefCell::default(),
                planners: RefCell::default(),
                token: Cell::new(None),
                in_flight: Cell::new(0),
                failing: Cell::new(false),
                metrics: Metrics::default(),
            }),
        };
        actix_rt::spawn(scale.clone().report());
        if is_candidate {
            actix_rt::spawn(scale.clone().order());
        }
        scale
    }

    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        self.inner.metrics.register(registry);
    }

    /// Handles a message of another daemon.
    pub fn on_message(&self, from: &InstanceId, message: proto::Message) {
        let outcome = match message.body {
            Some(message::Body::Demand(demand)) => {
                form::demand_from_proto(demand).map(|(demand, known)| {
                    let answer = self.on_demand(from, &demand, &known);
                    let body = Body::Duty(form::plan_to_proto(answer));
                    self.inner.ports.hub.send_message(from, body);
                })
            }
            Some(message::Body::Plan(plan)) => {
                form::plan_from_proto(plan).map(|plan| self.on_plan(plan))
            }
            _ => Ok(()),
        };
        if let Err(error) = outcome {
            log::warn!(event = "CP1224", from = from.as_str(); "demand is not understood: {error}");
        }
    }

    /// Takes a report of demand; returns what is known of the orders.
    fn on_demand(&self, from: &InstanceId, demand: &Demand, known: &Plan) -> Plan {
        let service = demand.service.clone();
        let Some(token) = self.take_over() else {
            return Plan {
                service,
                holder: self.holder(),
                ..Plan::default()
            };
        };
        let view = self.inner.ports.view.borrow().clone();
        let declared = view.catalogue.services.get(&service);
        let mut orders = Vec::new();
        if let Some(scaling) = declared.and_then(|it| it.scaling.as_ref()) {
            let mut planners = self.inner.planners.borrow_mut();
            let planner = planners.entry(service.clone()).or_insert_with(|| {
                log::info!(
                    event = "CP1222", service = service.as_str(), token;
                    "orders the runners of a service"
                );
                let settings = autoscale::Settings::default();
                Planner::new(service.clone(), scaling.clone(), settings)
            });
            planner.set_scaling(scaling);
            planner.on_demand(clock::now(), from, demand, &known.orders);
            orders = planner.known();
        }
        Plan {
            service,
            holder: Some(self.inner.ports.hub.me().clone()),
            token,
            orders,
        }
    }

    /// Takes the answer to a report.
    fn on_plan(&self, plan: Plan) {
        if let Some(holder) = &plan.holder {
            let holder = (holder.clone(), clock::now());
            self.inner.holder.replace(Some(holder));
        }
        let mut known = self.inner.known.borrow_mut();
        let last = known.get(&plan.service).map_or(0, |it| it.token);
        if plan.token > 0 && plan.token >= last {
            let ordered = plan.orders.iter().map(|(_, _, number)| number).sum();
            self.inner.ports.slots.set_ordered(&plan.service, ordered);
            known.insert(plan.service.clone(), plan);
        }
    }

    /// The token under which the lease is held here; planners of an earlier one are
    /// dropped, since others may have given orders since.
    fn take_over(&self) -> Option<FencingToken> {
        let token = self.inner.ports.duty.token()?;
        if self.inner.token.replace(Some(token)) != Some(token) {
            self.inner.planners.borrow_mut().clear();
            self.inner.metrics.clear();
        }
        Some(token)
    }

    /// The holder of the duties, as far as it is known here.
    fn holder(&self) -> Option<InstanceId> {
        let ports = &self.inner.ports;
        if ports.duty.is_holder() {
            return Some(ports.hub.me().clone());
        }
        if let Some(record) = ports.duty.record() {
            return Some(record.instance);
        }
        let holder = self.inner.holder.borrow();
        let (holder, at) = holder.as_ref()?;
        let age = clock::now().saturating_duration_since(*at);
        (age < HOLDER_TIMEOUT).then(|| holder.clone())
    }

    /// Reports the demand of the services hosted here, until the process ends.
    async fn report(self) {
        actix_rt::time::sleep(SETTLE_TIME).await;
        loop {
            actix_rt::time::sleep(REPORT_INTERVAL).await;
            for demand in self.inner.ports.slots.demands() {
                self.send(&demand);
            }
        }
    }

    fn send(&self, demand: &Demand) {
        let ports = &self.inner.ports;
        let receivers = if let Some(holder) = self.holder() {
            vec![holder]
        } else {
            let candidates = candidates(&ports.members.borrow());
            let first = candidates.into_iter().take(RECEIVERS);
            first.map(|(id, _)| id).collect()
        };
        let known = self.inner.known.borrow().get(&demand.service).cloned();
        let known = known.unwrap_or_default();
        for receiver in receivers {
            if receiver == *ports.hub.me() {
                let answer = self.on_demand(&receiver, demand, &known);
                self.on_plan(answer);
            } else {
                let message = form::demand_to_proto(demand, known.clone());
                ports.hub.send_message(&receiver, Body::Duty(message));
            }
        }
    }

    /// Orders runners while the lease is held here, until the process ends.
    async fn order(self) {
        loop {
            actix_rt::time::sleep(PLAN_INTERVAL).await;
            let Some(token) = self.take_over() else {
                continue;
            };
            for order in self.plan() {
                self.inner.in_flight.set(self.inner.in_flight.get() + 1);
                actix_rt::spawn(self.clone().place(token, order));
            }
        }
    }

    /// Plans all services; returns the orders to send.
    fn plan(&self) -> Vec<Order> {
        let inner = &self.inner;
        let now = clock::now();
        let mut orders = Vec::new();
        for (service, planner) in inner.planners.borrow_mut().iter_mut() {
            // Each call that fails delays those after it, so that one at a time is made.
            let most = match (inner.failing.get(), inner.in_flight.get() + orders.len()) {
                (false, _) => usize::MAX,
                (true, 0) => 1,
                (true, _) => 0,
            };
            if planner.becomes_silent(now) {
                log::warn!(
                    event = "CP1223", service = service.as_str();
                    "no report of the load: orders stay as they are"
                );
            }
            let planned = planner.plan(now, most);
            inner.metrics.on_plan(service, planner, planner.need(now));
            if !planned.is_empty() {
                let wanted = planner
                    .runners()
                    .map(|(domain, reclaimable, desired, ready)| {
                        let kind = metrics::kind(reclaimable);
                        format!("{domain}/{kind}={desired}({ready})")
                    });
                log::info!(
                    event = "CP1221", service = service.as_str(), need = planner.need(now),
                    reason:% = planner.reason(), wanted = wanted.collect::<Vec<_>>().join(" ");
                    "plan of runners is changed"
                );
            }
            orders.extend(planned);
        }
        orders
    }

    /// Sends an order and records its outcome.
    async fn place(self, token: FencingToken, mut order: Order) {
        let inner = &self.inner;
        let answer = inner.ports.duty.call(|calls, fence| {
            let mut planners = inner.planners.borrow_mut();
            if let Some(planner) = planners.get_mut(&order.service) {
                planner.send(&mut order);
            }
            calls.order(fence, &order)
        });
        let answer = answer.await;
        inner.in_flight.set(inner.in_flight.get() - 1);
        let outcome = outcome(answer);
        inner.failing.set(outcome == Outcome::Failed);
        inner.metrics.count(outcome);
        let status = answer.as_ref().map_or(0, StatusCode::as_u16);
        log::info!(
            event = "CP1220", service = order.service.as_str(), domain = order.domain.as_str(),
            kind = metrics::kind(order.reclaimable), desired = order.desired, status, token,
            outcome = metrics::name(outcome);
            "order of runners"
        );
        if inner.token.get() != Some(token) {
            return;
        }
        let mut planners = inner.planners.borrow_mut();
        if let Some(planner) = planners.get_mut(&order.service) {
            planner.on_outcome(clock::now(), &order, outcome);
        }
    }
}

fn outcome(answer: Result<StatusCode, Failure>) -> Outcome {
    match answer {
        Ok(status) if status.is_success() => Outcome::Accepted,
        Ok(StatusCode::CONFLICT) => Outcome::Unavailable,
        Ok(_) | Err(_) => Outcome::Failed,
    }
}
