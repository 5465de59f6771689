//! Which followers may fetch a snapshot from this daemon now.
//!
//! Load pattern: many followers that fetch large snapshots from one parent share its
//! link, so that none ends soon and heartbeats wait behind their parts. A parent
//! serves a few at a time; the others ask another parent, or again.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::id::InstanceId;

/// Most followers that fetch a snapshot at once: with one part each under way, they
/// delay other messages on a link of 100 Mbit/s by less than 100 ms.
const MAX_FETCHING: usize = 16;

/// Time without a request after which a follower counts as gone; longer than
/// [`super::Patience`] waits for a part.
const IDLE: Duration = Duration::from_secs(2);

/// Followers that fetch a snapshot, by the time of their last request.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    fetching: IndexMap<InstanceId, Instant>,
}

impl Admission {
    /// Whether `follower` may have the next part.
    pub fn admits(&mut self, now: Instant, follower: &InstanceId) -> bool {
        self.fetching
            .retain(|_, last| now.saturating_duration_since(*last) < IDLE);
        let admitted = self.fetching.contains_key(follower) || self.fetching.len() < MAX_FETCHING;
        if admitted {
            self.fetching.insert(follower.clone(), now);
        }
        admitted
    }

    /// Records that a follower was sent its last part.
    pub fn finished(&mut self, follower: &InstanceId) {
        self.fetching.swap_remove(follower);
    }
}
