//! How long requests of one class keep a runner at work.
//!
//! Load pattern: an instance that is to end within a bounded time goes on to receive requests,
//! and some classes take longer than what is left. A request that another instance could
//! have run whole is cut here, and one that may run only once is lost. The estimate follows
//! the recent answers of a class: their mean and their mean deviation, both smoothed, so that
//! neither one slow answer nor a class of mixed lengths refuses everything.

use std::time::Duration;

/// Weight of the newest answer in the mean, as a divisor.
const MEAN_DIVISOR: f64 = 8.0;

/// Its weight in the deviation.
const DEVIATION_DIVISOR: f64 = 4.0;

/// Estimate for one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Smoothed mean and mean deviation in seconds; none before the first answer.
    known: Option<(f64, f64)>,
}

impl Estimate {
    /// Records how long a runner took for a whole answer.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.known = Some(match self.known {
            None => (took, 0.0),
            Some((mean, deviation)) => (
                mean + (took - mean) / MEAN_DIVISOR,
                deviation + ((took - mean).abs() - deviation) / DEVIATION_DIVISOR,
            ),
        });
    }

    /// Whether an answer that is begun now can be expected within `left`; true before the
    /// first answer.
    #[must_use]
    pub fn fits(&self, left: Duration) -> bool {
        self.known
            .is_none_or(|(mean, deviation)| mean + deviation <= left.as_secs_f64())
    }
}
