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

/// Wait for the call in flight to end, while calls come one at a time.
const RECHECK: Duration = Duration::from_millis(50);

/// Spaces calls evenly.
#[derive(Clone, Debug)]
pub struct Pace {
    interval: Duration,
    next: Instant,
    pause: Option<Duration>,
    /// When the pause was last set.
    failed_at: Instant,
    running: usize,
}

impl Pace {
    /// A pace that keeps to its share of the calls that the platform accepts.
    #[must_use]
    pub fn new(now: Instant, calls_per_second: f64) -> Self {
        let rate = (calls_per_second * SHARE).max(0.1);
        Self {
            interval: Duration::from_secs_f64(1.0 / rate),
            next: now,
            pause: None,
            failed_at: now,
            running: 0,
        }
    }

    /// Starts a call, if one may be made now.
    ///
    /// # Errors
    /// The time after which to ask again.
    pub fn start(&mut self, now: Instant) -> Result<(), Duration> {
        let wait = self.next.saturating_duration_since(now);
        if !wait.is_zero() {
            return Err(wait);
        }
        if self.pause.is_some() && self.running > 0 {
            return Err(RECHECK);
        }
        self.running += 1;
        self.next = now + self.interval.max(self.pause.unwrap_or_default());
        Ok(())
    }

    /// Ends a call that was started.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records whether a call that began at `started` was accepted; `jitter` is between zero
    /// and one.
    pub fn on_outcome(&mut self, now: Instant, started: Instant, accepted: bool, jitter: f64) {
        if accepted {
            self.pause = None;
            return;
        }
        // Calls that ran together when the fault began fail together: that is one failure.
        if self.pause.is_some() && started < self.failed_at {
            return;
        }
        let pause = self.pause.map_or(FIRST_PAUSE, |it| it * 2);
        let pause = pause.min(LONGEST_PAUSE);
        self.pause = Some(pause);
        self.failed_at = now;
        self.next = self.next.max(now + pause.mul_f64(0.75 + 0.5 * jitter));
    }
}
