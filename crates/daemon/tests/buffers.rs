//! Memory for what is buffered: what is counted, for how long, and what is refused.

use bytes::Bytes;
use citron_daemon::buffers::{Buffers, Full};
use citron_policy::buffer::Kind;
use googletest::prelude::*;
use prometheus_client::{encoding::text::encode, registry::Registry};

/// Memory of the process; a quarter of it may be buffered.
const MEMORY_BYTES: u64 = 4 << 20;

fn metrics(buffers: &Buffers) -> String {
    let mut registry = Registry::default();
    buffers.register(&mut registry);
    let mut text = String::new();
    encode(&mut text, &registry).expect("metrics");
    text
}

/// Pushes parts until no memory is left; returns the bytes that fitted.
fn fill(buffers: &Buffers, kind: Kind) -> usize {
    let mut body = buffers.body(kind);
    while body.push(&[0; 1_000]) == Ok(()) {}
    body.len()
}

// A body that was handed on no longer counted, though its bytes were still there.
#[gtest]
fn a_body_counts_until_its_last_copy_is_gone() {
    let buffers = Buffers::new(MEMORY_BYTES);
    let mut body = buffers.body(Kind::Answer);
    expect_that!(body.push(&[7; 1_000]), eq(Ok(())));
    let whole = body.freeze();
    let copy = whole.slice(10..20);
    drop(whole);
    let counted = |bytes: u32| format!("citron_buffered_bytes{{kind=\"Answer\"}} {bytes}\n");
    expect_that!(metrics(&buffers), contains_substring(counted(1_000)));
    expect_that!(copy, eq(&[7_u8; 10][..]));
    drop(copy);
    expect_that!(metrics(&buffers), contains_substring(counted(0)));
    expect_that!(
        metrics(&buffers),
        contains_substring("citron_buffered_peak_bytes 1000\n")
    );
}

#[gtest]
fn what_was_given_up_gives_its_memory_back() {
    let buffers = Buffers::new(MEMORY_BYTES);
    let first = fill(&buffers, Kind::Failure);
    expect_that!(first, ge(100_000));
    expect_that!(fill(&buffers, Kind::Failure), eq(first));
    let given_up = "citron_buffers_given_up_total{kind=\"Failure\"} 2\n";
    expect_that!(metrics(&buffers), contains_substring(given_up));
}

#[gtest]
fn room_that_shrinks_is_free_for_others() {
    let buffers = Buffers::new(MEMORY_BYTES);
    let mut room = buffers.room(Kind::Request);
    expect_that!(room.resize(700_000), eq(Ok(())));
    let mut other = buffers.room(Kind::Request);
    expect_that!(other.resize(200_000), eq(Err(Full)));
    expect_that!(room.resize(100_000), eq(Ok(())));
    expect_that!(other.resize(200_000), eq(Ok(())));
}

// A caller that reads slowly leaves its events in memory.
#[gtest]
fn events_that_wait_for_a_slow_caller_count() {
    let buffers = Buffers::new(MEMORY_BYTES);
    let event = Bytes::from(vec![0; 60_000]);
    let hold = || buffers.hold(Kind::Answer, event.clone());
    let waiting: Vec<Bytes> = std::iter::from_fn(|| hold().ok()).collect();
    expect_that!(waiting.len(), eq((MEMORY_BYTES / 4 / 60_000) as usize));
    drop(waiting);
    expect_that!(hold(), ok(eq(&event)));
}

#[gtest]
fn an_empty_body_takes_no_memory() {
    let buffers = Buffers::new(MEMORY_BYTES);
    let body = buffers.body(Kind::Request);
    expect_that!(body.is_empty(), eq(true));
    expect_that!(body.freeze().len(), eq(0));
    let none = "citron_buffered_bytes{kind=\"Request\"} 0\n";
    expect_that!(metrics(&buffers), contains_substring(none));
}
