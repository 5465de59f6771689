//! The sending end of the replica thread's input queue.

use std::sync::mpsc::{SyncSender, TrySendError};

use citron_policy::id::ReplicaId;
use citron_wire::generated::control as proto;
use tokio::sync::oneshot;

use super::{Input, Metrics, Peers, answer, outcome};

/// Sends inputs to the replica thread; clones share the queue.
#[derive(Clone, Debug)]
pub(in crate::control) struct Mailbox {
    replica: ReplicaId,
    inputs: SyncSender<Input>,
    metrics: Metrics,
}

impl Mailbox {
    pub(in crate::control) fn new(
        replica: ReplicaId,
        inputs: SyncSender<Input>,
        metrics: Metrics,
    ) -> Self {
        Self {
            replica,
            inputs,
            metrics,
        }
    }

    /// Identity of the replica.
    pub(in crate::control) fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Forwards a message; if the queue is full it is dropped, and its sender sends it again.
    pub(in crate::control) fn raft(&self, raft: proto::Raft) {
        self.send(Input::Raft(raft));
    }

    /// Sends the replicas currently known; false if the queue is full.
    pub(in crate::control) fn peers(&self, peers: Peers) -> bool {
        self.send(Input::Peers(peers))
    }

    /// Sends a request; the receiver fails if the thread has ended.
    pub(in crate::control) fn request(
        &self,
        request: proto::message::Body,
    ) -> oneshot::Receiver<proto::message::Body> {
        let (reply, receiver) = oneshot::channel();
        self.send(Input::Request(request, reply));
        receiver
    }

    /// Puts an input into the queue; false if it was dropped.
    fn send(&self, input: Input) -> bool {
        match self.inputs.try_send(input) {
            Ok(()) => return true,
            Err(TrySendError::Full(input)) => {
                self.metrics.dropped_inputs.inc();
                if let Input::Request(_, reply) = input {
                    answer(reply, outcome::busy());
                }
            }
            Err(TrySendError::Disconnected(input)) => {
                if let Input::Request(_, reply) = input {
                    answer(reply, outcome::not_leader(None));
                }
            }
        }
        false
    }
}
