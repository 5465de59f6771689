//! How many calm requests leave a line in the log.
//!
//! Every refusal and failure is told. Requests that go as they should are told
//! up to a rate; what is left out is counted, and the next line says how many.

use std::time::{Duration, Instant};

/// Time whose lines may come at once.
const BURST: Duration = Duration::from_secs(2);

/// A rate of lines.
#[derive(Debug)]
pub(super) struct Sample {
    /// Lines a second.
    rate: f64,
    left: f64,
    filled: Instant,
    skipped: u64,
}

impl Sample {
    /// A rate that has its whole burst.
    pub(super) fn new(now: Instant, rate: usize) -> Self {
        let rate = f64::from(u32::try_from(rate).unwrap_or(u32::MAX));
        Self {
            rate,
            left: rate * BURST.as_secs_f64(),
            filled: now,
            skipped: 0,
        }
    }

    /// Whether a line may be written now; if so, how many were left out before it.
    pub(super) fn take(&mut self, now: Instant) -> Option<u64> {
        let passed = now.saturating_duration_since(self.filled);
        let most = self.rate * BURST.as_secs_f64();
        self.left = (self.left + passed.as_secs_f64() * self.rate).min(most);
        self.filled = now;
        if self.left < 1.0 {
            self.skipped += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.skipped))
    }
}
