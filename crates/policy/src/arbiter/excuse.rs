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

/// Time after which a quarantine that is still committed is lifted again: a proposal to
/// the control log may be lost.
const PROPOSAL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of excused requests; the oldest are dropped first.
const MAX_EXCUSED: usize = 4_096;

/// Excused requests, the newest last.
#[derive(Debug, Default)]
pub(super) struct Excused {
    requests: IndexMap<(Fingerprint, Mark), Excuse>,
}

#[derive(Debug)]
struct Excuse {
    at: Instant,
    proposed_at: Option<Instant>,
}

impl Excused {
    /// Excuses a request from a mark, and from no other one.
    fn insert(&mut self, now: Instant, request: Fingerprint, mark: Mark) {
        if request == NO_FINGERPRINT {
            return;
        }
        let old = self.requests.shift_remove(&(request, mark));
        if self.requests.len() >= MAX_EXCUSED {
            self.requests.shift_remove_index(0);
        }
        let excuse = Excuse {
            at: now,
            proposed_at: old.and_then(|it| it.proposed_at),
        };
        self.requests.insert((request, mark), excuse);
    }

    /// Whether a mark that arrives now does not apply.
    pub(super) fn covers(&self, now: Instant, request: Fingerprint, mark: Mark) -> bool {
        let excuse = self.requests.get(&(request, mark));
        excuse.is_some_and(|it| now.saturating_duration_since(it.at) < EXCUSE_TIME)
    }

    /// Ends an excuse, as a crash that nothing explains is new evidence.
    pub(super) fn remove(&mut self, request: Fingerprint, mark: Mark) {
        self.requests.shift_remove(&(request, mark));
    }

    fn expire(&mut self, now: Instant) {
        self.requests
            .retain(|_, it| now.saturating_duration_since(it.at) < EXCUSE_TIME);
    }

    /// Whether a lift of a quarantine is to be proposed now.
    fn propose(&mut self, now: Instant, request: Fingerprint) -> bool {
        let Some(excuse) = self.requests.get_mut(&(request, Mark::Quarantined)) else {
            return true;
        };
        let is_due = |at| now.saturating_duration_since(at) >= PROPOSAL_INTERVAL;
        let due = excuse.proposed_at.is_none_or(is_due);
        if due {
            excuse.proposed_at = Some(now);
        }
        due
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
        self.excused.insert(now, request, Mark::Suspected);
        if let Some(step) = self.marks.on_innocent(request) {
            self.mark(step, effects);
        }
    }

    /// Lifts the quarantine of a request that broke alone while no runner answered.
    pub(super) fn lift(&mut self, now: Instant, request: Fingerprint, effects: &mut Vec<Effect>) {
        self.excused.insert(now, request, Mark::Quarantined);
        self.propose_lift(now, request, effects);
    }

    fn propose_lift(&mut self, now: Instant, request: Fingerprint, effects: &mut Vec<Effect>) {
        if !self.excused.propose(now, request) {
            return;
        }
        self.marks.lift(request);
        self.mark(Step::Cleared(request), effects);
    }

    /// Clears the marks of excused requests that have arrived since.
    pub(super) fn clear_excused(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.excused.expire(now);
        let marks = &self.marks;
        let marked = self.excused.requests.keys();
        let marked = marked.filter(|(request, mark)| marks.get(*request) == Some(*mark));
        for (request, mark) in marked.copied().collect::<Vec<_>>() {
            match mark {
                Mark::Suspected => self.mark(Step::Cleared(request), effects),
                Mark::Quarantined => self.propose_lift(now, request, effects),
            }
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
