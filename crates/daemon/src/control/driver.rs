//! The replica thread, which runs the Raft state machine on the journal.
//!
//! All queued inputs are processed together and share one sync of the journal.

mod feeder;
mod mailbox;

use std::{
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError},
    },
    time::{Duration, Instant, SystemTime},
};

use citron_journal::{Error as JournalError, Files};
use citron_policy::{
    feed,
    id::{DomainId, Index, ReplicaId, Term},
    ledger,
    raft::{
        Effect, Entry, Event, Node, Payload, Proposal, Role as RaftRole, Snapshot, Standing,
        Stored, Token,
        membership::{Change, Reason, Replacement, Resize},
        message::Message,
    },
    state::{Answer, Command, Machine},
};
use citron_wire::{control, generated::control as proto};
use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot};

use super::{Role, Settings, Status, metrics::Metrics, outcome, store::Store};
use crate::{clock, event::millis};

use self::feeder::Feeder;
pub(super) use self::mailbox::Mailbox;

/// Most inputs queued for the thread.
pub(super) const INPUT_QUEUE: usize = 8_192;

/// Most messages queued to be sent.
pub(super) const OUTGOING_QUEUE: usize = 4_096;

/// Most updates queued for this daemon's view.
pub(super) const FEED_QUEUE: usize = 1_024;

/// Most inputs that share one sync.
const MAX_BATCH: usize = 1_024;

/// Time between two checks whether the voters are to be changed.
const VOTER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Replicas and their failure domains.
pub(super) type Peers = IndexMap<ReplicaId, DomainId>;

/// Where an answer goes.
pub(super) type Reply = oneshot::Sender<proto::message::Body>;

/// Input of the thread.
#[derive(Debug)]
pub(super) enum Input {
    /// A message from another replica.
    Raft(proto::Raft),
    /// The replicas currently known.
    Peers(Peers),
    /// A request, and the channel for its answer.
    Request(proto::message::Body, Reply),
}

/// Age from which a replacement in progress is reported.
const SLOW_REPLACEMENT: Duration = Duration::from_secs(3);

/// A message to another replica.
#[derive(Debug)]
pub(super) struct Outgoing {
    pub(super) to: ReplicaId,
    pub(super) message: proto::Raft,
}

/// The thread's ends of the channels.
pub(super) struct Channels {
    pub(super) inputs: Receiver<Input>,
    pub(super) outgoing: mpsc::Sender<Outgoing>,
    pub(super) feed: mpsc::Sender<feed::Local>,
    pub(super) metrics: Metrics,
}

/// A request that waits for an answer of the Raft node.
enum Request {
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

impl Request {
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
    /// None while suspended, when the disk must not be used.
    store: Option<Store<F>>,
    machine: Machine,
    inputs: Receiver<Input>,
    outgoing: mpsc::Sender<Outgoing>,
    feeder: Feeder,
    metrics: Metrics,
    next_token: Token,
    /// The replicas currently known.
    peers: Peers,
    requests: IndexMap<Token, Request>,
    /// Proposals that are in the log but not committed, by index.
    accepted: IndexMap<Index, (Term, Reply)>,
    /// Index of the latest snapshot.
    snapshot_index: Index,
    /// Bytes of the entries committed since the latest snapshot.
    bytes_since_snapshot: usize,
    /// When to check again whether the voters are to be changed.
    next_voter_check: Instant,
    /// The replacement that was last reported to take long.
    reported: Option<Replacement>,
}

impl<F> Driver<F>
where
    F: Files,
{
    pub(super) fn new(
        settings: Settings,
        node: Node,
        store: Option<Store<F>>,
        machine: Machine,
        channels: Channels,
    ) -> Self {
        Self {
            settings,
            snapshot_index: machine.index(),
            feeder: Feeder::new(channels.feed, channels.metrics.clone()),
            node,
            store,
            machine,
            inputs: channels.inputs,
            outgoing: channels.outgoing,
            metrics: channels.metrics,
            next_token: 1,
            peers: Peers::new(),
            requests: IndexMap::new(),
            accepted: IndexMap::new(),
            bytes_since_snapshot: 0,
            next_voter_check: clock::now(),
            reported: None,
        }
    }

    /// Serves until the daemon drops all its mailboxes or the journal fails.
    pub(super) fn run(&mut self) -> Result<(), JournalError> {
        loop {
            let wait = self.node.next_wake();
            let wait = wait.saturating_duration_since(clock::now());
            let batch = match self.inputs.recv_timeout(wait) {
                Ok(first) => {
                    let rest = self.inputs.try_iter().take(MAX_BATCH);
                    [first].into_iter().chain(rest).collect()
                }
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            };
            self.serve(batch)?;
        }
    }

    /// Whether it takes no part, as its data folder is not open.
    pub(super) fn is_suspended(&self) -> bool {
        self.store.is_none()
    }

    /// Stops taking part: from now on it writes, votes and acknowledges nothing.
    pub(super) fn suspend(&mut self) {
        self.store = None;
        for (_, (_, reply)) in self.accepted.drain(..) {
            answer(reply, outcome::unsure());
        }
        for (_, request) in self.requests.drain(..) {
            answer(request.reply(), outcome::unsure());
        }
        self.metrics.leads.set(0);
    }

    /// Refuses all requests for a time; false once the daemon has dropped all its mailboxes.
    ///
    /// Notes the replicas known meanwhile, since the daemon tells each change of them once.
    pub(super) fn refuse_inputs(&mut self, within: Duration) -> bool {
        let end = Instant::now() + within;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.inputs.recv_timeout(left) {
                Ok(Input::Request(_, reply)) => answer(reply, outcome::not_leader(None)),
                Ok(Input::Raft(_)) => {}
                Ok(Input::Peers(peers)) => self.peers = peers,
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }

    /// Takes part again, with the state loaded from the data folder.
    pub(super) fn resume(&mut self, store: Store<F>, stored: Stored, machine: Machine) {
        let raft = self.settings.raft.clone();
        self.node = Node::new(clock::now(), raft, stored, &mut rand::rng());
        self.store = Some(store);
        self.snapshot_index = machine.index();
        self.bytes_since_snapshot = 0;
        self.machine = machine;
        self.feeder.require_snapshot();
        let peers = self.peers.clone();
        // A fresh node has no entries to send, so there are no effects to persist.
        drop(self.step(Event::Peers(peers)));
    }

    fn serve(&mut self, batch: Vec<Input>) -> Result<(), JournalError> {
        let mut effects = self.step(Event::Tick);
        let mut proposals = Vec::new();
        for input in batch {
            match input {
                Input::Raft(raft) => match Message::try_from(raft) {
                    Ok(message) => effects.extend(self.step(Event::Receive(message))),
                    Err(error) => log::warn!("CP0408 invalid message refused: {error}"),
                },
                Input::Peers(peers) => {
                    self.peers.clone_from(&peers);
                    effects.extend(self.step(Event::Peers(peers)));
                }
                Input::Request(request, reply) => {
                    effects.extend(self.on_request(request, reply, &mut proposals));
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
        self.change_voters()?;
        self.snapshot_if_due()?;
        self.feeder.flush(&self.machine);
        self.update_metrics();
        Ok(())
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.node.on_event(clock::now(), event, &mut rand::rng())
    }

    fn on_request(
        &mut self,
        request: proto::message::Body,
        reply: Reply,
        proposals: &mut Vec<Proposal>,
    ) -> Vec<Effect> {
        use proto::message::Body;
        match request {
            Body::Submit(command) => match Command::try_from(command) {
                Ok(command) => {
                    let command = Arc::new(command.stamped(SystemTime::now()));
                    let token = self.add_request(Request::Propose(reply));
                    proposals.push(Proposal { token, command });
                }
                Err(error) => answer(reply, outcome::refused(error.to_string())),
            },
            Body::Lookup(proto::Lookup {
                key: Some(key),
                digest,
            }) => {
                let key = key.into();
                let token = self.add_request(Request::Read { key, digest, reply });
                return self.step(Event::Read(token));
            }
            Body::Version(_) => {
                let token = self.add_request(Request::Version(reply));
                return self.step(Event::Read(token));
            }
            Body::Init(init) => {
                let token = self.add_request(Request::Done(reply));
                let voters = init.voters;
                return self.step(Event::Init { token, voters });
            }
            Body::Replace(proto::Replace { old, new }) => {
                let token = self.add_request(Request::Done(reply));
                return self.step(Event::Replace { token, old, new });
            }
            Body::Status(_) => answer(reply, Body::Standing(self.status().into())),
            Body::Duties(proto::AskDuties { known }) => {
                let duties = control::encode_duties(&self.machine, &known).unwrap_or_default();
                answer(reply, Body::KnownDuties(duties));
            }
            _ => answer(reply, outcome::refused("not a question".to_owned())),
        }
        Vec::new()
    }

    fn add_request(&mut self, request: Request) -> Token {
        let token = self.next_token;
        self.next_token += 1;
        self.requests.insert(token, request);
        token
    }

    fn persist(&mut self, effects: &[Effect]) -> Result<(), JournalError> {
        let Some(store) = &mut self.store else {
            return Err(JournalError::Stopped);
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
                if let Some(request) = self.requests.swap_remove(&token) {
                    self.accepted.insert(index, (term, request.reply()));
                }
            }
            Effect::Answer { token, outcome } => {
                if let Some(request) = self.requests.swap_remove(&token) {
                    self.finish_request(request, outcome.as_ref().map_err(outcome::from_refusal));
                }
            }
            Effect::Changed(standing) => self.on_standing_changed(standing),
        }
    }

    fn finish_request(&self, request: Request, outcome: Result<&(), proto::message::Body>) {
        use proto::message::Body;
        match (request, outcome) {
            (request, Err(failure)) => answer(request.reply(), failure),
            (Request::Read { key, digest, reply }, Ok(())) => {
                let ledger = self.machine.ledger();
                let verdict = ledger.lookup(SystemTime::now(), &key, digest);
                let verdict = verdict.as_ref().map(proto::Verdict::from);
                answer(reply, Body::LookedUp(proto::LookedUp { verdict }));
            }
            (Request::Version(reply), Ok(())) => {
                let body = match self.machine.declaration() {
                    Some(it) => Body::Answer((&Answer::Declared(it.version)).into()),
                    None => Body::Done(proto::Done {}),
                };
                answer(reply, body);
            }
            (Request::Propose(reply) | Request::Done(reply), Ok(())) => {
                answer(reply, Body::Done(proto::Done {}));
            }
        }
    }

    fn commit(&mut self, entries: &[Arc<Entry>]) {
        for entry in entries {
            self.bytes_since_snapshot += entry.bytes();
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

    fn answer_accepted(&mut self, entry: &Entry, result: &Answer) {
        let Some((term, reply)) = self.accepted.swap_remove(&entry.index) else {
            return;
        };
        let body = if term == entry.term {
            proto::message::Body::Answer(result.into())
        } else {
            outcome::unsure()
        };
        answer(reply, body);
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        match control::decode_machine(self.settings.limits, &snapshot.data) {
            Ok(machine) => self.machine = machine,
            // It arrived complete from the leader, so this version cannot read its format.
            Err(error) => panic!("snapshot {}: {error}", snapshot.index),
        }
        self.snapshot_index = snapshot.index;
        self.bytes_since_snapshot = 0;
        self.feeder.require_snapshot();
        log::info!("CP0406 snapshot {} installed", snapshot.index);
    }

    fn send(&self, message: Message) {
        let to = message.to;
        let message = message.into();
        if self.outgoing.try_send(Outgoing { to, message }).is_err() {
            self.metrics.dropped_messages.inc();
        }
    }

    /// Records the new role; after a leader steps down, the outcome of its proposals is unknown.
    fn on_standing_changed(&mut self, standing: Standing) {
        log::info!(
            "CP0401 {:?} in term {}, leader {:016x?}",
            standing.role,
            standing.term,
            standing.leader
        );
        self.metrics
            .leads
            .set((standing.role == RaftRole::Leader).into());
        if standing.role != RaftRole::Leader {
            for (_, (_, reply)) in self.accepted.drain(..) {
                answer(reply, outcome::unsure());
            }
        }
    }

    /// Proposes the change of voters that is due, if any.
    fn change_voters(&mut self) -> Result<(), JournalError> {
        let now = clock::now();
        if now < self.next_voter_check {
            return Ok(());
        }
        self.next_voter_check = now + VOTER_CHECK_INTERVAL;
        self.observe_seats(now);
        let Some(change) = self.node.due_change(now) else {
            return Ok(());
        };
        self.log_change(now, change);
        let event = match change {
            Change::Replace(Replacement { old, new }, _) => {
                let token = self.next_token;
                self.next_token += 1;
                Event::Replace { token, old, new }
            }
            Change::Resize(resize) => Event::Resize(resize),
        };
        let effects = self.step(event);
        self.persist(&effects)?;
        for effect in effects {
            self.carry_out(effect);
        }
        Ok(())
    }

    fn log_change(&self, now: Instant, change: Change) {
        let what = match change {
            Change::Replace(Replacement { old, new }, Reason::Lost) => {
                format!("replica {old:016x} is lost: making {new:016x} a voter in its place")
            }
            Change::Replace(Replacement { old, new }, Reason::Crowded) => format!(
                "replica {old:016x} shares its failure domain with other voters: making \
                 {new:016x} a voter in its place"
            ),
            Change::Resize(Resize::Add(new)) => {
                format!("too few voters: making {new:016x} another one")
            }
            Change::Resize(Resize::Remove(old)) => {
                format!("too many voters: removing {old:016x}")
            }
        };
        let seats = self.node.seats(now).unwrap_or_default();
        log::warn!(
            event = "CP0410", voters = seats.voters, silent = seats.silent,
            ready_learners = seats.ready_learners;
            "{what}"
        );
    }

    /// Updates the metrics of the voters, and reports a replacement that takes long, once.
    fn observe_seats(&mut self, now: Instant) {
        let seats = self.node.seats(now).unwrap_or_default();
        self.metrics.voters.set(gauge(seats.voters as u64));
        self.metrics.silent_voters.set(gauge(seats.silent as u64));
        self.metrics
            .ready_learners
            .set(gauge(seats.ready_learners as u64));
        let age = seats.pending.map_or(Duration::ZERO, |it| it.age);
        self.metrics
            .replacement_age
            .set(i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        let Some(pending) = seats.pending else {
            self.reported = None;
            return;
        };
        let replacement = pending.replacement;
        if age < SLOW_REPLACEMENT || self.reported == Some(replacement) {
            return;
        }
        self.reported = Some(replacement);
        log::warn!(
            event = "CP0415", voters = seats.voters, silent = seats.silent,
            ready_learners = seats.ready_learners, lag = pending.lag,
            age_ms = millis(age), new_silent_ms = millis(pending.silence);
            "replacing {:016x} by {:016x} takes long", replacement.old, replacement.new
        );
    }

    fn snapshot_if_due(&mut self) -> Result<(), JournalError> {
        let index = self.machine.index();
        let entries = index - self.snapshot_index;
        if entries < self.settings.snapshot_entries
            && self.bytes_since_snapshot < self.settings.snapshot_bytes
        {
            return Ok(());
        }
        let data = Arc::from(control::encode_machine(&self.machine));
        self.snapshot_index = index;
        self.bytes_since_snapshot = 0;
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
                RaftRole::Leader => Role::Leader,
                RaftRole::Follower | RaftRole::Candidate => Role::Follower,
                RaftRole::Learner => Role::Learner,
            },
            term: standing.term,
            leader: standing.leader,
            voters: self.node.voters().ids().to_vec(),
            last: self.node.last(),
            commit: self.node.commit(),
            duties: true,
            lease: self.machine.lease().cloned(),
            fixed: self.machine.usage().windows().last().map(|it| it.number),
        }
    }

    fn update_metrics(&self) {
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

/// Sends an answer; the caller may have stopped waiting, so a closed channel is ignored.
fn answer(reply: Reply, body: proto::message::Body) {
    drop(reply.send(body));
}
