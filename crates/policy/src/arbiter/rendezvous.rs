//! Choice of the daemon that hosts the arbiter of a service, by rendezvous hashing.
//!
//! Every daemon computes the same order from the same members, and a daemon that
//! joins or leaves moves only its own services. The host receives the messages of
//! all daemons about the service, so instances that declare much more processor
//! capacity than others come first.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{DomainId, InstanceId},
    member::{Members, State},
};

/// Instances with at least the largest capacity divided by this rank equally as hosts.
const CAPACITY_DIVISOR: u32 = 2;

/// Daemons that can host the shard's arbiter, the preferred one first.
#[must_use]
pub fn host_order(service: &str, shard: u32, members: &Members) -> Vec<InstanceId> {
    let some_live = members.values().any(|it| it.state == State::Alive);
    // If all members are leaving, they still serve each other until they exit.
    let wanted = if some_live {
        State::Alive
    } else {
        State::Leaving
    };
    let fit = || members.values().filter(|member| member.state == wanted);
    let most = fit().map(|it| it.capacity).max().unwrap_or(0);
    let mut ranked: Vec<(bool, u64, &InstanceId)> = fit()
        .map(|it| {
            let strong = it.capacity == 0 || it.capacity >= most / CAPACITY_DIVISOR;
            (strong, weight(service, shard, &it.id), &it.id)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(.., id)| id.clone()).collect()
}

/// Daemons that keep copies for the host of a shard's arbiter, in turns. Those that
/// follow each other are in different failure domains where that is possible, the host's
/// own domain last.
#[must_use]
pub fn standbys(
    host: &InstanceId,
    ranks: &[InstanceId],
    domains: &IndexMap<InstanceId, DomainId>,
) -> Vec<InstanceId> {
    let mut places: IndexMap<Option<&DomainId>, usize> = IndexMap::new();
    let others = ranks.iter().filter(|it| *it != host);
    let mut ordered: Vec<(usize, bool, &InstanceId)> = others
        .map(|it| {
            let domain = domains.get(it);
            let place = places.entry(domain).or_default();
            *place += 1;
            (*place, domain == domains.get(host), it)
        })
        .collect();
    ordered.sort_by_key(|(place, is_own, _)| (*place, *is_own));
    ordered.into_iter().map(|(.., it)| it.clone()).collect()
}

fn weight(service: &str, shard: u32, id: &str) -> u64 {
    let mut bytes = Vec::with_capacity(service.len() + id.len() + 5);
    bytes.extend_from_slice(service.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(&shard.to_be_bytes());
    bytes.extend_from_slice(id.as_bytes());
    xxh3_64(&bytes)
}
