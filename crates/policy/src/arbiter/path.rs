//! Failures that tell of an asker's path, not of a runner.
//!
//! Load pattern: some daemons lose their paths to all runners for seconds, while the
//! others are served. Held against the runners, the failures of those few would put the
//! runners out of use for all. A runner that has just answered another asker is not
//! dead because one asker fails there, and an asker that fails at one runner after the
//! other, while others are served, has lost its own path.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use crate::id::RunnerId;

/// Time for which an answer shows that a runner lives.
const WITNESS_AGE: Duration = Duration::from_secs(1);

/// Runners at which an asker fails, without an answer in between, from which its own
/// path is in doubt.
const MIN_UNREACHED: usize = 2;

/// Most askers whose answers are remembered for one runner.
const MAX_WITNESSES: usize = 16;

/// Paths of the askers to the runners.
#[derive(Debug, Default)]
pub(super) struct Paths {
    askers: IndexMap<u32, Path>,
}

/// Path of one asker.
#[derive(Debug, Default)]
struct Path {
    answered: Option<Instant>,
    /// Runners at which it failed since its last answer.
    unreached: IndexSet<RunnerId>,
}

impl Path {
    fn is_doubtful(&self) -> bool {
        self.unreached.len() >= MIN_UNREACHED
    }

    fn is_served(&self, now: Instant) -> bool {
        let age = self.answered.map(|at| now.saturating_duration_since(at));
        !self.is_doubtful() && age.is_some_and(|age| age <= WITNESS_AGE)
    }
}

/// What the askers have seen of one runner.
#[derive(Debug, Default)]
pub(super) struct Sightings {
    /// Askers that it answered, and have not failed there since.
    witnesses: IndexMap<u32, Instant>,
    /// Askers that have failed there since it last answered any.
    accusers: IndexSet<u32>,
}

impl Paths {
    /// Records that a runner answered an asker.
    pub(super) fn on_answer(&mut self, now: Instant, asker: u32, sightings: &mut Sightings) {
        let path = self.askers.entry(asker).or_default();
        path.answered = Some(now);
        path.unreached.clear();
        sightings.accusers.clear();
        if sightings.witnesses.len() >= MAX_WITNESSES {
            sightings.witnesses.shift_remove_index(0);
        }
        sightings.witnesses.shift_remove(&asker);
        sightings.witnesses.insert(asker, now);
    }

    /// Records that an asker did not reach a runner, or lost its connection; true if
    /// that may be held against the runner.
    pub(super) fn on_failure(
        &mut self,
        now: Instant,
        asker: u32,
        runner: &RunnerId,
        sightings: &mut Sightings,
    ) -> bool {
        let path = self.askers.entry(asker).or_default();
        path.unreached.insert(runner.clone());
        sightings.witnesses.shift_remove(&asker);
        if self.is_cut_off(now, asker) {
            return false;
        }
        sightings.accusers.insert(asker);
        let fresh = |at: &Instant| now.saturating_duration_since(*at) <= WITNESS_AGE;
        let contradicted = sightings.witnesses.values().any(fresh);
        !(contradicted && sightings.accusers.len() <= 1)
    }

    /// Whether an asker has lost its own path, as far as the others show.
    pub(super) fn is_cut_off(&self, now: Instant, asker: u32) -> bool {
        let path = self.askers.get(&asker);
        let mut others = self.askers.iter().filter(|(other, _)| **other != asker);
        path.is_some_and(Path::is_doubtful) && others.any(|(_, it)| it.is_served(now))
    }

    pub(super) fn forget(&mut self, asker: u32) {
        self.askers.swap_remove(&asker);
    }
}
