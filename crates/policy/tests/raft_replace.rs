//! Replacement of a lost replica, and a second loss right after it.

mod cluster;

use std::time::Duration;

use citron_policy::{
    id::ReplicaId,
    raft::{Payload, Refusal, Role},
    state::Command,
};
use googletest::prelude::*;

use cluster::{Cluster, claim};

const IDS: [ReplicaId; 3] = [11, 12, 13];

fn command(number: u64) -> Command {
    Command::Claim(claim(&format!("k{number}"), number, 1_000))
}

fn submit_all(cluster: &mut Cluster, numbers: std::ops::Range<u64>) -> Vec<Command> {
    let commands: Vec<Command> = numbers.map(command).collect();
    for command in &commands {
        cluster.submit(command);
    }
    commands
}

fn expect_committed(cluster: &Cluster, accepted: &[Command]) {
    for command in accepted {
        let kept = cluster
            .committed
            .values()
            .any(|it| matches!(&it.payload, Payload::Command(found) if found.as_ref() == command));
        expect_that!(kept, eq(true), "{command:?}");
    }
}

fn lose_follower(cluster: &mut Cluster) -> (ReplicaId, ReplicaId) {
    let leader = cluster.leader().expect("a leader");
    let lost = cluster.others(leader)[0];
    cluster.destroy(lost);
    cluster.add(22);
    (leader, lost)
}

#[gtest]
fn a_second_loss_right_after_the_repair_loses_nothing() {
    for seed in 0..10 {
        let mut cluster = Cluster::formed(seed, &IDS);
        let accepted = submit_all(&mut cluster, 0..50);
        let (leader, lost) = lose_follower(&mut cluster);
        let after = submit_all(&mut cluster, 50..60);
        cluster.run_until("the new replica has caught up", |it| {
            it.replicas[&22].machine.index() >= it.replicas[&leader].machine.index()
        });
        let token = cluster.replace(lost, 22);
        cluster.run_until("the replacement", |it| it.outcomes.contains_key(&token));
        expect_that!(cluster.outcomes.get(&token), some(ok(eq(&()))));
        // As soon as success is reported, another old voter is lost: the leader with even seeds.
        let second = if seed % 2 == 0 {
            leader
        } else {
            *IDS.iter()
                .find(|it| **it != leader && **it != lost)
                .expect("a third")
        };
        cluster.destroy(second);
        cluster.in_flight.clear();
        let more = submit_all(&mut cluster, 60..65);
        for commands in [&accepted, &after, &more] {
            expect_committed(&cluster, commands);
        }
        let last = *cluster.committed.keys().max().expect("an entry");
        cluster.run_until("both remaining replicas have every entry", |it| {
            it.replicas.values().all(|it| it.machine.index() >= last)
        });
    }
}

#[gtest]
fn a_learner_does_not_count_towards_a_quorum() {
    let mut cluster = Cluster::formed(1, &IDS);
    submit_all(&mut cluster, 0..20);
    let (leader, lost) = lose_follower(&mut cluster);
    cluster.run(Duration::from_secs(3));
    expect_that!(cluster.replica(22).node.standing().role, eq(Role::Learner));
    let third = *IDS
        .iter()
        .find(|it| **it != leader && **it != lost)
        .expect("a third");
    cluster.kill(third);
    let token = cluster.propose(leader, command(99));
    cluster.run(Duration::from_secs(30));
    expect_that!(cluster.answers.get(&token), none());
    expect_that!(cluster.leader(), none());
    let kept = cluster
        .committed
        .values()
        .any(|it| matches!(&it.payload, Payload::Command(found) if **found == command(99)));
    expect_that!(kept, eq(false));
}

#[gtest]
fn a_replica_that_has_not_synced_is_refused() {
    let mut cluster = Cluster::formed(2, &IDS);
    submit_all(&mut cluster, 0..20);
    let (_, lost) = lose_follower(&mut cluster);
    cluster.kill(22);
    submit_all(&mut cluster, 20..1_100);
    let token = cluster.replace(lost, 22);
    let refused = cluster.outcomes.get(&token);
    expect_that!(refused, some(err(matches_pattern!(Refusal::Behind { .. }))));
    let token = cluster.replace(77, 22);
    let refused = cluster.outcomes.get(&token);
    expect_that!(
        refused,
        some(err(matches_pattern!(Refusal::NotVoter { .. })))
    );
}

#[gtest]
fn losing_the_new_replica_does_not_stop_the_log() {
    for delay in 0..12 {
        let mut cluster = Cluster::formed(3, &IDS);
        submit_all(&mut cluster, 0..20);
        let (leader, lost) = lose_follower(&mut cluster);
        cluster.run(Duration::from_secs(3));
        // The new replica is lost after some steps of the replacement.
        let token = cluster.replace(lost, 22);
        for _ in 0..delay {
            cluster.step();
        }
        cluster.destroy(22);
        let accepted = submit_all(&mut cluster, 20..25);
        expect_committed(&cluster, &accepted);
        // A third replica replaces it.
        cluster.add(23);
        cluster.run(Duration::from_secs(3));
        let replaced = cluster.outcomes.get(&token) == Some(&Ok(()));
        let token = cluster.replace(if replaced { 22 } else { lost }, 23);
        cluster.run_until("the second replacement", |it| {
            it.outcomes.contains_key(&token)
        });
        expect_that!(cluster.outcomes.get(&token), some(ok(eq(&()))));
        let voters = cluster.replica(leader).node.voters().ids().to_vec();
        expect_that!(voters, contains(eq(&23)));
        expect_that!(voters.len(), eq(3));
    }
}

#[gtest]
fn a_replica_that_answers_and_the_leader_itself_can_be_replaced() {
    for replace_leader in [false, true] {
        let mut cluster = Cluster::formed(4, &IDS);
        let accepted = submit_all(&mut cluster, 0..20);
        cluster.add(22);
        cluster.run(Duration::from_secs(2));
        let leader = cluster.leader().expect("a leader");
        let old = if replace_leader {
            leader
        } else {
            cluster.others(leader)[0]
        };
        let token = cluster.replace(old, 22);
        cluster.run_until("the replacement", |it| it.outcomes.contains_key(&token));
        expect_that!(cluster.outcomes.get(&token), some(ok(eq(&()))));
        cluster.destroy(old);
        let more = submit_all(&mut cluster, 20..25);
        expect_committed(&cluster, &accepted);
        expect_committed(&cluster, &more);
    }
}

#[gtest]
fn a_replacement_goes_on_after_its_leader_died() {
    for delay in 0..10 {
        let mut cluster = Cluster::formed(5, &[11, 12, 13, 14, 15]);
        let accepted = submit_all(&mut cluster, 0..20);
        let (leader, lost) = lose_follower(&mut cluster);
        cluster.run(Duration::from_secs(3));
        let token = cluster.replace(lost, 22);
        for _ in 0..delay {
            cluster.step();
        }
        let succeeded_at_first = cluster.outcomes.get(&token) == Some(&Ok(()));
        cluster.kill(leader);
        cluster.run_until("another leader", |it| {
            it.leader().is_some_and(|id| id != leader)
        });
        cluster.run(Duration::from_secs(1));
        let again = cluster.replace(lost, 22);
        cluster.run_until("the replacement", |it| it.outcomes.contains_key(&again));
        expect_that!(cluster.outcomes.get(&again), some(ok(eq(&()))));
        let now = cluster.leader().expect("a leader");
        let voters = cluster.replica(now).node.voters().ids().to_vec();
        expect_that!(voters, contains(eq(&22)));
        expect_that!(voters, not(contains(eq(&lost))));
        expect_that!(
            voters.len(),
            eq(5),
            "succeeded at first: {succeeded_at_first}"
        );
        expect_committed(&cluster, &accepted);
    }
}

#[gtest]
fn a_replica_that_lacks_a_committed_entry_is_not_made_a_voter() {
    let mut cluster = Cluster::formed(6, &IDS);
    submit_all(&mut cluster, 0..20);
    let (leader, lost) = lose_follower(&mut cluster);
    cluster.run(Duration::from_secs(3));
    cluster.blocked_links.insert((leader, 22));
    submit_all(&mut cluster, 20..25);
    let token = cluster.replace(lost, 22);
    cluster.run(Duration::from_secs(5));
    expect_that!(cluster.outcomes.get(&token), none());
    let voters = cluster.replica(leader).node.voters().clone();
    expect_that!(voters.contains(22), eq(false));
    cluster.heal();
    cluster.run_until("the replacement", |it| it.outcomes.contains_key(&token));
    expect_that!(cluster.outcomes.get(&token), some(ok(eq(&()))));
}

/// With both changes in one entry, the majorities {11, 22} and {12, 13} would be disjoint.
#[gtest]
fn majorities_before_and_after_a_change_overlap() {
    let mut cluster = Cluster::formed(7, &IDS);
    submit_all(&mut cluster, 0..5);
    cluster.add(22);
    cluster.run(Duration::from_secs(2));
    let leader = cluster.leader().expect("a leader");
    let old = cluster.others(leader).into_iter().filter(|it| *it != 22);
    let old: Vec<ReplicaId> = old.collect();
    for id in &old {
        for other in [leader, 22] {
            cluster.blocked_links.insert((*id, other));
            cluster.blocked_links.insert((other, *id));
        }
    }
    cluster.replace(old[0], 22);
    let token = cluster.propose(leader, command(50));
    cluster.run_until("a leader among the other voters", |it| {
        it.leader().is_some_and(|id| old.contains(&id))
    });
    let accepted = submit_all(&mut cluster, 60..65);
    expect_that!(cluster.answers.get(&token), none());
    cluster.heal();
    cluster.run(Duration::from_secs(5));
    expect_committed(&cluster, &accepted);
}
