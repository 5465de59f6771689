//! Feed messages: round trips, garbage, and the size of a snapshot at the scale
//! expected in two years.

use std::sync::Arc;

use bytes::Bytes;
use citron_policy::{
    catalogue::{Account, Catalogue, Change, Class, Entry},
    crash,
    declaration::Declaration,
    feed::{News, Snapshot, Step, Update},
};
use citron_wire::{
    feed::{MAX_SNAPSHOT_BYTES, decode_snapshot, encode_snapshot, news_from_proto, news_to_proto},
    generated::feed as proto,
};
use googletest::prelude::*;
use proptest::{
    prelude::{any, prop},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use prost::Message;

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn class() -> Entry {
    let text = r#"{"name":"repair","owner":"desk","tier":0,"first_token_ms":1500,"between_tokens_ms":34,
        "whole_ms":30000,"wait_bound_ms":5000,"queue_limit":100}"#;
    let class: Class = serde_json::from_str(text).expect("a class");
    Entry::Class(Arc::new(class))
}

fn account(number: usize) -> Entry {
    Entry::Account(Arc::new(Account {
        name: format!("account-{number:05}"),
        owner: "desk-team".to_owned(),
        key_sha256: format!("{number:064x}"),
        class: "repair".to_owned(),
        classes: Vec::new(),
        max_running: 4,
        max_queued: 8,
        ..Account::default()
    }))
}

fn snapshot(accounts: usize) -> Snapshot {
    let entries = std::iter::once(class()).chain((0..accounts).map(account));
    let mut marks = crash::Table::default();
    marks.apply(&crash::Step::Suspected(vec![1, 2]));
    marks.apply(&crash::Step::Quarantined(3));
    Snapshot {
        declaration: Some(Arc::new(Declaration {
            version: 9,
            source: Arc::from(&b"{}"[..]),
        })),
        index: 77,
        catalogue: Arc::new(Catalogue::from_entries(9, entries)),
        marks: Arc::new(marks),
    }
}

fn news() -> News {
    let change = Change {
        id: "c1".to_owned(),
        puts: vec![class(), account(1)],
        ..Change::default()
    };
    let steps = [
        Step::Change(Arc::new(change)),
        Step::Crash(crash::Step::Suspected(vec![1, u64::MAX])),
        Step::Crash(crash::Step::Quarantined(1)),
        Step::Crash(crash::Step::Cleared(1)),
    ];
    let updates = steps.into_iter().zip(1..);
    News {
        updates: updates
            .map(|(step, index)| Update { index, step })
            .collect(),
        through: 9,
        proved_ms: Some(-250),
    }
}

#[gtest]
fn news_round_trip() {
    let wire = news_to_proto(&news()).expect("encodable");
    let wire = proto::News::decode(Bytes::from(wire.encode_to_vec())).expect("decodable");
    expect_that!(news_from_proto(wire), ok(eq(&news())));
}

#[gtest]
fn a_snapshot_round_trips_within_its_size_limit() {
    let snapshot = snapshot(12_000);
    let bytes = encode_snapshot(&snapshot).expect("encodable");
    println!("snapshot of 12,000 accounts: {} bytes", bytes.len());
    expect_that!(bytes.len(), lt(MAX_SNAPSHOT_BYTES));
    expect_that!(decode_snapshot(bytes), ok(eq(&snapshot)));
}

#[test]
fn garbage_is_an_error_and_no_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..600);
    let outcome = runner(256).run(&bytes, |bytes| {
        let bytes = Bytes::from(bytes);
        drop(decode_snapshot(bytes.clone()));
        if let Ok(news) = proto::News::decode(bytes) {
            drop(news_from_proto(news));
        }
        Ok(())
    });
    outcome.expect("no panic");
}

#[test]
fn damaged_messages_are_an_error_or_a_message_and_no_panic() {
    let whole = news_to_proto(&news()).expect("encodable").encode_to_vec();
    let state = encode_snapshot(&snapshot(5)).expect("encodable").to_vec();
    let damage = (0..whole.len(), any::<u8>(), 0..whole.len());
    let outcome = runner(256).run(&damage, |(at, value, cut)| {
        for original in [&whole, &state] {
            let mut bytes = original.clone();
            bytes[at] = value;
            bytes.truncate(original.len() - cut);
            let bytes = Bytes::from(bytes);
            drop(decode_snapshot(bytes.clone()));
            if let Ok(news) = proto::News::decode(bytes) {
                drop(news_from_proto(news));
            }
        }
        Ok(())
    });
    outcome.expect("no panic");
}
