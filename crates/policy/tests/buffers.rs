//! What is given up first when the memory for buffers is short.

use citron_policy::buffer::{Budget, Kind};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const LIMIT: u64 = 1_000_000;

/// Size of a small buffer.
const SMALL: u64 = 1_000;

/// Fills a budget with small buffers of one kind; returns the bytes that fitted.
fn fill(budget: &mut Budget, kind: Kind) -> u64 {
    while budget.take(kind, 0, SMALL) {}
    budget.bytes(kind)
}

// Failures of one service without an end left no room for the answers of another.
#[gtest]
fn failures_leave_room_for_requests_and_answers() {
    let mut budget = Budget::new(LIMIT);
    expect_that!(fill(&mut budget, Kind::Failure), eq(LIMIT / 4));
    expect_that!(fill(&mut budget, Kind::Request), ge(LIMIT / 2));
    expect_that!(fill(&mut budget, Kind::Answer), ge(LIMIT / 4));
    expect_that!(budget.total(), le(LIMIT));
}

// Requests that fill the room would leave none for the answers to them.
#[gtest]
fn requests_leave_room_for_answers() {
    let mut budget = Budget::new(LIMIT);
    fill(&mut budget, Kind::Request);
    expect_that!(fill(&mut budget, Kind::Answer), ge(LIMIT / 4));
}

// A few answers without an end, all successes, left no room for bookings.
#[gtest]
fn answers_without_an_end_leave_room_for_small_ones() {
    let mut budget = Budget::new(LIMIT);
    let mut held = 0;
    while budget.take(Kind::Answer, held, SMALL) {
        held += SMALL;
    }
    expect_that!(held, ge(LIMIT / 2));
    let large = budget.bytes(Kind::Answer);
    expect_that!(fill(&mut budget, Kind::Answer) - large, ge(LIMIT / 10));
}

#[gtest]
fn what_was_refused_takes_no_room_and_what_ends_gives_it_back() {
    let mut budget = Budget::new(LIMIT);
    expect_that!(budget.take(Kind::Answer, 0, u64::MAX), eq(false));
    expect_that!(budget.total(), eq(0));
    let held = fill(&mut budget, Kind::Answer);
    expect_that!(held, eq(LIMIT));
    expect_that!(budget.take(Kind::Request, 0, 1), eq(false));
    budget.give_back(Kind::Answer, held);
    expect_that!(budget.take(Kind::Request, 0, LIMIT / 2), eq(true));
}

// Whatever is asked for in whatever order, the sum stays within the bound.
#[gtest]
fn random_use_never_passes_the_bound() {
    for seed in 0..50 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut budget = Budget::new(LIMIT);
        let mut taken: Vec<(Kind, u64)> = Vec::new();
        for _ in 0..2_000 {
            let kinds = [Kind::Failure, Kind::Request, Kind::Answer];
            let kind = kinds[random.random_range(0..kinds.len())];
            if random.random_range(0..3) == 0 && !taken.is_empty() {
                let (kind, bytes) = taken.swap_remove(random.random_range(0..taken.len()));
                budget.give_back(kind, bytes);
            } else {
                let bytes = random.random_range(0..LIMIT / 5);
                if budget.take(kind, 0, bytes) {
                    taken.push((kind, bytes));
                }
            }
            let sum: u64 = taken.iter().map(|(_, bytes)| bytes).sum();
            assert_that!(budget.total(), eq(sum), "seed {seed}");
            assert_that!(budget.total(), le(LIMIT), "seed {seed}");
        }
    }
}
