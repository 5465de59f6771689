//! Catalogue changes in the control log: races, resends and stored answers.

use std::{sync::Arc, time::SystemTime};

use citron_policy::{
    catalogue::{Account, Change, Class, Entry},
    ledger::{Claim, Key, Settle},
    state::{Answer, Applied, Command, Limits, Machine, Refusal},
};
use googletest::prelude::*;

fn class(name: &str, tier: u8) -> Entry {
    let text = format!(
        r#"{{"name":"{name}","owner":"desk","tier":{tier},"first_token_ms":1500,"between_tokens_ms":34,
            "whole_ms":30000,"wait_bound_ms":5000,"queue_limit":100}}"#
    );
    let class: Class = serde_json::from_str(&text).expect("a class");
    Entry::Class(Arc::new(class))
}

fn account(name: &str, class: &str) -> Entry {
    Entry::Account(Arc::new(Account {
        name: name.to_owned(),
        owner: "desk".to_owned(),
        key_sha256: format!("{:064x}", name.len()),
        class: class.to_owned(),
        classes: Vec::new(),
        max_running: 4,
        max_queued: 8,
        ..Account::default()
    }))
}

fn change(id: &str, base: u64, operator: &str, puts: Vec<Entry>) -> Change {
    Change {
        id: id.to_owned(),
        base,
        operator: operator.to_owned(),
        puts,
        ..Change::default()
    }
}

fn apply(machine: &mut Machine, change: &Change) -> Applied {
    let command = Command::Change {
        change: Arc::new(change.clone()),
        at: SystemTime::UNIX_EPOCH,
    };
    machine.apply(machine.index() + 1, &command)
}

fn answer(machine: &mut Machine, change: &Change) -> Result<u64, Refusal> {
    match apply(machine, change).answer {
        Answer::Change(answer) => answer,
        other => panic!("{other:?}"),
    }
}

#[gtest]
fn of_two_changes_against_one_revision_the_second_conflicts() {
    let mut machine = Machine::new(Limits::default());
    let ann = change("a1", 0, "ann", vec![class("repair", 0)]);
    let ben = change("b1", 0, "ben", vec![class("repair", 1)]);
    expect_that!(answer(&mut machine, &ann), ok(eq(&1)));
    let Err(Refusal::Stale { current, authors }) = answer(&mut machine, &ben) else {
        panic!("no conflict");
    };
    expect_that!(current, eq(1));
    expect_that!(authors.len(), eq(1));
    expect_that!(authors[0].operator, eq("ann"));
    expect_that!(authors[0].change, eq("a1"));
    expect_that!(authors[0].key.name, eq("repair"));
}

#[gtest]
fn a_conflict_names_only_what_changed_since() {
    let mut machine = Machine::new(Limits::default());
    for number in 0..50 {
        let puts = vec![class(&format!("c{number}"), 0)];
        let next = change(&format!("a{number}"), number, "ann", puts);
        expect_that!(answer(&mut machine, &next), ok(eq(&(number + 1))));
    }
    let late = change("b1", 48, "ben", vec![class("c1", 1)]);
    let Err(Refusal::Stale { authors, .. }) = answer(&mut machine, &late) else {
        panic!("no conflict");
    };
    let names: Vec<&str> = authors.iter().map(|it| it.key.name.as_str()).collect();
    expect_that!(names, eq(&vec!["c49", "c48"]));
    let later = change("b2", 0, "ben", vec![class("c1", 1)]);
    let Err(Refusal::Stale { authors, .. }) = answer(&mut machine, &later) else {
        panic!("no conflict");
    };
    expect_that!(authors.len(), eq(32));
}

#[gtest]
fn a_resend_gets_the_first_answer_and_changes_nothing() {
    let mut machine = Machine::new(Limits::default());
    let first = change("a1", 0, "ann", vec![class("repair", 0)]);
    let applied = apply(&mut machine, &first);
    expect_that!(applied.update, some(anything()));
    expect_that!(
        answer(
            &mut machine,
            &change("a2", 1, "ann", vec![class("proofs", 1)])
        ),
        ok(eq(&2))
    );
    let again = apply(&mut machine, &first);
    expect_that!(again.answer, eq(&applied.answer));
    expect_that!(again.update, none());
    expect_that!(machine.catalogue().revision, eq(2));
}

#[gtest]
fn a_refused_change_stays_refused_when_resent() {
    let mut machine = Machine::new(Limits::default());
    let orphan = change("a1", 0, "ann", vec![account("coast", "repair")]);
    let first = answer(&mut machine, &orphan);
    expect_that!(first, err(matches_pattern!(Refusal::Invalid(anything()))));
    expect_that!(
        answer(
            &mut machine,
            &change("a2", 0, "ann", vec![class("repair", 0)])
        ),
        ok(eq(&1))
    );
    expect_that!(answer(&mut machine, &orphan), eq(&first));
}

#[gtest]
fn any_other_body_under_the_same_id_is_refused() {
    let first = change("a1", 0, "ann", vec![class("repair", 0)]);
    let others = [
        change("a1", 1, "ann", vec![class("repair", 0)]),
        change("a1", 0, "ben", vec![class("repair", 0)]),
        change("a1", 0, "ann", vec![class("repair", 1)]),
        change("a1", 0, "ann", vec![class("proofs", 0)]),
        change("a1", 0, "ann", vec![]),
        Change {
            removes: vec![class("old", 0).key()],
            ..first.clone()
        },
    ];
    for other in others {
        let mut machine = Machine::new(Limits::default());
        expect_that!(answer(&mut machine, &first), ok(eq(&1)));
        let reused = Refusal::Reused { first: Some(1) };
        expect_that!(answer(&mut machine, &other), err(eq(&reused)));
        expect_that!(machine.catalogue().revision, eq(1));
    }
}

#[gtest]
fn an_accepted_change_whose_answer_was_dropped_conflicts() {
    let limits = Limits {
        answers: 4,
        ..Limits::default()
    };
    let mut machine = Machine::new(limits);
    let first = change("a0", 0, "ann", vec![class("c0", 0)]);
    for number in 0..8 {
        let puts = vec![class(&format!("c{number}"), 0)];
        let next = change(&format!("a{number}"), number, "ann", puts);
        expect_that!(answer(&mut machine, &next), ok(eq(&(number + 1))));
    }
    expect_that!(machine.answers_len(), eq(4));
    expect_that!(
        answer(&mut machine, &first),
        err(matches_pattern!(Refusal::Stale { .. }))
    );
}

#[gtest]
fn answers_are_bounded_in_bytes() {
    let limits = Limits {
        answer_bytes: 64 << 10,
        ..Limits::default()
    };
    let mut machine = Machine::new(limits);
    for number in 0..64 {
        let puts = (0..32).map(|it| class(&format!("c{it}"), 0)).collect();
        answer(
            &mut machine,
            &change(&format!("a{number}"), number, "ann", puts),
        )
        .expect("accepted");
    }
    // Each conflict names 32 authors.
    for number in 0..200 {
        let late = change(&format!("b{number}"), 0, "ben", vec![class("c0", 1)]);
        answer(&mut machine, &late).expect_err("a conflict");
    }
    let bytes: usize = machine
        .answers()
        .map(|(id, kept)| {
            let authors = match &kept.answer {
                Err(Refusal::Stale { authors, .. }) => authors.len(),
                _ => 0,
            };
            id.len() + authors * 64
        })
        .sum();
    expect_that!(bytes, le(64 << 10));
}

#[gtest]
fn the_leaders_clock_stamps_commands() {
    let now = SystemTime::UNIX_EPOCH + std::time::Duration::from_secs(100);
    let wrong = SystemTime::UNIX_EPOCH + std::time::Duration::from_secs(1 << 32);
    let claim = Claim {
        key: Key::default(),
        digest: 1,
        attempt: 1,
        daemon: "e1".to_owned(),
        deadline: wrong + std::time::Duration::from_secs(30),
        at: wrong,
    };
    let Command::Claim(stamped) = Command::Claim(claim).stamped(now) else {
        panic!("not a claim");
    };
    expect_that!(stamped.at, eq(now));
    expect_that!(
        stamped.deadline,
        eq(now + std::time::Duration::from_secs(30))
    );
    let settle = Settle {
        key: Key::default(),
        attempt: 1,
        outcome: citron_policy::ledger::Outcome::NotRun,
        at: wrong,
    };
    let Command::Settle(stamped) = Command::Settle(settle).stamped(now) else {
        panic!("not a settle");
    };
    expect_that!(stamped.at, eq(now));
}
