//! Real processes for tests: daemons and stand-ins on free loopback ports.
//!
//! Every process is a child of the test and is killed by its own id when its
//! handle is dropped. Waits poll with a generous timeout, so that a slow machine
//! makes a test slow but does not fail it.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub mod cluster;
pub mod http;
pub mod process;

use std::time::{Duration, Instant};

/// Maximum wait for a condition that must hold eventually on any machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `poll` until it returns a value.
///
/// # Panics
/// After [`TIMEOUT`]; the message says what was awaited.
pub fn eventually<T, F>(what: &str, mut poll: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(Instant::now() < end, "not within {TIMEOUT:?}: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}
