//! Pacing of runners that limit the requests per second they take.
//!
//! A runner in need names in its answers how many requests per second it takes from
//! all daemons together. Under steady load on many daemons, a limit that each of them
//! kept for itself would be exceeded by their number, and one that is kept for whole
//! seconds would let two bursts meet. The arbiter grants every slot of the runner, so
//! it spaces the grants evenly at the named rate. A limit starts, and passes to another
//! arbiter, as if a request had just been granted.

use std::time::{Duration, Instant};

/// Lowest rate; a runner that takes nothing gets a request now and then, whose answer
/// tells whether its limit has ended.
const MIN_PER_SECOND: f64 = 0.1;

/// Highest rate, far above what a runner can serve.
const MAX_PER_SECOND: f64 = 100_000.0;

/// Thousandths of a request.
const MILLI: f64 = 1_000.0;

/// Grants due within this time may follow one another at once; the time between two
/// ticks of the arbiter, with a margin.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Requests per second that a runner takes from all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate {
    /// Thousandths of a request per second.
    milli: u64,
}

impl Rate {
    /// Rate of a runner whose limit cannot be read.
    pub const UNREADABLE: Self = Self { milli: 1_000 };

    /// The rate closest to a named one; `None` if that is negative or not a number.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a positive range"
    )]
    pub fn from_per_second(named: f64) -> Option<Self> {
        (named >= 0.0).then(|| Self {
            milli: (named.clamp(MIN_PER_SECOND, MAX_PER_SECOND) * MILLI) as u64,
        })
    }

    /// The rate in thousandths of a request per second, kept within the bounds.
    #[must_use]
    pub fn from_milli(milli: u64) -> Self {
        let most = u64::from(u32::MAX);
        let milli = u32::try_from(milli.min(most)).unwrap_or(u32::MAX);
        Self::from_per_second(f64::from(milli) / MILLI).unwrap_or(Self::UNREADABLE)
    }

    /// Thousandths of a request per second.
    #[must_use]
    pub fn milli(self) -> u64 {
        self.milli
    }

    /// Requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        u32::try_from(self.milli).map_or(MAX_PER_SECOND, |milli| f64::from(milli) / MILLI)
    }

    /// Time between two requests.
    fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.per_second())
    }
}

/// The limit of one runner, and when its next grant is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    rate: Rate,
    /// When an answer last named the limit.
    heard_at: Instant,
    /// When the next grant is due; past while grants are fewer than the rate.
    due: Instant,
}

impl Pace {
    pub(super) fn new(now: Instant, rate: Rate) -> Self {
        Self {
            rate,
            heard_at: now,
            due: now + rate.interval(),
        }
    }

    pub(super) fn rate(&self) -> Rate {
        self.rate
    }

    /// Records that an answer names the limit; true if the rate changed.
    pub(super) fn on_named(&mut self, now: Instant, rate: Rate) -> bool {
        self.heard_at = now;
        if rate == self.rate {
            return false;
        }
        // What was granted ahead of time remains due, as a number of requests.
        let ahead = self.due.saturating_duration_since(now);
        let ratio = self.rate.per_second() / rate.per_second();
        self.due = now + ahead.mul_f64(ratio);
        self.rate = rate;
        true
    }

    /// Whether an answer without a limit to a request granted at `granted` ends it.
    pub(super) fn is_ended_by(&self, granted: Instant) -> bool {
        granted > self.heard_at
    }

    /// Whether the runner must not be granted a request yet.
    pub(super) fn holds_back(&self, now: Instant) -> bool {
        let interval = self.rate.interval();
        now + BURST_TIME.saturating_sub(interval) < self.due
    }

    pub(super) fn on_grant(&mut self, now: Instant) {
        self.due = self.due.max(now) + self.rate.interval();
    }
}
