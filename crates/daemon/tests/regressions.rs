//! Failures that were seen once, each under its own name.

mod common;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};

use common::{
    cluster::{Cluster, Plan, catalogue},
    eventually,
    http::Reply,
};

/// Time after which an operator turns to another daemon.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(1);

/// Name of the daemon that leads the control log, as another one sees it.
fn leader(cluster: &Cluster, asked: usize) -> Option<String> {
    let status = cluster.admin(asked, "GET", "/v1/status", &Value::Null);
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
fn changes_wait_for_a_leader_that_stands_still() {
    // Issue 15, SHORT: every daemon spent its callers' patience on the former leader.
    let cluster = Cluster::start_bare(Plan {
        engines: 0,
        services: 0,
        daemons: 4,
        ..Plan::default()
    });
    cluster.form();
    let mut base = cluster.apply("first", &catalogue());
    for daemon in 0..cluster.daemons.len() {
        // Now each of them knows the leader.
        let id = format!("before-{daemon}");
        base = eventually("a change before the fault", || {
            let reply = change(&cluster, daemon, &id, base);
            (reply.status == 200).then(|| reply.json()["revision"].as_u64())?
        });
    }
    let old = eventually("a leader", || leader(&cluster, 0));
    let at = cluster.daemons.iter().position(|it| it.name == old);
    let at = at.expect("a daemon of that name");
    let others: Vec<usize> = (0..cluster.daemons.len()).filter(|it| *it != at).collect();
    cluster.daemons[at].process.signal("STOP");
    eventually("another daemon leads", || {
        leader(&cluster, others[0]).filter(|it| *it != old)
    });
    for daemon in others {
        let asked = Instant::now();
        let reply = change(&cluster, daemon, &format!("after-{daemon}"), base);
        expect_that!(reply.status, eq(200), "{}", reply.text());
        expect_that!(asked.elapsed(), le(OPERATOR_PATIENCE), "daemon {daemon}");
        base = reply.json()["revision"].as_u64().unwrap_or(base);
    }
}
