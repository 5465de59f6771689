//! Replication progress of one replica, as tracked by the leader.

use std::{collections::VecDeque, time::Instant};

use crate::id::Index;

/// Heartbeats without progress after which the batches in flight count as lost.
const STALLED_HEARTBEATS: u32 = 4;

/// How the leader sends entries to a replica.
#[derive(Debug)]
pub(super) enum Flow {
    /// One batch at a time, until an index is found at which the logs match.
    Probe {
        /// Whether a batch is in flight.
        pending: bool,
    },
    /// Several batches in flight at once.
    Stream {
        /// Last index of each batch in flight.
        inflight: VecDeque<Index>,
    },
    /// A snapshot, one part at a time.
    Install {
        /// Index of the snapshot.
        index: Index,
        /// Bytes that the replica has confirmed.
        offset: u64,
        /// When the current part was sent.
        sent: Instant,
    },
}

/// Replication progress of one replica.
#[derive(Debug)]
pub(super) struct Progress {
    /// Last index known to be durable on the replica and equal to the leader's log.
    pub(super) matched: Index,
    /// Next index to send.
    pub(super) next: Index,
    /// Latest quorum round that it confirmed.
    pub(super) round: u64,
    /// When it last answered.
    pub(super) active: Option<Instant>,
    /// `matched` at the last heartbeat, to detect a stalled stream.
    matched_at_heartbeat: Index,
    /// Heartbeats since `matched` last grew.
    stalled_heartbeats: u32,
    pub(super) flow: Flow,
}

impl Progress {
    /// Progress of a replica whose log is unknown; probing starts at the end of the leader's.
    pub(super) fn new(last: Index) -> Self {
        Self {
            matched: 0,
            next: last + 1,
            round: 0,
            active: None,
            matched_at_heartbeat: 0,
            stalled_heartbeats: 0,
            flow: Flow::Probe { pending: false },
        }
    }

    /// Last index at which the logs match, or are assumed to match while probing.
    pub(super) fn presumed_match(&self) -> Index {
        match self.flow {
            Flow::Probe { .. } => self.next - 1,
            Flow::Stream { .. } => self.matched,
            Flow::Install { .. } => 0,
        }
    }

    /// Whether another batch may be sent.
    pub(super) fn can_send(&self, max_inflight: usize) -> bool {
        match &self.flow {
            Flow::Probe { pending } => !pending,
            Flow::Stream { inflight } => inflight.len() < max_inflight,
            Flow::Install { .. } => false,
        }
    }

    /// Records that a batch was sent.
    pub(super) fn sent(&mut self, last: Index) {
        match &mut self.flow {
            Flow::Probe { pending } => *pending = true,
            Flow::Stream { inflight } => {
                inflight.push_back(last);
                self.next = last + 1;
            }
            Flow::Install { .. } => {}
        }
    }

    /// Records that the replica's log is durable and matches up to an index.
    pub(super) fn matched(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        match &mut self.flow {
            Flow::Install { index: whole, .. } if self.matched < *whole => {}
            // An answer to a heartbeat, which tells nothing about the batch in flight.
            Flow::Probe { .. } if self.matched + 1 < self.next => {}
            Flow::Stream { inflight } => {
                while inflight.front().is_some_and(|it| *it <= self.matched) {
                    inflight.pop_front();
                }
            }
            Flow::Probe { .. } | Flow::Install { .. } => {
                self.next = self.matched + 1;
                self.flow = Flow::Stream {
                    inflight: VecDeque::new(),
                };
            }
        }
    }

    /// Records a mismatch after `prev_index`; the logs may match at `hint`.
    pub(super) fn mismatched(&mut self, prev_index: Index, hint: Index) {
        if prev_index <= self.matched || matches!(self.flow, Flow::Install { .. }) {
            return;
        }
        self.next = hint.min(prev_index - 1).max(self.matched) + 1;
        self.flow = Flow::Probe { pending: false };
    }

    /// Prepares to resend what a stalled replica has not confirmed.
    pub(super) fn on_heartbeat(&mut self) {
        self.stalled_heartbeats = if self.matched_at_heartbeat == self.matched {
            self.stalled_heartbeats + 1
        } else {
            0
        };
        self.matched_at_heartbeat = self.matched;
        let stalled = self.stalled_heartbeats >= STALLED_HEARTBEATS;
        match &mut self.flow {
            Flow::Probe { pending } => *pending = false,
            Flow::Stream { inflight } if stalled && !inflight.is_empty() => {
                inflight.clear();
                self.next = self.matched + 1;
                self.stalled_heartbeats = 0;
            }
            Flow::Stream { .. } | Flow::Install { .. } => {}
        }
    }
}
