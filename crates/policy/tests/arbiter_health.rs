//! Runner health and selection: slow, broken and leaving runners, load, prefixes.

mod slots;

use std::time::Duration;

use citron_policy::{
    arbiter::{self, End, Note, Refusal, Sample, Transition},
    platform::Standing,
};
use googletest::prelude::*;
use indexmap::IndexMap;
use slots::{Daemons, Outcome, ask, catalogue, runners, sample};

/// A pool under steady load, in which chosen runners are slow.
struct Pool {
    daemons: Daemons,
    next: u64,
    /// End time and runner of each slot in use, by ticket.
    held: IndexMap<u64, (std::time::Instant, String)>,
    slow: Vec<String>,
    /// Grant time and time to the first token of each request.
    firsts: Vec<(std::time::Instant, Duration)>,
}

const FAST: Duration = Duration::from_millis(400);

impl Pool {
    fn new(count: usize) -> Self {
        Self {
            daemons: Daemons::new(2, catalogue(4, |_| {}), runners(count)),
            next: 0,
            held: IndexMap::new(),
            slow: Vec::new(),
            firsts: Vec::new(),
        }
    }

    fn whole(&self, runner: &String) -> Duration {
        if self.slow.contains(runner) {
            FAST * 10
        } else {
            FAST
        }
    }

    /// Offers `rate` requests every 50 ms.
    fn run(&mut self, time: Duration, rate: u64) {
        let end = self.daemons.now + time;
        while self.daemons.now < end {
            for _ in 0..rate {
                let tier = self.next % 3;
                let mut ask = ask(self.next, &format!("c{tier}"), "a");
                ask.fingerprint = 0;
                self.daemons.acquire(1, ask);
                self.next += 1;
            }
            self.daemons.deliver_all();
            self.handle_outcomes();
            self.daemons.now += Duration::from_millis(50);
            self.finish_due();
            self.daemons.tick();
            self.daemons.deliver_all();
        }
    }

    fn handle_outcomes(&mut self) {
        for outcome in self.daemons.take_outcomes() {
            match outcome {
                Outcome::Granted { ticket, runner, .. } => {
                    let whole = self.whole(&runner);
                    self.firsts.push((self.daemons.now, whole / 10));
                    self.held.insert(ticket, (self.daemons.now + whole, runner));
                }
                Outcome::Preempted { ticket, .. } => {
                    self.held.swap_remove(&ticket);
                    self.daemons
                        .release(1, ticket, sample(End::Preempted, FAST));
                }
                Outcome::Refused { .. } => {}
            }
        }
    }

    fn finish_due(&mut self) {
        let now = self.daemons.now;
        let due = self.held.iter().filter(|(_, (end, _))| *end <= now);
        let due: Vec<u64> = due.map(|(ticket, _)| *ticket).collect();
        for ticket in due {
            if let Some((_, runner)) = self.held.swap_remove(&ticket) {
                let sample = sample(End::Done, self.whole(&runner));
                self.daemons.release(1, ticket, sample);
            }
        }
    }

    fn aside(&self) -> usize {
        self.daemons.arbiters[&0].stats().aside
    }
}

#[gtest]
fn a_slow_runner_is_set_aside_within_ten_seconds_and_comes_back() {
    let mut pool = Pool::new(10);
    pool.run(Duration::from_secs(3), 2);
    expect_that!(pool.aside(), eq(0));
    pool.slow = vec!["r3".to_owned()];
    pool.run(Duration::from_secs(10), 2);
    expect_that!(pool.aside(), eq(1));
    let slow_use = pool.held.values().filter(|(_, it)| it == "r3").count();
    expect_that!(slow_use, le(1));
    pool.slow.clear();
    pool.run(Duration::from_secs(15), 2);
    expect_that!(pool.aside(), eq(0));
}

#[gtest]
fn at_most_a_third_of_a_pool_is_set_aside() {
    let mut pool = Pool::new(9);
    pool.run(Duration::from_secs(3), 2);
    pool.slow = ["r1", "r2", "r3", "r4"].map(str::to_owned).to_vec();
    for _ in 0..60 {
        pool.run(Duration::from_millis(500), 2);
        expect_that!(pool.aside(), le(3));
    }
    expect_that!(pool.aside(), ge(2));
}

#[gtest]
fn a_pool_that_slows_down_as_a_whole_stays_in_use() {
    let mut pool = Pool::new(6);
    pool.run(Duration::from_secs(3), 1);
    pool.slow = pool
        .daemons
        .runners
        .iter()
        .map(|it| it.id.clone())
        .collect();
    pool.run(Duration::from_secs(15), 1);
    expect_that!(pool.aside(), eq(0));
}

#[gtest]
fn a_broken_runner_is_excluded_and_probed_with_one_request() {
    let mut pool = Pool::new(3);
    pool.run(Duration::from_secs(1), 1);
    let broken: Vec<u64> = pool
        .held
        .iter()
        .filter(|(_, (_, runner))| runner == "r1")
        .map(|(ticket, _)| *ticket)
        .collect();
    expect_that!(broken, not(is_empty()));
    for ticket in broken {
        pool.held.swap_remove(&ticket);
        pool.daemons.release(1, ticket, sample(End::Broken, FAST));
    }
    pool.daemons.deliver_all();
    expect_that!(pool.daemons.arbiters[&0].stats().usable, eq(2));
    pool.run(Duration::from_millis(450), 1);
    expect_that!(
        pool.held.values().filter(|(_, it)| it == "r1").count(),
        eq(0)
    );
    pool.run(Duration::from_secs(5), 3);
    expect_that!(pool.daemons.arbiters[&0].stats().usable, eq(3));
}

/// Sends one request and loses its answer, or the rest of it if it `had_begun`; `None`
/// if the request is refused.
fn lose_answer(daemons: &mut Daemons, ticket: u64, had_begun: bool) -> Option<String> {
    daemons.acquire(0, ask(ticket, "c0", "a"));
    daemons.deliver_all();
    let outcomes = daemons.take_outcomes();
    let granted = outcomes.into_iter().find_map(|it| match it {
        Outcome::Granted { runner, .. } => Some(runner),
        Outcome::Refused { .. } | Outcome::Preempted { .. } => None,
    });
    if granted.is_some() {
        let broken = Sample {
            first_token: had_begun.then_some(FAST / 10),
            ..sample(End::Broken, FAST)
        };
        daemons.release(0, ticket, broken);
        daemons.deliver_all();
    }
    granted
}

// Four runners that had each lost one answer left a service without any.
#[gtest]
fn one_lost_answer_at_each_runner_does_not_empty_a_service() {
    let mut daemons = Daemons::new(1, catalogue(2, |_| {}), runners(4));
    for ticket in 0..5 {
        expect_that!(lose_answer(&mut daemons, ticket, false), some(anything()));
    }
    expect_that!(daemons.arbiters[&0].stats().usable, eq(1));
}

// A service whose runners are all dead must not send requests to the last one for good.
#[gtest]
fn the_last_runner_is_put_out_of_use_once_it_breaks_three_requests_in_a_row() {
    let mut daemons = Daemons::new(1, catalogue(2, |_| {}), runners(2));
    let mut lose = |ticket| lose_answer(&mut daemons, ticket, false);
    let runners: Vec<_> = (0..5).map(&mut lose).collect();
    expect_that!(runners[..4], each(some(anything())));
    expect_that!(runners[4], none());
    expect_that!(daemons.arbiters[&0].stats().usable, eq(0));
}

// Streams can only go on at the version that began them, which one lost answer at each of
// its runners took away.
#[gtest]
fn one_lost_answer_at_each_runner_leaves_each_build_with_one() {
    let mut listed = runners(4);
    for runner in &mut listed[..2] {
        runner.build = "v2".to_owned();
    }
    let mut daemons = Daemons::new(1, catalogue(2, |_| {}), listed);
    for ticket in 0..4 {
        expect_that!(lose_answer(&mut daemons, ticket, true), some(anything()));
    }
    expect_that!(daemons.arbiters[&0].stats().usable, ge(2));
}

#[gtest]
fn a_request_to_a_service_without_runners_is_refused_at_once() {
    let mut daemons = Daemons::new(1, catalogue(2, |_| {}), Vec::new());
    daemons.acquire(0, ask(1, "c0", "a"));
    daemons.deliver_all();
    expect_that!(
        daemons.take_outcomes(),
        elements_are![matches_pattern!(Outcome::Refused {
            refusal: matches_pattern!(Refusal::NoRunner { .. }),
            ..
        })]
    );
}

#[gtest]
fn a_leaving_runner_gets_no_grant() {
    let mut daemons = Daemons::new(1, catalogue(2, |_| {}), runners(2));
    daemons.acquire(0, ask(1, "c0", "a"));
    daemons.deliver_all();
    daemons.take_outcomes();
    daemons.runners[0].standing = Standing::Leaving;
    let listed = arbiter::Event::Runners(daemons.runners.clone());
    daemons.arbiter_event(0, listed);
    for ticket in 2..8 {
        daemons.acquire(0, ask(ticket, "c0", "a"));
    }
    daemons.deliver_all();
    for outcome in daemons.take_outcomes() {
        if let Outcome::Granted { runner, .. } = outcome {
            expect_that!(runner, eq("r1"));
        }
    }
}

#[gtest]
fn external_load_counts_against_the_limit_of_a_runner() {
    let mut daemons = Daemons::new(1, catalogue(4, |_| {}), runners(1));
    daemons.acquire(0, ask(1, "c0", "a"));
    daemons.deliver_all();
    daemons.take_outcomes();
    let report = arbiter::Event::Load {
        runner: "r0".to_owned(),
        running: 4,
        slots: 4,
    };
    daemons.arbiter_event(0, report);
    daemons.acquire(0, ask(2, "c0", "a"));
    daemons.deliver_all();
    expect_that!(daemons.take_outcomes(), is_empty());
    // The report lags: slots released since then still count as the arbiter's own.
    daemons.release(0, 1, sample(End::Done, FAST));
    daemons.deliver_all();
    expect_that!(daemons.take_outcomes(), len(eq(1)));
}

#[gtest]
fn the_limit_of_a_runner_that_misses_its_targets_goes_down_to_one_at_least() {
    let mut daemons = Daemons::new(1, catalogue(8, |_| {}), runners(1));
    for next in 0..200 {
        daemons.acquire(0, ask(next, "c0", "a"));
        daemons.deliver_all();
        let slow = Sample {
            between_tokens: Some(Duration::from_millis(300)),
            ..sample(End::Done, FAST)
        };
        daemons.now += Duration::from_millis(200);
        daemons.release(0, next, slow);
        daemons.tick();
        daemons.deliver_all();
    }
    expect_that!(daemons.arbiters[&0].stats().slots, eq(1));
}

#[gtest]
fn a_prefix_goes_back_to_its_runner_unless_that_is_busier() {
    let mut daemons = Daemons::new(1, catalogue(4, |_| {}), runners(3));
    let with_prefix = |daemons: &mut Daemons, ticket| {
        let mut ask = ask(ticket, "c0", "a");
        ask.prefix = 77;
        daemons.acquire(0, ask);
        daemons.deliver_all();
        match daemons.take_outcomes().pop() {
            Some(Outcome::Granted { runner, .. }) => runner,
            other => panic!("no grant but {other:?}"),
        }
    };
    let first = with_prefix(&mut daemons, 1);
    let second = with_prefix(&mut daemons, 2);
    expect_that!(second, eq(&first));
    let third = with_prefix(&mut daemons, 3);
    expect_that!(third, not(eq(&first)));
}

#[gtest]
fn health_transitions_are_noted_for_operators() {
    let mut pool = Pool::new(10);
    pool.run(Duration::from_secs(3), 2);
    pool.slow = vec!["r3".to_owned()];
    pool.run(Duration::from_secs(10), 2);
    let aside = Note::Health(Transition::Aside("r3".to_owned()));
    expect_true!(pool.daemons.notes.iter().any(|(_, note)| *note == aside));
}
