//! A simulated cluster: Raft nodes with simulated clocks, disks and network.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use citron_policy::{
    id::{DomainId, Index, ReplicaId, Term},
    ledger::{Claim, Key},
    raft::{
        Effect, Entry, Event, HardState, Node, Payload, Proposal, Refusal, Role, Settings,
        Snapshot, Stored, Token, message::Message,
    },
    state::{Answer, Command, Machine},
};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub const STEP: Duration = Duration::from_millis(25);

/// Durable state of a replica, which survives a restart.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub hard: HardState,
    pub snapshot: Option<Arc<Snapshot>>,
    pub entries: Vec<Arc<Entry>>,
}

impl Disk {
    /// Stores a persisting effect; returns false for any other effect.
    fn write(&mut self, effect: &Effect) -> bool {
        match effect {
            Effect::SaveHard(hard) => self.hard = hard.clone(),
            Effect::Append(entries) => {
                self.entries.retain(|it| it.index < entries[0].index);
                self.entries.extend(entries.iter().map(Arc::clone));
            }
            Effect::SaveSnapshot(snapshot) => {
                self.entries.retain(|it| it.index > snapshot.index);
                self.snapshot = Some(Arc::clone(snapshot));
            }
            Effect::Install(snapshot) => {
                self.entries.clear();
                self.snapshot = Some(Arc::clone(snapshot));
            }
            _ => return false,
        }
        true
    }
}

pub struct Replica {
    pub node: Node,
    pub disk: Disk,
    pub machine: Machine,
    pub up: bool,
    pub paused: bool,
    pub accepted: BTreeMap<Index, (Term, Token)>,
    pub proved: Option<(Index, Instant)>,
    /// Number of persisting effects until the replica is killed, if it is to be killed.
    pub kill_after: Option<usize>,
}

/// Message faults, each in percent of the messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    pub lost: u32,
    pub duplicated: u32,
    pub delayed: u32,
}

pub struct Cluster {
    pub settings: Settings,
    pub now: Instant,
    pub rng: StdRng,
    pub replicas: BTreeMap<ReplicaId, Replica>,
    /// Failure domains; a replica without one has a domain of its own.
    pub domains: BTreeMap<ReplicaId, DomainId>,
    pub in_flight: Vec<(Instant, Message)>,
    pub faults: NetworkFaults,
    /// Blocked links, as sender and receiver.
    pub blocked_links: BTreeSet<(ReplicaId, ReplicaId)>,
    pub answers: BTreeMap<Token, Result<Answer, Refusal>>,
    pub outcomes: BTreeMap<Token, Result<(), Refusal>>,
    /// Every committed entry, as applied by the first replica that did so.
    pub committed: BTreeMap<Index, Arc<Entry>>,
    /// Leaders by term.
    pub leaders: BTreeMap<Term, ReplicaId>,
    /// State machines by the index of their snapshot.
    pub machines: BTreeMap<Index, Machine>,
    /// Sizes of the snapshots by their index.
    pub snapshot_bytes: BTreeMap<Index, usize>,
    /// Time of each answer and the index of the answered command.
    pub answered: Vec<(Instant, Index)>,
    /// Highest index answered before each read was requested.
    reads: BTreeMap<Token, Index>,
    next_token: Token,
}

impl Cluster {
    /// Replicas with these ids and empty folders.
    pub fn empty(seed: u64, ids: &[ReplicaId]) -> Self {
        println!("seed {seed}");
        let mut cluster = Self {
            settings: Settings::default(),
            now: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            replicas: BTreeMap::new(),
            domains: BTreeMap::new(),
            in_flight: Vec::new(),
            faults: NetworkFaults::default(),
            blocked_links: BTreeSet::new(),
            answers: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            machines: BTreeMap::new(),
            snapshot_bytes: BTreeMap::new(),
            answered: Vec::new(),
            reads: BTreeMap::new(),
            next_token: 1,
        };
        for id in ids {
            cluster.add(*id);
        }
        cluster
    }

    /// A formed cluster of these voters, with a leader.
    pub fn formed(seed: u64, ids: &[ReplicaId]) -> Self {
        let mut cluster = Self::empty(seed, ids);
        cluster.init(ids[0], ids);
        cluster.run(Duration::from_secs(3));
        assert!(cluster.leader().is_some(), "no leader after the formation");
        cluster
    }

    pub fn add(&mut self, id: ReplicaId) {
        self.start(id, Disk::default());
        self.announce_peers();
    }

    fn start(&mut self, id: ReplicaId, disk: Disk) {
        let stored = Stored {
            id,
            hard: disk.hard.clone(),
            snapshot: disk.snapshot.clone(),
            entries: disk.entries.clone(),
        };
        let machine = match &disk.snapshot {
            None => Machine::default_limits(),
            Some(it) => self.machines[&it.index].clone(),
        };
        let node = Node::new(self.now, self.settings.clone(), stored, &mut self.rng);
        let replica = Replica {
            node,
            disk,
            machine,
            up: true,
            paused: false,
            accepted: BTreeMap::new(),
            proved: None,
            kill_after: None,
        };
        self.replicas.insert(id, replica);
    }

    /// Tells every replica about all others.
    pub fn announce_peers(&mut self) {
        let ids: Vec<ReplicaId> = self.replicas.keys().copied().collect();
        let domain = |id: &ReplicaId| self.domains.get(id).cloned();
        let peers: IndexMap<ReplicaId, DomainId> = ids
            .iter()
            .map(|id| (*id, domain(id).unwrap_or_else(|| format!("of-{id}"))))
            .collect();
        for id in &ids {
            self.event(*id, Event::Peers(peers.clone()));
        }
    }

    pub fn kill(&mut self, id: ReplicaId) {
        self.replica(id).up = false;
    }

    /// Restarts a replica from its durable state.
    pub fn restart(&mut self, id: ReplicaId) {
        let disk = self.replicas[&id].disk.clone();
        self.start(id, disk);
        self.announce_peers();
    }

    /// Removes a replica for good, together with its folder.
    pub fn destroy(&mut self, id: ReplicaId) {
        self.replicas.remove(&id);
        self.in_flight
            .retain(|(_, it)| it.to != id && it.from != id);
        self.announce_peers();
    }

    pub fn replica(&mut self, id: ReplicaId) -> &mut Replica {
        self.replicas.get_mut(&id).expect("a replica")
    }

    /// Blocks all links of a replica in both directions.
    pub fn isolate(&mut self, id: ReplicaId) {
        for other in self.others(id) {
            self.blocked_links.insert((id, other));
            self.blocked_links.insert((other, id));
        }
    }

    pub fn others(&self, id: ReplicaId) -> Vec<ReplicaId> {
        self.replicas
            .keys()
            .copied()
            .filter(|it| *it != id)
            .collect()
    }

    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// The leader of the highest term among the running replicas.
    pub fn leader(&self) -> Option<ReplicaId> {
        let running = self.replicas.iter().filter(|(_, it)| it.up && !it.paused);
        let leaders = running.filter(|(_, it)| it.node.standing().role == Role::Leader);
        leaders
            .max_by_key(|(_, it)| it.node.standing().term)
            .map(|(id, _)| *id)
    }

    pub fn init(&mut self, id: ReplicaId, voters: &[ReplicaId]) -> Token {
        let token = self.token();
        let voters = voters.to_vec();
        self.event(id, Event::Init { token, voters });
        token
    }

    pub fn replace(&mut self, old: ReplicaId, new: ReplicaId) -> Token {
        let token = self.token();
        let leader = self.leader().expect("a leader");
        self.event(leader, Event::Replace { token, old, new });
        token
    }

    pub fn read(&mut self, id: ReplicaId) -> Token {
        let token = self.token();
        self.reads.insert(token, self.answered_before(None));
        self.event(id, Event::Read(token));
        token
    }

    pub fn propose(&mut self, id: ReplicaId, command: Command) -> Token {
        let token = self.token();
        let command = Arc::new(command);
        self.event(id, Event::Propose(vec![Proposal { token, command }]));
        token
    }

    /// Highest index answered before an instant, or so far.
    fn answered_before(&self, at: Option<Instant>) -> Index {
        let answered = self.answered.iter();
        let before = answered.filter(|(when, _)| at.is_none_or(|at| *when < at));
        before.map(|(_, index)| *index).max().unwrap_or(0)
    }

    fn token(&mut self) -> Token {
        self.next_token += 1;
        self.next_token
    }

    /// Passes one event to a running node and executes its effects.
    pub fn event(&mut self, id: ReplicaId, event: Event) {
        let now = self.now;
        let Some(replica) = self.replicas.get_mut(&id) else {
            return;
        };
        if !replica.up || replica.paused {
            return;
        }
        let effects = replica.node.on_event(now, event, &mut self.rng);
        for effect in &effects {
            if replica.kill_after == Some(0) {
                replica.kill_after = None;
                replica.up = false;
                return;
            }
            if replica.disk.write(effect) {
                replica.kill_after = replica.kill_after.map(|left| left - 1);
            }
        }
        for effect in effects {
            self.execute(id, effect);
        }
    }

    fn execute(&mut self, id: ReplicaId, effect: Effect) {
        match effect {
            Effect::Send(message) => self.send(&message),
            Effect::Commit(entries) => {
                for entry in entries {
                    self.apply(id, &entry);
                }
            }
            Effect::Install(snapshot) => {
                assert_eq!(
                    snapshot.data.len(),
                    self.snapshot_bytes[&snapshot.index],
                    "replica {id} installed a part of snapshot {}",
                    snapshot.index
                );
                let whole = snapshot.data.iter().enumerate();
                assert!(
                    whole
                        .into_iter()
                        .all(|(place, it)| *it == snapshot_byte(place))
                );
                let machine = self.machines[&snapshot.index].clone();
                self.replica(id).machine = machine;
            }
            Effect::Proved { index, at } => {
                let needed = self.answered_before(Some(at));
                assert!(
                    index >= needed,
                    "replica {id} proved index {index}, but {needed} was already accepted"
                );
                self.replica(id).proved = Some((index, at));
            }
            Effect::Accepted { token, index, term } => {
                self.replica(id).accepted.insert(index, (term, token));
            }
            Effect::Answer { token, outcome } => {
                if let Some(needed) = self.reads.remove(&token)
                    && outcome.is_ok()
                {
                    let index = self.replicas[&id].machine.index();
                    assert!(
                        index >= needed,
                        "replica {id} read at index {index}, but {needed} was already accepted"
                    );
                }
                if let Err(refusal) = &outcome {
                    self.answers.insert(token, Err(refusal.clone()));
                }
                self.outcomes.insert(token, outcome);
            }
            Effect::Changed(standing) if standing.role == Role::Leader => {
                let known = self.leaders.insert(standing.term, id);
                assert!(
                    known.is_none_or(|it| it == id),
                    "two leaders in term {}: {known:?} and {id}",
                    standing.term
                );
            }
            Effect::Changed(_) => self.replica(id).accepted.clear(),
            Effect::SaveHard(_) | Effect::Append(_) | Effect::SaveSnapshot(_) => {}
        }
    }

    fn send(&mut self, message: &Message) {
        if self.blocked_links.contains(&(message.from, message.to))
            || self.rng.random_range(0..100) < self.faults.lost
        {
            return;
        }
        let copies = if self.rng.random_range(0..100) < self.faults.duplicated {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = if self.rng.random_range(0..100) < self.faults.delayed {
                Duration::from_millis(self.rng.random_range(0..2_000))
            } else {
                Duration::ZERO
            };
            self.in_flight.push((self.now + delay, message.clone()));
        }
    }

    /// Applies a committed entry; every replica must have the same entry at an index.
    fn apply(&mut self, id: ReplicaId, entry: &Arc<Entry>) {
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| Arc::clone(entry));
        assert_eq!(
            first, entry,
            "replica {id} applied a different entry {}",
            entry.index
        );
        let replica = self.replicas.get_mut(&id).expect("a replica");
        assert_eq!(
            replica.machine.index() + 1,
            entry.index,
            "replica {id} skipped an entry"
        );
        let command = match &entry.payload {
            Payload::Command(command) => command.as_ref().clone(),
            Payload::Noop | Payload::Voters(_) => Command::Noop,
        };
        let applied = replica.machine.apply(entry.index, &command);
        if let Some((term, token)) = replica.accepted.remove(&entry.index)
            && term == entry.term
        {
            self.answers.insert(token, Ok(applied.answer));
            self.answered.push((self.now, entry.index));
        }
    }

    /// Makes a replica take a snapshot of `bytes` bytes.
    pub fn compact(&mut self, id: ReplicaId, bytes: usize) {
        let machine = self.replica(id).machine.clone();
        let index = machine.index();
        self.machines.insert(index, machine);
        self.snapshot_bytes.insert(index, bytes);
        let data = Arc::from((0..bytes).map(snapshot_byte).collect::<Vec<u8>>());
        self.event(id, Event::Compact { index, data });
    }

    /// Delivers the messages that are due, then sends every node a tick.
    pub fn step(&mut self) {
        self.now += STEP;
        for _ in 0..64 {
            let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|(at, _)| *at <= self.now);
            self.in_flight = later;
            if due.is_empty() {
                break;
            }
            for (_, message) in due {
                self.event(message.to, Event::Receive(message));
            }
        }
        let ids: Vec<ReplicaId> = self.replicas.keys().copied().collect();
        for id in ids {
            self.event(id, Event::Tick);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds; panics after a minute of simulated time.
    pub fn run_until<F>(&mut self, what: &str, mut holds: F)
    where
        F: FnMut(&Self) -> bool,
    {
        let end = self.now + Duration::from_mins(1);
        while !holds(self) {
            assert!(self.now < end, "did not happen within a minute: {what}");
            self.step();
        }
    }

    /// Proposes a command to the current leader until it is answered.
    pub fn submit(&mut self, command: &Command) -> Answer {
        let end = self.now + Duration::from_mins(1);
        while self.now < end {
            if let Some(leader) = self.leader() {
                let token = self.propose(leader, command.clone());
                for _ in 0..80 {
                    if let Some(Ok(answer)) = self.answers.get(&token) {
                        return answer.clone();
                    }
                    self.step();
                }
            } else {
                self.step();
            }
        }
        panic!("no answer within a minute");
    }
}

/// Byte of a snapshot at an offset, so that parts in the wrong order are detected.
fn snapshot_byte(place: usize) -> u8 {
    u8::try_from(place % 251).unwrap_or(0)
}

/// Machines with the default limits.
pub trait DefaultLimits {
    fn default_limits() -> Self;
}

impl DefaultLimits for Machine {
    fn default_limits() -> Self {
        Self::new(citron_policy::state::Limits::default())
    }
}

/// A claim of `name` by `attempt`, `second` seconds after 1970.
pub fn claim(name: &str, attempt: u64, second: u64) -> Claim {
    Claim {
        key: key(name),
        digest: 1,
        attempt,
        daemon: "e1".to_owned(),
        deadline: at(second + 30),
        at: at(second),
    }
}

pub fn key(name: &str) -> Key {
    Key {
        account: "windhoek".to_owned(),
        name: name.to_owned(),
    }
}

pub fn at(second: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(second)
}
