//! Callers get their own complete answer or a visible failure.
//!
//! Real processes produce swapped, late, truncated and duplicate answers, engines
//! crash, and callers disconnect.

mod common;

use std::{
    net::{SocketAddr, TcpStream},
    sync::mpsc::RecvTimeoutError,
    time::{Duration, Instant},
};

use common::{
    cluster::{Cluster, Plan, book, chat, chat_body, read, with_key},
    eventually,
    http::{Exchange, Reply},
    process::StandIn,
};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Time within which a disconnected caller's slot is freed and its upstream work ends.
const CANCEL_TARGET: Duration = Duration::from_millis(100);

/// Attempts at a timed measurement, since a busy machine may delay any of them.
const ATTEMPTS: usize = 5;

/// Arguments of engines whose answers take about half a second.
const ENGINE: [&str; 6] = [
    "--token-interval-us",
    "5000",
    "--mean-tokens",
    "60",
    "--min-tokens",
    "30",
];

fn plan() -> Plan {
    Plan {
        daemons: 2,
        replicas: 2,
        engine_arguments: ENGINE.to_vec(),
        services: 2,
        retry_percent: 100,
        ..Plan::default()
    }
}

/// Starts a cluster and waits until its daemons answer plain calls.
fn start(plan: Plan) -> Cluster {
    let has_services = plan.services > 0;
    let cluster = Cluster::start(plan);
    for daemon in cluster.daemons.iter().filter(|_| has_services) {
        eventually("a daemon takes a plain call", || {
            (read(daemon.callers, "ready").status == 200).then_some(())
        });
    }
    cluster
}

/// An engine that the router does not know, which gives the expected answers.
fn reference(cluster: &Cluster) -> StandIn {
    StandIn::start("engine", &ENGINE, cluster.folder())
}

/// Expected text of the answer to `prompt`.
fn expected(reference: &StandIn, prompt: &str) -> String {
    let reply = chat(reference.address, prompt, false, &[]);
    answer_text(&reply)
}

fn answer_text(reply: &Reply) -> String {
    let text = &reply.json()["choices"][0]["message"]["content"];
    text.as_str().expect("a text").to_owned()
}

/// Offsets and concatenated text of a streamed answer.
fn tokens(reply: &Reply) -> (Vec<u64>, String) {
    let events = reply.events();
    let tokens = events.iter().filter(|event| *event != "[DONE]");
    tokens
        .map(|event| serde_json::from_str(event).expect("an event"))
        .map(|event: Value| {
            let text = event["choices"][0]["delta"]["content"].as_str();
            let offset = event["offset"].as_u64().expect("an offset");
            (offset, text.expect("a text").to_owned())
        })
        .unzip()
}

/// Checks that a streamed answer is complete, with each token once.
fn expect_whole(reply: &Reply, text: &str) {
    let (offsets, got) = tokens(reply);
    expect_that!(reply.status, eq(200));
    expect_true!(reply.whole);
    expect_that!(reply.events().last(), some(eq("[DONE]")));
    expect_that!(offsets, eq(&(0..offsets.len() as u64).collect::<Vec<_>>()));
    expect_that!(got, eq(text));
}

/// Checks that an answer is visibly truncated and that the received part is correct.
fn expect_cut(reply: &Reply, text: &str) {
    let (offsets, got) = tokens(reply);
    expect_false!(reply.whole);
    expect_that!(reply.events().last(), not(some(eq("[DONE]"))));
    expect_that!(offsets, eq(&(0..offsets.len() as u64).collect::<Vec<_>>()));
    expect_that!(text, starts_with(got.as_str()));
    expect_that!(got.len(), lt(text.len()));
}

/// Clears all faults and waits until every stand-in serves requests again.
fn recover(cluster: &Cluster) {
    fault_all(&cluster.services, &json!({}));
    fault_all(&cluster.engines, &json!({}));
    let served = || -> Vec<u64> {
        let all = cluster.services.iter().chain(&cluster.engines);
        all.map(|it| it.count("done")).collect()
    };
    let before = served();
    let daemon = cluster.daemons[0].callers;
    let mut round = 0;
    eventually("all stand-ins serve requests again", || {
        round += 1;
        // Several at once, since a single request would always go to the same runner,
        // and of the lowest class, which probes runners that are out of use.
        std::thread::scope(|scope| {
            for number in 0..4 {
                let text = format!("recover {round} {number}");
                scope.spawn(move || {
                    request_lowest_class(daemon, "/v1/chat/completions", &chat_body(&text, true))
                });
                let text = format!("recover {round} {number}");
                scope.spawn(move || {
                    request_lowest_class(daemon, "/v1/services/tickets/status", &text)
                });
            }
        });
        let used = before.iter().zip(served()).all(|(old, new)| new > *old);
        used.then_some(())
    });
}

/// Sends a request of the lowest class.
fn request_lowest_class(daemon: SocketAddr, path: &str, body: &str) -> Reply {
    let headers = with_key(&[("citron-class", "batch")]);
    common::http::post(daemon, path, &headers, body.as_bytes())
}

fn fault_all(stand_ins: &[StandIn], fault: &Value) {
    for stand_in in stand_ins {
        stand_in.set_fault(fault);
    }
}

#[gtest]
fn streams_are_complete_and_belong_to_their_caller_despite_engine_faults() {
    let cluster = start(plan());
    let reference = reference(&cluster);
    let [one, other] = [0, 1].map(|number| cluster.daemons[number].callers);
    for (number, fault) in [
        json!({"die_after_tokens": 0}),
        json!({"die_after_tokens": 7}),
        json!({"cut": "chunked"}),
        json!({"wrong_id": true}),
        json!({"no_id": true}),
        json!({"crossed": true}),
        json!({"skip_token": 5}),
        json!({"repeat_token": 5}),
        json!({"close": "before"}),
        json!({"close": "after"}),
        json!({"refuse": 503}),
        json!({"refuse": 502}),
    ]
    .into_iter()
    .enumerate()
    {
        let prompt = format!("prompt {number}");
        let text = expected(&reference, &prompt);
        // Only one engine is faulty, so at most one attempt fails, wherever the request goes first.
        cluster.engines[0].set_fault(&fault);
        cluster.engines[1].set_fault(&json!({}));
        // A previous answer, which the fault can return instead of the right one.
        chat(
            cluster.engines[0].address,
            "another",
            false,
            &[("x-request-id", "z")],
        );
        for daemon in [one, other] {
            let reply = chat(daemon, &prompt, true, &[]);
            println!("{fault}: {} tokens", tokens(&reply).0.len());
            expect_whole(&reply, &text);
            let reply = chat(daemon, &prompt, false, &[]);
            expect_that!(reply.status, eq(200));
            expect_that!(answer_text(&reply), eq(&text));
        }
    }
}

#[gtest]
fn a_stream_that_no_engine_completes_is_visibly_truncated() {
    let cluster = start(plan());
    let reference = reference(&cluster);
    let daemon = cluster.daemons[0].callers;
    for fault in [json!({"die_after_tokens": 3}), json!({"skip_token": 5})] {
        let prompt = format!("a valuation with {fault}");
        let text = expected(&reference, &prompt);
        recover(&cluster);
        fault_all(&cluster.engines, &fault);
        let reply = chat(daemon, &prompt, true, &[]);
        println!("{fault}: {} tokens", tokens(&reply).0.len());
        expect_that!(reply.status, eq(200));
        expect_cut(&reply, &text);
        recover(&cluster);
        fault_all(&cluster.engines, &fault);
        // An answer that is not streamed fails as a whole, with an error status.
        let reply = chat(daemon, &format!("{prompt} in one piece"), false, &[]);
        expect_that!(reply.status, ge(400), "{}", reply.text());
        expect_that!(
            reply.header("citron-outcome"),
            some(eq("unknown")),
            "{}",
            reply.text()
        );
    }
}

#[gtest]
fn killing_an_engine_during_a_stream_loses_no_token() {
    let mut cluster = start(Plan {
        engine_arguments: [&ENGINE[..], &["--token-interval-us", "15000"]].concat(),
        ..plan()
    });
    let reference = reference(&cluster);
    let text = expected(&reference, "a long draft");
    let body = chat_body("a long draft", true);
    let daemon = cluster.daemons[0].callers;
    let path = "/v1/chat/completions";
    let mut stream =
        Exchange::open(daemon, "POST", path, &with_key(&[]), body.as_bytes()).expect("a stream");
    let first = stream.part().expect("a part").expect("a token");
    let busy = cluster
        .engines
        .iter()
        .position(|it| it.count("running") == 1);
    cluster.engines[busy.expect("one runs")].process.kill();
    let mut reply = stream.finish();
    reply.body.splice(0..0, first);
    expect_whole(&reply, &text);
}

#[gtest]
fn plain_answers_are_complete_and_belong_to_their_caller_or_fail() {
    let cluster = start(plan());
    let daemon = cluster.daemons[0].callers;
    let own = |reply: &Reply, body: &str| {
        expect_that!(reply.status, eq(200));
        expect_that!(reply.header("citron-outcome"), some(eq("done")));
        expect_that!(reply.json()["bytes"], eq(&json!(body.len())));
    };
    for fault in [
        json!({"cut": "chunked"}),
        json!({"cut": "length"}),
        json!({"wrong_id": true}),
        json!({"no_id": true}),
        json!({"close": "after"}),
        json!({"refuse": 503}),
    ] {
        println!("{fault}");
        recover(&cluster);
        cluster.services[0].set_fault(&fault);
        for body in ["", "a", "ab", "abc"] {
            own(&read(daemon, body), body);
        }
        recover(&cluster);
        fault_all(&cluster.services, &fault);
        // A new body, since a request that breaks runners twice is quarantined.
        let reply = read(daemon, &format!("all with {fault}"));
        expect_that!(reply.status, ge(400), "{}", reply.text());
        let outcome = if fault.get("refuse").is_some() {
            "not-run"
        } else {
            "unknown"
        };
        let reported = reply.header("citron-outcome");
        expect_that!(reported, some(eq(outcome)), "{}", reply.text());
    }
    recover(&cluster);
    fault_all(&cluster.services, &json!({"doubled": true}));
    for body in ["", "a", "ab", "abc"] {
        own(&read(daemon, body), body);
    }
}

#[gtest]
fn crossed_plain_answers_reach_nobody() {
    let cluster = start(Plan {
        services: 1,
        ..plan()
    });
    let daemon = cluster.daemons[0].callers;
    cluster.services[0].set_fault(&json!({"crossed": true}));
    for length in 1..20 {
        let reply = read(daemon, &"x".repeat(length));
        // A second attempt may receive the answer to the first, which is correct.
        if reply.status == 200 {
            expect_that!(reply.json()["bytes"], eq(&json!(length)));
        }
    }
}

#[gtest]
fn a_booking_whose_answer_is_lost_is_unknown_and_ran_at_most_once() {
    let cluster = start(plan());
    let [one, other] = [0, 1].map(|number| cluster.daemons[number].callers);
    for (number, fault) in [
        json!({"cut": "length"}),
        json!({"cut": "chunked"}),
        json!({"wrong_id": true}),
        json!({"close": "after"}),
        json!({"close": "before"}),
    ]
    .into_iter()
    .enumerate()
    {
        println!("{fault}");
        recover(&cluster);
        let (key, body) = (format!("key-{number}"), format!("{{\"ticket\":{number}}}"));
        fault_all(&cluster.services, &fault);
        let first = book(one, &key, &body);
        fault_all(&cluster.services, &json!({}));
        let again = book(other, &key, &body);
        for reply in [first, again] {
            expect_that!(reply.status, ge(400));
            expect_that!(
                reply.header("citron-outcome"),
                some(eq("unknown")),
                "{}",
                reply.text()
            );
        }
        let runs: u64 = cluster.services.iter().map(|it| it.runs(&key)).sum();
        expect_that!(runs, le(1));
    }
}

#[gtest]
fn a_late_answer_is_not_given_to_the_next_caller() {
    let cluster = start(Plan {
        services: 1,
        ..plan()
    });
    let daemon = cluster.daemons[0].callers;
    cluster.services[0].set_fault(&json!({"delay_after_ms": 1000, "times": 1}));
    let headers = with_key(&[("citron-timeout-ms", "300")]);
    let path = "/v1/services/tickets/status";
    let late = common::http::post(daemon, path, &headers, b"late");
    expect_that!(late.status, eq(504));
    expect_that!(late.header("citron-outcome"), some(eq("unknown")));
    for length in 1..20 {
        let reply = read(daemon, &"x".repeat(length));
        expect_that!(reply.json()["bytes"], eq(&json!(length)));
    }
}

#[gtest]
fn concurrent_callers_get_their_own_answers_despite_engine_faults() {
    let cluster = start(plan());
    let mix = json!([{
        "name": "desk", "kind": "chat", "service": "model", "class": "desk",
        "key": common::cluster::KEY, "timeout_ms": 20_000,
    }]);
    let (done, ended) = std::sync::mpsc::channel::<()>();
    let report = std::thread::scope(|scope| {
        let engines = &cluster.engines;
        scope.spawn(move || {
            let faults = [
                json!({"crossed": true, "times": 2}),
                json!({"repeat_token": 3, "times": 1}),
                json!({"wrong_id": true, "times": 2}),
                json!({"skip_token": 3, "times": 1}),
                json!({"die_after_tokens": 4, "times": 1}),
            ];
            let pause = Duration::from_millis(150);
            for number in 0.. {
                if ended.recv_timeout(pause) != Err(RecvTimeoutError::Timeout) {
                    break;
                }
                let engine = &engines[number % engines.len()];
                engine.set_fault(&faults[number % faults.len()]);
            }
        });
        let report = cluster.load(&["--rate", "40", "--seconds", "4", "--seed", "11"], &mix);
        drop(done);
        report
    });
    println!("seed 11: {report}");
    let counts = &report["items"]["desk"]["counts"];
    expect_that!(counts["offered"].as_u64(), some(gt(50)));
    for name in ["wrong", "duplicates", "missing", "foreign", "lost"] {
        expect_that!(counts[name], eq(&json!(0)), "{name}");
    }
    // Most are answered; the others were refused or visibly truncated.
    let offered = counts["offered"].as_u64().unwrap_or(u64::MAX);
    expect_that!(counts["answered"].as_u64(), some(gt(offered / 2)));
}

/// Shortest time of several attempts from a disconnection until `is_done` holds.
fn best_time<L, F>(mut leave: L, mut is_done: F) -> Duration
where
    L: FnMut(),
    F: FnMut() -> bool,
{
    let mut best = Duration::MAX;
    for _ in 0..ATTEMPTS {
        leave();
        let left = Instant::now();
        eventually("the work ends", || is_done().then_some(()));
        best = best.min(left.elapsed());
    }
    best
}

/// Repeats a request until it runs on the engine, since runners are not known at once.
fn running<F>(engine: &StandIn, send: F) -> TcpStream
where
    F: Fn() -> Option<TcpStream>,
{
    eventually("the request runs on the engine", || {
        let caller = send()?;
        for _ in 0..50 {
            if engine.count("running") == 1 {
                return Some(caller);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    })
}

#[gtest]
fn a_disconnected_caller_frees_its_slot_and_the_engine() {
    let cluster = start(Plan {
        engines: 1,
        engine_arguments: vec!["--token-interval-us", "5000", "--min-tokens", "20000"],
        services: 0,
        max_running_per_runner: 1,
        ..plan_without_warmup()
    });
    let daemon = cluster.daemons[0].callers;
    let engine = &cluster.engines[0];
    for streamed in [true, false] {
        let body = chat_body("to leave", streamed);
        let path = "/v1/chat/completions";
        let leave = || {
            // This runs only if the single slot is free again.
            let send =
                || common::http::request(daemon, "POST", path, &with_key(&[]), body.as_bytes());
            drop(running(engine, send));
        };
        let best = best_time(leave, || engine.count("running") == 0);
        expect_that!(best, lt(CANCEL_TARGET), "streamed: {streamed}");
    }
    expect_that!(engine.count("cancelled"), ge(2 * ATTEMPTS as u64));
}

#[gtest]
fn a_request_whose_caller_leaves_the_queue_is_never_run() {
    let cluster = start(Plan {
        engines: 1,
        engine_arguments: vec!["--token-interval-us", "5000", "--min-tokens", "20000"],
        services: 0,
        max_running_per_runner: 1,
        ..plan_without_warmup()
    });
    let daemon = cluster.daemons[0].callers;
    let engine = &cluster.engines[0];
    let path = "/v1/chat/completions";
    let send = |prompt: &str| {
        let body = chat_body(prompt, true);
        common::http::request(daemon, "POST", path, &with_key(&[]), body.as_bytes())
    };
    let first = running(engine, || send("first"));
    let requests_before = engine.count("requests");
    let queued =
        || cluster.metric(0, "citron_slot_queued") + cluster.metric(1, "citron_slot_queued");
    let leave = || {
        let second = send("second");
        eventually("the second is queued", || (queued() > 0.5).then_some(()));
        drop(second);
    };
    let best = best_time(leave, || queued() < 0.5);
    expect_that!(best, lt(CANCEL_TARGET));
    drop(first);
    eventually("the engine is idle", || {
        (engine.count("running") == 0).then_some(())
    });
    std::thread::sleep(Duration::from_millis(300));
    expect_that!(engine.count("requests"), eq(requests_before));
}

/// A plan that skips the readiness check, since its answers take long.
fn plan_without_warmup() -> Plan {
    Plan {
        waits_ready: false,
        ..plan()
    }
}
