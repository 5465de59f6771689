//! How long a follower waits for an answer.
//!
//! Load pattern: after a restart of the whole fleet, all followers catch up at once
//! over links that are slow for a while. An answer that comes after a fixed wait is
//! thrown away and asked for again, so the same bytes fill the links for good. The
//! wait therefore doubles with each answer that did not come, up to a limit, while
//! the follower may take no work anyway. One that still may has a lease to lose, and
//! moves on to another parent after the first wait.

use std::time::Duration;

/// Wait for an answer beyond the time that the parent may hold the request.
///
/// A few times what [`super::Settings::answer_bytes`] take on a link of 10 Mbit/s.
const FIRST: Duration = Duration::from_millis(400);

/// Most doublings of the wait: 1.6 s, well under the lease.
const MAX_DOUBLINGS: u32 = 2;

/// Wait for answers, after some that did not come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Patience {
    doublings: u32,
}

impl Patience {
    /// Time to wait for the next answer; `leased` if this daemon may take work.
    #[must_use]
    pub fn wait(self, leased: bool) -> Duration {
        let doublings = if leased { 0 } else { self.doublings };
        FIRST * 2_u32.pow(doublings)
    }

    /// Records that an answer came.
    pub fn answered(&mut self) {
        self.doublings = 0;
    }

    /// Records that an answer did not come in time.
    pub fn late(&mut self) {
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
    }
}
