//! Whether a failed upstream attempt is retried.
//!
//! Each way in which an attempt can end is classified by what it tells about the
//! request: it did not run, it ran, or it may have run. A call that must run at
//! most once is retried only in the first case. Other calls may be retried within
//! the deadline, a maximum number of attempts and a retry budget per service.
//! Each request earns a fraction of a retry, so that an outage of all runners
//! adds at most that fraction of load. A budget starts empty, so the bound holds
//! from the first request.
//!
//! Load pattern: many daemons each see a few requests per second, so that a budget takes
//! seconds to earn its first retry while runners fail single requests all the time. Where
//! that is so, a budget starts full, with the daemon's [`Allowance`].

use std::time::{Duration, Instant};

/// Maximum number of attempts for one request, including the first.
pub const MAX_ATTEMPTS: u32 = 4;

/// Default maximum of retries that a budget accumulates; about the number of
/// concurrent streams of one runner.
pub const DEFAULT_BURST: u32 = 64;

/// Maximum burst of one daemon's budget where a service has many daemons: the number
/// of its requests that fail at once when a runner is lost.
const MAX_BURST_PER_DAEMON: u32 = 5;

/// Minimum time left before the deadline for another attempt.
pub const MIN_REMAINING: Duration = Duration::from_millis(20);

/// Credit that one retry costs; each request earns its service's `retry_percent`.
const RETRY_COST: u64 = 100;

/// Maximum burst of each daemon's budget for a service.
///
/// `slack` is the number of retries, over all daemons, that the service can absorb
/// in addition to the percentage that requests earn.
#[must_use]
pub fn burst_per_daemon(slack: u32, daemons: usize) -> u32 {
    let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
    // With a bound below one, earned fractions would never add up to a retry.
    (slack / daemons).clamp(1, MAX_BURST_PER_DAEMON)
}

/// Time over which the retries of all daemons together are bounded.
pub const SLACK_WINDOW: Duration = Duration::from_secs(10);

/// One in so many daemons may restart within [`SLACK_WINDOW`], each with a full budget, without
/// the retries of all daemons exceeding the slack.
const RESTART_RESERVE: usize = 8;

/// A daemon's part of the retries that a service absorbs beyond the percentage of its requests.
///
/// Within any [`SLACK_WINDOW`] a daemon makes at most the retries that its budget held and those
/// that its requests earn there. A budget holds at most the daemon's part of the slack, so that
/// all of them together stay within it. The part is given out as a full budget rather than over
/// time: requests earn a retry sooner than a part of the slack would.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Credit at the start.
    start: u64,
    /// Most credit.
    most: u64,
}

impl Allowance {
    /// The part of one of so many daemons.
    #[must_use]
    pub fn of(slack: u32, daemons: usize) -> Self {
        let daemons = daemons.max(1);
        let parts = daemons.saturating_add(daemons.div_ceil(RESTART_RESERVE));
        let part = u64::from(slack) * RETRY_COST / u64::try_from(parts).unwrap_or(u64::MAX);
        // Below a whole retry, earned fractions would never add up to one.
        let most = part.clamp(RETRY_COST, u64::from(MAX_BURST_PER_DAEMON) * RETRY_COST);
        Self {
            start: if part >= RETRY_COST { most } else { 0 },
            most,
        }
    }
}

/// Whether a request was executed upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It certainly did not run.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// How an upstream attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// No connection was established.
    Unconnected,
    /// The connection failed before the first byte was written.
    Unwritten,
    /// The connection failed while the request was being written.
    PartlyWritten,
    /// The connection ended before the response head was received.
    Unanswered,
    /// The response, or the rest of it, timed out.
    Late,
    /// The response was truncated.
    Cut,
    /// The response violates the protocol.
    Garbled,
    /// The response belongs to another request.
    Crossed,
    /// The response exceeds the size limit.
    TooLarge,
    /// A response with this status was received.
    Answered(u16),
}

impl Ending {
    /// Whether the request ran, given the statuses by which the service refuses requests.
    #[must_use]
    pub fn fate(self, refusal_statuses: &[u16]) -> Fate {
        match self {
            Self::Unconnected | Self::Unwritten => Fate::NotRun,
            Self::PartlyWritten
            | Self::Unanswered
            | Self::Late
            | Self::Cut
            | Self::Garbled
            | Self::Crossed
            | Self::TooLarge => Fate::Unknown,
            Self::Answered(status) if refusal_statuses.contains(&status) => Fate::NotRun,
            Self::Answered(status) if is_transient(status) => Fate::Unknown,
            Self::Answered(_) => Fate::Ran,
        }
    }
}

/// Whether a status reports a transient condition or comes from an intermediary,
/// and so does not tell whether the request ran.
fn is_transient(status: u16) -> bool {
    matches!(status, 408 | 421 | 425 | 429 | 502 | 503 | 504)
}

/// A failed attempt, with the limits on another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Whether the request ran.
    pub fate: Fate,
    /// Number of attempts so far, including this one.
    pub made: u32,
    /// Whether the call may run again.
    pub rerun: Rerun,
    /// Deadline of the caller's request.
    pub deadline: Instant,
}

/// Whether a call that may have run may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rerun {
    /// It must run at most once.
    Forbidden,
    /// It may run again.
    Allowed,
    /// It is repeatable, but its allowed runs are used up.
    Spent,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Retry; the budget was charged.
    Again,
    /// Respond to the caller without another attempt.
    GiveUp(Reason),
}

/// Why a failed attempt is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It ran: the response received is final.
    Ran,
    /// It may have run and must not run twice.
    MayHaveRun,
    /// The maximum number of attempts was made.
    Attempts,
    /// Too little time is left before the deadline.
    Late,
    /// The service's retry budget is exhausted.
    Budget,
}

/// Decides whether a failed attempt is retried, and charges the budget if so.
pub fn decide(now: Instant, attempt: &Attempt, budget: &mut Budget) -> Decision {
    match (attempt.fate, attempt.rerun) {
        (Fate::Ran, _) => return Decision::GiveUp(Reason::Ran),
        (Fate::Unknown, Rerun::Forbidden) => return Decision::GiveUp(Reason::MayHaveRun),
        _ => {}
    }
    if attempt.deadline.saturating_duration_since(now) < MIN_REMAINING {
        return Decision::GiveUp(Reason::Late);
    }
    let spent = attempt.fate == Fate::Unknown && attempt.rerun == Rerun::Spent;
    if spent || attempt.made >= MAX_ATTEMPTS {
        return Decision::GiveUp(Reason::Attempts);
    }
    if !budget.take() {
        return Decision::GiveUp(Reason::Budget);
    }
    Decision::Again
}

/// Retry budget of a service, earned by its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    percent: u32,
    /// Most credit.
    most: u64,
    credit: u64,
    /// Whether the credit at the start of an [`Allowance`] was added.
    started: bool,
}

impl Budget {
    /// An empty budget that earns `percent` of a retry with each request.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            most: u64::from(DEFAULT_BURST) * RETRY_COST,
            credit: 0,
            started: false,
        }
    }

    /// Replaces the maximum number of accumulated retries.
    #[must_use]
    pub fn with_burst(self, burst: u32) -> Self {
        Self {
            most: u64::from(burst) * RETRY_COST,
            ..self
        }
    }

    /// Changes the maximum number of accumulated retries; credit above it is lost.
    pub fn set_burst(&mut self, burst: u32) {
        self.most = u64::from(burst) * RETRY_COST;
        self.credit = self.credit.min(self.most);
    }

    /// Applies an allowance: the credit of its start once, and its bound each time.
    pub fn allow(&mut self, allowance: &Allowance) {
        let start = if self.started { 0 } else { allowance.start };
        self.started = true;
        self.most = allowance.most;
        self.credit = self.most.min(self.credit + start);
    }

    /// Changes the percentage; earned credit is kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Adds the credit of one request.
    pub fn earn(&mut self) {
        self.credit = self.most.min(self.credit + u64::from(self.percent));
    }

    /// Number of whole retries left.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.credit / RETRY_COST
    }

    /// Consumes one retry; false if none is left.
    pub fn take(&mut self) -> bool {
        let left = self.credit.checked_sub(RETRY_COST);
        self.credit = left.unwrap_or(self.credit);
        left.is_some()
    }
}
