//! The Raft protocol for the control log, as a state machine without I/O.
//!
//! A [`Node`] takes one [`Event`] at a time and returns [`Effect`]s in order. The
//! driver must carry out and sync every persisting effect before any effect
//! that follows it. It may move persisting effects ahead of others, so that a
//! batch of events costs one sync. No message or answer is sent before the state
//! that it depends on is durable.
//!
//! - Replicas are identified by random ids that are stored in the data folder. A
//!   replica that lost its folder returns under a new id, which is in no voter set.
//! - A cluster is formed once: every initial voter promises to join one formation
//!   before any of them may campaign ([`formation`]). All other replicas join an
//!   existing formation as learners.
//! - Pre-vote keeps an isolated replica from forcing elections. A leader that no
//!   quorum confirmed for an election timeout steps down by its own clock.
//! - A leader commits only entries of its own term by counting replicas.
//! - Voters change one at a time. A learner becomes a voter only by a change that
//!   was proposed after it had synced every committed entry ([`replace`]).
//! - Every confirmed quorum round proves that all entries accepted before the
//!   round started are at or below the commit index at its start.

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

use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use crate::{
    id::{DomainId, Index, ReplicaId, Term},
    state::Command,
};

use self::{
    election::Ballot, formation::Forming, install::Incoming, leader::Leader, log::Log,
    membership::Resize, message::Message,
};
pub use self::{formation::Formation, voters::Voters};

/// Maximum number of replicas that a leader sends entries to, voters and learners together.
pub const MAX_REPLICAS: usize = 16;

/// Identifies a proposal or request in its effects; chosen by the driver.
pub type Token = u64;

/// Timeouts and limits of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout; also how long a leader stays leader without a quorum.
    pub election_timeout: Duration,
    /// Shortest election timeout after a start, when the other replicas may be starting too.
    pub first_election_timeout: Duration,
    /// Maximum bytes of entries in one message.
    pub max_batch_bytes: usize,
    /// Maximum number of unanswered messages with entries per replica.
    pub max_inflight: usize,
    /// Maximum bytes of uncommitted entries; proposals beyond it are refused.
    pub max_uncommitted_bytes: usize,
    /// Bytes of a snapshot in one message; also the largest command.
    pub chunk_bytes: usize,
    /// Largest snapshot that a replica accepts from a leader.
    pub max_snapshot_bytes: usize,
    /// Maximum bytes of entries behind the snapshot that stay in memory for slow replicas.
    pub retained_bytes: usize,
    /// Number of voters to keep; zero for as many as there are.
    pub voters: usize,
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
            voters: 0,
        }
    }
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// No operation; a new leader's first entry.
    Noop,
    /// A command for the state machine.
    Command(Arc<Command>),
    /// The voters that apply from this entry on.
    Voters(Voters),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Index in the log.
    pub index: Index,
    /// Term of the leader that created it.
    pub term: Term,
    /// Its content.
    pub payload: Payload,
    /// Estimated size.
    bytes: usize,
}

impl Entry {
    /// Estimated size of an entry without its command, in bytes.
    const OVERHEAD_BYTES: usize = 32;

    /// An entry with its estimated size.
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

/// Durable state of a node beside the log entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Candidate voted for in that term.
    pub vote: Option<ReplicaId>,
    /// Formation that this replica belongs to or has promised to join.
    pub formation: Option<Formation>,
}

/// The replicated state up to an index.
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

/// Durable state read from the data folder at startup.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// Id of the replica that owns the folder.
    pub id: ReplicaId,
    /// Hard state.
    pub hard: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot.
    pub entries: Vec<Arc<Entry>>,
}

/// A command to append to the log.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Token that its effects carry.
    pub token: Token,
    /// The command.
    pub command: Arc<Command>,
}

/// Input of a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Check the timers.
    Tick,
    /// A message from another replica arrived.
    Receive(Message),
    /// The known replicas and their failure domains; those that are not voters become
    /// learners.
    Peers(IndexMap<ReplicaId, DomainId>),
    /// Append these commands to the log.
    Propose(Vec<Proposal>),
    /// Confirm that everything accepted so far is applied on this replica.
    Read(Token),
    /// Form the cluster.
    Init {
        /// Token of the answer.
        token: Token,
        /// The initial voters.
        voters: Vec<ReplicaId>,
    },
    /// Replace one voter by another replica.
    Replace {
        /// Token of the answer.
        token: Token,
        /// Voter to remove.
        old: ReplicaId,
        /// Replica to add as a voter.
        new: ReplicaId,
    },
    /// Add or remove one voter.
    Resize(Resize),
    /// Replace the entries up to an applied index by a snapshot of the state machine.
    Compact {
        /// Index of the last entry that the state includes.
        index: Index,
        /// The state machine, encoded.
        data: Arc<[u8]>,
    },
}

/// Output of a node, to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Persist the hard state.
    SaveHard(HardState),
    /// Persist entries; stored entries from the first one's index on are replaced.
    Append(Vec<Arc<Entry>>),
    /// Persist a snapshot of this replica's state; entries that it covers may be deleted.
    SaveSnapshot(Arc<Snapshot>),
    /// Persist a snapshot that replaces the whole log, and restore the state machine from it.
    Install(Arc<Snapshot>),
    /// Send a message.
    Send(Message),
    /// Apply these entries.
    Commit(Vec<Arc<Entry>>),
    /// Every entry accepted before `at` is at or below `index`.
    Proved {
        /// Commit index at the start of the quorum round.
        index: Index,
        /// Start of the quorum round.
        at: Instant,
    },
    /// A proposal was appended to the log and is not yet committed.
    Accepted {
        /// Token of the proposal.
        token: Token,
        /// Its index.
        index: Index,
        /// Its term.
        term: Term,
    },
    /// A request has ended, or a proposal was refused.
    Answer {
        /// Token of the request or proposal.
        token: Token,
        /// Its result.
        outcome: Result<(), Refusal>,
    },
    /// The node's role, term or leader changed.
    Changed(Standing),
}

/// Why a node refused a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This node is not the leader.
    NotLeader {
        /// Leader, if one is known.
        leader: Option<ReplicaId>,
    },
    /// Too much is waiting for a quorum, or another change of voters is in progress.
    Busy,
    /// The command is too large for one entry.
    TooLarge {
        /// Its size in bytes.
        bytes: usize,
        /// Largest size in bytes.
        limit: usize,
    },
    /// The cluster is already formed.
    AlreadyFormed,
    /// A named replica has promised to join another formation.
    Promised {
        /// The replica.
        replica: ReplicaId,
    },
    /// The voter list is too long, has duplicates or omits the replica that was asked.
    InvalidVoters,
    /// The replica to replace is not a voter.
    NotVoter {
        /// The replica.
        replica: ReplicaId,
    },
    /// The new replica lacks too many committed entries.
    Behind {
        /// The replica.
        replica: ReplicaId,
        /// Committed entries that it has not synced.
        entries: u64,
    },
}

/// A node's role in its term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Appends entries and replicates them.
    Leader,
    /// Requests votes.
    Candidate,
    /// Voter that follows a leader or waits for one.
    #[default]
    Follower,
    /// Receives entries without a vote.
    Learner,
}

/// A node's role, term and leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<ReplicaId>,
}

/// A node's role in its term, with the state that the role needs.
#[derive(Debug)]
enum RoleState {
    Follower { leader: Option<ReplicaId> },
    Candidate(Ballot),
    Leader(Box<Leader>),
}

/// The Raft state of one replica.
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
    /// Failure domains of the known replicas and of voters that were known once.
    domains: IndexMap<ReplicaId, DomainId>,
    /// When a message from a leader last arrived.
    last_heard: Option<Instant>,
    /// When the node campaigns, unless it hears from a leader first.
    election_deadline: Instant,
    incoming: Option<Incoming>,
    forming: Option<Forming>,
    /// Whether a voter refused the formation that this replica has promised to join.
    formation_refused: bool,
    standing: Standing,
    /// Random number drawn for the current event.
    random: u64,
    effects: Vec<Effect>,
}

impl Node {
    /// Restores a node from its durable state.
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
            domains: IndexMap::new(),
            last_heard: None,
            election_deadline: now,
            incoming: None,
            forming: None,
            formation_refused: false,
            standing: Standing::default(),
            random: rng.next_u64(),
            effects: Vec::new(),
        };
        node.election_deadline = now + node.first_election_wait();
        node.standing = node.standing();
        node
    }

    /// Handles one event.
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
            Event::Resize(resize) => self.resize(now, resize),
            Event::Compact { index, data } => self.compact(index, data),
        }
        let standing = self.standing();
        if standing != self.standing {
            self.standing = standing;
            self.effects.push(Effect::Changed(standing));
        }
        mem::take(&mut self.effects)
    }

    /// Time at which the node next needs [`Event::Tick`].
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

    /// Its role, term and leader.
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

    /// Id of this replica.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Whether it belongs to a formed cluster.
    #[must_use]
    pub fn formed(&self) -> bool {
        self.hard.formation.as_ref().is_some_and(|it| it.active)
    }

    /// The latest voters in its log, committed or not.
    #[must_use]
    pub fn voters(&self) -> &Voters {
        self.log.voters()
    }

    /// Index of the last entry.
    #[must_use]
    pub fn last(&self) -> Index {
        self.log.last()
    }

    /// Index of the last entry known to be committed.
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

    fn set_peers(&mut self, now: Instant, peers: IndexMap<ReplicaId, DomainId>) {
        let others = peers.keys().copied().filter(|it| *it != self.id);
        self.peers = others.collect();
        let voters = self.log.voters();
        self.domains.retain(|id, _| voters.contains(*id));
        self.domains.extend(peers);
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

    /// Randomised election timeout of a replica that has just started.
    ///
    /// It may be short: replicas that already have a leader refuse the pre-vote.
    fn first_election_wait(&self) -> Duration {
        let least = self.settings.first_election_timeout;
        let spread = u64::try_from(least.as_micros()).unwrap_or(u64::MAX);
        least + Duration::from_micros(self.random % spread.max(1))
    }

    /// Raises the commit index and applies the newly committed entries.
    fn commit_to(&mut self, index: Index) {
        if index <= self.commit {
            return;
        }
        let entries = self.log.range(self.commit + 1, index);
        self.commit = index;
        self.effects.push(Effect::Commit(entries));
    }
}
