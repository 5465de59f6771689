//! Retries: how failures are classified, and the bound on attempts in an outage.

use std::time::{Duration, Instant};

use citron_policy::retry::{
    Attempt, Budget, DEFAULT_BURST, Decision, Ending, Fate, MAX_ATTEMPTS, MIN_REMAINING, Reason,
    Rerun, burst_per_daemon, decide,
};
use googletest::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn attempt(now: Instant) -> Attempt {
    Attempt {
        fate: Fate::NotRun,
        made: 1,
        rerun: Rerun::Allowed,
        deadline: now + Duration::from_secs(10),
    }
}

fn full_budget() -> Budget {
    let mut budget = Budget::new(100);
    for _ in 0..DEFAULT_BURST {
        budget.earn();
    }
    budget
}

fn property_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[gtest]
fn a_call_without_runs_left_is_retried_only_if_it_did_not_run() {
    let now = Instant::now();
    let spent = |fate| Attempt {
        fate,
        rerun: Rerun::Spent,
        ..attempt(now)
    };
    let mut budget = full_budget();
    let unknown = decide(now, &spent(Fate::Unknown), &mut budget);
    expect_that!(unknown, eq(Decision::GiveUp(Reason::Attempts)));
    let late = decide(
        now + Duration::from_secs(10),
        &spent(Fate::Unknown),
        &mut budget,
    );
    expect_that!(late, eq(Decision::GiveUp(Reason::Late)));
    let not_run = decide(now, &spent(Fate::NotRun), &mut budget);
    expect_that!(not_run, eq(Decision::Again));
}

#[gtest]
fn only_failures_before_the_first_byte_prove_not_run() {
    let table = [
        (Ending::Unconnected, Fate::NotRun),
        (Ending::Unwritten, Fate::NotRun),
        (Ending::PartlyWritten, Fate::Unknown),
        (Ending::Unanswered, Fate::Unknown),
        (Ending::Late, Fate::Unknown),
        (Ending::Cut, Fate::Unknown),
        (Ending::Garbled, Fate::Unknown),
        (Ending::Crossed, Fate::Unknown),
        (Ending::TooLarge, Fate::Unknown),
    ];
    for (ending, fate) in table {
        expect_that!(ending.fate(&[503]), eq(fate), "{ending:?}");
    }
}

#[gtest]
fn no_status_proves_not_run_unless_the_catalogue_lists_it() {
    for status in 100..600 {
        let ending = Ending::Answered(status);
        expect_that!(ending.fate(&[]), not(eq(Fate::NotRun)), "{status}");
        expect_that!(ending.fate(&[status]), eq(Fate::NotRun), "{status}");
    }
}

#[gtest]
fn transient_statuses_do_not_tell_whether_the_request_ran() {
    for status in [408, 421, 425, 429, 502, 503, 504] {
        let fate = Ending::Answered(status).fate(&[]);
        expect_that!(fate, eq(Fate::Unknown), "{status}");
    }
    for status in [200, 201, 204, 301, 400, 404, 409, 422, 500] {
        expect_that!(
            Ending::Answered(status).fate(&[]),
            eq(Fate::Ran),
            "{status}"
        );
    }
}

#[gtest]
fn a_call_that_must_run_once_is_repeated_only_when_it_did_not_run() {
    let now = Instant::now();
    let once = Attempt {
        rerun: Rerun::Forbidden,
        ..attempt(now)
    };
    let unknown = Attempt {
        fate: Fate::Unknown,
        ..once
    };
    expect_that!(decide(now, &once, &mut full_budget()), eq(Decision::Again));
    expect_that!(
        decide(now, &unknown, &mut full_budget()),
        eq(Decision::GiveUp(Reason::MayHaveRun))
    );
}

#[gtest]
fn a_call_that_ran_is_not_retried() {
    let now = Instant::now();
    let ran = Attempt {
        fate: Fate::Ran,
        ..attempt(now)
    };
    let mut budget = full_budget();
    expect_that!(
        decide(now, &ran, &mut budget),
        eq(Decision::GiveUp(Reason::Ran))
    );
    expect_that!(budget, eq(full_budget()));
}

#[gtest]
fn attempts_are_limited_by_count_and_deadline() {
    let now = Instant::now();
    let last = Attempt {
        made: MAX_ATTEMPTS,
        ..attempt(now)
    };
    expect_that!(
        decide(now, &last, &mut full_budget()),
        eq(Decision::GiveUp(Reason::Attempts))
    );
    let tight = Attempt {
        deadline: now + MIN_REMAINING / 2,
        ..attempt(now)
    };
    expect_that!(
        decide(now, &tight, &mut full_budget()),
        eq(Decision::GiveUp(Reason::Late))
    );
    let past = now + Duration::from_secs(11);
    expect_that!(
        decide(past, &attempt(now), &mut full_budget()),
        eq(Decision::GiveUp(Reason::Late))
    );
}

#[gtest]
fn an_unearned_retry_is_not_made() {
    let now = Instant::now();
    let mut budget = Budget::new(10);
    for _ in 0..9 {
        budget.earn();
    }
    expect_that!(
        decide(now, &attempt(now), &mut budget),
        eq(Decision::GiveUp(Reason::Budget))
    );
    budget.earn();
    expect_that!(decide(now, &attempt(now), &mut budget), eq(Decision::Again));
    expect_that!(budget.left(), eq(0));
}

#[gtest]
fn accumulated_retries_are_bounded() {
    let mut budget = Budget::new(10);
    for _ in 0..1_000_000 {
        budget.earn();
    }
    expect_that!(budget.left(), eq(u64::from(DEFAULT_BURST)));
}

#[gtest]
fn in_an_outage_attempts_stay_within_the_percentage_of_requests() {
    let now = Instant::now();
    let strategy = (0_u32..=100, 1_usize..3_000, any::<bool>());
    let outcome = property_runner(128).run(&strategy, |(percent, requests, repeatable)| {
        let mut budget = Budget::new(percent);
        let mut attempts = 0_u64;
        for _ in 0..requests {
            budget.earn();
            let mut made = 1;
            attempts += 1;
            let failed = |made| Attempt {
                made,
                rerun: if repeatable {
                    Rerun::Allowed
                } else {
                    Rerun::Forbidden
                },
                ..attempt(now)
            };
            while decide(now, &failed(made), &mut budget) == Decision::Again {
                made += 1;
                attempts += 1;
            }
            prop_assert!(made <= MAX_ATTEMPTS);
        }
        let bound = requests as u64 * (100 + u64::from(percent)) / 100;
        prop_assert!(
            attempts <= bound,
            "{attempts} attempts, over the bound of {bound}"
        );
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}

/// Number of retries while all runners of a service fail, with the budgets of all
/// daemons full at the start.
fn retries_in_an_outage(daemons: usize, requests: u32, burst: u32) -> u32 {
    let now = Instant::now();
    let mut budgets = vec![Budget::new(15).with_burst(burst); daemons];
    for budget in &mut budgets {
        (0..1_000).for_each(|_| budget.earn());
    }
    let mut made = 0;
    for number in 0..requests {
        let budget = &mut budgets[number as usize % daemons];
        budget.earn();
        made += u32::from(decide(now, &attempt(now), budget) == Decision::Again);
    }
    made
}

/// The budgets of all daemons in front of a service, be they a dozen or many, must not
/// add up to more retries in an outage than the service can absorb.
#[gtest]
fn combined_bursts_of_many_daemons_stay_within_the_slack() {
    for (daemons, requests, slack) in [(11, 200, 62), (91, 1_700, 222), (300, 5_600, 700)] {
        let made = retries_in_an_outage(daemons, requests, burst_per_daemon(slack, daemons));
        expect_that!(made, le(requests / 5 + slack), "{daemons} daemons");
        expect_that!(made, gt(requests / 10), "{daemons} daemons");
    }
}
