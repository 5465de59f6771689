//! Client side of slot arbitration: the slots that this daemon requests and holds.
//!
//! There is one requester per service shard. It asks the first daemon of the
//! rendezvous order and fails over to the next one when asks are not acknowledged.
//! It tells each new arbiter what it holds before it asks again, so that a move does
//! not affect requests in flight. Grants of another arbiter or an older epoch are
//! not used but released. Every ask ends: with a slot, or with a refusal as soon as
//! its deadline passes or no arbiter can be reached.

mod timeout;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    arbiter::{
        Ask, Asked, End, Heartbeat, Hold, Inventory, MAX_RUNNERS, Progress, Rate, Refusal, Reply,
        Request, Sample, Ticket, message::ticket_hash,
    },
    crash::{InFlight, Mark, Overlay, Step, Table},
    id::{BuildId, Epoch, InstanceId, RunnerId},
    stream::{self, Origin, Records},
};
use timeout::Estimator;

/// Bounds and times of a requester.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Most waiting requests.
    pub max_waiting: usize,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Lower bound of the time without an answer from the arbiter after which the next
    /// daemon is asked; applies while answers are fast.
    pub min_timeout: Duration,
    /// Upper bound of that time, however slow the answers have become.
    pub max_timeout: Duration,
    /// Daemons asked before a request is refused as unreachable.
    pub max_daemons: usize,
    /// Retry delay returned with that refusal.
    pub retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_waiting: 16_384,
            heartbeat_interval: Duration::from_millis(500),
            min_timeout: Duration::from_millis(200),
            // Half the total time of a plain call, so that another arbiter can still serve it.
            max_timeout: Duration::from_millis(750),
            max_daemons: 3,
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Time for which the limit of a runner is told to a new arbiter: some intervals of a
/// runner that takes one request per second from a dozen daemons.
const LIMIT_MEMORY: Duration = Duration::from_secs(30);

/// Time between two messages that say the same of a brittle runner.
const BRITTLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a new arbiter is told of a brittle runner.
const BRITTLE_MEMORY: Duration = Duration::from_secs(5);

/// Input of a requester.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request needs a slot.
    Acquire {
        /// What it needs, with an unused ticket.
        ask: Ask,
        /// Time from which an answer is useless.
        deadline: Instant,
    },
    /// A request no longer needs its slot.
    Cancel(Ticket),
    /// The answer on a slot has started.
    Begun(Ticket),
    /// The answer on a slot names a limit of its runner, in requests per second.
    Limit(Ticket, f64),
    /// The answer on a slot says how many requests in a second its runner can turn away.
    Brittle(Ticket, u32),
    /// A slot is released.
    Release(Ticket, Sample),
    /// Observations of the running streams, for the next heartbeat.
    Progress(Vec<Progress>),
    /// A message from an arbiter.
    Reply {
        /// Who sent it.
        from: InstanceId,
        /// Its epoch.
        epoch: Epoch,
        /// The message.
        reply: Reply,
    },
    /// The rendezvous order of the shard.
    Ranks(Vec<InstanceId>),
    /// The committed crash marks.
    Marks(Arc<Table>),
    /// Time has passed; expected about every 100 ms.
    Tick,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send this to a daemon.
    Send(InstanceId, Asked),
    /// The request may run.
    Granted {
        /// The request.
        ticket: Ticket,
        /// Runner to use.
        runner: RunnerId,
        /// Whether it must be the only one there.
        alone: bool,
        /// Address of the runner, if the arbiter knows it.
        address: Option<SocketAddr>,
        /// Version of the runner's software.
        build: BuildId,
        /// Time for which the request waited.
        waited: Duration,
    },
    /// The request is refused.
    Refused(Ticket, Refusal),
    /// The arbiter wants the slot back.
    Preempted(Ticket),
    /// Propose this mark to the control log.
    Mark(Step),
}

#[derive(Debug)]
struct Waiting {
    ask: Ask,
    since: Instant,
    deadline: Instant,
    asked_at: Instant,
    acknowledged: bool,
}

/// Contents of a grant besides its ticket.
struct Granted {
    runner: RunnerId,
    alone: bool,
    address: Option<SocketAddr>,
    build: BuildId,
}

#[derive(Debug)]
struct Held {
    ask: Ask,
    runner: RunnerId,
    /// Version of the runner's software.
    build: BuildId,
    alone: bool,
    since: Instant,
    /// Whether it was exposed to a crash when it was granted.
    exposed: bool,
}

/// A limit that a runner named in an answer.
#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: Rate,
    heard_at: Instant,
}

/// What a runner said of the requests that it can turn away.
#[derive(Clone, Copy, Debug)]
struct Brittle {
    most: u32,
    told_at: Instant,
}

/// Waiting and held tickets of one shard.
#[derive(Debug)]
pub struct Requester {
    settings: Settings,
    ranks: Vec<InstanceId>,
    /// Index in `ranks` of the daemon that is asked.
    rank: usize,
    /// Consecutive moves without an answer from any daemon.
    moves_without_answer: usize,
    /// Lowest epoch whose grants are accepted.
    min_epoch: Epoch,
    /// Highest epoch seen in any reply.
    highest_epoch: Epoch,
    waiting: IndexMap<Ticket, Waiting>,
    held: IndexMap<Ticket, Held>,
    /// Exclusive or of the mixed ticket numbers.
    digest: u64,
    marks: Overlay,
    /// Builds that began streams here.
    streams: Records,
    /// Builds that began streams elsewhere, kept for arbiters.
    copies: Records,
    /// Limits of runners, the newest last.
    limits: IndexMap<RunnerId, Limit>,
    /// Runners that said that they are brittle, the newest last.
    brittle: IndexMap<RunnerId, Brittle>,
    progress: Vec<Progress>,
    last_heartbeat: Instant,
    estimator: Estimator,
    /// When the arbiter last answered, or was first asked.
    last_heard: Instant,
    /// Whether the daemon that is asked was not told yet what is known here, as there was
    /// nothing to ask of it.
    untold: bool,
}

impl Requester {
    /// A requester without waiting or held tickets.
    #[must_use]
    pub fn new(now: Instant, settings: Settings) -> Self {
        Self {
            settings,
            ranks: Vec::new(),
            rank: 0,
            moves_without_answer: 0,
            min_epoch: 0,
            highest_epoch: 0,
            waiting: IndexMap::new(),
            held: IndexMap::new(),
            digest: 0,
            marks: Overlay::default(),
            streams: Records::default(),
            copies: Records::default(),
            limits: IndexMap::new(),
            brittle: IndexMap::new(),
            progress: Vec::new(),
            last_heartbeat: now,
            estimator: Estimator::default(),
            last_heard: now,
            untold: false,
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of slots in use.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// The daemon that is asked.
    #[must_use]
    pub fn arbiter(&self) -> Option<&InstanceId> {
        self.ranks.get(self.rank)
    }

    /// Whether the next tick sends a heartbeat.
    #[must_use]
    pub fn is_heartbeat_due(&self, now: Instant) -> bool {
        let idle = self.waiting.is_empty() && self.held.is_empty();
        !idle
            && now.saturating_duration_since(self.last_heartbeat)
                >= self.settings.heartbeat_interval
    }

    /// Marks that the control log has not confirmed.
    #[must_use]
    pub fn unconfirmed(&self) -> Vec<Step> {
        self.marks.unconfirmed()
    }

    /// Handles an event; returns the actions to carry out.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Acquire { ask, deadline } => self.on_acquire(now, ask, deadline, &mut effects),
            Event::Cancel(ticket) => self.on_cancel(ticket, &mut effects),
            Event::Begun(ticket) => {
                if let Some(held) = self.held.get(&ticket) {
                    if let Some(stream) = &held.ask.stream {
                        for id in [stream.id, stream::unnamed(held.ask.fingerprint)] {
                            self.streams.insert(now, id, &held.build, stream.life);
                        }
                    }
                    self.send(Request::Begun(ticket), &mut effects);
                }
            }
            Event::Limit(ticket, named) => self.on_limit(now, ticket, named, &mut effects),
            Event::Brittle(ticket, most) => self.on_brittle(now, ticket, most, &mut effects),
            Event::Release(ticket, sample) => self.on_release(ticket, sample, &mut effects),
            Event::Progress(progress) => self.progress = progress,
            Event::Reply { from, epoch, reply } => {
                self.on_reply(now, &from, epoch, reply, &mut effects);
            }
            Event::Ranks(ranks) => self.on_ranks(now, ranks, &mut effects),
            Event::Marks(table) => self.marks.commit(table),
            Event::Tick => self.on_tick(now, &mut effects),
        }
        effects
    }

    fn on_acquire(
        &mut self,
        now: Instant,
        mut ask: Ask,
        deadline: Instant,
        effects: &mut Vec<Effect>,
    ) {
        let ticket = ask.ticket;
        if let Some(refusal) = self.refusal(now, &ask, deadline) {
            effects.push(Effect::Refused(ticket, refusal));
            return;
        }
        ask.suspected = self.marks.get(ask.fingerprint) == Some(Mark::Suspected);
        self.name_build(now, &mut ask);
        if self.waiting.is_empty() && self.held.is_empty() {
            self.last_heard = now;
        }
        let waiting = Waiting {
            since: now.checked_sub(ask.waited).unwrap_or(now),
            ask,
            deadline,
            asked_at: now,
            acknowledged: false,
        };
        if std::mem::take(&mut self.untold)
            && let Some(arbiter) = self.arbiter().cloned()
        {
            let inventory = self.inventory(now, false);
            if inventory != Inventory::default() {
                self.send_to(&arbiter, Request::Inventory(inventory), effects);
            }
        }
        self.digest ^= ticket_hash(ticket);
        self.waiting.insert(ticket, waiting);
        self.send_ask(now, ticket, effects);
    }

    /// Tells the build that began the stream of an ask, if it is known here.
    ///
    /// If the caller does not name the stream, an equal request may have begun at another
    /// build elsewhere.
    fn name_build(&self, now: Instant, ask: &mut Ask) {
        let unnamed = stream::unnamed(ask.fingerprint);
        let Some(stream) = ask.stream.as_mut().filter(|it| it.id != unnamed) else {
            return;
        };
        let known = || {
            let here = self.streams.get(now, stream.id);
            here.or_else(|| self.copies.get(now, stream.id))
        };
        if matches!(stream.origin, Origin::Unknown | Origin::Recorded)
            && let Some(build) = known()
        {
            stream.origin = Origin::Build(build.to_string());
        }
    }

    fn refusal(&self, now: Instant, ask: &Ask, deadline: Instant) -> Option<Refusal> {
        let retry_after = self.settings.retry_after;
        if self.marks.get(ask.fingerprint) == Some(Mark::Quarantined) {
            Some(Refusal::Quarantined)
        } else if deadline <= now {
            Some(Refusal::Late)
        } else if self.ranks.is_empty() {
            Some(Refusal::Unreachable { retry_after })
        } else if self.waiting.len() >= self.settings.max_waiting {
            Some(Refusal::Shed { retry_after })
        } else {
            None
        }
    }

    fn on_cancel(&mut self, ticket: Ticket, effects: &mut Vec<Effect>) {
        if self.waiting.swap_remove(&ticket).is_some() {
            self.digest ^= ticket_hash(ticket);
            self.send(Request::Withdraw(ticket), effects);
        } else {
            self.on_release(ticket, Sample::unused(), effects);
        }
    }

    fn on_release(&mut self, ticket: Ticket, sample: Sample, effects: &mut Vec<Effect>) {
        let Some(held) = self.held.swap_remove(&ticket) else {
            return;
        };
        self.digest ^= ticket_hash(ticket);
        if sample.unlimited
            && let Some(limit) = self.limits.get(&held.runner)
            && limit.heard_at < held.since
        {
            self.limits.shift_remove(&held.runner);
        }
        match sample.end {
            End::Broken => self.on_broken(&held, effects),
            End::Done => self.on_done(&held, effects),
            End::Cancelled | End::Refused | End::Unreachable | End::Late | End::Preempted => {}
        }
        self.send(Request::Release(ticket, sample), effects);
    }

    /// Tells the arbiter the limit that a runner names, and remembers it for the next one.
    fn on_limit(&mut self, now: Instant, ticket: Ticket, named: f64, effects: &mut Vec<Effect>) {
        let Some(held) = self.held.get(&ticket) else {
            return;
        };
        let runner = held.runner.clone();
        let known = self.limits.shift_remove(&runner).map(|it| it.rate);
        let rate = Rate::from_per_second(named).or(known);
        let rate = rate.unwrap_or(Rate::UNREADABLE);
        if self.limits.len() >= MAX_RUNNERS {
            self.limits.shift_remove_index(0);
        }
        let limit = Limit {
            rate,
            heard_at: now,
        };
        self.limits.insert(runner.clone(), limit);
        self.send(Request::Limit(runner, rate), effects);
    }

    /// Tells the arbiter that a runner says that it is brittle; if nothing changed, once
    /// per interval.
    fn on_brittle(&mut self, now: Instant, ticket: Ticket, most: u32, effects: &mut Vec<Effect>) {
        let Some(held) = self.held.get(&ticket) else {
            return;
        };
        let runner = held.runner.clone();
        let is_told = |it: &Brittle| {
            it.most == most && now.saturating_duration_since(it.told_at) < BRITTLE_INTERVAL
        };
        if self.brittle.get(&runner).is_some_and(is_told) {
            return;
        }
        self.brittle.shift_remove(&runner);
        if self.brittle.len() >= MAX_RUNNERS {
            self.brittle.shift_remove_index(0);
        }
        let told = Brittle { most, told_at: now };
        self.brittle.insert(runner.clone(), told);
        self.send(Request::Brittle(runner, most), effects);
    }

    /// Exposes or marks a request whose runner's connection broke.
    ///
    /// Other requests on that runner are affected only if their own connections break: a
    /// runner that dies breaks all of them, and one lost answer does not prove a death.
    fn on_broken(&mut self, held: &Held, effects: &mut Vec<Effect>) {
        let fingerprint = held.ask.fingerprint;
        let mut others = self.held.values();
        let in_flight = InFlight {
            fingerprint,
            alone: held.alone,
            exposed: held.exposed,
            has_copy: others
                .any(|it| it.ask.fingerprint == fingerprint && it.runner != held.runner),
        };
        if let Some(step) = self.marks.on_crash(in_flight) {
            self.mark(step, effects);
        }
    }

    fn on_done(&mut self, held: &Held, effects: &mut Vec<Effect>) {
        if let Some(step) = self.marks.on_innocent(held.ask.fingerprint) {
            self.mark(step, effects);
        }
    }

    fn mark(&mut self, step: Step, effects: &mut Vec<Effect>) {
        self.marks.apply(&step);
        effects.push(Effect::Mark(step));
    }

    fn on_reply(
        &mut self,
        now: Instant,
        from: &InstanceId,
        epoch: Epoch,
        reply: Reply,
        effects: &mut Vec<Effect>,
    ) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        match &reply {
            Reply::Mark(step) => {
                // The arbiter sees the other requests too, so its word overrides a
                // quarantine that was only concluded here.
                if let Step::Cleared(it) = step {
                    self.marks.lift(*it);
                }
                self.marks.apply(step);
            }
            // Copies come from an arbiter that need not be the one asked.
            Reply::Streams(groups) => return self.copies.extend(now, groups),
            // So do searches: what is known here does not depend on whom it asks.
            Reply::FindStreams { search, streams } => {
                let mut groups = self.streams.groups_of(now, streams.iter().copied());
                groups.extend(self.copies.groups_of(now, streams.iter().copied()));
                return self.send_to(from, Request::Found(*search, groups), effects);
            }
            _ => {}
        }
        let is_decision = matches!(
            reply,
            Reply::Queued(_) | Reply::Grant { .. } | Reply::Refused(..) | Reply::Preempt(_)
        );
        if self.arbiter() != Some(from) || (is_decision && epoch < self.min_epoch) {
            self.on_unexpected_reply(now, from, &reply, effects);
            return;
        }
        self.min_epoch = self.min_epoch.max(epoch);
        self.last_heard = now;
        if is_decision || reply == Reply::Ack {
            self.moves_without_answer = 0;
        }
        self.record_answer_time(now, &reply);
        match reply {
            Reply::Queued(ticket) => {
                if let Some(waiting) = self.waiting.get_mut(&ticket) {
                    waiting.acknowledged = true;
                }
            }
            Reply::Grant {
                ticket,
                runner,
                alone,
                address,
                build,
            } => {
                let granted = Granted {
                    runner,
                    alone,
                    address,
                    build,
                };
                self.on_grant(now, from, ticket, granted, effects);
            }
            Reply::Refused(ticket, refusal) => {
                if self.waiting.swap_remove(&ticket).is_some() {
                    self.digest ^= ticket_hash(ticket);
                    effects.push(Effect::Refused(ticket, refusal));
                }
            }
            Reply::Preempt(ticket) => {
                if self.held.contains_key(&ticket) {
                    effects.push(Effect::Preempted(ticket));
                }
            }
            Reply::RequestInventory => {
                self.untold = false;
                self.send_inventory(now, from, true, effects);
            }
            Reply::Unknown(tickets) => {
                for ticket in tickets {
                    self.send_ask(now, ticket, effects);
                }
            }
            Reply::Ack | Reply::Mark(_) | Reply::Streams(_) | Reply::FindStreams { .. } => {}
            Reply::Moved { to } => self.on_moved(now, to, effects),
        }
    }

    /// Records the time from an ask to the first reply about it.
    fn record_answer_time(&mut self, now: Instant, reply: &Reply) {
        let (Reply::Queued(ticket) | Reply::Grant { ticket, .. } | Reply::Refused(ticket, _)) =
            reply
        else {
            return;
        };
        let waiting = self.waiting.get(ticket).filter(|it| !it.acknowledged);
        if let Some(waiting) = waiting {
            let took = now.saturating_duration_since(waiting.asked_at);
            self.estimator.add(took);
        }
    }

    /// Follows the hint from a daemon that is not the arbiter.
    fn on_moved(&mut self, now: Instant, to: Option<InstanceId>, effects: &mut Vec<Effect>) {
        if self.moves_without_answer >= self.settings.max_daemons {
            return;
        }
        self.moves_without_answer += 1;
        let known = self.ranks.iter().position(|it| Some(it) == to.as_ref());
        let rank = match (known, to) {
            (Some(rank), _) => rank,
            (None, Some(to)) => {
                self.ranks.insert(0, to);
                0
            }
            (None, None) => (self.rank + 1) % self.ranks.len().max(1),
        };
        self.switch_to(now, rank, effects);
    }

    /// Handles a reply from a daemon other than the one asked, or of an older epoch.
    fn on_unexpected_reply(
        &mut self,
        now: Instant,
        from: &InstanceId,
        reply: &Reply,
        effects: &mut Vec<Effect>,
    ) {
        match reply {
            Reply::Grant { ticket, .. } => {
                let request = Request::Release(*ticket, Sample::unused());
                self.send_to(from, request, effects);
            }
            Reply::RequestInventory => {
                let to_arbiter = self.arbiter() == Some(from);
                self.send_inventory(now, from, to_arbiter, effects);
            }
            // The first daemon of the order is reachable again.
            Reply::Ack if self.ranks.first() == Some(from) => self.switch_to(now, 0, effects),
            _ => {}
        }
    }

    fn on_grant(
        &mut self,
        now: Instant,
        from: &InstanceId,
        ticket: Ticket,
        granted: Granted,
        effects: &mut Vec<Effect>,
    ) {
        let Some(waiting) = self.waiting.swap_remove(&ticket) else {
            if !self.held.contains_key(&ticket) {
                self.send_to(from, Request::Release(ticket, Sample::unused()), effects);
            }
            return;
        };
        let Granted {
            runner,
            alone,
            address,
            build,
        } = granted;
        let held = Held {
            runner: runner.clone(),
            build: build.clone(),
            alone,
            since: now,
            exposed: self.marks.is_exposed(waiting.ask.fingerprint),
            ask: waiting.ask,
        };
        self.held.insert(ticket, held);
        effects.push(Effect::Granted {
            ticket,
            runner,
            alone,
            address,
            build,
            waited: now.saturating_duration_since(waiting.since),
        });
    }

    fn on_ranks(&mut self, now: Instant, ranks: Vec<InstanceId>, effects: &mut Vec<Effect>) {
        if ranks == self.ranks {
            return;
        }
        let old = self.arbiter().cloned();
        let same_first = ranks.first() == self.ranks.first();
        let kept = ranks.iter().position(|it| Some(it) == old.as_ref());
        self.ranks = ranks;
        match kept {
            // The asked daemon remains the right one: only others joined or left.
            Some(rank) if rank == 0 || same_first => self.rank = rank,
            _ => self.switch_to(now, 0, effects),
        }
    }

    fn on_tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.streams.expire(now);
        self.copies.expire(now);
        self.refuse_expired(now, effects);
        let silent = now.saturating_duration_since(self.last_heard);
        if self.is_answer_overdue(now)
            || (!self.waiting.is_empty() && silent > self.settings.heartbeat_interval * 3)
        {
            self.try_next(now, effects);
        }
        if self.is_heartbeat_due(now) {
            self.send_heartbeat(now, effects);
        }
    }

    /// Whether an ask timed out unacknowledged with no other message since.
    fn is_answer_overdue(&self, now: Instant) -> bool {
        let Settings {
            min_timeout: min,
            max_timeout: max,
            ..
        } = self.settings;
        let timeout = self.estimator.timeout(min, max);
        let mut unacknowledged = self.waiting.values().filter(|it| !it.acknowledged);
        unacknowledged.any(|it| {
            now.saturating_duration_since(it.asked_at) >= timeout && self.last_heard <= it.asked_at
        })
    }

    fn refuse_expired(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let expired = self.waiting.iter().filter(|(_, it)| it.deadline <= now);
        let expired: Vec<Ticket> = expired.map(|(ticket, _)| *ticket).collect();
        for ticket in expired {
            self.on_cancel(ticket, effects);
            effects.push(Effect::Refused(ticket, Refusal::Late));
        }
    }

    fn send_heartbeat(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.last_heartbeat = now;
        let count = self.waiting.len() + self.held.len();
        let heartbeat = Heartbeat {
            count: u32::try_from(count).unwrap_or(u32::MAX),
            digest: self.digest,
            progress: std::mem::take(&mut self.progress),
        };
        self.send(Request::Heartbeat(heartbeat), effects);
        if self.rank > 0
            && let Some(first) = self.ranks.first().cloned()
        {
            // Probes whether the first daemon of the order is reachable again.
            self.send_to(&first, Request::Heartbeat(Heartbeat::default()), effects);
        }
    }

    /// Moves to the next daemon; refuses all waiting requests once enough were asked.
    fn try_next(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.moves_without_answer += 1;
        let most = self.settings.max_daemons.min(self.ranks.len()).max(1);
        if self.moves_without_answer >= most {
            self.refuse_all(effects);
            self.moves_without_answer = 0;
        }
        self.switch_to(now, (self.rank + 1) % most, effects);
    }

    fn refuse_all(&mut self, effects: &mut Vec<Effect>) {
        let retry_after = self.settings.retry_after;
        let tickets: Vec<Ticket> = self.waiting.keys().copied().collect();
        for ticket in tickets {
            self.on_cancel(ticket, effects);
            effects.push(Effect::Refused(
                ticket,
                Refusal::Unreachable { retry_after },
            ));
        }
    }

    /// Switches to another daemon: lists what is held, then asks for what waits.
    fn switch_to(&mut self, now: Instant, rank: usize, effects: &mut Vec<Effect>) {
        self.rank = rank;
        self.min_epoch = self.highest_epoch + 1;
        self.last_heard = now;
        let Some(arbiter) = self.arbiter().cloned() else {
            self.refuse_all(effects);
            return;
        };
        self.untold = self.waiting.is_empty() && self.held.is_empty();
        if self.untold {
            return;
        }
        self.send_inventory(now, &arbiter, false, effects);
        let tickets: Vec<Ticket> = self.waiting.keys().copied().collect();
        for ticket in tickets {
            self.send_ask(now, ticket, effects);
        }
    }

    fn send_inventory(
        &self,
        now: Instant,
        to: &InstanceId,
        to_arbiter: bool,
        effects: &mut Vec<Effect>,
    ) {
        let inventory = self.inventory(now, to_arbiter);
        self.send_to(to, Request::Inventory(inventory), effects);
    }

    /// The list of held slots, and of waiting tickets if `to_arbiter`, with what is known
    /// of runners, requests and streams.
    fn inventory(&self, now: Instant, to_arbiter: bool) -> Inventory {
        let hold = |held: &Held| Hold {
            ask: held.ask.clone(),
            runner: held.runner.clone(),
            build: held.build.clone(),
            alone: held.alone,
            age: now.saturating_duration_since(held.since),
        };
        let mut inventory = Inventory {
            held: self.held.values().map(hold).collect(),
            exposed: self.marks.exposed().collect(),
            limits: self.recent_limits(now),
            brittle: self.recent_brittle(now),
            streams: self.streams.groups(now),
            ..Inventory::default()
        };
        if to_arbiter {
            inventory.waiting = self.waiting.keys().copied().collect();
        }
        for step in self.marks.unconfirmed() {
            match step {
                Step::Suspected(all) => inventory.suspected.extend(all),
                Step::Quarantined(it) => inventory.quarantined.push(it),
                Step::Cleared(_) => {}
            }
        }
        inventory
    }

    /// Limits that were named lately; an older one may have ended.
    fn recent_limits(&self, now: Instant) -> Vec<(RunnerId, Rate)> {
        let recent = self
            .limits
            .iter()
            .filter(|(_, it)| now.saturating_duration_since(it.heard_at) <= LIMIT_MEMORY);
        recent
            .map(|(runner, it)| (runner.clone(), it.rate))
            .collect()
    }

    /// Runners that said lately that they are brittle.
    fn recent_brittle(&self, now: Instant) -> Vec<(RunnerId, u32)> {
        let told = self.brittle.iter();
        let recent =
            told.filter(|(_, it)| now.saturating_duration_since(it.told_at) <= BRITTLE_MEMORY);
        recent
            .map(|(runner, it)| (runner.clone(), it.most))
            .collect()
    }

    fn send_ask(&mut self, now: Instant, ticket: Ticket, effects: &mut Vec<Effect>) {
        let Some(waiting) = self.waiting.get_mut(&ticket) else {
            return;
        };
        waiting.asked_at = now;
        waiting.acknowledged = false;
        let mut ask = waiting.ask.clone();
        ask.remaining = waiting.deadline.saturating_duration_since(now);
        ask.waited = now.saturating_duration_since(waiting.since);
        ask.suspected |= self.marks.get(ask.fingerprint) == Some(Mark::Suspected);
        self.send(Request::Ask(ask), effects);
    }

    fn send(&self, request: Request, effects: &mut Vec<Effect>) {
        if let Some(arbiter) = self.arbiter() {
            self.send_to(arbiter, request, effects);
        }
    }

    fn send_to(&self, to: &InstanceId, request: Request, effects: &mut Vec<Effect>) {
        let asked = Asked {
            least: self.min_epoch,
            fallback: self.rank > 0 && self.arbiter() == Some(to),
            request,
        };
        effects.push(Effect::Send(to.clone(), asked));
    }
}
