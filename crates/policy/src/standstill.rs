//! Whether a process stood still for so long that its arbiters have to end.
//!
//! Others went on meanwhile and have granted slots. The steady clock runs on while a
//! process is stopped, but not while its machine is suspended; the boot-time clock counts
//! both. After a suspension an arbiter counts leases and ages by a clock that stood still,
//! so it ends sooner than after a stop, which it sees itself.

use std::time::{Duration, Instant};

/// Longest pause after which arbiters are kept. It equals the lease of slots: after a
/// longer one other arbiters may have granted slots that these still count as held.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Longest part of it that the steady clock did not count.
const MAX_UNCOUNTED: Duration = Duration::from_millis(400);

/// When the process was last seen at work, by both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Standstill {
    steady: Instant,
    boot_time: Instant,
}

impl Standstill {
    /// A process that is at work now.
    #[must_use]
    pub fn new(steady: Instant, boot_time: Instant) -> Self {
        Self { steady, boot_time }
    }

    /// Records that the process is at work; the pause before, if that ends its arbiters.
    pub fn on_work(&mut self, steady: Instant, boot_time: Instant) -> Option<Duration> {
        let counted = steady.saturating_duration_since(self.steady);
        let pause = boot_time.saturating_duration_since(self.boot_time);
        *self = Self { steady, boot_time };
        let uncounted = pause.saturating_sub(counted);
        let is_long = pause.max(counted) >= MAX_PAUSE || uncounted >= MAX_UNCOUNTED;
        is_long.then_some(pause.max(counted))
    }
}
