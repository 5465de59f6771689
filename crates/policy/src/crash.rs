//! Requests that crash the runners that run them.
//!
//! A runner that breaks makes every request in flight there a suspect. Suspects
//! run alone, one per pool at a time; the one that breaks a runner while alone
//! is quarantined, and completion clears a bystander. Marks reach all daemons
//! through the control log; until they do, whoever saw the break keeps them in
//! an [`Overlay`], so that neither a slow log nor a lost arbiter forgets them.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::id::Fingerprint;

/// Most marks in the table; the oldest suspects give way first.
pub const MAX_MARKS: usize = 4_096;

/// How a marked request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mark {
    /// Was in flight on a runner that crashed; runs alone from now on.
    Suspected,
    /// Crashed a runner while it ran alone; never runs again.
    Quarantined,
}

/// A committed step of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// These were in flight on a runner that crashed.
    Suspected(Vec<Fingerprint>),
    /// This one crashed a runner while it ran alone.
    Quarantined(Fingerprint),
    /// This one completed alone, or an operator released it.
    Cleared(Fingerprint),
}

/// Marked requests by fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Marks in the order in which they were set.
    pub marks: IndexMap<Fingerprint, Mark>,
}

impl Table {
    /// Takes in one step; equal steps may come again.
    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Suspected(all) => all.iter().for_each(|it| self.set(*it, Mark::Suspected)),
            Step::Quarantined(it) => self.set(*it, Mark::Quarantined),
            Step::Cleared(it) => {
                self.marks.shift_remove(it);
            }
        }
    }

    /// How a request stands.
    #[must_use]
    pub fn get(&self, fingerprint: Fingerprint) -> Option<Mark> {
        self.marks.get(&fingerprint).copied()
    }

    /// Sets a mark; a quarantine is never lowered to a suspicion.
    fn set(&mut self, fingerprint: Fingerprint, mark: Mark) {
        if let Some(old) = self.marks.get_mut(&fingerprint) {
            *old = mark.max(*old);
            return;
        }
        if self.marks.len() >= MAX_MARKS {
            self.drop_oldest();
        }
        self.marks.insert(fingerprint, mark);
    }

    fn drop_oldest(&mut self) {
        let suspect = self.marks.values().position(|it| *it == Mark::Suspected);
        self.marks.shift_remove_index(suspect.unwrap_or(0));
    }
}

/// The committed marks with what this daemon knows beyond them.
#[derive(Clone, Debug, Default)]
pub struct Overlay {
    committed: Arc<Table>,
    /// Marks set here and not yet committed.
    local: Table,
    /// Clearances given here and not yet committed.
    cleared: IndexMap<Fingerprint, ()>,
}

impl Overlay {
    /// Takes in the committed marks; what they confirm is no longer kept here.
    pub fn commit(&mut self, committed: Arc<Table>) {
        self.local
            .marks
            .retain(|it, mark| committed.get(*it) < Some(*mark));
        self.cleared.retain(|it, ()| committed.get(*it).is_some());
        self.committed = committed;
    }

    /// Takes in a step that is on its way to the control log.
    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Cleared(it) => {
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

    /// How a request stands.
    #[must_use]
    pub fn get(&self, fingerprint: Fingerprint) -> Option<Mark> {
        let committed = self
            .committed
            .get(fingerprint)
            .filter(|_| !self.cleared.contains_key(&fingerprint));
        committed.max(self.local.get(fingerprint))
    }

    /// Marks set here that the control log has not confirmed.
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
