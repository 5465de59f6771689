//! How long a silent arbiter is waited for.
//!
//! Load pattern: a burst makes the arbiter's answers take longer and longer. Who
//! takes that for a loss moves to another daemon, which must learn everything
//! anew under the same burst and falls behind as well. So the patience follows
//! the time that answers have taken, by their mean and mean deviation as TCP
//! follows round trips, between a bound for calm times and one for pressed ones.

use std::time::Duration;

/// Share of a new time in the mean.
const MEAN_GAIN: u32 = 8;

/// Share of a new deviation in the mean deviation.
const DEVIATION_GAIN: u32 = 4;

/// Mean deviations that an answer may be late.
const DEVIATIONS: u32 = 4;

/// Times that answers of the arbiter took.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Patience {
    mean: Option<Duration>,
    deviation: Duration,
}

impl Patience {
    /// Takes in the time from an ask to the first word about it.
    pub(super) fn add(&mut self, took: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(took);
            self.deviation = took / 2;
            return;
        };
        let off = took.abs_diff(mean);
        self.deviation = blend(self.deviation, off, DEVIATION_GAIN);
        self.mean = Some(blend(mean, took, MEAN_GAIN));
    }

    /// Time without a word after which the arbiter counts as lost.
    pub(super) fn bound(&self, least: Duration, most: Duration) -> Duration {
        let mean = self.mean.unwrap_or_default();
        (mean + self.deviation * DEVIATIONS).clamp(least, most)
    }
}

/// A mean with one part of `gain` from a new value.
fn blend(mean: Duration, new: Duration, gain: u32) -> Duration {
    (mean * (gain - 1) + new) / gain
}
