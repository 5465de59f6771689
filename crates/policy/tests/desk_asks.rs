//! The requester alone, with arbiters that are silent, slow or contradictory.

mod slots;

use std::time::{Duration, Instant};

use citron_policy::{
    arbiter::{Refusal, Reply, Request},
    requester::{Effect, Event, Requester, Settings},
};
use googletest::prelude::*;
use slots::ask;

fn requester(now: Instant) -> Requester {
    let mut requester = Requester::new(now, Settings::default());
    let ranks = ["i0", "i1", "i2"].map(str::to_owned).to_vec();
    expect_that!(requester.on_event(now, Event::Ranks(ranks)), is_empty());
    requester
}

fn acquire(requester: &mut Requester, now: Instant, ticket: u64, within: Duration) -> Vec<Effect> {
    let ask = ask(ticket, "c0", "a");
    let deadline = now + within;
    requester.on_event(now, Event::Acquire { ask, deadline })
}

fn reply(
    requester: &mut Requester,
    now: Instant,
    from: &str,
    epoch: u64,
    reply: Reply,
) -> Vec<Effect> {
    let from = from.to_owned();
    requester.on_event(now, Event::Reply { from, epoch, reply })
}

fn grant(ticket: u64) -> Reply {
    Reply::Grant {
        ticket,
        runner: "r0".to_owned(),
        alone: false,
        address: None,
        build: "v1".to_owned(),
    }
}

#[gtest]
fn a_passed_deadline_is_refused_though_no_arbiter_answers() {
    let now = Instant::now();
    let mut requester = requester(now);
    acquire(&mut requester, now, 1, Duration::from_millis(300));
    let now = now + Duration::from_millis(301);
    let effects = requester.on_event(now, Event::Tick);
    expect_that!(effects, contains(eq(&Effect::Refused(1, Refusal::Late))));
    expect_that!(requester.waiting(), eq(0));
}

#[gtest]
fn a_grant_of_an_older_epoch_is_released() {
    let now = Instant::now();
    let mut requester = requester(now);
    acquire(&mut requester, now, 1, Duration::from_secs(9));
    expect_that!(
        reply(&mut requester, now, "i0", 5, Reply::Queued(1)),
        is_empty()
    );
    let effects = reply(&mut requester, now, "i0", 4, grant(1));
    expect_that!(
        effects,
        elements_are![matches_pattern!(Effect::Send(
            eq("i0"),
            matches_pattern!(citron_policy::arbiter::Asked {
                request: matches_pattern!(Request::Release(eq(&1), anything())),
                ..
            })
        ))]
    );
    expect_that!(requester.held(), eq(0));
    let effects = reply(&mut requester, now, "i0", 5, grant(1));
    expect_that!(
        effects,
        elements_are![matches_pattern!(Effect::Granted { ticket: eq(&1), .. })]
    );
}

#[gtest]
fn a_duplicate_grant_is_used_once() {
    let now = Instant::now();
    let mut requester = requester(now);
    acquire(&mut requester, now, 1, Duration::from_secs(9));
    expect_that!(reply(&mut requester, now, "i0", 1, grant(1)), len(eq(1)));
    expect_that!(reply(&mut requester, now, "i0", 1, grant(1)), is_empty());
    expect_that!(requester.held(), eq(1));
}

#[gtest]
fn a_grant_after_the_caller_left_is_released() {
    let now = Instant::now();
    let mut requester = requester(now);
    acquire(&mut requester, now, 1, Duration::from_secs(9));
    expect_that!(requester.on_event(now, Event::Cancel(1)), len(eq(1)));
    let effects = reply(&mut requester, now, "i0", 1, grant(1));
    expect_that!(
        effects,
        elements_are![matches_pattern!(Effect::Send(
            eq("i0"),
            matches_pattern!(citron_policy::arbiter::Asked {
                request: matches_pattern!(Request::Release(eq(&1), anything())),
                ..
            })
        ))]
    );
}

#[gtest]
fn a_redirect_loop_is_followed_a_bounded_number_of_times() {
    let now = Instant::now();
    let mut requester = requester(now);
    acquire(&mut requester, now, 1, Duration::from_secs(9));
    let mut hops = 0;
    for _ in 0..50 {
        let at = requester.arbiter().cloned().expect("an arbiter");
        let other = if at == "i0" { "i1" } else { "i0" };
        let moved = Reply::Moved {
            to: Some(other.to_owned()),
        };
        hops += usize::from(!reply(&mut requester, now, &at, 1, moved).is_empty());
    }
    expect_that!(hops, le(3));
    expect_that!(requester.waiting(), eq(1));
}

#[gtest]
fn a_hint_to_an_unknown_daemon_is_followed() {
    let now = Instant::now();
    let mut requester = requester(now);
    acquire(&mut requester, now, 1, Duration::from_secs(9));
    let moved = Reply::Moved {
        to: Some("i9".to_owned()),
    };
    let effects = reply(&mut requester, now, "i0", 1, moved);
    expect_that!(requester.arbiter().map(String::as_str), some(eq("i9")));
    expect_that!(
        effects,
        contains(matches_pattern!(Effect::Send(eq("i9"), anything())))
    );
}

#[gtest]
fn the_first_rank_is_asked_again_after_its_first_answer() {
    let now = Instant::now();
    let mut requester = requester(now);
    acquire(&mut requester, now, 1, Duration::from_secs(9));
    let now = now + Duration::from_millis(600);
    drop(requester.on_event(now, Event::Tick));
    expect_that!(requester.arbiter().map(String::as_str), some(eq("i1")));
    expect_that!(
        reply(&mut requester, now, "i1", 1, Reply::Queued(1)),
        is_empty()
    );
    drop(reply(&mut requester, now, "i0", 1, Reply::Ack));
    expect_that!(requester.arbiter().map(String::as_str), some(eq("i0")));
}

/// Whether the requester leaves the first arbiter when answers take these times.
///
/// One ask is sent after the other, with ticks while each waits.
fn leaves_after(waits: &[Duration]) -> bool {
    let mut now = Instant::now();
    let mut requester = requester(now);
    for (ticket, wait) in (1..).zip(waits) {
        acquire(&mut requester, now, ticket, Duration::from_secs(9));
        let answered = now + *wait;
        while now < answered {
            now = (now + Duration::from_millis(100)).min(answered);
            requester.on_event(now, Event::Tick);
            if requester.arbiter().is_none_or(|it| it != "i0") {
                return true;
            }
        }
        reply(&mut requester, now, "i0", 1, Reply::Queued(ticket));
        now += Duration::from_millis(50);
    }
    false
}

/// Load pattern: a burst that makes the arbiter's answers slower and slower. Leaving it
/// would make another one rebuild all state under the same burst.
#[gtest]
fn an_arbiter_that_grows_slow_is_not_left() {
    let growing = [5, 30, 60, 100, 140, 180, 240, 300, 380, 450, 550];
    expect_that!(leaves_after(&growing.map(Duration::from_millis)), eq(false));
}

/// A silent arbiter is left at the lower bound under low load, and under a burst within
/// little more than the target of a plain call.
#[gtest]
fn an_arbiter_that_falls_silent_is_left_in_time() {
    let low_load = [5, 5, 5, 5, 300];
    expect_that!(leaves_after(&low_load.map(Duration::from_millis)), eq(true));
    let burst = [100, 150, 180, 200, 220, 230, 1_100];
    expect_that!(leaves_after(&burst.map(Duration::from_millis)), eq(true));
}
