//! Slots on runners for this daemon's requests, and the arbiters it hosts.
//!
//! A request acquires a slot, is sent directly to the runner of the slot, and
//! releases it with a sample of the attempt. [`citron_policy::requester`] and
//! [`citron_policy::arbiter`] make the decisions; this module applies their effects.
//! If this daemon hosts the arbiter of a service, its own requests to it bypass the network.

mod host;
mod metrics;
mod poll;
mod progress;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use citron_policy::{
    arbiter::{self, Ask, Ticket},
    autoscale,
    catalogue::Backend,
    crash,
    feed::View,
    id::{AccountId, BuildId, ClassId, Fingerprint, InstanceId, RequestId, RunnerId, ServiceId},
    member::Members,
    platform::{List, reader::Role},
    requester::{self, Requester},
    standstill::Standstill,
    stream::Stream,
};
use citron_wire::{
    generated::slot as proto,
    slot::{self as form, Content},
};
use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;
use tokio::sync::{Notify, oneshot, watch};

pub use citron_policy::arbiter::{End, Load, Part, Refusal, Report, Sample};
pub use metrics::Metrics;

use crate::{clock, event::Ring, peers::Hub, platform::Need, shared_hosts::SharedHosts};
use host::{Host, Work};
use progress::Stream as RunningStream;

/// Time between two ticks of requesters and arbiters.
const TICK: Duration = Duration::from_millis(100);

/// Time between two proposals of unconfirmed crash marks.
const REPROPOSE_INTERVAL: Duration = Duration::from_secs(5);

/// Tickets reserved per millisecond of system time, so that a restarted daemon does
/// not reuse tickets of its previous run.
const TICKETS_PER_MS: u64 = 1_024;

/// What a request needs from its slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Identity of the request.
    pub request: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Its class.
    pub class: ClassId,
    /// Account that pays for it.
    pub account: AccountId,
    /// Digest of account and body.
    pub fingerprint: Fingerprint,
    /// Digest of the prompt's prefix, or zero.
    pub prefix: u64,
    /// Time after which a slot is of no use.
    pub deadline: Instant,
    /// Runners that failed the request already.
    pub avoid: Vec<RunnerId>,
    /// Whether it resumes the work of an earlier slot.
    pub resume: bool,
    /// Tier that overrides the class's.
    pub tier: Option<u8>,
    /// Parts of the prompt, in order; empty without a prompt.
    pub prompt: Vec<Part>,
    /// Maximum number of output tokens.
    pub output: u32,
    /// The stream that the answer is, if it is one.
    pub stream: Option<Stream>,
}

/// Settings of the slots of this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Whether runners are polled for their load; if not, it is known from responses only.
    pub poll: bool,
    /// Whether hosted arbiters admit classes and accounts that they do not know yet.
    pub admit_unknown: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            poll: true,
            admit_unknown: false,
        }
    }
}

/// Inputs of requesters and arbiters.
#[derive(Clone, Debug)]
pub struct Inputs {
    /// Daemons of the cluster.
    pub members: watch::Receiver<Arc<Members>>,
    /// List of runners from the platform.
    pub platform: watch::Receiver<Arc<List>>,
    /// What this daemon needs that list for.
    pub need: Need,
    /// Whether runners share their machines with others.
    pub shared_hosts: SharedHosts,
    /// Catalogue and crash marks.
    pub view: watch::Receiver<Arc<View>>,
}

/// Proposes a crash mark to the control log; a proposal may be lost or duplicated.
pub type Propose = Rc<dyn Fn(crash::Step)>;

/// Slots of this daemon; clones share one state.
#[derive(Clone)]
pub struct Slots {
    inner: Rc<Inner>,
}

struct Inner {
    settings: Settings,
    hub: Hub,
    inputs: Inputs,
    propose: Propose,
    ring: Ring,
    metrics: Metrics,
    host: RefCell<Host>,
    waiting: RefCell<IndexMap<Ticket, Waiter>>,
    streams: RefCell<IndexMap<Ticket, Rc<RunningStream>>>,
    next_ticket: Cell<Ticket>,
    /// Whether `drive` is running; events queued meanwhile are processed by that call.
    driving: Cell<bool>,
    /// Pauses between two runs of `drive`.
    standstill: RefCell<Standstill>,
    /// Signals that the gauges of the arbiters are out of date.
    stats_changed: Notify,
}

/// A request that is waiting for its slot.
struct Waiter {
    request: RequestId,
    service: ServiceId,
    class: ClassId,
    sender: oneshot::Sender<Result<Grant, Refusal>>,
}

struct Grant {
    runner: RunnerId,
    alone: bool,
    /// Address of the runner, if the arbiter knows it.
    address: Option<SocketAddr>,
    /// Version of the runner's software.
    build: BuildId,
    waited: Duration,
}

impl std::fmt::Debug for Slots {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Slots")
            .field("me", self.inner.hub.me())
            .finish_non_exhaustive()
    }
}

impl Slots {
    /// Slots over `inputs`; [`Slots::run`] must be spawned too.
    #[must_use]
    pub fn new(settings: Settings, hub: Hub, inputs: Inputs, propose: Propose, ring: Ring) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let first = u64::try_from(since_epoch.as_millis()).unwrap_or(0) * TICKETS_PER_MS;
        let inner = Inner {
            settings,
            host: RefCell::new(Host::new(hub.me().clone())),
            hub,
            inputs,
            propose,
            ring,
            metrics: Metrics::default(),
            waiting: RefCell::default(),
            streams: RefCell::default(),
            next_ticket: Cell::new(first),
            driving: Cell::new(false),
            standstill: RefCell::new(Standstill::new(Instant::now(), clock::now())),
            stats_changed: Notify::new(),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// The metrics, to be registered.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Applies changes of the inputs and drives timers; never returns.
    pub async fn run(&self) {
        if self.inner.settings.poll {
            actix_rt::spawn(poll::run(self.clone()));
        }
        let inner = Rc::clone(&self.inner);
        actix_rt::spawn(async move { inner.export_stats().await });
        let mut inputs = self.inner.inputs.clone();
        let mut ticks = actix_rt::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last_proposed = Instant::now();
        self.inner.apply_inputs();
        loop {
            tokio::select! {
                Ok(()) = inputs.members.changed() => self.inner.apply_members(),
                Ok(()) = inputs.platform.changed() => self.inner.apply_platform(),
                Ok(()) = inputs.view.changed() => self.inner.apply_view(),
                _ = ticks.tick() => self.inner.tick(),
            }
            if last_proposed.elapsed() >= REPROPOSE_INTERVAL {
                last_proposed = Instant::now();
                self.inner.repropose_marks();
            }
        }
    }

    /// What this daemon needs the list of runners for.
    #[must_use]
    pub fn list_role(&self) -> Role {
        self.inner.list_role()
    }

    /// Demand for runners since the last call, of the services that are hosted here and
    /// whose runners are ordered; it is only sampled once this is called.
    #[must_use]
    pub fn demands(&self) -> Vec<autoscale::Demand> {
        self.inner.demands()
    }

    /// Tells the arbiter of a service, if it is hosted here, how many runners are ordered.
    pub fn set_ordered(&self, service: &ServiceId, runners: u32) {
        let event = arbiter::Event::Ordered(runners);
        self.inner
            .drive(vec![Work::Arbiter(service.clone(), event)]);
    }

    /// Waits for a slot; dropping the future withdraws the request.
    ///
    /// # Errors
    /// [`Refusal`], as soon as the request is refused.
    pub async fn acquire(&self, demand: Demand) -> Result<Slot, Refusal> {
        let now = Instant::now();
        // The arbiter itself compares the times of requests that state their prompt.
        let reports_progress =
            self.inner.streams_tokens(&demand.service) && demand.prompt.is_empty();
        let ticket = self.inner.next_ticket.get();
        self.inner.next_ticket.set(ticket + 1);
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            request: demand.request,
            service: demand.service.clone(),
            class: demand.class.clone(),
            sender,
        };
        self.inner.waiting.borrow_mut().insert(ticket, waiter);
        let mut guard = Guard {
            inner: Rc::clone(&self.inner),
            service: demand.service.clone(),
            ticket,
            armed: true,
        };
        self.inner.request_slot(now, ticket, demand);
        let grant = receiver.await.unwrap_or(Err(Refusal::Late));
        let grant = match grant {
            Ok(grant) => grant,
            Err(refusal) => {
                guard.armed = false;
                return Err(refusal);
            }
        };
        let address = grant
            .address
            .or_else(|| self.inner.address(&guard.service, &grant.runner));
        let Some(address) = address else {
            return Err(Refusal::NoRunner {
                retry_after: TICK * 10,
            });
        };
        guard.armed = false;
        let stream = Rc::new(RunningStream::new(
            Instant::now(),
            guard.service.clone(),
            grant.runner.clone(),
            reports_progress,
        ));
        self.inner
            .streams
            .borrow_mut()
            .insert(ticket, Rc::clone(&stream));
        Ok(Slot {
            runner: grant.runner,
            address,
            build: grant.build,
            alone: grant.alone,
            waited: grant.waited,
            arbiter: self.inner.arbiter_of(&guard.service),
            guard: Guard {
                inner: Rc::clone(&self.inner),
                service: guard.service.clone(),
                ticket,
                armed: true,
            },
            stream,
        })
    }

    /// Handles a one-way message of another daemon.
    pub fn on_message(&self, from: &InstanceId, message: proto::Message) {
        let (service, shard, content) = match form::from_proto(message) {
            Ok(parts) => parts,
            Err(error) => {
                self.inner.metrics.malformed.inc();
                log::warn!("CP0301 malformed message from {from}: {error}");
                return;
            }
        };
        if shard != 0 || !self.inner.is_declared(&service) {
            self.inner.metrics.malformed.inc();
            log::debug!("CP0301 message from {from} for unknown shard {service}/{shard}");
            return;
        }
        let works = match content {
            Content::Requests(asked) => asked
                .into_iter()
                .map(|it| Work::asked(&service, from, it))
                .collect::<Vec<_>>(),
            Content::Replies(epoch, replies) => replies
                .into_iter()
                .map(|it| Work::reply(&service, from, epoch, it))
                .collect(),
        };
        self.inner.drive(works);
    }

    /// Rejects a call of another daemon: slot messages are one-way.
    #[must_use]
    pub fn on_call(
        &self,
        _from: &InstanceId,
        _message: proto::Message,
    ) -> LocalBoxFuture<'static, Result<proto::Message, String>> {
        Box::pin(async { Err("slot messages want no answer".to_owned()) })
    }
}

impl Inner {
    fn request_slot(&self, now: Instant, ticket: Ticket, demand: Demand) {
        let ask = Ask {
            ticket,
            class: demand.class,
            account: demand.account,
            fingerprint: demand.fingerprint,
            prefix: demand.prefix,
            remaining: demand.deadline.saturating_duration_since(now),
            avoid: demand.avoid,
            resume: demand.resume,
            tier: demand.tier,
            prompt: demand.prompt,
            output: demand.output,
            stream: demand.stream,
            ..Ask::default()
        };
        let event = requester::Event::Acquire {
            ask,
            deadline: demand.deadline,
        };
        self.ensure_requester(now, &demand.service);
        self.drive(vec![Work::Requester(demand.service, event)]);
    }

    fn ensure_requester(&self, now: Instant, service: &ServiceId) {
        if self.host.borrow().requesters.contains_key(service) {
            return;
        }
        let ranks = self.ranks(service).to_vec();
        let marks = Arc::clone(&self.inputs.view.borrow().marks);
        let mut requester = Requester::new(now, requester::Settings::default());
        // A requester without requests has no effects for either event.
        drop(requester.on_event(now, requester::Event::Ranks(ranks)));
        drop(requester.on_event(now, requester::Event::Marks(marks)));
        self.host
            .borrow_mut()
            .requesters
            .insert(service.clone(), requester);
    }

    fn is_declared(&self, service: &ServiceId) -> bool {
        self.inputs
            .view
            .borrow()
            .catalogue
            .services
            .contains_key(service)
    }

    /// Whether the service's responses are token streams.
    fn streams_tokens(&self, service: &ServiceId) -> bool {
        let view = self.inputs.view.borrow();
        let declared = view.catalogue.services.get(service);
        declared.is_some_and(|it| it.backend == Backend::Model)
    }

    /// The daemon that hosts the arbiter of a service, as far as known here.
    fn arbiter_of(&self, service: &ServiceId) -> InstanceId {
        let host = self.host.borrow();
        let requester = host.requesters.get(service);
        requester
            .and_then(|it| it.arbiter().cloned())
            .unwrap_or_default()
    }

    fn address(&self, service: &ServiceId, runner: &RunnerId) -> Option<SocketAddr> {
        let list = self.inputs.platform.borrow();
        let mut of_service = list.runners.iter().filter(|it| it.service == *service);
        of_service.find(|it| it.id == *runner).map(|it| it.address)
    }
}

/// Cancels its ticket on drop unless the ticket was closed before.
struct Guard {
    inner: Rc<Inner>,
    service: ServiceId,
    ticket: Ticket,
    armed: bool,
}

impl Guard {
    fn close(&mut self, event: requester::Event) {
        if !std::mem::replace(&mut self.armed, false) {
            return;
        }
        self.inner.streams.borrow_mut().swap_remove(&self.ticket);
        self.inner
            .drive(vec![Work::Requester(self.service.clone(), event)]);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.inner.waiting.borrow_mut().swap_remove(&self.ticket);
        self.close(requester::Event::Cancel(self.ticket));
    }
}

/// Permission to run one request on one runner; released as cancelled on drop.
pub struct Slot {
    /// Runner to send the request to.
    pub runner: RunnerId,
    /// Its address.
    pub address: SocketAddr,
    /// Version of its software.
    pub build: BuildId,
    /// Whether the request must run alone on the runner.
    pub alone: bool,
    /// Time that the request waited for the slot.
    pub waited: Duration,
    /// Daemon whose arbiter granted the slot.
    pub arbiter: InstanceId,
    guard: Guard,
    stream: Rc<RunningStream>,
}

impl std::fmt::Debug for Slot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Slot")
            .field("runner", &self.runner)
            .finish_non_exhaustive()
    }
}

impl Slot {
    /// Resolves when the arbiter preempts the slot; later calls resolve at once.
    pub async fn preempted(&self) {
        self.stream.preempted().await;
    }

    /// Records the tokens received so far, so that a stalled runner is detected early.
    pub fn record_tokens(&self, tokens: u32) {
        self.stream.record_tokens(Instant::now(), tokens);
    }

    /// Reports the first output, which means that the prompt was processed.
    pub fn record_start(&self) {
        let begun = requester::Event::Begun(self.guard.ticket);
        let work = Work::Requester(self.guard.service.clone(), begun);
        self.guard.inner.drive(vec![work]);
    }

    /// Reports the limit that the runner names in its answer, in requests per second; not
    /// a number if it cannot be read.
    pub fn record_limit(&self, per_second: f64) {
        let limit = requester::Event::Limit(self.guard.ticket, per_second);
        let work = Work::Requester(self.guard.service.clone(), limit);
        self.guard.inner.drive(vec![work]);
    }

    /// Reports how many requests in a second the runner says it can turn away.
    pub fn record_brittle(&self, most: u32) {
        let brittle = requester::Event::Brittle(self.guard.ticket, most);
        let work = Work::Requester(self.guard.service.clone(), brittle);
        self.guard.inner.drive(vec![work]);
    }

    /// Releases the slot with a sample of the attempt.
    pub fn release(mut self, sample: Sample) {
        self.guard.inner.metrics.on_sample(&sample);
        let release = requester::Event::Release(self.guard.ticket, sample);
        self.guard.close(release);
    }
}
