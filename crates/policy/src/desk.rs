//! The asking side of arbitration: what this daemon waits for and holds.
//!
//! One desk per service shard. It asks the first daemon of the rendezvous
//! order, falls to the next one when asks are not acknowledged, and tells each
//! new arbiter what it holds before it asks again, so that a request in flight
//! never notices a move. Grants of another arbiter or an older epoch are
//! refused and given back. Every ask ends: with a slot, or at once with a
//! refusal when its deadline passes or no arbiter can be reached.

mod patience;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    arbiter::{
        Ask, Asked, Beat, End, Hold, Progress, Recital, Refusal, Reply, Request, Sample, Ticket,
        message::ticket_hash,
    },
    crash::{Mark, Overlay, Step, Table},
    id::{Epoch, InstanceId, RunnerId},
};
use patience::Patience;

/// Bounds and times of a desk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Most requests that wait.
    pub max_waiting: usize,
    /// Time between heartbeats.
    pub beat: Duration,
    /// Time without a word from the arbiter after which the next one is asked, while
    /// its answers come fast.
    pub patience: Duration,
    /// The same at most, however slow its answers have become.
    pub max_patience: Duration,
    /// Daemons asked before a request is given up as unreachable.
    pub max_ranks: usize,
    /// When to come back after that.
    pub retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_waiting: 16_384,
            beat: Duration::from_millis(500),
            patience: Duration::from_millis(200),
            // Half of what plain calls have in all, so that another can still serve.
            max_patience: Duration::from_millis(750),
            max_ranks: 3,
            retry_after: Duration::from_secs(1),
        }
    }
}

/// What a desk takes in.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request needs a slot.
    Take {
        /// What it needs, with a ticket that was not used before.
        ask: Ask,
        /// When it is of no use any more.
        deadline: Instant,
    },
    /// A request needs its slot no more.
    Cancel(Ticket),
    /// The answer on a slot has begun.
    Begun(Ticket),
    /// A slot is given back.
    Release(Ticket, Sample),
    /// What the running streams see, for the next heartbeat.
    Progress(Vec<Progress>),
    /// A message of an arbiter.
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

/// What should happen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Say this to a daemon.
    Send(InstanceId, Asked),
    /// The request may run.
    Granted {
        /// The request.
        ticket: Ticket,
        /// Runner to use.
        runner: RunnerId,
        /// Whether it must be the only one there.
        alone: bool,
        /// Address of the runner, as the arbiter knows it.
        address: Option<SocketAddr>,
        /// Time that it waited.
        waited: Duration,
    },
    /// The request is given up.
    Refused(Ticket, Refusal),
    /// The slot is wanted back.
    Preempted(Ticket),
    /// Propose this mark to the control log.
    Mark(Step),
}

#[derive(Debug)]
struct Waiting {
    ask: Ask,
    since: Instant,
    deadline: Instant,
    asked: Instant,
    acknowledged: bool,
}

/// What a grant says beside its ticket.
struct Granted {
    runner: RunnerId,
    alone: bool,
    address: Option<SocketAddr>,
}

#[derive(Debug)]
struct Held {
    ask: Ask,
    runner: RunnerId,
    alone: bool,
    since: Instant,
}

/// Waiting and held tickets of one shard.
#[derive(Debug)]
pub struct Desk {
    settings: Settings,
    ranks: Vec<InstanceId>,
    /// Place in the order of the daemon that is asked.
    rank: usize,
    /// Moves in a row without a word from anyone.
    fruitless: usize,
    epoch: Epoch,
    seen: Epoch,
    waiting: IndexMap<Ticket, Waiting>,
    held: IndexMap<Ticket, Held>,
    digest: u64,
    marks: Overlay,
    progress: Vec<Progress>,
    beaten: Instant,
    patience: Patience,
    /// When the arbiter was last heard, or began to be asked.
    heard: Instant,
}

impl Desk {
    /// A desk without work.
    #[must_use]
    pub fn new(now: Instant, settings: Settings) -> Self {
        Self {
            settings,
            ranks: Vec::new(),
            rank: 0,
            fruitless: 0,
            epoch: 0,
            seen: 0,
            waiting: IndexMap::new(),
            held: IndexMap::new(),
            digest: 0,
            marks: Overlay::default(),
            progress: Vec::new(),
            beaten: now,
            patience: Patience::default(),
            heard: now,
        }
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Slots in use.
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
    pub fn is_beat_due(&self, now: Instant) -> bool {
        let idle = self.waiting.is_empty() && self.held.is_empty();
        !idle && now.saturating_duration_since(self.beaten) >= self.settings.beat
    }

    /// Marks that the control log has not confirmed.
    #[must_use]
    pub fn unconfirmed(&self) -> Vec<Step> {
        self.marks.unconfirmed()
    }

    /// Takes in an event and says what should happen.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Take { ask, deadline } => self.on_take(now, ask, deadline, &mut effects),
            Event::Cancel(ticket) => self.on_cancel(ticket, &mut effects),
            Event::Begun(ticket) => {
                if self.held.contains_key(&ticket) {
                    self.send(Request::Begun(ticket), &mut effects);
                }
            }
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

    fn on_take(
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
        if self.waiting.is_empty() && self.held.is_empty() {
            self.heard = now;
        }
        let waiting = Waiting {
            since: now.checked_sub(ask.waited).unwrap_or(now),
            ask,
            deadline,
            asked: now,
            acknowledged: false,
        };
        self.digest ^= ticket_hash(ticket);
        self.waiting.insert(ticket, waiting);
        self.send_ask(now, ticket, effects);
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
        match sample.end {
            End::Broken => self.on_broken(&held, effects),
            End::Done => self.on_done(&held, effects),
            End::Cancelled | End::Refused | End::Late | End::Preempted => {}
        }
        self.send(Request::Release(ticket, sample), effects);
    }

    /// Marks a request whose runner's connection broke.
    ///
    /// Others that ran there are marked as their own connections break: a runner
    /// that dies breaks all it has, and one lost answer is no death.
    fn on_broken(&mut self, held: &Held, effects: &mut Vec<Effect>) {
        let fingerprint = held.ask.fingerprint;
        if held.alone {
            self.mark(Step::Quarantined(fingerprint), effects);
        } else if fingerprint != 0 && self.marks.get(fingerprint).is_none() {
            self.mark(Step::Suspected(vec![fingerprint]), effects);
        }
    }

    fn on_done(&mut self, held: &Held, effects: &mut Vec<Effect>) {
        let fingerprint = held.ask.fingerprint;
        if self.marks.get(fingerprint) == Some(Mark::Suspected) {
            self.mark(Step::Cleared(fingerprint), effects);
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
        self.seen = self.seen.max(epoch);
        if let Reply::Mark(step) = &reply {
            self.marks.apply(step);
        }
        let decides = matches!(
            reply,
            Reply::Queued(_) | Reply::Grant { .. } | Reply::Refused(..) | Reply::Preempt(_)
        );
        if self.arbiter() != Some(from) || (decides && epoch < self.epoch) {
            self.on_stray(now, from, &reply, effects);
            return;
        }
        self.epoch = self.epoch.max(epoch);
        self.heard = now;
        if decides || reply == Reply::Beat {
            self.fruitless = 0;
        }
        self.time_answer(now, &reply);
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
            } => {
                let granted = Granted {
                    runner,
                    alone,
                    address,
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
            Reply::Recite => self.recite(now, from, true, effects),
            Reply::Unknown(tickets) => {
                for ticket in tickets {
                    self.send_ask(now, ticket, effects);
                }
            }
            Reply::Beat | Reply::Mark(_) => {}
            Reply::Moved { to } => self.on_moved(now, to, effects),
        }
    }

    /// Notes how long the first word about an ask took.
    fn time_answer(&mut self, now: Instant, reply: &Reply) {
        let (Reply::Queued(ticket) | Reply::Grant { ticket, .. } | Reply::Refused(ticket, _)) =
            reply
        else {
            return;
        };
        let waiting = self.waiting.get(ticket).filter(|it| !it.acknowledged);
        if let Some(waiting) = waiting {
            let took = now.saturating_duration_since(waiting.asked);
            self.patience.add(took);
        }
    }

    /// Follows the hint of a daemon that is not the arbiter.
    fn on_moved(&mut self, now: Instant, to: Option<InstanceId>, effects: &mut Vec<Effect>) {
        if self.fruitless >= self.settings.max_ranks {
            return;
        }
        self.fruitless += 1;
        let known = self.ranks.iter().position(|it| Some(it) == to.as_ref());
        let rank = match (known, to) {
            (Some(rank), _) => rank,
            (None, Some(to)) => {
                self.ranks.insert(0, to);
                0
            }
            (None, None) => (self.rank + 1) % self.ranks.len().max(1),
        };
        self.move_to(now, rank, effects);
    }

    /// A message of another daemon than the one asked, or of an older epoch.
    fn on_stray(
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
            Reply::Recite => {
                let asked = self.arbiter() == Some(from);
                self.recite(now, from, asked, effects);
            }
            // The first of the order answers again.
            Reply::Beat if self.ranks.first() == Some(from) => self.move_to(now, 0, effects),
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
        } = granted;
        let held = Held {
            ask: waiting.ask,
            runner: runner.clone(),
            alone,
            since: now,
        };
        self.held.insert(ticket, held);
        effects.push(Effect::Granted {
            ticket,
            runner,
            alone,
            address,
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
            // Another daemon joined or left behind the one that is asked.
            Some(rank) if rank == 0 || same_first => self.rank = rank,
            _ => self.move_to(now, 0, effects),
        }
    }

    fn on_tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.refuse_expired(now, effects);
        let silent = now.saturating_duration_since(self.heard);
        if self.is_unheard(now) || (!self.waiting.is_empty() && silent > self.settings.beat * 3) {
            self.move_on(now, effects);
        }
        if self.is_beat_due(now) {
            self.beat(now, effects);
        }
    }

    /// Whether an ask was not acknowledged in time, and nothing else was heard.
    fn is_unheard(&self, now: Instant) -> bool {
        let Settings {
            patience: least,
            max_patience: most,
            ..
        } = self.settings;
        let patience = self.patience.bound(least, most);
        let mut unheard = self.waiting.values().filter(|it| !it.acknowledged);
        unheard
            .any(|it| now.saturating_duration_since(it.asked) >= patience && self.heard <= it.asked)
    }

    fn refuse_expired(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let expired = self.waiting.iter().filter(|(_, it)| it.deadline <= now);
        let expired: Vec<Ticket> = expired.map(|(ticket, _)| *ticket).collect();
        for ticket in expired {
            self.on_cancel(ticket, effects);
            effects.push(Effect::Refused(ticket, Refusal::Late));
        }
    }

    fn beat(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.beaten = now;
        let count = self.waiting.len() + self.held.len();
        let beat = Beat {
            count: u32::try_from(count).unwrap_or(u32::MAX),
            digest: self.digest,
            progress: std::mem::take(&mut self.progress),
        };
        self.send(Request::Beat(beat), effects);
        if self.rank > 0
            && let Some(first) = self.ranks.first().cloned()
        {
            // Learns whether the first of the order answers again.
            self.send_to(&first, Request::Beat(Beat::default()), effects);
        }
    }

    /// Asks the next daemon of the order; gives up when enough were asked.
    fn move_on(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.fruitless += 1;
        let most = self.settings.max_ranks.min(self.ranks.len()).max(1);
        if self.fruitless >= most {
            self.refuse_all(effects);
            self.fruitless = 0;
        }
        self.move_to(now, (self.rank + 1) % most, effects);
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

    /// Turns to another daemon: tells what is held, then asks for what waits.
    fn move_to(&mut self, now: Instant, rank: usize, effects: &mut Vec<Effect>) {
        self.rank = rank;
        self.epoch = self.seen + 1;
        self.heard = now;
        let Some(arbiter) = self.arbiter().cloned() else {
            self.refuse_all(effects);
            return;
        };
        if self.waiting.is_empty() && self.held.is_empty() {
            return;
        }
        self.recite(now, &arbiter, false, effects);
        let tickets: Vec<Ticket> = self.waiting.keys().copied().collect();
        for ticket in tickets {
            self.send_ask(now, ticket, effects);
        }
    }

    /// Lists what is held, and what waits if the receiver is the one asked.
    fn recite(&self, now: Instant, to: &InstanceId, asked: bool, effects: &mut Vec<Effect>) {
        let hold = |held: &Held| Hold {
            ask: held.ask.clone(),
            runner: held.runner.clone(),
            alone: held.alone,
            age: now.saturating_duration_since(held.since),
        };
        let mut recital = Recital {
            held: self.held.values().map(hold).collect(),
            ..Recital::default()
        };
        if asked {
            recital.waiting = self.waiting.keys().copied().collect();
        }
        for step in self.marks.unconfirmed() {
            match step {
                Step::Suspected(all) => recital.suspected.extend(all),
                Step::Quarantined(it) => recital.quarantined.push(it),
                Step::Cleared(_) => {}
            }
        }
        self.send_to(to, Request::Recital(recital), effects);
    }

    fn send_ask(&mut self, now: Instant, ticket: Ticket, effects: &mut Vec<Effect>) {
        let Some(waiting) = self.waiting.get_mut(&ticket) else {
            return;
        };
        waiting.asked = now;
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
            least: self.epoch,
            fallback: self.rank > 0 && self.arbiter() == Some(to),
            request,
        };
        effects.push(Effect::Send(to.clone(), asked));
    }
}
