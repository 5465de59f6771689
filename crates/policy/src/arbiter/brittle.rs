//! Runners that fall over if they have to turn too many requests away in a second.
//!
//! Load pattern: all daemons send to runners in need, whose room shrinks without a word.
//! What a runner takes shows only when it turns a request away, and it says how many of
//! those it bears. The arbiter grants all slots, so it counts the requests that may yet
//! be turned away together with those that were, and keeps the sum within that number.
//! Room that proved too small is taken back slowly, so that rejections stay rare.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Span over which a runner counts what it turns away.
const SPAN: Duration = Duration::from_secs(1);

/// Time after a grant from which the request was taken, if it was not turned away: a
/// runner rejects at once, and the word of it takes some round trips on busy machines.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time without a rejection after which a runner is tried with one request more.
const GROWTH_INTERVAL: Duration = Duration::from_secs(2);

/// Time since an answer last said so from which a runner is no longer brittle.
const MEMORY: Duration = Duration::from_secs(10);

/// Most rejections remembered for one runner.
const MAX_REJECTIONS: usize = 64;

/// A runner that said that it is brittle.
#[derive(Clone, Debug)]
pub(super) struct Brittle {
    /// Rejections in a second that it bears.
    most: u32,
    heard_at: Instant,
    /// Times of the grants whose requests may yet be turned away.
    fresh: VecDeque<Instant>,
    rejected: VecDeque<Instant>,
    /// Requests that it takes at once, as far as rejections have shown.
    room: Option<u32>,
    changed_at: Instant,
}

impl Brittle {
    pub(super) fn new(now: Instant, most: u32) -> Self {
        Self {
            most,
            heard_at: now,
            fresh: VecDeque::new(),
            rejected: VecDeque::new(),
            room: None,
            changed_at: now,
        }
    }

    pub(super) fn most(&self) -> u32 {
        self.most
    }

    /// Records that an answer says so.
    pub(super) fn on_named(&mut self, now: Instant, most: u32) {
        self.most = most;
        self.heard_at = now;
    }

    /// Whether answers have said so lately.
    pub(super) fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard_at) <= MEMORY
    }

    pub(super) fn on_grant(&mut self, now: Instant) {
        self.fresh
            .retain(|at| now.saturating_duration_since(*at) < SETTLE_TIME);
        self.fresh.push_back(now);
    }

    /// Records that a request granted at `granted` was taken, or has ended.
    pub(super) fn on_settled(&mut self, granted: Instant) {
        if let Some(place) = self.fresh.iter().position(|at| *at == granted) {
            self.fresh.remove(place);
        }
    }

    /// Records that a request was turned away while `held` others were there.
    pub(super) fn on_rejected(&mut self, now: Instant, held: u32) {
        if self.rejected.len() >= MAX_REJECTIONS {
            self.rejected.pop_front();
        }
        self.rejected.push_back(now);
        self.room = Some(held.max(1));
        self.changed_at = now;
    }

    /// Whether another request might be one too many to turn away.
    pub(super) fn holds_back(&self, now: Instant) -> bool {
        let within = |at: &&Instant, span| now.saturating_duration_since(**at) < span;
        let fresh = self.fresh.iter().filter(|at| within(at, SETTLE_TIME));
        let rejected = self.rejected.iter().filter(|at| within(at, SPAN));
        let risk = fresh.count() + rejected.count();
        risk >= self.most.max(1) as usize
    }

    /// Requests that it may be given at once.
    pub(super) fn room(&self, now: Instant) -> Option<u32> {
        let since = now.saturating_duration_since(self.changed_at);
        let grown = since.as_secs() / GROWTH_INTERVAL.as_secs();
        let grown = u32::try_from(grown).unwrap_or(u32::MAX);
        self.room.map(|room| room.saturating_add(grown))
    }
}
