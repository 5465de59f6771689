//! Runs the binary against fake daemons: exit codes, output, and retries when a
//! daemon does not answer.

mod fake;

use std::{
    io::Write,
    net::SocketAddr,
    path::Path,
    process::{Command, Output, Stdio},
};

use citron_policy::catalogue::{Change, Entry};
use fake::{Daemon, Fault, TOKEN};
use googletest::prelude::*;
use serde_json::{Value, json};

const CLASS: &str = r#"
[[class]]
name = "repair"
owner = "desk"
tier = 0
first_token_ms = 1500
between_tokens_ms = 34
whole_ms = 30000
wait_bound_ms = 5000
queue_limit = 100
"#;

/// A run of the tool.
struct Run {
    code: i32,
    out: String,
    err: String,
}

impl Run {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).expect("JSON on standard output")
    }
}

fn tool(addresses: &[SocketAddr], arguments: &[&str]) -> Run {
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    // An empty variable counts as unset.
    let output = Command::new(env!("CARGO_BIN_EXE_citronctl"))
        .env_clear()
        .env("CITRONCTL_ADMIN", addresses.join(","))
        .env("CITRONCTL_TOKEN", TOKEN)
        .args(arguments)
        .stdin(Stdio::null())
        .output()
        .expect("the tool runs");
    finished(&output)
}

fn finished(output: &Output) -> Run {
    Run {
        code: output.status.code().expect("an exit code"),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

fn addresses(daemons: &[Daemon]) -> Vec<SocketAddr> {
    daemons.iter().map(|it| it.address).collect()
}

fn declared(folder: &Path, text: &str) -> String {
    let path = folder.join("declared.toml");
    std::fs::write(&path, text).expect("written");
    path.to_string_lossy().into_owned()
}

#[gtest]
fn apply_sends_the_difference_once_and_then_nothing() {
    let (daemons, folder) = (Daemon::start(1), tempfile::tempdir().expect("a folder"));
    let file = declared(folder.path(), CLASS);
    let diff = tool(&addresses(&daemons), &["diff", "-f", &file]);
    expect_that!(diff.code, eq(0));
    expect_that!(diff.out, contains_substring("+ class/repair (owner desk)"));
    let first = tool(&addresses(&daemons), &["apply", "-f", &file, "--json"]);
    expect_that!(first.code, eq(0));
    expect_that!(first.json()["revision"], eq(&json!(1)));
    let second = tool(&addresses(&daemons), &["apply", "-f", &file]);
    expect_that!(second.code, eq(0));
    expect_that!(second.out, contains_substring("nothing to change"));
    let get = tool(&addresses(&daemons), &["get"]);
    let again = declared(folder.path(), &get.out);
    let third = tool(&addresses(&daemons), &["apply", "--prune", "-f", &again]);
    expect_that!(third.out, contains_substring("nothing to change"));
    expect_that!(daemons[0].cluster().changes.len(), eq(1));
}

#[gtest]
fn a_change_without_an_answer_is_retried_elsewhere_with_the_same_change_id() {
    for fault in [
        Fault::LoseAnswer,
        Fault::UnknownOutcome,
        Fault::Close,
        Fault::Unavailable,
        Fault::CutAnswer(0),
        Fault::CutAnswer(50),
        Fault::CutAnswer(99),
    ] {
        let (daemons, folder) = (Daemon::start(2), tempfile::tempdir().expect("a folder"));
        let file = declared(folder.path(), CLASS);
        daemons[0].set_fault(fault);
        let run = tool(&addresses(&daemons), &["apply", "-f", &file, "--json"]);
        expect_that!(run.code, eq(0), "{fault:?}: {}{}", run.out, run.err);
        expect_that!(run.json()["revision"], eq(&json!(1)));
        let cluster = daemons[1].cluster();
        expect_that!(cluster.changes.len(), eq(1));
        expect_that!(cluster.catalogue.revision, eq(1));
    }
}

/// What a cut answer lacks would be shown as absent, or pruned by the next `apply`.
#[gtest]
fn a_read_whose_answer_is_cut_is_no_answer() {
    for command in [&["get"][..], &["status"], &["explain", "class/repair"]] {
        let daemons = Daemon::start(2);
        let folder = tempfile::tempdir().expect("a folder");
        let file = declared(folder.path(), CLASS);
        let applied = tool(&addresses(&daemons), &["apply", "-f", &file]);
        expect_that!(applied.code, eq(0), "{}", applied.err);
        let whole = tool(&addresses(&daemons), command);
        expect_that!(whole.code, eq(0), "{}", whole.err);
        for percent in [0, 10, 50, 90, 99] {
            daemons[0].set_fault(Fault::CutAnswer(percent));
            let elsewhere = tool(&addresses(&daemons), command);
            expect_that!(elsewhere.code, eq(0), "{command:?}, {percent} %");
            expect_that!(elsewhere.out, eq(&whole.out), "{command:?}, {percent} %");
            let nowhere = tool(&addresses(&daemons[..1]), command);
            expect_that!(nowhere.code, eq(5), "{command:?}, {percent} %");
            expect_that!(nowhere.out, eq(""), "{command:?}, {percent} %");
        }
    }
}

#[gtest]
fn an_unknown_outcome_says_so_and_how_to_resend() {
    let (daemons, folder) = (Daemon::start(1), tempfile::tempdir().expect("a folder"));
    let file = declared(folder.path(), CLASS);
    daemons[0].set_fault(Fault::LoseAnswer);
    let arguments = ["apply", "-f", &file, "--timeout", "1s", "--change-id", "c7"];
    let run = tool(&addresses(&daemons), &arguments);
    expect_that!(run.code, eq(5));
    expect_that!(
        run.err,
        contains_substring("not known whether this was done")
    );
    expect_that!(run.err, contains_substring("--change-id c7 --base 0"));
    expect_that!(daemons[0].cluster().changes.len(), eq(1));
    daemons[0].set_fault(Fault::None);
    let again = tool(
        &addresses(&daemons),
        &["apply", "-f", &file, "--change-id", "c7", "--base", "0"],
    );
    expect_that!(again.code, eq(0));
    expect_that!(daemons[0].cluster().catalogue.revision, eq(1));
}

#[gtest]
fn a_change_id_with_another_body_is_a_conflict() {
    let (daemons, folder) = (Daemon::start(1), tempfile::tempdir().expect("a folder"));
    let file = declared(folder.path(), CLASS);
    tool(
        &addresses(&daemons),
        &["apply", "-f", &file, "--change-id", "c7"],
    );
    let file = declared(folder.path(), &CLASS.replace("100", "200"));
    let run = tool(
        &addresses(&daemons),
        &["apply", "-f", &file, "--change-id", "c7", "--json"],
    );
    expect_that!(run.code, eq(3));
    expect_that!(run.json()["problem"]["kind"], eq(&json!("change-id")));
    expect_that!(daemons[0].cluster().catalogue.revision, eq(1));
}

#[gtest]
fn a_concurrent_change_is_a_conflict_that_names_its_author() {
    let (daemons, folder) = (Daemon::start(1), tempfile::tempdir().expect("a folder"));
    let file = declared(folder.path(), CLASS);
    daemons[0].cluster().concurrent_change = Some(concurrent_change());
    let run = tool(&addresses(&daemons), &["apply", "-f", &file]);
    expect_that!(run.code, eq(3));
    expect_that!(
        run.err,
        contains_substring("revision 1: ben changed class/repair (change b7)")
    );
}

fn concurrent_change() -> Change {
    let mut faults = Vec::new();
    let declared = citron_ctl::declaration::parse(Path::new("x"), CLASS, &mut faults);
    let puts: Vec<Entry> = declared.into_iter().map(|it| it.entry).collect();
    Change {
        id: "b7".to_owned(),
        puts,
        ..Change::default()
    }
}

#[gtest]
fn apply_wait_names_the_daemons_where_it_is_not_in_force() {
    let (daemons, folder) = (Daemon::start(1), tempfile::tempdir().expect("a folder"));
    let file = declared(folder.path(), CLASS);
    daemons[0].cluster().lagging = vec!["b".to_owned()];
    let run = tool(
        &addresses(&daemons),
        &["apply", "-f", &file, "--wait", "--timeout", "1s"],
    );
    expect_that!(run.code, eq(4));
    expect_that!(run.err, contains_substring("accepted as revision 1"));
    expect_that!(run.err, contains_substring("b: has revision 0 in force"));
    let run = tool(
        &addresses(&daemons),
        &["wait", "1", "--json", "--timeout", "1s"],
    );
    expect_that!(run.code, eq(4));
    expect_that!(run.json()["lagging"][0]["instance"], eq(&json!("b")));
    daemons[0].cluster().lagging.clear();
    expect_that!(tool(&addresses(&daemons), &["wait", "1"]).code, eq(0));
}

#[gtest]
fn reads_skip_daemons_that_do_not_answer() {
    let daemons = Daemon::start(3);
    daemons[0].set_fault(Fault::Close);
    daemons[1].set_fault(Fault::Unavailable);
    let run = tool(&addresses(&daemons), &["status"]);
    expect_that!(run.code, eq(0));
    expect_that!(run.out, contains_substring("leader a"));
    expect_that!(
        run.out,
        contains_substring("replica 0000000000000def counts and does not answer")
    );
    expect_that!(
        run.out,
        contains_substring(
            "duties held by a under token 17, renewed at 23, usage fixed up to window 353445120"
        )
    );
    let run = tool(&addresses(&daemons), &["explain", "class/repair"]);
    expect_that!(run.out, contains_substring("class/repair, owner desk"));
    expect_that!(
        run.out,
        contains_substring("1970-01-01T00:00:00.000Z a CP0201 taken in")
    );
    expect_that!(run.out, contains_substring("b did not answer"));
}

#[gtest]
fn no_daemon_is_exit_code_five() {
    let daemons = Daemon::start(1);
    daemons[0].set_fault(Fault::Close);
    let run = tool(&addresses(&daemons), &["get"]);
    expect_that!(run.code, eq(5));
    expect_that!(run.err, contains_substring("no daemon answered"));
}

#[gtest]
fn init_is_not_retried_once_it_may_have_succeeded() {
    let daemons = Daemon::start(2);
    daemons[0].set_fault(Fault::LoseAnswer);
    let run = tool(&addresses(&daemons), &["init", "e1", "e2"]);
    expect_that!(run.code, eq(5));
    expect_that!(daemons[0].cluster().requests.len(), eq(1));
    daemons[0].set_fault(Fault::Unavailable);
    expect_that!(
        tool(&addresses(&daemons), &["init", "e1", "e2"]).code,
        eq(0)
    );
    let replace = ["replace-replica", "0000000000000abc", "0000000000000def"];
    expect_that!(
        tool(&addresses(&daemons), &replace).out,
        contains_substring("repaired")
    );
}

#[gtest]
fn nothing_is_sent_when_declarations_have_faults() {
    let (daemons, folder) = (Daemon::start(1), tempfile::tempdir().expect("a folder"));
    let file = declared(folder.path(), &CLASS.replace("owner", "ownr"));
    let run = tool(&addresses(&daemons), &["apply", "-f", &file, "--json"]);
    expect_that!(run.code, eq(1));
    expect_that!(run.json()["faults"].as_array().map(Vec::len), some(eq(2)));
    expect_that!(daemons[0].cluster().requests.len(), eq(0));
}

#[gtest]
fn a_wrong_token_is_a_failure() {
    let daemons = Daemon::start(1);
    let output = Command::new(env!("CARGO_BIN_EXE_citronctl"))
        .env_clear()
        .env("CITRONCTL_TOKEN", "not-the-token-of-anybody")
        .args(["--admin", &daemons[0].address.to_string(), "get"])
        .output()
        .expect("the tool runs");
    let run = finished(&output);
    expect_that!(run.code, eq(1));
    expect_that!(run.err, not(contains_substring("not-the-token")));
}

#[gtest]
fn faults_of_the_command_line_are_exit_code_two_all_at_once() {
    let cases: [&[&str]; 7] = [
        &[],
        &["frobnicate"],
        &["apply"],
        &["wait", "x"],
        &["get", "--frobnicate"],
        &["get", "--timeout", "soon", "--admin", "nowhere"],
        &["get", "--admin"],
    ];
    for arguments in cases {
        let run = tool(&[], arguments);
        expect_that!(run.code, eq(2), "{arguments:?}");
        expect_that!(run.err, not(eq("")), "{arguments:?}");
    }
    let run = tool(&[], &["get", "--timeout", "soon", "--admin", "nowhere"]);
    expect_that!(run.err, contains_substring("--timeout"));
    expect_that!(run.err, contains_substring("--admin"));
    let output = Command::new(env!("CARGO_BIN_EXE_citronctl"))
        .env_clear()
        .arg("get")
        .output()
        .expect("the tool runs");
    expect_that!(
        finished(&output).err,
        contains_substring("CITRONCTL_TOKEN_FILE")
    );
}

#[gtest]
fn help_lists_commands_settings_and_exit_codes() {
    let run = tool(&[], &["--help"]);
    expect_that!(run.code, eq(0));
    for part in [
        "apply",
        "replace-replica",
        "--token-file",
        "CITRONCTL_TOKEN",
        "Exit codes",
    ] {
        expect_that!(run.out, contains_substring(part));
    }
    expect_that!(
        tool(&[], &["apply", "--help"]).out,
        contains_substring("--change-id")
    );
    expect_that!(tool(&[], &["--version"]).out, starts_with("citronctl "));
}

#[gtest]
fn key_prints_the_digest_that_the_examples_use() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_citronctl"))
        .arg("key")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the tool runs");
    let mut input = child.stdin.take().expect("standard input");
    input
        .write_all(b"example-key-records-not-secret\n")
        .expect("written");
    drop(input);
    let run = finished(&child.wait_with_output().expect("the tool ends"));
    let accounts =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kalahari/accounts.toml");
    let accounts = std::fs::read_to_string(accounts).expect("an example");
    expect_that!(accounts, contains_substring(run.out.trim()));
    expect_that!(run.out.trim().len(), eq(64));
}
