//! Runners that are ordered and do not serve yet, in what refused callers are told.
//!
//! Load pattern: a burst fills the queue some seconds before the runners that were
//! ordered for it serve. A retry delay by the present capacity alone would send callers
//! away for longer than they need to stay.

use std::time::{Duration, Instant};

use super::Arbiter;

/// Shortest and longest retry delay in a refusal.
const RETRY_AFTER_BOUNDS: [Duration; 2] = [Duration::from_millis(250), Duration::from_secs(30)];

/// Orders in force.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Arrivals {
    ordered: u32,
    /// When the number last rose.
    since: Option<Instant>,
}

impl Arrivals {
    pub(super) fn on_ordered(&mut self, now: Instant, ordered: u32) {
        if ordered > self.ordered {
            self.since = Some(now);
        }
        self.ordered = ordered;
    }
}

impl Arbiter {
    /// Time until runners that are ordered serve, and their number; none if they are late,
    /// since then nothing is known of them.
    fn arriving(&self, now: Instant) -> Option<(Duration, u32)> {
        let boot = self.declared_service()?.scaling.as_ref()?.boot;
        let left = (self.arrivals.since? + boot).checked_duration_since(now)?;
        let ready = self.pool.runners().filter(|it| !it.leaving).count();
        let ready = u32::try_from(ready).unwrap_or(u32::MAX);
        let missing = self.arrivals.ordered.saturating_sub(ready);
        (missing > 0).then_some((left, missing))
    }

    /// Retry delay for an estimated wait: what is left of it when more runners serve takes
    /// less by the share that these add.
    pub(super) fn with_arrivals(&self, wait: Duration) -> Duration {
        let arriving = self.arriving(self.last_tick);
        let wait = match arriving.filter(|(left, _)| *left < wait) {
            Some((left, missing)) => {
                let usable = u32::try_from(self.pool.usable()).unwrap_or(u32::MAX);
                let share = f64::from(usable) / f64::from(usable.saturating_add(missing));
                left + wait.saturating_sub(left).mul_f64(share)
            }
            None => wait,
        };
        wait.clamp(RETRY_AFTER_BOUNDS[0], RETRY_AFTER_BOUNDS[1])
    }

    /// Retry delay while no runner is usable. One that is listed may be back before those
    /// that are ordered.
    pub(super) fn without_runner(&self, now: Instant) -> Duration {
        let is_empty = self.pool.runners().all(|it| it.leaving);
        match self.arriving(now).filter(|_| is_empty) {
            Some((left, _)) => left.max(RETRY_AFTER_BOUNDS[0]),
            None => self.pool.retry_after(now),
        }
    }
}
