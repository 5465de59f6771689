//! Under faults no accepted command is lost, and no isolated replica accepts commands or reads.

mod cluster;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use citron_policy::{
    id::{Index, ReplicaId},
    raft::{Entry, Payload, Refusal, Role},
    state::{Answer, Command},
};
use googletest::prelude::*;
use rand::RngExt;

use cluster::{Cluster, NetworkFaults, claim};

const IDS: [ReplicaId; 3] = [11, 12, 13];

fn command(number: u64) -> Command {
    Command::Claim(claim(&format!("k{number}"), number, 1_000))
}

/// Checks that every accepted command was committed at least once.
fn expect_committed(cluster: &Cluster, accepted: &[Command]) {
    for command in accepted {
        let kept = cluster
            .committed
            .values()
            .any(|it| matches!(&it.payload, Payload::Command(found) if found.as_ref() == command));
        expect_that!(kept, eq(true), "{command:?}");
    }
}

#[gtest]
fn a_leader_that_resumes_after_a_long_pause_accepts_nothing() {
    let mut cluster = Cluster::formed(1, &IDS);
    let old = cluster.leader().expect("a leader");
    cluster.submit(&command(1));
    cluster.replica(old).paused = true;
    cluster.run_until("another leader", |it| {
        it.leader().is_some_and(|id| id != old)
    });
    cluster.submit(&command(2));
    // Messages sent to it during the pause are lost; its first events are a read and a proposal.
    cluster.in_flight.clear();
    cluster.replica(old).paused = false;
    let read = cluster.read(old);
    let token = cluster.propose(old, command(3));
    let refused = Refusal::NotLeader { leader: None };
    expect_that!(cluster.outcomes.get(&read), some(err(eq(&refused))));
    expect_that!(cluster.answers.get(&token), some(err(eq(&refused))));
    cluster.run(Duration::from_secs(5));
    expect_committed(&cluster, &[command(1), command(2)]);
    let index = cluster.replica(old).machine.index();
    expect_that!(cluster.committed.keys().max(), some(eq(&index)));
}

#[gtest]
fn an_isolated_leader_steps_down_by_its_own_clock() {
    let mut cluster = Cluster::formed(2, &IDS);
    let old = cluster.leader().expect("a leader");
    cluster.isolate(old);
    let proved = cluster.replica(old).proved;
    let token = cluster.propose(old, command(1));
    let read = cluster.read(old);
    cluster.run(Duration::from_millis(800));
    expect_that!(
        cluster.replica(old).node.standing().role,
        not(eq(Role::Leader))
    );
    expect_that!(cluster.answers.get(&token), none());
    expect_that!(cluster.outcomes.get(&read), some(err(anything())));
    expect_that!(cluster.replica(old).proved, eq(proved));
    cluster.run(Duration::from_mins(10));
    let term = cluster.replica(old).node.standing().term;
    cluster.heal();
    cluster.run(Duration::from_secs(3));
    // Its pre-votes did not raise its term, so its return forces no election.
    expect_that!(
        cluster.replica(old).node.standing().leader,
        some(anything())
    );
    expect_that!(
        cluster.leaders.keys().filter(|it| **it > term + 1).count(),
        eq(0)
    );
}

#[gtest]
fn a_leader_that_receives_nothing_steps_down() {
    let mut cluster = Cluster::formed(3, &IDS);
    let old = cluster.leader().expect("a leader");
    for other in cluster.others(old) {
        cluster.blocked_links.insert((other, old));
    }
    cluster.run_until("another leader", |it| {
        it.leader().is_some_and(|id| id != old)
    });
    cluster.submit(&command(1));
    cluster.heal();
    cluster.run(Duration::from_secs(3));
    expect_committed(&cluster, &[command(1)]);
}

#[gtest]
fn a_leader_whose_messages_are_all_lost_is_replaced() {
    let mut cluster = Cluster::formed(4, &IDS);
    let old = cluster.leader().expect("a leader");
    for other in cluster.others(old) {
        cluster.blocked_links.insert((old, other));
    }
    cluster.run_until("another leader", |it| {
        it.leader().is_some_and(|id| id != old)
    });
    cluster.submit(&command(1));
    expect_committed(&cluster, &[command(1)]);
}

#[gtest]
fn a_follower_cut_off_from_its_leader_forces_no_election() {
    let mut cluster = Cluster::formed(5, &IDS);
    let leader = cluster.leader().expect("a leader");
    let follower = cluster.others(leader)[0];
    cluster.blocked_links.insert((leader, follower));
    let terms = cluster.leaders.len();
    cluster.run(Duration::from_mins(5));
    expect_that!(cluster.leader(), some(eq(leader)));
    expect_that!(cluster.leaders.len(), eq(terms));
}

#[gtest]
fn a_proof_covers_everything_accepted_before_it() {
    let mut cluster = Cluster::formed(6, &IDS);
    cluster.faults.delayed = 50;
    for number in 0..100 {
        cluster.submit(&command(number));
    }
    // The cluster module checks each proof; this test checks only that there were some.
    let proved: Vec<_> = cluster
        .replicas
        .values()
        .filter_map(|it| it.proved)
        .collect();
    expect_that!(proved, not(is_empty()));
}

/// Kills each replica in turn after each of its persisting effects, then restarts it.
#[gtest]
fn a_kill_at_each_persist_loses_nothing_accepted() {
    for step in 0..24 {
        for victim in 0..3 {
            let mut cluster = Cluster::formed(7, &IDS);
            let leader = cluster.leader().expect("a leader");
            let mut order = cluster.others(leader);
            order.insert(0, leader);
            let victim = order[victim];
            cluster.replica(victim).kill_after = Some(step);
            let mut accepted = Vec::new();
            for number in 0..16 {
                cluster.submit(&command(number));
                accepted.push(command(number));
                if !cluster.replica(victim).up {
                    cluster.restart(victim);
                }
            }
            expect_committed(&cluster, &accepted);
            cluster.run(Duration::from_secs(5));
            let ends: Vec<Index> = cluster
                .replicas
                .values()
                .map(|it| it.machine.index())
                .collect();
            expect_that!(ends, each(eq(&ends[0])));
        }
    }
}

#[gtest]
fn a_restart_of_all_replicas_keeps_hundreds_of_commands() {
    let mut cluster = Cluster::formed(8, &IDS);
    let mut accepted = Vec::new();
    for number in 0..400 {
        cluster.submit(&command(number));
        accepted.push(command(number));
        if number == 250 {
            cluster.compact(11, 100);
            cluster.compact(12, 100);
        }
    }
    let before = cluster.committed.clone();
    for id in IDS {
        cluster.kill(id);
    }
    cluster.in_flight.clear();
    for id in IDS {
        cluster.restart(id);
    }
    cluster.submit(&command(999));
    expect_committed(&cluster, &accepted);
    let kept: BTreeMap<Index, Arc<Entry>> = cluster
        .committed
        .range(..=before.len() as u64)
        .map(|(index, entry)| (*index, Arc::clone(entry)))
        .collect();
    expect_that!(kept == before, eq(true));
}

#[gtest]
fn a_slow_replica_gets_the_snapshot_in_parts() {
    let mut cluster = Cluster::empty(9, &IDS);
    cluster.settings.retained_bytes = 0;
    cluster.settings.chunk_bytes = 64 << 10;
    cluster.replicas.clear();
    for id in IDS {
        cluster.add(id);
    }
    cluster.init(11, &IDS);
    cluster.run(Duration::from_secs(3));
    let leader = cluster.leader().expect("a leader");
    let slow = cluster.others(leader)[0];
    cluster.kill(slow);
    for number in 0..100 {
        cluster.submit(&command(number));
    }
    cluster.compact(leader, 1 << 20);
    cluster.faults = NetworkFaults {
        lost: 10,
        duplicated: 10,
        delayed: 0,
    };
    cluster.restart(slow);
    let last = cluster.replica(leader).machine.index();
    cluster.run_until("the slow replica caught up", |it| {
        it.replicas[&slow].machine.index() >= last
    });
    expect_that!(cluster.replica(slow).disk.snapshot, some(anything()));
    cluster.kill(slow);
    cluster.restart(slow);
    cluster.submit(&command(500));
    cluster.run_until("the slow replica continues from its snapshot", |it| {
        it.replicas[&slow].machine.index() > last
    });
}

/// Random schedules of all faults; the cluster module checks each applied entry.
#[gtest]
fn random_faults_lose_nothing_accepted() {
    for seed in 0..60 {
        let ids: &[ReplicaId] = if seed % 2 == 0 {
            &IDS
        } else {
            &[11, 12, 13, 14, 15]
        };
        let mut cluster = Cluster::formed(seed, ids);
        cluster.settings.retained_bytes = 512;
        let mut accepted = Vec::new();
        for number in 0..150 {
            random_fault(&mut cluster, ids);
            let Some(leader) = cluster.leader() else {
                cluster.run(Duration::from_millis(300));
                continue;
            };
            let token = cluster.propose(leader, command(number));
            let reader = ids[cluster.rng.random_range(0..ids.len())];
            cluster.read(reader);
            cluster.run(Duration::from_millis(150));
            if let Some(Ok(Answer::Claim(_))) = cluster.answers.get(&token) {
                accepted.push(command(number));
            }
        }
        cluster.heal();
        cluster.faults = NetworkFaults::default();
        for id in ids {
            cluster.replica(*id).paused = false;
            cluster.replica(*id).kill_after = None;
            if !cluster.replica(*id).up {
                cluster.restart(*id);
            }
        }
        cluster.submit(&command(10_000));
        cluster.run(Duration::from_secs(10));
        expect_committed(&cluster, &accepted);
        expect_that!(accepted.len(), ge(10), "seed {seed}");
        let ends: Vec<Index> = cluster
            .replicas
            .values()
            .map(|it| it.machine.index())
            .collect();
        expect_that!(ends, each(eq(&ends[0])), "seed {seed}");
    }
}

fn random_fault(cluster: &mut Cluster, ids: &[ReplicaId]) {
    let id = ids[cluster.rng.random_range(0..ids.len())];
    let other = ids[cluster.rng.random_range(0..ids.len())];
    match cluster.rng.random_range(0..24) {
        0 => cluster.kill(id),
        1..=3 => {
            let down: Vec<ReplicaId> = ids
                .iter()
                .copied()
                .filter(|it| !cluster.replicas[it].up)
                .collect();
            for id in down {
                cluster.restart(id);
            }
        }
        4 => cluster.replica(id).kill_after = Some(cluster.rng.random_range(0..4)),
        5 => cluster.replica(id).paused = true,
        6..=8 => {
            for id in ids {
                cluster.replica(*id).paused = false;
            }
        }
        9 => cluster.isolate(id),
        10 => {
            cluster.blocked_links.insert((id, other));
        }
        11..=13 => cluster.heal(),
        14 => {
            cluster.faults = NetworkFaults {
                lost: 20,
                duplicated: 20,
                delayed: 20,
            };
        }
        15 => cluster.faults = NetworkFaults::default(),
        16 if cluster.replica(id).up && !cluster.replica(id).paused => cluster.compact(id, 300),
        _ => {}
    }
}
