//! Excluded runners are probed and return, whichever class has requests.

mod slots;

use std::time::Duration;

use citron_policy::arbiter::End;
use googletest::prelude::*;
use slots::{Daemons, Outcome, ask, catalogue, done, runners, sample};

/// Requests a slot; returns the runner if it was granted at once.
fn granted(daemons: &mut Daemons, ticket: u64, class: &str) -> Option<String> {
    daemons.acquire(0, ask(ticket, class, "a"));
    daemons.deliver_all();
    let outcomes = daemons.take_outcomes();
    outcomes.into_iter().find_map(|outcome| match outcome {
        Outcome::Granted { runner, .. } => Some(runner),
        _ => None,
    })
}

#[gtest]
fn a_broken_runner_comes_back_although_the_lowest_class_has_no_requests() {
    let mut daemons = Daemons::new(1, catalogue(2, |_| {}), runners(2));
    expect_that!(granted(&mut daemons, 1, "c0"), some(anything()));
    daemons.release(0, 1, sample(End::Broken, Duration::from_millis(10)));
    daemons.deliver_all();
    expect_that!(daemons.arbiters[&0].stats().usable, eq(1));
    for ticket in 2..120 {
        daemons.run(Duration::from_millis(50));
        if granted(&mut daemons, ticket, "c0").is_some() {
            daemons.release(0, ticket, done());
        }
        daemons.deliver_all();
    }
    expect_that!(daemons.arbiters[&0].stats().usable, eq(2));
}

#[gtest]
fn a_suspect_is_answered_although_no_runner_is_usable() {
    let mut daemons = Daemons::new(1, catalogue(2, |_| {}), runners(1));
    let suspect = |ticket| {
        let mut ask = ask(ticket, "c0", "a");
        ask.fingerprint = 7;
        ask
    };
    daemons.acquire(0, suspect(1));
    daemons.deliver_all();
    daemons.release(0, 1, sample(End::Broken, Duration::from_millis(10)));
    daemons.deliver_all();
    daemons.take_outcomes();
    daemons.run(Duration::from_secs(1));
    daemons.acquire(0, suspect(2));
    daemons.run(Duration::from_secs(2));
    expect_that!(daemons.take_outcomes(), not(is_empty()));
}
