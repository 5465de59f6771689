//! Logs of a process whose output goes to a disk that is full for a while.

use std::{
    fs,
    io::{self, Write},
    process::{Command, Stdio},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
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

/// Longest wait for a daemon to write its first log line.
const START_TIME: Duration = Duration::from_secs(10);

/// Time after it in which a daemon that fails at the start would end.
const SETTLE_TIME: Duration = Duration::from_millis(300);

#[gtest]
fn a_daemon_starts_though_its_output_is_full() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("log");
    let full = fs::OpenOptions::new().write(true).open("/dev/full");
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_citrond"))
        .args(["--instance=a", "--domain=x", "--cluster=tests"])
        .args(["--callers=127.0.0.1:0", "--peer=127.0.0.1:0"])
        .args(["--admin=127.0.0.1:0", "--platform=http://127.0.0.1:9"])
        .env("CITRON_OPERATOR_TOKENS", "ann obviously-fake-token")
        .stdin(Stdio::null())
        .stdout(full.expect("a device that is always full"))
        .stderr(fs::File::create(&log).expect("a log file"))
        .spawn()
        .expect("the daemon");
    let end = Instant::now() + START_TIME;
    while Instant::now() < end && fs::read(&log).is_ok_and(|it| it.is_empty()) {
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(SETTLE_TIME);
    let ended = daemon.try_wait().expect("its state");
    daemon.kill().expect("ended");
    daemon.wait().expect("ended");
    expect_that!(
        ended,
        none(),
        "{}",
        fs::read_to_string(&log).unwrap_or_default()
    );
}
