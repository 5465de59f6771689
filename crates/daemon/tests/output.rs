//! Logs of a process: bounded, non-blocking, and complete at its end.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use citron_daemon::output::Output;
use googletest::prelude::*;
use log::{Level, LevelFilter, Log, Record, kv::ToValue};

/// Delay of a slow reader, well within the flush timeout of the logger.
const READER_DELAY: Duration = Duration::from_millis(60);

/// Upper bound for logging and flushing, with a margin for a busy machine.
const MAX_ELAPSED: Duration = Duration::from_secs(5);

/// A sink that blocks while the test holds its lock.
#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Sink {
    fn hold(&self) -> MutexGuard<'_, Vec<u8>> {
        self.0.lock().expect("a lock")
    }

    fn text(&self) -> String {
        String::from_utf8(self.hold().clone()).expect("text")
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.hold().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[gtest]
fn the_last_line_is_written_though_the_reader_is_late() {
    let sink = Sink::default();
    let output = Output::new(LevelFilter::Info, sink.clone());
    thread::scope(|scope| {
        let held = sink.hold();
        let ending = scope.spawn(|| {
            log_line(&output, "CP0103 left");
            output.flush();
            sink.text()
        });
        thread::sleep(READER_DELAY);
        drop(held);
        let seen = ending.join().expect("a thread");
        expect_that!(seen, contains_substring("\"event\":\"CP0103\""));
    });
}

#[gtest]
fn a_stalled_reader_blocks_neither_logging_nor_flushing() {
    let sink = Sink::default();
    let output = Output::new(LevelFilter::Info, sink.clone());
    let held = sink.hold();
    let begun = Instant::now();
    for _ in 0..10_000 {
        log_line(&output, "CP1005 answered");
    }
    output.flush();
    expect_that!(begun.elapsed(), lt(MAX_ELAPSED));
    drop(held);
    output.flush();
    log_line(&output, "CP0103 left");
    output.flush();
    let seen = sink.text();
    expect_that!(seen, contains_substring("\"event\":\"CP0113\""));
    expect_that!(seen.lines().count(), lt(10_000));
}

fn log_line(output: &Output, text: &str) {
    let message = format_args!("{text}");
    let mut record = Record::builder();
    record.level(Level::Info).target("citron_daemon");
    output.log(&record.args(message).build());
}

#[gtest]
fn fields_keep_their_kind_and_are_left_out_without_a_value() {
    let sink = Sink::default();
    let output = Output::new(LevelFilter::Info, sink.clone());
    let missing: Option<u64> = None;
    let fields = [
        ("none", missing.to_value()),
        ("count", log::kv::Value::from(7_u64)),
        ("ratio", log::kv::Value::from(0.5)),
        ("flag", log::kv::Value::from(true)),
        ("text", log::kv::Value::from("7")),
    ];
    let mut record = Record::builder();
    record.level(Level::Info).target("citron_daemon");
    let record = record.key_values(&fields);
    output.log(&record.args(format_args!("CP0101 up")).build());
    output.flush();
    let line: serde_json::Value = serde_json::from_str(&sink.text()).expect("a line");
    expect_that!(line.get("none"), none());
    expect_that!(line["count"], eq(&serde_json::json!(7)));
    expect_that!(line["ratio"], eq(&serde_json::json!(0.5)));
    expect_that!(line["flag"], eq(&serde_json::json!(true)));
    expect_that!(line["text"], eq(&serde_json::json!("7")));
}
