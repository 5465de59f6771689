//! Catalogue changes: which are accepted, which are rejected, and the error texts.

use std::sync::Arc;

use citron_policy::catalogue::{Account, Catalogue, Change, Class, Entry, Fault, Key, Kind};
use googletest::prelude::*;

fn class(name: &str, tier: u8) -> Entry {
    let text = format!(
        r#"{{"name":"{name}","owner":"desk","tier":{tier},"first_token_ms":1500,"between_tokens_ms":34,
            "whole_ms":30000,"wait_bound_ms":5000,"queue_limit":100}}"#
    );
    let class: Class = serde_json::from_str(&text).expect("a class");
    Entry::Class(Arc::new(class))
}

fn account(name: &str, digit: char, class: &str) -> Entry {
    let account = Account {
        name: name.to_owned(),
        owner: "desk".to_owned(),
        key_sha256: digit.to_string().repeat(64),
        class: class.to_owned(),
        classes: Vec::new(),
        max_running: 4,
        max_queued: 8,
        ..Account::default()
    };
    Entry::Account(Arc::new(account))
}

fn change(puts: Vec<Entry>, removes: Vec<Key>) -> Change {
    Change {
        id: "c1".to_owned(),
        operator: "ann".to_owned(),
        puts,
        removes,
        ..Change::default()
    }
}

fn base() -> Catalogue {
    let puts = vec![class("repair", 0), account("windhoek", 'a', "repair")];
    Catalogue::default()
        .apply(&change(puts, Vec::new()))
        .expect("the base catalogue")
}

#[gtest]
fn a_change_leads_to_the_next_revision() {
    let next = base();
    expect_that!(next.revision, eq(1));
    expect_that!(next.account_by_digest(&"a".repeat(64)), some(anything()));
}

#[gtest]
fn a_dangling_reference_is_rejected_and_names_both_entries() {
    let fault = base().apply(&change(vec![account("coast", 'b', "proofs")], Vec::new()));
    let text = fault.expect_err("a fault").to_string();
    expect_that!(text, contains_substring("account/coast"));
    expect_that!(text, contains_substring("class/proofs"));
}

#[gtest]
fn a_class_in_use_is_not_removed() {
    let key = Key {
        kind: Kind::Class,
        name: "repair".to_owned(),
    };
    let fault = base().apply(&change(Vec::new(), vec![key]));
    expect_that!(fault, err(matches_pattern!(Fault::Missing { .. })));
}

#[gtest]
fn two_accounts_do_not_share_a_key() {
    let fault = base().apply(&change(vec![account("coast", 'a', "repair")], Vec::new()));
    expect_that!(fault, err(matches_pattern!(Fault::SameKey { .. })));
}

#[gtest]
fn a_replaced_key_no_longer_finds_the_account() {
    let next = base()
        .apply(&change(
            vec![account("windhoek", 'c', "repair")],
            Vec::new(),
        ))
        .expect("a change");
    expect_that!(next.account_by_digest(&"a".repeat(64)), none());
    expect_that!(next.account_by_digest(&"c".repeat(64)), some(anything()));
}

/// The tier of an account takes precedence; requests of equal tier are ordered by class.
#[gtest]
fn requests_rank_by_tier_and_then_by_class() {
    let account_with_tier = |name: &str, digit: char, tier: Option<u8>| {
        let Entry::Account(account) = account(name, digit, "chat") else {
            unreachable!("an account");
        };
        Entry::Account(Arc::new(Account {
            tier,
            ..account.as_ref().clone()
        }))
    };
    let puts = vec![
        class("chat", 0),
        class("draft", 2),
        account_with_tier("first", 'a', Some(0)),
        account_with_tier("second", 'b', Some(1)),
        account_with_tier("plain", 'c', None),
    ];
    let first = Catalogue::default().apply(&change(puts, Vec::new()));
    let catalogue = first.expect("a catalogue");
    let rank = |catalogue: &Catalogue, tier: u8, class: &str| {
        catalogue.rank(catalogue.urgency(tier, &class.to_owned()))
    };
    let order = [
        (0, "chat"),
        (0, "draft"),
        (1, "chat"),
        (1, "draft"),
        (2, "draft"),
    ];
    for (place, (tier, class)) in order.into_iter().enumerate() {
        expect_that!(usize::from(rank(&catalogue, tier, class)), eq(place));
    }
    // Once no account has the second tier, lower urgency levels move up in rank.
    let key = Key {
        kind: Kind::Account,
        name: "second".to_owned(),
    };
    let next = catalogue.apply(&change(Vec::new(), vec![key]));
    expect_that!(rank(&next.expect("a catalogue"), 2, "draft"), eq(2));
}
