//! Slots on runners for this daemon's requests.
//!
//! A request takes a slot, streams directly with the runner that it names, and
//! releases it with what was seen on the way.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    crash,
    feed::View,
    id::{AccountId, ClassId, Fingerprint, InstanceId, RequestId, RunnerId, ServiceId},
    member::Members,
    platform::{List, Standing},
};
use citron_wire::generated::slot as proto;
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;
use tokio::sync::{Notify, watch};

use crate::{event::Ring, peers::Hub};

/// Time after which to ask again when no runner is listed.
const NO_RUNNER_RETRY: Duration = Duration::from_secs(1);

/// What a request needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
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
}

/// How the work of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer came.
    Done,
    /// The caller left.
    Cancelled,
    /// The runner refused before running.
    Refused,
    /// The runner's connection broke mid-exchange.
    Broken,
    /// The deadline passed on the runner.
    Late,
    /// The arbiter wanted the slot back.
    Preempted,
}

/// What was seen while a slot was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// How it ended.
    pub end: End,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub between_tokens: Option<Duration>,
    /// Time of the whole exchange.
    pub whole: Duration,
    /// Tokens received.
    pub tokens: u32,
}

/// Why no slot was given; final, and given at once.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Refusal {
    /// Higher tiers or older requests need the capacity.
    #[display("no capacity for this class now: come back in {retry_after:?}")]
    Shed {
        /// When to come back.
        retry_after: Duration,
    },
    /// The service has no usable runner.
    #[display("no runner of the service can take the request: come back in {retry_after:?}")]
    NoRunner {
        /// When to come back.
        retry_after: Duration,
    },
    /// The request crashed runners and will not run again.
    #[display("this request crashed runners and is quarantined: change it, or ask its operator")]
    Quarantined,
    /// The account is at its limit.
    #[display("the account is at its limit: come back in {retry_after:?}")]
    Account {
        /// When to come back.
        retry_after: Duration,
    },
    /// The deadline passed, or cannot be met any more.
    #[display("the deadline passed while the request waited: allow it more time")]
    Late,
    /// No arbiter could be reached.
    #[display("no arbiter answers for the service: come back in {retry_after:?}")]
    Unreachable {
        /// When to come back.
        retry_after: Duration,
    },
}

/// What the slots of this daemon work on.
#[derive(Clone, Debug)]
pub struct Inputs {
    /// The daemons.
    pub members: watch::Receiver<Arc<Members>>,
    /// The platform's list.
    pub platform: watch::Receiver<Arc<List>>,
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
    hub: Hub,
    inputs: Inputs,
    held: RefCell<IndexMap<RunnerId, u32>>,
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
    pub fn new(hub: Hub, inputs: Inputs, _propose: Propose, _ring: Ring) -> Self {
        let inner = Inner {
            hub,
            inputs,
            held: RefCell::default(),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Does what is due by time, for ever.
    pub async fn run(&self) {
        std::future::pending::<()>().await;
    }

    /// Waits for a slot; dropping the future withdraws the request.
    ///
    /// # Errors
    /// [`Refusal`], at once when the request is given up.
    #[expect(
        clippy::unused_async,
        reason = "waits once grants come from an arbiter"
    )]
    pub async fn take(&self, want: Want) -> Result<Slot, Refusal> {
        let list = self.inner.inputs.platform.borrow().clone();
        let mut held = self.inner.held.borrow_mut();
        let runner = list
            .runners
            .iter()
            .filter(|it| it.service == want.service && it.standing == Standing::Live)
            .min_by_key(|it| (want.avoid.contains(&it.id), held.get(&it.id).copied()));
        let runner = runner.ok_or(Refusal::NoRunner {
            retry_after: NO_RUNNER_RETRY,
        })?;
        *held.entry(runner.id.clone()).or_default() += 1;
        Ok(Slot {
            runner: runner.id.clone(),
            address: runner.address,
            alone: false,
            waited: Duration::ZERO,
            preempt: Rc::new(Notify::new()),
            inner: Rc::clone(&self.inner),
        })
    }

    /// Takes in a message of another daemon that wants no answer.
    pub fn on_tell(&self, from: &InstanceId, _message: proto::Message) {
        log::debug!("CP0301 slot message of {from} not understood");
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
    preempt: Rc<Notify>,
    inner: Rc<Inner>,
}

impl std::fmt::Debug for Slot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Slot")
            .field("runner", &self.runner)
            .finish_non_exhaustive()
    }
}

impl Slot {
    /// Resolves when the arbiter wants the slot back.
    pub async fn preempted(&self) {
        self.preempt.notified().await;
    }

    /// Gives the slot back with what was seen.
    pub fn release(self, _sample: Sample) {}
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut held = self.inner.held.borrow_mut();
        if let Some(count) = held.get_mut(&self.runner) {
            *count -= 1;
        }
    }
}
