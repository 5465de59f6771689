//! The asking side alone: what it answers when arbiters are silent or confused.

mod slots;

use std::time::{Duration, Instant};

use citron_policy::{
    arbiter::{Refusal, Reply, Request},
    requester::{Effect, Event, Requester, Settings},
};
use googletest::prelude::*;
use slots::ask;

fn desk(now: Instant) -> Requester {
    let mut desk = Requester::new(now, Settings::default());
    let ranks = ["i0", "i1", "i2"].map(str::to_owned).to_vec();
    expect_that!(desk.on_event(now, Event::Ranks(ranks)), is_empty());
    desk
}

fn take(desk: &mut Requester, now: Instant, ticket: u64, within: Duration) -> Vec<Effect> {
    let ask = ask(ticket, "c0", "a");
    let deadline = now + within;
    desk.on_event(now, Event::Acquire { ask, deadline })
}

fn reply(desk: &mut Requester, now: Instant, from: &str, epoch: u64, reply: Reply) -> Vec<Effect> {
    let from = from.to_owned();
    desk.on_event(now, Event::Reply { from, epoch, reply })
}

fn grant(ticket: u64) -> Reply {
    Reply::Grant {
        ticket,
        runner: "r0".to_owned(),
        alone: false,
        address: None,
    }
}

#[gtest]
fn a_passed_deadline_is_told_though_no_arbiter_answers() {
    let now = Instant::now();
    let mut desk = desk(now);
    take(&mut desk, now, 1, Duration::from_millis(300));
    let now = now + Duration::from_millis(301);
    let effects = desk.on_event(now, Event::Tick);
    expect_that!(effects, contains(eq(&Effect::Refused(1, Refusal::Late))));
    expect_that!(desk.waiting(), eq(0));
}

#[gtest]
fn a_grant_of_an_older_epoch_is_given_back() {
    let now = Instant::now();
    let mut desk = desk(now);
    take(&mut desk, now, 1, Duration::from_secs(9));
    expect_that!(reply(&mut desk, now, "i0", 5, Reply::Queued(1)), is_empty());
    let effects = reply(&mut desk, now, "i0", 4, grant(1));
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
    expect_that!(desk.held(), eq(0));
    let effects = reply(&mut desk, now, "i0", 5, grant(1));
    expect_that!(
        effects,
        elements_are![matches_pattern!(Effect::Granted { ticket: eq(&1), .. })]
    );
}

#[gtest]
fn a_doubled_grant_is_taken_once() {
    let now = Instant::now();
    let mut desk = desk(now);
    take(&mut desk, now, 1, Duration::from_secs(9));
    expect_that!(reply(&mut desk, now, "i0", 1, grant(1)), len(eq(1)));
    expect_that!(reply(&mut desk, now, "i0", 1, grant(1)), is_empty());
    expect_that!(desk.held(), eq(1));
}

#[gtest]
fn a_grant_after_the_caller_left_is_given_back() {
    let now = Instant::now();
    let mut desk = desk(now);
    take(&mut desk, now, 1, Duration::from_secs(9));
    expect_that!(desk.on_event(now, Event::Cancel(1)), len(eq(1)));
    let effects = reply(&mut desk, now, "i0", 1, grant(1));
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
fn daemons_that_point_at_each_other_are_not_followed_for_ever() {
    let now = Instant::now();
    let mut desk = desk(now);
    take(&mut desk, now, 1, Duration::from_secs(9));
    let mut hops = 0;
    for _ in 0..50 {
        let at = desk.arbiter().cloned().expect("an arbiter");
        let other = if at == "i0" { "i1" } else { "i0" };
        let moved = Reply::Moved {
            to: Some(other.to_owned()),
        };
        hops += usize::from(!reply(&mut desk, now, &at, 1, moved).is_empty());
    }
    expect_that!(hops, le(3));
    expect_that!(desk.waiting(), eq(1));
}

#[gtest]
fn a_hint_to_an_unknown_daemon_is_followed() {
    let now = Instant::now();
    let mut desk = desk(now);
    take(&mut desk, now, 1, Duration::from_secs(9));
    let moved = Reply::Moved {
        to: Some("i9".to_owned()),
    };
    let effects = reply(&mut desk, now, "i0", 1, moved);
    expect_that!(desk.arbiter().map(String::as_str), some(eq("i9")));
    expect_that!(
        effects,
        contains(matches_pattern!(Effect::Send(eq("i9"), anything())))
    );
}

#[gtest]
fn a_return_to_the_first_rank_follows_its_first_answer() {
    let now = Instant::now();
    let mut desk = desk(now);
    take(&mut desk, now, 1, Duration::from_secs(9));
    let now = now + Duration::from_millis(600);
    drop(desk.on_event(now, Event::Tick));
    expect_that!(desk.arbiter().map(String::as_str), some(eq("i1")));
    expect_that!(reply(&mut desk, now, "i1", 1, Reply::Queued(1)), is_empty());
    drop(reply(&mut desk, now, "i0", 1, Reply::Beat));
    expect_that!(desk.arbiter().map(String::as_str), some(eq("i0")));
}

/// Asks, and answers each after `wait`; ticks meanwhile. Whether the first arbiter
/// was left for another.
fn leaves_after(waits: &[Duration]) -> bool {
    let mut now = Instant::now();
    let mut desk = desk(now);
    for (ticket, wait) in (1..).zip(waits) {
        take(&mut desk, now, ticket, Duration::from_secs(9));
        let answered = now + *wait;
        while now < answered {
            now = (now + Duration::from_millis(100)).min(answered);
            desk.on_event(now, Event::Tick);
            if desk.arbiter().is_none_or(|it| it != "i0") {
                return true;
            }
        }
        reply(&mut desk, now, "i0", 1, Reply::Queued(ticket));
        now += Duration::from_millis(50);
    }
    false
}

/// A burst under which the arbiter's answers take longer and longer: whoever leaves
/// it makes another one learn everything anew, under the same burst.
#[gtest]
fn an_arbiter_that_grows_slow_is_not_taken_for_lost() {
    let growing = [5, 30, 60, 100, 140, 180, 240, 300, 380, 450, 550];
    expect_that!(leaves_after(&growing.map(Duration::from_millis)), eq(false));
}

/// One that is silent is left as soon as before, and under a burst within the
/// time that a plain call aims at and some.
#[gtest]
fn an_arbiter_that_falls_silent_is_left_in_time() {
    let calm = [5, 5, 5, 5, 300];
    expect_that!(leaves_after(&calm.map(Duration::from_millis)), eq(true));
    let pressed = [100, 150, 180, 200, 220, 230, 1_100];
    expect_that!(leaves_after(&pressed.map(Duration::from_millis)), eq(true));
}
