//! Work that is expected to fit into the time that is left.

use std::time::Duration;

use citron_policy::work::Estimate;
use googletest::prelude::*;

fn after<I>(took_ms: I) -> Estimate
where
    I: IntoIterator<Item = u64>,
{
    let mut estimate = Estimate::default();
    for took in took_ms {
        estimate.record(Duration::from_millis(took));
    }
    estimate
}

fn fits(estimate: &Estimate, left_ms: u64) -> bool {
    estimate.fits(Duration::from_millis(left_ms))
}

#[gtest]
fn long_work_is_not_begun_shortly_before_the_end() {
    let estimate = after([6_000; 20]);
    expect_that!(fits(&estimate, 6_100), eq(true));
    expect_that!(fits(&estimate, 5_900), eq(false));
}

#[gtest]
fn an_unknown_class_is_not_refused() {
    expect_that!(fits(&Estimate::default(), 1), eq(true));
}

#[gtest]
fn one_slow_answer_does_not_refuse_a_class() {
    let estimate = after([50; 50].into_iter().chain([6_000]));
    expect_that!(fits(&estimate, 4_000), eq(true));
    let estimate = after([50; 50].into_iter().chain([6_000]).chain([50; 30]));
    expect_that!(fits(&estimate, 500), eq(true));
}

#[gtest]
fn lengths_that_vary_leave_a_margin() {
    let estimate = after([2_000, 4_000].into_iter().cycle().take(60));
    expect_that!(fits(&estimate, 3_500), eq(false));
    expect_that!(fits(&estimate, 4_500), eq(true));
}
