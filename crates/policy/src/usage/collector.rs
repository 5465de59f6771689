//! Starts of requests at all daemons, as far as they were reported here.
//!
//! Load pattern: reports come late, twice, out of order or not at all; daemons are
//! restarted or suspended, and the time of day jumps on some of them.
//!
//! - Starts are numbered by their sender, so that one sent again is not counted again.
//!   A report that leaves out starts which the sender still has is not taken; the answer
//!   names the number to go on from.
//! - The least difference between the time of arrival here and the sender's clock is the
//!   difference of both clocks and the shortest way, since delays only add to it.
//! - True time is the median of the times of day of all senders. It is used only if half
//!   of the live daemons sent one lately, so that a few wrong clocks can't prevail.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::{
    Window,
    border::Borders,
    names::Names,
    recorder::{KEPT_FOR, MAX_KEPT},
    report::Report,
    whole_millis,
};
use crate::{
    id::{InstanceId, ProcessId, StartId, WindowId},
    member::{Members, State},
};

/// Age up to which a sender's time of day is used: ten reports.
const FRESH_FOR: Duration = Duration::from_secs(5);

/// Time without any report after which collecting begins anew.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Time after which the least difference is taken from newer reports, so that clocks
/// that run apart by 100 millionths are mapped within 6 ms.
const DIFFERENCE_KEPT_FOR: Duration = Duration::from_secs(30);

/// Time between two removals of what is too old.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// The least difference between this clock and a sender's, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Difference {
    before: Option<i64>,
    least: i64,
    since: Instant,
}

impl Difference {
    fn new(now: Instant, difference: i64) -> Self {
        Self {
            before: None,
            least: difference,
            since: now,
        }
    }

    fn add(&mut self, now: Instant, difference: i64) {
        if now.saturating_duration_since(self.since) >= DIFFERENCE_KEPT_FOR {
            self.before = Some(self.least);
            self.least = difference;
            self.since = now;
        }
        self.least = self.least.min(difference);
    }

    fn get(&self) -> i64 {
        self.before.map_or(self.least, |it| it.min(self.least))
    }
}

/// One start, by the clock of its sender.
#[derive(Clone, Copy, Debug)]
struct Kept {
    account: u32,
    at_ms: u64,
}

/// One process that reports.
#[derive(Clone, Debug)]
struct Sender {
    instance: InstanceId,
    /// Number of the next start expected.
    next: StartId,
    difference: Difference,
    /// Highest clock seen of the sender, and its time of day then.
    clock_ms: i64,
    wall_ms: i64,
    /// Time of its clock up to which its starts are known.
    covers_ms: i64,
    seen_at: Instant,
    kept: VecDeque<Kept>,
}

/// Starts of requests at all daemons.
///
/// All times are of the boot-time clock.
#[derive(Clone, Debug)]
pub struct Collector {
    began: Instant,
    senders: IndexMap<ProcessId, Sender>,
    names: Names,
    /// Since when reports have come without a pause.
    collects_since: Instant,
    last_report_at: Option<Instant>,
    pruned_at: Instant,
}

impl Collector {
    /// A collector without reports.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            senders: IndexMap::new(),
            names: Names::default(),
            collects_since: now,
            last_report_at: None,
            pruned_at: now,
        }
    }

    /// Takes a report; returns the number of the next start expected of its process.
    pub fn on_report(&mut self, now: Instant, from: &InstanceId, report: &Report) -> StartId {
        let is_paused = |at| now.saturating_duration_since(at) > MAX_PAUSE;
        if self.last_report_at.is_none_or(is_paused) {
            self.collects_since = now;
        }
        self.last_report_at = Some(now);
        self.prune(now);
        let now_ms = self.millis(now);
        let clock_ms = signed(whole_millis(report.clock));
        let sender = self
            .senders
            .entry(report.process)
            .or_insert_with(|| Sender {
                instance: from.clone(),
                next: 0,
                difference: Difference::new(now, now_ms - clock_ms),
                clock_ms: i64::MIN,
                wall_ms: 0,
                covers_ms: i64::MIN,
                seen_at: now,
                kept: VecDeque::new(),
            });
        sender.difference.add(now, now_ms - clock_ms);
        sender.seen_at = now;
        if clock_ms > sender.clock_ms {
            sender.clock_ms = clock_ms;
            sender.wall_ms = signed(whole_millis(report.wall));
        }
        let expected = sender.next.max(report.oldest);
        if report.first > expected {
            // The sender has starts before these; it is to send them first.
            return expected;
        }
        // Starts that the sender does not have any more are lost.
        let skipped = usize::try_from(expected - report.first).unwrap_or(usize::MAX);
        for start in report.starts.iter().skip(skipped) {
            let Some(account) = report.accounts.get(start.account) else {
                continue;
            };
            let at_ms = whole_millis(report.clock.saturating_sub(start.age));
            let account = self.names.intern(account);
            sender.kept.push_back(Kept { account, at_ms });
        }
        let end = report.first + report.starts.len() as u64;
        sender.next = expected.max(end);
        sender.covers_ms = sender.covers_ms.max(signed(whole_millis(report.covers())));
        while sender.kept.len() > MAX_KEPT {
            sender.kept.pop_front();
        }
        sender.next
    }

    /// True time since 1970; none if too few of the live daemons have reported lately.
    #[must_use]
    pub fn true_time(&self, now: Instant, members: &Members) -> Option<Duration> {
        let true_ms = self.millis(now) + self.shift(now, members)?;
        u64::try_from(true_ms).ok().map(Duration::from_millis)
    }

    /// Since when reports have come without a pause, in true time.
    #[must_use]
    pub fn collects_since(&self, now: Instant, members: &Members) -> Option<Duration> {
        let true_time = self.true_time(now, members)?;
        true_time.checked_sub(now.saturating_duration_since(self.collects_since))
    }

    /// Live daemons whose starts are not known up to a moment of true time.
    #[must_use]
    pub fn missing(&self, now: Instant, members: &Members, moment: Duration) -> usize {
        let live = members.values().filter(|it| it.state != State::Dead);
        let Some(shift) = self.shift(now, members) else {
            return live.count();
        };
        let moment_ms = signed(whole_millis(moment));
        let mut covered = indexmap::IndexSet::new();
        for sender in self.senders.values() {
            // A sender that has not been taken from yet covers nothing.
            if sender
                .covers_ms
                .saturating_add(sender.difference.get() + shift)
                >= moment_ms
            {
                covered.insert(&sender.instance);
            }
        }
        live.filter(|it| !covered.contains(&it.id)).count()
    }

    /// The starts in a window, by account; none if true time is not known.
    #[must_use]
    pub fn count(
        &self,
        now: Instant,
        members: &Members,
        number: WindowId,
        length: Duration,
        borders: &mut Borders,
    ) -> Option<Window> {
        let shift = self.shift(now, members)?;
        let length_ms = signed(whole_millis(length));
        let begin = signed(number).checked_mul(length_ms)?;
        let mut by_number: IndexMap<u32, u64> = IndexMap::new();
        for (process, sender) in &self.senders {
            let to_true = sender.difference.get() + shift;
            let begin = borders.place(*process, number, begin - to_true, length_ms);
            let after = signed(number + 1) * length_ms - to_true;
            let end = borders.place(*process, number + 1, after, length_ms);
            let in_window = |it: &&Kept| (begin..end).contains(&signed(it.at_ms));
            for start in sender.kept.iter().filter(in_window) {
                *by_number.entry(start.account).or_default() += 1;
            }
        }
        let named = by_number.into_iter();
        let counts = named.map(|(account, count)| (self.names.get(account).to_owned(), count));
        Some(Window {
            number,
            counts: counts.collect(),
        })
    }

    /// Difference of true time and this clock, in milliseconds.
    fn shift(&self, now: Instant, members: &Members) -> Option<i64> {
        let is_fresh = |it: &&Sender| now.saturating_duration_since(it.seen_at) <= FRESH_FOR;
        let fresh = self.senders.values().filter(is_fresh);
        let mut shifts: Vec<i64> = fresh
            .map(|it| it.wall_ms - (it.clock_ms + it.difference.get()))
            .collect();
        let alive = members.values().filter(|it| it.state == State::Alive);
        if shifts.is_empty() || 2 * shifts.len() < alive.count() {
            return None;
        }
        let middle = (shifts.len() - 1) / 2;
        Some(*shifts.select_nth_unstable(middle).1)
    }

    fn prune(&mut self, now: Instant) {
        if now.saturating_duration_since(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        self.senders
            .retain(|_, it| now.saturating_duration_since(it.seen_at) <= KEPT_FOR);
        let kept_ms = signed(whole_millis(KEPT_FOR));
        let now_ms = self.millis(now);
        for sender in self.senders.values_mut() {
            let limit = now_ms - sender.difference.get() - kept_ms;
            while sender
                .kept
                .front()
                .is_some_and(|it| signed(it.at_ms) < limit)
            {
                sender.kept.pop_front();
            }
        }
        if self.names.is_full() {
            let kept = self.senders.values_mut().flat_map(|it| it.kept.iter_mut());
            self.names.compact(kept.map(|it| &mut it.account));
        }
    }

    fn millis(&self, now: Instant) -> i64 {
        signed(whole_millis(now.saturating_duration_since(self.began)))
    }
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
