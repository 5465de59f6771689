//! Outage of all runners of a service: upstream attempts stay within 1.1 times
//! the requests, over all daemons, and every caller is answered promptly.

mod common;

use std::time::{Duration, Instant};

use common::{
    cluster::{Cluster, KEY, Plan},
    process::StandIn,
};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Limit on attempts, in percent of the requests.
const MAX_ATTEMPTS_PERCENT: u64 = 110;

/// Limit on the time to answer a refused caller, far above the usual time.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);

fn attempts(stand_ins: &[StandIn]) -> u64 {
    stand_ins.iter().map(|it| it.count("attempts")).sum()
}

fn item(kind: &str, service: &str) -> Value {
    json!([{
        "name": "all", "kind": kind, "service": service, "class": "desk",
        "key": KEY, "timeout_ms": 20_000,
    }])
}

/// Loads a service whose runners all have `fault`; returns requests and attempts.
fn outage(cluster: &Cluster, kind: &str, service: &str, fault: &Value) -> (u64, u64) {
    let stand_ins = match service {
        "model" => &cluster.engines,
        _ => &cluster.services,
    };
    for stand_in in stand_ins {
        stand_in.set_fault(fault);
    }
    let before = attempts(stand_ins);
    let begun = Instant::now();
    let run = [
        "--rate",
        "150",
        "--seconds",
        "3",
        "--seed",
        "5",
        "--no-returns",
    ];
    let report = cluster.load(&run, &item(kind, service));
    let made = attempts(stand_ins) - before;
    let counts = &report["items"]["all"]["counts"];
    let offered = counts["offered"].as_u64().expect("`offered` is a number");
    println!("seed 5, {kind} under {fault}: {made} attempts for {offered}: {counts}");
    expect_that!(counts["answered"], eq(&json!(0)));
    expect_that!(
        begun.elapsed(),
        lt(Duration::from_secs(3) + REFUSAL_TIMEOUT)
    );
    (offered, made)
}

#[gtest]
fn attempts_stay_within_the_budget_when_every_runner_fails() {
    let cluster = Cluster::start(Plan {
        services: 3,
        ..Plan::default()
    });
    for (kind, service, fault) in [
        ("read", "tickets", json!({"close": "before"})),
        ("read", "tickets", json!({"refuse": 503})),
        ("read", "tickets", json!({"refuse": 500})),
        ("read", "tickets", json!({"cut": "length"})),
        ("chat", "model", json!({"refuse": 502})),
        ("chat", "model", json!({"die_after_tokens": 0})),
    ] {
        let (offered, made) = outage(&cluster, kind, service, &fault);
        expect_that!(offered, gt(300));
        expect_that!(
            made * 100,
            le(offered * MAX_ATTEMPTS_PERCENT),
            "{kind} {fault}"
        );
    }
}
