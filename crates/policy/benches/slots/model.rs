//! Ten runners, eleven daemons and messages of a millisecond, event by event.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    arbiter::{self, Arbiter, Ask, Asked, End, Note, Progress, Refusal, Reply, Sample, Turn},
    catalogue::Catalogue,
    desk::{self, Desk},
    platform::{Runner, Standing},
};
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    arrivals::{Arrival, CLASSES, RUNNERS, SERVICE, SLOTS, TIMEOUT},
    engine::{self, Engine, Step},
};

/// Time of one message between daemons.
const MESSAGE: Duration = Duration::from_millis(1);

/// Time between two load reports of a runner.
const REPORT: Duration = Duration::from_millis(500);

/// Age of what a report tells.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// Time between two ticks of desks and arbiters.
const TICK: Duration = Duration::from_millis(50);

/// Time for which a daemon by itself shuns a runner that broke.
const SHUN: Duration = Duration::from_secs(5);

/// How a runner is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Every daemon for itself, power of two choices on load reports.
    Alone,
    /// Slots granted by an arbiter.
    Slots,
}

/// What goes wrong, from a third of the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// One runner is ten times slower.
    Straggler,
    /// One runner crashes and is back after 30 s.
    Crash,
    /// The arbiter's daemon is lost; its callers go elsewhere.
    ArbiterLost,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrive(usize),
    Iterate(usize),
    Deliver(usize),
    Tick,
    Report,
    Trouble,
    Mend,
    Expire(usize),
    /// A daemon by itself tries again.
    Again(usize),
}

#[derive(Clone, Debug)]
enum Message {
    Asked(usize, usize, Asked),
    Reply(usize, usize, u64, Reply),
}

/// One request on its way.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub sent: Duration,
    pub granted: Option<Duration>,
    pub first: Option<Duration>,
    pub last: Option<Duration>,
    pub done: u32,
    pub refused: bool,
    /// Final, with a time to come back.
    pub refused_after: Option<Duration>,
    runner: Option<usize>,
    ticket: u64,
    on_runner: Duration,
    first_here: Option<Duration>,
    done_here: u32,
    over: bool,
}

/// Work that no caller had use of, in tokens.
#[derive(Clone, Debug, Default)]
pub struct Waste {
    pub abandoned: f64,
    pub preempted: f64,
    pub moved: f64,
    pub crashed: f64,
}

impl Waste {
    pub fn sum(&self) -> f64 {
        self.abandoned + self.preempted + self.moved + self.crashed
    }
}

#[derive(Debug)]
pub struct Model {
    way: Way,
    trouble: Trouble,
    time: Duration,
    start: Instant,
    now: Duration,
    heap: BinaryHeap<Reverse<(Duration, u64, Happening)>>,
    order: u64,
    messages: IndexMap<usize, Message>,
    next_message: usize,
    catalogue: Arc<Catalogue>,
    pub arrivals: Vec<Arrival>,
    pub requests: Vec<Request>,
    engines: Vec<Engine>,
    past: Vec<Vec<(usize, usize)>>,
    reports: Vec<(usize, usize)>,
    // Slots.
    daemons: usize,
    host: usize,
    desks: Vec<Option<Desk>>,
    arbiters: IndexMap<usize, Arbiter>,
    tickets: IndexMap<u64, usize>,
    next_ticket: u64,
    // Every daemon for itself.
    random: StdRng,
    since_report: Vec<Vec<usize>>,
    shunned: Vec<Vec<Duration>>,
    pub waste: Waste,
    pub turns: Vec<(Duration, Turn)>,
    pub preemptions: u32,
    pub floor_grants: u32,
}

impl Model {
    pub fn new(
        way: Way,
        trouble: Trouble,
        time: Duration,
        daemons: usize,
        catalogue: Arc<Catalogue>,
        arrivals: Vec<Arrival>,
    ) -> Self {
        let start = Instant::now();
        let desks = (0..daemons).map(|_| Some(Desk::new(start, desk::Settings::default())));
        let mut model = Self {
            way,
            trouble,
            time,
            start,
            now: Duration::ZERO,
            heap: BinaryHeap::new(),
            order: 0,
            messages: IndexMap::new(),
            next_message: 0,
            catalogue,
            requests: arrivals.iter().map(|_| Request::default()).collect(),
            arrivals,
            engines: (0..RUNNERS).map(|_| Engine::new(SLOTS as usize)).collect(),
            past: Vec::new(),
            reports: vec![(0, 0); RUNNERS],
            daemons,
            host: 0,
            desks: desks.collect(),
            arbiters: IndexMap::new(),
            tickets: IndexMap::new(),
            next_ticket: 1,
            random: StdRng::seed_from_u64(7),
            since_report: vec![vec![0; RUNNERS]; daemons],
            shunned: vec![vec![Duration::ZERO; RUNNERS]; daemons],
            waste: Waste::default(),
            turns: Vec::new(),
            preemptions: 0,
            floor_grants: 0,
        };
        model.tell_ranks();
        model
    }

    /// Runs until everything has ended.
    pub fn run(&mut self) {
        for index in 0..self.arrivals.len() {
            self.at(self.arrivals[index].at, Happening::Arrive(index));
        }
        self.at(TICK, Happening::Tick);
        self.at(REPORT, Happening::Report);
        if self.trouble != Trouble::None {
            self.at(self.time / 3, Happening::Trouble);
        }
        while let Some(Reverse((at, _, happening))) = self.heap.pop() {
            self.now = at;
            self.happen(&happening);
        }
    }

    fn at(&mut self, at: Duration, happening: Happening) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, happening)));
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn ended(&self) -> bool {
        self.now > self.time + TIMEOUT * 2
    }

    fn happen(&mut self, happening: &Happening) {
        match *happening {
            Happening::Arrive(index) => self.arrive(index),
            Happening::Again(index) => self.choose(index),
            Happening::Iterate(runner) => self.iterate(runner),
            Happening::Deliver(message) => self.deliver(message),
            Happening::Tick => {
                self.tick();
                if !self.ended() {
                    self.at(self.now + TICK, Happening::Tick);
                }
            }
            Happening::Report => {
                self.report();
                if !self.ended() {
                    self.at(self.now + REPORT, Happening::Report);
                }
            }
            Happening::Trouble => self.start_trouble(),
            Happening::Mend => self.engines[1].down = false,
            Happening::Expire(index) => self.expire(index),
        }
    }

    fn arrive(&mut self, index: usize) {
        self.requests[index].sent = self.now;
        self.at(self.now + TIMEOUT, Happening::Expire(index));
        if self.desks[self.arrivals[index].daemon].is_none() {
            self.arrivals[index].daemon = (self.arrivals[index].daemon + 1) % self.daemons;
        }
        match self.way {
            Way::Alone => self.choose(index),
            Way::Slots => self.take(index, false),
        }
    }

    fn start_trouble(&mut self) {
        match self.trouble {
            Trouble::None => {}
            Trouble::Straggler => self.engines[0].slow = 10,
            Trouble::Crash => {
                let there = self.engines[1].crash();
                for index in there {
                    self.broken(index);
                }
                self.at(self.now + Duration::from_secs(30), Happening::Mend);
            }
            Trouble::ArbiterLost => self.lose_arbiter(),
        }
    }

    /// The arbiter's daemon is gone, with its callers' requests.
    fn lose_arbiter(&mut self) {
        let lost = self.host;
        self.arbiters.swap_remove(&lost);
        self.desks[lost] = None;
        for index in 0..self.requests.len() {
            if self.arrivals[index].daemon == lost && !self.requests[index].over {
                if let Some(runner) = self.requests[index].runner.take() {
                    self.engines[runner].cancel(self.now, index);
                }
                self.requests[index].over = self.requests[index].sent > Duration::ZERO;
            }
        }
        self.host = lost + 1;
        self.tell_ranks();
    }

    // What happens on runners.

    fn start_on(&mut self, index: usize, runner: usize) {
        let now = self.now;
        let arrival = &self.arrivals[index];
        let request = &mut self.requests[index];
        request.granted.get_or_insert(now);
        request.runner = Some(runner);
        request.on_runner = now;
        request.first_here = None;
        request.done_here = 0;
        let tier = u8::try_from(arrival.class).unwrap_or(u8::MAX);
        let left = arrival.tokens - request.done;
        let prefix = arrival.prefix;
        self.engines[runner].add(now, index, tier, left, prefix);
        self.schedule(runner);
    }

    fn schedule(&mut self, runner: usize) {
        if self.engines[runner].iterating {
            return;
        }
        if let Some(time) = self.engines[runner].iteration() {
            self.engines[runner].iterating = true;
            self.at(self.now + time, Happening::Iterate(runner));
        }
    }

    fn iterate(&mut self, runner: usize) {
        self.engines[runner].iterating = false;
        for step in self.engines[runner].step(self.now) {
            let (Step::Token(index) | Step::Last(index)) = step;
            let request = &mut self.requests[index];
            request.first.get_or_insert(self.now);
            request.first_here.get_or_insert(self.now);
            request.done += 1;
            request.done_here += 1;
            if step == Step::Last(index) {
                request.last = Some(self.now);
                request.over = true;
                request.runner = None;
                self.end(index, End::Done);
            }
        }
        self.schedule(runner);
    }

    fn end(&mut self, index: usize, end: End) {
        if self.way == Way::Alone {
            return;
        }
        let request = &self.requests[index];
        let first = request.first_here;
        let between = first.and_then(|first| {
            let gaps = request.done_here.checked_sub(1).filter(|it| *it > 0)?;
            Some(self.now.saturating_sub(first) / gaps)
        });
        let sample = Sample {
            end,
            first_token: first.map(|it| it.saturating_sub(request.on_runner)),
            between_tokens: between,
            whole: self.now.saturating_sub(request.on_runner),
            tokens: request.done_here,
        };
        let (daemon, ticket) = (self.arrivals[index].daemon, request.ticket);
        self.tickets.swap_remove(&ticket);
        self.desk(daemon, desk::Event::Release(ticket, sample));
    }

    fn broken(&mut self, index: usize) {
        let request = &mut self.requests[index];
        let runner = request.runner.take();
        if request.done_here > 0 {
            self.waste.crashed += prefill_tokens();
        }
        match self.way {
            Way::Slots => {
                self.end(index, End::Broken);
                self.take(index, true);
            }
            Way::Alone => {
                if let Some(runner) = runner {
                    self.shunned[self.arrivals[index].daemon][runner] = self.now + SHUN;
                }
                self.choose(index);
            }
        }
    }

    fn expire(&mut self, index: usize) {
        if self.requests[index].over || self.requests[index].refused {
            return;
        }
        self.requests[index].over = true;
        self.waste.abandoned += f64::from(self.requests[index].done);
        let daemon = self.arrivals[index].daemon;
        if let Some(runner) = self.requests[index].runner.take() {
            self.engines[runner].cancel(self.now, index);
            self.end(index, End::Late);
        } else if self.way == Way::Slots {
            let ticket = self.requests[index].ticket;
            self.desk(daemon, desk::Event::Cancel(ticket));
        }
    }

    fn report(&mut self) {
        self.past
            .push(self.engines.iter().map(Engine::load).collect());
        let lag = usize::try_from(REPORT_LAG.as_millis() / REPORT.as_millis()).unwrap_or(1);
        if self.past.len() > lag {
            self.reports = self.past[self.past.len() - 1 - lag].clone();
        }
        for counts in &mut self.since_report {
            counts.fill(0);
        }
        for host in self.hosts() {
            for runner in 0..RUNNERS {
                if self.engines[runner].down {
                    continue;
                }
                let (running, waiting) = self.reports[runner];
                let load = arbiter::Event::Load {
                    runner: format!("r{runner}"),
                    running: u32::try_from(running + waiting).unwrap_or(u32::MAX),
                    slots: SLOTS,
                };
                self.arbiter(host, load);
            }
        }
    }

    // Every daemon for itself.

    fn choose(&mut self, index: usize) {
        if self.requests[index].over {
            return;
        }
        let daemon = self.arrivals[index].daemon;
        let usable: Vec<usize> = (0..RUNNERS)
            .filter(|it| self.shunned[daemon][*it] <= self.now)
            .collect();
        if usable.is_empty() {
            self.at(self.now + TICK, Happening::Again(index));
            return;
        }
        let mut pick = || usable[self.random.random_range(0..usable.len())];
        let (one, other) = (pick(), pick());
        let load = |it: usize| {
            let (running, waiting) = self.reports[it];
            running + waiting + self.since_report[daemon][it]
        };
        let runner = if load(one) <= load(other) { one } else { other };
        if self.engines[runner].down {
            self.shunned[daemon][runner] = self.now + SHUN;
            self.at(self.now + MESSAGE, Happening::Again(index));
            return;
        }
        self.since_report[daemon][runner] += 1;
        self.start_on(index, runner);
    }

    // Slots.

    fn take(&mut self, index: usize, resume: bool) {
        let arrival = &self.arrivals[index];
        let request = &mut self.requests[index];
        request.ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.insert(request.ticket, index);
        let deadline = self.start + request.sent + TIMEOUT;
        let ask = Ask {
            ticket: request.ticket,
            class: CLASSES[arrival.class].0.to_owned(),
            account: format!("account-{}", arrival.account),
            fingerprint: index as u64 + 1,
            prefix: arrival.prefix,
            resume,
            ..Ask::default()
        };
        let daemon = arrival.daemon;
        self.desk(daemon, desk::Event::Take { ask, deadline });
    }

    fn tell_ranks(&mut self) {
        let ranks: Vec<String> = (self.host..self.daemons).map(name).collect();
        for daemon in 0..self.daemons {
            self.desk(daemon, desk::Event::Ranks(ranks.clone()));
        }
    }

    fn hosts(&self) -> Vec<usize> {
        self.arbiters.keys().copied().collect()
    }

    fn tick(&mut self) {
        for daemon in 0..self.daemons {
            let now = self.instant();
            let due = self.desks[daemon]
                .as_ref()
                .is_some_and(|desk| desk.is_beat_due(now));
            if due {
                let progress = self.progress(daemon);
                self.desk(daemon, desk::Event::Progress(progress));
            }
            self.desk(daemon, desk::Event::Tick);
        }
        for host in self.hosts() {
            self.arbiter(host, arbiter::Event::Tick);
        }
    }

    fn progress(&self, daemon: usize) -> Vec<Progress> {
        let mut silent = [Duration::ZERO; RUNNERS];
        let mut times = [(Duration::ZERO, 0); RUNNERS];
        for index in self.tickets.values() {
            let request = &self.requests[*index];
            let (Some(runner), true) = (request.runner, self.arrivals[*index].daemon == daemon)
            else {
                continue;
            };
            match request.first_here {
                None => {
                    silent[runner] = silent[runner].max(self.now.saturating_sub(request.on_runner));
                }
                Some(first) => {
                    let window = self
                        .now
                        .saturating_sub(first)
                        .min(Duration::from_millis(500));
                    let per_token =
                        self.now.saturating_sub(first).max(window) / request.done_here.max(1);
                    times[runner].0 += per_token;
                    times[runner].1 += 1;
                }
            }
        }
        let progress = (0..RUNNERS).filter(|it| times[*it].1 > 0 || !silent[*it].is_zero());
        progress
            .map(|it| Progress {
                runner: format!("r{it}"),
                silent: silent[it],
                between_tokens: (times[it].1 > 0).then(|| times[it].0 / times[it].1),
            })
            .collect()
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let id = self.next_message;
        self.next_message += 1;
        self.messages.insert(id, message);
        let delay = if from == to { Duration::ZERO } else { MESSAGE };
        self.at(self.now + delay, Happening::Deliver(id));
    }

    fn deliver(&mut self, message: usize) {
        match self.messages.swap_remove(&message) {
            Some(Message::Asked(from, to, asked)) => {
                if self.desks[to].is_none() {
                    return;
                }
                if !self.arbiters.contains_key(&to) {
                    self.start_arbiter(to);
                }
                let from = name(from);
                self.arbiter(to, arbiter::Event::Asked { from, asked });
            }
            Some(Message::Reply(from, to, epoch, reply)) => {
                let from = name(from);
                self.desk(to, desk::Event::Reply { from, epoch, reply });
            }
            None => {}
        }
    }

    fn start_arbiter(&mut self, host: usize) {
        let live: IndexSet<String> = (0..self.daemons)
            .filter(|it| self.desks[*it].is_some())
            .map(name)
            .collect();
        let settings = arbiter::Settings::default();
        let (arbiter, effects) =
            Arbiter::new(self.instant(), SERVICE.to_owned(), 1, live, settings);
        let epoch = arbiter.epoch();
        self.arbiters.insert(host, arbiter);
        self.carry_out(host, epoch, effects);
        let runners = (0..RUNNERS).map(|it| Runner {
            id: format!("r{it}"),
            service: SERVICE.to_owned(),
            domain: "d".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            standing: Standing::Live,
            slots: 0,
        });
        let runners = arbiter::Event::Runners(runners.collect());
        self.arbiter(host, arbiter::Event::Catalogue(Arc::clone(&self.catalogue)));
        self.arbiter(host, runners);
    }

    fn arbiter(&mut self, host: usize, event: arbiter::Event) {
        let now = self.instant();
        let Some(arbiter) = self.arbiters.get_mut(&host) else {
            return;
        };
        let effects = arbiter.on_event(now, event);
        let epoch = arbiter.epoch();
        self.carry_out(host, epoch, effects);
    }

    fn carry_out(&mut self, host: usize, epoch: u64, effects: Vec<arbiter::Effect>) {
        for effect in effects {
            match effect {
                arbiter::Effect::Send(to, reply) => {
                    let to = to[1..].parse().expect("a daemon of the model");
                    self.send(host, to, Message::Reply(host, to, epoch, reply));
                }
                arbiter::Effect::Note(Note::Health(turn)) => self.turns.push((self.now, turn)),
                arbiter::Effect::Note(Note::Preempted { .. }) => self.preemptions += 1,
                arbiter::Effect::Note(Note::Granted { floor: true, .. }) => self.floor_grants += 1,
                arbiter::Effect::Note(_) | arbiter::Effect::Mark(_) => {}
            }
        }
    }

    fn desk(&mut self, daemon: usize, event: desk::Event) {
        let now = self.instant();
        let Some(desk) = self.desks[daemon].as_mut() else {
            return;
        };
        for effect in desk.on_event(now, event) {
            match effect {
                desk::Effect::Send(to, asked) => {
                    let to = to[1..].parse().expect("a daemon of the model");
                    self.send(daemon, to, Message::Asked(daemon, to, asked));
                }
                desk::Effect::Granted { ticket, runner, .. } => self.granted(ticket, &runner),
                desk::Effect::Refused(ticket, refusal) => self.refused(ticket, &refusal),
                desk::Effect::Preempted(ticket) => self.preempted(ticket),
                desk::Effect::Mark(_) => {}
            }
        }
    }

    fn granted(&mut self, ticket: u64, runner: &str) {
        let Some(index) = self.tickets.get(&ticket).copied() else {
            return;
        };
        let runner: usize = runner[1..].parse().expect("a runner of the model");
        if self.engines[runner].down {
            self.requests[index].on_runner = self.now;
            self.requests[index].first_here = None;
            self.requests[index].done_here = 0;
            self.end(index, End::Refused);
            self.take(index, true);
            return;
        }
        self.start_on(index, runner);
    }

    fn refused(&mut self, ticket: u64, refusal: &Refusal) {
        let Some(index) = self.tickets.swap_remove(&ticket) else {
            return;
        };
        let request = &mut self.requests[index];
        if request.over {
            return;
        }
        request.over = true;
        request.refused = true;
        self.waste.abandoned += f64::from(request.done);
        request.refused_after = match refusal {
            Refusal::Late | Refusal::Quarantined => None,
            _ => Some(self.now.saturating_sub(request.sent)),
        };
    }

    fn preempted(&mut self, ticket: u64) {
        let Some(index) = self.tickets.get(&ticket).copied() else {
            return;
        };
        let Some(runner) = self.requests[index].runner.take() else {
            return;
        };
        if self.engines[runner].slow > 1 {
            self.waste.moved += prefill_tokens();
        } else {
            self.waste.preempted += prefill_tokens();
        }
        self.engines[runner].cancel(self.now, index);
        self.end(index, End::Preempted);
        self.take(index, true);
    }
}

/// Tokens that a slot could have given while a prompt is read again.
fn prefill_tokens() -> f64 {
    let per_slot = engine::tokens_per_second(SLOTS) / f64::from(SLOTS);
    engine::COLD.as_secs_f64() * per_slot
}

fn name(daemon: usize) -> String {
    format!("i{daemon}")
}
