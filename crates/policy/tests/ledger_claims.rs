//! At most one attempt of a key runs, whatever is lost, duplicated or delayed.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use citron_policy::ledger::{
    Claim, Key, Ledger, Limits, MAX_STORED_BYTES, Outcome, Settle, Stored, Verdict, group,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn at(second: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(second)
}

fn key(name: &str) -> Key {
    Key {
        account: "windhoek".to_owned(),
        name: name.to_owned(),
    }
}

fn claim(name: &str, attempt: u64, second: u64) -> Claim {
    Claim {
        key: key(name),
        digest: 1,
        attempt,
        daemon: "e1".to_owned(),
        deadline: at(second + 30),
        at: at(second),
    }
}

fn settle(name: &str, attempt: u64, second: u64, outcome: Outcome) -> Settle {
    Settle {
        key: key(name),
        attempt,
        outcome,
        at: at(second),
    }
}

fn stored(bytes: usize) -> Stored {
    Stored {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: vec![7; bytes],
    }
}

fn ledger() -> Ledger {
    Ledger::new(Limits::default())
}

#[gtest]
fn a_claim_that_is_asked_again_is_recognised() {
    let mut ledger = ledger();
    expect_that!(ledger.claim(&claim("k", 1, 0)), eq(&Verdict::Run));
    expect_that!(ledger.claim(&claim("k", 1, 1)), eq(&Verdict::Run));
    let held = Verdict::InProgress { deadline: at(30) };
    expect_that!(ledger.claim(&claim("k", 2, 2)), eq(&held));
}

#[gtest]
fn a_resend_gets_the_stored_answer() {
    let mut ledger = ledger();
    ledger.claim(&claim("k", 1, 0));
    ledger.settle(&settle("k", 1, 1, Outcome::Done(stored(9))));
    let again = Verdict::Stored(stored(9));
    expect_that!(ledger.claim(&claim("k", 2, 2)), eq(&again));
    expect_that!(ledger.lookup(at(2), &key("k"), 1), some(eq(&again)));
    // A late settlement does not change the stored answer.
    for late in [Outcome::NotRun, Outcome::Unknown, Outcome::Done(stored(3))] {
        ledger.settle(&settle("k", 1, 3, late));
        expect_that!(ledger.claim(&claim("k", 3, 4)), eq(&again));
    }
}

#[gtest]
fn a_key_that_did_not_run_is_free() {
    let mut ledger = ledger();
    ledger.claim(&claim("k", 1, 0));
    ledger.settle(&settle("k", 1, 1, Outcome::NotRun));
    expect_that!(ledger.lookup(at(1), &key("k"), 1), none());
    expect_that!(ledger.claim(&claim("k", 2, 2)), eq(&Verdict::Run));
    // Delayed copies of the first claim and of its settlement change nothing.
    expect_that!(ledger.claim(&claim("k", 1, 3)), not(eq(&Verdict::Run)));
    ledger.settle(&settle("k", 1, 3, Outcome::NotRun));
    expect_that!(ledger.claim(&claim("k", 3, 4)), not(eq(&Verdict::Run)));
}

#[gtest]
fn a_claim_that_comes_after_its_end_does_not_run() {
    let mut ledger = ledger();
    ledger.settle(&settle("k", 1, 0, Outcome::NotRun));
    expect_that!(ledger.claim(&claim("k", 1, 1)), eq(&Verdict::Unknown));
    expect_that!(ledger.claim(&claim("k", 2, 2)), eq(&Verdict::Run));
}

#[gtest]
fn an_open_claim_past_its_deadline_is_unknown() {
    let mut ledger = ledger();
    ledger.claim(&claim("k", 1, 0));
    expect_that!(
        ledger.lookup(at(30), &key("k"), 1),
        some(eq(&Verdict::Unknown))
    );
    expect_that!(ledger.claim(&claim("k", 2, 30)), eq(&Verdict::Unknown));
    // Once reported as unknown, the key is not freed any more.
    ledger.settle(&settle("k", 1, 31, Outcome::NotRun));
    expect_that!(ledger.claim(&claim("k", 3, 32)), eq(&Verdict::Unknown));
    // A late answer is still stored.
    ledger.settle(&settle("k", 1, 33, Outcome::Done(stored(9))));
    expect_that!(
        ledger.claim(&claim("k", 4, 34)),
        eq(&Verdict::Stored(stored(9)))
    );
}

#[gtest]
fn a_key_with_another_body_is_a_mismatch() {
    let mut ledger = ledger();
    ledger.claim(&claim("k", 1, 0));
    let other = Claim {
        digest: 2,
        ..claim("k", 2, 1)
    };
    expect_that!(ledger.claim(&other), eq(&Verdict::Mismatch));
    ledger.settle(&settle("k", 1, 2, Outcome::Done(stored(9))));
    expect_that!(ledger.claim(&other), eq(&Verdict::Mismatch));
    expect_that!(
        ledger.lookup(at(3), &key("k"), 2),
        some(eq(&Verdict::Mismatch))
    );
}

#[gtest]
fn a_record_is_kept_a_day_after_its_end_and_then_dropped() {
    const DAY: u64 = 24 * 3_600;
    let mut ledger = ledger();
    ledger.claim(&claim("k", 1, 0));
    ledger.settle(&settle("k", 1, 5, Outcome::Done(stored(9))));
    expect_that!(
        ledger.claim(&claim("k", 2, 4 + DAY)),
        eq(&Verdict::Stored(stored(9)))
    );
    ledger.advance(at(5 + DAY));
    expect_that!(ledger.is_empty(), eq(true));
    expect_that!(ledger.bytes(), eq(0));
    // An open claim that was never settled is kept for a day after its deadline.
    ledger.claim(&claim("k", 3, 5 + DAY));
    ledger.advance(at(34 + 2 * DAY));
    expect_that!(ledger.len(), eq(1));
    ledger.advance(at(35 + 2 * DAY));
    expect_that!(ledger.is_empty(), eq(true));
}

#[gtest]
fn time_does_not_go_back() {
    let mut ledger = ledger();
    ledger.claim(&claim("k", 1, 100));
    ledger.advance(at(10));
    expect_that!(ledger.clock(), some(eq(at(100))));
    ledger.claim(&claim("late", 2, 50));
    expect_that!(ledger.claim(&claim("late", 3, 60)), eq(&Verdict::Unknown));
}

#[gtest]
fn a_full_ledger_refuses_new_keys_and_drops_none() {
    let limits = Limits {
        records: 3,
        ..Limits::default()
    };
    let mut ledger = Ledger::new(limits);
    for name in ["a", "b", "c"] {
        expect_that!(ledger.claim(&claim(name, 1, 0)), eq(&Verdict::Run));
    }
    expect_that!(ledger.claim(&claim("d", 1, 1)), eq(&Verdict::Full));
    ledger.settle(&settle("a", 1, 2, Outcome::NotRun));
    expect_that!(ledger.claim(&claim("a", 2, 3)), eq(&Verdict::Run));
    expect_that!(
        ledger.claim(&claim("b", 2, 3)),
        matches_pattern!(Verdict::InProgress { .. })
    );
}

#[gtest]
fn an_open_claim_has_room_for_its_answer() {
    let limits = Limits {
        bytes: 200 << 10,
        ..Limits::default()
    };
    let mut ledger = Ledger::new(limits);
    let mut open = 0;
    while open < 10_000 && ledger.claim(&claim(&format!("k{open}"), open, 0)) == Verdict::Run {
        open += 1;
    }
    expect_that!(open, eq(3));
    for number in 0..open {
        let done = Outcome::Done(stored(MAX_STORED_BYTES));
        ledger.settle(&settle(&format!("k{number}"), number, 1, done));
        let again = ledger.claim(&claim(&format!("k{number}"), 99, 2));
        expect_that!(again, matches_pattern!(Verdict::Stored(anything())));
    }
    expect_that!(ledger.bytes(), le(200 << 10));
}

#[gtest]
fn keys_are_spread_over_groups_by_account_and_name() {
    let mut sizes = [0; 8];
    for number in 0..8_000 {
        let place = group(&key(&format!("k{number}")), 8);
        sizes[usize::try_from(place).expect("a small number")] += 1;
    }
    expect_that!(sizes, each(gt(800)));
    expect_that!(group(&key("k"), 1), eq(0));
}

/// Copies of claims and settlements in any order; the test tracks which attempts may run.
#[gtest]
fn random_copies_in_any_order_run_one_attempt_at_most() {
    for seed in 0..400 {
        println!("seed {seed}");
        let mut rng = StdRng::seed_from_u64(seed);
        let limits = Limits {
            records: 4,
            bytes: 300 << 10,
            ..Limits::default()
        };
        let mut ledger = Ledger::new(limits);
        let mut running: BTreeMap<String, u64> = BTreeMap::new();
        let mut now: u64 = 0;
        for _ in 0..200 {
            now += rng.random_range(0..8);
            let name = format!("k{}", rng.random_range(0..6));
            let attempt = rng.random_range(0..5);
            let stamp = now.saturating_sub(rng.random_range(0..20));
            match rng.random_range(0..5) {
                0..=2 => {
                    let verdict = ledger.claim(&claim(&name, attempt, stamp));
                    if verdict == Verdict::Run {
                        let known = running.insert(name.clone(), attempt);
                        expect_that!(
                            known.is_none_or(|it| it == attempt),
                            eq(true),
                            "seed {seed}"
                        );
                    }
                }
                // Only an attempt that was told to run can be settled as not run.
                3 if running.get(&name) == Some(&attempt) => {
                    let before = ledger.lookup(at(stamp), &key(&name), 1);
                    ledger.settle(&settle(&name, attempt, stamp, Outcome::NotRun));
                    if ledger.lookup(at(stamp), &key(&name), 1).is_none() {
                        expect_that!(before, some(matches_pattern!(Verdict::InProgress { .. })));
                        running.remove(&name);
                    }
                }
                _ => {
                    let outcome = if rng.random_range(0..2) == 0 {
                        Outcome::Unknown
                    } else {
                        Outcome::Done(stored(rng.random_range(0..2_000)))
                    };
                    if running.get(&name) == Some(&attempt) {
                        ledger.settle(&settle(&name, attempt, stamp, outcome));
                    }
                }
            }
            expect_that!(ledger.bytes(), le(300 << 10));
            expect_that!(ledger.len(), le(4));
        }
    }
}
