//! Requests whose crashes have another explanation, and the marks cleared for them.
//!
//! The daemon that asked sees the broken connections and not their explanation, so it
//! marks the request by itself. Its mark may reach the arbiter after the decision, with
//! another ask, an inventory or the committed marks, and is cleared as it arrives.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{Arbiter, Effect, Reply};
use crate::{
    crash::{Mark, NO_FINGERPRINT, Step},
    id::Fingerprint,
};

/// Time for which a request stays excused: two intervals at which daemons propose their
/// unconfirmed marks again.
const EXCUSE_TIME: Duration = Duration::from_secs(10);

/// Maximum number of excused requests; the oldest are dropped first.
const MAX_EXCUSED: usize = 4_096;

/// Requests that are excused from a suspicion, and since when; the newest last.
#[derive(Debug, Default)]
pub(super) struct Excused {
    requests: IndexMap<Fingerprint, Instant>,
}

impl Excused {
    fn insert(&mut self, now: Instant, request: Fingerprint) {
        if request == NO_FINGERPRINT {
            return;
        }
        self.requests.shift_remove(&request);
        if self.requests.len() >= MAX_EXCUSED {
            self.requests.shift_remove_index(0);
        }
        self.requests.insert(request, now);
    }

    /// Whether a suspicion that arrives now does not apply.
    pub(super) fn covers(&self, now: Instant, request: Fingerprint) -> bool {
        let at = self.requests.get(&request);
        at.is_some_and(|at| now.saturating_duration_since(*at) < EXCUSE_TIME)
    }

    /// Ends an excuse: a crash that nothing explains is new evidence.
    pub(super) fn on_broken(&mut self, request: Fingerprint) {
        self.requests.shift_remove(&request);
    }

    fn expire(&mut self, now: Instant) {
        self.requests
            .retain(|_, at| now.saturating_duration_since(*at) < EXCUSE_TIME);
    }
}

impl Arbiter {
    /// Holds nothing against a request whose crashes are explained.
    pub(super) fn clear_suspicion(
        &mut self,
        now: Instant,
        request: Fingerprint,
        effects: &mut Vec<Effect>,
    ) {
        self.excused.insert(now, request);
        if let Some(step) = self.marks.on_innocent(request) {
            self.mark(step, effects);
        }
    }

    /// Clears the marks of excused requests that have arrived since.
    pub(super) fn clear_excused(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.excused.expire(now);
        let excused = self.excused.requests.keys().copied();
        let marked = excused.filter(|it| self.marks.get(*it) == Some(Mark::Suspected));
        for request in marked.collect::<Vec<_>>() {
            self.mark(Step::Cleared(request), effects);
        }
    }

    /// Tells an asker that a request is not marked, so that it drops what it holds
    /// against it.
    pub(super) fn send_cleared(&self, asker: u32, request: Fingerprint, effects: &mut Vec<Effect>) {
        if request != NO_FINGERPRINT
            && let Some(name) = self.instances.get(&asker)
        {
            let cleared = Reply::Mark(Step::Cleared(request));
            effects.push(Effect::Send(name.clone(), cleared));
        }
    }
}
