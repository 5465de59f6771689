//! Balancing on stale load reports: replays of one service whose runners share their machines.
//!
//! Each replay compares the expected completion time with the utilisation used where runners
//! have machines of their own, and with the power of two choices on the same reports.

mod slots;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    arbiter::{
        self, Arbiter, Ask, Asked, Effect, End, Event, Load, Part, Refusal, Reply, Report, Request,
        Sample, Ticket,
    },
    catalogue::{Backend, Catalogue, Entry, Service},
};
use googletest::prelude::*;
use indexmap::IndexSet;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use slots::{SERVICE, account, class, runners, service};

/// Usual service time, and the target for whole answers: five times that.
const WORK: Duration = Duration::from_millis(60);
const TARGET: Duration = Duration::from_millis(300);

/// Slots of each runner.
const SLOTS: u32 = 6;

/// Service times of the runners relative to the mean.
const SPEEDS: [f64; 6] = [0.6, 1.0, 1.6, 0.6, 1.0, 1.6];

/// How long a machine keeps its slowdown, how large one is, and how much of the time.
const SLOWDOWN_PERIOD: Duration = Duration::from_millis(600);
const SLOWDOWN: f64 = 2.5;
const SLOWDOWN_SHARE: f64 = 0.15;

/// Length of a replay, and its part that is not measured, in which speeds are learned.
const LENGTH: Duration = Duration::from_secs(20);
const WARM_UP: Duration = Duration::from_secs(5);

/// Time from the end of an answer until the arbiter knows.
const RELEASE_DELAY: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// Least utilisation, of the slots that the arbiter granted.
    Utilisation,
    /// Earliest expected completion.
    Completion,
    /// The better of two random runners by their last reports.
    TwoChoices,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    Answer {
        runner: usize,
        ticket: Ticket,
    },
    Release {
        ticket: Ticket,
        report: (u32, u32, u32),
        whole: Duration,
    },
    Tick,
}

/// A runner: what it runs and queues, and its loads so far for late reports.
#[derive(Clone, Debug)]
struct Machine {
    speed: f64,
    slowdowns: Vec<f64>,
    running: Vec<(Ticket, Duration)>,
    queue: VecDeque<Ticket>,
    loads: Vec<(Duration, u32, u32)>,
}

impl Machine {
    fn slowdown(&self, at: Duration) -> f64 {
        let period = at.as_nanos() / SLOWDOWN_PERIOD.as_nanos();
        self.slowdowns[usize::try_from(period).expect("a short replay")]
    }

    /// Running and waiting requests and the slowdown in percent at a time.
    fn load(&self, at: Duration) -> (u32, u32, u32) {
        let known = self.loads.partition_point(|it| it.0 <= at);
        let (running, waiting) = known.checked_sub(1).map_or((0, 0), |it| {
            let (_, running, waiting) = self.loads[it];
            (running, waiting)
        });
        let percent = if self.slowdown(at) > 1.0 { 250 } else { 100 };
        (running, waiting, percent)
    }

    fn record(&mut self, now: Duration) {
        let count = |it: usize| u32::try_from(it).expect("few requests");
        let waiting = count(self.queue.len());
        self.loads.push((now, count(self.running.len()), waiting));
    }
}

/// Result of one replay.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    p99: Duration,
    /// Share of the requests that missed their target.
    late: f64,
}

struct Replay {
    rule: Rule,
    lag: Duration,
    random: StdRng,
    start: Instant,
    now: Duration,
    arbiter: Arbiter,
    machines: Vec<Machine>,
    steps: BinaryHeap<Reverse<(Duration, Step)>>,
    arrivals: Vec<Duration>,
    took: Vec<Duration>,
    /// Slowdown that all runners name, instead of their own.
    percent: Option<u32>,
}

fn place(ticket: Ticket) -> usize {
    usize::try_from(ticket).expect("a small ticket")
}

/// A new arbiter of a plain service with the runners of the replay.
fn arbiter(now: Instant, shared_hosts: bool) -> Arbiter {
    let settings = arbiter::Settings {
        shared_hosts,
        ..arbiter::Settings::default()
    };
    let name = SERVICE.to_owned();
    let (mut arbiter, _) = Arbiter::new(now, name, 1, IndexSet::new(), settings);
    let service = Service {
        backend: Backend::Plain,
        ..service(SLOTS)
    };
    let entries = vec![
        Entry::Class(Arc::new(class("c0", 0, |it| it.whole = TARGET))),
        Entry::Service(Arc::new(service)),
        Entry::Account(Arc::new(account("a", 'a', 10_000, 10_000))),
    ];
    let catalogue = Arc::new(Catalogue::from_entries(1, entries));
    arbiter.on_event(now, Event::Catalogue(catalogue));
    arbiter.on_event(now, Event::Runners(runners(SPEEDS.len())));
    arbiter
}

impl Replay {
    fn new(rule: Rule, lag: Duration, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let periods = 2 * LENGTH.as_millis() / SLOWDOWN_PERIOD.as_millis();
        let machines = SPEEDS.map(|speed| Machine {
            speed,
            slowdowns: (0..periods)
                .map(|_| {
                    if random.random_bool(SLOWDOWN_SHARE) {
                        SLOWDOWN
                    } else {
                        1.0
                    }
                })
                .collect(),
            running: Vec::new(),
            queue: VecDeque::new(),
            loads: Vec::new(),
        });
        let start = Instant::now();
        Self {
            rule,
            lag,
            random,
            start,
            now: Duration::ZERO,
            arbiter: arbiter(start, rule == Rule::Completion),
            machines: machines.to_vec(),
            steps: BinaryHeap::new(),
            arrivals: Vec::new(),
            took: Vec::new(),
            percent: None,
        }
    }

    fn at(&mut self, after: Duration, step: Step) {
        self.steps.push(Reverse((self.now + after, step)));
    }

    /// Serves requests at that share of the runners' capacity; returns the times they took.
    fn run(mut self, load: f64) -> Vec<Duration> {
        let slowdown = 1.0 + (SLOWDOWN - 1.0) * SLOWDOWN_SHARE;
        let rates = SPEEDS.map(|it| f64::from(SLOTS) / (WORK.as_secs_f64() * it * slowdown));
        let rate = load * rates.iter().sum::<f64>();
        self.at(Duration::ZERO, Step::Arrive);
        self.at(Duration::ZERO, Step::Tick);
        while let Some(Reverse((at, step))) = self.steps.pop() {
            self.now = at;
            if at > LENGTH {
                break;
            }
            match step {
                Step::Arrive => {
                    let gap = -self.random.random_range(f64::EPSILON..1.0).ln() / rate;
                    self.at(Duration::from_secs_f64(gap), Step::Arrive);
                    self.arrive();
                }
                Step::Answer { runner, ticket } => self.answer(runner, ticket),
                Step::Release {
                    ticket,
                    report,
                    whole,
                } => self.release(ticket, report, whole),
                Step::Tick => {
                    self.at(Duration::from_millis(100), Step::Tick);
                    self.tell(Event::Tick);
                }
            }
        }
        self.took
    }

    fn arrive(&mut self) {
        let ticket = self.arrivals.len() as Ticket;
        self.arrivals.push(self.now);
        if self.rule == Rule::TwoChoices {
            let seen = self.now.saturating_sub(self.lag);
            let pair = [(); 2].map(|()| self.random.random_range(0..SPEEDS.len()));
            let cost = |it: &usize| {
                let (running, waiting, percent) = self.machines[*it].load(seen);
                (running + waiting + 1) * percent
            };
            let runner = pair.into_iter().min_by_key(cost).expect("two choices");
            self.begin(runner, ticket);
            return;
        }
        let ask = Ask {
            fingerprint: 0,
            remaining: Duration::from_millis(1_500),
            ..slots::ask(ticket, "c0", "a")
        };
        self.request(Request::Ask(ask));
    }

    fn request(&mut self, request: Request) {
        let asked = Asked {
            least: 1,
            fallback: false,
            request,
        };
        self.tell(Event::Asked {
            from: "i0".to_owned(),
            asked,
        });
    }

    fn tell(&mut self, event: Event) {
        for effect in self.arbiter.on_event(self.start + self.now, event) {
            match effect {
                Effect::Send(_, Reply::Grant { ticket, runner, .. }) => {
                    let runner = runner[1..].parse().expect("a runner of the replay");
                    self.begin(runner, ticket);
                }
                Effect::Send(_, Reply::Refused(ticket, Refusal::Shed { .. } | Refusal::Late)) => {
                    self.finish(ticket, Duration::from_secs(2));
                }
                _ => {}
            }
        }
    }

    fn begin(&mut self, runner: usize, ticket: Ticket) {
        let work = WORK.mul_f64(self.random.random_range(0.5..1.5));
        let machine = &mut self.machines[runner];
        if machine.running.len() >= SLOTS as usize {
            machine.queue.push_back(ticket);
            machine.record(self.now);
            return;
        }
        machine.running.push((ticket, self.now));
        machine.record(self.now);
        let took = work.mul_f64(machine.speed * machine.slowdown(self.now));
        self.at(took, Step::Answer { runner, ticket });
    }

    fn answer(&mut self, runner: usize, ticket: Ticket) {
        let machine = &mut self.machines[runner];
        let index = machine.running.iter().position(|it| it.0 == ticket);
        let (_, began) = machine.running.remove(index.expect("a running request"));
        machine.record(self.now);
        let report = machine.load(self.now.saturating_sub(self.lag));
        let whole = self.now.saturating_sub(began);
        let next = machine.queue.pop_front();
        let took = self.now.saturating_sub(self.arrivals[place(ticket)]);
        self.finish(ticket, took);
        self.at(
            RELEASE_DELAY,
            Step::Release {
                ticket,
                report,
                whole,
            },
        );
        if let Some(next) = next {
            self.begin(runner, next);
        }
    }

    fn release(&mut self, ticket: Ticket, report: (u32, u32, u32), whole: Duration) {
        let (running, waiting, percent) = report;
        let load = Load {
            running,
            waiting,
            slots: SLOTS,
            percent: self.percent.or(Some(percent)),
        };
        let sample = Sample {
            end: End::Done,
            whole,
            report: Some(Report {
                load,
                age: self.lag + RELEASE_DELAY,
            }),
            ..Sample::unused()
        };
        self.request(Request::Release(ticket, sample));
    }

    fn finish(&mut self, ticket: Ticket, took: Duration) {
        if self.arrivals[place(ticket)] >= WARM_UP {
            self.took.push(took);
        }
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small count"))
}

/// Lags of the reports, loads and seeds that are replayed.
const LAGS: [u64; 3] = [100, 300, 500];
const LOADS: [f64; 5] = [0.15, 0.3, 0.5, 0.7, 0.85];
const SEEDS: [u64; 3] = [1, 2, 3];

/// All requests of the replays with each seed together.
fn outcome(rule: Rule, lag: u64, load: f64) -> Outcome {
    let replay = |seed| Replay::new(rule, Duration::from_millis(lag), seed).run(load);
    let mut took: Vec<Duration> = SEEDS.into_iter().flat_map(replay).collect();
    took.sort();
    let late = took.iter().filter(|it| **it > TARGET).count();
    Outcome {
        p99: took[took.len() * 99 / 100],
        late: as_f64(late) / as_f64(took.len()),
    }
}

/// Requests waited for a slow runner while a fast one had as large a share of free slots, or
/// was thought to be busy by an old report.
#[gtest]
fn requests_are_not_sent_to_slow_hosts_while_faster_ones_have_free_slots() {
    for load in LOADS {
        let before = outcome(Rule::Utilisation, 0, load);
        for lag in LAGS {
            let choices = outcome(Rule::TwoChoices, lag, load);
            let now = outcome(Rule::Completion, lag, load);
            let case = format!(
                "load {load}, lag {lag} ms: {now:?}, before {before:?}, two choices {choices:?}"
            );
            println!("{case}");
            // Near capacity all slots are needed, whichever they are.
            let gain = if load <= 0.5 { 0.8 } else { 1.0 };
            expect_that!(now.p99, lt(before.p99.mul_f64(gain)), "{case}");
            expect_that!(now.p99, lt(choices.p99.mul_f64(0.65)), "{case}");
            expect_that!(now.late, lt(before.late * 0.75), "{case}");
            expect_that!(now.late, lt(choices.late * 0.35), "{case}");
        }
    }
}

/// Without the switch, what runners name must not change any choice.
#[gtest]
fn reports_change_nothing_where_hosts_are_not_shared() {
    let replay = |percent: Option<u32>| {
        let lag = Duration::from_millis(100);
        let mut replay = Replay::new(Rule::Utilisation, lag, 1);
        replay.percent = percent;
        replay.run(0.5)
    };
    expect_that!(replay(Some(900)), eq(&replay(None)));
}

fn load(percent: u32) -> Load {
    Load {
        running: 1,
        waiting: 0,
        slots: SLOTS,
        percent: Some(percent),
    }
}

/// An arbiter for shared hosts, and its clock.
struct Desk {
    arbiter: Arbiter,
    now: Instant,
    next: Ticket,
}

impl Desk {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            arbiter: arbiter(now, true),
            now,
            next: 1,
        }
    }

    fn request(&mut self, request: Request) -> Vec<Effect> {
        let asked = Asked {
            least: 1,
            fallback: false,
            request,
        };
        let from = "i0".to_owned();
        self.arbiter
            .on_event(self.now, Event::Asked { from, asked })
    }

    /// The runner that the next request is granted, and its ticket.
    fn place(&mut self, prompt: Vec<Part>) -> (usize, Ticket) {
        let ticket = self.next;
        self.next += 1;
        let ask = Ask {
            fingerprint: 0,
            prompt,
            output: 10,
            ..slots::ask(ticket, "c0", "a")
        };
        let effects = self.request(Request::Ask(ask));
        let runner = effects.into_iter().find_map(|it| match it {
            Effect::Send(_, Reply::Grant { runner, .. }) => runner[1..].parse().ok(),
            _ => None,
        });
        (runner.expect("a grant"), ticket)
    }

    /// Serves requests one by one, each slower at the runners whose figure is higher.
    fn serve(&mut self, count: usize, percents: [u32; SPEEDS.len()]) -> [usize; SPEEDS.len()] {
        let mut served = [0; SPEEDS.len()];
        for _ in 0..count {
            let (runner, ticket) = self.place(Vec::new());
            served[runner] += 1;
            let percent = percents[runner];
            let whole = WORK.mul_f64(SPEEDS[runner] * f64::from(percent) / 100.0);
            self.now += whole;
            let sample = Sample {
                end: End::Done,
                whole,
                report: Some(Report {
                    load: load(percent),
                    age: Duration::ZERO,
                }),
                ..Sample::unused()
            };
            self.request(Request::Release(ticket, sample));
            self.arbiter.on_event(self.now, Event::Tick);
        }
        served
    }
}

/// A runner that is slowed now must not lose its requests for longer than the slowdown lasts,
/// and one learned to be slow is tried again.
#[gtest]
fn slowed_and_slow_runners_are_tried_again() {
    let mut desk = Desk::new();
    desk.serve(400, [100; SPEEDS.len()]);
    let slowed = desk.serve(5, [250, 100, 100, 100, 100, 100]);
    expect_that!(slowed[0], le(1), "{slowed:?}");
    expect_that!(slowed[3], ge(4), "{slowed:?}");
    desk.now += SLOWDOWN_PERIOD;
    let again = desk.serve(5, [100, 100, 100, 250, 100, 100]);
    expect_that!(again[0], ge(4), "{again:?}");
    desk.now += Duration::from_mins(5);
    let later = desk.serve(300, [100; SPEEDS.len()]);
    expect_that!(later[2] + later[5], ge(2), "{later:?}");
}

/// Reports that overtake each other or name impossible figures must not spoil the estimate.
#[gtest]
fn impossible_and_late_reports_are_bounded() {
    let mut desk = Desk::new();
    desk.serve(200, [100; SPEEDS.len()]);
    for (percent, age) in [(0, 0), (u32::MAX, 0), (250, 3_600_000_000), (1, 5)] {
        let (_, ticket) = desk.place(Vec::new());
        desk.now += WORK;
        let load = Load {
            running: u32::MAX,
            waiting: u32::MAX,
            slots: 0,
            percent: Some(percent),
        };
        let age = Duration::from_millis(age);
        let sample = Sample {
            end: End::Done,
            whole: WORK,
            report: Some(Report { load, age }),
            ..Sample::unused()
        };
        desk.request(Request::Release(ticket, sample));
        desk.now += Duration::from_secs(4);
    }
    desk.now += Duration::from_secs(10);
    let served = desk.serve(100, [100; SPEEDS.len()]);
    expect_that!(served[0] + served[3], ge(60), "{served:?}");
}

/// Prompts chased a figure that changes while they are read: on the deployment that has it,
/// more streams paused and more prompts were prefilled again.
#[gtest]
fn prompts_do_not_follow_the_present_service_time() {
    let serve = |percents: Option<[u32; SPEEDS.len()]>| {
        let mut desk = Desk::new();
        let mut served = [0_usize; SPEEDS.len()];
        for number in 0..300 {
            let prompt = vec![Part {
                id: number + 1,
                tokens: 2_000,
            }];
            let (runner, ticket) = desk.place(prompt);
            served[runner] += 1;
            desk.now += WORK;
            desk.request(Request::Begun(ticket));
            let report = percents.map(|percents| Report {
                load: load(percents[runner]),
                age: Duration::ZERO,
            });
            let sample = Sample {
                end: End::Done,
                first_token: Some(WORK),
                whole: WORK,
                report,
                ..Sample::unused()
            };
            desk.request(Request::Release(ticket, sample));
            desk.arbiter.on_event(desk.now, Event::Tick);
        }
        served
    };
    let mut percents = [250; SPEEDS.len()];
    percents[0] = 100;
    expect_that!(serve(Some(percents)), eq(serve(None)));
}

/// A runner that still works on requests of which no daemon knows is busier than its grants say.
#[gtest]
fn a_queue_that_only_the_runner_knows_is_avoided_until_it_is_worked_off() {
    let mut desk = Desk::new();
    desk.serve(400, [100; SPEEDS.len()]);
    let (runner, ticket) = desk.place(Vec::new());
    let sample = Sample {
        end: End::Late,
        report: Some(Report {
            load: Load {
                running: SLOTS,
                waiting: 4 * SLOTS,
                ..load(100)
            },
            age: Duration::ZERO,
        }),
        ..Sample::unused()
    };
    desk.request(Request::Release(ticket, sample));
    let (other, ticket) = desk.place(Vec::new());
    expect_that!(other, not(eq(runner)));
    desk.request(Request::Release(ticket, Sample::unused()));
    desk.now += Duration::from_secs(10);
    let served = desk.serve(20, [100; SPEEDS.len()]);
    expect_that!(served[0] + served[3], ge(15), "{served:?}");
}
