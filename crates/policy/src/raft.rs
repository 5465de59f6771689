//! The replicated log: Raft, as a state machine without I/O.
//!
//! A [`Node`] takes one [`Event`] at a time and gives [`Effect`]s in order. The
//! driver must carry out and sync every effect that persists before any effect
//! that follows it; it may bring persisting effects forward, so that a batch of
//! events costs one sync. Nothing that a message or an answer depends on is
//! told before it is durable.
//!
//! - Replicas are named by random ids that live in the data folder. A folder
//!   that was lost comes back under another id, which is in no voter set.
//! - Formation happens once: every named voter promises itself to one formation
//!   before any of them may campaign ([`formation`]). All other folders join as
//!   learners of a formation that exists.
//! - Pre-vote keeps a cut-off replica from disturbing the others; a leader that
//!   no quorum confirmed for an election timeout steps down by its own clock.
//! - A leader commits only entries of its own term by counting.
//! - Voters change one at a time, and a learner counts only by a change that was
//!   proposed after it had synced everything committed ([`replace`]).
//! - Every confirmed quorum round proves that all entries accepted before its
//!   start are at or below the index committed at that start.

mod election;
pub mod formation;
mod install;
mod leader;
mod log;
pub mod membership;
pub mod message;
mod progress;
pub mod replace;
mod replicate;
mod voters;

use std::{
    mem,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexSet;
use rand::Rng;

use crate::{
    id::{Index, ReplicaId, Term},
    state::Command,
};

use self::{
    election::Ballot, formation::Forming, install::Incoming, leader::Leader, log::Log,
    message::Message,
};
pub use self::{formation::Formation, voters::Voters};

/// Most replicas that a leader sends entries to, voters and learners together.
pub const MAX_REPLICAS: usize = 16;

/// Token of a proposal or question, chosen by the driver.
pub type Token = u64;

/// Timing and bounds of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout, and longest time that a leader goes on without a quorum.
    pub election_timeout: Duration,
    /// Shortest wait for a leader right after a start, when all may have started.
    pub first_election_timeout: Duration,
    /// Most bytes of entries in one message.
    pub max_batch_bytes: usize,
    /// Most messages with entries that wait for one replica's answer.
    pub max_inflight: usize,
    /// Most bytes of entries that wait for a quorum.
    pub max_uncommitted_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Largest snapshot that is taken in.
    pub max_snapshot_bytes: usize,
    /// Most bytes of committed entries kept in memory for slow replicas.
    pub retained_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(150),
            election_timeout: Duration::from_millis(750),
            first_election_timeout: Duration::from_millis(120),
            max_batch_bytes: 256 << 10,
            max_inflight: 16,
            max_uncommitted_bytes: 8 << 20,
            chunk_bytes: 512 << 10,
            max_snapshot_bytes: 256 << 20,
            retained_bytes: 8 << 20,
        }
    }
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Nothing; a new leader's first entry.
    Noop,
    /// A command for the state machine.
    Command(Arc<Command>),
    /// The voters from this entry on.
    Voters(Voters),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Place in the log.
    pub index: Index,
    /// Term of the leader that made it.
    pub term: Term,
    /// What it holds.
    pub payload: Payload,
    /// Estimated size.
    bytes: usize,
}

impl Entry {
    /// Estimated size of an entry without its command, in bytes.
    const OVERHEAD_BYTES: usize = 32;

    /// An entry at its place.
    #[must_use]
    pub fn new(index: Index, term: Term, payload: Payload) -> Self {
        let content = match &payload {
            Payload::Noop => 0,
            Payload::Command(command) => command.bytes(),
            Payload::Voters(voters) => mem::size_of_val(voters.ids()),
        };
        Self {
            index,
            term,
            payload,
            bytes: Self::OVERHEAD_BYTES + content,
        }
    }

    /// Estimated size in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// What must be durable beside the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Candidate voted for in that term.
    pub vote: Option<ReplicaId>,
    /// Formation that this folder belongs to.
    pub formation: Option<Formation>,
}

/// All state up to an index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last index it covers.
    pub index: Index,
    /// Term of that index.
    pub term: Term,
    /// Voters at that index.
    pub voters: Voters,
    /// The state machine, encoded by the driver.
    pub data: Arc<[u8]>,
}

/// What a folder held at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// Identity of the folder.
    pub id: ReplicaId,
    /// Hard state.
    pub hard: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot.
    pub entries: Vec<Arc<Entry>>,
}

/// A command to be put into the log.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Token for the effects about it.
    pub token: Token,
    /// The command.
    pub command: Arc<Command>,
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message has come.
    Receive(Message),
    /// These replicas are known; those that are no voters become learners.
    Peers(Vec<ReplicaId>),
    /// Put these into the log.
    Propose(Vec<Proposal>),
    /// Confirm that everything accepted so far is applied here.
    Read(Token),
    /// Form the cluster.
    Init {
        /// Token of the answer.
        token: Token,
        /// Replicas that are to count.
        voters: Vec<ReplicaId>,
    },
    /// Let one replica count in place of another.
    Replace {
        /// Token of the answer.
        token: Token,
        /// Replica that no longer counts.
        old: ReplicaId,
        /// Replica that counts from then on.
        new: ReplicaId,
    },
    /// The state machine at an applied index, to take the place of older entries.
    Compact {
        /// Index that the state is of.
        index: Index,
        /// The state machine, encoded.
        data: Arc<[u8]>,
    },
}

/// What the driver has to do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Persist the hard state.
    SaveHard(HardState),
    /// Persist entries; the first may cut the tail from its index on.
    Append(Vec<Arc<Entry>>),
    /// Persist a snapshot of the own state; entries that it covers may go.
    SaveSnapshot(Arc<Snapshot>),
    /// Persist a snapshot in place of the whole log, and of the state machine.
    Install(Arc<Snapshot>),
    /// Send a message.
    Send(Message),
    /// Apply these entries.
    Commit(Vec<Arc<Entry>>),
    /// Everything accepted before `at` is at or below `index`.
    Proved {
        /// Index committed at the start of the quorum round.
        index: Index,
        /// Start of the quorum round.
        at: Instant,
    },
    /// A proposal has its place, and is not committed yet.
    Accepted {
        /// Token of the proposal.
        token: Token,
        /// Its index.
        index: Index,
        /// Its term.
        term: Term,
    },
    /// A question is answered, or a proposal refused.
    Answer {
        /// Token of the question.
        token: Token,
        /// How it ended.
        outcome: Result<(), Refusal>,
    },
    /// The node's part, term or leader changed.
    Changed(Standing),
}

/// Why a node did not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another replica leads, or none.
    NotLeader {
        /// Leader, if one is known.
        leader: Option<ReplicaId>,
    },
    /// Too much waits for a quorum, or another change of voters is under way.
    Busy,
    /// The command does not fit one entry.
    TooLarge {
        /// Its size in bytes.
        bytes: usize,
        /// Largest size in bytes.
        limit: usize,
    },
    /// The cluster was formed before.
    AlreadyFormed,
    /// A named replica is promised to another formation.
    Promised {
        /// That replica.
        replica: ReplicaId,
    },
    /// The voters named for a formation are wrong.
    InvalidVoters,
    /// The replica to be replaced does not count.
    NotVoter {
        /// That replica.
        replica: ReplicaId,
    },
    /// The new replica has not synced everything committed.
    Behind {
        /// That replica.
        replica: ReplicaId,
        /// Entries that it has not synced.
        entries: u64,
    },
}

/// A node's part in its term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Decides the order of the entries.
    Leader,
    /// Asks for votes.
    Candidate,
    /// Follows a leader, or waits for one.
    #[default]
    Follower,
    /// Receives entries, and does not count.
    Learner,
}

/// A node's part, term and leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Its part.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<ReplicaId>,
}

/// Where a node stands within its term.
#[derive(Debug)]
enum RoleState {
    Follower { leader: Option<ReplicaId> },
    Candidate(Ballot),
    Leader(Box<Leader>),
}

/// One replica.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    id: ReplicaId,
    hard: HardState,
    log: Log,
    snapshot: Option<Arc<Snapshot>>,
    commit: Index,
    role_state: RoleState,
    /// Known replicas other than this one.
    peers: IndexSet<ReplicaId>,
    /// When a leader was last heard of.
    last_heard: Option<Instant>,
    /// When the node campaigns, unless it hears of a leader.
    election_deadline: Instant,
    incoming: Option<Incoming>,
    forming: Option<Forming>,
    standing: Standing,
    /// Random number of the present event.
    random: u64,
    effects: Vec<Effect>,
}

impl Node {
    /// A node that continues from what its folder held.
    #[must_use]
    pub fn new<R>(now: Instant, settings: Settings, stored: Stored, rng: &mut R) -> Self
    where
        R: Rng,
    {
        let formation = stored.hard.formation.as_ref();
        let initial_voters = formation.map(|it| it.voters.clone()).unwrap_or_default();
        let log = Log::new(initial_voters, stored.snapshot.as_deref(), stored.entries);
        let mut node = Self {
            commit: stored.snapshot.as_ref().map_or(0, |it| it.index),
            settings,
            id: stored.id,
            hard: stored.hard,
            log,
            snapshot: stored.snapshot,
            role_state: RoleState::Follower { leader: None },
            peers: IndexSet::new(),
            last_heard: None,
            election_deadline: now,
            incoming: None,
            forming: None,
            standing: Standing::default(),
            random: rng.next_u64(),
            effects: Vec::new(),
        };
        node.election_deadline = now + node.first_election_wait();
        node.standing = node.standing();
        node
    }

    /// Takes in one event.
    pub fn on_event<R>(&mut self, now: Instant, event: Event, rng: &mut R) -> Vec<Effect>
    where
        R: Rng,
    {
        self.random = rng.next_u64();
        self.check_quorum(now);
        match event {
            Event::Tick => self.on_tick(now),
            Event::Receive(message) => self.on_message(now, message),
            Event::Peers(peers) => self.set_peers(now, peers),
            Event::Propose(proposals) => self.propose_all(now, proposals),
            Event::Read(token) => self.read(now, token),
            Event::Init { token, voters } => self.init(now, token, voters),
            Event::Replace { token, old, new } => self.replace(now, token, old, new),
            Event::Compact { index, data } => self.compact(index, data),
        }
        let standing = self.standing();
        if standing != self.standing {
            self.standing = standing;
            self.effects.push(Effect::Changed(standing));
        }
        mem::take(&mut self.effects)
    }

    /// When the node next needs [`Event::Tick`].
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let own = match &self.role_state {
            RoleState::Leader(leader) => leader.next_heartbeat,
            RoleState::Follower { .. } | RoleState::Candidate(_) => self.election_deadline,
        };
        self.forming
            .as_ref()
            .map_or(own, |forming| own.min(forming.resend))
    }

    /// Its part, term and leader.
    #[must_use]
    pub fn standing(&self) -> Standing {
        let (role, leader) = match &self.role_state {
            RoleState::Leader(_) => (Role::Leader, Some(self.id)),
            RoleState::Candidate(_) => (Role::Candidate, None),
            RoleState::Follower { leader } if self.is_voter() => (Role::Follower, *leader),
            RoleState::Follower { leader } => (Role::Learner, *leader),
        };
        Standing {
            role,
            term: self.hard.term,
            leader,
        }
    }

    /// Identity of the folder.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Whether it belongs to a formed cluster.
    #[must_use]
    pub fn formed(&self) -> bool {
        self.hard.formation.as_ref().is_some_and(|it| it.active)
    }

    /// The voters, as far as it knows.
    #[must_use]
    pub fn voters(&self) -> &Voters {
        self.log.voters()
    }

    /// Index of the last entry.
    #[must_use]
    pub fn last(&self) -> Index {
        self.log.last()
    }

    /// Index of the last committed entry that it knows of.
    #[must_use]
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Estimated bytes of the entries held in memory.
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    fn is_voter(&self) -> bool {
        self.log.voters().contains(self.id)
    }

    fn on_tick(&mut self, now: Instant) {
        self.resend_form_requests(now);
        let due = match &self.role_state {
            RoleState::Leader(leader) => now >= leader.next_heartbeat,
            RoleState::Follower { .. } | RoleState::Candidate(_) => now >= self.election_deadline,
        };
        if !due {
            return;
        }
        if matches!(self.role_state, RoleState::Leader(_)) {
            self.send_heartbeats(now);
        } else {
            self.campaign(now);
        }
    }

    fn set_peers(&mut self, now: Instant, peers: Vec<ReplicaId>) {
        self.peers = peers.into_iter().filter(|it| *it != self.id).collect();
        self.update_progress(now);
    }

    fn compact(&mut self, index: Index, data: Arc<[u8]>) {
        let covered = self.snapshot.as_ref().map_or(0, |it| it.index);
        let Some(term) = self.log.term(index) else {
            return;
        };
        if index <= covered || index > self.commit {
            return;
        }
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            voters: self.log.voters_at(index).clone(),
            data,
        });
        self.snapshot = Some(Arc::clone(&snapshot));
        self.log.shrink(index, self.settings.retained_bytes);
        self.effects.push(Effect::SaveSnapshot(snapshot));
    }

    fn save_hard(&mut self) {
        self.effects.push(Effect::SaveHard(self.hard.clone()));
    }

    fn send(&mut self, to: ReplicaId, body: message::Body) {
        let term = self.hard.term;
        self.send_at(to, term, body);
    }

    fn send_at(&mut self, to: ReplicaId, term: Term, body: message::Body) {
        let formation = self.hard.formation.as_ref().map_or(0, |it| it.id);
        self.effects.push(Effect::Send(Message {
            formation,
            from: self.id,
            to,
            term,
            body,
        }));
    }

    fn answer(&mut self, token: Token, outcome: Result<(), Refusal>) {
        self.effects.push(Effect::Answer { token, outcome });
    }

    fn not_leader(&self) -> Refusal {
        Refusal::NotLeader {
            leader: self.standing().leader,
        }
    }

    fn reset_election_deadline(&mut self, now: Instant) {
        let spread = u64::try_from(self.settings.election_timeout.as_micros()).unwrap_or(u64::MAX);
        let extra = Duration::from_micros(self.random % spread.max(1));
        self.election_deadline = now + self.settings.election_timeout + extra;
    }

    /// Wait of a replica that has just started; if the others lead or follow
    /// already, they refuse its trial vote.
    fn first_election_wait(&self) -> Duration {
        let least = self.settings.first_election_timeout;
        let spread = u64::try_from(least.as_micros()).unwrap_or(u64::MAX);
        least + Duration::from_micros(self.random % spread.max(1))
    }

    /// Applies what is newly committed.
    fn commit_to(&mut self, index: Index) {
        if index <= self.commit {
            return;
        }
        let entries = self.log.range(self.commit + 1, index);
        self.commit = index;
        self.effects.push(Effect::Commit(entries));
    }
}
