//! Counts of usage windows: the first proposal for a window stays in force.

use std::{collections::BTreeMap, sync::Arc};

use citron_policy::{
    id::WindowId,
    state::{Answer, Command, Limits, Machine, Snapshot},
    usage::{Fixed, MAX_FIXED, Window},
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 300;

/// Proposals in each run.
const PROPOSALS: u64 = 200;

fn shared(number: WindowId, count: u64) -> Arc<Window> {
    Arc::new(window(number, count))
}

fn window(number: WindowId, count: u64) -> Window {
    Window {
        number,
        counts: [("hule930".to_owned(), count)].into_iter().collect(),
    }
}

/// A replica that starts from a snapshot of another.
fn restored(machine: &Machine) -> Machine {
    let usage = machine.usage();
    let snapshot = Snapshot {
        index: machine.index(),
        usage: Fixed::restore(usage.dropped(), usage.windows().cloned().collect()),
        ..Snapshot::default()
    };
    Machine::restore(Limits::default(), snapshot)
}

/// Guards against two reports of one window with different counts, whichever replica
/// answers, and with proposals that are repeated, late, early and out of order.
#[gtest]
fn no_two_counts_are_given_for_a_window() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut replicas = vec![Machine::new(Limits::default()); 3];
        let mut given: BTreeMap<WindowId, Option<Window>> = BTreeMap::new();
        let mut proposed = Vec::new();
        for index in 1..=PROPOSALS {
            let number = 1_000 + index / 4 + random.random_range(0..24) - 12;
            let window = if !proposed.is_empty() && random.random_range(0..4) == 0 {
                let again = random.random_range(0..proposed.len());
                Window::clone(&proposed[again])
            } else {
                window(number, index)
            };
            proposed.push(window.clone());
            let command = Command::Usage(window.clone().into());
            let mut answers = Vec::new();
            for replica in &mut replicas {
                let Answer::Usage(answer) = replica.apply(index, &command).answer else {
                    panic!("seed {seed}: another answer");
                };
                answers.push(answer.map(|it| Window::clone(&it)));
            }
            answers.dedup();
            assert!(
                answers.len() == 1,
                "seed {seed}: replicas differ at {index}"
            );
            let answer = answers.remove(0);
            let first = given.entry(window.number).or_insert_with(|| answer.clone());
            assert!(
                answer.is_none() || *first == answer,
                "seed {seed}: {first:?}, then {answer:?}"
            );
            if random.random_range(0..10) == 0 {
                let target = random.random_range(0..replicas.len());
                replicas[target] = restored(&replicas[(target + 1) % replicas.len()]);
            }
        }
        assert!(given.values().flatten().count() > MAX_FIXED, "seed {seed}");
    }
}

/// Guards against a window that is fixed anew once it was dropped.
#[gtest]
fn a_dropped_window_has_no_counts_any_more() {
    let mut fixed = Fixed::default();
    for number in 1..=MAX_FIXED as u64 + 1 {
        expect_that!(fixed.fix(&shared(number, 1)), some(anything()));
    }
    expect_that!(fixed.dropped(), some(eq(1)));
    let windows = fixed.windows().cloned().collect();
    let mut fixed = Fixed::restore(fixed.dropped(), windows);
    expect_that!(fixed.fix(&shared(1, 2)), none());
    expect_that!(fixed.fix(&shared(2, 2)), some(eq(&shared(2, 1))));
}

/// Guards against a window that is fixed anew after an upgrade to a build that keeps more.
#[gtest]
fn a_snapshot_of_a_build_that_keeps_fewer_windows_is_enough() {
    let mut fixed = Fixed::restore(Some(5), vec![window(6, 1)]);
    expect_that!(fixed.fix(&shared(4, 2)), none());
    expect_that!(fixed.fix(&shared(5, 2)), none());
    expect_that!(fixed.fix(&shared(6, 2)), some(eq(&shared(6, 1))));
    expect_that!(fixed.fix(&shared(7, 2)), some(eq(&shared(7, 2))));
}
