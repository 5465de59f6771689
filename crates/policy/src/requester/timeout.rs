//! How long a silent arbiter is waited for.
//!
//! Load pattern: a burst makes the arbiter's answers take longer and longer. Who
//! takes that for a loss moves to another daemon, which must learn everything
//! anew under the same burst and falls behind as well. So the patience follows
//! the time that answers have taken, by their mean and mean deviation as TCP
//! follows round trips, between a bound for calm times and one for pressed ones.

use std::time::Duration;

/// Share of a new time in the mean.
const MEAN_DIVISOR: u32 = 8;

/// Share of a new deviation in the mean deviation.
const DEVIATION_DIVISOR: u32 = 4;

/// Mean deviations that an answer may be late.
const DEVIATION_FACTOR: u32 = 4;

/// Times that answers of the arbiter took.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimator {
    mean: Option<Duration>,
    deviation: Duration,
}

impl Estimator {
    /// Takes in the time from an ask to the first word about it.
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

    /// Time without a word after which the arbiter counts as lost.
    pub(super) fn timeout(&self, min: Duration, max: Duration) -> Duration {
        let mean = self.mean.unwrap_or_default();
        (mean + self.deviation * DEVIATION_FACTOR).clamp(min, max)
    }
}

/// Exponentially weighted mean that gives the new value a weight of `1 / divisor`.
fn ewma(mean: Duration, new: Duration, divisor: u32) -> Duration {
    (mean * (divisor - 1) + new) / divisor
}
