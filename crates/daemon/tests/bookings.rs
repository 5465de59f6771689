//! Calls that run at most once, tested with real processes.
//!
//! The service counts its own runs: never more than one for a key, and none for
//! a call that was answered `not-run`.

mod common;

use std::{thread, time::SystemTime};

use common::{
    cluster::{Cluster, Plan, book, with_key},
    eventually,
    http::{self, Reply},
};
use googletest::prelude::*;
use serde_json::{Value, json};

const BODY: &str = r#"{"item":"brooch"}"#;

/// Timeout of a call whose daemon is killed; its claim expires 5 s later.
const SHORT_TIMEOUT_MS: &str = "3000";

fn outcome(reply: &Reply) -> String {
    reply.header("citron-outcome").unwrap_or("none").to_owned()
}

fn kind(reply: &Reply) -> String {
    let kind = reply.json()["type"].as_str().unwrap_or_default().to_owned();
    kind.trim_start_matches("urn:citronpond:").to_owned()
}

/// Tells in a failed test's output what a call was answered.
fn report(number: usize, key: &str, reply: &Reply) {
    let at = humantime::format_rfc3339_millis(SystemTime::now());
    let (status, text) = (reply.status, reply.text());
    println!(
        "{at} {key} at {number}: {status}, {}, {text}",
        outcome(reply)
    );
}

/// Resends the call until it gets a final answer.
fn resend(cluster: &Cluster, number: usize, key: &str) -> Reply {
    eventually("a final answer for the key", || {
        let reply = book(cluster.daemons[number].callers, key, BODY);
        report(number, key, &reply);
        let temporary = reply.status == 0
            || ["in-progress", "ledger", "cut-off"].contains(&kind(&reply).as_str());
        let temporary = temporary || outcome(&reply) == "not-run" && reply.status == 503;
        (!temporary).then_some(reply)
    })
}

fn leader(cluster: &Cluster, queried: usize) -> usize {
    eventually("a leader is known", || {
        let status = cluster
            .admin(queried, "GET", "/v1/status", &Value::Null)
            .json();
        let name = status["leader"].as_str()?.to_owned();
        cluster
            .daemons
            .iter()
            .position(|daemon| daemon.name == name)
    })
}

/// Books in a thread, so that the test can inject faults meanwhile.
fn book_in_background(
    cluster: &Cluster,
    number: usize,
    key: &'static str,
    timeout_ms: &'static str,
) -> thread::JoinHandle<Reply> {
    let callers = cluster.daemons[number].callers;
    thread::spawn(move || {
        let headers = with_key(&[("idempotency-key", key), ("citron-timeout-ms", timeout_ms)]);
        let reply = http::post(
            callers,
            "/v1/services/tickets/book",
            &headers,
            BODY.as_bytes(),
        );
        report(number, key, &reply);
        reply
    })
}

/// Makes the service hold calls after reading them, until [`unfreeze_service`]; returns its
/// request count.
fn freeze_service(cluster: &Cluster) -> u64 {
    cluster.services[0].set_fault(&json!({"freeze": true}));
    cluster.services[0].count("requests")
}

fn unfreeze_service(cluster: &Cluster) {
    cluster.services[0].set_fault(&json!({}));
}

/// Waits until the service has read one call more than `before`.
fn wait_until_read(cluster: &Cluster, before: u64) {
    eventually("the service has read the call", || {
        (cluster.services[0].count("requests") > before).then_some(())
    });
}

#[gtest]
fn a_resend_gets_the_stored_answer_and_another_body_is_refused() {
    let cluster = Cluster::start(Plan {
        engines: 1,
        ..Plan::default()
    });
    let first = book(cluster.daemons[0].callers, "k1", BODY);
    expect_that!(outcome(&first), eq("done"));
    for number in 0..3 {
        let again = book(cluster.daemons[number].callers, "k1", BODY);
        expect_that!(
            (again.status, outcome(&again), again.text()),
            eq(&(200, "done".to_owned(), first.text()))
        );
        let other = book(cluster.daemons[number].callers, "k1", r#"{"item":"ring"}"#);
        expect_that!(
            (other.status, kind(&other), outcome(&other)),
            eq(&(422, "key-reused".to_owned(), "not-run".to_owned()))
        );
    }
    expect_that!(cluster.services[0].runs("k1"), eq(1));
}

#[gtest]
fn an_unanswered_call_is_unknown_and_never_runs_again() {
    let cluster = Cluster::start(Plan {
        engines: 1,
        ..Plan::default()
    });
    for (key, close, runs) in [("before", "before", 0), ("after", "after", 1)] {
        cluster.services[0].set_fault(&json!({"close": close}));
        let first = resend(&cluster, 0, key);
        expect_that!(outcome(&first), eq("unknown"), "{key}");
        cluster.services[0].set_fault(&json!({}));
        for number in 0..3 {
            let again = resend(&cluster, number, key);
            expect_that!(
                (outcome(&again), kind(&again)),
                eq(&("unknown".to_owned(), "unknown".to_owned())),
                "{key}"
            );
        }
        expect_that!(cluster.services[0].runs(key), eq(runs), "{key}");
    }
}

#[gtest]
fn a_call_that_did_not_run_is_reported_so_and_runs_when_resent() {
    let mut cluster = Cluster::start(Plan {
        engines: 1,
        ..Plan::default()
    });
    cluster.services[0].set_fault(&json!({"refuse": 503}));
    let refused = book(cluster.daemons[0].callers, "refused", BODY);
    expect_that!(outcome(&refused), eq("not-run"));
    expect_that!(cluster.services[0].runs("refused"), eq(0));
    cluster.services[0].set_fault(&json!({}));
    let again = resend(&cluster, 1, "refused");
    expect_that!(
        (outcome(&again), cluster.services[0].runs("refused")),
        eq(&("done".to_owned(), 1))
    );
    cluster.services[0].process.kill();
    let down = book(cluster.daemons[2].callers, "down", BODY);
    expect_that!(outcome(&down), eq("not-run"));
    expect_that!(down.header("retry-after"), some(anything()));
}

#[gtest]
fn a_caller_who_leaves_finds_the_answer_under_its_key() {
    let cluster = Cluster::start(Plan {
        engines: 1,
        ..Plan::default()
    });
    let before = freeze_service(&cluster);
    let headers = with_key(&[("idempotency-key", "left")]);
    let path = "/v1/services/tickets/book";
    let left = http::request(
        cluster.daemons[0].callers,
        "POST",
        path,
        &headers,
        BODY.as_bytes(),
    );
    wait_until_read(&cluster, before);
    drop(left);
    let during = book(cluster.daemons[1].callers, "left", BODY);
    expect_that!(kind(&during), eq("in-progress"));
    expect_that!(during.header("retry-after"), some(anything()));
    unfreeze_service(&cluster);
    let again = resend(&cluster, 2, "left");
    expect_that!(
        (outcome(&again), cluster.services[0].runs("left")),
        eq(&("done".to_owned(), 1))
    );
}

#[gtest]
fn a_daemon_lost_during_the_call_leaves_in_progress_and_then_unknown() {
    let mut cluster = Cluster::start(Plan {
        engines: 1,
        ..Plan::default()
    });
    let victim = (leader(&cluster, 0) + 1) % 3;
    let other = (victim + 1) % 3;
    let before = freeze_service(&cluster);
    let call = book_in_background(&cluster, victim, "lost", SHORT_TIMEOUT_MS);
    wait_until_read(&cluster, before);
    cluster.daemons[victim].process.kill();
    expect_that!(call.join().expect("join the thread").status, eq(0));
    let during = book(cluster.daemons[other].callers, "lost", BODY);
    expect_that!(kind(&during), eq("in-progress"), "{}", during.text());
    unfreeze_service(&cluster);
    let again = resend(&cluster, other, "lost");
    expect_that!(kind(&again), eq("unknown"), "{}", again.text());
    expect_that!(cluster.services[0].runs("lost"), le(1));
}

#[gtest]
fn a_leader_lost_or_paused_during_the_call_causes_no_second_run() {
    let mut cluster = Cluster::start(Plan {
        engines: 1,
        ..Plan::default()
    });
    let first = leader(&cluster, 0);
    let entry = (first + 1) % 3;
    let before = freeze_service(&cluster);
    let call = book_in_background(&cluster, entry, "frozen", "20000");
    wait_until_read(&cluster, before);
    cluster.daemons[first].process.signal("STOP");
    unfreeze_service(&cluster);
    expect_that!(outcome(&call.join().expect("join the thread")), eq("done"));
    let again = resend(&cluster, 3 - first - entry, "frozen");
    expect_that!(outcome(&again), eq("done"));
    cluster.daemons[first].process.signal("CONT");
    let resumed = resend(&cluster, first, "frozen");
    expect_that!(outcome(&resumed), eq("done"));
    expect_that!(cluster.services[0].runs("frozen"), eq(1));

    let second = leader(&cluster, entry);
    let entry = (second + 1) % 3;
    let before = freeze_service(&cluster);
    let call = book_in_background(&cluster, entry, "killed", "20000");
    wait_until_read(&cluster, before);
    cluster.daemons[second].process.kill();
    unfreeze_service(&cluster);
    expect_that!(outcome(&call.join().expect("join the thread")), eq("done"));
    expect_that!(
        outcome(&resend(&cluster, 3 - second - entry, "killed")),
        eq("done")
    );
    expect_that!(cluster.services[0].runs("killed"), eq(1));
}

#[gtest]
fn the_same_keys_through_all_daemons_at_once_run_once_each() {
    let cluster = Cluster::start(Plan {
        engines: 1,
        services: 2,
        ..Plan::default()
    });
    let keys: Vec<String> = (0..20).map(|number| format!("race-{number}")).collect();
    thread::scope(|scope| {
        for daemon in &cluster.daemons {
            for key in &keys {
                scope.spawn(move || book(daemon.callers, key, BODY));
            }
        }
    });
    for key in &keys {
        expect_that!(outcome(&resend(&cluster, 0, key)), eq("done"), "{key}");
        let runs: u64 = cluster.services.iter().map(|it| it.runs(key)).sum();
        expect_that!(runs, eq(1), "{key}");
    }
}

#[gtest]
fn one_quarantined_lookup_leaves_the_account_its_others() {
    let cluster = Cluster::start(Plan {
        engines: 1,
        services: 2,
        ..Plan::default()
    });
    let lookup = |path: &str| {
        let path = format!("/v1/services/tickets/{path}");
        http::send(
            cluster.daemons[0].callers,
            "GET",
            &path,
            &with_key(&[]),
            b"",
        )
    };
    let set = |fault: &Value| cluster.services.iter().for_each(|it| it.set_fault(fault));
    set(&json!({"close": "after"}));
    eventually("the lookup is quarantined", || {
        (kind(&lookup("poison")) == "quarantined").then_some(())
    });
    set(&json!({}));
    eventually("another lookup is answered", || {
        (lookup("other").status == 200).then_some(())
    });
    expect_that!(kind(&lookup("poison")), eq("quarantined"));
}

#[gtest]
fn a_runner_that_refuses_everything_is_given_up() {
    let cluster = Cluster::start(Plan {
        engines: 1,
        services: 2,
        ..Plan::default()
    });
    cluster.services[0].set_fault(&json!({"refuse": 503}));
    let before = cluster.services[0].count("requests");
    for number in 0..60 {
        let path = format!("/v1/services/tickets/{number}");
        http::send(
            cluster.daemons[0].callers,
            "GET",
            &path,
            &with_key(&[]),
            b"",
        );
    }
    // Three consecutive refusals, plus the probes of a test that may take many seconds.
    let received = cluster.services[0].count("requests") - before;
    expect_that!(received, le(12));
}
