//! Adaptive timeout for answers of an arbiter.
//!
//! Load pattern: a burst makes the arbiter's answers slower and slower. A requester
//! that mistakes this for a failure moves to another daemon, which must rebuild all
//! state under the same burst and falls behind as well. The timeout therefore follows
//! the mean and mean deviation of the answer times, as TCP's retransmission timeout
//! follows round-trip times, between a lower bound for low load and an upper bound for
//! high load.

use std::time::Duration;

/// Reciprocal of the weight of a new time in the mean.
const MEAN_DIVISOR: u32 = 8;

/// Reciprocal of the weight of a new deviation in the mean deviation.
const DEVIATION_DIVISOR: u32 = 4;

/// Mean deviations by which an answer may exceed the mean.
const DEVIATION_FACTOR: u32 = 4;

/// Mean and mean deviation of the arbiter's answer times.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimator {
    mean: Option<Duration>,
    deviation: Duration,
}

impl Estimator {
    /// Records the time from an ask to the first reply about it.
    pub(super) fn add(&mut self, took: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(took);
            self.deviation = took / 2;
            return;
        };
        let off = took.abs_diff(mean);
        self.deviation = ewma(self.deviation, off, DEVIATION_DIVISOR);
        self.mean = Some(ewma(mean, took, MEAN_DIVISOR));
    }

    /// Time without an answer after which the arbiter is considered unreachable.
    pub(super) fn timeout(&self, min: Duration, max: Duration) -> Duration {
        let mean = self.mean.unwrap_or_default();
        (mean + self.deviation * DEVIATION_FACTOR).clamp(min, max)
    }
}

/// Exponentially weighted mean that gives the new value a weight of `1 / divisor`.
fn ewma(mean: Duration, new: Duration, divisor: u32) -> Duration {
    (mean * (divisor - 1) + new) / divisor
}
