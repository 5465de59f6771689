//! Arbiters that die, move or run twice: held slots, epochs and leases.

mod slots;

use std::time::Duration;

use citron_policy::arbiter::{Refusal, Reply};
use googletest::prelude::*;
use slots::{Daemons, Message, Outcome, ask, catalogue, done, runners};

fn granted(outcomes: &[Outcome]) -> usize {
    let granted = |it: &&Outcome| matches!(it, Outcome::Granted { .. });
    outcomes.iter().filter(granted).count()
}

/// Three daemons and two runners with two slots each; the first daemon hosts the arbiter.
fn daemons() -> Daemons {
    Daemons::new(3, catalogue(2, |_| {}), runners(2))
}

#[gtest]
fn asks_are_granted_up_to_the_slots_and_releases_free_them() {
    let mut daemons = daemons();
    for ticket in 0..6 {
        daemons.acquire(1, ask(ticket, "c0", "a"));
    }
    daemons.deliver_all();
    expect_that!(granted(&daemons.take_outcomes()), eq(4));
    daemons.release(1, 0, done());
    daemons.deliver_all();
    expect_that!(granted(&daemons.take_outcomes()), eq(1));
}

#[gtest]
fn a_new_arbiter_counts_held_slots_and_keeps_waiting_requests() {
    let mut daemons = daemons();
    for ticket in 0..6 {
        daemons.acquire(1, ask(ticket, "c0", "a"));
        daemons.acquire(2, ask(ticket, "c1", "b"));
    }
    daemons.deliver_all();
    expect_that!(granted(&daemons.take_outcomes()), eq(4));
    daemons.kill(0);
    daemons.announce_live();
    daemons.run(Duration::from_millis(200));
    // All four slots are in use, so the new arbiter must grant none.
    expect_that!(daemons.take_outcomes(), is_empty());
    expect_that!(daemons.arbiters[&1].stats().running, eq(4));
    expect_that!(daemons.arbiters[&1].stats().queued[0], eq(2));
    daemons.release(1, 0, done());
    daemons.deliver_all();
    let outcomes = daemons.take_outcomes();
    expect_that!(granted(&outcomes), eq(1));
    // The new arbiter serves tier zero first as well.
    expect_true!(matches!(outcomes[0], Outcome::Granted { daemon: 1, .. }));
}

#[gtest]
fn a_new_arbiter_waits_a_bounded_time_for_a_silent_daemon() {
    let mut daemons = daemons();
    daemons.acquire(1, ask(1, "c0", "a"));
    daemons.deliver_all();
    daemons.take_outcomes();
    daemons.kill(0);
    // The third daemon is down too, but the others still see it as live.
    daemons.requesters[2] = None;
    let ranks = vec!["i1".to_owned(), "i2".to_owned()];
    daemons.set_ranks(1, &ranks);
    daemons.acquire(1, ask(2, "c0", "a"));
    daemons.run(Duration::from_millis(400));
    expect_that!(granted(&daemons.take_outcomes()), eq(1));
}

#[gtest]
fn an_unreachable_arbiter_is_replaced_by_the_next_within_a_second() {
    let mut daemons = daemons();
    daemons.kill(0);
    daemons.acquire(1, ask(1, "c0", "a"));
    daemons.run(Duration::from_millis(900));
    let outcomes = daemons.take_outcomes();
    expect_that!(granted(&outcomes), eq(1));
    expect_that!(
        daemons.arbiters.keys().collect::<Vec<_>>(),
        elements_are![eq(&&1)]
    );
}

#[gtest]
fn a_late_grant_of_an_older_arbiter_is_rejected_and_released() {
    let mut daemons = daemons();
    daemons.acquire(1, ask(1, "c0", "a"));
    while let Some(message) = daemons.in_flight.pop_front() {
        if matches!(
            &message,
            Message::Reply {
                reply: Reply::Grant { .. },
                ..
            }
        ) {
            daemons.in_flight.push_back(message);
            break;
        }
        daemons.deliver(message);
    }
    let late: Vec<Message> = daemons.in_flight.drain(..).collect();
    expect_that!(late, not(is_empty()));
    // The rendezvous order changes while the grant is in flight.
    let ranks = vec!["i2".to_owned(), "i0".to_owned(), "i1".to_owned()];
    for daemon in 0..3 {
        daemons.set_ranks(daemon, &ranks);
    }
    daemons.in_flight.extend(late);
    daemons.run(Duration::from_millis(500));
    let outcomes = daemons.take_outcomes();
    expect_that!(granted(&outcomes), eq(1));
    expect_that!(daemons.arbiters[&0].stats().running, eq(0));
    expect_that!(daemons.arbiters[&2].stats().running, eq(1));
}

#[gtest]
fn a_lost_asker_frees_its_slots_by_lease() {
    let mut daemons = daemons();
    for ticket in 0..4 {
        daemons.acquire(1, ask(ticket, "c0", "a"));
    }
    daemons.deliver_all();
    daemons.requesters[1] = None;
    daemons.acquire(2, ask(9, "c0", "b"));
    daemons.run(Duration::from_secs(3));
    let outcomes = daemons.take_outcomes();
    expect_true!(outcomes.iter().any(|it| matches!(
        it,
        Outcome::Granted {
            daemon: 2,
            ticket: 9,
            ..
        }
    )));
}

#[gtest]
fn lost_messages_are_recovered_by_heartbeats() {
    let mut daemons = daemons();
    daemons.acquire(1, ask(1, "c0", "a"));
    daemons.deliver_all();
    daemons.acquire(1, ask(2, "c0", "a"));
    daemons.in_flight.clear();
    daemons.release(1, 1, done());
    daemons.in_flight.clear();
    daemons.run(Duration::from_secs(4));
    expect_that!(granted(&daemons.take_outcomes()), eq(2));
    expect_that!(daemons.arbiters[&0].stats().running, eq(1));
}

#[gtest]
fn a_lost_release_is_recovered_by_the_heartbeats_of_an_asker_that_holds_more() {
    let mut daemons = daemons();
    daemons.acquire(1, ask(1, "c0", "a"));
    daemons.acquire(1, ask(2, "c0", "a"));
    daemons.deliver_all();
    daemons.release(1, 1, done());
    daemons.in_flight.clear();
    daemons.run(Duration::from_secs(3));
    expect_that!(daemons.arbiters[&0].stats().running, eq(1));
}

#[gtest]
fn a_passed_deadline_is_refused_at_once() {
    let mut daemons = daemons();
    for ticket in 0..4 {
        daemons.acquire(1, ask(ticket, "c0", "a"));
    }
    let mut late = ask(9, "c0", "a");
    late.remaining = Duration::from_millis(300);
    daemons.acquire(1, late);
    daemons.deliver_all();
    daemons.take_outcomes();
    daemons.run(Duration::from_millis(350));
    let refused = Outcome::Refused {
        daemon: 1,
        ticket: 9,
        refusal: Refusal::Late,
    };
    expect_that!(daemons.take_outcomes(), elements_are![eq(&refused)]);
}

#[gtest]
fn requests_without_any_arbiter_are_refused_within_seconds() {
    let mut daemons = daemons();
    daemons.requesters[0] = None;
    daemons.requesters[2] = None;
    daemons.set_ranks(1, &["i0".to_owned(), "i2".to_owned()]);
    daemons.acquire(1, ask(1, "c0", "a"));
    daemons.run(Duration::from_secs(2));
    let outcomes = daemons.take_outcomes();
    expect_that!(
        outcomes,
        elements_are![matches_pattern!(Outcome::Refused {
            refusal: matches_pattern!(Refusal::Unreachable { .. }),
            ..
        })]
    );
}
