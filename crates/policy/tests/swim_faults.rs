//! Membership under loss, network partitions, kills, pauses and restarts.
//!
//! The bounds are the documented ones: an instance that is gone or leaving gets no
//! new work after three seconds, and a live, reachable one does not stay evicted.

mod net;

use std::time::Duration;

use citron_policy::{
    member::State,
    swim::{Event, Swim},
};
use googletest::prelude::*;
use net::{Net, address};

/// Time after which an instance that is gone or leaving gets no new work.
const NO_WORK: Duration = Duration::from_secs(3);

/// Time for all members to learn of each other.
const CONVERGENCE_TIME: Duration = Duration::from_secs(10);

fn converged(count: usize, seed: u64) -> Net {
    let mut net = Net::new(count, seed);
    net.run(CONVERGENCE_TIME);
    net
}

fn all(net: &Net) -> Vec<usize> {
    net.numbers().collect()
}

#[gtest]
fn daemons_discover_each_other_from_the_list_alone() {
    for (count, seed) in [(2, 1), (3, 2), (12, 3), (50, 4)] {
        let mut net = Net::new(count, seed);
        net.run(Duration::from_secs(3));
        let everyone = all(&net);
        expect_that!(
            net.differing(&everyone, &everyone, State::Alive),
            is_empty()
        );
    }
}

#[gtest]
fn a_killed_instance_gets_no_new_work_after_three_seconds() {
    for seed in 0..8 {
        for count in [3, 12, 50] {
            let mut net = converged(count, seed);
            net.kill(1);
            net.run(NO_WORK);
            let rest: Vec<usize> = net.numbers().filter(|it| *it != 1).collect();
            expect_that!(net.work_targets(&rest, &[1]), is_empty());
            expect_that!(net.differing(&rest, &rest, State::Alive), is_empty());
        }
    }
}

#[gtest]
fn a_third_killed_at_once_is_detected_and_the_rest_stay_alive() {
    for seed in 0..8 {
        let mut net = converged(12, seed);
        for lost in 0..4 {
            net.kill(lost);
        }
        net.run(NO_WORK);
        let rest: Vec<usize> = (4..12).collect();
        expect_that!(net.work_targets(&rest, &[0, 1, 2, 3]), is_empty());
        net.run(Duration::from_mins(1));
        expect_that!(net.differing(&rest, &rest, State::Alive), is_empty());
        let refuted = net.count(|event| matches!(event, Event::SelfSuspected(_)));
        expect_that!(refuted, eq(0));
    }
}

#[gtest]
fn a_third_paused_and_resumed_rejoins_and_evicts_nobody() {
    for seed in 0..8 {
        let mut net = converged(12, seed);
        for paused in 0..4 {
            net.pause(paused);
        }
        net.run(NO_WORK);
        let rest: Vec<usize> = (4..12).collect();
        expect_that!(net.work_targets(&rest, &[0, 1, 2, 3]), is_empty());
        net.run(Duration::from_secs(40));
        net.events.clear();
        for paused in 0..4 {
            net.resume(paused);
        }
        for _ in 0..20 {
            net.run(Duration::from_millis(500));
            expect_that!(net.differing(&rest, &rest, State::Alive), is_empty());
        }
        let everyone = all(&net);
        expect_that!(
            net.differing(&everyone, &everyone, State::Alive),
            is_empty()
        );
        expect_that!(net.work_targets(&[5], &everyone).len(), eq(12));
    }
}

#[gtest]
fn a_resumed_instance_does_not_count_its_pause_against_others() {
    for seed in 0..8 {
        let mut net = converged(12, seed);
        net.pause(1);
        net.run(NO_WORK);
        net.pause(0);
        net.resume(1);
        net.run(Duration::from_secs(30));
        net.events.clear();
        net.resume_without_inbox(0);
        net.run(Duration::from_secs(10));
        let died = net.count(|event| matches!(event, Event::Died(_)));
        expect_that!(died, eq(0));
        let everyone = all(&net);
        expect_that!(
            net.differing(&everyone, &everyone, State::Alive),
            is_empty()
        );
    }
}

#[gtest]
fn a_restarted_instance_gets_work_from_all_soon_after_its_proof() {
    for seed in 0..4 {
        let mut net = converged(60, seed);
        // The proofs of all instances came at once at the start and are sent first.
        net.run(Duration::from_secs(20));
        net.act(3, |swim, _, rng| swim.depart(rng));
        net.run(Duration::from_secs(3));
        net.boot(3);
        net.run(Duration::from_secs(4));
        expect_that!(net.work_targets(&all(&net), &[3]).len(), eq(60));
    }
}

#[gtest]
fn an_isolated_instance_evicts_nobody_and_comes_back() {
    for seed in 0..8 {
        let mut net = converged(12, seed);
        let rest: Vec<usize> = (1..12).collect();
        net.cut(&[0], &rest);
        net.cut(&rest, &[0]);
        net.run(net.settings.isolation_timeout + Duration::from_secs(1));
        expect_that!(net.work_targets(&[0], &rest), is_empty());
        net.run(Duration::from_mins(1));
        expect_that!(net.work_targets(&rest, &[0]), is_empty());
        expect_that!(net.work_targets(&[0], &rest), is_empty());
        expect_that!(net.nodes[&address(0)].swim.is_isolated(net.now), eq(true));
        net.cuts.clear();
        net.events.clear();
        net.run(Duration::from_secs(10));
        let everyone = all(&net);
        expect_that!(
            net.differing(&everyone, &everyone, State::Alive),
            is_empty()
        );
        let refuted = net
            .events
            .iter()
            .filter(|(by, event)| *by != address(0) && matches!(event, Event::SelfSuspected(_)));
        expect_that!(refuted.count(), eq(0));
    }
}

#[gtest]
fn an_instance_that_receives_nothing_gets_nobody_evicted() {
    for seed in 0..8 {
        let mut net = converged(12, seed);
        let rest: Vec<usize> = (1..12).collect();
        net.cut(&rest, &[0]);
        net.run(NO_WORK);
        expect_that!(net.work_targets(&rest, &[0]), is_empty());
        for _ in 0..60 {
            net.run(Duration::from_millis(500));
            expect_that!(net.differing(&rest, &rest, State::Alive), is_empty());
        }
    }
}

#[gtest]
fn an_instance_whose_messages_are_lost_gets_nobody_evicted() {
    for seed in 0..8 {
        let mut net = converged(12, seed);
        let rest: Vec<usize> = (1..12).collect();
        net.cut(&[0], &rest);
        net.run(NO_WORK);
        expect_that!(net.work_targets(&rest, &[0]), is_empty());
        for _ in 0..60 {
            net.run(Duration::from_millis(500));
            expect_that!(net.differing(&rest, &rest, State::Alive), is_empty());
        }
        net.cuts.clear();
        net.run(Duration::from_secs(10));
        let everyone = all(&net);
        expect_that!(
            net.differing(&everyone, &everyone, State::Alive),
            is_empty()
        );
    }
}

#[gtest]
fn one_cut_link_evicts_neither_end() {
    for seed in 0..8 {
        let mut net = converged(12, seed);
        net.cut(&[0], &[1]);
        net.cut(&[1], &[0]);
        let rest: Vec<usize> = (2..12).collect();
        net.run(Duration::from_mins(1));
        expect_that!(net.differing(&rest, &all(&net), State::Alive), is_empty());
    }
}

#[gtest]
fn partitioned_halves_join_again() {
    for seed in 0..4 {
        let mut net = converged(24, seed);
        let (left, right): (Vec<usize>, Vec<usize>) = (0..24).partition(|it| it % 2 == 0);
        net.cut(&left, &right);
        net.cut(&right, &left);
        net.run(Duration::from_secs(90));
        expect_that!(net.differing(&left, &left, State::Alive), is_empty());
        expect_that!(net.work_targets(&left, &right), is_empty());
        net.cuts.clear();
        net.run(Duration::from_secs(15));
        let everyone = all(&net);
        expect_that!(
            net.differing(&everyone, &everyone, State::Alive),
            is_empty()
        );
        expect_that!(net.work_targets(&[0], &everyone).len(), eq(24));
    }
}

#[gtest]
fn loss_duplication_and_delays_evict_nobody_permanently() {
    for seed in 0..4 {
        let mut net = converged(24, seed);
        net.loss = 0.1;
        net.duplication = 0.1;
        net.delay_ms = 60;
        net.run(Duration::from_mins(1));
        let everyone = all(&net);
        let died = net.count(|event| matches!(event, Event::Died(_)));
        expect_that!(died, eq(0));
        net.loss = 0.0;
        net.run(Duration::from_secs(10));
        expect_that!(
            net.differing(&everyone, &everyone, State::Alive),
            is_empty()
        );
    }
}

#[gtest]
fn a_restarted_instance_supersedes_its_earlier_records() {
    for seed in 0..8 {
        let mut net = converged(12, seed);
        net.kill(3);
        net.run(Duration::from_secs(20));
        net.boot(3);
        net.run(Duration::from_secs(3));
        let everyone = all(&net);
        expect_that!(
            net.differing(&everyone, &everyone, State::Alive),
            is_empty()
        );
        expect_that!(net.work_targets(&everyone, &[3]).len(), eq(12));
    }
}

#[gtest]
fn a_restart_with_an_older_wall_clock_is_accepted() {
    for seed in 0..8 {
        let mut net = converged(12, seed);
        for gone_for in [0, 30] {
            net.kill(3);
            net.run(Duration::from_secs(gone_for));
            net.boot_at(3, net::EPOCH_MS - 3_600_000);
            net.run(Duration::from_secs(5));
            let everyone = all(&net);
            expect_that!(
                net.differing(&everyone, &everyone, State::Alive),
                is_empty()
            );
            expect_that!(net.work_targets(&everyone, &[3]).len(), eq(12));
        }
        // Its later announcements must be accepted, too.
        net.act(3, Swim::leave);
        net.run(NO_WORK);
        expect_that!(net.work_targets(&all(&net), &[3]), is_empty());
    }
}

#[gtest]
fn two_survivors_give_no_work_to_the_killed() {
    for seed in 0..8 {
        let mut net = converged(12, seed);
        for lost in 2..12 {
            net.kill(lost);
        }
        net.run(Duration::from_secs(8));
        let lost: Vec<usize> = (2..12).collect();
        expect_that!(net.work_targets(&[0, 1], &lost), is_empty());
        expect_that!(net.work_targets(&[0, 1], &[0, 1]).len(), eq(4));
    }
}

#[gtest]
fn a_rolling_restart_of_all_leaves_all_alive() {
    let mut net = converged(12, 7);
    for number in 0..12 {
        net.act(number, Swim::leave);
        net.run(Duration::from_secs(2));
        net.act(number, |swim, _, rng| swim.depart(rng));
        net.kill(number);
        net.run(Duration::from_millis(500));
        net.boot(number);
        net.run(Duration::from_secs(2));
    }
    net.run(Duration::from_secs(3));
    let everyone = all(&net);
    expect_that!(
        net.differing(&everyone, &everyone, State::Alive),
        is_empty()
    );
    expect_that!(net.work_targets(&everyone, &everyone).len(), eq(144));
}

#[gtest]
fn dead_instances_are_removed() {
    let mut net = converged(12, 5);
    net.kill(2);
    let list = citron_policy::platform::List {
        entries: net
            .list
            .entries
            .iter()
            .filter(|it| it.id != net::name(2))
            .cloned()
            .collect(),
        runners: Vec::new(),
    };
    net.set_list_all(&list);
    net.run(Duration::from_mins(1));
    expect_that!(net.state(0, 2), some(eq(State::Dead)));
    net.run(Duration::from_secs(620));
    for by in [0, 1, 3, 11] {
        expect_that!(net.state(by, 2), none());
    }
}
