//! A cluster is formed once, and never by a restart.

mod cluster;

use std::{collections::BTreeSet, time::Duration};

use citron_policy::{
    raft::{Refusal, Role},
    state::Command,
};
use googletest::prelude::*;
use rand::RngExt;

use cluster::{Cluster, NetworkFaults};

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

/// Steps after which a disk is lost: each of the first 1.5 s, and each other one up to 15 s.
const EARLY_LOSS_STEPS: u32 = 60;
const LATE_LOSS_STEPS: u32 = 600;

/// Time within which the others form a cluster with the replica that comes in its place.
const FORMED: Duration = Duration::from_secs(15);

// A folder that was lost while the cluster formed never keeps its promise, and the promises of
// the others bound them to it.
#[gtest]
fn the_loss_of_a_disk_during_the_formation_does_not_stop_it_for_good() {
    const NEW_REPLICA: u64 = 22;

    let mut stuck = Vec::new();
    for lost in [11, 12, 13] {
        for steps in (0..EARLY_LOSS_STEPS).chain((EARLY_LOSS_STEPS..LATE_LOSS_STEPS).step_by(2)) {
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

/// Runs with requests for formations of all kinds at once.
const MIXED_RUNS: u64 = 300;

/// Steps with requests, kills and a network that delays, and steps without these.
const REQUEST_STEPS: u32 = 150;
const REST_STEPS: u32 = 200;

// A replacement that leaves out too many, or a folder that goes back and forth, would let two
// formations start.
#[gtest]
fn no_two_formations_start_whoever_asks_for_which_voters() {
    const FIRST: [u64; 5] = [11, 12, 13, 14, 15];
    const LATER: u64 = 22;

    let mut started = 0;
    for seed in 0..MIXED_RUNS {
        let mut cluster = Cluster::empty(seed, &FIRST);
        cluster.faults = NetworkFaults {
            lost: 20,
            duplicated: 10,
            delayed: 90,
        };
        for _ in 0..REQUEST_STEPS {
            // Any two sets of three of the first five have a voter in common.
            let mut voters = FIRST.to_vec();
            voters.remove(cluster.rng.random_range(0..5));
            voters.remove(cluster.rng.random_range(0..4));
            if cluster.rng.random_bool(0.2) {
                voters.push(LATER);
            }
            let place = cluster.rng.random_range(0..voters.len());
            let id = voters[place];
            let is_known = cluster.replicas.contains_key(&id);
            match cluster.rng.random_range(0..100) {
                0..20 => {
                    cluster.init(id, &voters);
                }
                20 if is_known => cluster.kill(id),
                21 if is_known => cluster.restart(id),
                22 if !cluster.replicas.contains_key(&LATER) => {
                    cluster.destroy(id);
                    cluster.add(LATER);
                }
                _ => {}
            }
            cluster.step();
        }
        cluster.faults = NetworkFaults::default();
        for id in cluster.others(0) {
            cluster.restart(id);
        }
        let mut all_led = BTreeSet::new();
        for _ in 0..REST_STEPS {
            cluster.step();
            all_led.extend(led(&cluster));
        }
        expect_that!(all_led.len(), le(1), "seed {seed}: {all_led:x?}");
        started += all_led.len();
    }
    expect_that!(started, gt(20), "runs in which a formation started");
}

/// Asks for a formation until it replaces what its voters have promised before.
fn insist(cluster: &mut Cluster, id: u64, voters: &[u64]) {
    for _ in 0..3 {
        cluster.init(id, voters);
        cluster.run(Duration::from_millis(200));
    }
}

fn block(cluster: &mut Cluster, links: &[(u64, u64)]) {
    for (one, other) in links {
        cluster.blocked_links.insert((*one, *other));
        cluster.blocked_links.insert((*other, *one));
    }
}

/// Formations that have a leader.
fn led(cluster: &Cluster) -> BTreeSet<u64> {
    let leading = cluster.replicas.values().filter_map(|it| {
        let leads = it.node.standing().role == Role::Leader;
        let formation = it.disk.hard.formation.as_ref();
        formation.filter(|_| leads).map(|it| it.id)
    });
    leading.collect()
}

// The majority that was left out would still start the formation that was replaced.
#[gtest]
fn a_replacement_that_leaves_out_a_majority_is_refused() {
    let mut cluster = Cluster::empty(1, &[11, 12, 13, 14, 15]);
    cluster.isolate(12);
    cluster.init(13, &[11, 12, 13]);
    cluster.run(Duration::from_millis(500));
    cluster.heal();
    for id in [11, 14, 15] {
        block(&mut cluster, &[(id, 12), (id, 13)]);
    }
    insist(&mut cluster, 14, &[11, 14, 15]);
    cluster.run(Duration::from_secs(5));
    expect_that!(led(&cluster).len(), eq(1));
    cluster.heal();
    cluster.run(Duration::from_secs(5));
    expect_that!(cluster.replicas[&11].node.formed(), eq(true));
}

// Voters that have elected a leader would elect another one elsewhere.
#[gtest]
fn a_formation_that_has_started_is_not_replaced() {
    let mut cluster = Cluster::formed(2, &[11, 12, 13]);
    cluster.add(22);
    let before = led(&cluster);
    cluster.kill(13);
    insist(&mut cluster, 22, &[11, 12, 22]);
    cluster.run(Duration::from_secs(5));
    expect_that!(led(&cluster), eq(&before));
}

// The promises for the formation that was left would count for the one that replaces it.
#[gtest]
fn promises_for_a_formation_do_not_count_for_its_replacement() {
    let mut cluster = Cluster::empty(3, &[11, 12, 13, 22]);
    cluster.isolate(13);
    cluster.init(11, &[11, 12, 13]);
    cluster.run(Duration::from_millis(500));
    cluster.init(12, &[11, 12, 13]);
    cluster.run(Duration::from_millis(500));
    cluster.heal();
    block(&mut cluster, &[(11, 12), (11, 13), (22, 12), (22, 13)]);
    insist(&mut cluster, 22, &[11, 12, 22]);
    cluster.run(Duration::from_secs(5));
    expect_that!(led(&cluster).len(), eq(1));
    cluster.heal();
    cluster.run(Duration::from_secs(5));
    expect_that!(led(&cluster).len(), eq(1));
    expect_that!(
        cluster.replicas.values().all(|it| it.node.formed()),
        eq(true),
        "a replica that had left joins the formation that started"
    );
}

// A build without replacements drops the voters of what was left, among which a majority could
// still start it.
#[gtest]
fn a_folder_that_has_lost_what_it_left_leaves_no_more() {
    let mut cluster = Cluster::empty(4, &[11, 12, 13, 14, 15]);
    cluster.isolate(13);
    cluster.init(11, &[11, 12, 13]);
    cluster.run(Duration::from_millis(200));
    cluster.isolate(14);
    cluster.init(11, &[11, 12, 14]);
    cluster.run(Duration::from_millis(200));
    let disk = &mut cluster.replica(11).disk;
    let formation = disk.hard.formation.as_mut().expect("a formation");
    expect_that!(formation.left.len(), eq(1));
    (formation.left, formation.left_known) = (Vec::new(), false);
    let before = formation.clone();
    cluster.restart(11);
    cluster.heal();
    block(&mut cluster, &[(11, 12), (11, 13), (14, 12), (14, 13)]);
    block(&mut cluster, &[(15, 12), (15, 13)]);
    insist(&mut cluster, 14, &[11, 14, 15]);
    let formation = &cluster.replica(11).disk.hard.formation;
    expect_that!(formation, some(eq(&before)));
}
