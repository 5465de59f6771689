//! The time by which leases run.
//!
//! The steady clock stands still while an instance is suspended, so that a
//! lease measured by it would outlive its promise. The boot-time clock goes on.

use std::{
    sync::OnceLock,
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};

/// Readings of both clocks at the first call.
static START: OnceLock<(Instant, Duration)> = OnceLock::new();

/// The present time, suspensions included.
///
/// Falls back to the steady clock where the system has no boot-time clock.
#[must_use]
pub fn now() -> Instant {
    let Some(booted) = since_boot() else {
        return Instant::now();
    };
    let (start, at_start) = *START.get_or_init(|| (Instant::now(), booted));
    start + booted.saturating_sub(at_start)
}

/// Processor time that the process has used; zero where the system does not tell.
#[must_use]
pub fn process_time() -> Duration {
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

fn since_boot() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .ok()
        .map(Duration::from)
}
