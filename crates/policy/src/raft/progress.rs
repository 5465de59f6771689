//! How far one replica has come, as its leader knows.

use std::{collections::VecDeque, time::Instant};

use crate::id::Index;

/// Heartbeats without progress after which a stream counts as lost.
const STALLED_HEARTBEATS: u32 = 4;

/// What a leader sends next.
#[derive(Debug)]
pub(super) enum Flow {
    /// One batch at a time, until the logs meet.
    Probe {
        /// Whether a batch is under way.
        pending: bool,
    },
    /// Batches one after the other.
    Stream {
        /// Last index of each batch under way.
        inflight: VecDeque<Index>,
    },
    /// A snapshot, part by part.
    Install {
        /// Index of the snapshot.
        index: Index,
        /// Bytes that the replica has.
        offset: u64,
        /// When the present part was sent.
        sent: Instant,
    },
}

/// One replica's progress.
#[derive(Debug)]
pub(super) struct Progress {
    /// Last index known to be durable there and equal.
    pub(super) matched: Index,
    /// Next index to send.
    pub(super) next: Index,
    /// Latest quorum round that it confirmed.
    pub(super) round: u64,
    /// When it last answered.
    pub(super) active: Option<Instant>,
    /// `matched` at the last heartbeat, to tell a stalled stream.
    matched_at_heartbeat: Index,
    /// Heartbeats since `matched` last grew.
    stalled_heartbeats: u32,
    pub(super) flow: Flow,
}

impl Progress {
    /// A replica of which nothing is known but where this leader's log ends.
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

    /// Where the logs are equal, or may be while that is being found out.
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

    /// Notes a batch that was sent.
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

    /// Notes that the log is durable and equal up to an index.
    pub(super) fn matched(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        match &mut self.flow {
            Flow::Install { index: whole, .. } if self.matched < *whole => {}
            // It answers a heartbeat, which says nothing of the batch under way.
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

    /// Notes that the logs differ; `hint` is where they may agree.
    pub(super) fn mismatched(&mut self, prev_index: Index, hint: Index) {
        if prev_index <= self.matched || matches!(self.flow, Flow::Install { .. }) {
            return;
        }
        self.next = hint.min(prev_index - 1).max(self.matched) + 1;
        self.flow = Flow::Probe { pending: false };
    }

    /// Sends again what a stalled replica has not confirmed.
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
