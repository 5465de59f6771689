//! A request that crashes its runner causes at most three crashes, and the other
//! requests complete, whichever daemon it is sent to and while arbiters fail.

mod slots;

use std::{sync::Arc, time::Duration};

use citron_policy::{
    arbiter::{self, Ask, End, Inventory, Refusal},
    crash::{self, Mark, Overlay, Step, Table},
};
use googletest::prelude::*;
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use slots::{Daemons, Outcome, ask, catalogue, done, runners, sample};

const DAEMONS: usize = 5;

/// Fingerprint of the request that crashes every runner it runs on.
const POISON: u64 = 0xdead;

struct Simulation {
    daemons: Daemons,
    random: StdRng,
    next: u64,
    /// Fingerprint, runner and daemon of each granted slot, by ticket.
    granted: IndexMap<u64, (u64, String, usize)>,
    fingerprints: IndexMap<u64, u64>,
    crashes: u32,
    quarantined: u32,
    /// Fingerprints of the other requests that have not completed.
    pending: IndexSet<u64>,
    /// Daemon and fingerprint of refused requests, resent at the next step.
    resends: Vec<(usize, u64)>,
    /// Whether the control log replicates marks to all daemons.
    log_available: bool,
}

impl Simulation {
    fn new(seed: u64, log_available: bool) -> Self {
        Self {
            daemons: Daemons::new(DAEMONS, catalogue(4, |_| {}), runners(4)),
            random: StdRng::seed_from_u64(seed),
            next: 1,
            granted: IndexMap::new(),
            fingerprints: IndexMap::new(),
            crashes: 0,
            quarantined: 0,
            pending: IndexSet::new(),
            resends: Vec::new(),
            log_available,
        }
    }

    fn send(&mut self, daemon: usize, fingerprint: u64) {
        let ticket = self.next;
        self.next += 1;
        let mut ask = ask(ticket, "c1", "a");
        ask.fingerprint = fingerprint;
        self.fingerprints.insert(ticket, fingerprint);
        if fingerprint != POISON {
            self.pending.insert(fingerprint);
        }
        self.daemons.acquire(daemon, ask);
    }

    fn advance(&mut self, time: Duration) {
        let end = self.daemons.now + time;
        while self.daemons.now < end {
            self.daemons.now += Duration::from_millis(50);
            for (daemon, fingerprint) in std::mem::take(&mut self.resends) {
                self.send(daemon, fingerprint);
            }
            self.daemons.tick();
            self.deliver_all();
            self.commit();
            if self.random.random_bool(0.6) {
                self.finish_one();
            }
        }
    }

    fn deliver_all(&mut self) {
        loop {
            self.daemons.deliver_all();
            let outcomes = self.daemons.take_outcomes();
            if outcomes.is_empty() {
                return;
            }
            for outcome in outcomes {
                self.on_outcome(outcome);
            }
        }
    }

    fn on_outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Granted {
                daemon,
                ticket,
                runner,
                alone,
            } => {
                let fingerprint = self.fingerprints[&ticket];
                if alone {
                    let others = self.granted.values().filter(|it| it.1 == runner).count();
                    expect_that!(others, eq(0), "a suspect runs alone on its runner");
                }
                self.granted.insert(ticket, (fingerprint, runner, daemon));
            }
            Outcome::Refused {
                daemon,
                ticket,
                refusal,
            } => self.on_refused(daemon, ticket, &refusal),
            Outcome::Preempted { .. } => {}
        }
    }

    fn on_refused(&mut self, daemon: usize, ticket: u64, refusal: &Refusal) {
        let fingerprint = self.fingerprints[&ticket];
        if fingerprint == POISON {
            self.quarantined += u32::from(*refusal == Refusal::Quarantined);
            return;
        }
        expect_that!(*refusal, not(eq(&Refusal::Quarantined)));
        // Other requests are resent at the next step.
        self.resends.push((daemon, fingerprint));
    }

    fn finish_one(&mut self) {
        if self.granted.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.granted.len());
        let Some((ticket, (fingerprint, runner, daemon))) = self.granted.swap_remove_index(index)
        else {
            return;
        };
        if fingerprint == POISON {
            self.crash(ticket, &runner, daemon);
        } else {
            self.pending.swap_remove(&fingerprint);
            self.daemons.release(daemon, ticket, done());
        }
        self.deliver_all();
    }

    /// Breaks all connections to a runner, in random order; other requests are resent.
    fn crash(&mut self, ticket: u64, runner: &str, daemon: usize) {
        self.crashes += 1;
        let affected = self.granted.iter().filter(|(_, it)| it.1 == runner);
        let mut affected: Vec<(u64, u64, usize)> =
            affected.map(|(ticket, it)| (*ticket, it.0, it.2)).collect();
        affected.push((ticket, POISON, daemon));
        let first = self.random.random_range(0..affected.len());
        affected.rotate_left(first);
        for (ticket, fingerprint, daemon) in affected {
            self.granted.swap_remove(&ticket);
            self.daemons
                .release(daemon, ticket, sample(End::Broken, Duration::ZERO));
            if fingerprint != POISON {
                self.send(daemon, fingerprint);
            }
        }
    }

    /// Commits the proposed steps to the control log and replicates them to all daemons.
    fn commit(&mut self) {
        if self.log_available {
            self.daemons.commit_marks();
        }
    }

    /// The arbiter is lost with its state, and another daemon takes over.
    fn lose_arbiter(&mut self) {
        for host in self.daemons.hosts() {
            self.daemons.arbiters.swap_remove(&host);
        }
        let first = self.random.random_range(0..DAEMONS);
        let mut order: Vec<String> = (0..DAEMONS).map(slots::name).collect();
        order.rotate_left(first);
        for daemon in 0..DAEMONS {
            self.daemons.set_ranks(daemon, &order);
        }
    }
}

/// Sends the poison request to every daemon in turn, `copies` at a time.
fn send_through_all(seed: u64, log_available: bool, copies: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, log_available);
    if copies > 1 {
        // The first copies arrive at an idle pool.
        for daemon in 0..copies {
            simulation.send(daemon, POISON);
        }
        simulation.deliver_all();
    }
    for fingerprint in 1..=12 {
        simulation.send(
            usize::try_from(fingerprint).expect("small") % DAEMONS,
            fingerprint,
        );
    }
    for round in 0..DAEMONS * 2 {
        for copy in 0..copies {
            simulation.send((round + copy) % DAEMONS, POISON);
        }
        simulation.advance(Duration::from_secs(3));
        if round % 2 == 0 {
            simulation.lose_arbiter();
        }
        simulation.advance(Duration::from_millis(500));
    }
    simulation.advance(Duration::from_secs(30));
    simulation
}

fn check(log_available: bool, copies: usize) {
    for seed in 0..24 {
        let simulation = send_through_all(seed, log_available, copies);
        expect_that!(
            simulation.crashes,
            all!(ge(1), le(3)),
            "seed {seed}, log available {log_available}, {copies} copies"
        );
        expect_that!(
            simulation.quarantined,
            ge(1),
            "seed {seed}: the poison request is quarantined"
        );
        expect_that!(
            simulation.pending,
            is_empty(),
            "seed {seed}: the other requests complete"
        );
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

/// State after the poison request, sent through `daemon`, crashed a runner while it
/// ran alone; the marks proposed to the control log are lost.
fn quarantined_by(daemon: usize) -> Daemons {
    let mut daemons = Daemons::new(4, catalogue(4, |_| {}), runners(2));
    let mut poison = ask(1, "c0", "a");
    poison.fingerprint = POISON;
    poison.suspected = true;
    daemons.requester_event(
        daemon,
        citron_policy::requester::Event::Reply {
            from: slots::name(0),
            epoch: 1,
            reply: citron_policy::arbiter::Reply::Mark(Step::Suspected(vec![POISON])),
        },
    );
    daemons.acquire(daemon, poison);
    daemons.deliver_all();
    expect_that!(
        daemons.take_outcomes(),
        elements_are![matches_pattern!(Outcome::Granted {
            alone: eq(&true),
            ..
        })]
    );
    daemons.release(daemon, 1, sample(End::Broken, Duration::ZERO));
    daemons.in_flight.clear();
    daemons
}

fn refused(daemons: &mut Daemons, daemon: usize) -> bool {
    let mut poison = ask(9, "c0", "a");
    poison.fingerprint = POISON;
    daemons.acquire(daemon, poison);
    daemons.run(Duration::from_secs(1));
    let outcomes = daemons.take_outcomes();
    outcomes.contains(&Outcome::Refused {
        daemon,
        ticket: 9,
        refusal: Refusal::Quarantined,
    })
}

#[gtest]
fn the_daemon_that_saw_a_crash_reports_it_to_a_new_arbiter() {
    let mut daemons = quarantined_by(2);
    daemons.kill(0);
    daemons.announce_live();
    expect_true!(refused(&mut daemons, 3));
}

#[gtest]
fn a_mark_outlives_the_arbiter_and_the_daemon_that_saw_the_crash() {
    let mut daemons = quarantined_by(2);
    // Daemon 3 holds a slot, so that the arbiter knows that daemon.
    daemons.acquire(3, ask(5, "c0", "a"));
    daemons.deliver_all();
    daemons.take_outcomes();
    daemons.requester_event(
        2,
        citron_policy::requester::Event::Ranks(vec![slots::name(0)]),
    );
    let release = citron_policy::arbiter::Asked {
        least: 0,
        fallback: false,
        request: citron_policy::arbiter::Request::Release(1, sample(End::Broken, Duration::ZERO)),
    };
    let from = slots::name(2);
    daemons.arbiter_event(
        0,
        citron_policy::arbiter::Event::Asked {
            from,
            asked: release,
        },
    );
    daemons.deliver_all();
    daemons.kill(0);
    daemons.kill(2);
    daemons.announce_live();
    expect_true!(refused(&mut daemons, 3));
}

#[gtest]
fn a_quarantined_request_is_refused_without_asking() {
    let mut daemons = Daemons::new(2, catalogue(4, |_| {}), runners(2));
    let mut table = Table::default();
    table.apply(&Step::Quarantined(POISON));
    let event = citron_policy::requester::Event::Marks(Arc::new(table));
    daemons.requester_event(1, event);
    let mut poison = ask(1, "c0", "a");
    poison.fingerprint = POISON;
    daemons.acquire(1, poison);
    let refused = Outcome::Refused {
        daemon: 1,
        ticket: 1,
        refusal: Refusal::Quarantined,
    };
    expect_that!(daemons.take_outcomes(), elements_are![eq(&refused)]);
    expect_that!(daemons.in_flight, is_empty());
}

#[gtest]
fn requests_without_an_identity_are_never_marked() {
    let mut daemons = Daemons::new(2, catalogue(4, |_| {}), runners(2));
    daemons.acquire(0, resent(1, crash::NO_FINGERPRINT));
    daemons.deliver_all();
    let suspected = Ask {
        suspected: true,
        ..resent(9, crash::NO_FINGERPRINT)
    };
    let inventory = Inventory {
        exposed: vec![crash::NO_FINGERPRINT],
        suspected: vec![crash::NO_FINGERPRINT],
        quarantined: vec![crash::NO_FINGERPRINT],
        ..Inventory::default()
    };
    for request in [
        arbiter::Request::Inventory(inventory),
        arbiter::Request::Ask(suspected),
    ] {
        let asked = arbiter::Asked {
            least: 0,
            fallback: false,
            request,
        };
        let from = slots::name(1);
        daemons.arbiter_event(0, arbiter::Event::Asked { from, asked });
    }
    daemons.acquire(0, resent(2, crash::NO_FINGERPRINT));
    daemons.deliver_all();
    let outcomes = daemons.take_outcomes();
    expect_that!(is_granted(&outcomes, 1), eq(true));
    expect_that!(is_granted(&outcomes, 2), eq(true));
    expect_that!(daemons.proposed, is_empty());
    let mut table = Table::default();
    table.apply(&Step::Quarantined(crash::NO_FINGERPRINT));
    expect_that!(table.get(crash::NO_FINGERPRINT), none());
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
fn committed_marks_are_no_longer_kept_locally() {
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

/// A single broken stream is no crash if other streams on its runner continue: neither
/// it nor the others have to run alone.
#[gtest]
fn a_single_broken_stream_is_no_crash_if_a_neighbor_completes() {
    let mut daemons = Daemons::new(1, catalogue(8, |_| {}), runners(1));
    for ticket in 1..=3 {
        daemons.acquire(0, ask(ticket, "c1", "a"));
    }
    daemons.deliver_all();
    expect_that!(daemons.take_outcomes().len(), eq(3));
    daemons.now += Duration::from_millis(50);
    daemons.release(0, 1, sample(End::Broken, Duration::from_millis(50)));
    daemons.deliver_all();
    // Neither it nor another request of the same daemon on that runner has to wait.
    for (ticket, fingerprint) in [(11, 1), (12, 2)] {
        daemons.acquire(0, resent(ticket, fingerprint));
        daemons.deliver_all();
        expect_that!(is_granted(&daemons.take_outcomes(), ticket), eq(true));
    }
    // Broken again, it is suspected until a neighbor completes.
    daemons.now += Duration::from_millis(50);
    daemons.release(0, 11, sample(End::Broken, Duration::from_millis(50)));
    daemons.acquire(0, resent(21, 1));
    daemons.deliver_all();
    expect_that!(daemons.take_outcomes(), is_empty());
    daemons.now += Duration::from_millis(100);
    daemons.release(0, 3, done());
    daemons.deliver_all();
    expect_that!(is_granted(&daemons.take_outcomes(), 21), eq(true));
}

/// A runner that dies with many requests: all of them are sent again at once.
#[gtest]
fn requests_in_flight_at_one_crash_do_not_wait_to_run_alone() {
    const REQUESTS: u64 = 64;
    let mut daemons = Daemons::new(DAEMONS, catalogue(64, |_| {}), runners(4));
    let daemon = |ticket: u64| usize::try_from(ticket).expect("small") % DAEMONS;
    for ticket in 0..REQUESTS {
        daemons.acquire(daemon(ticket), resent(ticket, ticket + 1));
    }
    daemons.deliver_all();
    let granted = daemons.take_outcomes();
    let on_first = granted.iter().filter_map(|it| match it {
        Outcome::Granted { ticket, runner, .. } if runner == "r0" => Some(*ticket),
        _ => None,
    });
    let on_first: Vec<u64> = on_first.collect();
    expect_that!(on_first.len(), ge(8));
    for ticket in &on_first {
        let broken = sample(End::Broken, Duration::ZERO);
        daemons.release(daemon(*ticket), *ticket, broken);
        let again = resent(REQUESTS + ticket, ticket + 1);
        daemons.acquire(daemon(*ticket), again);
    }
    daemons.deliver_all();
    let outcomes = daemons.take_outcomes();
    for ticket in on_first {
        expect_that!(
            is_granted(&outcomes, REQUESTS + ticket),
            eq(true),
            "{ticket}"
        );
    }
    expect_that!(daemons.proposed, is_empty());
}

/// A dead runner may get requests until the daemons have reported its death; those
/// were refused there, not in flight.
#[gtest]
fn a_request_refused_by_a_dead_runner_is_not_held_responsible_for_its_crash() {
    let mut daemons = Daemons::new(1, catalogue(4, |_| {}), runners(3));
    for ticket in 1..=9 {
        daemons.acquire(0, ask(ticket, "c1", "a"));
    }
    daemons.deliver_all();
    let placed: IndexMap<u64, String> = daemons
        .take_outcomes()
        .into_iter()
        .filter_map(|it| match it {
            Outcome::Granted { ticket, runner, .. } => Some((ticket, runner)),
            _ => None,
        })
        .collect();
    let broken = sample(End::Broken, Duration::ZERO);
    daemons.release(0, 1, broken);
    daemons.acquire(
        0,
        Ask {
            avoid: vec![placed[&1].clone()],
            ..resent(11, 1)
        },
    );
    daemons.deliver_all();
    let outcomes = daemons.take_outcomes();
    let [Outcome::Granted { runner, .. }] = &outcomes[..] else {
        panic!("no single grant: {outcomes:?}");
    };
    let neighbors = placed.iter().filter(|(_, it)| *it == runner);
    for (ticket, _) in neighbors {
        daemons.release(0, *ticket, broken);
    }
    daemons.release(0, 11, sample(End::Refused, Duration::ZERO));
    daemons.acquire(0, resent(21, 1));
    daemons.deliver_all();
    expect_that!(is_granted(&daemons.take_outcomes(), 21), eq(true));
    expect_that!(daemons.proposed, is_empty());
}

/// Copies of a request that has just completed do not wait for one another.
#[gtest]
fn the_newest_completed_requests_are_remembered() {
    const COMPLETED: u64 = 10_000;
    let mut daemons = Daemons::new(1, catalogue(8, |_| {}), runners(1));
    for fingerprint in 1..=COMPLETED {
        daemons.acquire(0, resent(fingerprint, fingerprint));
        daemons.deliver_all();
        daemons.release(0, fingerprint, done());
        daemons.deliver_all();
    }
    daemons.take_outcomes();
    let copies = COMPLETED + 1..=COMPLETED + 4;
    for ticket in copies.clone() {
        daemons.acquire(0, resent(ticket, COMPLETED - 2));
    }
    daemons.deliver_all();
    let outcomes = daemons.take_outcomes();
    for ticket in copies {
        expect_that!(is_granted(&outcomes, ticket), eq(true), "{ticket}");
    }
}

/// Whether a ticket was granted beside others.
fn is_granted(outcomes: &[Outcome], wanted: u64) -> bool {
    let mut events = outcomes.iter();
    events
        .any(|it| matches!(it, Outcome::Granted { ticket, alone: false, .. } if *ticket == wanted))
}

/// A request that its caller resends under a new ticket.
fn resent(ticket: u64, fingerprint: u64) -> Ask {
    Ask {
        fingerprint,
        ..ask(ticket, "c1", "a")
    }
}

/// Time for which all runners close their connections without an answer.
const OUTAGE: Duration = Duration::from_secs(40);

/// Time after the outage within which its requests are served again.
const RECOVERY: Duration = Duration::from_secs(3);

// An outage of all runners is no evidence against the requests that met it, but those that came
// again and again in it were quarantined for good.
#[gtest]
fn requests_that_are_repeated_through_an_outage_of_all_runners_are_served_after_it() {
    const SOUND: [u64; 2] = [0x50, 0x51];

    let mut daemons = Daemons::new(2, catalogue(4, |_| {}), runners(3));
    let outage_end = daemons.now + OUTAGE;
    let (mut next, mut served) = (0, IndexSet::new());
    while daemons.now < outage_end + RECOVERY {
        for fingerprint in SOUND {
            daemons.acquire(0, resent(next, fingerprint));
            next += 1;
        }
        daemons.deliver_all();
        for outcome in daemons.take_outcomes() {
            let Outcome::Granted { daemon, ticket, .. } = outcome else {
                continue;
            };
            let end = if daemons.now < outage_end {
                End::Broken
            } else {
                served.insert(ticket % 2);
                End::Done
            };
            let took = Duration::from_millis(20);
            daemons.release(daemon, ticket, sample(end, took));
        }
        daemons.deliver_all();
        daemons.commit_marks();
        daemons.now += Duration::from_millis(100);
        daemons.tick();
        daemons.deliver_all();
    }
    expect_that!(served.len(), eq(SOUND.len()));
}

/// Requests that are repeated while all runners close their connections for 10 s, and how
/// many of them are served within [`RECOVERY`] and two commits after it.
fn served_after_outage(runner_count: usize, requests: u64, commit_every: u64) -> usize {
    let mut daemons = Daemons::new(3, catalogue(4, |_| {}), runners(runner_count));
    let outage_end = daemons.now + Duration::from_secs(10);
    // A mark of the outage and its lift may take one commit each.
    let commits = Duration::from_millis(100 * 2 * commit_every);
    let (mut asked, mut served) = (IndexMap::new(), IndexSet::new());
    let mut round = 0;
    while daemons.now < outage_end + RECOVERY + commits {
        for fingerprint in 1..=requests {
            let ticket = u64::try_from(asked.len()).expect("few");
            asked.insert(ticket, fingerprint);
            let daemon = usize::try_from(ticket % 3).expect("small");
            daemons.acquire(daemon, resent(ticket, fingerprint));
        }
        daemons.deliver_all();
        for outcome in daemons.take_outcomes() {
            let Outcome::Granted { daemon, ticket, .. } = outcome else {
                continue;
            };
            let end = if daemons.now < outage_end {
                End::Broken
            } else {
                served.insert(asked[&ticket]);
                End::Done
            };
            daemons.release(daemon, ticket, sample(end, Duration::from_millis(20)));
        }
        daemons.deliver_all();
        round += 1;
        if round % commit_every == 0 {
            daemons.commit_marks();
        }
        daemons.now += Duration::from_millis(100);
        daemons.tick();
        daemons.deliver_all();
    }
    served.len()
}

// Marks of an outage reach the control log late and several at once, from daemons that do not
// see each other's requests; none may outlast the outage.
#[gtest]
fn an_outage_leaves_no_quarantine_however_slow_the_control_log_is() {
    for runner_count in [1, 3, 9] {
        for requests in [2, 5, 20] {
            for commit_every in [1, 7, 30] {
                expect_that!(
                    served_after_outage(runner_count, requests, commit_every),
                    eq(usize::try_from(requests).expect("few")),
                    "{runner_count} runners, {requests} requests, a commit each {commit_every}"
                );
            }
        }
    }
}

// Two requests that crash their runners, one after the other with no answer in between, look
// like an outage; the answers of others must end that, however few they are.
#[gtest]
fn two_requests_that_crash_runners_are_quarantined_beside_few_answers() {
    const DEADLY: [u64; 2] = [0xdead, 0xdeae];
    /// Three crashes until a request is quarantined, at first and after each of two lifts.
    const MAX_CRASHES: usize = 9;
    /// Rounds between two more that a request may cause while nobody is answered.
    const REST: u64 = 10;

    for answer_every in [5, 20, 100] {
        let unanswered = usize::try_from(2 * answer_every / REST).expect("few");
        let mut daemons = Daemons::new(2, catalogue(4, |_| {}), runners(4));
        let (mut asked, mut crashes) = (IndexMap::new(), IndexMap::new());
        let mut last_crash = 0;
        for round in 0..1_000_u64 {
            let sound = (round % answer_every == 0).then_some(round + 1);
            for fingerprint in DEADLY.into_iter().chain(sound) {
                let ticket = u64::try_from(asked.len()).expect("few");
                asked.insert(ticket, fingerprint);
                daemons.acquire(0, resent(ticket, fingerprint));
            }
            daemons.deliver_all();
            for outcome in daemons.take_outcomes() {
                let Outcome::Granted { daemon, ticket, .. } = outcome else {
                    continue;
                };
                let fingerprint = asked[&ticket];
                let end = if DEADLY.contains(&fingerprint) {
                    *crashes.entry(fingerprint).or_insert(0_usize) += 1;
                    last_crash = round;
                    End::Broken
                } else {
                    End::Done
                };
                daemons.release(daemon, ticket, sample(end, Duration::from_millis(20)));
            }
            daemons.deliver_all();
            daemons.commit_marks();
            daemons.now += Duration::from_millis(100);
            daemons.tick();
            daemons.deliver_all();
        }
        expect_that!(last_crash, lt(500), "an answer each {answer_every} rounds");
        for fingerprint in DEADLY {
            expect_that!(
                crashes[&fingerprint],
                le(MAX_CRASHES + unanswered),
                "an answer each {answer_every} rounds"
            );
            let mark = daemons.marks.get(fingerprint);
            expect_that!(mark, some(eq(Mark::Quarantined)));
        }
    }
}

/// Its clearing is not known to be committed, and speaks of a suspicion only.
#[gtest]
fn a_cleared_suspicion_hides_no_quarantine_that_was_committed_meanwhile() {
    let mut suspected = Table::default();
    suspected.apply(&Step::Suspected(vec![7]));
    let mut overlay = Overlay::default();
    overlay.commit(Arc::new(suspected.clone()));
    let step = overlay.on_innocent(7).expect("a step");
    overlay.apply(&step);
    expect_that!(overlay.get(7), none());
    suspected.apply(&Step::Quarantined(7));
    overlay.commit(Arc::new(suspected));
    expect_that!(overlay.get(7), some(eq(Mark::Quarantined)));
    // Proposed again, it would lift the quarantine for all.
    expect_that!(overlay.unconfirmed(), is_empty());
}
