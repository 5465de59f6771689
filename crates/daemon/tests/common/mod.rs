//! Real processes for tests: daemons and stand-ins on free loopback ports.
//!
//! Every process is a child of the test and is killed by its own id when its
//! handle is dropped. Waiting is by polling with a generous deadline, so a slow
//! machine makes a test slow, not red.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub mod cluster;
pub mod http;
pub mod process;

use std::time::{Duration, Instant};

/// Longest wait for something that must happen on any machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `look` gives a value.
///
/// # Panics
/// When [`TIMEOUT`] is over; the message says what was awaited.
pub fn eventually<T, F>(what: &str, mut look: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = look() {
            return value;
        }
        assert!(Instant::now() < end, "not within {TIMEOUT:?}: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}
