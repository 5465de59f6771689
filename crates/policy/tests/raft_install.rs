//! A replica that gets a snapshot in parts while its leader takes a smaller one.

mod cluster;

use std::time::Duration;

use citron_policy::{
    raft::message::{Body, Message},
    state::Command,
};
use googletest::prelude::*;

use cluster::{Cluster, NetworkFaults};

const IDS: [u64; 3] = [11, 12, 13];
const PART: usize = 1_000;

fn answers_of(cluster: &Cluster, from: u64) -> Vec<Message> {
    let messages = cluster.in_flight.iter().map(|(_, it)| it);
    let answers =
        messages.filter(|it| it.from == from && matches!(it.body, Body::ChunkAnswer { .. }));
    answers.cloned().collect()
}

/// The bytes held of one snapshot are compared with the size of another one: the leader takes
/// the part for the whole, and then ignores that the replica's log does not match.
#[gtest]
fn a_part_of_a_snapshot_is_not_taken_for_all_of_a_smaller_one() {
    let mut cluster = Cluster::empty(1, &IDS);
    cluster.settings.chunk_bytes = PART;
    // Some entries before the first snapshot are dropped, those after it are kept.
    cluster.settings.retained_bytes = 200;
    cluster.replicas.clear();
    for id in IDS {
        cluster.add(id);
    }
    cluster.init(11, &IDS);
    cluster.run(Duration::from_secs(3));
    let leader = cluster.leader().expect("a leader");
    let slow = cluster.others(leader)[0];
    cluster.kill(slow);
    for _ in 0..50 {
        cluster.submit(&Command::Noop);
    }
    cluster.compact(leader, 5 * PART);
    cluster.submit(&Command::Noop);
    cluster.submit(&Command::Noop);
    cluster.run(Duration::from_secs(1));

    cluster.restart(slow);
    cluster.faults = NetworkFaults {
        delayed: 30,
        ..NetworkFaults::default()
    };
    // The answer to the first or second part is on its way.
    let mut answer = None;
    for _ in 0..400 {
        cluster.step();
        answer = answers_of(&cluster, slow).into_iter().find(|it| {
            matches!(it.body, Body::ChunkAnswer { offset, .. }
                if offset > 0 && offset < 5 * PART as u64)
        });
        if answer.is_some() {
            break;
        }
    }
    cluster.faults = NetworkFaults::default();
    println!("on its way: {answer:?}");
    expect_that!(answer, some(anything()));
    expect_that!(cluster.leader(), some(eq(leader)));
    cluster.compact(leader, 100);
    // It arrives before its part is sent again.
    for (at, _) in &mut cluster.in_flight {
        *at = cluster.now;
    }
    let last = cluster.replica(leader).machine.index();
    cluster.run(Duration::from_secs(30));
    expect_that!(cluster.leader(), some(eq(leader)), "nobody else led");
    expect_that!(cluster.replica(slow).machine.index(), ge(last));
}
