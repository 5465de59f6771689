//! Usage of accounts: requests that began to run, by window of true time.
//!
//! Each daemon records the starts of requests and reports them to the holder of the
//! duties and to one more candidate. The holder counts them by window, fixes the counts in
//! the control log and reports them to the platform.

mod border;
mod collector;
mod fixed;
mod names;
mod recorder;
mod report;
mod reporter;

pub use border::Borders;
pub use collector::Collector;
pub use fixed::{Fixed, MAX_FIXED};
pub use recorder::{KEPT_FOR, MAX_KEPT, Recorder};
pub use report::{MAX_STARTS, Report, Start};
pub use reporter::{Proposal, Reason, Reporter, Skipped, Timeliness, View};

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::{AccountId, WindowId};

/// Settings of the reports of usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub due_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            due_after: Duration::from_secs(10),
        }
    }
}

/// The counts of one window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// Its number: windows of one length are counted from the start of 1970.
    pub number: WindowId,
    /// Requests that began to run, by account.
    pub counts: IndexMap<AccountId, u64>,
}

fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
