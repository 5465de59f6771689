//! How many calm requests leave a line in the log.
//!
//! Every refusal and failure is told. Requests that go as they should are told
//! up to a rate; what is left out is counted, and the next line says how many.

use std::time::Instant;

/// Lines a second for requests that go as they should; two for each request at
/// the share of one of a dozen daemons on a busy day.
const RATE: f64 = 100.0;

/// Lines that may come at once.
const BURST: f64 = 200.0;

/// A rate of lines.
#[derive(Debug)]
pub(super) struct Sample {
    left: f64,
    filled: Instant,
    skipped: u64,
}

impl Sample {
    /// A rate that has its whole burst.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            left: BURST,
            filled: now,
            skipped: 0,
        }
    }

    /// Whether a line may be written now; if so, how many were left out before it.
    pub(super) fn take(&mut self, now: Instant) -> Option<u64> {
        let passed = now.saturating_duration_since(self.filled);
        self.left = (self.left + passed.as_secs_f64() * RATE).min(BURST);
        self.filled = now;
        if self.left < 1.0 {
            self.skipped += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.skipped))
    }
}
