//! The engine: deterministic tokens, batching, cancellation, resumption and faults.

mod common;

use std::time::Duration;

use common::{StandIn, chat, eventually, http};
use googletest::prelude::*;
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";

fn engine(arguments: &[&str]) -> StandIn {
    let mut all = vec!["engine", "--token-interval-us", "500", "--prefill-us", "10"];
    all.extend_from_slice(arguments);
    StandIn::start(&all)
}

/// Offsets and texts of a stream from offset `from`, and whether it is complete.
fn stream(engine: &StandIn, prompt: &str, from: u64) -> (Vec<(u64, String)>, bool) {
    let from = from.to_string();
    let headers = [("x-request-id", "r1"), ("resume-offset", from.as_str())];
    let reply = http::post(engine.address, CHAT, &headers, &chat(prompt, true));
    let events = reply.events();
    let done = events.last().is_some_and(|last| last == "[DONE]");
    let tokens = events
        .iter()
        .filter(|event| *event != "[DONE]")
        .map(|event| serde_json::from_str(event).expect("an event"))
        .map(|event: Value| {
            let offset = event["offset"].as_u64().expect("an offset");
            (offset, event["choices"][0]["delta"]["content"].to_string())
        })
        .collect();
    (tokens, done && reply.whole)
}

#[gtest]
fn two_engines_give_the_same_tokens_and_either_can_resume() {
    let (one, other) = (engine(&[]), engine(&[]));
    let (tokens, whole) = stream(&one, "a brooch", 0);
    expect_true!(whole);
    expect_that!(tokens.len(), gt(4));
    let numbers: Vec<u64> = tokens.iter().map(|(offset, _)| *offset).collect();
    expect_that!(numbers, eq(&(0..tokens.len() as u64).collect::<Vec<_>>()));
    let (rest, whole) = stream(&other, "a brooch", 3);
    expect_true!(whole);
    expect_that!(rest, eq(&tokens[3..]));
    let (nothing, whole) = stream(&other, "a brooch", tokens.len() as u64);
    expect_true!(whole);
    expect_that!(nothing, is_empty());
}

#[gtest]
fn a_whole_answer_has_the_text_of_the_stream() {
    let engine = engine(&[]);
    let (tokens, _) = stream(&engine, "a ring", 0);
    let headers = [("x-request-id", "r2")];
    let reply = http::post(engine.address, CHAT, &headers, &chat("a ring", false));
    expect_that!(reply.header("x-request-id"), some(eq("r2")));
    let text: String = tokens
        .iter()
        .map(|(_, text)| text.trim_matches('"'))
        .collect();
    let answer = reply.json();
    expect_that!(answer["choices"][0]["message"]["content"], eq(&json!(text)));
    expect_that!(
        answer["usage"]["completion_tokens"],
        eq(&json!(tokens.len()))
    );
}

#[gtest]
fn the_batch_has_a_bound_and_the_best_tier_goes_first() {
    let engine = engine(&["--slots", "1", "--mean-tokens", "2000"]);
    let ask = |tier: &str, prompt: &str| {
        let headers = [("priority", tier)];
        http::request(engine.address, "POST", CHAT, &headers, &chat(prompt, true))
    };
    let first = ask("3", "first");
    eventually("the first request runs", || engine.count("running") == 1);
    let low = ask("5", "low");
    eventually("the second request waits", || engine.count("waiting") == 1);
    let high = ask("0", "high");
    eventually("the third request waits", || engine.count("waiting") == 2);
    expect_that!(engine.count("running"), eq(1));
    drop(first);
    let high = high.and_then(http::Exchange::read);
    expect_that!(high.map(|it| it.reply.status), some(eq(200)));
    drop(low);
    eventually("no request runs or waits", || {
        engine.count("running") + engine.count("waiting") == 0
    });
    expect_that!(engine.count("cancelled"), eq(3));
}

#[gtest]
fn a_disconnect_before_the_response_head_cancels_the_request() {
    let engine = engine(&["--mean-tokens", "50000"]);
    let caller = http::request(engine.address, "POST", CHAT, &[], &chat("x", false));
    eventually("the request runs", || engine.count("tokens") > 0);
    drop(caller);
    eventually("the request has ended", || engine.count("running") == 0);
    expect_that!(engine.count("cancelled"), eq(1));
    expect_that!(engine.count("wasted_tokens"), eq(engine.count("tokens")));
}

#[gtest]
fn the_reported_load_lags() {
    let engine = engine(&["--load-lag-ms", "2000", "--mean-tokens", "20000"]);
    let caller = http::request(engine.address, "POST", CHAT, &[], &chat("x", true));
    eventually("the request runs", || engine.count("running") == 1);
    let running = || http::get(engine.address, "/load").json()["running"].as_u64();
    expect_that!(running(), some(eq(0)));
    eventually("the load report shows it", || running() == Some(1));
    drop(caller);
}

#[gtest]
fn faults_apply_until_cleared() {
    let engine = engine(&["--mean-tokens", "100"]);
    engine.set_fault(&json!({"die_after_tokens": 2, "times": 1}));
    let (tokens, whole) = stream(&engine, "x", 0);
    expect_that!((tokens.len(), whole), eq((2, false)));
    expect_that!(engine.count("wasted_tokens"), eq(2));
    expect_true!(stream(&engine, "x", 0).1);

    engine.set_fault(&json!({"refuse": 503}));
    let reply = http::post(engine.address, CHAT, &[], &chat("x", true));
    expect_that!(reply.status, eq(503));

    engine.set_fault(&json!({"close": "before"}));
    let reply = http::post(engine.address, CHAT, &[], &chat("x", true));
    expect_that!(reply.status, eq(0));

    engine.set_fault(&json!({"wrong_id": true}));
    let headers = [("x-request-id", "r1")];
    let reply = http::post(engine.address, CHAT, &headers, &chat("x", true));
    expect_that!(reply.header("x-request-id"), some(not(eq("r1"))));

    for cut in ["chunked", "length"] {
        engine.set_fault(&json!({"cut": cut}));
        let reply = http::post(engine.address, CHAT, &[], &chat("x", false));
        expect_that!((reply.status, reply.whole), eq((200, false)), "{cut}");
    }
    engine.set_fault(&json!({}));
    expect_true!(stream(&engine, "x", 0).1);
}

#[gtest]
fn an_engine_with_the_freeze_fault_answers_after_it_is_cleared() {
    let engine = engine(&[]);
    engine.set_fault(&json!({"freeze": true}));
    let address = engine.address;
    let caller = std::thread::spawn(move || http::post(address, CHAT, &[], &chat("x", true)));
    eventually("the request is received", || engine.count("requests") == 1);
    std::thread::sleep(Duration::from_millis(100));
    expect_that!(engine.count("running"), eq(0));
    engine.set_fault(&json!({}));
    let reply = caller.join().expect("a reply");
    expect_that!((reply.status, reply.whole), eq((200, true)));
}

#[gtest]
fn a_request_with_the_crash_marker_aborts_the_process() {
    let mut engine = engine(&[]);
    engine.set_fault(&json!({"crash_on": "poison"}));
    expect_true!(stream(&engine, "innocent", 0).1);
    let reply = http::post(engine.address, CHAT, &[], &chat("some poison", true));
    expect_that!(reply.status, eq(0));
    expect_that!(engine.wait().success(), eq(false));
}

#[gtest]
fn invalid_chat_requests_are_rejected() {
    let engine = engine(&[]);
    for body in [&b"{"[..], b"", b"{\"model\":1}", b"\xff\xfe"] {
        let reply = http::post(engine.address, CHAT, &[], body);
        expect_that!(reply.status, eq(400));
    }
}
