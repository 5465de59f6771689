//! A cluster is formed once, and never by a restart.

mod cluster;

use std::time::Duration;

use citron_policy::{
    raft::{Refusal, Role},
    state::Command,
};
use googletest::prelude::*;

use cluster::Cluster;

const LONG: Duration = Duration::from_secs(30);

#[gtest]
fn empty_folders_elect_nobody() {
    let mut cluster = Cluster::empty(1, &[11, 12, 13]);
    cluster.run(LONG);
    expect_that!(cluster.leader(), none());
    expect_that!(cluster.leaders.len(), eq(0));
}

#[gtest]
fn one_init_forms_one_cluster() {
    let mut cluster = Cluster::empty(2, &[11, 12, 13]);
    let token = cluster.init(11, &[11, 12, 13]);
    cluster.run(Duration::from_secs(3));
    expect_that!(cluster.outcomes.get(&token), some(ok(eq(&()))));
    expect_that!(cluster.leader(), some(anything()));
}

#[gtest]
fn nobody_leads_before_every_voter_has_promised() {
    let mut cluster = Cluster::empty(3, &[11, 12, 13]);
    cluster.kill(13);
    let token = cluster.init(11, &[11, 12, 13]);
    cluster.run(LONG);
    expect_that!(cluster.outcomes.get(&token), none());
    expect_that!(cluster.leader(), none());
    cluster.restart(13);
    cluster.run(Duration::from_secs(5));
    expect_that!(cluster.leader(), some(anything()));
}

#[gtest]
fn two_formations_with_a_voter_in_common_do_not_both_begin() {
    for seed in 0..20 {
        let mut cluster = Cluster::empty(seed, &[11, 12, 13, 14]);
        let one = cluster.init(11, &[11, 12, 13]);
        let other = cluster.init(14, &[12, 13, 14]);
        cluster.run(LONG);
        let formed = [one, other].map(|it| cluster.outcomes.get(&it) == Some(&Ok(())));
        expect_that!(formed, not(eq([true, true])));
        let refused = [one, other].map(|it| {
            matches!(
                cluster.outcomes.get(&it),
                Some(Err(Refusal::Promised { .. }))
            )
        });
        expect_that!(refused, contains(eq(true)));
    }
}

#[gtest]
fn a_second_init_is_refused_also_after_a_restart() {
    let mut cluster = Cluster::formed(4, &[11, 12, 13]);
    for id in [11, 12, 13] {
        cluster.kill(id);
        cluster.restart(id);
    }
    let token = cluster.init(12, &[12]);
    expect_that!(
        cluster.outcomes.get(&token),
        some(err(eq(&Refusal::AlreadyFormed)))
    );
}

#[gtest]
fn a_replica_with_an_emptied_folder_does_not_vote_under_its_old_id() {
    let mut cluster = Cluster::formed(5, &[11, 12, 13]);
    cluster.submit(&Command::Noop);
    // Two disks are lost, and their instances restart with empty folders and new ids.
    cluster.destroy(12);
    cluster.destroy(13);
    cluster.add(22);
    cluster.add(23);
    let terms = cluster.leaders.len();
    cluster.run(LONG);
    expect_that!(cluster.leaders.len(), eq(terms));
    expect_that!(cluster.leader(), none());
    let token = cluster.init(22, &[22, 23]);
    cluster.run(Duration::from_secs(5));
    expect_that!(
        cluster.replica(11).node.standing().role,
        not(eq(Role::Leader))
    );
    // Empty folders form a new cluster only by an explicit request of the operator.
    expect_that!(cluster.outcomes.get(&token), some(anything()));
}

/// With its old id the emptied replica could elect one that lacks entries it had synced.
#[gtest]
fn an_emptied_replica_gives_no_majority_to_a_lagging_one() {
    const NEW_REPLICA: u64 = 22;

    let mut cluster = Cluster::formed(6, &[11, 12, 13]);
    let leader = cluster.leader().expect("a leader");
    let others = cluster.others(leader);
    let (lost, behind) = (others[0], others[1]);
    cluster.isolate(behind);
    for _ in 0..5 {
        cluster.submit(&Command::Noop);
    }
    cluster.destroy(lost);
    cluster.add(NEW_REPLICA);
    cluster.isolate(behind);
    cluster.step();
    cluster.step();
    cluster.kill(leader);
    cluster.heal();
    let terms = cluster.leaders.len();
    cluster.run(LONG);
    expect_that!(cluster.leaders.len(), eq(terms));
    cluster.restart(leader);
    cluster.run_until("a leader", |it| it.leader().is_some());
    cluster.submit(&Command::Noop);
}

/// Steps after which a disk is lost, up to well after the formation.
const LOSS_STEPS: u32 = 60;

/// Time within which the others form a cluster with the replica that comes in its place.
const FORMED: Duration = Duration::from_secs(15);

// A folder that was lost while the cluster formed never keeps its promise, and the promises of
// the others bound them to it.
#[gtest]
fn the_loss_of_a_disk_during_the_formation_does_not_stop_it_for_good() {
    const NEW_REPLICA: u64 = 22;

    let mut stuck = Vec::new();
    for lost in [11, 12, 13] {
        for steps in 0..LOSS_STEPS {
            let mut cluster = Cluster::empty(u64::from(steps), &[11, 12, 13]);
            cluster.init(11, &[11, 12, 13]);
            for _ in 0..steps {
                cluster.step();
            }
            cluster.destroy(lost);
            cluster.add(NEW_REPLICA);
            // As each daemon does until the cluster is formed: the first of those that are
            // known asks.
            let end = cluster.now + FORMED;
            while cluster.leader().is_none() && cluster.now < end {
                let known = cluster.others(0);
                cluster.init(known[0], &known);
                cluster.run(Duration::from_secs(1));
            }
            if cluster.leader().is_none() {
                stuck.push((lost, steps));
            }
        }
    }
    expect_that!(stuck, is_empty());
}
