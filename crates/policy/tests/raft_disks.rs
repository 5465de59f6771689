//! Disks that are full for a moment, one after another: each replica stops at some write
//! and begins anew once there is room.

mod cluster;

use std::time::Duration;

use citron_policy::{
    id::ReplicaId,
    raft::{
        Event,
        membership::{Change, Replacement},
    },
    state::Command,
};
use googletest::prelude::*;
use rand::RngExt;

use cluster::{Cluster, STEP, claim};

const IDS: [ReplicaId; 5] = [11, 12, 13, 14, 15];

/// Number of voters.
const VOTERS: usize = 3;

/// Longest time until all is well again once the last disk has room.
const BOUND: Duration = Duration::from_secs(4);

/// Longest wait for a replica to write.
const WRITE_TIME: Duration = Duration::from_secs(2);

/// Entries between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 8;

fn form(seed: u64, ids: &[ReplicaId]) -> Cluster {
    let mut cluster = Cluster::empty(seed, ids);
    cluster.settings.voters = VOTERS;
    if seed.is_multiple_of(2) {
        // Replicas that lag get the state, not the entries.
        cluster.settings.retained_bytes = 0;
    }
    cluster.replicas.clear();
    for id in ids {
        cluster.add(*id);
    }
    cluster.init(ids[0], &ids[..VOTERS]);
    cluster.run(Duration::from_secs(3));
    cluster
}

/// One step, with the changes of voters and the snapshots that are due, as the driver does.
fn step(cluster: &mut Cluster, ids: &[ReplicaId]) {
    cluster.step();
    let now = cluster.now;
    for id in ids {
        let replica = &cluster.replicas[id];
        if !replica.up {
            continue;
        }
        match replica.node.due_change(now) {
            Some(Change::Replace(Replacement { old, new }, _)) => {
                cluster.event(*id, Event::Replace { token: 0, old, new });
            }
            Some(Change::Resize(resize)) => cluster.event(*id, Event::Resize(resize)),
            None => {}
        }
        let replica = &cluster.replicas[id];
        let covered = replica.disk.snapshot.as_ref().map_or(0, |it| it.index);
        if replica.up && replica.machine.index() >= covered + SNAPSHOT_ENTRIES {
            cluster.compact(*id, 300);
        }
    }
}

fn run(cluster: &mut Cluster, ids: &[ReplicaId], time: Duration) {
    let end = cluster.now + time;
    while cluster.now < end {
        step(cluster, ids);
    }
}

fn command(number: u64) -> Command {
    Command::Claim(claim(&format!("k{number}"), number, 1_000))
}

/// Whether all replicas follow one leader and hold the same, and enough of them vote.
fn is_settled(cluster: &Cluster, ids: &[ReplicaId]) -> bool {
    let Some(leader) = cluster.leader() else {
        return false;
    };
    let first = &cluster.replicas[&leader].node;
    ids.iter().all(|id| {
        let replica = &cluster.replicas[id];
        replica.up
            && replica.node.standing().leader == Some(leader)
            && replica.node.voters() == first.voters()
            && replica.node.last() == first.last()
            && replica.node.commit() == first.last()
    }) && first.voters().ids().len() == VOTERS
        && first.voters().removed().is_none()
}

/// Sends one change until it is answered; false if that takes too long.
fn is_answered(cluster: &mut Cluster, ids: &[ReplicaId], number: u64) -> bool {
    let end = cluster.now + BOUND;
    let mut tokens = Vec::new();
    while cluster.now < end {
        if let Some(leader) = cluster.leader()
            && tokens.last().is_none_or(|(by, _)| *by != leader)
        {
            tokens.push((leader, cluster.propose(leader, command(number))));
        }
        step(cluster, ids);
        let answers = &cluster.answers;
        if tokens
            .iter()
            .any(|(_, it)| answers.get(it).is_some_and(std::result::Result::is_ok))
        {
            return true;
        }
        if tokens
            .last()
            .is_some_and(|(_, it)| answers.get(it).is_some_and(std::result::Result::is_err))
        {
            tokens.pop();
        }
    }
    false
}

/// Fills one disk at one of its next writes, under changes, until it has room again.
fn fill(cluster: &mut Cluster, ids: &[ReplicaId], id: ReplicaId, number: &mut u64) {
    let writes = cluster.rng.random_range(0..6);
    cluster.replica(id).kill_after = Some(writes);
    let last_write = cluster.now + WRITE_TIME;
    while cluster.replicas[&id].up && cluster.now < last_write {
        propose(cluster, number);
        step(cluster, ids);
    }
    cluster.replica(id).kill_after = None;
    cluster.kill(id);
    let room = cluster.now + STEP * cluster.rng.random_range(4..160);
    let changes = cluster.rng.random_range(0..3) > 0;
    while cluster.now < room {
        if changes {
            propose(cluster, number);
        }
        step(cluster, ids);
    }
    cluster.restart(id);
    if cluster.rng.random_range(0..4) == 0 {
        let peer = ids[cluster.rng.random_range(0..ids.len())];
        cluster.kill(peer);
        cluster.restart(peer);
    }
}

fn propose(cluster: &mut Cluster, number: &mut u64) {
    if let Some(leader) = cluster.leader() {
        *number += 1;
        cluster.propose(leader, command(*number));
    }
}

#[gtest]
fn disks_that_were_full_one_after_another_leave_nothing_pending() {
    for seed in 0..60_u64 {
        let ids = if seed.is_multiple_of(3) {
            &IDS[..VOTERS]
        } else {
            &IDS
        };
        let mut cluster = form(seed, ids);
        let mut number = 0;
        for turn in 0..12 {
            // The leader first, the others first, or each in its turn.
            let leader = cluster.leader();
            let id = match (seed % 4, leader) {
                (0, Some(leader)) => leader,
                (1, Some(leader)) => cluster.others(leader)[turn % (ids.len() - 1)],
                _ => ids[turn % ids.len()],
            };
            fill(&mut cluster, ids, id, &mut number);
            let at = format!("seed {seed}, turn {turn}, replica {id}");
            number += 1;
            if turn % 2 == 0 {
                assert!(
                    is_answered(&mut cluster, ids, number),
                    "{at}: a change waits"
                );
            }
            let end = cluster.now + BOUND;
            while cluster.now < end && !is_settled(&cluster, ids) {
                step(&mut cluster, ids);
            }
            assert!(is_settled(&cluster, ids), "{at}: not settled");
            if turn % 3 == 0 {
                run(&mut cluster, ids, Duration::from_secs(30));
                assert!(is_settled(&cluster, ids), "{at}: not settled after a while");
            }
        }
    }
}
