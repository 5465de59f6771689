//! How long a runner may stay silent before its request is retried on another.
//!
//! Load pattern: some runners stop responding, or hang on a request, while the
//! others of their service are healthy. Their connections stay open, so a missing
//! response is the only sign; waiting for it until the deadline leaves no time for
//! another runner. Under load all runners are late, and moving a request whose
//! prompt a runner has begun to read costs more than it gains. So the timeout is a
//! multiple of the target, there must be time for another attempt, and the retry
//! budget must cover it. A request that may run only once is never moved.

use std::time::Duration;

use crate::retry::{MAX_ATTEMPTS, Rerun};

/// Multiple of the class's target that an answer may take to begin; a later one
/// misses its target by at least as much again, here or elsewhere.
const TARGET_FACTOR: u32 = 2;

/// Shortest timeout; several times what a healthy runner needs for a short call
/// behind a queue.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);

/// A request whose runner has not begun to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Target of its class: time to the first token, or of a whole call.
    pub target: Duration,
    /// Time from the start of the attempt to the caller's deadline.
    pub remaining: Duration,
    /// Whether it may run again.
    pub rerun: Rerun,
    /// Attempts made so far, including this one.
    pub attempts: u32,
}

/// Time without an answer after which another runner should be tried; none if the
/// request stays on this one.
#[must_use]
pub fn timeout(wait: &Wait) -> Option<Duration> {
    if wait.rerun != Rerun::Allowed || wait.attempts >= MAX_ATTEMPTS {
        return None;
    }
    let timeout = (wait.target * TARGET_FACTOR).max(MIN_TIMEOUT);
    let left_after = wait.remaining.checked_sub(timeout)?;
    (left_after >= wait.target).then_some(timeout)
}
