//! Arbiters that die, move or run twice: held slots, epochs and leases.

mod slots;

use std::time::Duration;

use citron_policy::arbiter::{Refusal, Reply};
use googletest::prelude::*;
use slots::{Daemons, Sent, Told, ask, catalogue, done, runners};

fn granted(told: &[Told]) -> usize {
    let granted = |it: &&Told| matches!(it, Told::Granted { .. });
    told.iter().filter(granted).count()
}

/// Three daemons and two runners with two slots each; the first daemon hosts the arbiter.
fn daemons() -> Daemons {
    Daemons::new(3, catalogue(2, |_| {}), runners(2))
}

#[gtest]
fn asks_are_granted_up_to_the_slots_and_releases_free_them() {
    let mut daemons = daemons();
    for ticket in 0..6 {
        daemons.take(1, ask(ticket, "c0", "a"));
    }
    daemons.settle();
    expect_that!(granted(&daemons.drain()), eq(4));
    daemons.release(1, 0, done());
    daemons.settle();
    expect_that!(granted(&daemons.drain()), eq(1));
}

#[gtest]
fn a_new_arbiter_counts_held_slots_and_keeps_waiting_requests() {
    let mut daemons = daemons();
    for ticket in 0..6 {
        daemons.take(1, ask(ticket, "c0", "a"));
        daemons.take(2, ask(ticket, "c1", "b"));
    }
    daemons.settle();
    expect_that!(granted(&daemons.drain()), eq(4));
    daemons.kill(0);
    daemons.announce_live();
    daemons.pass(Duration::from_millis(200));
    // All four slots are in use, so the new arbiter must grant none.
    expect_that!(daemons.drain(), is_empty());
    expect_that!(daemons.arbiters[&1].stats().running, eq(4));
    expect_that!(daemons.arbiters[&1].stats().queued[0], eq(2));
    daemons.release(1, 0, done());
    daemons.settle();
    let told = daemons.drain();
    expect_that!(granted(&told), eq(1));
    // The new arbiter serves tier zero first as well.
    expect_true!(matches!(told[0], Told::Granted { daemon: 1, .. }));
}

#[gtest]
fn a_new_arbiter_waits_a_bounded_time_for_a_silent_daemon() {
    let mut daemons = daemons();
    daemons.take(1, ask(1, "c0", "a"));
    daemons.settle();
    daemons.drain();
    daemons.kill(0);
    // The third daemon is down too, but the others still see it as live.
    daemons.desks[2] = None;
    let ranks = vec!["i1".to_owned(), "i2".to_owned()];
    daemons.tell_ranks(1, &ranks);
    daemons.take(1, ask(2, "c0", "a"));
    daemons.pass(Duration::from_millis(400));
    expect_that!(granted(&daemons.drain()), eq(1));
}

#[gtest]
fn an_unreachable_arbiter_is_replaced_by_the_next_within_a_second() {
    let mut daemons = daemons();
    daemons.kill(0);
    daemons.take(1, ask(1, "c0", "a"));
    daemons.pass(Duration::from_millis(900));
    let told = daemons.drain();
    expect_that!(granted(&told), eq(1));
    expect_that!(
        daemons.arbiters.keys().collect::<Vec<_>>(),
        elements_are![eq(&&1)]
    );
}

#[gtest]
fn a_late_grant_of_an_older_arbiter_is_rejected_and_released() {
    let mut daemons = daemons();
    daemons.take(1, ask(1, "c0", "a"));
    while let Some(message) = daemons.sent.pop_front() {
        if matches!(
            &message,
            Sent::Reply {
                reply: Reply::Grant { .. },
                ..
            }
        ) {
            daemons.sent.push_back(message);
            break;
        }
        daemons.deliver(message);
    }
    let late: Vec<Sent> = daemons.sent.drain(..).collect();
    expect_that!(late, not(is_empty()));
    // The rendezvous order changes while the grant is in flight.
    let ranks = vec!["i2".to_owned(), "i0".to_owned(), "i1".to_owned()];
    for daemon in 0..3 {
        daemons.tell_ranks(daemon, &ranks);
    }
    daemons.sent.extend(late);
    daemons.pass(Duration::from_millis(500));
    let told = daemons.drain();
    expect_that!(granted(&told), eq(1));
    expect_that!(daemons.arbiters[&0].stats().running, eq(0));
    expect_that!(daemons.arbiters[&2].stats().running, eq(1));
}

#[gtest]
fn a_lost_asker_frees_its_slots_by_lease() {
    let mut daemons = daemons();
    for ticket in 0..4 {
        daemons.take(1, ask(ticket, "c0", "a"));
    }
    daemons.settle();
    daemons.desks[1] = None;
    daemons.take(2, ask(9, "c0", "b"));
    daemons.pass(Duration::from_secs(3));
    let told = daemons.drain();
    expect_true!(told.iter().any(|it| matches!(
        it,
        Told::Granted {
            daemon: 2,
            ticket: 9,
            ..
        }
    )));
}

#[gtest]
fn lost_messages_are_recovered_by_heartbeats() {
    let mut daemons = daemons();
    daemons.take(1, ask(1, "c0", "a"));
    daemons.settle();
    daemons.take(1, ask(2, "c0", "a"));
    daemons.sent.clear();
    daemons.release(1, 1, done());
    daemons.sent.clear();
    daemons.pass(Duration::from_secs(4));
    expect_that!(granted(&daemons.drain()), eq(2));
    expect_that!(daemons.arbiters[&0].stats().running, eq(1));
}

#[gtest]
fn a_lost_release_is_recovered_by_the_heartbeats_of_an_asker_that_holds_more() {
    let mut daemons = daemons();
    daemons.take(1, ask(1, "c0", "a"));
    daemons.take(1, ask(2, "c0", "a"));
    daemons.settle();
    daemons.release(1, 1, done());
    daemons.sent.clear();
    daemons.pass(Duration::from_secs(3));
    expect_that!(daemons.arbiters[&0].stats().running, eq(1));
}

#[gtest]
fn a_passed_deadline_is_refused_at_once() {
    let mut daemons = daemons();
    for ticket in 0..4 {
        daemons.take(1, ask(ticket, "c0", "a"));
    }
    let mut late = ask(9, "c0", "a");
    late.remaining = Duration::from_millis(300);
    daemons.take(1, late);
    daemons.settle();
    daemons.drain();
    daemons.pass(Duration::from_millis(350));
    let refused = Told::Refused {
        daemon: 1,
        ticket: 9,
        refusal: Refusal::Late,
    };
    expect_that!(daemons.drain(), elements_are![eq(&refused)]);
}

#[gtest]
fn requests_without_any_arbiter_are_refused_within_seconds() {
    let mut daemons = daemons();
    daemons.desks[0] = None;
    daemons.desks[2] = None;
    daemons.tell_ranks(1, &["i0".to_owned(), "i2".to_owned()]);
    daemons.take(1, ask(1, "c0", "a"));
    daemons.pass(Duration::from_secs(2));
    let told = daemons.drain();
    expect_that!(
        told,
        elements_are![matches_pattern!(Told::Refused {
            refusal: matches_pattern!(Refusal::Unreachable { .. }),
            ..
        })]
    );
}
