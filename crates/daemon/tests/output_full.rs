//! Logs of a process whose output goes to a disk that is full for a while.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, MutexGuard},
};

use citron_daemon::output::Output;
use googletest::prelude::*;
use log::{Level, LevelFilter, Log, Record};

#[derive(Default)]
struct File {
    text: Vec<u8>,
    full: bool,
}

/// A file on a disk that may be full; half of the first line that does not fit is written.
#[derive(Clone, Default)]
struct Sink(Arc<Mutex<File>>);

impl Sink {
    fn file(&self) -> MutexGuard<'_, File> {
        self.0.lock().expect("a lock")
    }

    fn lines(&self) -> Vec<String> {
        let text = String::from_utf8(self.file().text.clone()).expect("text");
        text.lines().map(str::to_owned).collect()
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut file = self.file();
        if file.full {
            let part = bytes.get(..bytes.len() / 2).unwrap_or_default();
            file.text.extend_from_slice(part);
            return Err(io::ErrorKind::StorageFull.into());
        }
        file.text.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_line(output: &Output, text: &str) {
    let message = format_args!("{text}");
    let mut record = Record::builder();
    record.level(Level::Info).target("citron_daemon");
    output.log(&record.args(message).build());
    output.flush();
}

#[gtest]
fn logs_go_on_after_their_disk_was_full() {
    let sink = Sink::default();
    let output = Output::new(LevelFilter::Info, sink.clone());
    log_line(&output, "CP0101 before");
    sink.file().full = true;
    log_line(&output, "CP1005 lost");
    log_line(&output, "CP1005 lost");
    sink.file().full = false;
    log_line(&output, "CP0103 after");
    let lines = sink.lines();
    let whole = lines
        .iter()
        .filter_map(|it| serde_json::from_str::<serde_json::Value>(it).ok());
    let whole: Vec<serde_json::Value> = whole.collect();
    let events: Vec<&str> = whole.iter().filter_map(|it| it["event"].as_str()).collect();
    expect_that!(events, eq(&["CP0101", "CP0113", "CP0103"]), "{lines:?}");
    expect_that!(whole[1]["dropped"], eq(&serde_json::json!(2)));
}
