//! Exchanges with stand-in engines that run as real processes.

mod common;
mod fake;

use std::time::{Duration, Instant};

use actix_http::{
    Method,
    header::{HeaderName, HeaderValue},
};
use citron_daemon::upstream::{
    Failure, Limits, Request, exchange,
    model::{Event, Stream},
};
use common::{cluster, eventually, process::StandIn};
use fake::run;
use googletest::prelude::*;
use serde_json::json;

/// Time within which upstream work must end after its caller has disconnected.
const CANCEL_TARGET: Duration = Duration::from_millis(100);

fn chat(prompt: &str, from: u64) -> Request {
    let mut request = Request {
        id: format!("{prompt}-{from}"),
        method: Method::POST,
        path: "/v1/chat/completions".to_owned(),
        body: cluster::chat_body(prompt, true).into(),
        ..Request::default()
    };
    let name = HeaderName::from_static("resume-offset");
    request.headers.insert(name, HeaderValue::from(from));
    request
}

/// Texts of the tokens of a stream, and how it ended.
async fn tokens(
    engine: &StandIn,
    prompt: &str,
    from: u64,
) -> (Vec<String>, std::result::Result<(), Failure>) {
    let request = chat(prompt, from);
    let id = request.id.clone();
    let answer = exchange(engine.address, request, &Limits::default()).await;
    let mut stream = match answer {
        Ok(answer) => Stream::new(answer.body, &id, from),
        Err(failure) => return (Vec::new(), Err(failure)),
    };
    let mut texts = Vec::new();
    loop {
        match stream.next().await {
            Some(Ok(Event::Token { json, .. })) => {
                let event: serde_json::Value = serde_json::from_slice(&json).expect("an event");
                texts.push(event["choices"][0]["delta"]["content"].to_string());
            }
            Some(Ok(Event::Done { .. })) | None => return (texts, Ok(())),
            Some(Err(failure)) => return (texts, Err(failure)),
        }
    }
}

fn engines(count: usize, mean_tokens: &str) -> (tempfile::TempDir, Vec<StandIn>) {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let arguments = ["--token-interval-us", "2000", "--mean-tokens", mean_tokens];
    let engines = (0..count)
        .map(|_| StandIn::start("engine", &arguments, dir.path()))
        .collect();
    (dir, engines)
}

#[gtest]
fn a_broken_stream_resumes_on_another_engine_without_a_gap() {
    let (_dir, engines) = engines(2, "100");
    run(async {
        let (whole, end) = tokens(&engines[1], "valuation", 0).await;
        expect_that!(end, ok(anything()));
        expect_that!(whole.len(), gt(4));
        engines[0].set_fault(&json!({"die_after_tokens": 3}));
        let (mut first, end) = tokens(&engines[0], "valuation", 0).await;
        expect_that!(first.len(), eq(3));
        expect_that!(end, err(eq(&Failure::Cut)));
        let (rest, end) = tokens(&engines[1], "valuation", 3).await;
        expect_that!(end, ok(anything()));
        first.extend(rest);
        expect_that!(first, eq(&whole));
    });
}

#[gtest]
fn faulty_streams_are_detected() {
    let (_dir, engines) = engines(1, "100");
    let engine = &engines[0];
    run(async {
        engine.set_fault(&json!({"wrong_id": true}));
        let (_, end) = tokens(engine, "ring", 0).await;
        expect_that!(end, err(eq(&Failure::Crossed)));
        engine.set_fault(&json!({"skip_token": 1}));
        let (got, end) = tokens(engine, "ring", 0).await;
        expect_that!(got.len(), eq(1));
        expect_that!(end, err(matches_pattern!(Failure::Garbled(_))));
        engine.set_fault(&json!({"repeat_token": 1}));
        let (got, end) = tokens(engine, "ring", 0).await;
        expect_that!(got.len(), eq(2));
        expect_that!(end, err(matches_pattern!(Failure::Garbled(_))));
        engine.set_fault(&json!({"crossed": true}));
        let (_, end) = tokens(engine, "brooch", 0).await;
        expect_that!(end, err(eq(&Failure::Crossed)));
        engine.set_fault(&json!({"cut": "chunked"}));
        let (_, end) = tokens(engine, "ring", 0).await;
        expect_that!(end, err(eq(&Failure::Cut)));
        engine.set_fault(&json!({"close": "before"}));
        let (_, end) = tokens(engine, "ring", 0).await;
        expect_that!(end, err(eq(&Failure::Unanswered)));
    });
}

#[gtest]
fn an_engine_crash_truncates_the_other_streams_of_the_engine() {
    let (_dir, mut engines) = engines(1, "5000");
    let engine = &mut engines[0];
    engine.set_fault(&json!({"crash_on": "poison"}));
    run(async {
        let neighbour = tokens(engine, "a long neighbour", 0);
        let poison = async {
            while engine.count("tokens") == 0 {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
            tokens(engine, "poison", 0).await
        };
        let ((_, neighbour), (_, poison)) = tokio::join!(neighbour, poison);
        expect_that!(neighbour, err(eq(&Failure::Cut)));
        expect_that!(poison, err(eq(&Failure::Unanswered)));
    });
    let status = engine.process.wait();
    expect_that!(status.success(), eq(false));
}

/// Time from dropping a stream until the engine is idle.
async fn time_to_idle(engine: &StandIn) -> Duration {
    let request = chat("a stream to leave", 0);
    let answer = exchange(engine.address, request, &Limits::default()).await;
    let mut answer = answer.expect("a head");
    expect_that!(answer.body.next().await, some(ok(anything())));
    expect_that!(engine.count("running"), eq(1));
    let left = Instant::now();
    drop(answer);
    eventually("the engine is idle", || {
        (engine.count("running") == 0).then_some(())
    });
    left.elapsed()
}

#[gtest]
fn dropping_a_stream_stops_the_engine_within_the_target() {
    let (_dir, engines) = engines(1, "5000");
    run(async {
        let mut best = Duration::MAX;
        // A busy machine may delay a single try; a missing cancellation delays all of them.
        for _ in 0..5 {
            best = best.min(time_to_idle(&engines[0]).await);
        }
        expect_that!(best, lt(CANCEL_TARGET));
        expect_that!(engines[0].count("cancelled"), eq(5));
    });
}
