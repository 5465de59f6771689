//! The pace of the calls of duties, without a network.

use std::time::{Duration, Instant};

use citron_daemon::duty::pace::Pace;
use googletest::prelude::*;

/// Calls per second that the platform accepts from all daemons.
const ACCEPTED: f64 = 50.0;

/// No spread, so that the times are exact.
const JITTER: f64 = 0.5;

fn at(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// Starts all calls that may start within a time; returns when they did, in ms.
fn starts(pace: &mut Pace, start: Instant, millis: std::ops::Range<u64>) -> Vec<u64> {
    let may_start = |it: &u64| pace.start(at(start, *it)).is_ok();
    millis.filter(may_start).collect()
}

/// Guards against more calls than the platform accepts, also beside an earlier holder.
#[gtest]
fn calls_keep_to_half_of_what_is_accepted() {
    let start = Instant::now();
    let mut pace = Pace::new(start, ACCEPTED);
    expect_that!(starts(&mut pace, start, 0..1_000).len(), eq(25));
}

/// Guards against calls that wait through a fault and then go out together.
#[gtest]
fn after_a_failure_calls_come_one_at_a_time() {
    let start = Instant::now();
    let mut pace = Pace::new(start, ACCEPTED);
    expect_that!(
        starts(&mut pace, start, 0..100),
        elements_are![eq(&0), eq(&40), eq(&80)]
    );
    pace.on_outcome(at(start, 100), start, false, JITTER);
    pace.end();
    expect_that!(
        starts(&mut pace, start, 100..2_000),
        is_empty(),
        "two still run"
    );
    pace.end();
    pace.end();
    expect_that!(
        starts(&mut pace, start, 2_000..4_000),
        elements_are![eq(&2_000)]
    );
    pace.on_outcome(at(start, 4_000), at(start, 2_000), true, JITTER);
    expect_that!(starts(&mut pace, start, 4_000..4_100).len(), eq(3));
}

/// Guards against a pause that is at its longest after one fault of a second.
#[gtest]
fn calls_that_fail_together_are_one_failure() {
    let start = Instant::now();
    let mut pace = Pace::new(start, ACCEPTED);
    expect_that!(starts(&mut pace, start, 0..200).len(), eq(5));
    for _ in 0..5 {
        pace.on_outcome(at(start, 200), at(start, 100), false, JITTER);
        pace.end();
    }
    expect_that!(starts(&mut pace, start, 200..600), elements_are![eq(&450)]);
}

#[gtest]
fn pauses_double_up_to_the_longest() {
    let start = Instant::now();
    let mut pace = Pace::new(start, ACCEPTED);
    let mut now = 0;
    let mut pauses = Vec::new();
    for _ in 0..7 {
        expect_that!(pace.start(at(start, now)), ok(()));
        pace.on_outcome(at(start, now), at(start, now), false, JITTER);
        pace.end();
        let wait = pace.start(at(start, now)).expect_err("a pause");
        let wait = u64::try_from(wait.as_millis()).expect("a short pause");
        pauses.push(wait);
        now += wait;
    }
    expect_that!(
        pauses,
        eq(&vec![250, 500, 1_000, 2_000, 4_000, 4_000, 4_000])
    );
}
