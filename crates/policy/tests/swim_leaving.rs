//! Leaving, as announced by the instance or by the platform's list, which may be
//! late, early, flapping or wrong.

mod net;

use std::time::Duration;

use citron_policy::{
    member::{Member, State},
    platform::{List, Standing},
    swim::{Effect, Event, Kind, Message, Swim},
};
use googletest::prelude::*;
use net::{Net, address, name};

/// Time after which a leaving instance gets no new work.
const NO_WORK: Duration = Duration::from_secs(2);

fn converged(count: usize, seed: u64) -> Net {
    let mut net = Net::new(count, seed);
    net.run(Duration::from_secs(10));
    net
}

fn all(net: &Net) -> Vec<usize> {
    net.numbers().collect()
}

fn with_standing(net: &Net, number: usize, standing: Standing) -> List {
    let mut list = net.list.clone();
    for entry in &mut list.entries {
        if entry.id == name(number) {
            entry.standing = standing;
        }
    }
    list
}

#[gtest]
fn a_leaving_instance_gets_no_work_after_two_seconds() {
    for seed in 0..8 {
        for (count, loss) in [(3, 0.0), (12, 0.2), (50, 0.2)] {
            let mut net = converged(count, seed);
            net.loss = loss;
            net.act(1, Swim::leave);
            net.run(NO_WORK);
            let everyone = all(&net);
            expect_that!(net.work_targets(&everyone, &[1]), is_empty());
            net.loss = 0.0;
            net.run(Duration::from_secs(10));
            expect_that!(net.differing(&everyone, &[1], State::Leaving), is_empty());
        }
    }
}

#[gtest]
fn the_leaving_instance_tells_eight_others_without_delay() {
    let mut net = converged(12, 1);
    let now = net.now;
    let mut informed = 0;
    net.act(1, |swim, _, rng| {
        let effects = swim.leave(now, rng);
        let is_leaving = |record: &Member| record.id == name(1) && record.state == State::Leaving;
        let tells = |effect: &&Effect| match effect {
            Effect::Send { message, .. } => message.records.iter().any(is_leaving),
            Effect::Report(_) => false,
        };
        informed = effects.iter().filter(tells).count();
        effects
    });
    expect_that!(informed, eq(8));
}

#[gtest]
fn a_shutdown_marks_the_instance_dead_without_suspicion() {
    for seed in 0..8 {
        let mut net = converged(12, seed);
        net.act(1, Swim::leave);
        net.run(Duration::from_secs(5));
        net.events.clear();
        net.act(1, |swim, _, rng| swim.depart(rng));
        net.run(NO_WORK);
        let rest: Vec<usize> = net.numbers().filter(|it| *it != 1).collect();
        expect_that!(net.differing(&rest, &[1], State::Dead), is_empty());
        let suspected = net.count(|event| matches!(event, Event::Suspected(_)));
        expect_that!(suspected, eq(0));
    }
}

#[gtest]
fn a_list_read_only_by_the_leaving_instance_applies_everywhere() {
    for seed in 0..8 {
        let mut net = converged(12, seed);
        let list = with_standing(&net, 1, Standing::Leaving);
        net.set_list(1, &list);
        net.run(NO_WORK);
        expect_that!(net.work_targets(&all(&net), &[1]), is_empty());
    }
}

#[gtest]
fn a_list_read_only_by_another_instance_applies_there_at_once() {
    let mut net = converged(12, 1);
    let list = with_standing(&net, 1, Standing::Leaving);
    net.set_list(5, &list);
    expect_that!(net.work_targets(&[5], &[1]), is_empty());
    expect_that!(net.work_targets(&[6], &[1]).len(), eq(1));
}

#[gtest]
fn a_late_list_does_not_bring_a_leaving_instance_back() {
    let mut net = converged(12, 2);
    net.act(1, Swim::leave);
    net.run(NO_WORK);
    let list = with_standing(&net, 1, Standing::Live);
    for _ in 0..10 {
        net.set_list_all(&list);
        net.run(Duration::from_secs(10));
        expect_that!(net.work_targets(&all(&net), &[1]), is_empty());
    }
}

#[gtest]
fn a_flapping_list_keeps_the_instance_leaving_until_it_is_steady() {
    let mut net = converged(12, 3);
    let leaving = with_standing(&net, 1, Standing::Leaving);
    let live = with_standing(&net, 1, Standing::Live);
    for _ in 0..10 {
        net.set_list_all(&leaving);
        net.run(Duration::from_secs(2));
        expect_that!(net.work_targets(&all(&net), &[1]), is_empty());
        net.set_list_all(&live);
        net.run(Duration::from_secs(2));
        expect_that!(net.work_targets(&all(&net), &[1]), is_empty());
    }
    net.run(net.settings.return_hold + Duration::from_secs(5));
    expect_that!(net.work_targets(&all(&net), &[1]).len(), eq(12));
    let listed = net.count(|event| matches!(event, Event::ListedLeaving(_)));
    expect_that!(listed, eq(2));
}

#[gtest]
fn a_wrong_list_evicts_no_live_instance() {
    let mut net = converged(12, 4);
    let everyone = all(&net);
    let mut half = net.list.clone();
    half.entries.truncate(6);
    for list in [half, List::default()] {
        net.set_list_all(&list);
        net.run(Duration::from_mins(20));
        expect_that!(
            net.differing(&everyone, &everyone, State::Alive),
            is_empty()
        );
    }
}

#[gtest]
fn an_unlisted_instance_is_not_admitted_until_it_is_listed() {
    let mut net = converged(12, 5);
    let full = net.list.clone();
    let mut short = full.clone();
    short.entries.truncate(11);
    // The others restart; only the first knows the last one from the list.
    net.list = short;
    for number in 1..11 {
        net.boot(number);
    }
    net.run(Duration::from_secs(10));
    let without_last: Vec<usize> = (1..11).collect();
    expect_that!(net.work_targets(&[0], &[11]).len(), eq(1));
    expect_that!(net.work_targets(&without_last, &[11]), is_empty());
    expect_that!(
        net.differing(&without_last, &without_last, State::Alive),
        is_empty()
    );
    net.set_list_all(&full);
    net.run(Duration::from_secs(5));
    expect_that!(
        net.differing(&all(&net), &all(&net), State::Alive),
        is_empty()
    );
}

#[gtest]
fn the_table_is_bounded_against_forged_names() {
    let mut net = Net::new(2, 6);
    net.list.entries.clear();
    net.boot(0);
    for number in 0..3_000 {
        let record = Member {
            id: format!("fake-{number}"),
            incarnation: 1,
            ..net.member(1, 1).expect("the record of instance 1")
        };
        let message = Message {
            from: name(1),
            incarnation: 1,
            kind: Kind::Gossip,
            want: false,
            records: vec![record],
            vitals: Vec::new(),
        };
        net.act(0, |swim, now, rng| {
            swim.on_message(now, address(1), message, rng)
        });
    }
    let members = net.nodes[&address(0)].swim.members(net.now);
    expect_that!(members.len(), eq(1_025));
}
