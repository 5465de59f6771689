//! Which daemon hosts the arbiter of a service.
//!
//! Rendezvous hashing: every daemon computes the same order from the same
//! members, and a daemon that comes or goes moves only its own services. All the
//! daemons' messages about a service meet at one, so where some instances have
//! declared much more processor than others, those come first.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::InstanceId,
    member::{Members, State},
};

/// Part of the largest capacity from which an instance is as good a host as any.
const STRONG_PART: u32 = 2;

/// Daemons that take work, the arbiter of the shard first.
#[must_use]
pub fn host_order(service: &str, shard: u32, members: &Members) -> Vec<InstanceId> {
    let some_live = members.values().any(|it| it.state == State::Alive);
    // Where all leave, they still serve each other to the end.
    let wanted = if some_live {
        State::Alive
    } else {
        State::Leaving
    };
    let fit = || members.values().filter(|member| member.state == wanted);
    let most = fit().map(|it| it.capacity).max().unwrap_or(0);
    let mut ranked: Vec<(bool, u64, &InstanceId)> = fit()
        .map(|it| {
            let strong = it.capacity == 0 || it.capacity >= most / STRONG_PART;
            (strong, weight(service, shard, &it.id), &it.id)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(.., id)| id.clone()).collect()
}

fn weight(service: &str, shard: u32, id: &str) -> u64 {
    let mut bytes = Vec::with_capacity(service.len() + id.len() + 5);
    bytes.extend_from_slice(service.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(&shard.to_be_bytes());
    bytes.extend_from_slice(id.as_bytes());
    xxh3_64(&bytes)
}
