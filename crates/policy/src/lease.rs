//! The lease of the duties that one instance at a time carries out.
//!
//! Some calls to the platform must come from one instance at a time, and the platform
//! does not check who calls. The control log holds one lease for all of them. Its
//! fencing token is the index of the log entry that granted it, so it grows with each
//! grant and is never given twice.
//!
//! Load pattern: holders are suspended, cut off or killed at any moment, between the
//! check of the lease and the call too, and the time of day jumps. So only the
//! boot-time clock is used, and only to measure spans:
//!
//! - A holder may call for two thirds of the lease time, counted from before it sent
//!   its last renewal, and every call ends within that time.
//! - Another candidate may take the lease only once it has seen the record unchanged
//!   for the whole lease time and a margin. A take names the renewal that it saw last
//!   and is granted only if none followed, so a candidate that lags behind gets nothing.
//!
//! Each change of holder therefore comes at least a lease time after the last call of
//! the one before, which also rules out that holders alternate within it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::{FencingToken, Index, InstanceId, ReplicaId};

/// Part of the lease time for which a holder may call after a renewal.
const HOLD_SHARE: f64 = 2.0 / 3.0;

/// Part of the lease time between two renewals.
const RENEWAL_SHARE: f64 = 0.25;

/// Added to the lease time before another candidate takes the lease: covers clocks
/// that run at different rates, and calls that are on their way.
const TAKE_MARGIN: Duration = Duration::from_millis(500);

/// Wait between candidates of adjacent ranks, so that they do not all propose at once.
const RANK_INTERVAL: Duration = Duration::from_millis(150);

/// Time without a result after which a proposal is made again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time from a renewal that is known to have failed to the next. A take waits for the whole
/// timeout, as each asks all replicas and nothing is lost by a later one.
const RENEWAL_RETRY: Duration = Duration::from_millis(250);

/// The lease, as recorded in the control log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Data folder of the holder; a machine that lost its disk is another holder.
    pub holder: ReplicaId,
    /// Instance of the holder.
    pub instance: InstanceId,
    /// Index of the entry that granted the lease.
    pub token: FencingToken,
    /// Index of the entry that last renewed it.
    pub renewed: Index,
}

/// A change of the lease, proposed to the control log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Takes the lease, if its last renewal is still the one at `after`.
    Take {
        /// Data folder of the new holder.
        holder: ReplicaId,
        /// Instance of the new holder.
        instance: InstanceId,
        /// Last renewal that the candidate saw; zero if there is no record.
        after: Index,
    },
    /// Renews the lease, if it is still held under this token.
    ///
    /// A replica that ran a build without leases may lack the grant; it adopts a lease with
    /// a higher token than its own, as only a grant elsewhere makes one.
    Renew {
        /// Data folder of the holder.
        holder: ReplicaId,
        /// Instance of the holder.
        instance: InstanceId,
        /// Token of the holder.
        token: FencingToken,
    },
}

impl Step {
    /// Applies the step at an index of the log; it has no effect if its condition fails.
    pub fn apply(&self, index: Index, record: &mut Option<Record>) {
        match self {
            Self::Take {
                holder,
                instance,
                after,
            } => {
                let renewed = record.as_ref().map_or(0, |it| it.renewed);
                if renewed == *after {
                    *record = Some(Record {
                        holder: *holder,
                        instance: instance.clone(),
                        token: index,
                        renewed: index,
                    });
                }
            }
            Self::Renew {
                holder,
                instance,
                token,
            } => match record {
                Some(record) if record.token > *token => {}
                Some(record) if record.token == *token => {
                    if record.holder == *holder {
                        record.renewed = index;
                    }
                }
                _ => {
                    *record = Some(Record {
                        holder: *holder,
                        instance: instance.clone(),
                        token: *token,
                        renewed: index,
                    });
                }
            },
        }
    }
}

/// Durations of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Shortest time between the last call of one holder and the first of the next.
    pub term: Duration,
    /// Time without any answer from the platform after which a holder gives up the lease.
    pub unreachable_after: Duration,
    /// Time for which it then lets others take it.
    pub abstain: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(3),
            unreachable_after: Duration::from_secs(2),
            abstain: Duration::from_secs(10),
        }
    }
}

/// A lease that this instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    token: FencingToken,
    /// When the last renewal that succeeded was proposed.
    renewed_at: Instant,
}

/// One instance with a replica of the control log, which may hold the lease.
///
/// All times are of the boot-time clock.
#[derive(Clone, Debug)]
pub struct Candidate {
    settings: Settings,
    me: ReplicaId,
    instance: InstanceId,
    /// Record with the latest renewal known, and when it was first seen.
    seen: Option<(Option<Record>, Instant)>,
    held: Option<Held>,
    /// When the proposal without a result was made, and the wait until the next.
    pending: Option<(Instant, Duration)>,
    /// Start of the calls without any answer.
    unanswered_since: Option<Instant>,
    abstains_until: Option<Instant>,
}

impl Candidate {
    /// A candidate that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, me: ReplicaId, instance: InstanceId) -> Self {
        Self {
            settings,
            me,
            instance,
            seen: None,
            held: None,
            pending: None,
            unanswered_since: None,
            abstains_until: None,
        }
    }

    /// The record with the latest renewal known.
    #[must_use]
    pub fn record(&self) -> Option<&Record> {
        self.seen.as_ref().and_then(|(record, _)| record.as_ref())
    }

    /// Records the state of the local replica, which may lag behind.
    pub fn observe(&mut self, now: Instant, record: Option<&Record>) {
        let known = self.record().map_or(0, |it| it.renewed);
        let renewed = record.map_or(0, |it| it.renewed);
        if self.seen.is_some() && renewed <= known {
            return;
        }
        self.seen = Some((record.cloned(), now));
        let holds =
            |held: &Held| record.is_some_and(|it| it.holder == self.me && it.token == held.token);
        if !self.held.as_ref().is_some_and(holds) {
            self.held = None;
        }
    }

    /// The step to propose now, if any; `rank` is this candidate's place among all.
    pub fn propose(&mut self, now: Instant, rank: usize) -> Option<Step> {
        let waits = |(at, wait)| since(now, at) < wait;
        if self.pending.is_some_and(waits) || self.abstains(now) {
            return None;
        }
        let (record, seen_at) = self.seen.as_ref()?;
        let step = match record {
            Some(record) if record.holder == self.me => {
                let interval = self.settings.term.mul_f64(RENEWAL_SHARE);
                let renewed_at = self.held.map(|it| it.renewed_at);
                if renewed_at.is_some_and(|at| since(now, at) < interval) {
                    return None;
                }
                Step::Renew {
                    holder: self.me,
                    instance: self.instance.clone(),
                    token: record.token,
                }
            }
            _ => {
                let rank = u32::try_from(rank).unwrap_or(u32::MAX);
                let wait = self.settings.term + TAKE_MARGIN + RANK_INTERVAL.saturating_mul(rank);
                if since(now, *seen_at) < wait {
                    return None;
                }
                Step::Take {
                    holder: self.me,
                    instance: self.instance.clone(),
                    after: record.as_ref().map_or(0, |it| it.renewed),
                }
            }
        };
        self.pending = Some((now, PROPOSAL_TIMEOUT));
        Some(step)
    }

    /// Records the answer to a step that was proposed at `proposed_at`.
    ///
    /// Only a renewal under the token in force is known to have had an effect. A take that
    /// came too late has the same answer as one that was granted, if an earlier take of
    /// this candidate was; so a granted lease is used after its first renewal.
    pub fn on_answer(
        &mut self,
        now: Instant,
        proposed_at: Instant,
        step: &Step,
        record: Option<&Record>,
    ) {
        let is_own = record.is_some_and(|it| it.holder == self.me);
        if is_own && self.is_pending(proposed_at) {
            self.pending = None;
        }
        self.observe(now, record);
        let in_force = |it: &&Record| match step {
            Step::Renew { holder, token, .. } => it.holder == *holder && it.token == *token,
            Step::Take { .. } => false,
        };
        let Some(record) = record.filter(in_force) else {
            return;
        };
        if self.abstains(now) {
            return;
        }
        let continues = |it: Held| it.token == record.token && proposed_at <= self.hold_end(it);
        if !self.held.is_some_and(continues) {
            // Calls that failed in an earlier hold say nothing about the path in this one.
            self.unanswered_since = None;
        }
        // The answer to an older step may come late; the time counts from the step.
        if self.held.is_none_or(|it| it.renewed_at < proposed_at) {
            self.held = Some(Held {
                token: record.token,
                renewed_at: proposed_at,
            });
        }
    }

    /// Records that the outcome of a step is unknown, or that it was not proposed.
    pub fn on_no_answer(&mut self, proposed_at: Instant) {
        let is_own = self.record().is_some_and(|it| it.holder == self.me);
        if is_own && self.is_pending(proposed_at) {
            self.pending = Some((proposed_at, RENEWAL_RETRY));
        }
    }

    fn is_pending(&self, proposed_at: Instant) -> bool {
        self.pending.is_some_and(|(at, _)| at == proposed_at)
    }

    /// Token under which a call that takes at most `call` may be sent now.
    #[must_use]
    pub fn fence(&self, now: Instant, call: Duration) -> Option<FencingToken> {
        let held = self.held?;
        (now + call <= self.hold_end(held)).then_some(held.token)
    }

    /// When the calls under a lease must have ended.
    fn hold_end(&self, held: Held) -> Instant {
        held.renewed_at + self.settings.term.mul_f64(HOLD_SHARE)
    }

    /// Records whether the platform answered a call at all.
    pub fn on_call(&mut self, now: Instant, answered: bool) {
        if answered {
            self.unanswered_since = None;
            return;
        }
        let since_first = since(now, *self.unanswered_since.get_or_insert(now));
        if since_first >= self.settings.unreachable_after {
            self.unanswered_since = None;
            self.abstain(now);
        }
    }

    /// Lets the lease run out, for example since this instance is leaving.
    pub fn abstain(&mut self, now: Instant) {
        self.held = None;
        self.abstains_until = Some(now + self.settings.abstain);
    }

    /// Whether it lets others take the lease.
    #[must_use]
    pub fn abstains(&self, now: Instant) -> bool {
        self.abstains_until.is_some_and(|until| now < until)
    }
}

fn since(now: Instant, at: Instant) -> Duration {
    now.saturating_duration_since(at)
}
