//! The service, which counts executions even after a disconnect, and the platform's list.

mod common;

use std::time::Duration;

use common::{StandIn, eventually, http};
use googletest::prelude::*;
use serde_json::json;

fn service() -> StandIn {
    StandIn::start(&["service", "--run-ms", "1"])
}

fn book(service: &StandIn, key: &str) -> http::Reply {
    let headers = [("idempotency-key", key), ("x-request-id", "r1")];
    http::post(service.address, "/book", &headers, b"{}")
}

fn runs(service: &StandIn, key: &str) -> u64 {
    let reply = http::get(service.address, &format!("/count?key={key}"));
    reply.json()["runs"].as_u64().expect("a count")
}

#[gtest]
fn runs_are_counted_by_key() {
    let service = service();
    for key in ["a", "b", "a"] {
        let reply = book(&service, key);
        expect_that!(reply.status, eq(200));
        expect_that!(reply.header("x-request-id"), some(eq("r1")));
    }
    expect_that!(
        (
            runs(&service, "a"),
            runs(&service, "b"),
            runs(&service, "c")
        ),
        eq((2, 1, 0))
    );
    expect_that!(service.count("runs"), eq(3));
    expect_that!(service.count("most"), eq(2));
}

#[gtest]
fn a_call_without_a_key_is_counted_by_its_body() {
    let service = service();
    for _ in 0..2 {
        http::post(service.address, "/status", &[], b"same");
    }
    expect_that!(service.count("keys"), eq(1));
    expect_that!(service.count("most"), eq(2));
}

#[gtest]
fn a_request_runs_even_if_its_client_has_disconnected() {
    let service = service();
    service.set_fault(&json!({"delay_before_ms": 50}));
    let headers = [("idempotency-key", "gone")];
    drop(http::request(
        service.address,
        "POST",
        "/book",
        &headers,
        b"{}",
    ));
    eventually("the request has run", || runs(&service, "gone") == 1);
}

#[gtest]
fn only_a_request_that_reached_execution_is_counted() {
    let service = service();
    service.set_fault(&json!({"refuse": 503}));
    expect_that!(book(&service, "refused").status, eq(503));
    service.set_fault(&json!({"close": "before"}));
    expect_that!(book(&service, "before").status, eq(0));
    service.set_fault(&json!({"close": "after"}));
    expect_that!(book(&service, "after").status, eq(0));
    let counted = ["refused", "before", "after"].map(|key| runs(&service, key));
    expect_that!(counted, eq([0, 0, 1]));
}

#[gtest]
fn a_doubled_answer_comes_twice_on_the_connection() {
    let service = service();
    service.set_fault(&json!({"doubled": true}));
    let stream = http::request(service.address, "POST", "/book", &[], b"{}").expect("sent");
    let mut text = String::new();
    let read = std::io::Read::read_to_string(&mut &stream, &mut text);
    expect_that!(read, ok(anything()));
    expect_that!(text.matches("HTTP/1.1 200").count(), eq(2));
}

#[gtest]
fn a_crossed_answer_is_the_one_to_the_previous_request() {
    let service = service();
    service.set_fault(&json!({"crossed": true}));
    let send = |id: &str| {
        let headers = [("x-request-id", id)];
        let reply = http::post(service.address, "/book", &headers, id.as_bytes());
        reply.header("x-request-id").map(str::to_owned)
    };
    expect_that!(send("one"), some(eq("one")));
    expect_that!(send("two"), some(eq("one")));
    expect_that!(send("three"), some(eq("two")));
}

#[gtest]
fn the_platform_shows_a_list_when_its_lag_is_over() {
    let platform = StandIn::start(&["platform", "--lag-ms", "1500"]);
    let read = || http::get(platform.address, "/v1/list").json();
    expect_that!(read(), eq(&json!({"entries": [], "runners": []})));
    let list = json!({"entries": [{"id": "one"}], "runners": []});
    let set = |text: &str| http::post(platform.address, "/v1/list", &[], text.as_bytes()).status;
    expect_that!(set(&list.to_string()), eq(200));
    expect_that!(read(), eq(&json!({"entries": [], "runners": []})));
    eventually("the new list is published", || read() == list);
    expect_that!(set("{}"), eq(400));
    expect_that!(set("garbage"), eq(400));
    expect_that!(read(), eq(&list));
    let lag = http::post(platform.address, "/v1/lag?ms=0", &[], b"");
    expect_that!(lag.status, eq(200));
    expect_that!(set(r#"{"entries":[],"runners":[]}"#), eq(200));
    std::thread::sleep(Duration::from_millis(1));
    expect_that!(read(), eq(&json!({"entries": [], "runners": []})));
}
