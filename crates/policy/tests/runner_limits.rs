//! The limit that a runner names holds over all daemons, and what waits for it goes to
//! other runners or is refused early.

mod slots;

use std::time::{Duration, Instant};

use citron_policy::{
    arbiter::{self, Ask, Note, Rate, Refusal, Sample},
    requester,
};
use googletest::prelude::*;
use indexmap::IndexMap;
use slots::{Daemons, Outcome, ask, catalogue, done, runners};

const DAEMONS: usize = 5;

/// Time between two steps of a simulation.
const STEP: Duration = Duration::from_millis(20);

/// Time until the head of an answer, and until its end.
const ANSWER: [Duration; 2] = [Duration::from_millis(60), Duration::from_millis(200)];

/// Time after the first answer with a limit from which it must hold.
const NOTICE: Duration = Duration::from_secs(3);

/// Span over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// A granted slot that is in use.
struct Running {
    daemon: usize,
    runner: String,
    since: Instant,
    named: bool,
}

struct Simulation {
    daemons: Daemons,
    /// Limits that the runners name.
    limits: IndexMap<String, f64>,
    next: u64,
    running: IndexMap<u64, Running>,
    /// Class and arrival of the requests that are neither granted nor refused.
    waiting: IndexMap<u64, (String, Instant)>,
    /// Time, runner, class and wait of each grant.
    grants: Vec<(Instant, String, String, Duration)>,
    /// Class, wait and delay of each refusal.
    refusals: Vec<(String, Duration, Duration)>,
}

impl Simulation {
    fn new(count: usize, limits: &[(&str, f64)]) -> Self {
        let limits = limits.iter().map(|(id, limit)| ((*id).to_owned(), *limit));
        Self {
            daemons: Daemons::new(DAEMONS, catalogue(8, |_| {}), runners(count)),
            limits: limits.collect(),
            next: 1,
            running: IndexMap::new(),
            waiting: IndexMap::new(),
            grants: Vec::new(),
            refusals: Vec::new(),
        }
    }

    fn send(&mut self, class: &str) {
        let ticket = self.next;
        self.next += 1;
        let daemon = usize::try_from(ticket).expect("small") % DAEMONS;
        self.waiting
            .insert(ticket, (class.to_owned(), self.daemons.now));
        let ask = Ask {
            remaining: Duration::from_secs(10),
            ..ask(ticket, class, "a")
        };
        self.daemons.acquire(daemon, ask);
    }

    fn step(&mut self) {
        self.daemons.now += STEP;
        self.answer();
        self.daemons.tick();
        self.daemons.deliver_all();
        for outcome in self.daemons.take_outcomes() {
            match outcome {
                Outcome::Granted {
                    daemon,
                    ticket,
                    runner,
                    ..
                } => {
                    let now = self.daemons.now;
                    let (class, arrived) = self.waiting.swap_remove(&ticket).expect("a ticket");
                    self.grants
                        .push((now, runner.clone(), class, now - arrived));
                    let running = Running {
                        daemon,
                        runner,
                        since: now,
                        named: false,
                    };
                    self.running.insert(ticket, running);
                }
                Outcome::Refused {
                    ticket, refusal, ..
                } => {
                    let (class, arrived) = self.waiting.swap_remove(&ticket).expect("a ticket");
                    let waited = self.daemons.now - arrived;
                    let delay = match refusal {
                        Refusal::Shed { retry_after } | Refusal::Unreachable { retry_after } => {
                            retry_after
                        }
                        _ => Duration::ZERO,
                    };
                    self.refusals.push((class, waited, delay));
                }
                Outcome::Preempted { .. } => {}
            }
        }
    }

    /// Delivers the heads and the ends of the answers that are due.
    fn answer(&mut self) {
        let now = self.daemons.now;
        let mut events = Vec::new();
        for (ticket, it) in &mut self.running {
            let limit = self.limits.get(&it.runner);
            if now - it.since >= ANSWER[0]
                && !std::mem::replace(&mut it.named, true)
                && let Some(limit) = limit
            {
                events.push((it.daemon, requester::Event::Limit(*ticket, *limit)));
            }
            if now - it.since >= ANSWER[1] {
                let sample = Sample {
                    unlimited: limit.is_none(),
                    longest_pause: None,
                    ..done()
                };
                events.push((it.daemon, requester::Event::Release(*ticket, sample)));
            }
        }
        self.running.retain(|_, it| now - it.since < ANSWER[1]);
        for (daemon, event) in events {
            self.daemons.requester_event(daemon, event);
        }
        self.daemons.deliver_all();
    }

    /// The arbiter is lost with its state, and the next daemon takes over.
    fn lose_arbiter(&mut self, turn: usize) {
        for host in self.daemons.hosts() {
            self.daemons.arbiters.swap_remove(&host);
        }
        let mut order: Vec<String> = (0..DAEMONS).map(slots::name).collect();
        order.rotate_left(turn % DAEMONS);
        for daemon in 0..DAEMONS {
            self.daemons.set_ranks(daemon, &order);
        }
    }

    /// Most grants of a runner in a span that begins after `from`.
    fn fullest_window(&self, runner: &str, from: Instant) -> usize {
        let grants = self.grants.iter().filter(|it| it.1 == runner);
        let times: Vec<Instant> = grants.map(|it| it.0).filter(|at| *at >= from).collect();
        let within = |start: &Instant| {
            let span = *start..*start + WINDOW;
            times.iter().filter(|at| span.contains(at)).count()
        };
        times.iter().map(within).max().unwrap_or(0)
    }

    fn granted(&self, class: &str) -> usize {
        self.grants.iter().filter(|it| it.2 == class).count()
    }
}

/// Requests that the rule allows in a span: one and a half times the limit, and five.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small count"
)]
fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

#[gtest]
fn a_limit_holds_over_all_daemons_while_arbiters_are_lost() {
    // Half of what the limit or the load allows is used.
    for (limit, least) in [(1.0, 2), (1.1, 2), (7.5, 15), (40.0, 20)] {
        let mut simulation = Simulation::new(3, &[("r0", limit)]);
        let start = simulation.daemons.now;
        for turn in 1..=1_000 {
            for _ in 0..2 {
                simulation.send("c1");
            }
            simulation.step();
            if turn % 150 == 0 {
                simulation.lose_arbiter(turn / 150);
            }
        }
        let fullest = simulation.fullest_window("r0", start + NOTICE);
        expect_that!(fullest, le(allowed(limit)), "limit {limit}");
        expect_that!(fullest, ge(least), "limit {limit}");
    }
}

#[gtest]
fn what_waits_for_a_limited_runner_goes_to_others_at_once() {
    let mut simulation = Simulation::new(3, &[("r0", 1.0)]);
    for turn in 0..1_000 {
        if turn % 4 == 0 {
            simulation.send("c1");
        }
        simulation.step();
    }
    expect_that!(simulation.refusals, is_empty());
    let longest = simulation.grants.iter().map(|it| it.3).max();
    expect_that!(longest, some(le(STEP)));
}

#[gtest]
fn limited_runners_serve_higher_tiers_first_and_the_rest_is_refused_early() {
    let mut simulation = Simulation::new(2, &[("r0", 2.0), ("r1", 2.0)]);
    let mut sent = [0, 0];
    for turn in 0..2_000 {
        if turn % 20 == 0 {
            simulation.send("c0");
            sent[0] += 1;
        }
        if turn % 5 == 0 {
            simulation.send("c2");
            sent[1] += 1;
        }
        simulation.step();
    }
    // Four requests a second are served: nearly all 2.5 of the higher tier, and others
    // of the lower one, whose share the floor bounds from below.
    expect_that!(simulation.granted("c0"), ge(sent[0] * 9 / 10));
    expect_that!(simulation.granted("c2"), ge(sent[1] / 20));
    let refused = simulation.refusals.iter().filter(|it| it.0 == "c2");
    let refused: Vec<_> = refused.collect();
    expect_that!(refused.len(), ge(sent[1] / 2));
    for (_, waited, delay) in refused {
        // The target of the class is two seconds.
        expect_that!(*waited, le(Duration::from_secs(2)));
        expect_that!(*delay, ge(Duration::from_millis(250)));
    }
}

#[gtest]
fn a_limit_ends_with_the_first_later_answer_that_does_not_name_it() {
    let mut simulation = Simulation::new(1, &[("r0", 1.0)]);
    let mut counts = Vec::new();
    for second in 0..12 {
        if second == 8 {
            simulation.limits.clear();
        }
        let before = simulation.grants.len();
        for _ in 0..50 {
            simulation.send("c1");
            simulation.step();
        }
        counts.push(simulation.grants.len() - before);
    }
    expect_that!(counts[4..8].to_vec(), each(le(&2)));
    expect_that!(counts[10..].to_vec(), each(ge(&20)));
    let ended = |note: &Note| matches!(note, Note::Limit { rate: None, .. });
    let ends = simulation.daemons.notes.iter().filter(|it| ended(&it.1));
    expect_that!(ends.count(), eq(1));
}

#[gtest]
fn a_limit_told_before_its_runner_is_listed_holds() {
    let mut simulation = Simulation::new(1, &[("r0", 1.0)]);
    let listed = std::mem::take(&mut simulation.daemons.runners);
    simulation.daemons.start_arbiter(0);
    let rate = Rate::from_per_second(1.0).expect("a rate");
    let asked = arbiter::Asked {
        least: 0,
        fallback: false,
        request: arbiter::Request::Limit("r0".to_owned(), rate),
    };
    let event = |asked| arbiter::Event::Asked {
        from: slots::name(1),
        asked,
    };
    simulation.daemons.arbiter_event(0, event(asked));
    simulation
        .daemons
        .arbiter_event(0, arbiter::Event::Runners(listed));
    for _ in 0..50 {
        simulation.send("c1");
        simulation.step();
    }
    expect_that!(simulation.grants.len(), le(1));
    let limit = |note: &Note| matches!(note, Note::Limit { rate: Some(_), .. });
    let notes = simulation.daemons.notes.iter().filter(|it| limit(&it.1));
    expect_that!(notes.count(), eq(1));
}

#[gtest]
fn odd_limits_neither_free_a_runner_nor_close_it_for_good() {
    let rate = |named: f64| Rate::from_per_second(named).map(Rate::milli);
    expect_that!(rate(f64::NAN), none());
    expect_that!(rate(-1.0), none());
    expect_that!(rate(0.0), some(eq(100)));
    expect_that!(rate(1e-300), some(eq(100)));
    expect_that!(rate(f64::INFINITY), some(eq(100_000_000)));
    expect_that!(Rate::from_milli(0).milli(), eq(100));
    expect_that!(Rate::from_milli(u64::MAX).milli(), eq(100_000_000));
    // An unreadable limit stands for one request per second.
    let mut simulation = Simulation::new(1, &[("r0", f64::NAN)]);
    let start = simulation.daemons.now;
    for _ in 0..500 {
        simulation.send("c1");
        simulation.step();
    }
    let fullest = simulation.fullest_window("r0", start + NOTICE);
    expect_that!(fullest, all!(ge(3), le(allowed(1.0))));
}
