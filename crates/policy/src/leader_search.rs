//! Which replica is asked to act as the leader of the control log, and when another.
//!
//! Load pattern: the leader stands still, or is cut off without a word, while
//! callers that will not wait for long bring changes and questions. Its
//! connections stay open, so nothing but its silence tells, and a caller's whole
//! patience is soon spent on it. So the question goes to the replica that is
//! believed to lead; when it stays silent, all replicas are asked who leads, which
//! is a small message however large the question is, and the question also goes to
//! whoever claims to lead in the newest term. Nobody who was asked is given up: the
//! first answer counts.
//!
//! The same command may reach the log twice by that. Commands carry an identity,
//! so it takes effect once.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::id::{ReplicaId, Term};

/// Times of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Silence of the asked replica after which the others are asked who leads.
    pub leader_timeout: Duration,
    /// Time between two rounds of asking who leads.
    pub probe_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // A quorum round with a sync takes some 20 ms within a region; callers
            // turn to another daemon after about a second.
            leader_timeout: Duration::from_millis(200),
            // An election lasts a second; a leader is known a tenth of it later.
            probe_interval: Duration::from_millis(100),
        }
    }
}

/// What a search takes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The search begins, or its time has come.
    Timer,
    /// A replica said how it stands.
    Status {
        /// The replica.
        replica: ReplicaId,
        /// Its term.
        term: Term,
        /// Whom it takes for the leader; itself if it leads.
        leader: Option<ReplicaId>,
    },
    /// A replica that was asked does not lead, and did not act.
    Declined {
        /// The replica.
        replica: ReplicaId,
        /// Whom it takes for the leader.
        leader: Option<ReplicaId>,
    },
    /// The question to a replica ended without an answer.
    Lost(ReplicaId),
}

/// What should happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Put the question to this replica.
    Ask(ReplicaId),
    /// Ask this replica who leads.
    Probe(ReplicaId),
}

/// A replica that was asked to act.
#[derive(Debug)]
struct Request {
    /// Newest term in which it was said to lead.
    term: Term,
    /// Whether its answer is still to come.
    pending: bool,
}

/// The search of one question for the leader.
#[derive(Debug)]
pub struct Search {
    settings: Settings,
    /// Who led when this was last known.
    presumed: Option<ReplicaId>,
    requests: IndexMap<ReplicaId, Request>,
    /// Newest term in which a replica was said to lead.
    term: Term,
    due: Instant,
}

impl Search {
    /// A search that begins with the replica `presumed` to lead.
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

    /// When [`Event::Timer`] is wanted next.
    #[must_use]
    pub fn due(&self) -> Instant {
        self.due
    }

    /// Whether a replica other than `answered` was asked and has not answered.
    #[must_use]
    pub fn is_pending_except(&self, answered: Option<ReplicaId>) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|(replica, it)| it.pending && Some(*replica) != answered)
    }

    /// Takes in an event and says what should happen; `known` are the replicas
    /// that may be reached.
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
                // It may lead all the same.
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

    /// A replica is said to lead in a term.
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
        // Who declined in that term does not lead in it.
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
