//! The ordered list of instances that callers should connect to.
//!
//! Callers fetch the list, cache it for at most its TTL and connect to instances
//! directly. Only instances that accept new work are listed. The order is a
//! weighted random one for each request, by load and failure domain, so that
//! callers spread over all instances instead of flooding the newest one: an idle
//! instance is chosen at most twice as often as one with the mean load.
//!
//! Load pattern: daemons with 0.09 to 0.32 of a core, some slowed for a while by what else runs on
//! their machines. With as many callers at each, the weak ones use up their share of the CPU and
//! their requests wait. Where daemons share their machines, the weight of an instance is therefore
//! its declared capacity, lowered by the requests in progress there for that capacity: more
//! than elsewhere are the sign of a daemon that is slow now.

use std::{net::SocketAddr, time::Duration};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    id::{DomainId, InstanceId},
    member::{Member, Members},
};

/// Maximum time for which callers may cache a list.
pub const MAX_TTL: Duration = Duration::from_secs(2);

/// Maximum number of instances in one list.
pub const MAX_CHOICES: usize = 16;

/// Weight of an instance in the caller's failure domain; in others it is 1.
const SAME_DOMAIN_WEIGHT: f64 = 2.0;

/// Delay of an instance's event loop at which its reported load is twice its requests in progress.
/// In the replays of `uneven_daemons.rs` a daemon slowed five times had half the added latency
/// with it that it had with 5 ms.
const DELAY_UNIT: Duration = Duration::from_micros(500);

/// Largest factor on the requests in progress of a delayed instance.
const MAX_DELAY_FACTOR: f64 = 50.0;

/// One instance that a caller may connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Name of the instance.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address of the caller listener.
    pub callers: SocketAddr,
}

/// A list of instances, in order of preference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Instances, preferred first.
    pub choices: Vec<Choice>,
    /// How long the list may be cached.
    pub ttl: Duration,
}

/// Why no list is available.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Refusal {
    /// This daemon does not know which instances accept work.
    #[display("this instance is cut off from the others: ask another address")]
    CutOff,
    /// No instance accepts new work.
    #[display("no instance takes new work: ask again in {} s", MAX_TTL.as_secs())]
    Empty,
}

/// Properties of a caller that determine its list.
#[derive(Clone, Debug, Default)]
pub struct Caller<'a> {
    /// Preferred failure domain.
    pub domain: Option<&'a str>,
    /// Seed of the random order, such as a digest of the caller's address and request.
    pub seed: u64,
    /// Whether daemons share their machines with others, so that callers are spread by
    /// capacity.
    pub by_capacity: bool,
}

/// The instances that a caller should connect to, in order of preference.
///
/// `current` says whether this daemon may accept work itself. One that may not is
/// partitioned, and its membership view is too old to direct callers by.
///
/// # Errors
/// A [`Refusal`] if this daemon is partitioned or no instance accepts work.
pub fn list(members: &Members, current: bool, caller: &Caller<'_>) -> Result<Answer, Refusal> {
    if !current {
        return Err(Refusal::CutOff);
    }
    let candidates: Vec<&Member> = members.values().filter(|it| it.takes_work()).collect();
    if candidates.is_empty() {
        return Err(Refusal::Empty);
    }
    let mut choices = weighted_order(&candidates, caller);
    diversify_domains(&mut choices);
    choices.truncate(MAX_CHOICES);
    Ok(Answer {
        choices,
        ttl: MAX_TTL,
    })
}

/// Load that an instance reports where daemons share their machines: its requests in progress,
/// raised by the mean delay of its event loop. Most requests in progress wait for their runners, so
/// that their number alone hardly shows a slow daemon before it is overloaded.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float is cut to the integer's range"
)]
pub fn delayed_load(in_progress: u32, delay: Duration) -> u32 {
    let factor = 1.0 + delay.as_secs_f64() / DELAY_UNIT.as_secs_f64();
    ((f64::from(in_progress) + 1.0) * factor.min(MAX_DELAY_FACTOR)) as u32
}

/// A weighted random order, deterministic for a seed.
fn weighted_order(candidates: &[&Member], caller: &Caller<'_>) -> Vec<Choice> {
    let load_offset = mean_load(candidates) + 1.0;
    let capacity = mean_capacity(candidates).filter(|_| caller.by_capacity);
    let weight = |member: &Member| match capacity {
        Some(mean) => capacity_weight(member, load_offset, mean),
        None => 1.0 / (load_offset + f64::from(member.load)),
    };
    let mut sampled: Vec<(f64, &Member)> = candidates
        .iter()
        .map(|member| (sample(member, weight(member), caller), *member))
        .collect();
    sampled.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.id.cmp(&b.1.id)));
    sampled
        .into_iter()
        .map(|(_, member)| choice(member))
        .collect()
}

/// An exponential variate whose rate is the member's weight; the smallest is listed first.
fn sample(member: &Member, weight: f64, caller: &Caller<'_>) -> f64 {
    let same_domain = caller.domain.is_some_and(|domain| domain == member.domain);
    let factor = if same_domain { SAME_DOMAIN_WEIGHT } else { 1.0 };
    -uniform(&member.id, caller.seed).ln() / (factor * weight)
}

/// Capacity of an instance relative to the mean, lowered by its load for that capacity.
fn capacity_weight(member: &Member, load_offset: f64, mean: f64) -> f64 {
    let capacity = f64::from(member.capacity) / mean;
    let load = f64::from(member.load) / capacity;
    capacity / (load_offset + load)
}

/// Mean capacity, if all instances declare one and they differ.
fn mean_capacity(candidates: &[&Member]) -> Option<f64> {
    let first = candidates.first()?.capacity;
    let differ = candidates.iter().any(|it| it.capacity != first);
    let declared = candidates.iter().all(|it| it.capacity > 0);
    let sum: f64 = candidates.iter().map(|it| f64::from(it.capacity)).sum();
    let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
    (differ && declared).then(|| sum / f64::from(count))
}

/// A uniform variate in (0, 1], derived from a name and a seed.
fn uniform(id: &str, seed: u64) -> f64 {
    let [a, b, c, d, ..] = xxh3_64_with_seed(id.as_bytes(), seed).to_le_bytes();
    (f64::from(u32::from_le_bytes([a, b, c, d])) + 1.0) / (f64::from(u32::MAX) + 1.0)
}

fn mean_load(candidates: &[&Member]) -> f64 {
    let sum: f64 = candidates.iter().map(|it| f64::from(it.load)).sum();
    let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
    sum / f64::from(count.max(1))
}

/// Moves an instance of another failure domain to second place, as the fallback
/// of a caller whose first choice fails.
fn diversify_domains(choices: &mut [Choice]) {
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
