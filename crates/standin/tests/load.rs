//! The load generator: detection of faulty responses, and rejected settings.

mod common;

use std::process::Command;

use common::StandIn;
use googletest::prelude::*;
use serde_json::{Value, json};

/// Runs the load generator against a stand-in; `None` if it prints no report.
fn drive(address: &str, arguments: &[&str], mix: &Value) -> Option<Value> {
    let mix = mix.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_citron-standin"))
        .args(["load", "--direct", "--entries", address, "--mix", &mix])
        .args(arguments)
        .output()
        .expect("the load generator runs");
    serde_json::from_slice(&output.stdout).ok()
}

fn engine() -> StandIn {
    let quick = ["--token-interval-us", "200", "--prefill-us", "0"];
    let mut arguments = vec!["engine", "--slots", "64", "--mean-tokens", "20"];
    arguments.extend(quick);
    StandIn::start(&arguments)
}

fn chats(address: &str) -> Value {
    let mix = json!([{"name": "desk", "kind": "chat", "service": "m"}]);
    let run = ["--rate", "50", "--seconds", "0.5", "--seed", "3"];
    drive(address, &run, &mix).expect("a report")["items"]["desk"]["counts"].clone()
}

#[gtest]
fn complete_answers_are_counted_with_their_tokens() {
    let engine = engine();
    let counts = chats(&engine.address.to_string());
    expect_that!(counts["offered"].as_u64(), some(gt(5)));
    expect_that!(counts["answered"], eq(&counts["offered"]));
    expect_that!(counts["met"], eq(&counts["offered"]));
    expect_that!(counts["tokens"], eq(&json!(engine.count("tokens"))));
}

#[gtest]
fn the_same_seed_gives_the_same_load() {
    let (one, other) = (engine(), engine());
    chats(&one.address.to_string());
    chats(&other.address.to_string());
    expect_that!(one.count("requests"), eq(other.count("requests")));
    expect_that!(one.count("tokens"), eq(other.count("tokens")));
}

/// The run ended before it had begun the request that arrived last.
#[gtest]
fn the_last_request_of_a_load_is_waited_for() {
    let engine = engine();
    let mix = json!([{"name": "desk", "kind": "chat", "service": "m"}]);
    let run = ["--rate", "2", "--seconds", "0.5", "--seed", "3"];
    let report = drive(&engine.address.to_string(), &run, &mix).expect("a report");
    let counts = &report["items"]["desk"]["counts"];
    expect_that!(counts["offered"], eq(&json!(2)), "{report}");
    expect_that!(counts["answered"], eq(&counts["offered"]));
    expect_that!(
        engine.count("requests"),
        eq(counts["offered"].as_u64().unwrap_or(0))
    );
}

#[gtest]
fn faulty_streams_are_detected() {
    let engine = engine();
    let address = engine.address.to_string();
    let nonzero = |fault: Value, names: &[&str]| {
        engine.set_fault(&fault);
        let counts = chats(&address);
        for name in names {
            expect_that!(counts[*name].as_u64(), some(gt(0)), "{name} after {fault}");
        }
    };
    nonzero(json!({"skip_token": 0}), &["wrong", "missing"]);
    nonzero(json!({"repeat_token": 0}), &["wrong", "duplicates"]);
    nonzero(json!({"crossed": true}), &["wrong", "foreign"]);
    nonzero(json!({"die_after_tokens": 1}), &["cut"]);
    nonzero(json!({"refuse": 503}), &["errors"]);
}

#[gtest]
fn each_booking_has_its_own_key() {
    let service = StandIn::start(&["service", "--run-ms", "1"]);
    let mix = json!([{"name": "book", "kind": "book", "service": "t"}]);
    let address = service.address.to_string();
    let report = drive(&address, &["--workers", "4", "--seconds", "0.3"], &mix);
    let counts = report.expect("a report")["items"]["book"]["counts"].clone();
    expect_that!(counts["answered"].as_u64(), some(gt(4)));
    expect_that!(counts["answered"], eq(&json!(service.count("keys"))));
    expect_that!(service.count("most"), eq(1));
}

#[gtest]
fn only_loopback_addresses_are_accepted() {
    let mix = json!([{"name": "desk", "kind": "chat", "service": "m"}]);
    expect_that!(drive("192.0.2.1:80", &["--seconds", "1"], &mix), none());
    let listen = Command::new(env!("CARGO_BIN_EXE_citron-standin"))
        .args(["engine", "--listen", "0.0.0.0:0"])
        .status()
        .expect("the engine starts");
    expect_that!(listen.success(), eq(false));
}
