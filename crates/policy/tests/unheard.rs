//! What daemons heard of runners while an arbiter stood still, or could not tell it.
//!
//! The target: an arbiter that was out of step grants no more than the runners take, as
//! far as any live daemon knows what that is.

mod slots;

use std::time::Duration;

use citron_policy::{
    arbiter::{self, Arbiter, Ask, End},
    requester::{self, Requester},
};
use googletest::prelude::*;
use slots::{Daemons, Message, Outcome, ask, catalogue, done, runners, sample};

/// Limit that the only runner names, in requests per second.
const LIMIT: f64 = 0.5;

/// Fingerprint of a request in flight at a crash.
const REQUEST: u64 = 0x5e7;

fn daemons() -> Daemons {
    Daemons::new(4, catalogue(8, |_| {}), runners(1))
}

/// Takes the first daemon out of touch with the others, which notice that.
fn set_aside(daemons: &mut Daemons) -> (Option<Requester>, Option<Arbiter>) {
    let aside = (
        daemons.requesters[0].take(),
        daemons.arbiters.swap_remove(&0),
    );
    daemons.announce_live();
    aside
}

/// Brings it back with all that it knew; neither it nor the others have noticed yet.
fn bring_back(daemons: &mut Daemons, aside: (Option<Requester>, Option<Arbiter>)) {
    daemons.requesters[0] = aside.0;
    daemons.arbiters.extend(aside.1.map(|it| (0, it)));
}

/// Makes a request of a daemon and ends it, with something heard of the runner before.
fn hear(daemons: &mut Daemons, daemon: usize, event: impl Fn(u64) -> requester::Event, end: End) {
    let ticket = 10;
    daemons.acquire(daemon, ask(ticket, "c0", "a"));
    daemons.run(Duration::from_millis(300));
    assert_that!(granted(&daemons.take_outcomes()), eq(1));
    daemons.requester_event(daemon, event(ticket));
    daemons.deliver_all();
    daemons.release(daemon, ticket, sample(end, Duration::from_millis(500)));
    daemons.deliver_all();
}

fn hear_limit(daemons: &mut Daemons, daemon: usize) {
    hear(
        daemons,
        daemon,
        |ticket| requester::Event::Limit(ticket, LIMIT),
        End::Done,
    );
}

fn granted(outcomes: &[Outcome]) -> usize {
    let granted = |it: &&Outcome| matches!(it, Outcome::Granted { .. });
    outcomes.iter().filter(granted).count()
}

/// Asks for a copy of the same request.
fn copy(ticket: u64) -> Ask {
    Ask {
        fingerprint: REQUEST,
        ..ask(ticket, "c0", "a")
    }
}

/// Slots that requests of a daemon get within a time.
fn grants_to(daemons: &mut Daemons, daemon: usize, time: Duration) -> usize {
    for ticket in 100..106 {
        daemons.acquire(daemon, ask(ticket, "c0", "a"));
    }
    daemons.deliver_all();
    daemons.run(time);
    granted(&daemons.take_outcomes())
}

/// Sets the arbiter aside while another daemon hears something; it is back after each of
/// these pauses.
fn each_pause(hear: impl Fn(&mut Daemons), check: impl Fn(&mut Daemons, u64)) {
    for pause in [600, 1_000, 1_900] {
        let mut daemons = daemons();
        daemons.acquire(0, ask(1, "c0", "a"));
        daemons.deliver_all();
        daemons.release(0, 1, done());
        daemons.deliver_all();
        daemons.take_outcomes();
        let aside = set_aside(&mut daemons);
        hear(&mut daemons);
        daemons.run(Duration::from_millis(pause - 300));
        bring_back(&mut daemons, aside);
        check(&mut daemons, pause);
    }
}

/// Its own requests come first, while the others have not noticed yet that it is back.
#[gtest]
fn an_arbiter_that_stood_still_keeps_a_limit_that_others_heard_of() {
    let hear = |daemons: &mut Daemons| hear_limit(daemons, 1);
    each_pause(hear, |daemons, pause| {
        // One is due each two seconds.
        let grants = grants_to(daemons, 0, Duration::from_millis(300));
        expect_that!(grants, le(1), "{pause} ms");
    });
}

#[gtest]
fn an_arbiter_that_stood_still_spares_a_brittle_runner_that_others_heard_of() {
    let brittle = |ticket| requester::Event::Brittle(ticket, 1);
    let hear = |daemons: &mut Daemons| hear(daemons, 1, brittle, End::Done);
    each_pause(hear, |daemons, pause| {
        // One whose request may yet be turned away is all that it bears.
        let grants = grants_to(daemons, 0, Duration::from_millis(100));
        expect_that!(grants, le(1), "{pause} ms");
    });
}

/// The message that asked it is lost, with the link to it, and it has nothing to ask.
#[gtest]
fn a_daemon_that_did_not_tell_a_new_arbiter_in_time_is_asked_again() {
    let mut daemons = daemons();
    hear_limit(&mut daemons, 2);
    daemons.kill(0);
    daemons.announce_live();
    daemons.start_arbiter(1);
    let is_lost = |it: &Message| matches!(it, Message::Reply { to: 2, .. });
    daemons.in_flight.retain(|it| !is_lost(it));
    daemons.deliver_all();
    daemons.run(Duration::from_secs(1));
    let grants = grants_to(&mut daemons, 3, Duration::from_millis(300));
    expect_that!(grants, le(1));
}

/// Nothing of it is held or waits as the arbiter moves, to one that does not know it yet.
#[gtest]
fn an_idle_daemon_tells_the_next_arbiter_what_it_heard_before_it_asks() {
    let mut daemons = daemons();
    hear_limit(&mut daemons, 2);
    let unknown = daemons.requesters[2].take();
    daemons.start_arbiter(1);
    daemons.run(Duration::from_millis(200));
    daemons.requesters[2] = unknown;
    daemons.set_ranks(2, &[1, 0, 2, 3].map(slots::name));
    daemons.deliver_all();
    let grants = grants_to(&mut daemons, 2, Duration::from_millis(300));
    expect_that!(grants, le(1));
}

/// The daemon that saw the crash tells while copies of the request wait already.
#[gtest]
fn copies_that_wait_are_parked_when_the_exposure_of_their_request_is_told() {
    let mut daemons = daemons();
    daemons.acquire(1, copy(10));
    daemons.deliver_all();
    daemons.release(1, 10, sample(End::Broken, Duration::from_millis(500)));
    daemons.deliver_all();
    daemons.take_outcomes();
    daemons.kill(0);
    // The next arbiter starts with two asks, before any daemon has told it anything.
    daemons.start_arbiter(1);
    let told = std::mem::take(&mut daemons.in_flight);
    for daemon in [2, 3] {
        daemons.set_ranks(daemon, &[1, 2, 3].map(slots::name));
        daemons.acquire(daemon, copy(100));
    }
    daemons.in_flight.extend(told);
    daemons.deliver_all();
    daemons.run(Duration::from_millis(300));
    expect_that!(granted(&daemons.take_outcomes()), eq(1));
}

#[gtest]
fn an_arbiter_that_stood_still_runs_one_copy_of_what_was_in_flight_at_a_crash() {
    let hear = |daemons: &mut Daemons| {
        daemons.acquire(1, copy(10));
        daemons.run(Duration::from_millis(300));
        daemons.release(1, 10, sample(End::Broken, Duration::from_millis(500)));
        daemons.deliver_all();
        daemons.take_outcomes();
    };
    each_pause(hear, |daemons, pause| {
        for ticket in [100, 101] {
            daemons.acquire(0, copy(ticket));
        }
        daemons.deliver_all();
        daemons.run(Duration::from_millis(100));
        expect_that!(granted(&daemons.take_outcomes()), eq(1), "{pause} ms");
    });
}

/// It ran all the while, so that nothing shows it by itself that another one stood in.
#[gtest]
fn an_arbiter_that_was_cut_off_learns_a_limit_that_an_idle_daemon_heard_of() {
    let mut daemons = daemons();
    daemons.acquire(3, ask(1, "c0", "a"));
    daemons.deliver_all();
    daemons.release(3, 1, done());
    daemons.deliver_all();
    let (requester, mut arbiter) = set_aside(&mut daemons);
    let mut tick = |daemons: &Daemons| {
        let cut_off = arbiter.as_mut().expect("an arbiter");
        drop(cut_off.on_event(daemons.now, arbiter::Event::Tick));
    };
    daemons.acquire(3, ask(2, "c0", "a"));
    daemons.run(Duration::from_millis(300));
    daemons.release(3, 2, done());
    daemons.take_outcomes();
    tick(&daemons);
    hear_limit(&mut daemons, 2);
    for _ in 0..60 {
        tick(&daemons);
        daemons.run(Duration::from_millis(50));
    }
    tick(&daemons);
    daemons.take_outcomes();
    bring_back(&mut daemons, (requester, arbiter));
    daemons.arbiters.swap_remove(&1);
    daemons.announce_live();
    daemons.run(Duration::from_millis(500));
    let grants = grants_to(&mut daemons, 3, Duration::from_millis(300));
    expect_that!(grants, le(1));
}
