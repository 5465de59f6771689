//! Counters of the engine, and the history of its load.

use std::{
    cell::Cell,
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::{SAMPLE_INTERVAL, batch::Batch};

/// Maximum number of samples kept, which cover about ten seconds.
const MAX_SAMPLES: usize = 512;

/// Number of samples over which the token rate is averaged.
const RATE_SAMPLES: usize = 50;

/// Running totals.
#[derive(Debug, Default)]
pub(super) struct Counts {
    /// Requests received.
    pub requests: Cell<u64>,
    /// Requests answered completely.
    pub done: Cell<u64>,
    /// Requests that failed or whose client disconnected.
    pub cancelled: Cell<u64>,
    /// Tokens generated.
    pub tokens: Cell<u64>,
    /// Tokens generated for requests that were not answered completely.
    pub wasted: Cell<u64>,
}

impl Counts {
    /// Counts a request that was not answered completely.
    pub(super) fn cancel(&self, tokens: u64) {
        self.cancelled.set(self.cancelled.get() + 1);
        self.wasted.set(self.wasted.get() + tokens);
    }
}

/// The load at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sample {
    /// When it was taken; `None` if there is no sample yet.
    pub at: Option<Instant>,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: usize,
    /// Tokens generated so far.
    pub tokens: u64,
    /// Recent tokens per second.
    pub tokens_per_s: f64,
}

/// Recent samples, oldest first.
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
