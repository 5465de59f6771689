//! Runners that fall over if they turn more requests away in a second than they say: what
//! is granted stays within that, over all daemons, though their room shrinks unseen.

mod slots;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use citron_policy::{
    arbiter::{End, Sample},
    requester,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use slots::{Daemons, Outcome, ask, catalogue, done, runners, sample};

const DAEMONS: usize = 6;

const RUNNERS: usize = 4;

const STEP: Duration = Duration::from_millis(10);

/// Time from the first answer that says so from which rejections count.
const CONTACT: Duration = Duration::from_secs(3);

/// Rejections in a second that the runners bear.
const MOST: u32 = 3;

/// Requests on their way and on runners.
struct Work {
    daemon: usize,
    runner: usize,
    /// When it reaches the runner, and when it is done there.
    arrives: Instant,
    ends: Option<Instant>,
}

struct Simulation {
    daemons: Daemons,
    random: StdRng,
    next: u64,
    works: BTreeMap<u64, Work>,
    room: u32,
    taken: [u32; RUNNERS],
    rejected: Vec<(Instant, usize)>,
    served: usize,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            daemons: Daemons::new(DAEMONS, catalogue(24, |_| {}), runners(RUNNERS)),
            random: StdRng::seed_from_u64(seed),
            next: 1,
            works: BTreeMap::new(),
            room: 20,
            taken: [0; RUNNERS],
            rejected: Vec::new(),
            served: 0,
        }
    }

    fn advance(&mut self, step: u32) {
        self.daemons.now += STEP;
        let now = self.daemons.now;
        if self.random.random_bool(0.9) {
            let daemon = self.random.random_range(0..DAEMONS);
            if self.daemons.requesters[daemon].is_some() {
                let mut ask = ask(self.next, "c2", "a");
                ask.remaining = Duration::from_secs(3);
                self.daemons.acquire(daemon, ask);
                self.next += 1;
            }
        }
        if step.is_multiple_of(10) {
            self.daemons.tick();
        }
        for ticket in self.works.keys().copied().collect::<Vec<_>>() {
            self.work(now, ticket);
        }
        self.daemons.deliver_all();
        for outcome in self.daemons.take_outcomes() {
            if let Outcome::Granted {
                daemon,
                ticket,
                runner,
                ..
            } = outcome
            {
                let delay = Duration::from_millis(self.random.random_range(1..30));
                let work = Work {
                    daemon,
                    runner: runner[1..].parse().expect("a runner"),
                    arrives: now + delay,
                    ends: None,
                };
                self.works.insert(ticket, work);
            }
        }
    }

    fn work(&mut self, now: Instant, ticket: u64) {
        let work = self.works.get_mut(&ticket).expect("work");
        let (daemon, runner) = (work.daemon, work.runner);
        let end = match work.ends {
            None if now < work.arrives => return,
            None if self.taken[runner] < self.room => {
                self.taken[runner] += 1;
                work.ends = Some(now + Duration::from_millis(self.random.random_range(50..600)));
                return;
            }
            None => End::Refused,
            Some(ends) if now < ends => return,
            Some(_) => End::Done,
        };
        self.works.remove(&ticket);
        let sample = if end == End::Done {
            self.taken[runner] -= 1;
            self.served += 1;
            done()
        } else {
            self.rejected.push((now, runner));
            Sample {
                end,
                ..sample(End::Refused, Duration::ZERO)
            }
        };
        let named = requester::Event::Brittle(ticket, MOST);
        self.daemons.requester_event(daemon, named);
        self.daemons.release(daemon, ticket, sample);
    }

    fn run(&mut self, time: Duration) {
        for step in 0..u32::try_from(time.as_millis() / STEP.as_millis()).expect("steps") {
            self.advance(step);
        }
    }

    /// Most rejections by one runner in a second, from a time on.
    fn worst(&self, from: Instant) -> usize {
        let counted = self.rejected.iter().filter(|(at, _)| *at >= from);
        let second = |(start, runner): &(Instant, usize)| {
            let there = self.rejected.iter().filter(|it| it.1 == *runner);
            there
                .filter(|(at, _)| (*start..*start + Duration::from_secs(1)).contains(at))
                .count()
        };
        counted.map(second).max().unwrap_or(0)
    }
}

#[gtest]
fn brittle_runners_turn_few_away_as_their_room_shrinks() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed);
        simulation.run(CONTACT);
        let from = simulation.daemons.now;
        for room in [20, 10, 5, 2, 12] {
            simulation.room = room;
            simulation.run(Duration::from_secs(4));
        }
        expect_that!(simulation.worst(from), le(MOST as usize), "seed {seed}");
        // A runner with room for two takes some six a second.
        expect_that!(simulation.served, ge(600), "seed {seed}");
    }
}

#[gtest]
fn brittle_runners_turn_few_away_though_the_arbiter_is_lost() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed);
        simulation.run(CONTACT);
        let from = simulation.daemons.now;
        simulation.room = 4;
        simulation.run(Duration::from_secs(2));
        simulation.daemons.kill(0);
        simulation.daemons.announce_live();
        simulation
            .works
            .retain(|_, it| it.daemon != 0 || it.ends.is_some());
        simulation.run(Duration::from_secs(6));
        expect_that!(simulation.worst(from), le(MOST as usize), "seed {seed}");
    }
}
