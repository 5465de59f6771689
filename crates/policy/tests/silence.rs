//! When a request is moved away from a silent runner.

use std::time::Duration;

use citron_policy::{
    retry::{MAX_ATTEMPTS, Rerun},
    silence::{Wait, timeout},
};
use googletest::prelude::*;

/// A short call with a target of 150 ms and a deadline of 1.5 s.
fn call() -> Wait {
    Wait {
        target: Duration::from_millis(150),
        remaining: Duration::from_millis(1_500),
        rerun: Rerun::Allowed,
        attempts: 1,
    }
}

#[gtest]
fn a_call_leaves_a_silent_runner_while_there_is_time_for_a_retry() {
    let timeout = timeout(&call()).expect("a timeout");
    expect_that!(
        timeout,
        ge(Duration::from_millis(300)),
        "at least twice its target"
    );
    expect_that!(timeout + call().target, le(call().remaining));
}

#[gtest]
fn a_request_that_may_not_run_again_stays() {
    for rerun in [Rerun::Forbidden, Rerun::Spent] {
        expect_that!(timeout(&Wait { rerun, ..call() }), none());
    }
    let attempts = MAX_ATTEMPTS;
    expect_that!(timeout(&Wait { attempts, ..call() }), none());
}

#[gtest]
fn a_request_without_time_for_a_retry_stays() {
    for remaining in [0, 100, 500, 600] {
        let remaining = Duration::from_millis(remaining);
        expect_that!(
            timeout(&Wait {
                remaining,
                ..call()
            }),
            none(),
            "{remaining:?}"
        );
    }
}

/// A burst delays all answers. A long prompt whose runner begins to answer within
/// twice the target must not be read by a second runner.
#[gtest]
fn a_late_prompt_is_waited_for() {
    let prompt = Wait {
        target: Duration::from_millis(1_500),
        remaining: Duration::from_secs(5),
        ..call()
    };
    expect_that!(timeout(&prompt), some(ge(Duration::from_secs(3))));
}
