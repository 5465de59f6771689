//! Weight of pauses in the choice of a runner, learned from streams that paused too long.
//!
//! Load pattern: streams whose events must not pause share runners with long prompts.
//! How long a runner pauses for a prompt depends on the size of its chunks, on its speed
//! and on other work on its machine, none of which is known here, and which differ
//! between services by more than the pauses that their classes allow. So the weight of a
//! class rises with each stream that paused too long and falls slowly with each that did
//! not. At a high weight its streams and long prompts end up on different runners, by
//! shares that follow the mix of requests.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{catalogue::Class, id::ClassId};

/// Factor on the weight for a stream that paused too long.
const RISE: f64 = 1.2;

/// Share of streams that may pause too long before the weight rises: the logarithms of
/// rise and fall balance there.
const TOLERATED_SHARE: f64 = 0.02;

/// Largest weight: one stream then counts like this many at the unlearned weight.
const MAX_WEIGHT: f64 = 32.0;

/// Most classes with a weight.
const MAX_CLASSES: usize = 4_096;

/// Weights by class.
#[derive(Debug, Default)]
pub(super) struct Pauses {
    weights: IndexMap<ClassId, f64>,
}

impl Pauses {
    /// Factor on the pause sensitivity of a class.
    pub(super) fn weight(&self, class: &ClassId) -> f64 {
        self.weights.get(class).copied().unwrap_or(1.0)
    }

    /// Records the longest pause of a stream that a runner completed.
    pub(super) fn on_stream(&mut self, class: &Class, longest: Duration) {
        if !self.weights.contains_key(&class.name) && self.weights.len() >= MAX_CLASSES {
            return;
        }
        let weight = self.weights.entry(class.name.clone()).or_insert(1.0);
        let factor = if longest > class.between_tokens {
            RISE
        } else {
            RISE.powf(-TOLERATED_SHARE / (1.0 - TOLERATED_SHARE))
        };
        *weight = (*weight * factor).clamp(1.0, MAX_WEIGHT);
    }
}
