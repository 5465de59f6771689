//! Choice of an arbiter's host when some daemons have much more processor than others.

use std::net::SocketAddr;

use citron_policy::{
    arbiter::host_order,
    member::{Member, Members, State},
};
use googletest::prelude::*;

fn members(capacities: &[u32]) -> Members {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let member = |(number, capacity): (usize, &u32)| Member {
        id: format!("front-{number}"),
        domain: "zone".to_owned(),
        peer: address,
        callers: address,
        capacity: *capacity,
        replica: None,
        incarnation: 1,
        state: State::Alive,
        revision: 0,
        load: 0,
        current: true,
    };
    let all = capacities.iter().enumerate().map(member);
    all.map(|it| (it.id.clone(), it)).collect()
}

fn services() -> impl Iterator<Item = String> {
    (0..20).map(|number| format!("service-{number}"))
}

/// A burst at an arbiter with many runners needs more processor than an instance with
/// an eighth of a core has; some instances have several times as much.
#[gtest]
fn instances_with_more_processor_host_arbiters_first() {
    let mut capacities = vec![120; 86];
    capacities.extend([320; 5]);
    let mut members = members(&capacities);
    for service in services() {
        let ranks = host_order(&service, 0, &members);
        expect_that!(ranks.len(), eq(91));
        let strong = ranks.iter().take(5);
        expect_true!(strong.map(|it| &members[it]).all(|it| it.capacity == 320));
    }
    // When those instances are lost, the others host the arbiters.
    for member in members.values_mut().filter(|it| it.capacity == 320) {
        member.state = State::Dead;
    }
    expect_that!(host_order("service-0", 0, &members).len(), eq(86));
}

/// Instances of similar or unknown capacity share the arbiters.
#[gtest]
fn instances_of_similar_capacity_share_the_arbiters() {
    for capacities in [vec![450, 450, 450, 250, 250, 250, 250, 250], vec![0; 8]] {
        let members = members(&capacities);
        let mut hosts: Vec<String> = services()
            .map(|it| host_order(&it, 0, &members)[0].clone())
            .collect();
        hosts.sort();
        hosts.dedup();
        expect_that!(hosts.len(), ge(5), "{capacities:?}");
    }
}
