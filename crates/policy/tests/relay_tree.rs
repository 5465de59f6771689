//! The relay tree: bounded fan-out, two levels, and a path around lost members.

use std::net::SocketAddr;

use citron_policy::{
    id::InstanceId,
    member::{Member, Members, State},
    relay::{FAN_OUT, parents},
};
use googletest::prelude::*;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

fn members(count: usize, replicas: usize) -> Members {
    let member = |number: usize| Member {
        id: format!("i-{number:03}"),
        domain: format!("fd-{}", number % 4),
        peer: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        callers: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        capacity: 0,
        replica: (number < replicas).then_some(number as u64 + 1),
        incarnation: 1,
        state: State::Alive,
        revision: 0,
        load: 0,
        current: true,
    };
    (0..count)
        .map(member)
        .map(|it| (it.id.clone(), it))
        .collect()
}

fn alive_ids(members: &Members) -> Vec<InstanceId> {
    let alive = members.values().filter(|it| it.state == State::Alive);
    alive.map(|it| it.id.clone()).collect()
}

/// Number of children by first parent.
fn children(members: &Members) -> IndexMap<InstanceId, usize> {
    let mut children = IndexMap::new();
    for id in alive_ids(members) {
        if let Some(parent) = parents(&id, members).into_iter().next() {
            *children.entry(parent).or_default() += 1;
        }
    }
    children
}

/// Steps from a daemon to a replica along the first parents.
fn depth(id: &InstanceId, members: &Members) -> usize {
    let mut at = id.clone();
    for depth in 0..10 {
        if members[&at].replica.is_some() {
            return depth;
        }
        at = parents(&at, members).swap_remove(0);
    }
    10
}

#[gtest]
fn twelve_daemons_follow_the_replicas_directly() {
    let members = members(12, 3);
    for id in alive_ids(&members) {
        let replicas = parents(&id, &members);
        let own = usize::from(members[&id].replica.is_some());
        expect_that!(replicas.len(), eq(3 - own));
        expect_that!(replicas.contains(&id), eq(false));
        expect_that!(
            replicas.iter().all(|it| members[it].replica.is_some()),
            eq(true)
        );
    }
}

#[gtest]
fn at_the_size_expected_in_two_years_the_tree_has_two_levels_and_bounded_fan_out() {
    for (count, replicas) in [(100, 3), (380, 3), (380, 5), (1_000, 5)] {
        let members = members(count, replicas);
        let deepest = alive_ids(&members)
            .iter()
            .map(|id| depth(id, &members))
            .max();
        expect_that!(deepest, some(le(2)));
        let most = children(&members).values().copied().max();
        let bound = if count <= 380 { FAN_OUT } else { 2 * FAN_OUT };
        expect_that!(most, some(le(bound)));
    }
}

#[gtest]
fn the_tree_survives_the_loss_of_any_third() {
    for seed in 0..16 {
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut members = members(380, 5);
        for (number, member) in members.values_mut().enumerate() {
            if number != 0 && rng.random_bool(1.0 / 3.0) {
                member.state = if rng.random_bool(0.5) {
                    State::Dead
                } else {
                    State::Suspect
                };
            }
        }
        for id in alive_ids(&members) {
            let parents = parents(&id, &members);
            let alive = parents.iter().all(|it| members[it].state == State::Alive);
            expect_that!(alive, eq(true));
            expect_that!(parents.is_empty() && id != "i-000", eq(false));
            expect_that!(depth(&id, &members), le(2));
        }
        let most = children(&members).values().copied().max();
        expect_that!(most, some(le(FAN_OUT)));
    }
}

#[gtest]
fn every_daemon_has_the_replicas_as_a_last_resort() {
    let members = members(380, 3);
    for id in alive_ids(&members) {
        let parents = parents(&id, &members);
        let replicas = parents.iter().filter(|it| members[*it].replica.is_some());
        expect_that!(replicas.count(), ge(2));
    }
}
