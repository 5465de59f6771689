//! What the engine did, and its load as it was a while ago.

use std::{
    cell::Cell,
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::{SAMPLE_INTERVAL, batch::Batch};

/// Most samples kept; ten seconds of them.
const MAX_SAMPLES: usize = 512;

/// Samples over which the token rate is taken.
const RATE_SAMPLES: usize = 50;

/// Running totals.
#[derive(Debug, Default)]
pub(super) struct Counts {
    /// Calls that came in.
    pub requests: Cell<u64>,
    /// Calls answered whole.
    pub done: Cell<u64>,
    /// Calls that broke or whose caller left.
    pub cancelled: Cell<u64>,
    /// Tokens made.
    pub tokens: Cell<u64>,
    /// Tokens made for calls that did not end whole.
    pub wasted: Cell<u64>,
}

impl Counts {
    /// Counts a call that did not end whole.
    pub(super) fn cancel(&self, tokens: u64) {
        self.cancelled.set(self.cancelled.get() + 1);
        self.wasted.set(self.wasted.get() + tokens);
    }
}

/// The load at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sample {
    /// When it was seen.
    pub at: Option<Instant>,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting for a place.
    pub waiting: usize,
    /// Tokens made so far.
    pub tokens: u64,
    /// Tokens a second of late.
    pub tokens_per_s: f64,
}

/// Samples of the last seconds.
#[derive(Debug, Default)]
pub(super) struct History {
    samples: VecDeque<Sample>,
}

impl History {
    /// Adds a sample.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts of one second are far below the precision limit"
    )]
    pub(super) fn sample(&mut self, now: Instant, batch: &Batch, tokens: u64) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        let past = self.samples.len().saturating_sub(RATE_SAMPLES);
        let made = self
            .samples
            .get(past)
            .map_or(0, |sample| tokens - sample.tokens);
        let window = SAMPLE_INTERVAL.as_secs_f64() * (self.samples.len() - past).max(1) as f64;
        self.samples.push_back(Sample {
            at: Some(now),
            running: batch.running(),
            waiting: batch.waiting(),
            tokens,
            tokens_per_s: made as f64 / window,
        });
    }

    /// The latest sample that is at least `lag` old.
    pub(super) fn at(&self, now: Instant, lag: Duration) -> Sample {
        let old = |sample: &&Sample| {
            sample
                .at
                .is_some_and(|at| now.saturating_duration_since(at) >= lag)
        };
        self.samples
            .iter()
            .rev()
            .find(old)
            .copied()
            .unwrap_or_default()
    }
}
