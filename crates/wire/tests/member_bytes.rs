//! Membership datagrams: size limit, round trips and garbage.

use std::net::SocketAddr;

use citron_policy::{
    member::{Member, State},
    swim::{Kind, Message, Vital},
};
use citron_wire::{MAX_DATAGRAM_BYTES, member};
use googletest::prelude::*;
use proptest::{
    prelude::{any, prop},
    strategy::Strategy,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn record(number: u16, name_bytes: usize) -> Member {
    Member {
        id: format!("{number:05}{}", "x".repeat(name_bytes - 5)),
        domain: "d".repeat(name_bytes),
        peer: SocketAddr::from(([0xfd; 16], 7_000)),
        callers: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        capacity: u32::MAX,
        replica: Some(u64::MAX),
        incarnation: 1 << 53,
        state: State::Leaving,
        revision: 0,
        load: 0,
        current: false,
    }
}

fn message(records: Vec<Member>, vitals: usize) -> Message {
    let vital = Vital {
        subject: u64::MAX,
        stamp: u64::MAX,
        revision: u64::MAX,
        load: u32::MAX,
        current: true,
    };
    Message {
        from: "f".repeat(64),
        incarnation: u64::MAX,
        kind: Kind::Digest {
            buckets: vec![u64::MAX; 16],
        },
        want: true,
        records,
        vitals: vec![vital; vitals],
    }
}

#[gtest]
fn a_datagram_round_trips() {
    let message = message(vec![record(1, 20), record(2, 64)], 3);
    let bytes = member::encode("cluster", message.clone());
    expect_that!(member::decode("cluster", &bytes), ok(eq(&message)));
}

#[gtest]
fn a_datagram_never_exceeds_its_bound() {
    for count in 0..40 {
        let records = (0..count).map(|number| record(number, 64)).collect();
        let bytes = member::encode(&"c".repeat(64), message(records, 40));
        expect_that!(bytes.len(), le(MAX_DATAGRAM_BYTES));
    }
}

#[gtest]
fn another_cluster_and_another_version_are_distinguished() {
    let bytes = member::encode("here", message(Vec::new(), 0));
    let foreign = member::decode("there", &bytes);
    expect_that!(
        foreign,
        err(matches_pattern!(member::Error::Cluster { .. }))
    );
    let newer = member::decode("here", &[0x08, 0x09]);
    expect_that!(newer, err(matches_pattern!(member::Error::Version { .. })));
}

#[test]
fn garbage_is_an_error_and_no_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..MAX_DATAGRAM_BYTES);
    let outcome = runner(256).run(&bytes, |bytes| {
        drop(member::decode("cluster", &bytes));
        Ok(())
    });
    outcome.expect("no panic");
}

#[test]
fn damaged_datagrams_are_an_error_or_a_message_and_no_panic() {
    let whole = member::encode("cluster", message(vec![record(1, 20); 5], 5)).to_vec();
    let damage = (0..whole.len(), any::<u8>(), 0..whole.len());
    let outcome = runner(256).run(&damage.no_shrink(), |(at, value, cut)| {
        let mut bytes = whole.clone();
        bytes[at] = value;
        bytes.truncate(whole.len() - cut);
        drop(member::decode("cluster", &bytes));
        Ok(())
    });
    outcome.expect("no panic");
}
