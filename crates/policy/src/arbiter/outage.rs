//! Outages in which every runner closes its connections without an answer.
//!
//! A request that breaks its runner while it runs alone is quarantined, which holds only
//! while other requests are answered. Several that break alone one after the other, with
//! no answer begun in between, tell of the runners: their quarantines are lifted.
//!
//! Two requests that crash runners look the same on a service with few other requests.
//! So until an answer begins, requests whose quarantine was lifted run alone, with a rest
//! after each break, and are probes only if no other request has become one.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use crate::{crash::NO_FINGERPRINT, id::Fingerprint};

/// Requests that broke alone, with no answer in between, from which it is an outage.
const MIN_REQUESTS: usize = 2;

/// Outages from which one request is excused without having been answered itself: two
/// requests that crash runners may look like an outage of a service with few answers.
const MAX_OUTAGES: u8 = 2;

/// Rest after a break, and time for which a due probe is left to other requests: enough
/// for a service with two other requests per second.
pub(super) const REST: Duration = Duration::from_millis(500);

/// Maximum number of requests remembered; the oldest are dropped first.
const MAX_REMEMBERED: usize = 1_024;

/// What the requests that ran alone tell of the runners.
#[derive(Debug, Default)]
pub(super) struct Outage {
    /// Requests that broke alone since the last answer.
    broken: IndexSet<Fingerprint>,
    /// When the latest of them broke.
    broke_at: Option<Instant>,
    /// Outages from which a request was excused since it was last answered.
    excused: IndexMap<Fingerprint, u8>,
}

impl Outage {
    /// Records that a request broke alone; returns the requests whose quarantine does
    /// not hold.
    pub(super) fn on_broken_alone(
        &mut self,
        now: Instant,
        request: Fingerprint,
    ) -> Vec<Fingerprint> {
        let outages = self.excused.get(&request).copied().unwrap_or(0);
        if request == NO_FINGERPRINT || outages >= MAX_OUTAGES {
            return Vec::new();
        }
        if self.broken.len() >= MAX_REMEMBERED && !self.broken.contains(&request) {
            self.broken.shift_remove_index(0);
        }
        let is_new = self.broken.insert(request);
        self.broke_at = Some(now);
        match self.broken.len() {
            MIN_REQUESTS if is_new => self.broken.iter().copied().collect(),
            MIN_REQUESTS.. => vec![request],
            _ => Vec::new(),
        }
    }

    /// Whether a request's quarantine was lifted and no answer has begun since.
    pub(super) fn includes(&self, request: Fingerprint) -> bool {
        self.broken.len() >= MIN_REQUESTS && self.broken.contains(&request)
    }

    /// Whether a request must not run yet.
    pub(super) fn rests(&self, now: Instant, request: Fingerprint) -> bool {
        let rests = |at| now.saturating_duration_since(at) < REST;
        self.includes(request) && self.broke_at.is_some_and(rests)
    }

    /// Records that an answer has begun, which ends an outage.
    pub(super) fn on_answer(&mut self) {
        let was_outage = self.broken.len() >= MIN_REQUESTS;
        for request in self.broken.drain(..).filter(|_| was_outage) {
            if self.excused.len() >= MAX_REMEMBERED && !self.excused.contains_key(&request) {
                self.excused.shift_remove_index(0);
            }
            *self.excused.entry(request).or_default() += 1;
        }
    }

    /// Records that a request was answered in full.
    pub(super) fn on_done(&mut self, request: Fingerprint) {
        self.excused.shift_remove(&request);
    }
}
