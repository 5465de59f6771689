//! Times and bounds of the membership protocol.

use std::time::Duration;

/// Most other instances known at once, the dead included.
pub const MAX_MEMBERS: usize = 1_024;

/// How far ahead of the own wall clock an incarnation may be, in milliseconds;
/// ten years.
///
/// The bound moves with the clock, so a record just below it is soon refuted.
pub const MAX_AHEAD_MS: u64 = 10 * 365 * 86_400_000;

/// Members up to which probes go at the fast rate.
const SMALL_CLUSTER_MEMBERS: usize = 48;

/// Share of the members lost at once above which suspicions wait longer.
const MASS_LOSS_DIVISOR: usize = 3;

/// Factor by which suspicions wait longer after a mass loss.
const MASS_LOSS_FACTOR: u32 = 4;

/// Times and bounds of the membership protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between two calls of the tick.
    pub tick: Duration,
    /// Time between two probes while the members are few.
    pub small_probe_interval: Duration,
    /// Time between two probes while they are many.
    pub large_probe_interval: Duration,
    /// Wait for the answer to a direct probe.
    pub probe_timeout: Duration,
    /// Wait for the answers to a direct probe and then to the indirect ones.
    pub total_probe_timeout: Duration,
    /// Others that are asked to probe for this daemon.
    pub proxies: usize,
    /// Time for a suspected instance to refute it.
    pub suspicion_timeout: Duration,
    /// Time between two attempts to reach an instance that is not alive.
    pub rejoin_interval: Duration,
    /// Time between two comparisons of tables.
    pub sync_interval: Duration,
    /// Others that news is pushed to at once.
    pub fanout: usize,
    /// Others that the own leaving is pushed to at once.
    pub leave_fanout: usize,
    /// Changing fields of others in one datagram, the own included.
    pub max_vitals: usize,
    /// Time between two showings of changed loads and revisions.
    pub publish_interval: Duration,
    /// Silence after which this daemon holds itself cut off.
    pub isolation_timeout: Duration,
    /// Gap between two ticks that means that the process was stopped.
    pub stall_threshold: Duration,
    /// Time after which the dead are forgotten.
    pub forget_after: Duration,
    /// Time on the platform's list as live before a listed leaving is taken back.
    pub return_hold: Duration,
    /// Time that a departed name on the platform's list may still be admitted.
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
    /// Time between two probes with so many members.
    #[must_use]
    pub fn probe_interval(&self, members: usize) -> Duration {
        if members <= SMALL_CLUSTER_MEMBERS {
            self.small_probe_interval
        } else {
            self.large_probe_interval
        }
    }

    /// How often one piece of news is sent by one daemon.
    #[must_use]
    pub fn transmissions(&self, members: usize) -> u32 {
        2 * (usize::BITS - members.leading_zeros()).max(1)
    }

    /// Time between two datings of the own changing fields.
    #[must_use]
    pub fn vitals_interval(&self, members: usize) -> Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        (Duration::from_millis(50) * members).max(Duration::from_secs(1))
    }

    /// Time for a suspected instance to refute it, with so many suspected.
    #[must_use]
    pub fn scaled_suspicion_timeout(&self, suspected: usize, members: usize) -> Duration {
        if suspected * MASS_LOSS_DIVISOR > members {
            self.suspicion_timeout * MASS_LOSS_FACTOR
        } else {
            self.suspicion_timeout
        }
    }
}
