//! Estimates of run and wait times from past requests.
//!
//! Output lengths are unknown in advance, so a histogram per class records recent
//! ones. Old samples lose weight as new ones arrive.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{catalogue::URGENCY_LEVELS, id::ClassId};

/// Buckets of output length, each twice as long as the one before.
const BUCKETS: usize = 18;

/// Number of samples at which all counts of a histogram are halved.
const HALVE_AT_SAMPLES: u32 = 512;

/// Most classes with a histogram.
const MAX_CLASSES: usize = 4_096;

/// Weight of a new sample in an exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Time constant of the decaying grant rates.
const RATE_TIME_CONSTANT_SECONDS: f64 = 2.0;

/// Histogram of the output lengths of one class, in tokens.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Lengths {
    /// Adds one answer.
    pub fn add(&mut self, tokens: u32) {
        let bucket = (u32::BITS - tokens.leading_zeros()) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= HALVE_AT_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Length in tokens that the given share of answers does not exceed.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<u32> {
        if self.total == 0 {
            return None;
        }
        let wanted = share * f64::from(self.total);
        let mut sum = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            sum += count;
            if f64::from(sum) >= wanted {
                return Some((1u32 << bucket) - 1);
            }
        }
        None
    }
}

/// What the runners of a service can serve.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    /// Slots of the runners that name no limit.
    pub(super) slots: u32,
    /// Slots of those that do.
    pub(super) limited_slots: u32,
    /// Sum of their limits, in requests per second.
    pub(super) limited_rate: f64,
}

/// Run time, output lengths and grant rates of one arbiter.
#[derive(Debug)]
pub(super) struct Estimate {
    lengths: IndexMap<ClassId, Lengths>,
    /// Moving average of the run time of a request.
    mean_seconds: Option<f64>,
    /// Grants per second by urgency, decaying exponentially.
    grant_rates: [f64; URGENCY_LEVELS],
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            lengths: IndexMap::new(),
            mean_seconds: None,
            grant_rates: [0.0; URGENCY_LEVELS],
        }
    }
}

impl Estimate {
    pub(super) fn on_done(&mut self, class: &ClassId, whole: Duration, tokens: u32) {
        let seconds = whole.as_secs_f64();
        let mean = self.mean_seconds.get_or_insert(seconds);
        *mean += SAMPLE_WEIGHT * (seconds - *mean);
        if self.lengths.len() < MAX_CLASSES || self.lengths.contains_key(class) {
            self.lengths.entry(class.clone()).or_default().add(tokens);
        }
    }

    pub(super) fn on_grant(&mut self, urgency: usize) {
        self.grant_rates[urgency] += 1.0 / RATE_TIME_CONSTANT_SECONDS;
    }

    pub(super) fn decay(&mut self, passed: Duration) {
        let factor = (-passed.as_secs_f64() / RATE_TIME_CONSTANT_SECONDS).exp();
        self.grant_rates.iter_mut().for_each(|rate| *rate *= factor);
    }

    pub(super) fn lengths(&self, class: &ClassId) -> Option<&Lengths> {
        self.lengths.get(class)
    }

    /// Requests per second that can be finished; none before the first sample, unless
    /// limits tell it.
    fn service_rate(&self, capacity: Capacity) -> Option<f64> {
        let of_slots = |slots: u32| Some(f64::from(slots) / self.mean_seconds?.max(0.001));
        let limited = of_slots(capacity.limited_slots).map_or(capacity.limited_rate, |rate| {
            rate.min(capacity.limited_rate)
        });
        match capacity.slots {
            0 if limited > 0.0 => Some(limited),
            slots => of_slots(slots.max(1)).map(|rate| rate + limited),
        }
    }

    /// Wait of a request behind `higher` more urgent and `own` equally urgent ones.
    pub(super) fn wait(
        &self,
        capacity: Capacity,
        urgency: usize,
        higher: usize,
        own: usize,
        floor: f64,
    ) -> Duration {
        let Some(rate) = self.service_rate(capacity) else {
            return Duration::ZERO;
        };
        let taken: f64 = self.grant_rates[..urgency].iter().sum();
        let left = (rate - taken).max(rate * floor);
        let seconds = to_f64(higher) / rate + to_f64(own) / left;
        Duration::from_secs_f64(seconds.min(3_600.0))
    }
}

#[expect(clippy::cast_precision_loss, reason = "queue lengths are small")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
