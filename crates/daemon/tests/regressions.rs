//! Regression tests, one for each failure that was observed.

mod common;

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use citron_daemon::{
    event::Ring,
    peers::Hub,
    platform::{self, Need},
    slots::{Inputs, Settings, Slots},
};
use citron_policy::{
    arbiter::{Asked, Heartbeat, Request, host_order},
    catalogue::{Backend, Catalogue, Entry, Service},
    feed::View,
    member::{Member, Members, State},
    platform::{List, reader::Role},
};
use citron_wire::slot;
use googletest::prelude::*;
use nix::time::{ClockId, clock_gettime};
use serde_json::{Value, json};
use tokio::sync::watch;

use common::{
    cluster::{Cluster, Plan, catalogue},
    eventually,
    http::Reply,
};

/// Time after which an operator's client tries another daemon.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Name of the daemon that leads the control log, as another one sees it.
fn leader(cluster: &Cluster, queried: usize) -> Option<String> {
    let status = cluster.admin(queried, "GET", "/v1/status", &Value::Null);
    status.json()["leader"].as_str().map(str::to_owned)
}

fn change(cluster: &Cluster, daemon: usize, id: &str, base: u64) -> Reply {
    let class = json!([{
        "kind": "class", "name": id, "owner": "tests", "tier": 1,
        "first_token_ms": 500, "between_tokens_ms": 100, "whole_ms": 10_000,
        "wait_bound_ms": 2_000, "queue_limit": 256, "preemptible": false,
    }]);
    let change = json!({"id": id, "base": base, "operator": "test", "puts": class});
    cluster.admin(daemon, "POST", "/v1/changes", &change)
}

#[gtest]
fn changes_do_not_wait_for_a_paused_leader() {
    // Issue 15, SHORT: every daemon used up its callers' timeouts waiting for the former leader.
    let cluster = Cluster::start_bare(Plan {
        engines: 0,
        services: 0,
        daemons: 4,
        ..Plan::default()
    });
    cluster.form();
    let mut base = cluster.apply("first", &catalogue());
    for daemon in 0..cluster.daemons.len() {
        // An accepted change means that this daemon knows the leader.
        let id = format!("before-{daemon}");
        base = eventually("a change before the fault", || {
            let reply = change(&cluster, daemon, &id, base);
            (reply.status == 200).then(|| reply.json()["revision"].as_u64())?
        });
    }
    let old = eventually("a leader", || leader(&cluster, 0));
    let at = cluster.daemons.iter().position(|it| it.name == old);
    let at = at.expect("the leader is a daemon of the cluster");
    let others: Vec<usize> = (0..cluster.daemons.len()).filter(|it| *it != at).collect();
    cluster.daemons[at].process.signal("STOP");
    eventually("another daemon leads", || {
        leader(&cluster, others[0]).filter(|it| *it != old)
    });
    for daemon in others {
        let sent_at = Instant::now();
        let reply = change(&cluster, daemon, &format!("after-{daemon}"), base);
        expect_that!(reply.status, eq(200), "{}", reply.text());
        expect_that!(sent_at.elapsed(), le(OPERATOR_TIMEOUT), "daemon {daemon}");
        base = reply.json()["revision"].as_u64().unwrap_or(base);
    }
}

/// Messages per measurement of CPU time.
const MESSAGES_PER_ROUND: u32 = 1_000;

/// Number of measurements, of which the smallest is used.
const ROUNDS: u32 = 5;

fn member(number: usize) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        id: format!("front-{number}"),
        domain: "zone".to_owned(),
        peer: address,
        callers: address,
        capacity: 0,
        replica: None,
        incarnation: 1,
        state: State::Alive,
        revision: 0,
        load: 0,
        current: true,
    }
}

fn assistant() -> Service {
    Service {
        name: "assistant".to_owned(),
        owner: "tests".to_owned(),
        backend: Backend::Model,
        class: String::new(),
        once: Vec::new(),
        max_running_per_runner: 8,
        retry_percent: 10,
        refusal_statuses: Vec::new(),
        timeout: Duration::from_mins(1),
        max_body_bytes: 1 << 20,
        memory_tokens: 0,
        scaling: None,
    }
}

/// CPU time that one heartbeat costs an arbiter's host in a cluster of `daemons`.
fn heartbeat_cpu_time(daemons: usize) -> Duration {
    let members: Members = (0..daemons)
        .map(|number| (member(number).id, member(number)))
        .collect();
    let service = assistant();
    let me = host_order(&service.name, 0, &members)[0].clone();
    let entries = vec![Entry::Service(Arc::new(service.clone()))];
    let view = View {
        catalogue: Arc::new(Catalogue::from_entries(1, entries)),
        ..View::default()
    };
    let inputs = Inputs {
        members: watch::channel(Arc::new(members)).1,
        platform: watch::channel(Arc::new(List::default())).1,
        need: Need::new(Instant::now(), &platform::Settings::default()),
        shared_hosts: citron_daemon::shared_hosts::SharedHosts::default(),
        view: watch::channel(Arc::new(view)).1,
    };
    let hub = Hub::new(&me, "one");
    let slots = Slots::new(
        Settings::default(),
        hub,
        inputs,
        Rc::new(|_| {}),
        Ring::default(),
    );
    let beat = || {
        let asked = Asked {
            least: 0,
            fallback: false,
            request: Request::Heartbeat(Heartbeat::default()),
        };
        slot::requests_to_proto(&service.name, 0, vec![asked])
    };
    slots.on_message(&"front-0".to_owned(), beat());
    assert_eq!(slots.list_role(), Role::Host, "no arbiter started");
    let used = || {
        let time =
            clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("read the thread's CPU clock");
        Duration::from(time)
    };
    let round = || {
        let before = used();
        for _ in 0..MESSAGES_PER_ROUND {
            slots.on_message(&"front-0".to_owned(), beat());
        }
        used().saturating_sub(before) / MESSAGES_PER_ROUND
    };
    (0..ROUNDS)
        .map(|_| round())
        .min()
        .expect("at least one round")
}

#[gtest]
fn slot_messages_do_not_rank_all_daemons() {
    // Issue 15, GONE: the host of an arbiter ranked all 91 daemons for each message.
    actix_rt::System::new().block_on(async {
        let (few, many) = (heartbeat_cpu_time(3), heartbeat_cpu_time(380));
        expect_that!(many, le(few * 2), "{few:?} with 3 daemons");
    });
}
