//! Slots on runners for this daemon's requests, and the arbiters it hosts.
//!
//! A request takes a slot, streams directly with the runner that it names, and
//! releases it with what was seen on the way. The decisions are those of
//! [`citron_policy::requester`] and [`citron_policy::arbiter`]; here their effects
//! are carried out. When this daemon hosts the arbiter of a service, its own
//! asks never touch the network.

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
    arbiter::{Ask, Ticket},
    catalogue::Backend,
    crash,
    feed::View,
    id::{AccountId, ClassId, Fingerprint, InstanceId, RequestId, RunnerId, ServiceId},
    member::Members,
    platform::List,
    requester::{self, Requester},
};
use citron_wire::{
    generated::slot as proto,
    slot::{self as form, Content},
};
use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;
use tokio::sync::{Notify, oneshot, watch};

pub use citron_policy::arbiter::{End, Part, Refusal, Sample};
pub use metrics::Metrics;

use crate::{event::Ring, peers::Hub, platform::Need};
use host::{Host, Work};
use progress::Stream;

/// Time between two ticks of desks and arbiters.
const TICK: Duration = Duration::from_millis(100);

/// Time between two proposals of marks that are not confirmed.
const PROPOSE_AGAIN: Duration = Duration::from_secs(5);

/// Tickets a millisecond that a restarted daemon will not meet again.
const TICKETS_PER_MS: u64 = 1_024;

/// What a request needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Identity of the request.
    pub request: RequestId,
    /// Service that it is for.
    pub service: ServiceId,
    /// Its class.
    pub class: ClassId,
    /// Account that pays for it.
    pub account: AccountId,
    /// Digest of account and body.
    pub fingerprint: Fingerprint,
    /// Digest of the prompt's beginning, or zero.
    pub prefix: u64,
    /// When it is of no use any more.
    pub deadline: Instant,
    /// Runners that failed it already.
    pub avoid: Vec<RunnerId>,
    /// Whether it goes on where an earlier slot left off.
    pub resume: bool,
    /// Tier in place of the class's.
    pub tier: Option<u8>,
    /// Parts of the prompt, in order; empty where there is none.
    pub prompt: Vec<Part>,
    /// Most tokens that the answer may have.
    pub output: u32,
}

/// How the slots of this daemon work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Whether runners are asked for their load; otherwise their answers tell.
    pub poll: bool,
    /// Whether arbiters here serve classes and accounts that they do not know yet.
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

/// What the slots of this daemon work on.
#[derive(Clone, Debug)]
pub struct Inputs {
    /// The daemons.
    pub members: watch::Receiver<Arc<Members>>,
    /// The platform's list.
    pub platform: watch::Receiver<Arc<List>>,
    /// Whether an arbiter here depends on that list.
    pub need: Need,
    /// Catalogue and crash marks.
    pub view: watch::Receiver<Arc<View>>,
}

/// Hands a crash mark to the control log; it may be lost or doubled.
pub type Propose = Rc<dyn Fn(crash::Step)>;

/// The slots of this daemon; clones share them.
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
    streams: RefCell<IndexMap<Ticket, Rc<Stream>>>,
    next: Cell<Ticket>,
    /// Whether an event is being carried out, which takes in those it leads to.
    busy: Cell<bool>,
    /// When work was last carried out here.
    driven: Cell<Instant>,
    /// Tells that the gauges of arbiters are out of date.
    stale: Notify,
}

/// A request that waits for its slot.
struct Waiter {
    request: RequestId,
    class: ClassId,
    tell: oneshot::Sender<Result<Grant, Refusal>>,
}

struct Grant {
    runner: RunnerId,
    alone: bool,
    /// Where the arbiter knows the runner to be.
    address: Option<SocketAddr>,
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
    /// Slots over `inputs`; [`Slots::run`] must be spawned beside them.
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
            next: Cell::new(first),
            busy: Cell::new(false),
            driven: Cell::new(Instant::now()),
            stale: Notify::new(),
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

    /// Follows the inputs and does what is due by time, for ever.
    pub async fn run(&self) {
        if self.inner.settings.poll {
            actix_rt::spawn(poll::run(self.clone()));
        }
        let inner = Rc::clone(&self.inner);
        actix_rt::spawn(async move { inner.show_stats().await });
        let mut inputs = self.inner.inputs.clone();
        let mut ticks = actix_rt::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut proposed = Instant::now();
        self.inner.follow_all();
        loop {
            tokio::select! {
                Ok(()) = inputs.members.changed() => self.inner.follow_members(),
                Ok(()) = inputs.platform.changed() => self.inner.follow_platform(),
                Ok(()) = inputs.view.changed() => self.inner.follow_view(),
                _ = ticks.tick() => self.inner.tick(),
            }
            if proposed.elapsed() >= PROPOSE_AGAIN {
                proposed = Instant::now();
                self.inner.propose_again();
            }
        }
    }

    /// Whether an arbiter is here, which depends on the list of runners.
    #[must_use]
    pub fn hosts_arbiter(&self) -> bool {
        !self.inner.host.borrow().arbiters.is_empty()
    }

    /// Waits for a slot; dropping the future withdraws the request.
    ///
    /// # Errors
    /// [`Refusal`], at once when the request is given up.
    pub async fn acquire(&self, demand: Demand) -> Result<Slot, Refusal> {
        let now = Instant::now();
        // Times of those that read prompts are compared by the arbiter.
        let judged = self.inner.streams_tokens(&demand.service) && demand.prompt.is_empty();
        let ticket = self.inner.next.get();
        self.inner.next.set(ticket + 1);
        let (tell, told) = oneshot::channel();
        let waiter = Waiter {
            request: demand.request,
            class: demand.class.clone(),
            tell,
        };
        self.inner.waiting.borrow_mut().insert(ticket, waiter);
        let mut claim = Claim {
            inner: Rc::clone(&self.inner),
            service: demand.service.clone(),
            ticket,
            open: true,
        };
        self.inner.ask(now, ticket, demand);
        let grant = told.await.unwrap_or(Err(Refusal::Late));
        let grant = match grant {
            Ok(grant) => grant,
            Err(refusal) => {
                claim.open = false;
                return Err(refusal);
            }
        };
        let address = grant.address.or_else(|| self.inner.address(&grant.runner));
        let Some(address) = address else {
            return Err(Refusal::NoRunner {
                retry_after: TICK * 10,
            });
        };
        claim.open = false;
        let stream = Rc::new(Stream::new(
            Instant::now(),
            claim.service.clone(),
            grant.runner.clone(),
            judged,
        ));
        self.inner
            .streams
            .borrow_mut()
            .insert(ticket, Rc::clone(&stream));
        Ok(Slot {
            runner: grant.runner,
            address,
            alone: grant.alone,
            waited: grant.waited,
            arbiter: self.inner.arbiter_of(&claim.service),
            claim: Claim {
                inner: Rc::clone(&self.inner),
                service: claim.service.clone(),
                ticket,
                open: true,
            },
            stream,
        })
    }

    /// Takes in a message of another daemon that wants no answer.
    pub fn on_tell(&self, from: &InstanceId, message: proto::Message) {
        let (service, shard, content) = match form::read(message) {
            Ok(parts) => parts,
            Err(error) => {
                self.inner.metrics.garbage.inc();
                log::warn!("CP0301 message of {from} refused: {error}");
                return;
            }
        };
        if shard != 0 || !self.inner.is_declared(&service) {
            self.inner.metrics.garbage.inc();
            log::debug!("CP0301 message of {from} about unknown shard {service}/{shard}");
            return;
        }
        let works = match content {
            Content::Asked(asked) => asked
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

    /// Answers a call of another daemon.
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
    fn ask(&self, now: Instant, ticket: Ticket, demand: Demand) {
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
            ..Ask::default()
        };
        let take = requester::Event::Acquire {
            ask,
            deadline: demand.deadline,
        };
        self.open_desk(now, &demand.service);
        self.drive(vec![Work::Desk(demand.service, take)]);
    }

    fn open_desk(&self, now: Instant, service: &ServiceId) {
        if self.host.borrow().desks.contains_key(service) {
            return;
        }
        let ranks = self.ranks(service).to_vec();
        let marks = Arc::clone(&self.inputs.view.borrow().marks);
        let mut desk = Requester::new(now, requester::Settings::default());
        // A desk without work has nothing to say about either.
        drop(desk.on_event(now, requester::Event::Ranks(ranks)));
        drop(desk.on_event(now, requester::Event::Marks(marks)));
        self.host.borrow_mut().desks.insert(service.clone(), desk);
    }

    fn is_declared(&self, service: &ServiceId) -> bool {
        self.inputs
            .view
            .borrow()
            .catalogue
            .services
            .contains_key(service)
    }

    /// Whether the service's answers come token by token.
    fn streams_tokens(&self, service: &ServiceId) -> bool {
        let view = self.inputs.view.borrow();
        let declared = view.catalogue.services.get(service);
        declared.is_some_and(|it| it.backend == Backend::Model)
    }

    /// The daemon that is asked for slots of a service.
    fn arbiter_of(&self, service: &ServiceId) -> InstanceId {
        let host = self.host.borrow();
        let desk = host.desks.get(service);
        desk.and_then(|it| it.arbiter().cloned())
            .unwrap_or_default()
    }

    fn address(&self, runner: &RunnerId) -> Option<SocketAddr> {
        let list = self.inputs.platform.borrow();
        let listed = list.runners.iter().find(|it| it.id == *runner);
        listed.map(|it| it.address)
    }
}

/// A ticket that is given back unless it is closed before.
struct Claim {
    inner: Rc<Inner>,
    service: ServiceId,
    ticket: Ticket,
    open: bool,
}

impl Claim {
    fn end(&mut self, event: requester::Event) {
        if !std::mem::replace(&mut self.open, false) {
            return;
        }
        self.inner.streams.borrow_mut().swap_remove(&self.ticket);
        self.inner
            .drive(vec![Work::Desk(self.service.clone(), event)]);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.inner.waiting.borrow_mut().swap_remove(&self.ticket);
        self.end(requester::Event::Cancel(self.ticket));
    }
}

/// The right to run one request on one runner; dropping it releases it as cancelled.
pub struct Slot {
    /// Runner to use.
    pub runner: RunnerId,
    /// Its address.
    pub address: SocketAddr,
    /// Whether the request must be the only one there.
    pub alone: bool,
    /// Time that the request waited.
    pub waited: Duration,
    /// Daemon whose arbiter granted it.
    pub arbiter: InstanceId,
    claim: Claim,
    stream: Rc<Stream>,
}

impl std::fmt::Debug for Slot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Slot")
            .field("runner", &self.runner)
            .finish_non_exhaustive()
    }
}

impl Slot {
    /// Resolves when the arbiter wants the slot back, also when asked again.
    pub async fn preempted(&self) {
        self.stream.preempted().await;
    }

    /// Notes how many tokens have come, so that a silent runner shows early.
    pub fn record_tokens(&self, tokens: u32) {
        self.stream.note(Instant::now(), tokens);
    }

    /// Tells that the answer has begun, so that the prompt was read.
    pub fn record_start(&self) {
        let begun = requester::Event::Begun(self.claim.ticket);
        let work = Work::Desk(self.claim.service.clone(), begun);
        self.claim.inner.drive(vec![work]);
    }

    /// Gives the slot back with what was seen.
    pub fn release(mut self, sample: Sample) {
        self.claim.inner.metrics.on_sample(&sample);
        let release = requester::Event::Release(self.claim.ticket, sample);
        self.claim.end(release);
    }
}
