//! Runners of one kind in one failure domain: what is there, wanted and ordered.

use std::time::{Duration, Instant};

use super::{Count, Outcome};

/// Shortest time between two equal orders.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Runners of one kind in one failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cell {
    pub(super) count: Count,
    /// Number that is wanted.
    pub(super) desired: u32,
    /// Number that the platform was last known to accept.
    pub(super) accepted: u32,
    /// When an order was last accepted, or the number was first seen.
    accepted_at: Option<Instant>,
    /// Whether that number was ordered here, and not found.
    is_ordered: bool,
    /// Number in the order on its way.
    sent: Option<u32>,
    /// Number in an order without an answer, which the platform may have accepted.
    uncertain: Option<u32>,
    /// Since when fewer are ready than were accepted.
    missing_since: Option<Instant>,
    excluded_until: Option<Instant>,
    /// Runners that were given up while they started, and until when they may come.
    late: Option<(u32, Instant)>,
}

/// Runners of a service in one failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Site {
    pub(super) stable: Cell,
    pub(super) reclaimable: Cell,
}

impl Site {
    pub(super) fn cell(&mut self, reclaimable: bool) -> &mut Cell {
        if reclaimable {
            &mut self.reclaimable
        } else {
            &mut self.stable
        }
    }
}

impl Cell {
    /// Records the runners that are listed.
    pub(super) fn on_count(&mut self, now: Instant, count: Count) {
        self.count = count;
        self.late = self.late.filter(|(_, until)| now < *until);
        if count.ready >= self.accepted {
            self.missing_since = None;
        } else {
            self.missing_since.get_or_insert(now);
        }
    }

    /// Takes a number as ordered that a former holder, or the platform, chose.
    pub(super) fn adopt(&mut self, now: Instant, number: u32) {
        self.desired = number;
        self.accepted = number;
        self.accepted_at = Some(now);
        self.is_ordered = false;
        self.uncertain = None;
        if self.count.ready >= number {
            self.missing_since = None;
        }
    }

    /// Counts only the runners that are ready, as the platform takes back others; those that
    /// start may come nevertheless.
    pub(super) fn give_up(&mut self, now: Instant, until: Instant) {
        let listed = self.count.ready + self.count.leaving;
        self.late = Some((self.in_force().saturating_sub(listed), until));
        self.adopt(now, self.count.ready);
    }

    /// Takes over an order of a former holder, which may not know whether it is in force; so
    /// it is sent again as long as runners are missing.
    pub(super) fn adopt_order(&mut self, now: Instant, number: u32) {
        self.adopt(now, number);
        self.uncertain = (self.count.ready < number).then_some(number);
    }

    /// Largest number that may be in force: answers may be lost.
    pub(super) fn in_force(&self) -> u32 {
        let orders = [self.sent, self.uncertain];
        let sent = orders.into_iter().flatten().max().unwrap_or_default();
        self.accepted.max(sent)
    }

    /// Largest number that may come to be, whichever orders arrive.
    pub(super) fn most(&self) -> u32 {
        let late = self.late.map_or(0, |(number, _)| number);
        self.desired.max(self.in_force()).max(late)
    }

    pub(super) fn is_excluded(&self, now: Instant) -> bool {
        self.excluded_until.is_some_and(|until| now < until)
    }

    pub(super) fn exclude(&mut self, until: Instant) {
        self.excluded_until = Some(until);
    }

    /// Whether there are runners that nobody here ordered; a holder that is new may find
    /// ready what a former one ordered.
    pub(super) fn is_exceeded(&self, is_new: bool) -> bool {
        (is_new || !self.is_ordered) && self.count.ready > self.desired
    }

    /// Whether the platform takes the runners back: a step down makes fewer leave than stay.
    pub(super) fn is_leaving(&self) -> bool {
        self.count.leaving > self.count.ready
    }

    /// Whether runners that were ordered did not come within `allowed`.
    pub(super) fn is_overdue(&self, now: Instant, allowed: Duration) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= allowed;
        self.sent.is_none()
            && self.desired == self.accepted
            && self.missing_since.is_some_and(is_old)
            && self.accepted_at.is_none_or(is_old)
    }

    /// Whether an order is to be sent.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        if self.sent.is_some() {
            return false;
        }
        let is_old = |at: Instant| now.saturating_duration_since(at) >= REPEAT_INTERVAL;
        let repeat = self.is_ordered
            && self.count.ready > self.desired
            && self.accepted_at.is_some_and(is_old);
        self.desired != self.accepted || self.uncertain.is_some() || repeat
    }

    /// Records that an order is written; returns the number.
    pub(super) fn send(&mut self) -> u32 {
        self.sent = Some(self.desired);
        self.desired
    }

    pub(super) fn on_outcome(
        &mut self,
        now: Instant,
        desired: u32,
        outcome: Outcome,
        exclusion: Duration,
    ) {
        self.sent = None;
        match outcome {
            Outcome::Accepted => {
                self.uncertain = None;
                self.accepted = desired;
                self.accepted_at = Some(now);
                self.is_ordered = true;
            }
            Outcome::Unavailable => {
                self.uncertain = None;
                self.desired = self.desired.min(self.accepted);
                self.exclude(now + exclusion);
            }
            Outcome::Failed => self.uncertain = self.uncertain.max(Some(desired)),
        }
    }
}
