//! Proxies opaque caller requests to runners.
//!
//! A request is admitted, waits for a slot, is sent to a runner, and its response
//! is relayed. Method, path and body are forwarded unchanged. The route decides
//! whether a request may be retried: one that may run only once is sent again only
//! after the runner has stated that it did not run it. An error response that
//! promises that nothing ran is given only if no byte was handed to a runner, or
//! the runner stated it.

mod admit;
mod attempt;
mod events;
mod hop;
mod lease;
mod log_limit;
mod metrics;
mod relay;
mod run;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{ConnectionType, Request, Response, body::BoxBody};
use citron_policy::{
    detour::{self, Detour},
    feed::View,
    id::{ClassId, InstanceId, Version},
    member::{Members, State},
    retry, work,
};
use indexmap::IndexMap;
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use crate::{
    buffers::Buffers,
    callers::{InFlight, Retries, payload},
    clock,
    duty::Usage,
    edge::{Adapter, CallerHead, Problem},
    event::millis,
    follow::Follow,
    http::{Handler, Watch, written::Departure},
    shared_hosts::SharedHosts,
    slots::Slots,
    upstream,
};
use admit::Admitted;
use log_limit::Limiter;
use metrics::Metrics;
use run::{Run, Step};

/// Longest wait of a request for this daemon's catalogue to become current; long
/// enough to elect a leader of the control log after a restart of all its replicas.
const CATALOGUE_WAIT: Duration = Duration::from_millis(800);

/// The wait may take the caller's timeout divided by this.
const CATALOGUE_WAIT_DIVISOR: u32 = 3;

/// Time between two checks whether the catalogue is current.
const CATALOGUE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What the exchange depends on.
#[derive(Clone, Debug)]
pub struct Ports {
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Memory for what is buffered.
    pub buffers: Buffers,
    /// Log lines per second for successful requests.
    pub log_rate: usize,
    /// Retries that all daemons together may accumulate for a service.
    pub retry_slack: u32,
    /// Whether daemons share their machines with others, so that many see few requests each.
    pub shared_hosts: SharedHosts,
    /// This instance.
    pub me: InstanceId,
    /// Daemons of the cluster.
    pub members: watch::Receiver<Arc<Members>>,
    /// Catalogue in force.
    pub view: watch::Receiver<Arc<View>>,
    /// Proof that the catalogue is current.
    pub follow: Follow,
    /// Becomes true when the daemon stops accepting new callers.
    pub draining: watch::Receiver<bool>,
    /// Becomes true right before shutdown, when all requests are refused.
    pub closing: watch::Receiver<bool>,
    /// When the last request must be answered; none while the daemon stays.
    pub end: watch::Receiver<Option<Instant>>,
    /// Slots on runners.
    pub slots: Slots,
    /// Protocol adapter.
    pub adapter: Adapter,
    /// Reports of usage; none unless this is a duty.
    pub usage: Option<Usage>,
    /// Counters of the exchanges with runners.
    pub upstream: upstream::Metrics,
}

/// The exchange; clones share one state.
#[derive(Clone, Debug)]
pub struct Exchange {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    ports: Ports,
    in_flight: Rc<Cell<u32>>,
    retries: Retries,
    detour: RefCell<Detour>,
    /// Work of the classes.
    work: RefCell<IndexMap<ClassId, work::Estimate>>,
    /// Whether the paths to the runners are being tested.
    testing: Cell<bool>,
    metrics: Metrics,
    log_limit: RefCell<Limiter>,
}

impl Exchange {
    /// An exchange over `ports`.
    #[must_use]
    pub fn new(ports: Ports) -> Self {
        let inner = Inner {
            in_flight: Rc::default(),
            retries: Retries::new(1),
            detour: RefCell::new(Detour::new(detour::Settings::default())),
            work: RefCell::default(),
            testing: Cell::default(),
            metrics: Metrics::default(),
            log_limit: RefCell::new(Limiter::new(Instant::now(), ports.log_rate)),
            ports,
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        self.inner.retries.register(registry);
        self.inner.metrics.register(registry);
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.inner.in_flight.get()
    }

    /// The handler for the callers' listener.
    #[must_use]
    pub fn handler(&self) -> Handler {
        let exchange = self.clone();
        Rc::new(move |request| {
            let exchange = exchange.clone();
            Box::pin(async move {
                let mut response = exchange.answer(request).await;
                if *exchange.ports().draining.borrow() {
                    response
                        .head_mut()
                        .set_connection_type(ConnectionType::Close);
                }
                response
            })
        })
    }

    fn ports(&self) -> &Ports {
        &self.inner.ports
    }

    async fn answer(&self, mut request: Request) -> Response<BoxBody> {
        let arrived = Instant::now();
        let guard = InFlight::begin(&self.inner.in_flight);
        if *self.ports().closing.borrow() {
            return self.refuse("", &Problem::leaving(), None);
        }
        let caller_head = match self.ports().adapter.callers.read(request.head()) {
            Ok(caller_head) => caller_head,
            Err(problem) => return self.refuse("", &problem, None),
        };
        let id = caller_head.id.clone();
        if hop::is_hop(&request.head().headers)
            && !(self.may_serve_peers() && self.has_version(&request, &caller_head, arrived).await)
        {
            return self.refuse_hop(&id);
        }
        match self.admit(&mut request, caller_head, arrived).await {
            Ok(admitted) => self.serve(admitted, guard).await,
            Err(problem) => self.refuse(&id, &problem, None),
        }
    }

    /// Whether this instance may make attempts for others.
    fn may_serve_peers(&self) -> bool {
        !*self.ports().draining.borrow() && self.is_current() && !self.is_cut_off()
    }

    /// Version of the declaration in force; zero without one.
    fn version(&self) -> Version {
        let view = self.ports().view.borrow();
        view.declaration.as_ref().map_or(0, |it| it.version)
    }

    /// Version below which this instance takes no work.
    fn least_version(&self) -> Version {
        let detour = self.inner.detour.borrow();
        detour.least_version(Instant::now()).max(self.version())
    }

    /// Whether the catalogue is known to be current.
    fn is_current(&self) -> bool {
        let ports = self.ports();
        ports.follow.may_take_work(clock::now())
            && ports.view.borrow().declaration.is_some()
            && self.version() >= self.least_version()
    }

    /// Whether the declaration of the peer that passed a request on is in force here, now
    /// or after a short wait.
    async fn has_version(
        &self,
        request: &Request,
        caller_head: &CallerHead,
        arrived: Instant,
    ) -> bool {
        let Some(version) = hop::version(&request.head().headers) else {
            return true;
        };
        let watch = request.conn_data::<Watch>();
        let has_reached = || self.version() >= version;
        wait_until(has_reached, caller_head, arrived, watch).await;
        self.version() == version
    }

    async fn admit(
        &self,
        request: &mut Request,
        caller_head: CallerHead,
        arrived: Instant,
    ) -> Result<Admitted, Problem> {
        let body =
            payload::read(request, self.ports().max_body_bytes, &self.ports().buffers).await?;
        let watch = request.conn_data::<Watch>().cloned();
        // After a start or a lost connection to the control log, a caller refused at once
        // could only retry at another daemon in the same state.
        let is_current = || self.is_current();
        wait_until(is_current, &caller_head, arrived, watch.as_ref()).await;
        admit::admit(self, request, caller_head, body, watch, arrived)
    }

    async fn serve(&self, admitted: Admitted, guard: InFlight) -> Response<BoxBody> {
        let id = admitted.caller_head.id.clone();
        let watch = admitted.watch.clone();
        // The peer that makes the attempts has the budget for them.
        if admitted.is_hop || !self.is_cut_off() {
            self.earn_retries(&admitted);
        }
        let mut run = Run::new(self.clone(), admitted);
        let first = tokio::select! {
            step = run.next() => step,
            () = caller_disconnected(watch.as_ref()) => {
                run.abandon(Departure::Closed);
                let problem = Problem::caller_disconnected();
                return self.refuse(&id, &problem, Some(&run.admitted));
            }
            () = self.out_of_time() => Step::Failed(run.cut_off()),
        };
        match first {
            Step::Whole(answer) => answer.response(),
            Step::Failed(problem) if run.is_outdated() => {
                run.record_failure(&problem);
                self.refuse_hop(&id)
            }
            Step::Failed(problem) => {
                run.record_failure(&problem);
                self.refuse(&id, &problem, Some(&run.admitted))
            }
            Step::Events(events) => relay::answer(self.clone(), run, events, guard),
            Step::Done => relay::answer(self.clone(), run, bytes::Bytes::new(), guard),
        }
    }

    /// Resolves when the last request must be answered; never while the daemon stays.
    async fn out_of_time(&self) {
        let mut end = self.ports().end.clone();
        loop {
            let at = *end.borrow_and_update();
            let reached = async {
                match at {
                    Some(at) => actix_rt::time::sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = reached => return,
                Ok(()) = end.changed() => {}
            }
        }
    }

    /// Whether the work of a class can be expected to end before this daemon does.
    fn fits(&self, class: &ClassId, now: Instant) -> bool {
        let Some(end) = *self.ports().end.borrow() else {
            return true;
        };
        let left = end.saturating_duration_since(now);
        let work = self.inner.work.borrow();
        work.get(class).is_none_or(|it| it.fits(left))
    }

    /// Records how long a runner took for a whole answer.
    fn record_work(&self, class: &ClassId, took: Duration) {
        let mut work = self.inner.work.borrow_mut();
        if !work.contains_key(class) {
            let view = self.ports().view.borrow();
            work.retain(|it, _| view.catalogue.classes.contains_key(it));
        }
        work.entry(class.clone()).or_default().record(took);
    }

    /// Adds to the retry budget of the request's service, which is divided among the
    /// daemons.
    fn earn_retries(&self, admitted: &Admitted) {
        let ports = self.ports();
        let daemons = ports.members.borrow();
        let live = daemons.values().filter(|it| it.state != State::Dead);
        let retries = &self.inner.retries;
        let live = live.count();
        if ports.shared_hosts.get() {
            retries.set_allowance(retry::Allowance::of(ports.retry_slack, live));
        } else {
            retries.set_burst(retry::burst_per_daemon(ports.retry_slack, live));
        }
        retries.earn(&admitted.service);
    }

    /// Version of the declaration in force here, and how recently it was proved current.
    fn freshness(&self) -> Freshness {
        let view = self.ports().view.borrow();
        let proved = view.proved;
        Freshness {
            version: view.declaration.as_ref().map_or(0, |it| it.version),
            proof_age: proved.map(|at| clock::now().saturating_duration_since(at)),
        }
    }

    /// Whether to log a successful request; if so, how many were skipped before it.
    fn log_permit(&self) -> Option<u64> {
        self.inner.log_limit.borrow_mut().take(Instant::now())
    }

    fn refuse(
        &self,
        id: &str,
        problem: &Problem,
        admitted: Option<&Admitted>,
    ) -> Response<BoxBody> {
        let freshness = self.freshness();
        self.inner
            .metrics
            .count_refusal(problem.kind, problem.status.as_u16());
        log::info!(
            event = "CP1002", request = id, status = problem.status.as_u16(), kind = problem.kind,
            retry_after_ms = problem.retry_after.map(millis),
            class = admitted.map(|it| it.class.name.as_str()), tier = admitted.map(Admitted::tier),
            after_ms = admitted.map(|it| millis(it.arrived.elapsed())), version = freshness.version,
            proof_age_ms = freshness.proof_age.map(millis);
            "{}", problem.detail
        );
        self.ports().adapter.callers.refuse(id, problem)
    }
}

/// Which catalogue a decision was based on.
#[derive(Clone, Copy, Debug)]
struct Freshness {
    /// Version of the declaration in force.
    version: u64,
    /// Age of the proof that it is current.
    proof_age: Option<Duration>,
}

/// Waits briefly until a condition holds, the caller leaves, or its time would be used up.
async fn wait_until<F>(holds: F, caller_head: &CallerHead, arrived: Instant, watch: Option<&Watch>)
where
    F: Fn() -> bool,
{
    let share = caller_head.timeout.unwrap_or(CATALOGUE_WAIT) / CATALOGUE_WAIT_DIVISOR;
    let end = arrived + CATALOGUE_WAIT.min(share);
    while !holds() && Instant::now() < end {
        tokio::select! {
            () = actix_rt::time::sleep(CATALOGUE_POLL_INTERVAL) => {}
            () = caller_disconnected(watch) => return,
        }
    }
}

/// Resolves when the caller has disconnected; never without a watch.
async fn caller_disconnected(watch: Option<&Watch>) {
    match watch {
        Some(watch) => watch.disconnected().await,
        None => std::future::pending().await,
    }
}
