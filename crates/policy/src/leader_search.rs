//! Search for the leader of the control log on behalf of one request.
//!
//! Load pattern: the leader hangs or is partitioned without notice, while requests
//! with short deadlines arrive. Its connections stay open, so a missing answer is
//! the only sign, and waiting for it soon uses up a caller's time. So the request
//! goes to the presumed leader first. If it does not answer in time, all replicas
//! are asked who leads, which is a small message whatever the size of the request,
//! and the request also goes to the replica that leads in the newest term. No
//! pending request is abandoned: the first answer counts.
//!
//! The same command may therefore reach the log twice. Commands carry an identity,
//! so it takes effect once.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::id::{ReplicaId, Term};

/// Timeouts of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time without an answer of the presumed leader before replicas are asked who leads.
    pub leader_timeout: Duration,
    /// Time between two rounds of asking who leads.
    pub probe_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // A quorum round with a disk sync takes about 20 ms within a region; callers
            // switch to another daemon after about a second.
            leader_timeout: Duration::from_millis(200),
            // An election takes a second; the new leader is found within a tenth of that.
            probe_interval: Duration::from_millis(100),
        }
    }
}

/// Input of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The search starts, or [`Search::due`] is reached.
    Timer,
    /// A replica reported its status.
    Status {
        /// Replica that reported.
        replica: ReplicaId,
        /// Its term.
        term: Term,
        /// Leader that it knows of; itself if it leads.
        leader: Option<ReplicaId>,
    },
    /// A replica is not the leader and did not act on the request.
    Declined {
        /// Replica that declined.
        replica: ReplicaId,
        /// Leader that it knows of.
        leader: Option<ReplicaId>,
    },
    /// The request to a replica failed without an answer.
    Lost(ReplicaId),
}

/// Action for the caller to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the request to this replica.
    Ask(ReplicaId),
    /// Ask this replica who leads.
    Probe(ReplicaId),
}

/// Request sent to one replica.
#[derive(Debug)]
struct Request {
    /// Newest term with a reported leader when the request was sent.
    term: Term,
    /// Whether its answer is pending.
    pending: bool,
}

/// Search for the leader on behalf of one request.
#[derive(Debug)]
pub struct Search {
    settings: Settings,
    /// Last known leader; none once it was asked.
    presumed: Option<ReplicaId>,
    requests: IndexMap<ReplicaId, Request>,
    /// Newest term with a reported leader.
    term: Term,
    due: Instant,
}

impl Search {
    /// A search that starts with the replica `presumed`.
    #[must_use]
    pub fn new(now: Instant, settings: Settings, presumed: Option<ReplicaId>) -> Self {
        Self {
            settings,
            presumed,
            requests: IndexMap::new(),
            term: 0,
            due: now,
        }
    }

    /// When the next [`Event::Timer`] is due.
    #[must_use]
    pub fn due(&self) -> Instant {
        self.due
    }

    /// Whether the answer of a replica other than `answered` is pending.
    #[must_use]
    pub fn is_pending_except(&self, answered: Option<ReplicaId>) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|(replica, it)| it.pending && Some(*replica) != answered)
    }

    /// Handles an event; `known` are the replicas that can be contacted.
    pub fn on_event(&mut self, now: Instant, known: &[ReplicaId], event: Event) -> Vec<Effect> {
        match event {
            Event::Timer => self.on_timer(now, known),
            Event::Status {
                term,
                leader: Some(leader),
                ..
            } => self.on_leader_report(known, leader, term),
            Event::Status { leader: None, .. } => Vec::new(),
            Event::Declined { replica, leader } => {
                self.mark_answered(replica);
                self.due = self.due.min(now + self.settings.probe_interval);
                match leader.filter(|it| *it != replica) {
                    Some(leader) => self.on_leader_report(known, leader, self.term),
                    None => Vec::new(),
                }
            }
            Event::Lost(replica) => {
                // It may still be the leader, so it may be asked again.
                self.requests.swap_remove(&replica);
                self.due = self.due.min(now + self.settings.probe_interval);
                Vec::new()
            }
        }
    }

    fn on_timer(&mut self, now: Instant, known: &[ReplicaId]) -> Vec<Effect> {
        if now < self.due {
            return Vec::new();
        }
        let presumed = self.presumed.take().filter(|it| known.contains(it));
        if let Some(presumed) = presumed {
            self.due = now + self.settings.leader_timeout;
            return vec![self.ask(presumed)];
        }
        self.due = now + self.settings.probe_interval;
        let pending = |it: &&ReplicaId| self.requests.get(*it).is_some_and(|sent| sent.pending);
        let others = known.iter().filter(|it| !pending(it));
        others.map(|it| Effect::Probe(*it)).collect()
    }

    /// Handles a report that `leader` leads in `term`.
    fn on_leader_report(
        &mut self,
        known: &[ReplicaId],
        leader: ReplicaId,
        term: Term,
    ) -> Vec<Effect> {
        if term < self.term || !known.contains(&leader) {
            return Vec::new();
        }
        self.term = term;
        // A replica that declined in this term does not lead in it.
        let ruled_out = |request: &Request| request.pending || request.term >= term;
        if self.requests.get(&leader).is_some_and(ruled_out) {
            return Vec::new();
        }
        vec![self.ask(leader)]
    }

    fn ask(&mut self, replica: ReplicaId) -> Effect {
        let request = Request {
            term: self.term,
            pending: true,
        };
        self.requests.insert(replica, request);
        Effect::Ask(replica)
    }

    fn mark_answered(&mut self, replica: ReplicaId) {
        if let Some(request) = self.requests.get_mut(&replica) {
            request.pending = false;
        }
    }
}
