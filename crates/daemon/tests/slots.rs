//! Slots with real processes that fail.
//!
//! The daemon that hosts the arbiter is killed, and a request crashes the engines
//! that run it.

mod common;

use std::time::{Duration, Instant};

use common::{
    cluster::{Cluster, Plan, chat, chat_body, with_key},
    eventually,
    http::Exchange,
};
use googletest::prelude::*;
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";

/// Time limit for a chat after the loss of an arbiter; asks go to the next rank after
/// half a second.
const FAILOVER_LIMIT: Duration = Duration::from_secs(10);

/// The daemon among `among` that hosts the arbiter.
fn arbiter_host(cluster: &Cluster, among: &[usize]) -> usize {
    eventually("a daemon hosts the arbiter", || {
        let hosts = |it: &&usize| cluster.metric(**it, "citron_slot_arbiters") > 0.0;
        among.iter().find(hosts).copied()
    })
}

#[gtest]
fn killing_an_arbiter_breaks_no_stream_of_another_daemon() {
    let mut cluster = Cluster::start(Plan {
        engine_arguments: vec!["--token-interval-us", "20000", "--mean-tokens", "100"],
        ..Plan::default()
    });
    let first = chat(cluster.daemons[0].callers, "hello", false, &[]);
    expect_that!(first.status, eq(200), "{}", first.text());
    let lost = arbiter_host(&cluster, &[0, 1, 2]);
    let others: Vec<usize> = (0..3).filter(|it| *it != lost).collect();
    let body = chat_body("a long story", true);
    let streams: Vec<Exchange> = others
        .iter()
        .map(|it| {
            let callers = cluster.daemons[*it].callers;
            let mut stream = Exchange::open(callers, "POST", CHAT, &with_key(&[]), body.as_bytes())
                .expect("the head of an answer");
            expect_that!(stream.part(), some(ok(anything())));
            stream
        })
        .collect();
    cluster.daemons[lost].process.kill();
    let killed = Instant::now();
    let again = eventually("a chat through a remaining daemon", || {
        let reply = chat(cluster.daemons[others[0]].callers, "hello", false, &[]);
        (reply.status == 200).then_some(reply)
    });
    expect_that!(killed.elapsed(), le(FAILOVER_LIMIT));
    expect_true!(again.whole);
    for stream in streams {
        let reply = stream.finish();
        expect_true!(reply.whole);
        expect_that!(reply.text(), contains_substring("[DONE]"));
    }
    let next = arbiter_host(&cluster, &others);
    expect_that!(next, not(eq(lost)));
}

#[gtest]
fn a_request_that_crashes_engines_crashes_at_most_three() {
    let mut cluster = Cluster::start(Plan {
        engines: 6,
        ..Plan::default()
    });
    for engine in &cluster.engines {
        engine.set_fault(&json!({"crash_on": "poison"}));
    }
    let mut last = String::new();
    for round in 0..9 {
        let callers = cluster.daemons[round % 3].callers;
        // The same body each time, since the fingerprint covers account and body.
        let reply = chat(callers, "poison", true, &[]);
        expect_that!(reply.status, not(eq(200)), "round {round}");
        last = reply.text();
    }
    expect_that!(last, contains_substring("quarantine"));
    let crashed = cluster
        .engines
        .iter_mut()
        .filter_map(|engine| engine.process.ended());
    expect_that!(crashed.count(), all!(ge(1), le(3)));
    for daemon in 0..3 {
        let callers = cluster.daemons[daemon].callers;
        eventually("other requests are still served", || {
            (chat(callers, "hello", false, &[]).status == 200).then_some(())
        });
    }
}
