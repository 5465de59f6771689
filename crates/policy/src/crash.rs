//! Requests that crash the runners that run them.

use indexmap::IndexMap;

use crate::id::Fingerprint;

/// How a marked request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
    /// Takes in a committed step.
    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Suspected(fingerprints) => {
                for fingerprint in fingerprints {
                    self.marks.entry(*fingerprint).or_insert(Mark::Suspected);
                }
            }
            Step::Quarantined(fingerprint) => {
                self.marks.insert(*fingerprint, Mark::Quarantined);
            }
            Step::Cleared(fingerprint) => {
                self.marks.shift_remove(fingerprint);
            }
        }
    }
}
