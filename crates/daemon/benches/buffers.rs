//! Cost of counting what is buffered, for each request: `cargo bench --bench buffers`.
//!
//! Prints the time of a booking's answer and of an event of a stream, counted and not.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use bytes::Bytes;
use citron_daemon::buffers::Buffers;
use citron_policy::buffer::Kind;

/// Repetitions of each operation.
const REPEATS: u32 = 1_000_000;

/// Size of a booking's answer, in bytes.
const ANSWER_BYTES: usize = 800;

/// Size of an event, in bytes.
const EVENT_BYTES: usize = 60;

fn time<F>(operation: F) -> Duration
where
    F: Fn(),
{
    let start = Instant::now();
    for _ in 0..REPEATS {
        operation();
    }
    start.elapsed() / REPEATS
}

fn main() {
    let buffers = Buffers::new(110_000_000);
    let (answer, event) = ([0; ANSWER_BYTES], Bytes::from_static(&[0; EVENT_BYTES]));
    let counted = time(|| {
        let mut body = buffers.body(Kind::Answer);
        body.push(black_box(&answer)).expect("room");
        black_box(body.freeze());
    });
    let plain = time(|| {
        let mut body = Vec::new();
        body.extend_from_slice(black_box(&answer));
        black_box(Bytes::from(body));
    });
    println!("answer of {ANSWER_BYTES} bytes: {plain:?}, counted {counted:?}");
    let counted = time(|| drop(black_box(buffers.hold(Kind::Answer, event.clone()))));
    let plain = time(|| drop(black_box(event.clone())));
    println!("event of {EVENT_BYTES} bytes: {plain:?}, counted {counted:?}");
}
