//! Which daemon hosts the arbiter of a service.
//!
//! Rendezvous hashing: every daemon computes the same order from the same
//! members, and a daemon that comes or goes moves only its own services.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::InstanceId,
    member::{Members, State},
};

/// Daemons that take work, the arbiter of the shard first.
#[must_use]
pub fn order(service: &str, shard: u32, members: &Members) -> Vec<InstanceId> {
    let some_live = members.values().any(|it| it.state == State::Alive);
    // Where all leave, they still serve each other to the end.
    let wanted = if some_live {
        State::Alive
    } else {
        State::Leaving
    };
    let mut ranked: Vec<(u64, &InstanceId)> = members
        .values()
        .filter(|member| member.state == wanted)
        .map(|member| (weight(service, shard, &member.id), &member.id))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, id)| id.clone()).collect()
}

fn weight(service: &str, shard: u32, id: &str) -> u64 {
    let mut bytes = Vec::with_capacity(service.len() + id.len() + 5);
    bytes.extend_from_slice(service.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(&shard.to_be_bytes());
    bytes.extend_from_slice(id.as_bytes());
    xxh3_64(&bytes)
}
