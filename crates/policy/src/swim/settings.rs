//! Timeouts and limits of the membership protocol.

use std::time::Duration;

/// Maximum number of other instances known at once, including dead ones.
pub const MAX_MEMBERS: usize = 1_024;

/// How far ahead of the local wall clock an incarnation may be, in milliseconds;
/// ten years.
///
/// The bound moves with the clock, so that even a record just below it can soon be
/// refuted.
pub const MAX_AHEAD_MS: u64 = 10 * 365 * 86_400_000;

/// Members up to which [`Settings::small_probe_interval`] applies.
const SMALL_CLUSTER_MEMBERS: usize = 48;

/// A mass loss is when more than one in this many members is suspected at once.
const MASS_LOSS_DIVISOR: usize = 3;

/// Factor on the suspicion timeout during a mass loss.
const MASS_LOSS_FACTOR: u32 = 4;

/// Timeouts and limits of the membership protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between two calls of [`Swim::tick`](super::Swim::tick).
    pub tick: Duration,
    /// Time between two probes in a small cluster.
    pub small_probe_interval: Duration,
    /// Time between two probes in a large cluster.
    pub large_probe_interval: Duration,
    /// Time to wait for the answer to one probe, direct or on behalf of another.
    pub probe_timeout: Duration,
    /// Time from the start of a direct probe to the end of its indirect ones.
    pub total_probe_timeout: Duration,
    /// Number of members asked for an indirect probe.
    pub proxies: usize,
    /// Time for a suspected instance to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Time between two attempts to reach an unreachable instance.
    pub rejoin_interval: Duration,
    /// Time between two table comparisons.
    pub sync_interval: Duration,
    /// The same while many members are not known to hold a proof.
    pub unsettled_sync_interval: Duration,
    /// Number of members that new records are pushed to at once.
    pub fanout: usize,
    /// Number of members that this daemon's leaving is pushed to at once.
    pub leave_fanout: usize,
    /// Maximum vitals in one datagram, including this daemon's own.
    pub max_vitals: usize,
    /// Time between two publications of changed loads and revisions.
    pub publish_interval: Duration,
    /// Time without any message after which this daemon considers itself isolated.
    pub isolation_timeout: Duration,
    /// Gap between two ticks above which the process counts as stopped.
    pub stall_threshold: Duration,
    /// Time after which a dead member is removed.
    pub forget_after: Duration,
    /// Time that an instance listed as leaving must be listed as live again to count
    /// as live.
    pub return_hold: Duration,
    /// Time that an instance may still be admitted after it left the platform's list.
    pub list_grace: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(100),
            small_probe_interval: Duration::from_millis(250),
            large_probe_interval: Duration::from_millis(300),
            probe_timeout: Duration::from_millis(150),
            total_probe_timeout: Duration::from_millis(500),
            proxies: 3,
            suspicion_timeout: Duration::from_secs(5),
            rejoin_interval: Duration::from_secs(1),
            sync_interval: Duration::from_secs(5),
            unsettled_sync_interval: Duration::from_millis(500),
            fanout: 3,
            leave_fanout: 8,
            max_vitals: 10,
            publish_interval: Duration::from_millis(250),
            isolation_timeout: Duration::from_secs(3),
            stall_threshold: Duration::from_millis(500),
            forget_after: Duration::from_mins(10),
            return_hold: Duration::from_secs(5),
            list_grace: Duration::from_mins(10),
        }
    }
}

impl Settings {
    /// Time between two probes in a cluster of this size.
    #[must_use]
    pub fn probe_interval(&self, members: usize) -> Duration {
        if members <= SMALL_CLUSTER_MEMBERS {
            self.small_probe_interval
        } else {
            self.large_probe_interval
        }
    }

    /// Transmissions of one record by one daemon.
    #[must_use]
    pub fn transmissions(&self, members: usize) -> u32 {
        2 * (usize::BITS - members.leading_zeros()).max(1)
    }

    /// Time between two timestamps of this daemon's vitals.
    #[must_use]
    pub fn vitals_interval(&self, members: usize) -> Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        (Duration::from_millis(50) * members).max(Duration::from_secs(1))
    }

    /// Suspicion timeout while this many members are suspected at once.
    #[must_use]
    pub fn scaled_suspicion_timeout(&self, suspected: usize, members: usize) -> Duration {
        if suspected * MASS_LOSS_DIVISOR > members {
            self.suspicion_timeout * MASS_LOSS_FACTOR
        } else {
            self.suspicion_timeout
        }
    }
}
