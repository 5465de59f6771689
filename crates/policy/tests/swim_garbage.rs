//! Generated messages must cause no panic, unbounded table or lasting wrong state.

mod net;

use std::{net::SocketAddr, time::Duration};

use citron_policy::{
    member::{Member, State},
    swim::{Kind, MAX_AHEAD_MS, MAX_MEMBERS, Message, Vital, hash},
};
use net::{Net, address, name};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn state() -> impl Strategy<Value = State> {
    prop_oneof![
        Just(State::Alive),
        Just(State::Suspect),
        Just(State::Leaving),
        Just(State::Dead)
    ]
}

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        0..5_u64,
        any::<u64>(),
        Just(u64::MAX),
        (0..6_000_u64).prop_map(|ms| net::EPOCH_MS + MAX_AHEAD_MS + ms),
        Just(net::EPOCH_MS)
    ]
}

fn id() -> impl Strategy<Value = String> {
    prop_oneof![(0..6_usize).prop_map(name), "[a-z]{1,8}"]
}

fn peer() -> impl Strategy<Value = SocketAddr> {
    (0..6_usize).prop_map(address)
}

fn record() -> impl Strategy<Value = Member> {
    (id(), peer(), number(), state()).prop_map(|(id, peer, incarnation, state)| Member {
        id,
        domain: "fd-1".to_owned(),
        peer,
        callers: peer,
        capacity: 0,
        replica: None,
        incarnation,
        state,
        revision: 0,
        load: 0,
        current: true,
    })
}

fn vital() -> impl Strategy<Value = Vital> {
    (id(), number(), any::<u32>(), any::<bool>()).prop_map(|(id, stamp, load, current)| Vital {
        subject: hash(&id),
        stamp,
        revision: stamp,
        load,
        current,
    })
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        any::<u32>().prop_map(|seq| Kind::Ping { seq }),
        (0..50_u32).prop_map(|seq| Kind::Ack { seq }),
        (0..50_u32).prop_map(|seq| Kind::Nack { seq }),
        (any::<u32>(), id()).prop_map(|(seq, target)| Kind::Ask { seq, target }),
        Just(Kind::Gossip),
        prop::collection::vec(any::<u64>(), 0..20).prop_map(|buckets| Kind::Digest { buckets }),
        (number(), number(), any::<bool>()).prop_map(|(low, high, reply)| Kind::Range {
            low,
            high,
            reply
        }),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    let records = prop::collection::vec(record(), 0..5);
    let vitals = prop::collection::vec(vital(), 0..5);
    (id(), number(), kind(), any::<bool>(), records, vitals).prop_map(
        |(from, incarnation, kind, want, records, vitals)| Message {
            from,
            incarnation,
            kind,
            want,
            records,
            vitals,
        },
    )
}

#[test]
fn generated_messages_cause_no_lasting_wrong_state() {
    let config = Config {
        cases: 96,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = prop::collection::vec((peer(), message()), 1..60);
    let outcome = runner.run(&input, |messages| {
        let mut net = Net::new(4, 1);
        net.run(Duration::from_secs(3));
        for (from, message) in messages {
            net.act(0, |swim, now, rng| swim.on_message(now, from, message, rng));
        }
        prop_assert!(net.nodes[&address(0)].swim.members(net.now).len() <= MAX_MEMBERS + 1);
        net.run(Duration::from_secs(40));
        let everyone: Vec<usize> = net.numbers().collect();
        let wrong = net.differing(&everyone, &everyone, State::Alive);
        prop_assert!(
            wrong.is_empty(),
            "not alive after generated messages: {wrong:?}"
        );
        Ok(())
    });
    outcome.expect("no lasting wrong state");
}
