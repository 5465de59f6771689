//! A request that crashes runners: at most three crashes, and its neighbours
//! complete, whichever daemon it is sent through and while arbiters die.

mod slots;

use std::{sync::Arc, time::Duration};

use citron_policy::{
    arbiter::{Ask, End, Refusal},
    crash::{self, Mark, Overlay, Step, Table},
};
use googletest::prelude::*;
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use slots::{Daemons, Told, ask, catalogue, done, runners, sample};

const DAEMONS: usize = 5;

/// The request that crashes what runs it.
const KILLER: u64 = 0xdead;

struct World {
    daemons: Daemons,
    random: StdRng,
    next: u64,
    /// Fingerprint, runner and daemon of what is in use.
    held: IndexMap<u64, (u64, String, usize)>,
    fingerprints: IndexMap<u64, u64>,
    crashes: u32,
    quarantined: u32,
    open: IndexSet<u64>,
    again: Vec<(usize, u64)>,
    /// Whether marks reach all daemons by the control log.
    log: bool,
}

impl World {
    fn new(seed: u64, log: bool) -> Self {
        Self {
            daemons: Daemons::new(DAEMONS, catalogue(4, |_| {}), runners(4)),
            random: StdRng::seed_from_u64(seed),
            next: 1,
            held: IndexMap::new(),
            fingerprints: IndexMap::new(),
            crashes: 0,
            quarantined: 0,
            open: IndexSet::new(),
            again: Vec::new(),
            log,
        }
    }

    fn send(&mut self, daemon: usize, fingerprint: u64) {
        let ticket = self.next;
        self.next += 1;
        let mut ask = ask(ticket, "c1", "a");
        ask.fingerprint = fingerprint;
        self.fingerprints.insert(ticket, fingerprint);
        if fingerprint != KILLER {
            self.open.insert(fingerprint);
        }
        self.daemons.take(daemon, ask);
    }

    fn pass(&mut self, time: Duration) {
        let end = self.daemons.now + time;
        while self.daemons.now < end {
            self.daemons.now += Duration::from_millis(50);
            for (daemon, fingerprint) in std::mem::take(&mut self.again) {
                self.send(daemon, fingerprint);
            }
            self.daemons.tick();
            self.settle();
            self.commit();
            if self.random.random_bool(0.6) {
                self.finish_one();
            }
        }
    }

    fn settle(&mut self) {
        loop {
            self.daemons.settle();
            let told = self.daemons.drain();
            if told.is_empty() {
                return;
            }
            for told in told {
                self.on_told(told);
            }
        }
    }

    fn on_told(&mut self, told: Told) {
        match told {
            Told::Granted {
                daemon,
                ticket,
                runner,
                alone,
            } => {
                let fingerprint = self.fingerprints[&ticket];
                if alone {
                    let others = self.held.values().filter(|it| it.1 == runner).count();
                    expect_that!(others, eq(0), "a suspect has its runner to itself");
                }
                self.held.insert(ticket, (fingerprint, runner, daemon));
            }
            Told::Refused {
                daemon,
                ticket,
                refusal,
            } => self.on_refused(daemon, ticket, &refusal),
            Told::Preempted { .. } => {}
        }
    }

    fn on_refused(&mut self, daemon: usize, ticket: u64, refusal: &Refusal) {
        let fingerprint = self.fingerprints[&ticket];
        if fingerprint == KILLER {
            self.quarantined += u32::from(*refusal == Refusal::Quarantined);
            return;
        }
        expect_that!(*refusal, not(eq(&Refusal::Quarantined)));
        // A bystander is sent again, a little later.
        self.again.push((daemon, fingerprint));
    }

    fn finish_one(&mut self) {
        if self.held.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.held.len());
        let Some((ticket, (fingerprint, runner, daemon))) = self.held.swap_remove_index(index)
        else {
            return;
        };
        if fingerprint == KILLER {
            self.crash(ticket, &runner, daemon);
        } else {
            self.open.swap_remove(&fingerprint);
            self.daemons.release(daemon, ticket, done());
        }
        self.settle();
    }

    /// Breaks all connections of a runner, in any order; bystanders are sent again.
    fn crash(&mut self, ticket: u64, runner: &str, daemon: usize) {
        self.crashes += 1;
        let there = self.held.iter().filter(|(_, it)| it.1 == runner);
        let mut there: Vec<(u64, u64, usize)> =
            there.map(|(ticket, it)| (*ticket, it.0, it.2)).collect();
        there.push((ticket, KILLER, daemon));
        let turn = self.random.random_range(0..there.len());
        there.rotate_left(turn);
        for (ticket, fingerprint, daemon) in there {
            self.held.swap_remove(&ticket);
            self.daemons
                .release(daemon, ticket, sample(End::Broken, Duration::ZERO));
            if fingerprint != KILLER {
                self.send(daemon, fingerprint);
            }
        }
    }

    /// The control log takes in what was proposed, and all daemons learn it.
    fn commit(&mut self) {
        let proposed = std::mem::take(&mut self.daemons.proposed);
        if !self.log || proposed.is_empty() {
            return;
        }
        let mut table = (*self.daemons.marks).clone();
        for step in &proposed {
            table.apply(step);
        }
        self.daemons.marks = Arc::new(table);
        let marks = Arc::clone(&self.daemons.marks);
        for daemon in 0..DAEMONS {
            let event = citron_policy::desk::Event::Marks(Arc::clone(&marks));
            self.daemons.desk(daemon, event);
        }
        for host in self.daemons.hosts() {
            let event = citron_policy::arbiter::Event::Marks(Arc::clone(&marks));
            self.daemons.arbiter(host, event);
        }
    }

    /// The arbiter's state is lost, and another daemon takes over.
    fn lose_arbiter(&mut self) {
        for host in self.daemons.hosts() {
            self.daemons.arbiters.swap_remove(&host);
        }
        let first = self.random.random_range(0..DAEMONS);
        let mut order: Vec<String> = (0..DAEMONS).map(slots::name).collect();
        order.rotate_left(first);
        for daemon in 0..DAEMONS {
            self.daemons.tell_ranks(daemon, &order);
        }
    }
}

/// The killer's caller sends it again through every daemon in turn.
fn repeat_through_all(seed: u64, log: bool, at_once: usize) -> World {
    let mut world = World::new(seed, log);
    if at_once > 1 {
        // The first copies meet an idle pool.
        for daemon in 0..at_once {
            world.send(daemon, KILLER);
        }
        world.settle();
    }
    for fingerprint in 1..=12 {
        world.send(
            usize::try_from(fingerprint).expect("small") % DAEMONS,
            fingerprint,
        );
    }
    for round in 0..DAEMONS * 2 {
        for copy in 0..at_once {
            world.send((round + copy) % DAEMONS, KILLER);
        }
        world.pass(Duration::from_secs(3));
        if round % 2 == 0 {
            world.lose_arbiter();
        }
        world.pass(Duration::from_millis(500));
    }
    world.pass(Duration::from_secs(30));
    world
}

fn check(log: bool, at_once: usize) {
    for seed in 0..24 {
        let world = repeat_through_all(seed, log, at_once);
        expect_that!(
            world.crashes,
            all!(ge(1), le(3)),
            "seed {seed}, log {log}, {at_once} copies"
        );
        expect_that!(world.quarantined, ge(1), "seed {seed}: a final answer");
        expect_that!(world.open, is_empty(), "seed {seed}: bystanders complete");
    }
}

#[gtest]
fn at_most_three_crashes_when_sent_through_every_daemon() {
    check(true, 1);
}

#[gtest]
fn at_most_three_crashes_when_the_control_log_is_down() {
    check(false, 1);
}

#[gtest]
fn at_most_three_crashes_when_sent_many_times_at_once() {
    check(true, 4);
}

/// A killer that ran alone on a daemon and broke the runner, with the marks lost
/// on the way to the control log.
fn quarantined_by(daemon: usize) -> Daemons {
    let mut daemons = Daemons::new(4, catalogue(4, |_| {}), runners(2));
    let mut killer = ask(1, "c0", "a");
    killer.fingerprint = KILLER;
    killer.suspected = true;
    daemons.desk(
        daemon,
        citron_policy::desk::Event::Reply {
            from: slots::name(0),
            epoch: 1,
            reply: citron_policy::arbiter::Reply::Mark(Step::Suspected(vec![KILLER])),
        },
    );
    daemons.take(daemon, killer);
    daemons.settle();
    expect_that!(
        daemons.drain(),
        elements_are![matches_pattern!(Told::Granted {
            alone: eq(&true),
            ..
        })]
    );
    daemons.release(daemon, 1, sample(End::Broken, Duration::ZERO));
    daemons.sent.clear();
    daemons
}

fn refused(daemons: &mut Daemons, daemon: usize) -> bool {
    let mut killer = ask(9, "c0", "a");
    killer.fingerprint = KILLER;
    daemons.take(daemon, killer);
    daemons.pass(Duration::from_secs(1));
    let told = daemons.drain();
    told.contains(&Told::Refused {
        daemon,
        ticket: 9,
        refusal: Refusal::Quarantined,
    })
}

#[gtest]
fn the_daemon_that_saw_a_crash_tells_a_new_arbiter() {
    let mut daemons = quarantined_by(2);
    daemons.kill(0);
    daemons.announce_live();
    expect_true!(refused(&mut daemons, 3));
}

#[gtest]
fn a_mark_outlives_the_arbiter_and_the_daemon_that_saw_the_crash() {
    let mut daemons = quarantined_by(2);
    // The third daemon holds a slot, so that the arbiter knows it.
    daemons.take(3, ask(5, "c0", "a"));
    daemons.settle();
    daemons.drain();
    daemons.desk(2, citron_policy::desk::Event::Ranks(vec![slots::name(0)]));
    let recital = citron_policy::arbiter::Asked {
        least: 0,
        fallback: false,
        request: citron_policy::arbiter::Request::Release(1, sample(End::Broken, Duration::ZERO)),
    };
    let from = slots::name(2);
    daemons.arbiter(
        0,
        citron_policy::arbiter::Event::Asked {
            from,
            asked: recital,
        },
    );
    daemons.settle();
    daemons.kill(0);
    daemons.kill(2);
    daemons.announce_live();
    expect_true!(refused(&mut daemons, 3));
}

#[gtest]
fn a_quarantined_request_is_refused_without_asking() {
    let mut daemons = Daemons::new(2, catalogue(4, |_| {}), runners(2));
    let mut table = Table::default();
    table.apply(&Step::Quarantined(KILLER));
    let event = citron_policy::desk::Event::Marks(Arc::new(table));
    daemons.desk(1, event);
    let mut killer = ask(1, "c0", "a");
    killer.fingerprint = KILLER;
    daemons.take(1, killer);
    let refused = Told::Refused {
        daemon: 1,
        ticket: 1,
        refusal: Refusal::Quarantined,
    };
    expect_that!(daemons.drain(), elements_are![eq(&refused)]);
    expect_that!(daemons.sent, is_empty());
}

#[gtest]
fn a_quarantine_is_never_lowered_and_the_table_is_bounded() {
    let mut table = Table::default();
    table.apply(&Step::Quarantined(1));
    table.apply(&Step::Suspected(vec![1]));
    expect_that!(table.get(1), some(eq(Mark::Quarantined)));
    let many = 2..u64::try_from(crash::MAX_MARKS).expect("small") * 2;
    table.apply(&Step::Suspected(many.collect()));
    expect_that!(table.marks.len(), eq(crash::MAX_MARKS));
    expect_that!(table.get(1), some(eq(Mark::Quarantined)));
}

#[gtest]
fn marks_that_the_log_confirms_are_its_own_from_then_on() {
    let mut overlay = Overlay::default();
    overlay.apply(&Step::Suspected(vec![1, 2]));
    expect_that!(overlay.unconfirmed(), len(eq(1)));
    let mut table = Table::default();
    table.apply(&Step::Suspected(vec![1, 2]));
    overlay.commit(Arc::new(table));
    expect_that!(overlay.unconfirmed(), is_empty());
    overlay.apply(&Step::Cleared(1));
    expect_that!(overlay.get(1), none());
    expect_that!(overlay.get(2), some(eq(Mark::Suspected)));
    overlay.commit(Arc::new(Table::default()));
    expect_that!(overlay.get(2), none());
}

/// A stream that is cut while the others on its runner go on was no crash: it need
/// not run alone, and those beside it need not either.
#[gtest]
fn one_lost_answer_suspects_nobody_for_long() {
    let mut daemons = Daemons::new(1, catalogue(8, |_| {}), runners(1));
    for ticket in 1..=3 {
        daemons.take(0, ask(ticket, "c1", "a"));
    }
    daemons.settle();
    expect_that!(daemons.drain().len(), eq(3));
    daemons.now += Duration::from_millis(50);
    daemons.release(0, 1, sample(End::Broken, Duration::from_millis(50)));
    daemons.settle();
    // Another that the same daemon had there is not suspected.
    daemons.take(0, again(12, 2));
    daemons.settle();
    let granted = |told: &[Told], wanted: u64| {
        let mut of = told.iter();
        of.any(|it| matches!(it, Told::Granted { ticket, alone: false, .. } if *ticket == wanted))
    };
    expect_that!(granted(&daemons.drain(), 12), eq(true));
    // The one that lost its answer is, until a neighbour ends well.
    daemons.take(0, again(11, 1));
    daemons.settle();
    expect_that!(daemons.drain(), is_empty());
    daemons.now += Duration::from_millis(100);
    daemons.release(0, 3, done());
    daemons.settle();
    expect_that!(granted(&daemons.drain(), 11), eq(true));
}

/// The same request under another ticket, as its caller sends it again.
fn again(ticket: u64, fingerprint: u64) -> Ask {
    Ask {
        fingerprint,
        ..ask(ticket, "c1", "a")
    }
}
