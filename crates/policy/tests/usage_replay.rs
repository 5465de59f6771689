//! Usage reports under lost, doubled and reordered messages, killed, restarted and
//! suspended daemons, changes of the holder, wrong clocks and a platform that is down.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    id::{InstanceId, StartId, WindowId},
    member::{Member, Members, State},
    usage::{Borders, Collector, Fixed, Recorder, Report, Reporter, Settings, View, Window},
};
use googletest::prelude::*;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const SEEDS: u64 = 200;
const DAEMONS: usize = 20;
const CANDIDATES: usize = 5;
const STEP_MS: u64 = 100;
const RUN_MS: u64 = 50_000;
/// True time at the start of a run, since 1970. No step is within 30 ms of a border of
/// windows, so that a start belongs to one window whatever the delays are.
const EPOCH_MS: u64 = 1_767_225_601_234;
const WINDOW_MS: u64 = 5_000;
const DUE_MS: u64 = 10_000;
/// Probability of a start at each daemon in each step, by account.
const RATES: [(&str, f64); 3] = [("busy", 1.0), ("usual", 0.4), ("rare", 0.004)];

/// Largest difference of a count that is tolerated, in millionths.
const TOLERANCE: u64 = 50_000;

/// True count from which the tolerance is checked: half of a start is a larger share of
/// a smaller one.
const MIN_CHECKED: u64 = 100;

/// What happens in a run.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    /// Share of messages lost, doubled, and delayed by up to two seconds.
    messages: f64,
    /// Daemons that are killed, and stay so.
    killed: usize,
    /// Probabilities in each step.
    restart: f64,
    suspension: f64,
    change_of_holder: f64,
    step_of_a_clock: f64,
    platform_down: bool,
}

struct Daemon {
    recorder: Recorder,
    collector: Collector,
    reporter: Reporter,
    /// Difference of its time of day and true time.
    wall_error_ms: i64,
    suspended_until: u64,
    killed: bool,
    /// Phase of its reports.
    phase: u64,
    holder: usize,
    seen_fixed: Fixed,
}

enum Message {
    Report(Report),
    Answer { next: StartId, holder: usize },
}

struct Sent {
    at: u64,
    from: usize,
    to: usize,
    process: u64,
    message: Message,
}

struct Run {
    rng: SmallRng,
    base: Instant,
    trouble: Trouble,
    now: u64,
    daemons: Vec<Daemon>,
    processes: Vec<u64>,
    members: Members,
    sent: Vec<Sent>,
    holder: Option<usize>,
    last_holder: usize,
    free_since: u64,
    log: Fixed,
    /// Starts by window and account; those of killed processes are not lost here.
    truth: IndexMap<WindowId, IndexMap<String, u64>>,
    accepted: IndexMap<WindowId, Window>,
    faults: Vec<String>,
    down: std::ops::Range<u64>,
}

fn name(place: usize) -> InstanceId {
    format!("i-{place:02}")
}

fn member(place: usize) -> Member {
    Member {
        id: name(place),
        domain: String::from("d"),
        peer: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        callers: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        capacity: 0,
        replica: (place < CANDIDATES).then_some(place as u64 + 1),
        incarnation: 1,
        state: State::Alive,
        revision: 0,
        load: 0,
        current: true,
    }
}

impl Run {
    fn new(seed: u64, trouble: Trouble) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let base = Instant::now();
        let settings = Settings::default();
        let down = rng.random_range(10_000..30_000);
        let daemons = (0..DAEMONS).map(|_| Daemon {
            recorder: Recorder::new(base, rng.random()),
            collector: Collector::new(base),
            reporter: Reporter::new(settings),
            wall_error_ms: rng.random_range(-2..3),
            suspended_until: 0,
            killed: false,
            phase: rng.random_range(0..5),
            holder: 0,
            seen_fixed: Fixed::default(),
        });
        let daemons = daemons.collect();
        Self {
            base,
            trouble,
            now: 0,
            daemons,
            processes: vec![0; DAEMONS],
            members: (0..DAEMONS).map(|it| (name(it), member(it))).collect(),
            sent: Vec::new(),
            holder: Some(0),
            last_holder: 0,
            free_since: 0,
            log: Fixed::default(),
            truth: IndexMap::new(),
            accepted: IndexMap::new(),
            faults: Vec::new(),
            down: if trouble.platform_down {
                down..down + 7_000
            } else {
                0..0
            },
            rng,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.base + Duration::from_millis(ms)
    }

    fn runs(&self, place: usize) -> bool {
        let daemon = &self.daemons[place];
        !daemon.killed && daemon.suspended_until <= self.now
    }

    fn post(&mut self, from: usize, to: usize, message: &Message) {
        let copies = match self.rng.random::<f64>() / self.trouble.messages.max(1e-9) {
            it if it < 1.0 => 0,
            it if it < 2.0 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let is_slow = self.rng.random_bool(self.trouble.messages);
            let delay = if is_slow {
                self.rng.random_range(0..2_000)
            } else {
                0
            };
            let message = match message {
                Message::Report(report) => Message::Report(report.clone()),
                Message::Answer { next, holder } => Message::Answer {
                    next: *next,
                    holder: *holder,
                },
            };
            let at = self.now + 1 + delay;
            let process = self.processes[to];
            self.sent.push(Sent {
                at,
                from,
                to,
                process,
                message,
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<Sent>, Vec<Sent>) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|it| it.at <= now);
        self.sent = later;
        for mut sent in due {
            if self.daemons[sent.to].killed || self.processes[sent.to] != sent.process {
                continue;
            }
            if !self.runs(sent.to) {
                sent.at = self.daemons[sent.to].suspended_until;
                self.sent.push(sent);
                continue;
            }
            // Without trouble a message takes a millisecond, whatever the step.
            let arrived = self.at(sent.at.max(now.saturating_sub(STEP_MS - 1)));
            match sent.message {
                Message::Report(report) => {
                    let collector = &mut self.daemons[sent.to].collector;
                    let next = collector.on_report(arrived, &name(sent.from), &report);
                    let holder = self.last_holder;
                    self.post(sent.to, sent.from, &Message::Answer { next, holder });
                }
                Message::Answer { next, holder } => {
                    let daemon = &mut self.daemons[sent.to];
                    daemon.recorder.on_received(&name(sent.from), next);
                    daemon.holder = holder;
                }
            }
        }
    }

    fn work(&mut self, place: usize) {
        let window = (EPOCH_MS + self.now) / WINDOW_MS;
        let now = self.at(self.now);
        for (account, rate) in RATES {
            if self.rng.random_bool(rate) {
                self.daemons[place].recorder.record(now, account);
                let counts = self.truth.entry(window).or_default();
                *counts.entry(account.to_owned()).or_default() += 1;
            }
        }
        if (self.now / STEP_MS + self.daemons[place].phase).is_multiple_of(5) {
            self.report(place);
        }
    }

    fn report(&mut self, place: usize) {
        let now = self.at(self.now);
        let daemon = &mut self.daemons[place];
        let wall = (EPOCH_MS + self.now).saturating_add_signed(daemon.wall_error_ms);
        let holder = daemon.holder;
        let is_alive = |it: &usize| *it != holder && self.members[*it].state == State::Alive;
        let other = (0..CANDIDATES).find(is_alive).unwrap_or(holder);
        for receiver in [holder, other] {
            let daemon = &mut self.daemons[place];
            let report = daemon
                .recorder
                .report(now, Duration::from_millis(wall), &name(receiver));
            if receiver == place {
                let next = daemon.collector.on_report(now, &name(place), &report);
                daemon.recorder.on_received(&name(place), next);
            } else {
                self.post(place, receiver, &Message::Report(report));
            }
        }
    }

    /// The reports of one daemon that may hold the duties.
    fn duty(&mut self, place: usize) {
        let now = self.at(self.now);
        let holds = self.holder == Some(place);
        let daemon = &mut self.daemons[place];
        // A replica lags behind the log at times.
        if self.rng.random_bool(0.5) {
            daemon.seen_fixed = self.log.clone();
        }
        let view = View {
            now,
            collector: &daemon.collector,
            members: &self.members,
        };
        daemon.reporter.update(&view, holds, &daemon.seen_fixed);
        if let Some(proposal) = daemon.reporter.next_to_fix(&view) {
            let fixed = self.log.fix(&Arc::new(proposal.window)).cloned();
            // The answer of the log may be lost.
            let is_answered = !self.rng.random_bool(self.trouble.messages);
            if let Some(window) = fixed.filter(|_| is_answered) {
                daemon.reporter.on_fixed(&window);
            }
        }
        let Some(window) = daemon.reporter.next_to_send(now) else {
            return;
        };
        if self.down.contains(&self.now) {
            return;
        }
        let known = self
            .accepted
            .entry(window.number)
            .or_insert_with(|| (*window).clone());
        if *known != *window {
            self.faults
                .push(format!("two counts for window {}", window.number));
        }
        let due_ms = (window.number + 1) * WINDOW_MS + DUE_MS;
        if (window.number + 1) * WINDOW_MS > EPOCH_MS + self.now {
            self.faults
                .push(format!("window {} sent before its end", window.number));
        }
        if EPOCH_MS + self.now > due_ms + 20 {
            self.faults
                .push(format!("window {} sent past its due time", window.number));
        }
        if !self.rng.random_bool(self.trouble.messages) {
            daemon.reporter.on_accepted(&view, window.number);
        }
    }

    fn disturb(&mut self) {
        let trouble = self.trouble;
        let place = self.rng.random_range(0..DAEMONS);
        let is_holder = self.holder == Some(place);
        if self.rng.random_bool(trouble.step_of_a_clock) {
            // Fewer than half of the clocks are ever wrong.
            self.daemons[place % 8].wall_error_ms = self.rng.random_range(-4_000_000..4_000_000);
        }
        if self.rng.random_bool(trouble.suspension) && self.runs(place) {
            self.daemons[place].suspended_until = self.now + self.rng.random_range(500..6_000);
            if is_holder {
                self.lose();
            }
        }
        if self.rng.random_bool(trouble.restart) && self.runs(place) {
            // A daemon that is stopped in an orderly way sends what it has.
            self.report(place);
            self.processes[place] += 1;
            let (now, process) = (self.at(self.now), self.rng.random());
            let daemon = &mut self.daemons[place];
            daemon.recorder = Recorder::new(now, process);
            daemon.collector = Collector::new(now);
            daemon.reporter = Reporter::new(Settings::default());
            if is_holder {
                self.lose();
            }
        }
        if self.rng.random_bool(trouble.change_of_holder) && self.holder.is_some() {
            self.lose();
        }
        let killed: Vec<usize> = (0..DAEMONS).filter(|it| self.daemons[*it].killed).collect();
        // If both receivers of reports were killed, what other killed daemons had sent
        // them would be lost as well.
        let may_kill = place >= CANDIDATES || killed.iter().all(|it| *it >= CANDIDATES);
        if killed.len() < trouble.killed && may_kill && self.rng.random_bool(0.01) {
            self.daemons[place].killed = true;
            if is_holder {
                self.lose();
            }
        }
        for place in 0..DAEMONS {
            if self.daemons[place].killed {
                self.members[place].state = State::Dead;
            }
        }
    }

    fn lose(&mut self) {
        self.holder = None;
        self.free_since = self.now;
    }

    fn elect(&mut self) {
        if self.holder.is_some() || self.now < self.free_since + 3_500 {
            return;
        }
        // The candidates propose in the order of their ranks; the one that lost it abstains.
        let last = self.last_holder;
        let next = (0..CANDIDATES).find(|it| self.runs(*it) && *it != last);
        if let Some(next) = next {
            self.holder = Some(next);
            self.last_holder = next;
        }
    }

    fn run(&mut self) {
        while self.now < RUN_MS {
            self.now += STEP_MS;
            self.disturb();
            self.elect();
            self.deliver();
            for place in 0..DAEMONS {
                if self.runs(place) {
                    self.work(place);
                    if place < CANDIDATES {
                        self.duty(place);
                    }
                }
            }
        }
    }

    /// Windows that ended early enough to be reported, apart from the first one.
    fn due() -> impl Iterator<Item = WindowId> + use<> {
        let first = EPOCH_MS / WINDOW_MS + 1;
        first..(EPOCH_MS + RUN_MS - DUE_MS) / WINDOW_MS
    }

    fn missed(&self) -> Vec<WindowId> {
        Self::due()
            .filter(|it| !self.accepted.contains_key(it))
            .collect()
    }

    /// Largest difference of a reported count and the true one, in millionths of it, for
    /// accounts with at least `least` starts in the window.
    fn worst_error(&self, least: u64) -> u64 {
        let mut worst = 0;
        for window in Self::due().filter_map(|it| self.accepted.get(&it)) {
            let truth = self.truth.get(&window.number).into_iter().flatten();
            for (account, real) in truth.filter(|(_, it)| **it >= least) {
                let told = window.counts.get(account).copied().unwrap_or(0);
                worst = worst.max(told.abs_diff(*real) * 1_000_000 / real);
            }
        }
        worst
    }
}

fn replay(seed: u64, trouble: Trouble) -> Run {
    let mut run = Run::new(seed, trouble);
    run.run();
    run
}

#[gtest]
fn a_calm_run_misses_no_window_and_no_start() {
    for seed in 0..20 {
        let run = replay(seed, Trouble::default());
        expect_that!(run.faults, is_empty(), "seed {seed}");
        expect_that!(run.missed(), is_empty(), "seed {seed}");
        expect_that!(run.worst_error(1), eq(0), "seed {seed}");
    }
}

#[gtest]
fn no_window_has_two_counts_whatever_happens_at_once() {
    let trouble = Trouble {
        messages: 0.15,
        killed: 2,
        restart: 0.001,
        suspension: 0.002,
        change_of_holder: 0.003,
        step_of_a_clock: 0.002,
        platform_down: true,
    };
    let (mut due, mut missed) = (0, 0);
    for seed in 0..SEEDS {
        let run = replay(seed, trouble);
        expect_that!(run.faults, is_empty(), "seed {seed}");
        due += Run::due().count();
        missed += run.missed().len();
    }
    println!("missed {missed} of {due}");
    expect_that!(missed * 10, le(due));
}

#[gtest]
fn counts_stay_within_the_tolerance_while_a_tenth_of_the_daemons_is_killed() {
    let trouble = Trouble {
        messages: 0.05,
        killed: 2,
        ..Trouble::default()
    };
    for seed in 0..SEEDS {
        let run = replay(seed, trouble);
        expect_that!(run.faults, is_empty(), "seed {seed}");
        expect_that!(run.missed(), is_empty(), "seed {seed}");
        expect_that!(run.worst_error(MIN_CHECKED), le(TOLERANCE), "seed {seed}");
    }
}

#[gtest]
fn counts_stay_right_when_clocks_step_and_holders_change() {
    let trouble = Trouble {
        messages: 0.02,
        change_of_holder: 0.003,
        step_of_a_clock: 0.002,
        restart: 0.001,
        ..Trouble::default()
    };
    let (mut due, mut missed) = (0, 0);
    for seed in 0..SEEDS {
        let run = replay(seed, trouble);
        due += Run::due().count();
        missed += run.missed().len();
        expect_that!(run.faults, is_empty(), "seed {seed}");
        expect_that!(run.worst_error(MIN_CHECKED), le(TOLERANCE), "seed {seed}");
    }
    println!("missed {missed} of {due}");
    expect_that!(missed * 10, le(due));
}

/// A daemon that begins to collect counted only what came after.
#[gtest]
fn a_receiver_that_was_restarted_is_sent_what_it_lacks() {
    let base = Instant::now();
    let wall = Duration::from_millis(EPOCH_MS);
    let members: Members = [(name(0), member(0))].into();
    let mut recorder = Recorder::new(base, 1);
    let mut before = Collector::new(base);
    for _ in 0..10 {
        recorder.record(base, "busy");
    }
    let report = recorder.report(base, wall, "r");
    let next = before.on_report(base, &name(0), &report);
    recorder.on_received("r", next);
    recorder.record(base, "busy");
    let mut after = Collector::new(base);
    for _ in 0..2 {
        let report = recorder.report(base, wall, "r");
        let next = after.on_report(base, &name(0), &report);
        recorder.on_received("r", next);
    }
    let length = Duration::from_millis(WINDOW_MS);
    let mut borders = Borders::default();
    let window = after.count(base, &members, EPOCH_MS / WINDOW_MS, length, &mut borders);
    let counts = window.expect("true time is known").counts;
    expect_that!(counts.get("busy"), some(eq(&11)));
}

/// One wrong clock named windows that do not exist yet, which pushed the true ones out of
/// those that are kept.
#[gtest]
fn true_time_is_unknown_until_half_of_the_daemons_report() {
    let base = Instant::now();
    let members: Members = (0..4).map(|it| (name(it), member(it))).collect();
    let mut collector = Collector::new(base);
    for place in 0..3 {
        let known = collector.true_time(base, &members);
        let is_known = known.map(|it| it.as_millis() >= u128::from(EPOCH_MS));
        expect_that!(is_known, eq((place >= 2).then_some(true)));
        let mut recorder = Recorder::new(base, place as u64 + 1);
        let report = recorder.report(base, Duration::from_millis(EPOCH_MS), "r");
        collector.on_report(base, &name(place), &report);
    }
}
