//! Trace headers and the span file.

use citron_daemon::trace::{Context, Tracer};
use googletest::prelude::*;

const HEADER: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

#[gtest]
fn a_header_survives_a_round_trip() {
    let context = Context::parse(HEADER).expect("a context");
    expect_that!(context.header(), eq(HEADER));
}

#[gtest]
fn an_invalid_header_is_ignored() {
    let wrong = [
        "",
        "00",
        "00-zz-00f067aa0ba902b7-01",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
    ];
    for header in wrong {
        expect_that!(Context::parse(header), none(), "{header:?}");
    }
}

#[gtest]
fn spans_in_the_file_link_to_their_parents() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("spans");
    let tracer = Tracer::to_file(&file).expect("a tracer");
    let parent = Context::parse(HEADER).expect("a context");
    let entry = tracer.start("caller-entry", Some(&parent));
    let mut attempt = tracer.start("upstream-attempt", Some(entry.context()));
    attempt.set("runner", "r1");
    drop(attempt);
    drop(entry);
    tracer.flush();
    let text = std::fs::read_to_string(&file).expect("the span file");
    let spans: Vec<serde_json::Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("a JSON line"))
        .collect();
    expect_that!(spans, len(eq(2)));
    expect_that!(spans[0]["parent"], eq(&spans[1]["span"]));
    expect_that!(spans[1]["parent"], eq("00f067aa0ba902b7"));
    expect_that!(spans[0]["trace"], eq("4bf92f3577b34da6a3ce929d0e0e4736"));
    expect_that!(spans[0]["attributes"]["runner"], eq("r1"));
}
