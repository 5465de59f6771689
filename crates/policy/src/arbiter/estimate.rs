//! How long requests run and wait, from what was seen.
//!
//! Output lengths are unknown in advance; a histogram per class tells what its
//! requests came to lately. Old samples fade as new ones come.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{catalogue::URGENCY_LEVELS, id::ClassId};

/// Buckets of output length, each twice as long as the one before.
const BUCKETS: usize = 18;

/// Samples after which a histogram is halved.
const FADE: u32 = 512;

/// Most classes with a histogram.
const MAX_CLASSES: usize = 4_096;

/// Weight of a new sample in a mean.
const GAIN: f64 = 0.05;

/// Time constant of the grant rates, in seconds.
const RATE_SECONDS: f64 = 2.0;

/// Output lengths of one class.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Lengths {
    /// Takes in one answer.
    pub fn add(&mut self, tokens: u32) {
        let bucket = (u32::BITS - tokens.leading_zeros()) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= FADE {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Length that the given share of answers does not exceed.
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

/// Means, histograms and rates of one arbiter.
#[derive(Debug)]
pub(super) struct Estimate {
    lengths: IndexMap<ClassId, Lengths>,
    whole: Option<f64>,
    /// Grants per second by urgency, fading.
    rates: [f64; URGENCY_LEVELS],
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            lengths: IndexMap::new(),
            whole: None,
            rates: [0.0; URGENCY_LEVELS],
        }
    }
}

impl Estimate {
    pub(super) fn on_done(&mut self, class: &ClassId, whole: Duration, tokens: u32) {
        let seconds = whole.as_secs_f64();
        let mean = self.whole.get_or_insert(seconds);
        *mean += GAIN * (seconds - *mean);
        if self.lengths.len() < MAX_CLASSES || self.lengths.contains_key(class) {
            self.lengths.entry(class.clone()).or_default().add(tokens);
        }
    }

    pub(super) fn on_grant(&mut self, place: usize) {
        self.rates[place] += 1.0 / RATE_SECONDS;
    }

    pub(super) fn fade(&mut self, passed: Duration) {
        let keep = (-passed.as_secs_f64() / RATE_SECONDS).exp();
        self.rates.iter_mut().for_each(|rate| *rate *= keep);
    }

    pub(super) fn lengths(&self, class: &ClassId) -> Option<&Lengths> {
        self.lengths.get(class)
    }

    /// Requests per second that `slots` can finish, once anything was seen.
    pub(super) fn drain(&self, slots: u32) -> Option<f64> {
        self.whole.map(|mean| f64::from(slots) / mean.max(0.001))
    }

    /// Wait of a request behind `higher` more urgent ones and `own` ones of its own urgency.
    pub(super) fn wait(
        &self,
        slots: u32,
        place: usize,
        higher: usize,
        own: usize,
        floor: f64,
    ) -> Duration {
        let Some(drain) = self.drain(slots.max(1)) else {
            return Duration::ZERO;
        };
        let taken: f64 = self.rates[..place].iter().sum();
        let left = (drain - taken).max(drain * floor);
        let seconds = seconds(higher) / drain + seconds(own) / left;
        Duration::from_secs_f64(seconds.min(3_600.0))
    }
}

#[expect(clippy::cast_precision_loss, reason = "queue lengths are small")]
fn seconds(count: usize) -> f64 {
    count as f64
}
