//! What the daemons hold and know of runners, told to an arbiter before it grants.
//!
//! A new arbiter asks all daemons. One whose process stood still asks them again: askers
//! may have gone to another arbiter meanwhile, and what that one granted and was told
//! (slots, limits of runners, exposures, records of streams) is not known here. The same
//! holds for one that was cut off from the askers, which shows as they come back. Daemons
//! that have not told within the time for which grants wait are asked until they do.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use super::{Arbiter, Effect, Reply};
use crate::id::{Epoch, InstanceId};

/// Time without any event, ticks included, after which the daemons are asked again.
/// Askers go on after 200 ms without an answer, and the next arbiter collects first.
const MAX_GAP: Duration = Duration::from_millis(400);

/// Time between two questions to daemons that have not told.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Wait of an arbiter for the daemons' slots.
#[derive(Debug)]
pub(super) struct Collecting {
    /// Daemons that have not reported yet.
    pub(super) missing: IndexSet<InstanceId>,
    pub(super) until: Instant,
    /// Until when it waits for a usable runner.
    pub(super) list_until: Instant,
}

/// Daemons that had not reported when the wait for them ended.
#[derive(Debug, Default)]
pub(super) struct Untold {
    missing: IndexSet<InstanceId>,
    asked_at: Option<Instant>,
}

impl Arbiter {
    /// Asks all daemons again, and grants nothing until they have told, if this process
    /// has stood still.
    pub(super) fn collect_after_gap(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let gap = now.saturating_duration_since(self.last_event);
        self.last_event = now;
        if gap >= MAX_GAP {
            self.collect_again(now, effects);
        }
    }

    /// Does the same if an asker that comes takes grants from a later epoch only than the
    /// next one, as another arbiter has answered it in that one.
    pub(super) fn collect_beside_others(
        &mut self,
        now: Instant,
        least: Epoch,
        effects: &mut Vec<Effect>,
    ) {
        let is_early = now.saturating_duration_since(self.collected_at) < self.settings.lease;
        if least > self.epoch + 1 && self.collecting.is_none() && !is_early {
            self.collect_again(now, effects);
        }
    }

    fn collect_again(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.collected_at = now;
        let missing = self.searches.live().clone();
        let list_until = self.collecting.as_ref().map_or(now, |it| it.list_until);
        let asked = missing.iter().cloned();
        effects.extend(asked.map(|it| Effect::Send(it, Reply::RequestInventory)));
        self.collecting = Some(Collecting {
            missing,
            until: now + self.settings.collect_timeout,
            list_until,
        });
    }

    /// Starts granting once every daemon has reported its slots, or on timeout.
    pub(super) fn end_collecting(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let ended = self
            .collecting
            .as_ref()
            .is_some_and(|it| it.missing.is_empty() || now >= it.until);
        let awaits_list = self
            .collecting
            .as_ref()
            .is_some_and(|it| now < it.list_until && self.pool.is_unusable())
            && self.has_slots();
        if ended
            && !awaits_list
            && let Some(collecting) = self.collecting.take()
        {
            self.untold = Untold {
                missing: collecting.missing,
                asked_at: Some(now),
            };
            self.refuse_without_runner(now, effects);
            self.decide_builds(now, effects);
        }
    }

    /// Asks daemons that have not told what they hold again.
    pub(super) fn ask_untold(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let is_early = |at| now.saturating_duration_since(at) < REPEAT_INTERVAL;
        let live = self.searches.live();
        self.untold.missing.retain(|it| live.contains(it));
        if self.untold.missing.is_empty() || self.untold.asked_at.is_some_and(is_early) {
            return;
        }
        self.untold.asked_at = Some(now);
        let missing = self.untold.missing.iter().cloned();
        effects.extend(missing.map(|it| Effect::Send(it, Reply::RequestInventory)));
    }

    /// Records that a daemon has told what it holds.
    pub(super) fn on_reported(&mut self, from: &InstanceId) {
        self.untold.missing.swap_remove(from);
        if let Some(collecting) = &mut self.collecting {
            collecting.missing.swap_remove(from);
        }
    }
}
