//! `citronctl explain --log`: the cause of a failed request, from logs alone.

use std::{fs, process::Command};

use googletest::prelude::*;
use serde_json::Value;

/// Start of the wall clock in the logs below, ms.
const START_MS: u64 = 1_764_806_400_000;

/// Logs in a collector's format, with the process name before each line.
struct Logs(String);

impl Logs {
    fn new() -> Self {
        Self(String::new())
    }

    /// Adds a line; `fields` is JSON without its braces.
    fn line(mut self, origin: &str, after_ms: u64, event: &str, fields: &str) -> Self {
        let at = START_MS + after_ms;
        let line = format!(
            "{origin} {{\"at_ms\":{at},\"event\":\"{event}\",\"message\":\"\",{fields}}}\n"
        );
        self.0.push_str(&line);
        self
    }

    fn sent(self, after_ms: u64) -> Self {
        let fields =
            r#""request":"r1","runner":"i-1","address":"10.0.0.9:1","arbiter":"b","sent":0"#;
        self.line("a", after_ms, "CP1001", fields)
    }

    fn failed(self, after_ms: u64, decision: &str) -> Self {
        let fields =
            format!(r#""request":"r1","runner":"i-1","sent":1,"ran":1,"decision":"{decision}""#);
        self.line("a", after_ms, "CP1004", &fields)
    }

    /// Adds a line every 200 ms, as a healthy process writes them.
    fn regular_lines(self, origin: &str, from_ms: u64, to_ms: u64) -> Self {
        let times = (from_ms..to_ms).step_by(200);
        times.fold(self, |logs, at| {
            logs.line(origin, at, "CP1005", r#""request":"other","runner":"i-2""#)
        })
    }
}

/// Whether the tool found the request, and its output.
fn explain(logs: &Logs, arguments: &[&str]) -> (bool, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("all.log");
    fs::write(&file, &logs.0).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_citronctl"))
        .env_clear()
        .args(arguments)
        .arg("--log")
        .arg(&file)
        .output()
        .expect("the tool runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.success(), text)
}

fn cause(logs: &Logs) -> String {
    let (found, text) = explain(logs, &["explain", "r1"]);
    assert!(found, "{text}");
    text.lines().next().unwrap_or_default().to_owned()
}

#[gtest]
fn a_request_refused_under_load_names_the_page() {
    let fields = r#""request":"r1","status":503,"kind":"shed","version":7,"proof_age_ms":300"#;
    let logs = Logs::new().line("a", 0, "CP1002", fields);
    expect_that!(cause(&logs), contains_substring("refused with 503"));
    expect_that!(cause(&logs), contains_substring("burst"));
}

#[gtest]
fn a_request_refused_after_a_change_names_the_version_and_its_proof() {
    let fields = r#""request":"r1","status":401,"kind":"key","version":77,"proof_age_ms":2138"#;
    let logs = Logs::new().line("a", 0, "CP1002", fields);
    expect_that!(cause(&logs), contains_substring("version 77"));
    expect_that!(cause(&logs), contains_substring("2138 ms"));
}

#[gtest]
fn a_cut_stream_names_its_runner_and_why_there_was_no_further_attempt() {
    for (decision, why) in [
        ("GiveUp(Late)", "no time was left"),
        ("GiveUp(MayHaveRun)", "no second run"),
        ("GiveUp(Attempts)", "no more attempts"),
        ("GiveUp(Budget)", "retry budget"),
    ] {
        let end = r#""request":"r1","after_ms":4251,"last_event":32"#;
        let logs = Logs::new()
            .sent(0)
            .failed(4_251, decision)
            .line("a", 4_251, "CP1006", end);
        expect_that!(cause(&logs), contains_substring("event 32"));
        expect_that!(cause(&logs), contains_substring("i-1"));
        expect_that!(cause(&logs), contains_substring(why));
    }
}

#[gtest]
fn a_paused_process_is_distinguished_from_a_restarted_one() {
    let paused = Logs::new()
        .regular_lines("a", 0, 1_000)
        .sent(1_000)
        .regular_lines("a", 7_000, 8_000);
    expect_that!(
        cause(&paused),
        contains_substring("wrote nothing for 6000 ms")
    );
    let restarted = Logs::new()
        .sent(1_000)
        .line("a", 4_000, "CP0101", r#""x":1"#)
        .regular_lines("a", 4_100, 5_000);
    expect_that!(
        cause(&restarted),
        contains_substring("started again 3000 ms")
    );
    let killed = Logs::new().sent(1_000).regular_lines("b", 1_000, 9_000);
    expect_that!(cause(&killed), contains_substring("nothing more"));
    let streaming = Logs::new()
        .sent(1_000)
        .regular_lines("a", 1_100, 3_000)
        .line("a", 4_000, "CP0101", r#""x":1"#);
    expect_that!(cause(&streaming), contains_substring("started again"));
    let healthy = Logs::new().sent(1_000).regular_lines("a", 1_100, 60_000);
    expect_that!(cause(&healthy), not(contains_substring("nothing")));
}

#[gtest]
fn cluster_events_about_its_processes_and_runners_are_shown() {
    let logs = Logs::new()
        .line("c", 0, "CP0553", r#""runner":"i-7""#)
        .line("c", 0, "CP0305", r#""text":"runner i-1 broke""#)
        .line("a", 0, "CP0505", r#""text":"instance b""#)
        .sent(1_000)
        .failed(1_100, "GiveUp(Late)")
        .line("a", 60_000, "CP0508", r#""text":"much later""#);
    let (_, text) = explain(&logs, &["explain", "r1"]);
    expect_that!(text, contains_substring("CP0305"));
    expect_that!(text, contains_substring("CP0505"));
    expect_that!(text, not(contains_substring("CP0553")));
    expect_that!(text, not(contains_substring("CP0508")));
}

#[gtest]
fn json_output_has_the_cause_and_the_lines() {
    let logs = Logs::new().sent(0).failed(10, "GiveUp(Late)");
    let (_, text) = explain(&logs, &["--json", "explain", "r1"]);
    let body: Value = serde_json::from_str(&text).expect("JSON");
    expect_that!(body["lines"].as_array().map(Vec::len), some(eq(2)));
    expect_that!(body["cause"].as_str(), some(contains_substring("i-1")));
}

#[gtest]
fn an_unknown_request_is_a_failure_and_so_is_a_missing_file() {
    let logs = Logs::new().regular_lines("a", 0, 1_000);
    let (found, text) = explain(&logs, &["explain", "r1"]);
    expect_that!(found, is_false());
    expect_that!(text, contains_substring("no line names this request"));
    let output = Command::new(env!("CARGO_BIN_EXE_citronctl"))
        .env_clear()
        .args(["explain", "r1", "--log", "/none/such.log"])
        .output()
        .expect("the tool runs");
    let text = String::from_utf8_lossy(&output.stderr);
    expect_that!(text, contains_substring("/none/such.log cannot be read"));
}

/// A killed process may leave a partial line, or bytes that are not text.
#[gtest]
fn damaged_lines_are_skipped() {
    let mut logs = Logs::new().sent(0);
    logs.0
        .push_str("a {\"at_ms\":17,\"request\":\"r1\n\u{fffd}{}{\n");
    let logs = logs.failed(10, "GiveUp(Budget)");
    expect_that!(cause(&logs), contains_substring("retry budget"));
}
