//! Frames on a byte stream: what a receiver accepts, and what it refuses.

use bytes::BytesMut;
use citron_wire::{
    Body, Frame, MAX_FRAME_BYTES, VERSION,
    codec::{Codec, Error},
};
use googletest::prelude::*;
use proptest::{
    collection::vec,
    prelude::any,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use tokio_util::codec::{Decoder, Encoder};

const CASES: u32 = 256;

fn frame(call: u64) -> Frame {
    Frame {
        version: VERSION,
        cluster: "one".to_owned(),
        from: "e1".to_owned(),
        call,
        answer: false,
        body: Some(Body::Refusal("no".to_owned())),
    }
}

fn encode(frames: &[Frame]) -> BytesMut {
    let mut bytes = BytesMut::new();
    let mut codec = Codec::new("one");
    for frame in frames {
        codec
            .encode(frame.clone(), &mut bytes)
            .expect("an encoded frame");
    }
    bytes
}

#[gtest]
fn frames_round_trip() {
    let frames: Vec<Frame> = (0..5).map(frame).collect();
    let mut bytes = encode(&frames);
    let mut codec = Codec::new("one");
    for sent in &frames {
        expect_that!(codec.decode(&mut bytes), ok(some(eq(sent))));
    }
    expect_that!(codec.decode(&mut bytes), ok(none()));
}

#[gtest]
fn a_frame_that_is_cut_is_no_frame() {
    let whole = encode(&[frame(1)]);
    for length in 1..whole.len() {
        let mut part = BytesMut::from(&whole[..length]);
        let mut codec = Codec::new("one");
        expect_that!(codec.decode(&mut part), ok(none()), "{length} bytes");
        let end = codec.decode_eof(&mut part);
        expect_that!(end, not(ok(some(anything()))), "{length} bytes");
    }
}

#[gtest]
fn only_the_first_frame_carries_the_names() {
    let one = encode(&[frame(1)]).len();
    let two = encode(&[frame(1), frame(1)]).len();
    expect_that!(two - one, le(one - "one".len() - "e1".len()));
}

#[gtest]
fn a_stream_that_begins_without_names_is_refused() {
    let mut bytes = encode(&[frame(1), frame(2)]);
    let first = encode(&[frame(1)]).len();
    let mut rest = bytes.split_off(first);
    let outcome = Codec::new("one").decode(&mut rest);
    expect_that!(
        outcome,
        err(matches_pattern!(Error::Version { theirs: &0 }))
    );
}

#[gtest]
fn another_cluster_and_another_version_are_refused() {
    let mut bytes = encode(&[frame(1)]);
    let outcome = Codec::new("two").decode(&mut bytes);
    expect_that!(outcome, err(matches_pattern!(Error::Cluster { .. })));
    let mut newer = encode(&[Frame {
        version: VERSION + 1,
        ..frame(1)
    }]);
    let outcome = Codec::new("one").decode(&mut newer);
    expect_that!(outcome, err(matches_pattern!(Error::Version { .. })));
}

#[gtest]
fn a_length_over_the_limit_is_refused_before_it_is_buffered() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("a length");
    let mut bytes = BytesMut::from(&length.to_be_bytes()[..]);
    let outcome = Codec::new("one").decode(&mut bytes);
    expect_that!(outcome, err(matches_pattern!(Error::Io(_))));
    expect_that!(bytes.capacity(), lt(1 << 16));
}

#[gtest]
fn garbage_is_an_error_and_no_panic() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&vec(any::<u8>(), 0..512), |noise| {
        let mut bytes = BytesMut::new();
        let length = u32::try_from(noise.len()).expect("a length");
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(&noise);
        drop(Codec::new("one").decode(&mut bytes));
        Ok(())
    });
    expect_true!(outcome.is_ok(), "{outcome:?}");
}
