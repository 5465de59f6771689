//! What one daemon reports to those that collect.

use std::time::Duration;

use crate::id::{AccountId, ProcessId, StartId};

/// Most starts in one report: about 20 kB, 25 ms of a link of 7.5 Mbit/s.
pub const MAX_STARTS: usize = 4_096;

/// Start of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Place of its account in the report.
    pub account: usize,
    /// Time from the start until the report was sent.
    pub age: Duration,
}

/// Starts of requests at one process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Identity of the process.
    pub process: ProcessId,
    /// Its boot-time clock at sending; the origin is the same for all its reports.
    pub clock: Duration,
    /// Its time of day at sending, since 1970.
    pub wall: Duration,
    /// Number of the oldest start that it can still report.
    pub oldest: StartId,
    /// Number of the first start in this report.
    pub first: StartId,
    /// The starts, in the order of their numbers.
    pub starts: Vec<Start>,
    /// Names of the accounts.
    pub accounts: Vec<AccountId>,
}

impl Report {
    /// Time of the sender's clock up to which its starts are known with this report.
    #[must_use]
    pub fn covers(&self) -> Duration {
        match self.starts.last() {
            Some(last) if self.starts.len() >= MAX_STARTS => self.clock.saturating_sub(last.age),
            _ => self.clock,
        }
    }
}
