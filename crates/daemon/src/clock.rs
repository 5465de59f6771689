//! Clock for leases, which includes time spent suspended.
//!
//! The monotonic clock stops while an instance is suspended, so a lease measured by
//! it would last longer than other instances assume. The boot-time clock keeps running.

use std::{
    sync::OnceLock,
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};

/// Readings of the monotonic and the boot-time clock at the first call.
static START: OnceLock<(Instant, Duration)> = OnceLock::new();

/// The current time, including time spent suspended.
///
/// Falls back to the monotonic clock if the system has no boot-time clock.
#[must_use]
pub fn now() -> Instant {
    let Some(boot_time) = since_boot() else {
        return Instant::now();
    };
    let (start, boot_time_at_start) = *START.get_or_init(|| (Instant::now(), boot_time));
    start + boot_time.saturating_sub(boot_time_at_start)
}

/// CPU time used by this process; zero if the system does not report it.
#[must_use]
pub fn process_time() -> Duration {
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

fn since_boot() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .ok()
        .map(Duration::from)
}
