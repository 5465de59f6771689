//! Connections to the other daemons.
//!
//! A daemon opens one connection to each peer that it sends to, and answers a
//! call on the connection that it arrived on. Messages to one peer keep their
//! order. Every queue is bounded: messages to a peer that does not read are
//! dropped rather than held in memory, and callers resend what matters.

mod link;
mod listen;
mod traffic;

use std::{
    cell::{Cell, RefCell},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use citron_policy::id::InstanceId;
use citron_wire::{Body, Frame, VERSION};
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;
use prometheus_client::{
    metrics::histogram::{Histogram, exponential_buckets},
    registry::Registry,
};
use tokio::sync::{mpsc, oneshot};

pub use listen::listen;

/// Most messages queued for the connection to one peer.
const MAX_QUEUED: usize = 1_024;

/// Most calls that wait for an answer.
const MAX_CALLS: usize = 16_384;

/// Why a call got no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// No address is known for the instance.
    #[display("no address is known for instance {peer}: wait until it has joined")]
    Unknown {
        /// Instance that was called.
        peer: InstanceId,
    },
    /// Too many messages or calls are waiting.
    #[display("too many messages wait for instance {peer}: try again later")]
    Full {
        /// Instance that was called.
        peer: InstanceId,
    },
    /// The connection ended before the answer came.
    #[display("connection to instance {peer} was lost: try again")]
    Lost {
        /// Instance that was called.
        peer: InstanceId,
    },
    /// No answer came in time.
    #[display("instance {peer} did not answer in time: try again or another one")]
    Late {
        /// Instance that was called.
        peer: InstanceId,
    },
    /// The peer refused the call.
    #[display("instance {peer} refused the call: {reason}")]
    Refused {
        /// Instance that was called.
        peer: InstanceId,
        /// Reason that it gave.
        reason: String,
    },
}

/// Handles the messages and calls of peers.
pub trait Handler {
    /// Handles a one-way message; called in the order of sending.
    fn on_message(&self, from: &InstanceId, body: Body);

    /// Handles a call; the future resolves to the answer or to the reason of a refusal.
    fn on_call(
        &self,
        from: &InstanceId,
        body: Body,
    ) -> LocalBoxFuture<'static, Result<Body, String>>;
}

/// Counters of the peer connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bytes sent, with their length prefixes.
    pub sent_bytes: u64,
    /// Bytes received, with their length prefixes.
    pub received_bytes: u64,
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
    /// Messages dropped, because a queue was full or a connection ended.
    pub dropped: u64,
    /// Frames refused: garbage, another version, cluster or address.
    pub refused: u64,
}

/// All peer connections of this daemon; clones share them.
#[derive(Clone)]
pub struct Hub {
    inner: Rc<Inner>,
}

struct Inner {
    me: InstanceId,
    cluster: String,
    /// Address that connections are opened from; the system's choice if there is none.
    source: Cell<Option<IpAddr>>,
    addresses: RefCell<IndexMap<InstanceId, SocketAddr>>,
    connections: RefCell<IndexMap<InstanceId, mpsc::Sender<Queued>>>,
    calls: RefCell<IndexMap<u64, Call>>,
    next_call: Cell<u64>,
    counts: Cell<Counts>,
    traffic: traffic::Traffic,
    /// Seconds from queueing a message until it is written to its connection.
    waits: Histogram,
}

/// A message queued for its connection.
struct Queued {
    frame: Frame,
    queued_at: Instant,
}

struct Call {
    peer: InstanceId,
    reply: oneshot::Sender<Result<Body, Error>>,
}

impl std::fmt::Debug for Hub {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Hub")
            .field("me", &self.inner.me)
            .finish_non_exhaustive()
    }
}

impl Hub {
    /// A hub without peers.
    #[must_use]
    pub fn new(me: &str, cluster: &str) -> Self {
        let inner = Inner {
            me: me.to_owned(),
            cluster: cluster.to_owned(),
            source: Cell::default(),
            addresses: RefCell::default(),
            connections: RefCell::default(),
            calls: RefCell::default(),
            next_call: Cell::new(1),
            counts: Cell::default(),
            traffic: traffic::Traffic::default(),
            waits: Histogram::new(exponential_buckets(0.000_25, 2.0, 16)),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Adds the histogram of waits and the bytes by kind to a registry; the other counters
    /// are read by [`Hub::counts`].
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_peer_wait_seconds",
            "Time that messages wait for their connection to a peer",
            self.inner.waits.clone(),
        );
        self.inner.traffic.register(registry);
    }

    /// This instance.
    #[must_use]
    pub fn me(&self) -> &InstanceId {
        &self.inner.me
    }

    /// Opens connections from this address, the one under which peers know this instance:
    /// they refuse any other, which a machine with several addresses might use.
    pub fn set_source(&self, address: IpAddr) {
        let source = (!address.is_unspecified()).then_some(address);
        self.inner.source.set(source);
    }

    /// Replaces the known addresses; connections to removed or changed ones are closed.
    pub fn set_addresses(&self, addresses: IndexMap<InstanceId, SocketAddr>) {
        let old = self.inner.addresses.replace(addresses);
        let addresses = self.inner.addresses.borrow();
        self.inner
            .connections
            .borrow_mut()
            .retain(|peer, _| addresses.get(peer) == old.get(peer));
    }

    /// Counters so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.inner.counts.get()
    }

    /// Messages waiting in all connection queues.
    #[must_use]
    pub fn queued(&self) -> usize {
        let connections = self.inner.connections.borrow();
        connections
            .values()
            .map(|connection| connection.max_capacity() - connection.capacity())
            .sum()
    }

    /// Sends a one-way message; dropped and counted if it cannot be queued.
    pub fn send_message(&self, to: &InstanceId, body: Body) {
        let frame = self.frame(0, false, body);
        if self.send(to, frame).is_err() {
            self.count(|counts| counts.dropped += 1);
        }
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    /// [`Error`] when no answer came within `within`; the peer may still have
    /// executed the request unless it is [`Error::Unknown`] or [`Error::Full`].
    pub async fn call(&self, to: &InstanceId, body: Body, within: Duration) -> Result<Body, Error> {
        let (reply, answer) = oneshot::channel();
        let call = self.register_call(to, reply)?;
        let _guard = CallGuard { hub: self, call };
        self.send(to, self.frame(call, false, body))?;
        match actix_rt::time::timeout(within, answer).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(Error::Lost { peer: to.clone() }),
            Err(_) => Err(Error::Late { peer: to.clone() }),
        }
    }

    fn register_call(
        &self,
        to: &InstanceId,
        reply: oneshot::Sender<Result<Body, Error>>,
    ) -> Result<u64, Error> {
        let mut calls = self.inner.calls.borrow_mut();
        if calls.len() >= MAX_CALLS {
            return Err(Error::Full { peer: to.clone() });
        }
        let call = self.inner.next_call.get();
        self.inner.next_call.set(call + 1);
        calls.insert(
            call,
            Call {
                peer: to.clone(),
                reply,
            },
        );
        Ok(call)
    }

    fn frame(&self, call: u64, answer: bool, body: Body) -> Frame {
        Frame {
            version: VERSION,
            cluster: self.inner.cluster.clone(),
            from: self.inner.me.clone(),
            call,
            answer,
            body: Some(body),
        }
    }

    fn send(&self, to: &InstanceId, frame: Frame) -> Result<(), Error> {
        let connection = self.connection(to)?;
        let queued_at = Instant::now();
        connection
            .try_send(Queued { frame, queued_at })
            .map_err(|error| match error {
                mpsc::error::TrySendError::Full(_) => Error::Full { peer: to.clone() },
                mpsc::error::TrySendError::Closed(_) => Error::Lost { peer: to.clone() },
            })
    }

    /// The queue of the connection to `to`, opened on first use.
    fn connection(&self, to: &InstanceId) -> Result<mpsc::Sender<Queued>, Error> {
        let mut connections = self.inner.connections.borrow_mut();
        if let Some(connection) = connections.get(to)
            && !connection.is_closed()
        {
            return Ok(connection.clone());
        }
        let address = self.inner.addresses.borrow().get(to).copied();
        let address = address.ok_or_else(|| Error::Unknown { peer: to.clone() })?;
        let (sender, queue) = mpsc::channel(MAX_QUEUED);
        connections.insert(to.clone(), sender.clone());
        actix_rt::spawn(link::run(self.clone(), to.clone(), address, queue));
        Ok(sender)
    }

    /// Passes an answer to its pending call; one that is late or from another peer is dropped.
    fn complete(&self, from: &InstanceId, call: u64, body: Body) {
        let mut calls = self.inner.calls.borrow_mut();
        if calls.get(&call).is_none_or(|waiting| waiting.peer != *from) {
            return;
        }
        let Some(waiting) = calls.swap_remove(&call) else {
            return;
        };
        let outcome = match body {
            Body::Refusal(reason) => Err(Error::Refused {
                peer: from.clone(),
                reason,
            }),
            body => Ok(body),
        };
        // The caller may have stopped waiting.
        drop(waiting.reply.send(outcome));
    }

    /// Fails the pending calls to a peer whose connection ended.
    fn fail_calls(&self, peer: &InstanceId) {
        let mut calls = self.inner.calls.borrow_mut();
        let lost: Vec<u64> = calls
            .iter()
            .filter(|(_, waiting)| waiting.peer == *peer)
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            if let Some(waiting) = calls.swap_remove(&call) {
                drop(waiting.reply.send(Err(Error::Lost { peer: peer.clone() })));
            }
        }
    }

    /// Whether `address` has the IP address of the known instance `from`.
    fn admits(&self, from: &InstanceId, address: SocketAddr) -> bool {
        let addresses = self.inner.addresses.borrow();
        addresses
            .get(from)
            .is_some_and(|known| known.ip() == address.ip())
    }

    fn count<F>(&self, change: F)
    where
        F: FnOnce(&mut Counts),
    {
        let mut counts = self.inner.counts.get();
        change(&mut counts);
        self.inner.counts.set(counts);
    }
}

/// Removes a pending call when its future completes or is dropped.
struct CallGuard<'hub> {
    hub: &'hub Hub,
    call: u64,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.hub.inner.calls.borrow_mut().swap_remove(&self.call);
    }
}
