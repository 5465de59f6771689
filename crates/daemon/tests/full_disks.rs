//! Disks that are full for a moment, one after another, at each step of the store.
//!
//! Real replicas on real files, which the test's own file layer refuses at a chosen step.

mod full_disk;

use std::{fmt::Write, thread, time::Duration};

use googletest::prelude::*;

use full_disk::{
    cluster::{Cluster, Plan},
    files::Step,
};

/// How long a disk has no room.
const FULL_TIME: Duration = Duration::from_millis(1_200);

/// Longest wait for the answer to a change once the last disk has room again.
const ANSWER_BOUND: Duration = Duration::from_secs(4);

/// Steps that each replica takes while changes come in.
const STEPS: [Step; 14] = [
    Step::Append,
    Step::ShortAppend,
    Step::LogSync,
    Step::NewSegment,
    Step::ShortSegment,
    Step::SegmentSync,
    Step::Marker,
    Step::SnapshotWrite,
    Step::ShortSnapshot,
    Step::SnapshotSync,
    Step::SnapshotRename,
    Step::FolderSync,
    Step::Removal,
    Step::Cut,
];

/// Replicas in the order in which their disks fill up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    LeaderFirst,
    FollowersFirst,
}

/// Fills the disk of each replica at one step, twice in turn; returns what went wrong.
async fn fill_in_turn(plan: Plan, step: Step, order: Order) -> String {
    let mut wrong = String::new();
    let cluster = Cluster::form(plan).await;
    for turn in 0..2 {
        let leader = cluster.leader().await;
        let mut turns: Vec<usize> = (0..cluster.len()).collect();
        turns.sort_by_key(|it| (Some(*it) == leader) == (order == Order::FollowersFirst));
        for replica in turns {
            let at = format!("{step:?}, {order:?}, turn {turn}, replica {replica}");
            let disk = cluster.disk(replica);
            disk.fill(step, FULL_TIME);
            if !cluster.change_until(|| disk.has_begun()).await {
                writeln!(wrong, "{at}: the step was not reached").expect("text");
                disk.empty();
                continue;
            }
            cluster.change_until(|| disk.has_room()).await;
            // No change but this one comes.
            let answered = cluster.change(ANSWER_BOUND).await;
            if let Err(error) = answered {
                writeln!(wrong, "{at}: no answer: {error}").expect("text");
                return wrong;
            }
            if let Err(state) = cluster.settled(ANSWER_BOUND).await {
                writeln!(wrong, "{at}: not settled: {state}").expect("text");
            }
        }
    }
    wrong
}

/// Runs one cluster for each step, all at the same time.
fn fill_at_each_step(plan: Plan, order: Order) -> String {
    let runs = STEPS.map(|step| {
        thread::spawn(move || actix_rt::System::new().block_on(fill_in_turn(plan, step, order)))
    });
    runs.into_iter()
        .map(|run| {
            run.join()
                .unwrap_or_else(|_| "a run ended early\n".to_owned())
        })
        .collect()
}

#[gtest]
fn changes_are_answered_after_disks_were_full_leader_first() {
    let plan = Plan::default();
    expect_that!(fill_at_each_step(plan, Order::LeaderFirst), eq(""));
}

#[gtest]
fn changes_are_answered_after_disks_were_full_followers_first() {
    let plan = Plan::default();
    expect_that!(fill_at_each_step(plan, Order::FollowersFirst), eq(""));
}

/// Voters are replaced by learners while their disks are full.
#[gtest]
fn seats_are_filled_after_disks_of_voters_and_learners_were_full() {
    let plan = Plan {
        replicas: 5,
        ..Plan::default()
    };
    expect_that!(fill_at_each_step(plan, Order::LeaderFirst), eq(""));
}

/// Makes replica 0 the leader, takes replica 1 away, and waits until 3 has its seat.
async fn fill_seat(cluster: &Cluster) -> std::result::Result<(), String> {
    for _ in 0..20 {
        match cluster.leader().await {
            Some(0) => break,
            Some(leader) => {
                let disk = cluster.disk(leader);
                disk.fill(Step::Append, FULL_TIME);
                cluster.change_until(|| disk.has_begun()).await;
                cluster.change_until(|| disk.has_room()).await;
                drop(cluster.settled(ANSWER_BOUND).await);
            }
            None => actix_rt::time::sleep(Duration::from_millis(50)).await,
        }
    }
    expect_that!(cluster.leader().await, some(eq(0)));
    let lost = cluster.disk(1);
    lost.fill(Step::Append, Duration::from_hours(1));
    assert!(cluster.change_until(|| lost.has_begun()).await);
    let filled = cluster.until(ANSWER_BOUND * 2, |all| {
        all.iter()
            .any(|it| it.voters.contains(&cluster.id(3)) && !it.voters.contains(&cluster.id(1)))
    });
    filled.await
}

/// What a daemon learns of others while its disk is full counts once it has room.
#[gtest]
fn a_replica_that_joined_while_the_leaders_disk_was_full_gets_a_lost_seat() {
    actix_rt::System::new().block_on(async {
        let plan = Plan {
            replicas: 4,
            ..Plan::default()
        };
        let cluster = Cluster::form_without(plan, 3).await;
        let disk = cluster.disk(0);
        disk.fill(Step::Append, FULL_TIME);
        assert!(cluster.change_until(|| disk.has_begun()).await);
        cluster.introduce(3);
        cluster.change_until(|| disk.has_room()).await;
        cluster.settled(ANSWER_BOUND).await.expect("settled");
        expect_that!(fill_seat(&cluster).await, ok(anything()));
    });
}

/// The thread waits for its disk, and its queue is full, when the daemon learns of another.
#[gtest]
fn a_replica_that_joined_beside_a_full_queue_gets_a_lost_seat() {
    actix_rt::System::new().block_on(async {
        let plan = Plan {
            replicas: 4,
            ..Plan::default()
        };
        let cluster = Cluster::form_without(plan, 3).await;
        cluster.disk(0).stall(FULL_TIME);
        assert!(cluster.change_until(|| cluster.disk(0).has_begun()).await);
        cluster.flood(0);
        cluster.introduce(3);
        cluster.change_until(|| cluster.disk(0).has_room()).await;
        cluster.settled(ANSWER_BOUND).await.expect("settled");
        expect_that!(fill_seat(&cluster).await, ok(anything()));
    });
}

/// A replica that lags is sent the state of the leader, and its disk fills up at that.
#[gtest]
fn a_disk_full_during_the_install_of_a_snapshot_leaves_nothing_pending() {
    let steps = [
        Step::SnapshotWrite,
        Step::ShortSnapshot,
        Step::SnapshotSync,
        Step::SnapshotRename,
        Step::SegmentSync,
        Step::FolderSync,
        Step::Removal,
    ];
    let runs = steps.map(|step| {
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let cluster = Cluster::form(Plan::default()).await;
                let leader = cluster.leader().await.expect("a leader");
                let lagging = (leader + 1) % 3;
                let disk = cluster.disk(lagging);
                // Out for so long that the others drop the entries that it lacks.
                disk.fill(Step::Append, FULL_TIME);
                cluster.change_until(|| disk.has_begun()).await;
                cluster.change_until(|| disk.has_room()).await;
                disk.fill(step, FULL_TIME);
                let begun = cluster.change_until(|| disk.has_begun()).await;
                cluster.change_until(|| disk.has_room()).await;
                let answered = cluster.change(ANSWER_BOUND).await;
                let settled = cluster.settled(ANSWER_BOUND).await;
                match (begun, answered, settled) {
                    (true, Ok(()), Ok(())) => String::new(),
                    other => format!("{step:?}: {other:?}\n"),
                }
            })
        })
    });
    let wrong: String = runs
        .into_iter()
        .map(|run| {
            run.join()
                .unwrap_or_else(|_| "a run ended early\n".to_owned())
        })
        .collect();
    expect_that!(wrong, eq(""));
}

/// A daemon is started again while the disk of another is full.
#[gtest]
fn a_restart_beside_a_full_disk_leaves_changes_answered() {
    let runs = [Step::Append, Step::LogSync, Step::SnapshotWrite, Step::Cut].map(|step| {
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let mut wrong = String::new();
                let mut cluster = Cluster::form(Plan::default()).await;
                for number in 0..6 {
                    let full = number % 3;
                    let disk = cluster.disk(full);
                    disk.fill(step, FULL_TIME);
                    cluster.change_until(|| disk.has_begun()).await;
                    cluster.restart((full + 1 + number / 3) % 3).await;
                    cluster.change_until(|| disk.has_room()).await;
                    if let Err(error) = cluster.change(ANSWER_BOUND).await {
                        writeln!(wrong, "{step:?}, {number}: no answer: {error}").expect("text");
                    }
                    if let Err(state) = cluster.settled(ANSWER_BOUND).await {
                        writeln!(wrong, "{step:?}, {number}: not settled: {state}").expect("text");
                        break;
                    }
                }
                wrong
            })
        })
    });
    let wrong: String = runs
        .into_iter()
        .map(|run| {
            run.join()
                .unwrap_or_else(|_| "a run ended early\n".to_owned())
        })
        .collect();
    expect_that!(wrong, eq(""));
}

/// The disk is full for longer than a start waits for it.
#[gtest]
fn a_daemon_started_on_a_full_disk_takes_part_once_there_is_room() {
    actix_rt::System::new().block_on(async {
        let mut cluster = Cluster::form(Plan::default()).await;
        for number in 0..3 {
            let disk = cluster.disk(number);
            disk.fill(Step::Append, FULL_TIME * 2);
            assert!(cluster.change_until(|| disk.has_begun()).await);
            cluster.restart_without(number);
            cluster.change_until(|| disk.has_room()).await;
            expect_that!(cluster.change(ANSWER_BOUND).await, ok(anything()));
            expect_that!(cluster.settled(ANSWER_BOUND).await, ok(anything()));
        }
    });
}
