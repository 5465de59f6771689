//! Duties that one instance at a time carries out.
//!
//! Every daemon with a replica of the control log is a candidate for the lease
//! ([`citron_policy::lease`]). The holder calls the platform through
//! [`Duty::call`], which adds the fencing token and checks the lease right before
//! the request is written.

pub mod call;
mod metrics;
pub mod pace;
pub mod scale;
mod usage;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use citron_policy::{
    arbiter::host_order,
    id::{FencingToken, InstanceId, ReplicaId},
    lease::{self, Candidate, Step},
    member::{Members, State},
    state::{Answer, Command},
    usage::{Fixed, Settings as UsageSettings, Window},
};
use prometheus_client::registry::Registry;
use tokio::sync::{Mutex, watch};

use crate::{
    clock,
    control::Control,
    edge::{DutyCall, DutyCalls, Fence},
    event::millis,
};

pub use self::{call::Failure, usage::Usage};
use self::{metrics::Metrics, pace::Pace};

/// Time between two looks at the lease.
const TICK: Duration = Duration::from_millis(100);

/// Timeout of a proposal to the control log, and of a question to the local replica.
const LOG_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of the question whether all replicas know leases.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Name by which the candidates are ranked.
const RANK_NAME: &str = "duties";

/// Settings of the duties; none are carried out by default.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Durations of the lease.
    pub lease: lease::Settings,
    /// Calls per second that the platform accepts from all daemons together.
    pub calls_per_second: f64,
    /// Whether usage is reported, and how.
    pub usage: Option<UsageSettings>,
    /// Whether runners are ordered.
    pub scaling: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: lease::Settings::default(),
            calls_per_second: 10.0,
            usage: None,
            scaling: false,
        }
    }
}

impl Settings {
    /// Whether there is any duty.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.usage.is_some() || self.scaling
    }
}

/// What the duties need of the daemon.
#[derive(Clone, derive_more::Debug)]
pub struct Ports {
    /// This instance.
    pub me: InstanceId,
    /// The control log.
    pub control: Control,
    /// Daemons of the cluster.
    pub members: watch::Receiver<Arc<Members>>,
    /// Whether this daemon is leaving.
    pub draining: watch::Receiver<bool>,
    /// Address of the platform's interface.
    pub address: SocketAddr,
    /// Encodes the calls.
    #[debug(skip)]
    pub calls: Rc<dyn DutyCalls>,
}

/// The duties of this daemon; clones share them.
#[derive(Clone, Debug)]
pub struct Duty {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: Settings,
    ports: Ports,
    /// None without a replica, so that the lease can never be held here.
    candidate: Option<RefCell<Candidate>>,
    fixed: RefCell<Fixed>,
    pace: RefCell<Pace>,
    /// Held by the call that waits for its start, so that calls start in the order made.
    turn: Mutex<()>,
    /// Token under which this daemon was last seen to hold the lease.
    held: Cell<Option<FencingToken>>,
    /// Instance whose build did not know leases at the last look.
    old: RefCell<Option<InstanceId>>,
    metrics: Metrics,
}

impl Duty {
    /// Starts to compete for the lease, if this daemon has a replica.
    #[must_use]
    pub fn start(settings: Settings, ports: Ports) -> Self {
        let candidate = ports
            .control
            .replica()
            .map(|me| RefCell::new(Candidate::new(settings.lease, me, ports.me.clone())));
        let pace = Pace::new(Instant::now(), settings.calls_per_second);
        let inner = Inner {
            settings,
            ports,
            candidate,
            fixed: RefCell::default(),
            pace: RefCell::new(pace),
            turn: Mutex::new(()),
            held: Cell::new(None),
            old: RefCell::default(),
            metrics: Metrics::default(),
        };
        let duty = Self {
            inner: Rc::new(inner),
        };
        if duty.inner.candidate.is_some() {
            actix_rt::spawn(duty.clone().compete());
        }
        duty
    }

    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        self.inner.metrics.register(registry);
    }

    /// Settings of the duties.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// The lease, as far as the replica of this daemon knows.
    #[must_use]
    pub fn record(&self) -> Option<lease::Record> {
        let candidate = self.inner.candidate.as_ref()?.borrow();
        candidate.record().cloned()
    }

    /// Whether this daemon holds the lease now.
    #[must_use]
    pub fn is_holder(&self) -> bool {
        self.fence(Duration::ZERO).is_some()
    }

    /// Fencing token under which this daemon holds the lease now, if it does.
    #[must_use]
    pub fn token(&self) -> Option<FencingToken> {
        self.fence(Duration::ZERO)
    }

    /// Whether this daemon has a replica, and so may come to hold the lease.
    #[must_use]
    pub fn is_candidate(&self) -> bool {
        self.inner.candidate.is_some()
    }

    /// Windows of usage whose counts are fixed, as far as the replica of this daemon knows.
    #[must_use]
    pub fn fixed(&self) -> Fixed {
        self.inner.fixed.borrow().clone()
    }

    /// Fixes the counts of a window of usage; returns those in force, if they are known.
    pub async fn fix(&self, window: Window) -> Option<Arc<Window>> {
        let command = Command::Usage(Arc::new(window));
        match self.inner.ports.control.submit(command, LOG_TIMEOUT).await {
            Ok(Answer::Usage(window)) => window,
            Ok(_) => None,
            Err(error) => {
                log::info!(event = "CP1201"; "usage not fixed: {error}");
                None
            }
        }
    }

    /// Calls the platform under the lease.
    ///
    /// # Errors
    /// [`Failure`]; only [`Failure::NoAnswer`] leaves open whether the platform got the call.
    pub async fn call<F>(&self, encode: F) -> Result<StatusCode, Failure>
    where
        F: FnOnce(&dyn DutyCalls, &Fence<'_>) -> DutyCall,
    {
        let inner = &self.inner;
        let running = self.begin().await;
        let started = Instant::now();
        let outcome = self.call_now(encode).await;
        let answered = match &outcome {
            Ok(_) => Some(true),
            Err(Failure::NotHolder) => None,
            Err(Failure::Unreachable | Failure::NoAnswer) => Some(false),
        };
        if let (Some(answered), Some(candidate)) = (answered, &inner.candidate) {
            candidate.borrow_mut().on_call(clock::now(), answered);
            let is_accepted = matches!(&outcome, Ok(status) if status.is_success());
            // An order that cannot be met is an answer, not a fault of the platform.
            let is_refused = matches!(&outcome, Ok(StatusCode::CONFLICT));
            let now = Instant::now();
            let jitter = rand::random();
            inner
                .pace
                .borrow_mut()
                .on_outcome(now, started, is_accepted || is_refused, jitter);
        }
        drop(running);
        inner.metrics.count(outcome);
        outcome
    }

    /// Waits until a call may be made.
    async fn begin(&self) -> Running<'_> {
        let inner = &self.inner;
        let _turn = inner.turn.lock().await;
        loop {
            let started = inner.pace.borrow_mut().start(Instant::now());
            match started {
                Ok(()) => return Running(&inner.pace),
                Err(wait) => actix_rt::time::sleep(wait).await,
            }
        }
    }

    async fn call_now<F>(&self, encode: F) -> Result<StatusCode, Failure>
    where
        F: FnOnce(&dyn DutyCalls, &Fence<'_>) -> DutyCall,
    {
        let ports = &self.inner.ports;
        if !self.is_holder() {
            return Err(Failure::NotHolder);
        }
        let encode = || {
            let token = self.fence(call::TIMEOUT)?;
            let fence = Fence {
                holder: &ports.me,
                token,
            };
            Some(encode(ports.calls.as_ref(), &fence))
        };
        call::send(ports.address, encode).await
    }

    fn fence(&self, call: Duration) -> Option<FencingToken> {
        let candidate = self.inner.candidate.as_ref()?;
        candidate.borrow().fence(clock::now(), call)
    }

    /// Competes for the lease and renews it, until the process ends.
    async fn compete(self) {
        let Some(candidate) = &self.inner.candidate else {
            return;
        };
        loop {
            self.observe(candidate).await;
            let proposed_at = clock::now();
            if *self.inner.ports.draining.borrow() {
                candidate.borrow_mut().abstain(proposed_at);
            }
            let step = candidate.borrow_mut().propose(proposed_at, self.rank());
            if let Some(step) = step {
                let task = self.clone();
                actix_rt::spawn(async move { task.submit(step, proposed_at).await });
            }
            self.note_holder(candidate);
            actix_rt::time::sleep(TICK).await;
        }
    }

    /// Reads the state of the local replica.
    async fn observe(&self, candidate: &RefCell<Candidate>) {
        let known = self
            .inner
            .fixed
            .borrow()
            .windows()
            .map(|it| it.number)
            .collect();
        let control = &self.inner.ports.control;
        if let Some((record, fixed)) = control.duties(known, LOG_TIMEOUT).await {
            candidate
                .borrow_mut()
                .observe(clock::now(), record.as_ref());
            self.inner.fixed.borrow_mut().update(fixed);
        }
    }

    async fn submit(&self, step: Step, proposed_at: Instant) {
        let Some(candidate) = &self.inner.candidate else {
            return;
        };
        if matches!(step, Step::Take { .. }) && !self.is_known_by_all().await {
            candidate.borrow_mut().on_no_answer(proposed_at);
            return;
        }
        let command = Command::Lease(step.clone());
        match self.inner.ports.control.submit(command, LOG_TIMEOUT).await {
            Ok(Answer::Lease(record)) => {
                let now = clock::now();
                candidate
                    .borrow_mut()
                    .on_answer(now, proposed_at, &step, record.as_ref());
            }
            Ok(_) | Err(_) => candidate.borrow_mut().on_no_answer(proposed_at),
        }
        self.note_holder(candidate);
    }

    /// Whether all replicas that answer know leases. An older build in their midst would
    /// replace the steps by commands without effect.
    async fn is_known_by_all(&self) -> bool {
        let statuses = self.inner.ports.control.status(STATUS_TIMEOUT).await;
        let old = statuses.iter().find(|(_, status)| !status.duties);
        let old = old.map(|(instance, _)| instance.clone());
        let before = self.inner.old.replace(old.clone());
        if let Some(instance) = &old
            && before != old
        {
            log::info!(
                event = "CP1202", instance = instance.as_str();
                "lease not taken: a replica of an older build takes part"
            );
        }
        old.is_none() && !statuses.is_empty()
    }

    /// Place of this candidate among the live ones.
    fn rank(&self) -> usize {
        let order = candidates(&self.inner.ports.members.borrow());
        let place = order.iter().position(|(it, _)| *it == self.inner.ports.me);
        place.unwrap_or(order.len())
    }

    /// Logs and counts that this daemon came to hold the lease, or lost it.
    fn note_holder(&self, candidate: &RefCell<Candidate>) {
        let token = self.fence(Duration::ZERO);
        let before = self.inner.held.replace(token);
        if before == token {
            return;
        }
        let metrics = &self.inner.metrics;
        if let Some(token) = token {
            metrics.on_taken(token);
            log::info!(event = "CP1203", token; "holds the lease of the duties");
            return;
        }
        metrics.on_lost();
        let candidate = candidate.borrow();
        let record = candidate.record();
        log::info!(
            event = "CP1204", token = before,
            holder = record.map(|it| it.instance.as_str()),
            abstains = candidate.abstains(clock::now()),
            term_ms = millis(self.inner.settings.lease.term);
            "does not hold the lease of the duties any more"
        );
    }
}

/// A call that was started; it ends when this is dropped, also if nobody waits for it.
struct Running<'a>(&'a RefCell<Pace>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().end();
    }
}

/// Instances with a replica that are alive, the preferred receiver of reports first.
#[must_use]
pub fn candidates(members: &Members) -> Vec<(InstanceId, ReplicaId)> {
    let candidates: Members = members
        .iter()
        .filter(|(_, it)| it.replica.is_some() && it.state == State::Alive)
        .map(|(id, it)| (id.clone(), it.clone()))
        .collect();
    let order = host_order(RANK_NAME, 0, &candidates);
    let replica = |id: &InstanceId| candidates.get(id).and_then(|it| it.replica);
    order
        .into_iter()
        .filter_map(|id| replica(&id).map(|replica| (id, replica)))
        .collect()
}
