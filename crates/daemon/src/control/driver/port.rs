//! The daemon's end of the replica's input queue.

use std::sync::mpsc::{SyncSender, TrySendError};

use citron_policy::id::ReplicaId;
use citron_wire::generated::control as proto;
use tokio::sync::oneshot;

use super::{Input, Metrics, answer, outcome};

/// Input of the replica's thread; clones share it.
#[derive(Clone, Debug)]
pub(in crate::control) struct Port {
    replica: ReplicaId,
    inputs: SyncSender<Input>,
    metrics: Metrics,
}

impl Port {
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

    /// Hands on a message; one that finds no room is lost, and sent again by its sender.
    pub(in crate::control) fn raft(&self, raft: proto::Raft) {
        self.put(Input::Raft(raft));
    }

    /// Tells which replicas are known.
    pub(in crate::control) fn peers(&self, peers: Vec<ReplicaId>) {
        self.put(Input::Peers(peers));
    }

    /// Asks a question; the receiver fails if the thread has ended.
    pub(in crate::control) fn ask(
        &self,
        question: proto::message::Body,
    ) -> oneshot::Receiver<proto::message::Body> {
        let (reply, receiver) = oneshot::channel();
        self.put(Input::Ask(question, reply));
        receiver
    }

    fn put(&self, input: Input) {
        match self.inputs.try_send(input) {
            Ok(()) => {}
            Err(TrySendError::Full(input)) => {
                self.metrics.dropped_inputs.inc();
                if let Input::Ask(_, reply) = input {
                    answer(reply, outcome::busy());
                }
            }
            Err(TrySendError::Disconnected(input)) => {
                if let Input::Ask(_, reply) = input {
                    answer(reply, outcome::not_leader(None));
                }
            }
        }
    }
}
