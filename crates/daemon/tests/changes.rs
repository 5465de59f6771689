//! Durability of accepted changes, tested with real processes and `citronctl`:
//! concurrent operators, lost answers, kills and lost disks.

mod common;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    path::Path,
    process::{Command, Output, Stdio},
    time::Duration,
};

use common::{
    cluster::{Cluster, OTHER_OPERATOR, OTHER_TOKEN, Plan, TOKEN},
    eventually,
};
use googletest::prelude::*;
use indexmap::IndexMap;
use serde_json::{Value, json};

/// Number of changes in the restart test.
const CHANGES: u64 = 300;

/// Number of changes between two kills of the leader.
const KILL_EVERY: u64 = 60;

/// Number of accounts in the large change.
const ACCOUNTS: u64 = 12_000;

/// Number of races between the two operators.
const RACES: u64 = 8;

/// Starts and forms a cluster without runners and with an empty catalogue.
fn start() -> Cluster {
    let cluster = Cluster::start_bare(Plan {
        engines: 0,
        services: 0,
        ..Plan::default()
    });
    cluster.form();
    cluster
}

/// Result of running the tool.
struct Run {
    code: i32,
    out: String,
    err: String,
}

fn run(output: &Output) -> Run {
    Run {
        code: output.status.code().expect("the tool exits with a code"),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Command for the tool, which the build places next to the daemon.
fn tool(addresses: &[SocketAddr], token: &str, arguments: &[&str]) -> Command {
    let program = Path::new(env!("CARGO_BIN_EXE_citrond")).with_file_name("citronctl");
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    let mut command = Command::new(program);
    command
        .env_clear()
        .env("CITRONCTL_ADMIN", addresses.join(","))
        .env("CITRONCTL_TOKEN", token)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

fn ctl(cluster: &Cluster, first: usize, arguments: &[&str]) -> Run {
    let addresses = addresses(cluster, first);
    let output = tool(&addresses, TOKEN, arguments).output();
    run(&output.expect("start the tool"))
}

/// Operators' addresses of all daemons, starting with daemon `first`.
fn addresses(cluster: &Cluster, first: usize) -> Vec<SocketAddr> {
    let mut all: Vec<SocketAddr> = cluster.daemons.iter().map(|it| it.admin).collect();
    all.rotate_left(first);
    all
}

fn class(name: &str, queue_limit: u64) -> Value {
    json!({
        "kind": "class", "name": name, "owner": "tests", "tier": 1,
        "first_token_ms": 500, "between_tokens_ms": 100, "whole_ms": 10_000,
        "wait_bound_ms": 2_000, "queue_limit": queue_limit, "preemptible": false,
    })
}

/// Writes a declaration of one class to a file in the cluster's folder; returns its path.
fn declared(cluster: &Cluster, file: &str, name: &str, queue_limit: u64) -> String {
    let path = cluster.folder().join(file);
    let text = format!(
        "[[class]]\nname = \"{name}\"\nowner = \"tests\"\ntier = 1\nfirst_token_ms = 500\n\
         between_tokens_ms = 100\nwhole_ms = 10000\nwait_bound_ms = 2000\n\
         queue_limit = {queue_limit}\n"
    );
    std::fs::write(&path, text).expect("write the file");
    path.to_string_lossy().into_owned()
}

/// Resends a change until its outcome is known; returns status and body.
fn submit(cluster: &Cluster, first: usize, change: &Value) -> (u16, Value) {
    let count = cluster.daemons.len();
    let mut at = first;
    eventually("the outcome of a change", || {
        let reply = cluster.admin(at % count, "POST", "/v1/changes", change);
        at += 1;
        matches!(reply.status, 200 | 409 | 422).then(|| (reply.status, reply.json()))
    })
}

/// Submits a change and kills a daemon while it is in progress; the delay before
/// the kill varies with the number of the change.
fn submit_under_kill(
    cluster: &Cluster,
    first: usize,
    change: &Value,
    killed: Option<usize>,
    number: u64,
) -> (u16, Value) {
    let delay = Duration::from_millis(number % 7 * 3);
    std::thread::scope(|scope| {
        if let Some(killed) = killed {
            scope.spawn(move || {
                std::thread::sleep(delay);
                cluster.daemons[killed].process.signal("KILL");
            });
        }
        submit(cluster, first, change)
    })
}

/// Revision and queue limits of all classes in force on one daemon.
fn in_force(cluster: &Cluster, number: usize) -> Option<(u64, IndexMap<String, u64>)> {
    let reply = cluster.admin(number, "GET", "/v1/catalogue", &Value::Null);
    if reply.status != 200 {
        return None;
    }
    let body = reply.json();
    let classes = body["entries"].as_array()?.iter().filter_map(|it| {
        let name = it["name"].as_str()?.to_owned();
        Some((name, it["queue_limit"].as_u64()?))
    });
    Some((body["revision"].as_u64()?, classes.collect()))
}

fn wait_in_force(cluster: &Cluster, number: usize, revision: u64) -> IndexMap<String, u64> {
    eventually("the revision is in force", || {
        let (found, classes) = in_force(cluster, number)?;
        assert!(found <= revision, "revision {found} was never accepted");
        (found == revision).then_some(classes)
    })
}

fn status(cluster: &Cluster, number: usize) -> Value {
    let reply = cluster.admin(number, "GET", "/v1/status", &Value::Null);
    if reply.status == 200 {
        reply.json()
    } else {
        Value::Null
    }
}

/// Index of the leader, as reported by any daemon.
fn leader(cluster: &Cluster) -> usize {
    let count = cluster.daemons.len();
    let mut at = 0;
    eventually("a leader", || {
        at += 1;
        let name = status(cluster, at % count)["leader"].as_str()?.to_owned();
        cluster.daemons.iter().position(|it| it.name == name)
    })
}

#[gtest]
fn two_operators_under_equal_numbers_give_one_change_and_one_conflict() {
    let cluster = start();
    for race in 0..RACES {
        let base = race.to_string();
        let ours = declared(&cluster, "ours.toml", "raced", 10 + race);
        let theirs = declared(&cluster, "theirs.toml", "raced", 500 + race);
        wait_in_force(&cluster, 0, race);
        wait_in_force(&cluster, 1, race);
        let start = |first, token, file: &str| {
            let arguments = ["apply", "-f", file, "--base", &base];
            let mut command = tool(&addresses(&cluster, first), token, &arguments);
            command.spawn().expect("start the tool")
        };
        let (first, second) = (start(0, TOKEN, &ours), start(1, OTHER_TOKEN, &theirs));
        let first = run(&first.wait_with_output().expect("wait for the tool"));
        let second = run(&second.wait_with_output().expect("wait for the tool"));
        let mut codes = [first.code, second.code];
        codes.sort_unstable();
        expect_that!(codes, eq([0, 3]), "{}{}", first.err, second.err);
        let (loser, winner) = if first.code == 0 {
            (second, "test")
        } else {
            (first, OTHER_OPERATOR)
        };
        let named = format!("{winner} changed class/raced");
        expect_that!(loser.err, contains_substring(named));
        let classes = wait_in_force(&cluster, 2, race + 1);
        let value = if winner == OTHER_OPERATOR {
            500 + race
        } else {
            10 + race
        };
        expect_that!(classes["raced"], eq(value));
    }
}

#[gtest]
fn a_change_whose_answer_is_lost_is_applied_once() {
    let mut cluster = start();
    let change =
        |limit| json!({"id": "lost", "base": 0, "operator": "", "puts": [class("a", limit)]});
    // The answer is lost because the operator closes the connection...
    let body = change(7).to_string();
    let mut stream = TcpStream::connect(cluster.daemons[0].admin).expect("connect to the daemon");
    let head = format!(
        "POST /v1/changes HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("send the request");
    stream.write_all(body.as_bytes()).expect("send the request");
    drop(stream);
    // ... and then the daemon that received the change is killed.
    cluster.daemons[0].process.kill();
    let (same, answer) = submit(&cluster, 1, &change(7));
    expect_that!((same, answer["revision"].as_u64()), eq((200, Some(1))));
    let (other, problem) = submit(&cluster, 2, &change(8));
    expect_that!(
        (other, problem["kind"].as_str()),
        eq((409, Some("change-id")))
    );
    cluster.restart(0);
    let (again, answer) = submit(&cluster, 0, &change(7));
    expect_that!((again, answer["revision"].as_u64()), eq((200, Some(1))));
    for number in 0..3 {
        expect_that!(wait_in_force(&cluster, number, 1)["a"], eq(7));
    }
}

#[gtest]
fn apply_wait_names_the_daemon_where_it_is_not_in_force() {
    let cluster = start();
    let paused = (leader(&cluster) + 1) % 3;
    let first = (paused + 1) % 3;
    let file = declared(&cluster, "a.toml", "a", 1);
    cluster.daemons[paused].process.signal("STOP");
    let arguments = ["apply", "-f", &file, "--wait", "--timeout", "2s"];
    let waited = ctl(&cluster, first, &arguments);
    cluster.daemons[paused].process.signal("CONT");
    expect_that!(waited.code, eq(4), "{}{}", waited.out, waited.err);
    let name = &cluster.daemons[paused].name;
    expect_that!(waited.err, contains_substring(format!("{name}:")));
    let waited = ctl(&cluster, first, &["wait", "1"]);
    expect_that!(waited.code, eq(0), "{}{}", waited.out, waited.err);
    wait_in_force(&cluster, paused, 1);
}

#[gtest]
fn hundreds_of_changes_survive_kills_of_the_leader_and_of_all() {
    let mut cluster = start();
    let mut accepted: IndexMap<String, u64> = IndexMap::new();
    for number in 0..CHANGES {
        let name = format!("class-{}", number % 40);
        let puts = [class(&name, number + 1)];
        let change =
            json!({"id": format!("c{number}"), "base": number, "operator": "", "puts": puts});
        let killed = (number % KILL_EVERY == KILL_EVERY - 1).then(|| leader(&cluster));
        let first = usize::try_from(number % 3).expect("fits in usize");
        let (status, answer) = submit_under_kill(&cluster, first, &change, killed, number);
        assert_eq!(
            (status, answer["revision"].as_u64()),
            (200, Some(number + 1)),
            "{answer}"
        );
        accepted.insert(name, number + 1);
        if let Some(killed) = killed {
            cluster.restart(killed);
        }
    }
    for daemon in &mut cluster.daemons {
        daemon.process.kill();
    }
    for number in 0..3 {
        cluster.restart(number);
    }
    accepted.sort_keys();
    for number in 0..3 {
        let mut found = wait_in_force(&cluster, number, CHANGES);
        found.sort_keys();
        expect_that!(found, eq(&accepted));
    }
    let again = json!({"id": "c17", "base": 17, "operator": "", "puts": [class("class-17", 18)]});
    let (status, answer) = submit(&cluster, 1, &again);
    expect_that!((status, answer["revision"].as_u64()), eq((200, Some(18))));
}

#[gtest]
fn a_lost_disk_is_replaced_and_the_next_loss_is_tolerated() {
    let mut cluster = start();
    let put = |cluster: &Cluster, number: u64| {
        let change = json!({
            "id": format!("c{number}"), "base": number, "operator": "",
            "puts": [class("a", number + 1)],
        });
        let (status, answer) = submit(cluster, 0, &change);
        assert_eq!(
            (status, answer["revision"].as_u64()),
            (200, Some(number + 1)),
            "{answer}"
        );
    };
    for number in 0..20 {
        put(&cluster, number);
    }
    let old = replica_of(&cluster, 2);
    cluster.daemons[2].process.kill();
    std::fs::remove_dir_all(cluster.folder().join("entry-2")).expect("remove the data folder");
    cluster.restart(2);
    let new = eventually("the new replica shows", || {
        let new = status(&cluster, 0)["replicas"]
            .as_array()?
            .iter()
            .find_map(|it| {
                let here = it["instance"].as_str() == Some("entry-2");
                here.then(|| it["replica"].as_str().map(ToOwned::to_owned))?
            })?;
        (new != old).then_some(new)
    });
    eventually("the new replica counts", || {
        let run = ctl(&cluster, 0, &["replace-replica", &old, &new]);
        (run.code == 0).then_some(())
    });
    let voters = status(&cluster, 0)["voters"].to_string();
    expect_that!(voters, contains_substring(new.as_str()));
    expect_that!(voters, not(contains_substring(old.as_str())));
    // A second replica is lost right after the repair.
    let lost = leader(&cluster).min(1);
    cluster.daemons[lost].process.kill();
    std::fs::remove_dir_all(cluster.folder().join(format!("entry-{lost}")))
        .expect("remove the data folder");
    for number in 20..30 {
        put(&cluster, number);
    }
    for number in (0..3).filter(|it| *it != lost) {
        expect_that!(wait_in_force(&cluster, number, 30)["a"], eq(30));
    }
}

#[gtest]
fn a_cluster_is_formed_once() {
    let mut cluster = start();
    let file = declared(&cluster, "a.toml", "a", 1);
    expect_that!(
        ctl(&cluster, 0, &["apply", "-f", &file, "--wait"]).code,
        eq(0)
    );
    for first in 0..3 {
        let run = ctl(&cluster, first, &["init", "entry-0", "entry-1", "entry-2"]);
        expect_that!(run.code, eq(1), "{}{}", run.out, run.err);
    }
    // A replica that lost its disk must not form a separate cluster.
    cluster.daemons[1].process.kill();
    std::fs::remove_dir_all(cluster.folder().join("entry-1")).expect("remove the data folder");
    cluster.restart(1);
    replica_of(&cluster, 1);
    let run = ctl(&cluster, 1, &["init", "entry-1"]);
    expect_that!(run.code, not(eq(0)), "{}{}", run.out, run.err);
    for number in 0..3 {
        expect_that!(wait_in_force(&cluster, number, 1)["a"], eq(1));
    }
}

#[gtest]
fn the_examples_are_applied_and_read_back() {
    let cluster = start();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["kalahari", "karamanlis"] {
        let folder = root.join(name).to_string_lossy().into_owned();
        let applied = ctl(&cluster, 0, &["apply", "-f", &folder, "--wait"]);
        expect_that!(applied.code, eq(0), "{}{}", applied.out, applied.err);
        let diff = ctl(&cluster, 1, &["diff", "-f", &folder]);
        expect_that!(diff.out, starts_with("0 changes"));
    }
    // The output of `get` is a declaration of the whole catalogue.
    let printed = cluster.folder().join("printed.toml");
    std::fs::write(&printed, ctl(&cluster, 2, &["get"]).out).expect("write the file");
    let printed = printed.to_string_lossy().into_owned();
    let diff = ctl(&cluster, 2, &["diff", "--prune", "-f", &printed]);
    expect_that!(diff.out, starts_with("0 changes against revision 2"));
    let explained = ctl(&cluster, 1, &["explain", "class/repair-desk"]);
    expect_that!(
        explained.out,
        contains_substring("class/repair-desk, owner counter-team")
    );
    expect_that!(
        explained.out,
        contains_substring("account/windhoek-counter, owner counter-team")
    );
    expect_that!(explained.out, contains_substring("entry-0 CP0801"));
    let status = ctl(&cluster, 2, &["status"]);
    for daemon in &cluster.daemons {
        expect_that!(status.out, contains_substring(daemon.name.as_str()));
    }
}

#[gtest]
fn twelve_thousand_accounts_are_applied_at_once() {
    let cluster = start();
    let file = declared(&cluster, "a.toml", "a", 1);
    let mut text = std::fs::read_to_string(&file).expect("read the declaration");
    for number in 0..ACCOUNTS {
        let account = format!(
            "[[account]]\nname = \"account-{number}\"\nowner = \"tests\"\n\
             key_sha256 = \"{number:064x}\"\nclass = \"a\"\nmax_running = 4\nmax_queued = 8\n"
        );
        text.push_str(&account);
    }
    std::fs::write(&file, text).expect("write the file");
    let applied = ctl(&cluster, 0, &["apply", "-f", &file, "--wait", "--json"]);
    expect_that!(applied.code, eq(0), "{}{}", applied.out.len(), applied.err);
    let again = ctl(&cluster, 1, &["apply", "-f", &file]);
    expect_that!(again.out, starts_with("nothing to change"));
}

/// Replica ID of a daemon's data folder, as the daemon reports it.
fn replica_of(cluster: &Cluster, number: usize) -> String {
    let name = &cluster.daemons[number].name;
    eventually("the replica shows", || {
        let status = status(cluster, number);
        let replicas = status["replicas"].as_array()?;
        let own = replicas
            .iter()
            .find(|it| it["instance"].as_str() == Some(name))?;
        own["replica"].as_str().map(ToOwned::to_owned)
    })
}
