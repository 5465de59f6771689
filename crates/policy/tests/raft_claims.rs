//! At-most-once claims through the log, with messages lost, duplicated or delayed
//! and leaders killed at each step.

mod cluster;

use std::{collections::BTreeMap, time::Duration};

use citron_policy::{
    id::{AttemptId, ReplicaId},
    ledger::{Outcome, Settle, Verdict},
    state::{Answer, Command},
};
use googletest::prelude::*;
use rand::RngExt;

use cluster::{Cluster, NetworkFaults, at, claim, key};

const IDS: [ReplicaId; 3] = [11, 12, 13];

/// Repeats a daemon's claim under one attempt id until it is answered or `tries` run out.
fn claim_until_answered(
    cluster: &mut Cluster,
    name: &str,
    attempt: AttemptId,
    tries: u32,
) -> Option<Verdict> {
    let command = Command::Claim(claim(name, attempt, 1_000));
    for _ in 0..tries {
        let Some(leader) = cluster.leader() else {
            cluster.run(Duration::from_millis(500));
            continue;
        };
        let token = cluster.propose(leader, command.clone());
        cluster.run(Duration::from_millis(500));
        if let Some(Ok(Answer::Claim(verdict))) = cluster.answers.get(&token) {
            return Some(verdict.clone());
        }
    }
    None
}

fn settle(name: &str, attempt: AttemptId, outcome: Outcome) -> Command {
    Command::Settle(Settle {
        key: key(name),
        attempt,
        outcome,
        at: at(1_001),
    })
}

#[gtest]
fn a_leader_that_dies_at_any_step_of_a_claim_lets_one_attempt_run() {
    for step in 0..20 {
        for kill_after in [None, Some(0), Some(1)] {
            let mut cluster = Cluster::formed(1, &IDS);
            let leader = cluster.leader().expect("a leader");
            let command = Command::Claim(claim("k", 1, 1_000));
            cluster.replica(leader).kill_after = kill_after;
            let first = cluster.propose(leader, command);
            for _ in 0..step {
                cluster.step();
            }
            let first_ran = matches!(
                cluster.answers.get(&first),
                Some(Ok(Answer::Claim(Verdict::Run)))
            );
            cluster.kill(leader);
            // Another daemon gets the resent call, then the first daemon repeats its claim.
            let second = claim_until_answered(&mut cluster, "k", 2, 40).expect("an answer");
            let again = claim_until_answered(&mut cluster, "k", 1, 40).expect("an answer");
            cluster.restart(leader);
            let third = claim_until_answered(&mut cluster, "k", 3, 40).expect("an answer");
            let runs = [
                first_ran || again == Verdict::Run,
                second == Verdict::Run,
                third == Verdict::Run,
            ];
            let count = runs.iter().filter(|it| **it).count();
            expect_that!(
                count,
                eq(1),
                "step {step}, kill_after {kill_after:?}: {runs:?}"
            );
        }
    }
}

#[gtest]
fn lost_doubled_and_late_messages_let_one_attempt_run() {
    for seed in 0..40 {
        let mut cluster = Cluster::formed(seed, &IDS);
        cluster.faults = NetworkFaults {
            lost: 25,
            duplicated: 25,
            delayed: 25,
        };
        let mut running: BTreeMap<String, AttemptId> = BTreeMap::new();
        for attempt in 0..40 {
            let name = format!("k{}", attempt % 5);
            if cluster.rng.random_range(0..6) == 0
                && let Some(leader) = cluster.leader()
            {
                cluster.kill(leader);
                cluster.restart(leader);
            }
            let tries = cluster.rng.random_range(1..4);
            let Some(verdict) = claim_until_answered(&mut cluster, &name, attempt, tries) else {
                // The attempt is given up before it ran: release the claim, if it was made.
                cluster.submit(&settle(&name, attempt, Outcome::NotRun));
                continue;
            };
            if verdict != Verdict::Run {
                continue;
            }
            let known = running.insert(name.clone(), attempt);
            expect_that!(known, none(), "seed {seed}: {name} ran twice");
            if cluster.rng.random_range(0..2) == 0 {
                cluster.submit(&settle(&name, attempt, Outcome::NotRun));
                running.remove(&name);
            }
        }
        expect_that!(cluster.leaders.len(), ge(1));
    }
}

#[gtest]
fn two_daemons_that_claim_at_once_do_not_both_run() {
    for seed in 0..20 {
        let mut cluster = Cluster::formed(seed, &IDS);
        let leader = cluster.leader().expect("a leader");
        let tokens: Vec<_> = (0..5)
            .map(|attempt| {
                let command = Command::Claim(claim("k", attempt, 1_000));
                cluster.propose(leader, command)
            })
            .collect();
        cluster.run(Duration::from_secs(1));
        let runs = tokens
            .iter()
            .filter(|it| cluster.answers[it] == Ok(Answer::Claim(Verdict::Run)))
            .count();
        expect_that!(runs, eq(1));
    }
}
