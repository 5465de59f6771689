//! How long a runner may be silent before a request goes on elsewhere.
//!
//! Load pattern: runners that go dark, or hang on a request, while the others of
//! their service are sound. Their connections stay open, so that nothing but the
//! silence tells; waiting for it until the deadline leaves no time for another
//! runner. Under load all are late, and a request that is taken from the runner
//! which has begun to read it costs more than it gains: so the bound is a multiple
//! of the target, there must be time for another try, and the retry budget must
//! pay for it. A request that may run only once is never taken away.

use std::time::Duration;

use crate::retry::{MAX_ATTEMPTS, Rerun};

/// Times the target of its class that an answer may take to begin; what is later
/// than that misses its target by as much again, here or elsewhere.
const TARGET_FACTOR: u32 = 2;

/// Shortest silence that tells of the runner; several times what a sound one needs
/// for a short call with a queue before it.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);

/// A request whose runner says nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Time to the first token, or for a whole call, that its class is to be kept to.
    pub target: Duration,
    /// Time from the attempt's beginning to the caller's deadline.
    pub remaining: Duration,
    /// Whether it may run once more.
    pub rerun: Rerun,
    /// Attempts made so far, this one included.
    pub attempts: u32,
}

/// Silence after which another runner is worth a try; none if this one is to be
/// waited for.
#[must_use]
pub fn timeout(wait: &Wait) -> Option<Duration> {
    if wait.rerun != Rerun::Allowed || wait.attempts >= MAX_ATTEMPTS {
        return None;
    }
    let timeout = (wait.target * TARGET_FACTOR).max(MIN_TIMEOUT);
    let left_after = wait.remaining.checked_sub(timeout)?;
    (left_after >= wait.target).then_some(timeout)
}
