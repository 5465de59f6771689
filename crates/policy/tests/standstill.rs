//! Pauses that the steady clock of a process counts, and those that it does not.

use std::time::{Duration, Instant};

use citron_policy::standstill::Standstill;
use googletest::prelude::*;

fn after(steady_ms: u64, boot_time_ms: u64) -> Option<Duration> {
    let now = Instant::now();
    let mut standstill = Standstill::new(now, now);
    let steady = now + Duration::from_millis(steady_ms);
    standstill.on_work(steady, now + Duration::from_millis(boot_time_ms))
}

/// By the steady clock it did not stand still, and kept an arbiter that others replaced.
#[gtest]
fn a_suspension_that_the_steady_clock_does_not_count_ends_the_arbiters() {
    for suspended in [500, 2_000, 8_000] {
        let pause = Duration::from_millis(100 + suspended);
        expect_that!(after(100, 100 + suspended), some(eq(pause)));
    }
}

#[gtest]
fn a_stop_ends_the_arbiters_after_the_lease_only() {
    expect_that!(after(1_900, 1_900), none());
    expect_that!(after(2_000, 2_000), some(eq(Duration::from_secs(2))));
}

/// Without a boot-time clock both readings are the steady one's.
#[gtest]
fn clocks_that_differ_a_little_end_nothing() {
    expect_that!(after(100, 101), none());
    expect_that!(after(101, 100), none());
    expect_that!(after(100, 300), none());
}
