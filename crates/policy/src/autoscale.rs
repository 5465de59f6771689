//! Orders of runners: how many of each kind a service is to have in each failure domain.
//!
//! Load pattern: load comes in waves, with bursts of some seconds that are as short as
//! the time until a new runner serves. Reclaimable runners cost a fraction of stable
//! ones, but the platform takes all those of a failure domain back at once, and at
//! times has none. Reports may be missing, and the holder that decides may be new.
//!
//! The host of a service's arbiter reports [`Demand`]; the holder of the duties feeds it
//! to one [`Planner`] per service, which returns [`Order`]s and takes their [`Outcome`]s.
//!
//! Need. The load is the number of usable runners times the largest of three
//! utilizations, each divided by its target ([`Settings`]), and raised by the share of
//! requests that were refused. It is smoothed over 2 s. The need is the maximum of the
//! smoothed load over 10 s, so that it falls late; it rises at once if the load has been
//! above it for half of the time until a runner serves, and not for shorter bursts. It is
//! what was present until load is seen, and at least three quarters of that for 20 s more:
//! the load of a few seconds does not tell that of a wave.
//!
//! Reclaimable runners first. They are spread evenly, the cheapest domain first, so
//! that without the domain that has the most, the others still carry the need beyond
//! the stable runners that are kept in any case. Each domain keeps the minimum of them.
//!
//! Stable runners are dropped, to no less than the minimum of each domain, as far as
//! reclaimable ones that are ready carry the need, and what is left of these without the
//! domain that has the most carries the urgent tiers; at most a quarter per 1.5 s. They
//! are added only for the need of the urgent tiers that reclaimable ones cannot carry,
//! since those are refused, taken back or at the maximum; the cheapest domain comes first.
//!
//! Nothing is ordered down before reports have come for 10 s without a gap, nor while
//! none come. A kind that a domain refuses or takes back is left out there for 5 s. What
//! is wanted is a state, not a queue: an order that got no answer is sent again with the
//! number wanted by then.

mod demand;
mod need;
mod planner;
mod site;
mod spread;

use std::time::Duration;

pub use demand::{Count, Demand, Fleet};
pub use planner::{Known, Planner, Reason};

use crate::id::{DomainId, ServiceId};

/// The number of runners of one kind that a service is to have in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: ServiceId,
    /// The failure domain.
    pub domain: DomainId,
    /// Whether reclaimable runners are ordered; each kind has its own number.
    pub reclaimable: bool,
    /// Number of runners.
    pub desired: u32,
}

/// Answer of the platform to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The order is in force.
    Accepted,
    /// No runner of that kind is available in that domain.
    Unavailable,
    /// No answer, or one that says nothing about the order.
    Failed,
}

/// Targets and durations of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Share of runners with a prompt to prefill. At one half, a prompt finds an idle
    /// runner as often as not, so that first tokens rarely wait for another prompt.
    pub prefill_target: f64,
    /// Share of slots in use. The rest takes a wave until new runners serve.
    pub slot_target: f64,
    /// Share of memory in use. Runners preempt requests when it is full, and answers
    /// grow while they run.
    pub memory_target: f64,
    /// Time constant of the smoothed load.
    pub smoothing: Duration,
    /// Time for which the highest load counts, and for which reports must have come
    /// before anything is ordered down.
    pub hold: Duration,
    /// Time after load was first seen in which the need is at least `cautious_share`.
    pub cautious: Duration,
    /// Share of the runners present before load was seen.
    pub cautious_share: f64,
    /// Shortest time between two steps down.
    pub step_interval: Duration,
    /// Largest part of the runners, or of the difference, in one step down.
    pub step_share: f64,
    /// Time for which a kind is left out in a domain that refused it or took it back.
    pub exclusion: Duration,
    /// Time after the usual start of a runner at which a missing one is given up.
    pub overdue: Duration,
    /// Time without a report after which nothing is known of the service.
    pub silence: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_target: 0.5,
            slot_target: 0.6,
            memory_target: 0.6,
            smoothing: Duration::from_secs(2),
            hold: Duration::from_secs(10),
            cautious: Duration::from_secs(20),
            cautious_share: 0.75,
            step_interval: Duration::from_millis(1_500),
            step_share: 0.25,
            exclusion: Duration::from_secs(5),
            overdue: Duration::from_secs(6),
            silence: Duration::from_secs(2),
        }
    }
}

/// A number of runners, as a share can be taken of it.
fn to_f64(count: u32) -> f64 {
    f64::from(count)
}

/// The next whole number of runners.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float is cut to the integer's range"
)]
fn whole(count: f64) -> u32 {
    // Guards against a sum that exceeds a whole number by a rounding error.
    (count - 1e-9).ceil() as u32
}
