//! Daemons that form a cluster by themselves while one of them is away for a moment.
//!
//! Each asks as the daemon does: once a second, if it is the first of the replicas that it
//! would choose, until the cluster is formed.

mod cluster;

use std::time::Duration;

use citron_policy::raft::{Role, formation::Formation};
use googletest::prelude::*;

use cluster::Cluster;

const WANTED: usize = 3;
const LONG: Duration = Duration::from_mins(1);

/// The voters that a daemon would choose: the first of those that are running.
fn chosen(cluster: &Cluster) -> Vec<u64> {
    let running = cluster.replicas.iter().filter(|(_, it)| it.up);
    running.map(|(id, _)| *id).take(WANTED).collect()
}

/// 11 and 12 promise a formation that waits for 13, which is down.
fn ask_first(cluster: &mut Cluster) {
    cluster.init(11, &[11, 12, 13]);
    cluster.run(Duration::from_millis(500));
}

fn ask(cluster: &mut Cluster) {
    let voters = chosen(cluster);
    cluster.init(voters[0], &voters);
}

fn ask_until_formed(cluster: &mut Cluster) {
    let end = cluster.now + LONG;
    while cluster.leader().is_none() && cluster.now < end {
        ask(cluster);
        cluster.run(Duration::from_secs(1));
    }
}

fn formation(cluster: &Cluster, id: u64) -> Option<Formation> {
    cluster.replicas[&id].disk.hard.formation.clone()
}

/// The replica that asked is restarted with its promise to the replacement, and chooses the
/// voters of before, since all are there again: it refuses itself, and nobody else asks.
#[gtest]
fn a_replacement_whose_voters_are_not_chosen_any_more_does_not_stop_the_formation() {
    let mut cluster = Cluster::empty(1, &[11, 12, 13, 14]);
    cluster.kill(13);
    ask_first(&mut cluster);
    // 13 is taken for dead, so 14 is to stand in; 11 is killed once it has stored that.
    cluster.isolate(11);
    ask(&mut cluster);
    cluster.run(Duration::from_millis(50));
    cluster.kill(11);
    cluster.heal();
    cluster.restart(13);
    cluster.restart(11);
    ask_until_formed(&mut cluster);
    println!("{:?}", [11, 12, 13, 14].map(|id| formation(&cluster, id)));
    expect_that!(cluster.leader(), some(anything()), "all four run");
}

/// Only the disk of the replica that stands in is lost, before its promise. Before there were
/// replacements the cluster formed once 13 had returned.
#[gtest]
fn the_loss_of_the_disk_that_stands_in_does_not_stop_the_formation() {
    let mut cluster = Cluster::empty(2, &[11, 12, 13, 14]);
    cluster.kill(13);
    ask_first(&mut cluster);
    cluster.isolate(14);
    ask(&mut cluster);
    cluster.run(Duration::from_secs(1));
    cluster.heal();
    cluster.destroy(14);
    cluster.add(22);
    cluster.restart(13);
    ask_until_formed(&mut cluster);
    println!("{:?}", [11, 12, 13, 22].map(|id| formation(&cluster, id)));
    expect_that!(cluster.leader(), some(anything()));
}

/// Two replicas that see different ones alive each ask for a replacement of one formation.
#[gtest]
fn two_replacements_that_wait_for_each_other_do_not_stop_the_formation() {
    let mut cluster = Cluster::empty(3, &[11, 12, 13, 14]);
    cluster.kill(13);
    ask_first(&mut cluster);
    // 11 takes 13 for dead; its request reaches 14 only, and then it is paused.
    cluster.blocked_links.insert((11, 12));
    cluster.init(11, &[11, 12, 14]);
    cluster.run(Duration::from_millis(200));
    cluster.kill(11);
    // 12 sees 13 return, and 11 as dead.
    cluster.restart(13);
    ask(&mut cluster);
    cluster.run(Duration::from_secs(2));
    cluster.heal();
    cluster.restart(11);
    ask_until_formed(&mut cluster);
    println!("{:?}", [11, 12, 13, 14].map(|id| formation(&cluster, id)));
    expect_that!(cluster.leader(), some(anything()), "all four run");
}

/// All four have promised one formation, which binds them to one cluster, when the network is
/// cut in halves before the answers are back. Each half is a replacement that leaves out less
/// than a majority of four.
#[gtest]
fn halves_of_a_promised_formation_do_not_both_start() {
    let mut cluster = Cluster::empty(4, &[11, 12, 13, 14]);
    for id in [12, 13, 14] {
        cluster.blocked_links.insert((id, 11));
    }
    cluster.init(11, &[11, 12, 13, 14]);
    cluster.run(Duration::from_millis(500));
    let promised = [11, 12, 13, 14].map(|id| formation(&cluster, id).map(|it| it.id));
    expect_that!(promised, each(eq(promised[0])));
    cluster.blocked_links.clear();
    for one in [11, 12] {
        for other in [13, 14] {
            cluster.blocked_links.insert((one, other));
            cluster.blocked_links.insert((other, one));
        }
    }
    for _ in 0..5 {
        cluster.init(11, &[11, 12]);
        cluster.init(13, &[13, 14]);
        cluster.run(Duration::from_secs(1));
    }
    let led: Vec<u64> = [11, 12, 13, 14]
        .into_iter()
        .filter(|id| cluster.replicas[id].node.standing().role == Role::Leader)
        .collect();
    expect_that!(led.len(), le(1), "leaders {led:?}");
}

/// A request that is asked again while it waits is given up without a word, so that whoever
/// holds its token keeps it for ever.
#[gtest]
fn each_request_for_a_formation_is_answered() {
    let mut cluster = Cluster::empty(5, &[11, 12, 13]);
    cluster.kill(13);
    let voters = [11, 12, 13];
    let mut tokens = Vec::new();
    for id in [11, 11, 12] {
        tokens.push(cluster.init(id, &voters));
        cluster.run(Duration::from_secs(2));
    }
    cluster.restart(13);
    cluster.run(Duration::from_secs(5));
    expect_that!(cluster.leader(), some(anything()));
    let unanswered: Vec<_> = tokens
        .iter()
        .filter(|it| !cluster.outcomes.contains_key(it))
        .collect();
    expect_that!(unanswered, is_empty(), "of {tokens:?}");
}
