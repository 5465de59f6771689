//! Leaving instances with real processes: they take no new work, finish the
//! requests in flight and direct callers to other instances.

mod common;

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use common::{
    cluster::{Cluster, Plan, chat, chat_body, with_key},
    eventually,
    http::{self, Exchange},
};
use googletest::prelude::*;
use serde_json::Value;

const CHAT: &str = "/v1/chat/completions";

/// Time within which a leaving instance must stop being offered new work.
const NO_NEW_WORK: Duration = Duration::from_secs(3);

/// Engine arguments for answers that take a few seconds.
const LONG_ANSWERS: [&str; 4] = ["--token-interval-us", "20000", "--mean-tokens", "150"];

/// Engine arguments for answers of five seconds, which outlast the time that a leaving
/// instance waits for callers with cached addresses.
const ANSWERS_OF_FIVE_SECONDS: [&str; 6] = [
    "--token-interval-us",
    "20000",
    "--mean-tokens",
    "250",
    "--min-tokens",
    "250",
];

fn slow_plan(daemons: usize) -> Plan {
    Plan {
        daemons,
        engine_arguments: LONG_ANSWERS.to_vec(),
        ..Plan::default()
    }
}

/// Addresses that a daemon lists for callers.
fn entries(callers: SocketAddr) -> Vec<SocketAddr> {
    let reply = http::get(callers, "/v1/entries");
    if reply.status != 200 {
        return Vec::new();
    }
    let list = reply.json()["entries"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    list.iter()
        .filter_map(|it| it["address"].as_str()?.parse().ok())
        .collect()
}

fn begin(callers: SocketAddr, prompt: &str) -> Option<Exchange> {
    let body = chat_body(prompt, true);
    Exchange::open(callers, "POST", CHAT, &with_key(&[]), body.as_bytes())
}

fn begin_chat(callers: SocketAddr, prompt: &str) -> Exchange {
    let exchange = begin(callers, prompt).expect("a streamed answer");
    assert_eq!(exchange.reply.status, 200, "{}", exchange.reply.text());
    exchange
}

fn is_whole(exchange: Exchange) -> bool {
    exchange
        .finish()
        .events()
        .last()
        .is_some_and(|it| it == "[DONE]")
}

/// The platform's list with these instances marked as leaving.
fn list_with_leaving(cluster: &Cluster, names: &[&str]) -> Value {
    let mut list = cluster.platform_list();
    for entry in list["entries"].as_array_mut().expect("entries") {
        if names.iter().any(|name| entry["id"] == **name) {
            entry["standing"] = "leaving".into();
        }
    }
    list
}

#[gtest]
fn a_signal_finishes_what_is_in_flight_and_sends_the_rest_elsewhere() {
    let mut cluster = Cluster::start(slow_plan(3));
    let (victim, other) = (cluster.daemons[2].callers, cluster.daemons[0].callers);
    let stream = begin_chat(victim, "a long answer");
    cluster.daemons[2].process.signal("TERM");
    eventually("the leaving instance refuses new work", || {
        let reply = chat(victim, "new", false, &[]);
        if reply.status != 503 {
            return None;
        }
        let tried = reply.json()["try"].as_array().map_or(0, Vec::len);
        (reply.status == 503 && reply.header("citron-outcome") == Some("not-run") && tried > 0)
            .then_some(())
    });
    let refused_at = Instant::now();
    eventually("the other daemons no longer list it", || {
        (!entries(other).contains(&victim)).then_some(())
    });
    expect_that!(refused_at.elapsed(), le(NO_NEW_WORK));
    expect_true!(is_whole(stream), "the answer in flight was cut");
    expect_that!(cluster.daemons[2].process.wait().code(), some(eq(0)));
    expect_that!(chat(other, "after", false, &[]).status, eq(200));
}

/// Callers that cached the address must be sent elsewhere, not meet a closed port, for as
/// long as a long answer keeps the process, and after the last answer.
#[gtest]
fn an_instance_refuses_with_other_addresses_until_it_ends() {
    let mut cluster = Cluster::start(Plan {
        engine_arguments: ANSWERS_OF_FIVE_SECONDS.to_vec(),
        waits_ready: false,
        ..slow_plan(3)
    });
    let (victim, other) = (cluster.daemons[2].callers, cluster.daemons[0].callers);
    eventually("the instance takes work", || {
        let taken = begin(victim, "ready").is_some_and(|it| it.reply.status == 200);
        taken.then_some(())
    });
    let stream = begin_chat(victim, "a long answer");
    cluster.daemons[2].process.signal("TERM");
    eventually("the other daemons no longer list it", || {
        (!entries(other).contains(&victim)).then_some(())
    });
    let ended = thread::spawn(move || is_whole(stream));
    let (mut refused, mut unanswered) = (0, 0);
    while !ended.is_finished() {
        let reply = chat(victim, "new", false, &[]);
        refused +=
            u32::from(reply.status == 503 && reply.header("citron-outcome") == Some("not-run"));
        unanswered += u32::from(reply.status == 0);
        thread::sleep(Duration::from_millis(50));
    }
    expect_true!(
        ended.join().expect("a stream"),
        "the answer in flight was cut"
    );
    let last = chat(victim, "just after the last answer", false, &[]);
    expect_that!(last.status, eq(503));
    expect_that!(refused, ge(10));
    expect_that!(unanswered, eq(0));
    expect_that!(cluster.daemons[2].process.wait().code(), some(eq(0)));
}

#[gtest]
fn a_leave_on_the_platforms_list_is_followed_and_can_be_withdrawn() {
    let cluster = Cluster::start(slow_plan(3));
    let (victim, other) = (cluster.daemons[1].callers, cluster.daemons[0].callers);
    let stream = begin_chat(victim, "a long answer");
    cluster.set_platform_list(&list_with_leaving(&cluster, &["entry-1"]));
    eventually("it is off the list and refuses new work", || {
        let refused = chat(victim, "new", false, &[]).status == 503;
        (refused && !entries(other).contains(&victim)).then_some(())
    });
    expect_true!(is_whole(stream), "the answer in flight was cut");
    cluster.set_platform_list(&cluster.platform_list());
    eventually("it takes work again", || {
        let taken = chat(victim, "new", false, &[]).status == 200;
        (taken && entries(other).contains(&victim)).then_some(())
    });
}

#[gtest]
fn killed_and_paused_instances_leave_the_lists_and_the_resumed_one_returns() {
    let mut cluster = Cluster::start(Plan {
        daemons: 5,
        ..Plan::default()
    });
    let other = cluster.daemons[0].callers;
    let (killed, paused) = (cluster.daemons[3].callers, cluster.daemons[4].callers);
    eventually("all are on the list", || {
        (entries(other).len() == 5).then_some(())
    });
    cluster.daemons[3].process.kill();
    cluster.daemons[4].process.signal("STOP");
    eventually("neither of them is on the list", || {
        let list = entries(other);
        (list.len() == 3 && !list.contains(&killed) && !list.contains(&paused)).then_some(())
    });
    for daemon in &cluster.daemons[..3] {
        eventually("the remaining daemons take work", || {
            (chat(daemon.callers, "hello", false, &[]).status == 200).then_some(())
        });
    }
    cluster.daemons[4].process.signal("CONT");
    eventually("the resumed one is listed again", || {
        (entries(other).contains(&paused)).then_some(())
    });
    expect_that!(chat(paused, "hello", false, &[]).status, eq(200));
}

/// Sends a request as a caller should, per the guide: it asks for the addresses, tries them
/// in order, and resends elsewhere a request that was not run. False if the request is lost.
fn send_request(daemons: &[SocketAddr], prompt: &str) -> bool {
    let end = Instant::now() + common::TIMEOUT;
    while Instant::now() < end {
        let list = daemons
            .iter()
            .map(|it| entries(*it))
            .find(|it| !it.is_empty())
            .unwrap_or_default();
        for address in list {
            let reply = chat(address, prompt, true, &[]);
            if reply.status == 200 {
                return reply.events().last().is_some_and(|it| it == "[DONE]");
            }
            // Here a connection that was refused or closed without an answer ran nothing.
            let not_run = reply.status == 0 || reply.header("citron-outcome") == Some("not-run");
            if !not_run {
                return false;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

#[gtest]
fn a_rolling_restart_under_load_loses_no_request() {
    let mut cluster = Cluster::start(Plan {
        daemons: 4,
        ..Plan::default()
    });
    let daemons: Vec<SocketAddr> = cluster.daemons.iter().map(|it| it.callers).collect();
    let stop = AtomicBool::new(false);
    let (sent, lost) = (AtomicU32::new(0), AtomicU32::new(0));
    thread::scope(|scope| {
        for worker in 0..4 {
            let (daemons, stop, sent, lost) = (&daemons, &stop, &sent, &lost);
            scope.spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let whole = send_request(daemons, &format!("request {worker} {number}"));
                    sent.fetch_add(1, Ordering::Relaxed);
                    lost.fetch_add(u32::from(!whole), Ordering::Relaxed);
                }
            });
        }
        for number in 0..4 {
            cluster.daemons[number].process.signal("TERM");
            expect_that!(cluster.daemons[number].process.wait().code(), some(eq(0)));
            cluster.restart(number);
            let callers = cluster.daemons[number].callers;
            eventually("the restarted instance takes work", || {
                (chat(callers, "ready", false, &[]).status == 200).then_some(())
            });
        }
        stop.store(true, Ordering::Relaxed);
    });
    println!("{sent:?} requests, {lost:?} lost");
    expect_that!(sent.into_inner(), ge(8));
    expect_that!(lost.into_inner(), eq(0));
}
