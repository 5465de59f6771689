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
    pub patience: Duration,
    /// Time between two rounds of asking who leads.
    pub interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // A quorum round with a sync takes some 20 ms within a region; callers
            // turn to another daemon after about a second.
            patience: Duration::from_millis(200),
            // An election lasts a second; a leader is known a tenth of it later.
            interval: Duration::from_millis(100),
        }
    }
}

/// What a search takes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The search begins, or its time has come.
    Due,
    /// A replica said how it stands.
    Stands {
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
struct Asked {
    /// Newest term in which it was said to lead.
    term: Term,
    /// Whether its answer is still to come.
    open: bool,
}

/// The search of one question for the leader.
#[derive(Debug)]
pub struct Search {
    settings: Settings,
    /// Who led when this was last known.
    believed: Option<ReplicaId>,
    asked: IndexMap<ReplicaId, Asked>,
    /// Newest term in which a replica was said to lead.
    term: Term,
    due: Instant,
}

impl Search {
    /// A search that begins with the replica `believed` to lead.
    #[must_use]
    pub fn new(now: Instant, settings: Settings, believed: Option<ReplicaId>) -> Self {
        Self {
            settings,
            believed,
            asked: IndexMap::new(),
            term: 0,
            due: now,
        }
    }

    /// When [`Event::Due`] is wanted next.
    #[must_use]
    pub fn due(&self) -> Instant {
        self.due
    }

    /// Whether a replica other than `answered` was asked and has not answered.
    #[must_use]
    pub fn is_open_beside(&self, answered: Option<ReplicaId>) -> bool {
        let mut asked = self.asked.iter();
        asked.any(|(replica, it)| it.open && Some(*replica) != answered)
    }

    /// Takes in an event and says what should happen; `known` are the replicas
    /// that may be reached.
    pub fn on_event(&mut self, now: Instant, known: &[ReplicaId], event: Event) -> Vec<Effect> {
        match event {
            Event::Due => self.on_due(now, known),
            Event::Stands {
                term,
                leader: Some(leader),
                ..
            } => self.on_claim(known, leader, term),
            Event::Stands { leader: None, .. } => Vec::new(),
            Event::Declined { replica, leader } => {
                self.close(replica);
                self.due = self.due.min(now + self.settings.interval);
                match leader.filter(|it| *it != replica) {
                    Some(leader) => self.on_claim(known, leader, self.term),
                    None => Vec::new(),
                }
            }
            Event::Lost(replica) => {
                // It may lead all the same.
                self.asked.swap_remove(&replica);
                self.due = self.due.min(now + self.settings.interval);
                Vec::new()
            }
        }
    }

    fn on_due(&mut self, now: Instant, known: &[ReplicaId]) -> Vec<Effect> {
        if now < self.due {
            return Vec::new();
        }
        let believed = self.believed.take().filter(|it| known.contains(it));
        if let Some(believed) = believed {
            self.due = now + self.settings.patience;
            return vec![self.ask(believed)];
        }
        self.due = now + self.settings.interval;
        let silent = |it: &&ReplicaId| self.asked.get(*it).is_some_and(|asked| asked.open);
        let others = known.iter().filter(|it| !silent(it));
        others.map(|it| Effect::Probe(*it)).collect()
    }

    /// A replica is said to lead in a term.
    fn on_claim(&mut self, known: &[ReplicaId], leader: ReplicaId, term: Term) -> Vec<Effect> {
        if term < self.term || !known.contains(&leader) {
            return Vec::new();
        }
        self.term = term;
        // Who declined in that term does not lead in it.
        let spent = |asked: &Asked| asked.open || asked.term >= term;
        if self.asked.get(&leader).is_some_and(spent) {
            return Vec::new();
        }
        vec![self.ask(leader)]
    }

    fn ask(&mut self, replica: ReplicaId) -> Effect {
        let asked = Asked {
            term: self.term,
            open: true,
        };
        self.asked.insert(replica, asked);
        Effect::Ask(replica)
    }

    fn close(&mut self, replica: ReplicaId) {
        if let Some(asked) = self.asked.get_mut(&replica) {
            asked.open = false;
        }
    }
}
