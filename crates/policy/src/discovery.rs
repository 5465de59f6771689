//! Which instances callers should use, best first.
//!
//! Callers ask for the list, keep it for at most its time to live and connect
//! themselves. Only instances that take new work are on it. The order is drawn
//! anew for every request, weighted by load and failure domain, so that callers
//! spread over all of them and do not meet on the one that started last: an idle
//! instance is drawn at most twice as often as one with the mean load.

use std::{net::SocketAddr, time::Duration};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    id::{DomainId, InstanceId},
    member::{Member, Members},
};

/// Longest time that callers may keep a list.
pub const MAX_TTL: Duration = Duration::from_secs(2);

/// Most instances on one list.
pub const MAX_CHOICES: usize = 16;

/// Weight of the caller's own failure domain against another one.
const NEAR_WEIGHT: f64 = 2.0;

/// One instance that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Name of the instance.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address for callers.
    pub callers: SocketAddr,
}

/// A list of instances, best first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Instances to use.
    pub choices: Vec<Choice>,
    /// How long the list may be kept.
    pub ttl: Duration,
}

/// Why no list can be given.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Refusal {
    /// This daemon cannot tell which instances take work.
    #[display("this instance is cut off from the others: ask another address")]
    CutOff,
    /// No instance takes new work.
    #[display("no instance takes new work: ask again in {} s", MAX_TTL.as_secs())]
    Empty,
}

/// What a caller said about itself.
#[derive(Clone, Debug, Default)]
pub struct Caller<'a> {
    /// Failure domain that it would rather use.
    pub domain: Option<&'a str>,
    /// Seed of its order, such as a digest of its address and request.
    pub seed: u64,
}

/// The instances that a caller should use, best first.
///
/// `current` says whether this daemon may take work itself; one that may not is
/// cut off, and what it knows of the others is too old to send callers to.
///
/// # Errors
/// A [`Refusal`] when this daemon is cut off or no instance takes work.
pub fn list(members: &Members, current: bool, caller: &Caller<'_>) -> Result<Answer, Refusal> {
    if !current {
        return Err(Refusal::CutOff);
    }
    let takers: Vec<&Member> = members.values().filter(|it| it.takes_work()).collect();
    if takers.is_empty() {
        return Err(Refusal::Empty);
    }
    let mut choices = order(&takers, caller);
    part_domains(&mut choices);
    choices.truncate(MAX_CHOICES);
    Ok(Answer {
        choices,
        ttl: MAX_TTL,
    })
}

/// A weighted random order, the same for the same seed.
fn order(takers: &[&Member], caller: &Caller<'_>) -> Vec<Choice> {
    let base = mean_load(takers) + 1.0;
    let mut drawn: Vec<(f64, &Member)> = takers
        .iter()
        .map(|member| (draw(member, base, caller), *member))
        .collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.id.cmp(&b.1.id)));
    drawn
        .into_iter()
        .map(|(_, member)| choice(member))
        .collect()
}

/// An exponential draw whose rate is the member's weight; the least comes first.
fn draw(member: &Member, base: f64, caller: &Caller<'_>) -> f64 {
    let near = caller.domain.is_some_and(|domain| domain == member.domain);
    let weight = if near { NEAR_WEIGHT } else { 1.0 } / (base + f64::from(member.load));
    -uniform(&member.id, caller.seed).ln() / weight
}

/// A number above zero and at most one, from a name and a seed.
fn uniform(id: &str, seed: u64) -> f64 {
    let [a, b, c, d, ..] = xxh3_64_with_seed(id.as_bytes(), seed).to_le_bytes();
    (f64::from(u32::from_le_bytes([a, b, c, d])) + 1.0) / (f64::from(u32::MAX) + 1.0)
}

fn mean_load(takers: &[&Member]) -> f64 {
    let sum: f64 = takers.iter().map(|it| f64::from(it.load)).sum();
    let count = u32::try_from(takers.len()).unwrap_or(u32::MAX);
    sum / f64::from(count.max(1))
}

/// Puts an instance of another failure domain second, for a caller whose first fails.
fn part_domains(choices: &mut [Choice]) {
    let Some(first) = choices.first() else {
        return;
    };
    let other = choices.iter().position(|it| it.domain != first.domain);
    if let Some(other) = other {
        choices[1..=other].rotate_right(1);
    }
}

fn choice(member: &Member) -> Choice {
    Choice {
        id: member.id.clone(),
        domain: member.domain.clone(),
        callers: member.callers,
    }
}
