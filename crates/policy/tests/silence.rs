//! When a request leaves a runner that says nothing.

use std::time::Duration;

use citron_policy::{
    retry::{MAX_ATTEMPTS, Rerun},
    silence::{Wait, bound},
};
use googletest::prelude::*;

/// A short call: 150 ms is its target, 1.5 s its deadline.
fn call() -> Wait {
    Wait {
        target: Duration::from_millis(150),
        left: Duration::from_millis(1_500),
        rerun: Rerun::Allowed,
        made: 1,
    }
}

#[gtest]
fn a_call_leaves_a_silent_runner_while_there_is_time_for_another() {
    let bound = bound(&call()).expect("a bound");
    expect_that!(bound, ge(Duration::from_millis(300)), "twice its target");
    expect_that!(bound + call().target, le(call().left));
}

#[gtest]
fn what_may_run_once_or_was_tried_enough_stays() {
    for rerun in [Rerun::Forbidden, Rerun::Spent] {
        expect_that!(bound(&Wait { rerun, ..call() }), none());
    }
    let made = MAX_ATTEMPTS;
    expect_that!(bound(&Wait { made, ..call() }), none());
}

#[gtest]
fn without_time_for_another_try_it_stays() {
    for left in [0, 100, 500, 600] {
        let left = Duration::from_millis(left);
        expect_that!(bound(&Wait { left, ..call() }), none(), "{left:?}");
    }
}

/// A burst makes all answers late. A long prompt whose runner begins after less
/// than twice its target must not be read a second time.
#[gtest]
fn a_late_prompt_is_waited_for() {
    let prompt = Wait {
        target: Duration::from_millis(1_500),
        left: Duration::from_secs(5),
        ..call()
    };
    expect_that!(bound(&prompt), some(ge(Duration::from_secs(3))));
}
