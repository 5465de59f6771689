//! Detection and quarantine of requests that crash their runner.
//!
//! When a runner crashes, every request in flight on it is exposed; one that is
//! exposed a second time before it completes becomes a suspect. Most requests on a
//! crashed runner are innocent, and nearly all of them complete at the next attempt,
//! so they do not wait. Suspects run alone on a runner, one per pool at a time. A
//! suspect that crashes a runner while alone is quarantined; one that completes is
//! cleared.
//!
//! Marks are replicated to all daemons through the control log. Until a mark is
//! committed, the daemon or arbiter that observed the crash keeps it in an
//! [`Overlay`], so that a slow log or the loss of an arbiter does not lose it.
//! Exposures are kept only there: the daemons tell them to each new arbiter.

pub mod parts;

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use crate::id::Fingerprint;

/// Fingerprint of requests that were not identified; crash marks never apply to it.
pub const NO_FINGERPRINT: Fingerprint = 0;

/// Maximum number of marks in the table; the oldest suspects are evicted first.
pub const MAX_MARKS: usize = 4_096;

/// Maximum number of exposed requests that are remembered; the oldest are dropped first.
const MAX_EXPOSED: usize = 4_096;

/// Status of a marked request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Mark {
    /// Was in flight on two runners that crashed; runs alone from now on.
    Suspected,
    /// Crashed a runner while it ran alone; never runs again.
    Quarantined,
}

/// An update of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// These requests were in flight on two runners that crashed.
    Suspected(Vec<Fingerprint>),
    /// This request crashed a runner while it ran alone.
    Quarantined(Fingerprint),
    /// This request completed alone, or an operator released it.
    Cleared(Fingerprint),
}

impl Step {
    /// Name of the kind of step, for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Suspected(_) => "suspected",
            Self::Quarantined(_) => "quarantined",
            Self::Cleared(_) => "cleared",
        }
    }

    /// The requests that it concerns.
    #[must_use]
    pub fn fingerprints(&self) -> &[Fingerprint] {
        match self {
            Self::Suspected(all) => all,
            Self::Quarantined(one) | Self::Cleared(one) => std::slice::from_ref(one),
        }
    }
}

/// Marked requests by fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Marks, in insertion order.
    pub marks: IndexMap<Fingerprint, Mark>,
}

impl Table {
    /// Applies one step; duplicate steps are allowed.
    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Suspected(all) => all.iter().for_each(|it| self.set(*it, Mark::Suspected)),
            Step::Quarantined(it) => self.set(*it, Mark::Quarantined),
            Step::Cleared(it) => {
                self.marks.shift_remove(it);
            }
        }
    }

    /// Mark of a request, if any.
    #[must_use]
    pub fn get(&self, fingerprint: Fingerprint) -> Option<Mark> {
        self.marks.get(&fingerprint).copied()
    }

    /// Sets a mark; a quarantine is never downgraded to a suspicion.
    fn set(&mut self, fingerprint: Fingerprint, mark: Mark) {
        if fingerprint == NO_FINGERPRINT {
            return;
        }
        if let Some(old) = self.marks.get_mut(&fingerprint) {
            *old = mark.max(*old);
            return;
        }
        if self.marks.len() >= MAX_MARKS {
            self.evict_oldest();
        }
        self.marks.insert(fingerprint, mark);
    }

    fn evict_oldest(&mut self) {
        let suspect = self.marks.values().position(|it| *it == Mark::Suspected);
        self.marks.shift_remove_index(suspect.unwrap_or(0));
    }
}

/// A request that was in flight on a runner as that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether nothing else ran on the runner.
    pub alone: bool,
    /// Whether it was exposed already when it was sent there.
    pub exposed: bool,
    /// Whether a copy of it runs on another runner, which may crash too.
    pub has_copy: bool,
}

/// The committed marks, with local changes that are not yet committed.
#[derive(Clone, Debug, Default)]
pub struct Overlay {
    committed: Arc<Table>,
    /// Marks set locally and not yet committed.
    local: Table,
    /// Suspicions cleared locally and not yet cleared in the committed table.
    cleared: IndexMap<Fingerprint, ()>,
    /// Requests that were in flight at one crash and have not completed since.
    exposed: IndexSet<Fingerprint>,
}

impl Overlay {
    /// Records that a request was in flight at a crash; returns the mark that follows.
    pub fn on_crash(&mut self, it: InFlight) -> Option<Step> {
        if it.fingerprint == NO_FINGERPRINT {
            return None;
        }
        if it.alone {
            return Some(Step::Quarantined(it.fingerprint));
        }
        if it.exposed || it.has_copy {
            let new = self.get(it.fingerprint).is_none();
            return new.then(|| Step::Suspected(vec![it.fingerprint]));
        }
        self.expose(it.fingerprint);
        None
    }

    /// Records that a request was in flight at one crash.
    pub fn expose(&mut self, fingerprint: Fingerprint) {
        if fingerprint == NO_FINGERPRINT {
            return;
        }
        if self.exposed.len() >= MAX_EXPOSED {
            self.exposed.shift_remove_index(0);
        }
        self.exposed.insert(fingerprint);
    }

    /// Records that a request completed, or that its runner had not crashed; returns
    /// the step that clears its mark.
    pub fn on_innocent(&mut self, fingerprint: Fingerprint) -> Option<Step> {
        self.exposed.shift_remove(&fingerprint);
        let suspected = self.get(fingerprint) == Some(Mark::Suspected);
        suspected.then_some(Step::Cleared(fingerprint))
    }

    /// Whether a request was in flight at a crash and has not completed since.
    #[must_use]
    pub fn is_exposed(&self, fingerprint: Fingerprint) -> bool {
        self.exposed.contains(&fingerprint)
    }

    /// The exposed requests.
    pub fn exposed(&self) -> impl Iterator<Item = Fingerprint> {
        self.exposed.iter().copied()
    }

    /// Replaces the committed marks and drops the local changes that they include.
    pub fn commit(&mut self, committed: Arc<Table>) {
        self.local
            .marks
            .retain(|it, mark| committed.get(*it) < Some(*mark));
        // A quarantine is newer than the clearing of the suspicion before it.
        self.cleared
            .retain(|it, ()| committed.get(*it) == Some(Mark::Suspected));
        self.committed = committed;
    }

    /// Applies a step that is being proposed to the control log.
    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Cleared(it) => {
                self.exposed.shift_remove(it);
                if self.get(*it) == Some(Mark::Quarantined) {
                    return;
                }
                self.local.apply(step);
                if self.committed.get(*it).is_some() && self.cleared.len() < MAX_MARKS {
                    self.cleared.insert(*it, ());
                }
            }
            Step::Suspected(all) => {
                for it in all {
                    self.cleared.swap_remove(it);
                }
                let new = all
                    .iter()
                    .copied()
                    .filter(|it| self.committed.get(*it).is_none());
                self.local.apply(&Step::Suspected(new.collect()));
            }
            Step::Quarantined(it) => {
                self.cleared.swap_remove(it);
                if self.committed.get(*it) != Some(Mark::Quarantined) {
                    self.local.apply(step);
                }
            }
        }
    }

    /// Drops a quarantine that is not committed; one that is can only be cleared there.
    pub fn lift(&mut self, fingerprint: Fingerprint) {
        self.exposed.shift_remove(&fingerprint);
        self.local.marks.shift_remove(&fingerprint);
    }

    /// Mark of a request, if any.
    #[must_use]
    pub fn get(&self, fingerprint: Fingerprint) -> Option<Mark> {
        let committed = self
            .committed
            .get(fingerprint)
            .filter(|_| !self.cleared.contains_key(&fingerprint));
        committed.max(self.local.get(fingerprint))
    }

    /// Local changes that the control log has not committed.
    #[must_use]
    pub fn unconfirmed(&self) -> Vec<Step> {
        let of = |wanted: Mark| {
            let marks = self.local.marks.iter();
            marks.filter(move |(_, mark)| **mark == wanted)
        };
        let suspects: Vec<_> = of(Mark::Suspected).map(|(it, _)| *it).collect();
        let mut steps: Vec<_> = of(Mark::Quarantined)
            .map(|(it, _)| Step::Quarantined(*it))
            .collect();
        if !suspects.is_empty() {
            steps.push(Step::Suspected(suspects));
        }
        steps.extend(self.cleared.keys().map(|it| Step::Cleared(*it)));
        steps
    }
}
