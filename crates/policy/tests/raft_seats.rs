//! Choice of the initial voters and automatic replacement of lost voters.

mod cluster;

use std::time::Duration;

use citron_policy::{
    id::{DomainId, ReplicaId},
    member::{Member, Members, State},
    raft::{
        Event, Role,
        membership::{Change, Replacement, VOTER_SILENCE_LIMIT, initial_voters},
    },
    state::Command,
};
use googletest::prelude::*;

use cluster::{Cluster, claim};

const IDS: [ReplicaId; 3] = [11, 12, 13];

/// New id of a replica whose folder was emptied.
const NEW_REPLICA: ReplicaId = 22;

/// New id of a replica whose folder was emptied again.
const NEXT_REPLICA: ReplicaId = 23;

/// Time within which the cluster must tolerate the next loss.
const CATCH_UP: Duration = Duration::from_secs(4);

fn member(name: &str, domain: &str, replica: Option<ReplicaId>) -> (String, Member) {
    let address = "127.0.0.1:1".parse().expect("an address");
    let member = Member {
        id: name.to_owned(),
        domain: domain.to_owned(),
        peer: address,
        callers: address,
        capacity: 0,
        replica,
        incarnation: 1,
        state: State::Alive,
        revision: 0,
        load: 0,
        current: true,
    };
    (name.to_owned(), member)
}

/// Starts the changes of voters that are due, as the driver does.
fn change_voters(cluster: &mut Cluster) {
    let now = cluster.now;
    let ids: Vec<ReplicaId> = cluster.replicas.keys().copied().collect();
    for id in ids {
        let change = cluster.replicas[&id].node.due_change(now);
        match change.filter(|_| cluster.replicas[&id].up) {
            Some(Change::Replace(Replacement { old, new }, _)) => {
                cluster.event(id, Event::Replace { token: 0, old, new });
            }
            Some(Change::Resize(resize)) => cluster.event(id, Event::Resize(resize)),
            None => {}
        }
    }
}

/// Runs until a replica is a voter and returns the time that this took.
fn run_until_voter(cluster: &mut Cluster, id: ReplicaId) -> Duration {
    let begun = cluster.now;
    while cluster.now - begun < CATCH_UP {
        cluster.step();
        change_voters(cluster);
        let leader = cluster.leader().and_then(|it| cluster.replicas.get(&it));
        let counts = leader.is_some_and(|it| it.node.voters().contains(id));
        let complete = leader.is_some_and(|it| it.node.voters().ids().len() == IDS.len());
        if counts && complete {
            break;
        }
    }
    cluster.now - begun
}

#[gtest]
fn initial_voters_are_spread_over_the_domains_and_the_same_everywhere() {
    let members: Members = [
        member("a1", "a", Some(1)),
        member("a2", "a", Some(2)),
        member("a3", "a", None),
        member("b1", "b", Some(3)),
        member("c1", "c", Some(4)),
    ]
    .into_iter()
    .collect();
    expect_that!(initial_voters(&members, 3), eq(&vec![1, 3, 4]));
    let reversed: Members = members.into_iter().rev().collect();
    expect_that!(initial_voters(&reversed, 3), eq(&vec![1, 3, 4]));
    expect_that!(initial_voters(&reversed, 5).len(), eq(4));
}

#[gtest]
fn an_emptied_replica_votes_again_in_time_for_the_next_loss() {
    for seed in 0..10 {
        let mut cluster = Cluster::formed(seed, &IDS);
        for number in 0..30 {
            cluster.submit(&Command::Claim(claim(&format!("k{number}"), number, 1_000)));
        }
        let leader = cluster.leader().expect("a leader");
        // Lose a leader with even seeds and a follower with odd ones.
        let lost = if seed % 2 == 0 {
            leader
        } else {
            cluster.others(leader)[0]
        };
        cluster.destroy(lost);
        cluster.add(NEW_REPLICA);
        let took = run_until_voter(&mut cluster, NEW_REPLICA);
        expect_that!(took, lt(CATCH_UP), "seed {seed}");
        // Another old voter is lost: the majority now needs the new replica.
        let second = *IDS.iter().find(|it| **it != lost).expect("another one");
        cluster.destroy(second);
        cluster.submit(&Command::Claim(claim("after", 99, 1_000)));
        expect_that!(cluster.replicas[&NEW_REPLICA].machine.index(), gt(30));
    }
}

/// Loses a follower's folder and runs until the replacement of its voter has begun.
fn begin_replacement(cluster: &mut Cluster) -> ReplicaId {
    let leader = cluster.leader().expect("a leader");
    let lost = cluster.others(leader)[0];
    cluster.destroy(lost);
    cluster.add(NEW_REPLICA);
    let begun = cluster.now;
    while cluster.replicas[&leader].node.voters().contains(lost) {
        assert!(cluster.now - begun < CATCH_UP, "no replacement began");
        cluster.step();
        change_voters(cluster);
    }
    lost
}

/// The leader waited for good for a learner whose folder was lost after the old voter
/// had been removed, so that the next lost folder cost the log.
#[gtest]
fn a_learner_lost_during_its_replacement_does_not_block_the_next_one() {
    for seed in 0..10 {
        let mut cluster = Cluster::formed(seed, &IDS);
        begin_replacement(&mut cluster);
        cluster.destroy(NEW_REPLICA);
        cluster.add(NEXT_REPLICA);
        let took = run_until_voter(&mut cluster, NEXT_REPLICA);
        expect_that!(took, lt(CATCH_UP), "seed {seed}");
        cluster.run(CATCH_UP.saturating_sub(took));
        // Another old voter is lost: the majority now needs the replica that came last.
        let leader = cluster.leader().expect("a leader");
        cluster.destroy(leader);
        cluster.submit(&Command::Claim(claim("after", 99, 1_000)));
    }
}

/// A removed voter that comes back with its folder was no candidate for its own seat.
#[gtest]
fn a_voter_that_returns_counts_again_if_the_learner_in_its_place_is_lost() {
    for seed in 0..10 {
        let mut cluster = Cluster::formed(seed, &IDS);
        cluster.add(NEW_REPLICA);
        cluster.run(Duration::from_secs(1));
        let leader = cluster.leader().expect("a leader");
        let silent = *IDS.iter().find(|it| **it != leader).expect("a follower");
        cluster.kill(silent);
        let begun = cluster.now;
        while cluster.replicas[&leader].node.voters().contains(silent) {
            assert!(cluster.now - begun < CATCH_UP, "no replacement began");
            cluster.step();
            change_voters(&mut cluster);
        }
        cluster.destroy(NEW_REPLICA);
        cluster.restart(silent);
        let took = run_until_voter(&mut cluster, silent);
        expect_that!(took, lt(CATCH_UP), "seed {seed}");
    }
}

/// A replacement that waits for a lost learner kept other voters from being replaced.
#[gtest]
fn a_waiting_replacement_does_not_hold_up_that_of_another_voter() {
    for seed in 0..10 {
        let mut cluster = Cluster::formed(seed, &[11, 12, 13, 14, 15]);
        begin_replacement(&mut cluster);
        cluster.destroy(NEW_REPLICA);
        let leader = cluster.leader().expect("a leader");
        let voters = cluster.replicas[&leader].node.voters().clone();
        let second = voters.ids().iter().copied().find(|it| *it != leader);
        cluster.destroy(second.expect("another voter"));
        cluster.add(NEXT_REPLICA);
        cluster.add(NEXT_REPLICA + 1);
        let begun = cluster.now;
        while cluster.now - begun < CATCH_UP {
            cluster.step();
            change_voters(&mut cluster);
        }
        let voters = cluster.replicas[&leader].node.voters().clone();
        for id in [NEXT_REPLICA, NEXT_REPLICA + 1] {
            expect_that!(voters.contains(id), eq(true), "seed {seed}: {voters:?}");
        }
        expect_that!(voters.ids().len(), eq(5), "seed {seed}: {voters:?}");
    }
}

/// Two replicas in each of three failure domains, one of each a voter.
const SPREAD: [(ReplicaId, &str); 6] = [
    (11, "a"),
    (12, "b"),
    (13, "c"),
    (14, "a"),
    (15, "b"),
    (16, "c"),
];

fn formed_over_domains(seed: u64) -> Cluster {
    let mut cluster = Cluster::empty(seed, &[]);
    cluster.settings.voters = IDS.len();
    for (id, domain) in SPREAD {
        cluster.domains.insert(id, domain.to_owned());
        cluster.add(id);
    }
    cluster.init(IDS[0], &IDS);
    run_seats(&mut cluster, Duration::from_secs(3));
    cluster
}

fn run_seats(cluster: &mut Cluster, time: Duration) {
    let end = cluster.now + time;
    while cluster.now < end {
        cluster.step();
        change_voters(cluster);
    }
}

fn of_domain(domain: &str) -> Vec<ReplicaId> {
    let members = SPREAD.iter().filter(|(_, it)| *it == domain);
    members.map(|(id, _)| *id).collect()
}

/// Failure domains of the voters, sorted.
fn seats(cluster: &Cluster) -> Vec<DomainId> {
    let leader = cluster.leader().expect("a leader");
    let voters = cluster.replicas[&leader].node.voters().ids().to_vec();
    let mut domains: Vec<DomainId> = voters
        .iter()
        .map(|it| cluster.domains[it].clone())
        .collect();
    domains.sort_unstable();
    domains
}

/// Loses the folders of all replicas of a domain, which return with empty ones.
fn lose_domain(cluster: &mut Cluster, domain: &str) {
    let lost = of_domain(domain);
    for id in &lost {
        cluster.destroy(*id);
    }
    for id in lost {
        cluster.domains.insert(id + 20, domain.to_owned());
        cluster.add(id + 20);
    }
}

/// A killed voter's seat went to any learner, so that two voters shared a failure domain
/// from then on, whose loss cost the log.
#[gtest]
fn a_failure_domain_may_be_lost_after_a_killed_voter_was_replaced() {
    for seed in 0..4 {
        for killed in IDS {
            for domain in ["a", "b", "c"] {
                let mut cluster = formed_over_domains(seed);
                cluster.kill(killed);
                run_seats(&mut cluster, Duration::from_secs(3));
                cluster.restart(killed);
                run_seats(&mut cluster, CATCH_UP);
                cluster.submit(&Command::Claim(claim("before", 1, 1_000)));
                expect_that!(seats(&cluster), eq(&["a", "b", "c"]), "{killed} killed");
                lose_domain(&mut cluster, domain);
                run_seats(&mut cluster, CATCH_UP);
                cluster.submit(&Command::Claim(claim("after", 2, 1_000)));
                expect_that!(seats(&cluster), eq(&["a", "b", "c"]), "{domain} lost");
            }
        }
    }
}

/// While a whole failure domain is away its seat is filled elsewhere, and nothing moved
/// it back.
#[gtest]
fn seats_are_spread_again_once_a_failure_domain_is_back() {
    for seed in 0..4 {
        for (away, lost) in [("c", "a"), ("c", "b"), ("a", "b"), ("b", "a"), ("b", "c")] {
            let mut cluster = formed_over_domains(seed);
            for id in of_domain(away) {
                cluster.kill(id);
            }
            run_seats(&mut cluster, Duration::from_secs(6));
            expect_that!(seats(&cluster).len(), eq(IDS.len()), "{away} away");
            for id in of_domain(away) {
                cluster.restart(id);
            }
            run_seats(&mut cluster, CATCH_UP);
            expect_that!(seats(&cluster), eq(&["a", "b", "c"]), "{away} back");
            lose_domain(&mut cluster, lost);
            cluster.submit(&Command::Claim(claim("after", 2, 1_000)));
        }
    }
}

/// A move adds a voter before it removes one; the next leader did not know that the second
/// half was missing.
#[gtest]
fn a_move_that_its_leader_did_not_finish_leaves_no_voter_too_many() {
    for seed in 0..6 {
        let mut cluster = formed_over_domains(seed);
        let leader = cluster.leader().expect("a leader");
        let own = &cluster.domains[&leader];
        let away = ["a", "b", "c"].into_iter().find(|it| it != own);
        let away = away.expect("another domain");
        for id in of_domain(away) {
            cluster.kill(id);
        }
        run_seats(&mut cluster, Duration::from_secs(6));
        for id in of_domain(away) {
            cluster.restart(id);
        }
        let begun = cluster.now;
        let mut added = false;
        while !added {
            assert!(cluster.now - begun < CATCH_UP, "no seat was moved");
            cluster.step();
            let count = |it: &Cluster| it.replicas[&leader].node.voters().ids().len();
            let before = count(&cluster);
            change_voters(&mut cluster);
            added = count(&cluster) > before;
        }
        // The added voter is known to the others, and nothing else of the move.
        let messages = std::mem::take(&mut cluster.in_flight);
        for (_, message) in messages.into_iter().filter(|(_, it)| it.to != leader) {
            cluster.event(message.to, Event::Receive(message));
        }
        cluster.kill(leader);
        run_seats(&mut cluster, CATCH_UP);
        cluster.restart(leader);
        run_seats(&mut cluster, CATCH_UP);
        expect_that!(seats(&cluster), eq(&["a", "b", "c"]), "seed {seed}");
    }
}

/// A replica that came after the formation never became a voter, so the next loss cost the
/// log.
#[gtest]
fn a_cluster_formed_with_too_few_voters_grows() {
    for seed in 0..4 {
        for wanted in [3, 5] {
            let mut cluster = Cluster::empty(seed, &[]);
            cluster.settings.voters = wanted;
            for id in IDS.iter().take(wanted - 1) {
                cluster.add(*id);
            }
            let first: Vec<ReplicaId> = cluster.replicas.keys().copied().collect();
            cluster.init(first[0], &first);
            run_seats(&mut cluster, Duration::from_secs(3));
            for number in 0..wanted {
                cluster.add(NEW_REPLICA + number as ReplicaId);
            }
            run_seats(&mut cluster, CATCH_UP);
            let leader = cluster.leader().expect("a leader");
            let voters = cluster.replicas[&leader].node.voters().ids().to_vec();
            expect_that!(voters.len(), eq(wanted), "seed {seed}: {voters:?}");
            // As many may be lost as the voters are there for.
            for id in voters.iter().take(wanted / 2) {
                cluster.destroy(*id);
            }
            cluster.submit(&Command::Claim(claim("after", 2, 1_000)));
        }
    }
}

#[gtest]
fn seats_that_are_spread_stay_where_they_are() {
    let mut cluster = formed_over_domains(5);
    let leader = cluster.leader().expect("a leader");
    let before = cluster.replicas[&leader].node.last();
    run_seats(&mut cluster, Duration::from_secs(30));
    expect_that!(cluster.replicas[&leader].node.last(), eq(before));
}

#[gtest]
fn a_briefly_silent_voter_stays_a_voter() {
    let mut cluster = Cluster::formed(3, &IDS);
    cluster.add(NEW_REPLICA);
    let leader = cluster.leader().expect("a leader");
    let silent = cluster.others(leader)[0];
    cluster.run(VOTER_SILENCE_LIMIT * 2);
    cluster.isolate(silent);
    let begun = cluster.now;
    while cluster.now - begun < VOTER_SILENCE_LIMIT / 2 {
        cluster.step();
        change_voters(&mut cluster);
    }
    cluster.heal();
    cluster.run(Duration::from_secs(1));
    let voters = cluster.replicas[&leader].node.voters();
    expect_that!(voters.contains(silent), eq(true));
}

#[gtest]
fn only_a_leader_proposes_a_replacement() {
    let mut cluster = Cluster::formed(4, &IDS);
    cluster.add(NEW_REPLICA);
    cluster.run(Duration::from_secs(1));
    let now = cluster.now;
    for replica in cluster.replicas.values() {
        if replica.node.standing().role != Role::Leader {
            expect_that!(replica.node.due_change(now), none());
        }
    }
}

/// All replicas lose power and cannot reach each other at first when they restart.
#[gtest]
fn replicas_that_connect_late_elect_a_leader_soon() {
    for seed in 0..10 {
        let mut cluster = Cluster::formed(seed, &IDS);
        cluster.run(Duration::from_secs(2));
        for id in IDS {
            cluster.kill(id);
        }
        cluster.run(Duration::from_secs(1));
        for id in IDS {
            cluster.restart(id);
            cluster.isolate(id);
        }
        cluster.run(Duration::from_millis(500));
        cluster.heal();
        let met = cluster.now;
        cluster.run_until("a leader", |it| it.leader().is_some());
        let took = cluster.now - met;
        expect_that!(took, lt(Duration::from_millis(500)), "seed {seed}");
    }
}
