//! Opaque requests of callers: admit, wait, attempt, relay, settle.
//!
//! Method, path and body go to a runner as they came. What may be done again
//! follows from the route: a request that may run once is sent once, and again
//! only after the runner's own word that it did not run. A refusal that
//! promises that nothing ran is given only where nothing was handed over, or
//! the runner said so.

mod admit;
mod attempt;
mod events;
mod metrics;
mod relay;
mod run;
mod sample;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{ConnectionType, Request, Response, body::BoxBody};
use citron_policy::{
    feed::View,
    member::{Members, State},
    retry,
};
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use crate::{
    callers::{InFlight, Retries, payload},
    clock,
    edge::{Ask, Outside, Problem},
    follow::Follow,
    http::{Handler, Watch},
    slots::Slots,
    upstream,
};
use admit::Admitted;
use metrics::Metrics;
use run::{Run, Step};
use sample::Sample;

/// Longest wait of a request for this daemon to learn what is in force; a
/// control log whose replicas have all restarted leads again within it.
const CURRENT_WAIT: Duration = Duration::from_millis(800);

/// Part of the caller's time that such a wait may take.
const CURRENT_SHARE: u32 = 3;

/// Time between two looks.
const CURRENT_PAUSE: Duration = Duration::from_millis(20);

/// What the exchange works with.
#[derive(Clone, Debug)]
pub struct Ports {
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Log lines a second for requests that go as they should.
    pub log_rate: usize,
    /// Retries that all daemons together may save up for a service.
    pub retry_slack: u32,
    /// The daemons.
    pub members: watch::Receiver<Arc<Members>>,
    /// Catalogue in force.
    pub view: watch::Receiver<Arc<View>>,
    /// Proof that the catalogue is current.
    pub follow: Follow,
    /// Becomes true when the daemon takes no new callers.
    pub draining: watch::Receiver<bool>,
    /// Becomes true right before the end, when nothing more is taken in.
    pub closing: watch::Receiver<bool>,
    /// Slots on runners.
    pub slots: Slots,
    /// The adapter.
    pub outside: Outside,
    /// Exchanges with runners.
    pub upstream: upstream::Metrics,
}

/// The exchange; clones share it.
#[derive(Clone, Debug)]
pub struct Exchange {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    ports: Ports,
    in_flight: Rc<Cell<u32>>,
    retries: Retries,
    metrics: Metrics,
    sample: RefCell<Sample>,
}

impl Exchange {
    /// An exchange over `ports`.
    #[must_use]
    pub fn new(ports: Ports) -> Self {
        let inner = Inner {
            in_flight: Rc::default(),
            retries: Retries::new(1),
            metrics: Metrics::default(),
            sample: RefCell::new(Sample::new(Instant::now(), ports.log_rate)),
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

    /// Requests in hand.
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
        let ask = match self.ports().outside.callers.read(request.head()) {
            Ok(ask) => ask,
            Err(problem) => return self.refuse("", &problem, None),
        };
        let id = ask.id.clone();
        match self.admit(&mut request, ask, arrived).await {
            Ok(admitted) => self.serve(admitted, guard).await,
            Err(problem) => self.refuse(&id, &problem, None),
        }
    }

    async fn admit(
        &self,
        request: &mut Request,
        ask: Ask,
        arrived: Instant,
    ) -> Result<Admitted, Problem> {
        let body = payload::read(request, self.ports().max_body_bytes).await?;
        let watch = request.conn_data::<Watch>().cloned();
        self.wait_until_current(&ask, arrived, watch.as_ref()).await;
        admit::admit(self.ports(), request, ask, body, watch, arrived)
    }

    /// Waits a moment for a daemon that has just started, or lost touch, to learn
    /// what is in force; the caller could only come back to another one like it.
    async fn wait_until_current(&self, ask: &Ask, arrived: Instant, watch: Option<&Watch>) {
        let share = ask.patience.unwrap_or(CURRENT_WAIT) / CURRENT_SHARE;
        let end = arrived + CURRENT_WAIT.min(share);
        while !admit::is_current(self.ports()) && Instant::now() < end {
            tokio::select! {
                () = actix_rt::time::sleep(CURRENT_PAUSE) => {}
                () = gone(watch) => return,
            }
        }
    }

    async fn serve(&self, admitted: Admitted, guard: InFlight) -> Response<BoxBody> {
        let id = admitted.ask.id.clone();
        let watch = admitted.watch.clone();
        self.earn(&admitted);
        let mut run = Run::new(self.clone(), admitted);
        let first = tokio::select! {
            step = run.next() => step,
            () = gone(watch.as_ref()) => {
                run.abandon();
                let problem = Problem::gone();
                return self.refuse(&id, &problem, Some(&run.admitted));
            }
        };
        match first {
            Step::Whole(answer) => answer.response(),
            Step::Failed(problem) => {
                run.fail(&problem);
                self.refuse(&id, &problem, Some(&run.admitted))
            }
            Step::Events(events) => relay::answer(run, events, guard),
            Step::Done => relay::answer(run, bytes::Bytes::new(), guard),
        }
    }

    /// Counts a request for the retry budget of its service, of which each of the
    /// daemons has a share.
    fn earn(&self, admitted: &Admitted) {
        let ports = self.ports();
        let daemons = ports.members.borrow();
        let live = daemons.values().filter(|it| it.state != State::Dead);
        let retries = &self.inner.retries;
        retries.set_burst(retry::burst_per_daemon(ports.retry_slack, live.count()));
        retries.earn(&admitted.service);
    }

    /// What is in force here, and how sure that is.
    fn known(&self) -> Known {
        let view = self.ports().view.borrow();
        let proved = view.proved;
        Known {
            version: view.declaration.as_ref().map_or(0, |it| it.version),
            proof_age: proved.map(|at| clock::now().saturating_duration_since(at)),
        }
    }

    /// Whether a request that goes as it should is told; if so, how many were not.
    fn sampled(&self) -> Option<u64> {
        self.inner.sample.borrow_mut().take(Instant::now())
    }

    fn refuse(
        &self,
        id: &str,
        problem: &Problem,
        admitted: Option<&Admitted>,
    ) -> Response<BoxBody> {
        let known = self.known();
        self.inner
            .metrics
            .refused(problem.kind, problem.status.as_u16());
        log::info!(
            event = "CP1002", request = id, status = problem.status.as_u16(), kind = problem.kind,
            retry_after_ms = problem.retry_after.map(millis),
            class = admitted.map(|it| it.class.name.as_str()), tier = admitted.map(Admitted::tier),
            after_ms = admitted.map(|it| millis(it.arrived.elapsed())), version = known.version,
            proof_age_ms = known.proof_age.map(millis);
            "{}", problem.detail
        );
        self.ports().outside.callers.refuse(id, problem)
    }
}

/// What a decision was taken by.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// Version of the declaration in force.
    version: u64,
    /// Age of the proof that it is current.
    proof_age: Option<Duration>,
}

/// Whole milliseconds, for the log.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Resolves when the caller has left.
async fn gone(watch: Option<&Watch>) {
    match watch {
        Some(watch) => watch.gone().await,
        None => std::future::pending().await,
    }
}
