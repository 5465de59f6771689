//! Starts of requests at one daemon, until the receivers of reports have them.
//!
//! Load pattern: a daemon with a tenth of a core records up to some hundred starts a
//! second and reports twice a second, over links that lose reports and answers. A
//! record takes 16 bytes, and a report is built only when it is sent. A start stays
//! recorded after it is received, since a daemon that comes to collect later lacks it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use super::{
    names::Names,
    report::{MAX_STARTS, Report, Start},
    whole_millis,
};
use crate::id::{InstanceId, ProcessId, StartId};

/// Time for which starts are kept: longer than a window and the time until its report
/// is due, and a change of the holder within it.
pub const KEPT_FOR: Duration = Duration::from_secs(30);

/// Most starts that are kept: 1,000 a second for [`KEPT_FOR`], in 480 kB.
pub const MAX_KEPT: usize = 30_000;

/// Receivers whose progress is kept: all candidates, and some that were replaced.
const MAX_RECEIVERS: usize = 32;

/// One recorded start.
#[derive(Clone, Copy, Debug)]
struct Record {
    /// Number of the account's name.
    account: u32,
    /// Time since the recorder began, in milliseconds.
    at_ms: u64,
}

/// The starts of one process, numbered from 1.
///
/// All times are of the boot-time clock.
#[derive(Clone, Debug)]
pub struct Recorder {
    process: ProcessId,
    began: Instant,
    /// Number of the oldest start kept.
    oldest: StartId,
    kept: VecDeque<Record>,
    names: Names,
    /// Number of the next start that each receiver expects.
    received: IndexMap<InstanceId, StartId>,
    /// Starts dropped before [`KEPT_FOR`], since there were too many.
    dropped: u64,
}

impl Recorder {
    /// A recorder without starts; `process` must differ from that of any earlier process.
    #[must_use]
    pub fn new(now: Instant, process: ProcessId) -> Self {
        Self {
            process,
            began: now,
            oldest: 1,
            kept: VecDeque::new(),
            names: Names::default(),
            received: IndexMap::new(),
            dropped: 0,
        }
    }

    /// Records the start of a request of an account.
    pub fn record(&mut self, now: Instant, account: &str) {
        self.drop_old(now);
        if self.kept.len() >= MAX_KEPT {
            self.dropped += 1;
            self.drop_oldest();
        }
        let account = self.names.intern(account);
        let at_ms = self.millis(now);
        self.kept.push_back(Record { account, at_ms });
    }

    /// Starts dropped since too many came within [`KEPT_FOR`].
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// The next report to a receiver; `wall` is the time of day since 1970.
    pub fn report(&mut self, now: Instant, wall: Duration, receiver: &str) -> Report {
        self.drop_old(now);
        if self.names.is_full() {
            let used = self.kept.iter_mut().map(|it| &mut it.account);
            self.names.compact(used);
        }
        let end = self.oldest + self.kept.len() as u64;
        let next = self.received.get(receiver).copied().unwrap_or_default();
        let first = next.clamp(self.oldest, end);
        let skipped = usize::try_from(first - self.oldest).unwrap_or(usize::MAX);
        let now_ms = self.millis(now);
        let mut accounts = IndexSet::new();
        let starts = self.kept.iter().skip(skipped).take(MAX_STARTS);
        let starts = starts.map(|it| Start {
            account: accounts.insert_full(it.account).0,
            age: Duration::from_millis(now_ms.saturating_sub(it.at_ms)),
        });
        let starts = starts.collect();
        Report {
            process: self.process,
            clock: Duration::from_millis(now_ms),
            wall,
            oldest: self.oldest,
            first,
            starts,
            accounts: accounts
                .iter()
                .map(|it| self.names.get(*it).to_owned())
                .collect(),
        }
    }

    /// Records the answer of a receiver: the number of the next start that it expects.
    ///
    /// It may be lower than before, if the receiver was restarted.
    pub fn on_received(&mut self, receiver: &str, next: StartId) {
        if let Some(known) = self.received.get_mut(receiver) {
            *known = next;
            return;
        }
        if self.received.len() >= MAX_RECEIVERS {
            self.received.shift_remove_index(0);
        }
        self.received.insert(receiver.to_owned(), next);
    }

    fn drop_old(&mut self, now: Instant) {
        let limit = self.millis(now).saturating_sub(whole_millis(KEPT_FOR));
        while self.kept.front().is_some_and(|it| it.at_ms < limit) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if self.kept.pop_front().is_some() {
            self.oldest += 1;
        }
    }

    fn millis(&self, now: Instant) -> u64 {
        whole_millis(now.saturating_duration_since(self.began))
    }
}
