//! Pace of the calls of duties.
//!
//! The platform accepts a number of calls per second from all daemons together and may
//! be slow or down. Calls keep to half of that number, since a holder that was cut off
//! may have called in the same second. After a failure they pause, and come one at a
//! time until one succeeds, so that nothing bursts when the platform is back.

use std::time::{Duration, Instant};

/// Share of the accepted calls that this daemon makes.
const SHARE: f64 = 0.5;

/// Pause after the first failure; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Spaces calls evenly.
#[derive(Clone, Debug)]
pub(super) struct Pace {
    interval: Duration,
    next: Instant,
    pause: Option<Duration>,
}

impl Pace {
    pub(super) fn new(now: Instant, calls_per_second: f64) -> Self {
        let rate = (calls_per_second * SHARE).max(0.1);
        Self {
            interval: Duration::from_secs_f64(1.0 / rate),
            next: now,
            pause: None,
        }
    }

    /// Reserves the next call; returns the wait until it may be made.
    pub(super) fn reserve(&mut self, now: Instant) -> Duration {
        let at = self.next.max(now);
        self.next = at + self.interval.max(self.pause.unwrap_or_default());
        at.saturating_duration_since(now)
    }

    /// Records whether a call was accepted; `jitter` is between zero and one.
    pub(super) fn on_outcome(&mut self, now: Instant, accepted: bool, jitter: f64) {
        if accepted {
            self.pause = None;
            return;
        }
        let pause = self.pause.map_or(FIRST_PAUSE, |it| it * 2);
        let pause = pause.min(LONGEST_PAUSE);
        self.pause = Some(pause);
        self.next = self.next.max(now + pause.mul_f64(0.75 + 0.5 * jitter));
    }
}
