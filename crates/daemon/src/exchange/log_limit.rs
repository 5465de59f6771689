//! Rate limit for log lines of successful requests.
//!
//! Every refusal and failure is logged. Successful requests are logged up to a
//! rate; skipped lines are counted, and the next line gives their number.

use std::time::{Duration, Instant};

/// Time whose permits may accumulate.
const BURST: Duration = Duration::from_secs(2);

/// A token bucket of log lines.
#[derive(Debug)]
pub(super) struct Limiter {
    /// Lines per second.
    rate: f64,
    permits: f64,
    refilled: Instant,
    skipped: u64,
}

impl Limiter {
    /// A limiter with a full burst.
    pub(super) fn new(now: Instant, rate: usize) -> Self {
        let rate = f64::from(u32::try_from(rate).unwrap_or(u32::MAX));
        Self {
            rate,
            permits: rate * BURST.as_secs_f64(),
            refilled: now,
            skipped: 0,
        }
    }

    /// Takes a permit for one line; returns the number of lines skipped before it.
    pub(super) fn take(&mut self, now: Instant) -> Option<u64> {
        let elapsed = now.saturating_duration_since(self.refilled);
        let most = self.rate * BURST.as_secs_f64();
        self.permits = (self.permits + elapsed.as_secs_f64() * self.rate).min(most);
        self.refilled = now;
        if self.permits < 1.0 {
            self.skipped += 1;
            return None;
        }
        self.permits -= 1.0;
        Some(std::mem::take(&mut self.skipped))
    }
}
