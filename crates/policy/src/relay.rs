//! Relay tree of the feed: which daemon follows which.
//!
//! In a small cluster all daemons follow the control replicas directly. In a large
//! one, a fixed number of relays, chosen by the hash of their names, follows the
//! replicas, and every other daemon follows a relay. The tree needs no agreement:
//! each daemon derives its parents from its own view of the members. A wrong
//! choice only costs a second try, since proofs of currency can only age on the way.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    id::InstanceId,
    member::{Member, Members, State},
};

/// Maximum cluster size without relays, and maximum number of relays.
pub const FAN_OUT: usize = 32;

/// Relays that a daemon tries before the replicas.
const RELAY_TRIES: usize = 4;

/// Daemons to follow, best first.
#[must_use]
pub fn parents(me: &InstanceId, members: &Members) -> Vec<InstanceId> {
    let others = || members.values().filter(|it| it.id != *me && reachable(it));
    let mut replicas: Vec<&Member> = others().filter(|it| it.replica.is_some()).collect();
    sort_parents(me, &mut replicas);
    let is_replica = members.get(me).is_some_and(|it| it.replica.is_some());
    if is_replica || members.len() <= FAN_OUT {
        return names(&replicas);
    }
    let mut relays = relays(members);
    if relays.iter().any(|it| it.id == *me) {
        return names(&replicas);
    }
    sort_parents(me, &mut relays);
    relays.truncate(RELAY_TRIES);
    relays.extend(replicas);
    names(&relays)
}

/// Relays; equal members give equal relays.
fn relays(members: &Members) -> Vec<&Member> {
    let mut relays: Vec<&Member> = members
        .values()
        .filter(|it| it.replica.is_none() && it.state == State::Alive)
        .collect();
    relays.sort_by_cached_key(|it| (xxh3_64(it.id.as_bytes()), it.id.clone()));
    relays.truncate(FAN_OUT);
    relays
}

fn reachable(member: &Member) -> bool {
    matches!(member.state, State::Alive | State::Leaving)
}

/// Orders parents by a hash seeded with `me`, to spread the children; leaving ones
/// come last.
fn sort_parents(me: &str, parents: &mut [&Member]) {
    let seed = xxh3_64(me.as_bytes());
    parents.sort_by_cached_key(|it| {
        let leaving = it.state != State::Alive;
        (leaving, xxh3_64_with_seed(it.id.as_bytes(), seed))
    });
}

fn names(members: &[&Member]) -> Vec<InstanceId> {
    members.iter().map(|it| it.id.clone()).collect()
}
