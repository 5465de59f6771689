//! A bounded share of grants for classes that waited past their bound.
//!
//! The clock of a class runs while it has demand and gets no grant, whether
//! that demand waits or was shed. Every grant earns a fraction of a floor
//! grant; the class longest past its wait bound spends it.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{catalogue::Class, id::ClassId};

/// Most floor grants saved up.
const MAX_CREDIT: f64 = 2.0;

/// Most classes with a clock.
const MAX_CLASSES: usize = 4_096;

/// Clocks and credit.
#[derive(Debug)]
pub(super) struct Floor {
    share: f64,
    credit: f64,
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

    /// Starts the clock of a class with demand.
    pub(super) fn on_demand(&mut self, now: Instant, class: &ClassId) {
        if self.starved_since.len() < MAX_CLASSES && !self.starved_since.contains_key(class) {
            self.starved_since.insert(class.clone(), now);
        }
    }

    /// Starts the clock anew after a grant, or stops it with the demand.
    pub(super) fn on_grant(&mut self, now: Instant, class: &ClassId, more: bool) {
        if more {
            self.starved_since.insert(class.clone(), now);
        } else {
            self.starved_since.swap_remove(class);
        }
    }

    /// Earns the share of an ordinary grant.
    pub(super) fn earn(&mut self) {
        self.credit = (self.credit + self.share).min(MAX_CREDIT);
    }

    /// Spends one floor grant.
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
