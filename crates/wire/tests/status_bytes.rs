//! Status messages: round trips, and garbage is an error.

use citron_policy::catalogue::{Key, Kind};
use citron_wire::{
    admin::{Event, format_replica, parse_replica},
    generated::status as proto,
    status::{Ask, Error, Report},
};
use googletest::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use prost::Message;

fn runner() -> TestRunner {
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn round_trip(message: &proto::Message) -> proto::Message {
    proto::Message::decode(message.encode_to_vec().as_slice()).expect("our own bytes")
}

fn key() -> impl Strategy<Value = Key> {
    let kind = prop::sample::select(vec![Kind::Account, Kind::Class, Kind::Service, Kind::Route]);
    (kind, ".{0,20}").prop_map(|(kind, name)| Key { kind, name })
}

fn ask() -> impl Strategy<Value = Ask> {
    prop_oneof![
        Just(Ask::Nothing),
        ".{0,20}".prop_map(Ask::Request),
        key().prop_map(Ask::Entry),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let request = prop::option::of("[0-9a-f]{16}");
    let entries = prop::collection::vec(key(), 0..4);
    let parts = ("CP[0-9]{4}", request, entries, ".{0,40}", any::<u64>());
    parts.prop_map(|(code, request, entries, text, at_ms)| Event {
        code,
        request,
        entries,
        text,
        at_ms,
    })
}

#[gtest]
fn queries_and_reports_round_trip() {
    let events = prop::collection::vec(event(), 0..5);
    let parts = (ask(), any::<u64>(), events, any::<u32>());
    let outcome = runner().run(&parts, |(ask, revision, events, omitted)| {
        let report = Report {
            revision,
            events,
            omitted,
        };
        prop_assert_eq!(Ask::try_from(round_trip(&ask.clone().into())), Ok(ask));
        prop_assert_eq!(
            Report::try_from(round_trip(&report.clone().into())),
            Ok(report)
        );
        Ok(())
    });
    expect_that!(outcome, ok(eq(&())));
}

#[gtest]
fn garbage_is_an_error_and_never_a_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..120);
    let outcome = runner().run(&bytes, |bytes| {
        if let Ok(message) = proto::Message::decode(bytes.as_slice()) {
            drop(Ask::try_from(message.clone()));
            drop(Report::try_from(message));
        }
        Ok(())
    });
    expect_that!(outcome, ok(eq(&())));
}

#[gtest]
fn an_unknown_kind_and_a_missing_part_are_errors() {
    let about = proto::ask::About::Entry(proto::Entry {
        kind: 77,
        name: "x".to_owned(),
    });
    let ask = proto::Ask { about: Some(about) };
    let message = proto::Message {
        body: Some(proto::message::Body::Ask(ask)),
    };
    expect_that!(
        Ask::try_from(message.clone()),
        err(eq(&Error::Kind { kind: 77 }))
    );
    expect_that!(Report::try_from(message), err(pat!(Error::Missing { .. })));
    let empty = proto::Message::default();
    expect_that!(Ask::try_from(empty), err(pat!(Error::Missing { .. })));
}

#[gtest]
fn a_replica_is_written_as_sixteen_hex_digits() {
    for replica in [0, 0xabc, u64::MAX] {
        expect_that!(parse_replica(&format_replica(replica)), ok(eq(&replica)));
    }
    for text in [
        "",
        "abc",
        "+000000000000abc",
        "00000000000000abcd",
        "zzzzzzzzzzzzzzzz",
    ] {
        expect_that!(parse_replica(text), err(anything()));
    }
}
