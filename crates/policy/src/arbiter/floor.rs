//! Starvation guard: a bounded share of grants for classes past their wait bound.
//!
//! The starvation time of a class runs while it has demand and gets no grant,
//! whether its requests wait or were shed. Every ordinary grant earns a fraction of
//! a floor grant; the class longest past its wait bound spends it.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{catalogue::Class, id::ClassId};

/// Most floor grants that can accumulate.
const MAX_CREDIT: f64 = 2.0;

/// Most classes whose starvation time is tracked.
const MAX_CLASSES: usize = 4_096;

/// Starvation times and credit for floor grants.
#[derive(Debug)]
pub(super) struct Floor {
    share: f64,
    credit: f64,
    /// Since when each class has had demand without a grant.
    starved_since: IndexMap<ClassId, Instant>,
}

impl Floor {
    pub(super) fn new(share: f64) -> Self {
        Self {
            share,
            credit: 1.0,
            starved_since: IndexMap::new(),
        }
    }

    /// Starts the starvation time of a class with demand.
    pub(super) fn on_demand(&mut self, now: Instant, class: &ClassId) {
        if self.starved_since.len() < MAX_CLASSES && !self.starved_since.contains_key(class) {
            self.starved_since.insert(class.clone(), now);
        }
    }

    /// Restarts the starvation time after a grant, or ends it if no demand is left.
    pub(super) fn on_grant(&mut self, now: Instant, class: &ClassId, more: bool) {
        if more {
            self.starved_since.insert(class.clone(), now);
        } else {
            self.starved_since.swap_remove(class);
        }
    }

    /// Adds the credit that an ordinary grant earns.
    pub(super) fn earn(&mut self) {
        self.credit = (self.credit + self.share).min(MAX_CREDIT);
    }

    /// Spends the credit of one floor grant.
    pub(super) fn spend(&mut self) {
        self.credit -= 1.0;
    }

    pub(super) fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    /// Whether a class has had no grant since a time.
    pub(super) fn is_starved_since(&self, class: &ClassId, time: Instant) -> bool {
        self.starved_since
            .get(class)
            .is_some_and(|since| *since <= time)
    }

    /// How long a class is past its bound.
    pub(super) fn overrun(&self, now: Instant, class: &Class) -> Option<Duration> {
        let since = self.starved_since.get(&class.name)?;
        now.saturating_duration_since(*since)
            .checked_sub(class.wait_bound)
    }
}
