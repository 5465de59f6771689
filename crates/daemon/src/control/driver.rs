//! The replica's thread: it feeds the log's state machine and carries out its
//! effects, with one sync of the journal for everything that waits.

mod feeder;
mod port;

use std::{
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError},
    },
    time::{Duration, Instant, SystemTime},
};

use citron_journal::{Error as Fault, Files};
use citron_policy::{
    feed,
    id::{Index, ReplicaId, Term},
    ledger,
    raft::{
        Effect, Entry, Event, Node, Payload, Proposal, Role as Part, Snapshot, Standing, Stored,
        Token, membership::Replacement, message::Message,
    },
    state::{Answer, Command, Machine},
};
use citron_wire::{control, generated::control as proto};
use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot};

use super::{Role, Settings, Status, metrics::Metrics, outcome, store::Store};
use crate::clock;

use self::feeder::Feeder;
pub(super) use self::port::Port;

/// Most inputs that wait for the thread.
pub(super) const INPUT_QUEUE: usize = 8_192;

/// Most messages that wait to be sent.
pub(super) const OUTGOING_QUEUE: usize = 4_096;

/// Most updates that wait for this daemon's view.
pub(super) const FEED_QUEUE: usize = 1_024;

/// Most inputs that share one sync.
const BATCH: usize = 1_024;

/// Time between two looks for a lost voter.
const SEAT_PAUSE: Duration = Duration::from_millis(200);

/// Where an answer goes.
pub(super) type Reply = oneshot::Sender<proto::message::Body>;

/// What reaches the thread.
#[derive(Debug)]
pub(super) enum Input {
    /// A message of another replica.
    Raft(proto::Raft),
    /// Replicas that are known.
    Peers(Vec<ReplicaId>),
    /// A question, and where its answer goes.
    Ask(proto::message::Body, Reply),
}

/// A message to the holder of a folder.
#[derive(Debug)]
pub(super) struct Outgoing {
    pub(super) to: ReplicaId,
    pub(super) message: proto::Raft,
}

/// The thread's ends of the channels.
pub(super) struct Links {
    pub(super) inputs: Receiver<Input>,
    pub(super) outgoing: mpsc::Sender<Outgoing>,
    pub(super) feed: mpsc::Sender<feed::Local>,
    pub(super) metrics: Metrics,
}

/// What an answer of the log is for.
enum Question {
    Propose(Reply),
    Read {
        key: ledger::Key,
        digest: u64,
        reply: Reply,
    },
    /// The version in force.
    Version(Reply),
    Done(Reply),
}

impl Question {
    fn reply(self) -> Reply {
        match self {
            Self::Propose(reply)
            | Self::Read { reply, .. }
            | Self::Version(reply)
            | Self::Done(reply) => reply,
        }
    }
}

/// The thread's state.
pub(super) struct Driver<F>
where
    F: Files,
{
    settings: Settings,
    node: Node,
    /// None while the disk is not to be used.
    store: Option<Store<F>>,
    machine: Machine,
    inputs: Receiver<Input>,
    outgoing: mpsc::Sender<Outgoing>,
    feeder: Feeder,
    metrics: Metrics,
    next_token: Token,
    /// Replicas that are known.
    peers: Vec<ReplicaId>,
    questions: IndexMap<Token, Question>,
    /// Proposals that have their place, by index.
    accepted: IndexMap<Index, (Term, Reply)>,
    /// Index of the latest snapshot, and bytes of the entries since.
    snapshot_index: Index,
    since_snapshot: usize,
    /// When to look for a lost voter again.
    next_seat: Instant,
}

impl<F> Driver<F>
where
    F: Files,
{
    pub(super) fn new(
        settings: Settings,
        node: Node,
        store: Store<F>,
        machine: Machine,
        links: Links,
    ) -> Self {
        Self {
            settings,
            snapshot_index: machine.index(),
            feeder: Feeder::new(links.feed, links.metrics.clone()),
            node,
            store: Some(store),
            machine,
            inputs: links.inputs,
            outgoing: links.outgoing,
            metrics: links.metrics,
            next_token: 1,
            peers: Vec::new(),
            questions: IndexMap::new(),
            accepted: IndexMap::new(),
            since_snapshot: 0,
            next_seat: clock::now(),
        }
    }

    /// Serves until the daemon's ends are gone or the journal fails.
    pub(super) fn run(&mut self) -> Result<(), Fault> {
        loop {
            let wait = self.node.next_wake();
            let wait = wait.saturating_duration_since(clock::now());
            let batch = match self.inputs.recv_timeout(wait) {
                Ok(first) => {
                    let rest = self.inputs.try_iter().take(BATCH);
                    [first].into_iter().chain(rest).collect()
                }
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            };
            self.serve(batch)?;
        }
    }

    /// Stops taking part: nothing more is written, voted or acknowledged.
    pub(super) fn suspend(&mut self) {
        self.store = None;
        for (_, (_, reply)) in self.accepted.drain(..) {
            answer(reply, outcome::unsure());
        }
        for (_, question) in self.questions.drain(..) {
            answer(question.reply(), outcome::unsure());
        }
        self.metrics.leads.set(0);
    }

    /// Refuses what comes for a while; false when the daemon's ends are gone.
    pub(super) fn refuse(&self, within: Duration) -> bool {
        let end = Instant::now() + within;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.inputs.recv_timeout(left) {
                Ok(Input::Ask(_, reply)) => answer(reply, outcome::not_leader(None)),
                Ok(Input::Raft(_) | Input::Peers(_)) => {}
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }

    /// Takes part again, with what the folder holds.
    pub(super) fn resume(&mut self, store: Store<F>, stored: Stored, machine: Machine) {
        let raft = self.settings.raft.clone();
        self.node = Node::new(clock::now(), raft, stored, &mut rand::rng());
        self.store = Some(store);
        self.snapshot_index = machine.index();
        self.since_snapshot = 0;
        self.machine = machine;
        self.feeder.lag();
        let peers = self.peers.clone();
        // A node without entries to send has nothing to persist yet.
        drop(self.step(Event::Peers(peers)));
    }

    fn serve(&mut self, batch: Vec<Input>) -> Result<(), Fault> {
        let mut effects = self.step(Event::Tick);
        let mut proposals = Vec::new();
        for input in batch {
            match input {
                Input::Raft(raft) => match Message::try_from(raft) {
                    Ok(message) => effects.extend(self.step(Event::Receive(message))),
                    Err(error) => log::warn!("CP0408 message refused: {error}"),
                },
                Input::Peers(peers) => {
                    self.peers.clone_from(&peers);
                    effects.extend(self.step(Event::Peers(peers)));
                }
                Input::Ask(question, reply) => {
                    effects.extend(self.ask(question, reply, &mut proposals));
                }
            }
        }
        if !proposals.is_empty() {
            effects.extend(self.step(Event::Propose(proposals)));
        }
        self.persist(&effects)?;
        for effect in effects {
            self.carry_out(effect);
        }
        self.fill_seat()?;
        self.keep_snapshot()?;
        self.feeder.flush(&self.machine);
        self.measure();
        Ok(())
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.node.on_event(clock::now(), event, &mut rand::rng())
    }

    fn ask(
        &mut self,
        question: proto::message::Body,
        reply: Reply,
        proposals: &mut Vec<Proposal>,
    ) -> Vec<Effect> {
        use proto::message::Body;
        match question {
            Body::Submit(command) => match Command::try_from(command) {
                Ok(command) => {
                    let command = Arc::new(command.stamped(SystemTime::now()));
                    let token = self.remember(Question::Propose(reply));
                    proposals.push(Proposal { token, command });
                }
                Err(error) => answer(reply, outcome::refused(error.to_string())),
            },
            Body::Lookup(proto::Lookup {
                key: Some(key),
                digest,
            }) => {
                let key = key.into();
                let token = self.remember(Question::Read { key, digest, reply });
                return self.step(Event::Read(token));
            }
            Body::Version(_) => {
                let token = self.remember(Question::Version(reply));
                return self.step(Event::Read(token));
            }
            Body::Init(init) => {
                let token = self.remember(Question::Done(reply));
                let voters = init.voters;
                return self.step(Event::Init { token, voters });
            }
            Body::Replace(proto::Replace { old, new }) => {
                let token = self.remember(Question::Done(reply));
                return self.step(Event::Replace { token, old, new });
            }
            Body::Status(_) => answer(reply, Body::Standing(self.status().into())),
            _ => answer(reply, outcome::refused("not a question".to_owned())),
        }
        Vec::new()
    }

    fn remember(&mut self, question: Question) -> Token {
        let token = self.next_token;
        self.next_token += 1;
        self.questions.insert(token, question);
        token
    }

    fn persist(&mut self, effects: &[Effect]) -> Result<(), Fault> {
        let Some(store) = &mut self.store else {
            return Err(Fault::Stopped);
        };
        if store.persist(effects)? {
            self.metrics.syncs.inc();
        }
        Ok(())
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::SaveHard(_) | Effect::Append(_) | Effect::SaveSnapshot(_) => {}
            Effect::Install(snapshot) => self.restore(&snapshot),
            Effect::Send(message) => self.send(message),
            Effect::Commit(entries) => self.commit(&entries),
            Effect::Proved { index, at } => self.feeder.proved(index, at),
            Effect::Accepted { token, index, term } => {
                if let Some(question) = self.questions.swap_remove(&token) {
                    self.accepted.insert(index, (term, question.reply()));
                }
            }
            Effect::Answer { token, outcome } => {
                if let Some(question) = self.questions.swap_remove(&token) {
                    self.settle(question, outcome.as_ref().map_err(outcome::of_refusal));
                }
            }
            Effect::Changed(standing) => self.changed(standing),
        }
    }

    fn settle(&self, question: Question, outcome: Result<&(), proto::message::Body>) {
        use proto::message::Body;
        match (question, outcome) {
            (question, Err(failure)) => answer(question.reply(), failure),
            (Question::Read { key, digest, reply }, Ok(())) => {
                let ledger = self.machine.ledger();
                let verdict = ledger.lookup(SystemTime::now(), &key, digest);
                let verdict = verdict.as_ref().map(proto::Verdict::from);
                answer(reply, Body::LookedUp(proto::LookedUp { verdict }));
            }
            (Question::Version(reply), Ok(())) => {
                let body = match self.machine.declaration() {
                    Some(it) => Body::Answer((&Answer::Declared(it.version)).into()),
                    None => Body::Done(proto::Done {}),
                };
                answer(reply, body);
            }
            (Question::Propose(reply) | Question::Done(reply), Ok(())) => {
                answer(reply, Body::Done(proto::Done {}));
            }
        }
    }

    fn commit(&mut self, entries: &[Arc<Entry>]) {
        for entry in entries {
            self.since_snapshot += entry.bytes();
            self.metrics.entries.inc();
            let reply = match &entry.payload {
                Payload::Command(command) => {
                    let applied = self.machine.apply(entry.index, command);
                    if let Some(update) = applied.update {
                        self.feeder.update(update);
                    }
                    applied.answer
                }
                Payload::Noop => self.machine.apply(entry.index, &Command::Noop).answer,
                Payload::Voters(voters) => {
                    log::info!("CP0404 voters are {:016x?}", voters.ids());
                    self.machine.apply(entry.index, &Command::Noop).answer
                }
            };
            self.answer_accepted(entry, &reply);
        }
    }

    fn answer_accepted(&mut self, entry: &Entry, told: &Answer) {
        let Some((term, reply)) = self.accepted.swap_remove(&entry.index) else {
            return;
        };
        let body = if term == entry.term {
            proto::message::Body::Answer(told.into())
        } else {
            outcome::unsure()
        };
        answer(reply, body);
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        match control::decode_machine(self.settings.limits, &snapshot.data) {
            Ok(machine) => self.machine = machine,
            // It came whole from the leader, so it does not fit this version.
            Err(error) => panic!("snapshot {}: {error}", snapshot.index),
        }
        self.snapshot_index = snapshot.index;
        self.since_snapshot = 0;
        self.feeder.lag();
        log::info!("CP0406 snapshot {} installed", snapshot.index);
    }

    fn send(&self, message: Message) {
        let to = message.to;
        let message = message.into();
        if self.outgoing.try_send(Outgoing { to, message }).is_err() {
            self.metrics.dropped_messages.inc();
        }
    }

    /// Notes the new part; a leader that stepped down leaves its proposals open.
    fn changed(&mut self, standing: Standing) {
        log::info!(
            "CP0401 {:?} in term {}, leader {:016x?}",
            standing.role,
            standing.term,
            standing.leader
        );
        self.metrics
            .leads
            .set((standing.role == Part::Leader).into());
        if standing.role != Part::Leader {
            for (_, (_, reply)) in self.accepted.drain(..) {
                answer(reply, outcome::unsure());
            }
        }
    }

    /// Lets a learner count in place of a voter that is lost.
    fn fill_seat(&mut self) -> Result<(), Fault> {
        let now = clock::now();
        if now < self.next_seat {
            return Ok(());
        }
        self.next_seat = now + SEAT_PAUSE;
        let Some(Replacement { old, new }) = self.node.due_replacement(now) else {
            return Ok(());
        };
        log::warn!(
            event = "CP0410";
            "replica {old:016x} is lost: {new:016x} is to count in its place"
        );
        let token = self.next_token;
        self.next_token += 1;
        let effects = self.step(Event::Replace { token, old, new });
        self.persist(&effects)?;
        for effect in effects {
            self.carry_out(effect);
        }
        Ok(())
    }

    fn keep_snapshot(&mut self) -> Result<(), Fault> {
        let index = self.machine.index();
        let entries = index - self.snapshot_index;
        if entries < self.settings.snapshot_entries
            && self.since_snapshot < self.settings.snapshot_bytes
        {
            return Ok(());
        }
        let data = Arc::from(control::encode_machine(&self.machine));
        self.snapshot_index = index;
        self.since_snapshot = 0;
        let effects = self.step(Event::Compact { index, data });
        self.persist(&effects)?;
        for effect in effects {
            self.carry_out(effect);
        }
        log::info!("CP0405 snapshot {index} taken");
        Ok(())
    }

    fn status(&self) -> Status {
        let standing = self.node.standing();
        Status {
            replica: self.node.id(),
            formed: self.node.formed(),
            role: match standing.role {
                Part::Leader => Role::Leader,
                Part::Follower | Part::Candidate => Role::Follower,
                Part::Learner => Role::Learner,
            },
            term: standing.term,
            leader: standing.leader,
            voters: self.node.voters().ids().to_vec(),
            last: self.node.last(),
            commit: self.node.commit(),
        }
    }

    fn measure(&self) {
        let standing = self.node.standing();
        let ledger = self.machine.ledger();
        let metrics = &self.metrics;
        metrics.term.set(gauge(standing.term));
        metrics.last.set(gauge(self.node.last()));
        metrics.commit.set(gauge(self.node.commit()));
        metrics.log_bytes.set(gauge(self.node.log_bytes() as u64));
        metrics.pending.set(gauge(self.accepted.len() as u64));
        metrics.ledger_records.set(gauge(ledger.len() as u64));
        metrics.ledger_bytes.set(gauge(ledger.bytes() as u64));
        metrics
            .kept_answers
            .set(gauge(self.machine.answers_len() as u64));
    }
}

fn gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Gives an answer; whoever asked may have stopped waiting, which is their right.
fn answer(reply: Reply, body: proto::message::Body) {
    drop(reply.send(body));
}
