//! Whether a failed attempt upstream is made again.
//!
//! One table says what each way of ending tells about the request: it did not
//! run, it ran, or it may have run. A call that must run at most once is made
//! again only in the first case. Everything else may be repeated, but only
//! within the deadline, a few attempts, and a budget per service: each request
//! earns a fraction of a retry, so an outage of all runners meets at most that
//! fraction of extra load. A budget starts empty, so the bound holds from the
//! first request on.

use std::time::{Duration, Instant};

/// Most attempts for one request, the first one included.
pub const MAX_ATTEMPTS: u32 = 4;

/// Retries that a budget keeps at most; about the streams of one runner.
pub const DEFAULT_BURST: u32 = 64;

/// Retries that one daemon saves up at most for a service of many daemons; as many
/// as fail at once when a runner with some of its requests is lost.
const MAX_SAVED: u32 = 5;

/// Least time before the deadline in which an attempt is still worth making.
pub const MIN_REMAINING: Duration = Duration::from_millis(20);

/// Credit that one retry costs; a request earns its service's percentage.
const RETRY_COST: u64 = 100;

/// Retries that each of so many daemons may save up, where a service bears `slack`
/// of them all together beyond the share that requests earn.
#[must_use]
pub fn burst_per_daemon(slack: u32, daemons: usize) -> u32 {
    let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
    // Without room for one, a fraction that was earned would never become a retry.
    (slack / daemons).clamp(1, MAX_SAVED)
}

/// Whether a request ran upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It certainly did not run.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// How an attempt upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// No connection was made.
    Unconnected,
    /// The connection failed before the first byte was handed to it.
    Unwritten,
    /// The connection failed while the request was being written.
    PartlyWritten,
    /// The connection ended before the head of an answer.
    Unanswered,
    /// No answer, or no more of it, came in time.
    Late,
    /// The answer ended before it was whole.
    Cut,
    /// The answer does not follow the protocol.
    Garbled,
    /// The answer belongs to another request.
    Crossed,
    /// The answer is larger than allowed.
    TooLarge,
    /// An answer came with this status.
    Answered(u16),
}

impl Ending {
    /// What the ending says, given the statuses by which a service refuses.
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
            Self::Answered(status) if is_passing(status) => Fate::Unknown,
            Self::Answered(_) => Fate::Ran,
        }
    }
}

/// Whether a status speaks of the moment or of a hop between, not of the request.
fn is_passing(status: u16) -> bool {
    matches!(status, 408 | 421 | 425 | 429 | 502 | 503 | 504)
}

/// A failed attempt, and what bounds another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// How it ended.
    pub fate: Fate,
    /// Attempts made so far, this one included.
    pub made: u32,
    /// Whether the call may run once more.
    pub rerun: Rerun,
    /// When the caller's time is over.
    pub deadline: Instant,
}

/// Whether a call that may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rerun {
    /// It must run at most once.
    Forbidden,
    /// It may run again.
    Allowed,
    /// It might, but has had all the runs that it may have.
    Spent,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Make another attempt; the budget was charged.
    Again,
    /// Answer the caller now.
    GiveUp(Reason),
}

/// Why no other attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It ran: the answer that came is the answer.
    Ran,
    /// It may have run and must not run twice.
    MayHaveRun,
    /// Too many attempts were made.
    Attempts,
    /// Too little time is left.
    Late,
    /// The service's retry budget is used up.
    Budget,
}

/// Decides what follows a failed attempt, and charges the budget for another.
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

/// Retries that a service has earned by its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    percent: u32,
    burst: u32,
    credit: u64,
}

impl Budget {
    /// An empty budget that earns `percent` of a retry with each request.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            burst: DEFAULT_BURST,
            credit: 0,
        }
    }

    /// The budget with another bound on what it keeps.
    #[must_use]
    pub fn with_burst(self, burst: u32) -> Self {
        Self { burst, ..self }
    }

    /// Takes over a changed bound on what it keeps.
    pub fn set_burst(&mut self, burst: u32) {
        self.burst = burst;
        self.credit = self.credit.min(u64::from(burst) * RETRY_COST);
    }

    /// Takes over a changed percentage; what was earned stays.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a request of the service.
    pub fn earn(&mut self) {
        let cap = u64::from(self.burst) * RETRY_COST;
        self.credit = cap.min(self.credit + u64::from(self.percent));
    }

    /// Whole retries that are left.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.credit / RETRY_COST
    }

    /// Takes one retry, if one is left.
    pub fn take(&mut self) -> bool {
        let left = self.credit.checked_sub(RETRY_COST);
        self.credit = left.unwrap_or(self.credit);
        left.is_some()
    }
}
