//! Metrics show delays inside a daemon.

mod common;

use std::{net::SocketAddr, rc::Rc, thread, time::Duration};

use actix_rt::net::TcpListener;
use citron_daemon::{
    loop_lag,
    peers::{self, Handler, Hub},
};
use citron_policy::id::InstanceId;
use citron_wire::{Body, generated::status::Message};
use common::{
    cluster::{Cluster, Plan, chat},
    eventually,
};
use futures_util::future::LocalBoxFuture;
use googletest::prelude::*;
use indexmap::IndexMap;
use prometheus_client::{encoding::text::encode, registry::Registry};

/// Time for which the test blocks the thread; more than the histogram bound that it checks.
const BLOCK_TIME: Duration = Duration::from_millis(300);

/// Time for the measurement to start, and to record the delay.
const SETTLE_TIME: Duration = Duration::from_millis(60);

struct Echo;

impl Handler for Echo {
    fn on_message(&self, _from: &InstanceId, _body: Body) {}

    fn on_call(
        &self,
        _from: &InstanceId,
        body: Body,
    ) -> LocalBoxFuture<'static, std::result::Result<Body, String>> {
        Box::pin(std::future::ready(Ok(body)))
    }
}

/// Value of the line of the metrics text that starts with `line`.
fn value(registry: &Registry, line: &str) -> f64 {
    let mut text = String::new();
    encode(&mut text, registry).expect("a text");
    let found = text.lines().find_map(|it| it.strip_prefix(line));
    let value = found.unwrap_or_else(|| panic!("{line} in {text}"));
    value.trim().parse().expect("a number")
}

#[gtest]
fn a_blocked_thread_is_measured_as_delay() {
    actix_rt::System::new().block_on(async {
        let metrics = loop_lag::Metrics::default();
        let mut registry = Registry::default();
        metrics.register(&mut registry);
        actix_rt::spawn(loop_lag::measure(metrics));
        actix_rt::time::sleep(SETTLE_TIME).await;
        thread::sleep(BLOCK_TIME);
        actix_rt::time::sleep(SETTLE_TIME).await;
        let all = value(&registry, "citron_turn_late_seconds_count");
        let short = value(&registry, "citron_turn_late_seconds_bucket{le=\"0.128\"}");
        expect_that!(all - short, ge(1.0));
    });
}

#[gtest]
fn the_wait_for_a_connection_is_measured() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let server = Hub::new("b", "one");
        let anywhere = SocketAddr::from(([127, 0, 0, 1], 1));
        server.set_addresses(IndexMap::from([("a".to_owned(), anywhere)]));
        let address = listener.local_addr().expect("its address");
        actix_rt::spawn(peers::listen(server, listener, Rc::new(Echo)));
        let hub = Hub::new("a", "one");
        hub.set_addresses(IndexMap::from([("b".to_owned(), address)]));
        let mut registry = Registry::default();
        hub.register(&mut registry);
        let query = Body::Status(Message::default());
        let peer = "b".to_owned();
        let answer = hub.call(&peer, query, Duration::from_secs(20));
        expect_that!(answer.await, ok(anything()));
        expect_that!(value(&registry, "citron_peer_wait_seconds_count"), eq(1.0));
    });
}

#[gtest]
fn the_cost_of_an_arbiter_is_measured() {
    let cluster = Cluster::start(Plan::default());
    let reply = chat(cluster.daemons[0].callers, "hello", false, &[]);
    expect_that!(reply.status, eq(200), "{}", reply.text());
    eventually("events of an arbiter", || {
        let events = |it: &usize| cluster.metric(*it, "citron_slot_arbiter_events_total");
        (0..3).find(|it| events(it) > 0.0)
    });
}
