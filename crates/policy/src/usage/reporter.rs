//! Which windows the holder of the duties fixes and reports, and when.
//!
//! Load pattern: holders change while windows are open, and the platform is slow or
//! down for seconds. The control log fixes the counts of a window before they are sent,
//! so each holder sends the same ones. A new holder sends every window that is not past
//! its due time, since it does not know which ones the holder before it has sent.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Borders, Collector, Fixed, Settings, Window};
use crate::{id::WindowId, member::Members};

/// Wait after the end of a window for the reports of its last starts: two reports and
/// the time for one to be sent again.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Longest wait after the end of a window for the report of a live daemon.
const MAX_SETTLE: Duration = Duration::from_secs(4);

/// Shortest wait of a new holder for reports of live daemons, which learn of it within a
/// second and then send what it lacks.
const TAKEOVER_WAIT: Duration = Duration::from_secs(2);

/// Time between two attempts to report a window, or to fix its counts.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Most windows that are named as skipped after true time jumped.
const MAX_SKIPPED: u64 = 12;

/// Why a window is not reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Nothing is known of it: this daemon had not collected for long enough.
    NotCollected,
    /// Its counts could not be fixed in time.
    NotFixed,
    /// Its counts were fixed, but are not known any more.
    NotKept,
    /// The platform did not accept the report in time.
    NotAccepted,
}

impl Reason {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotCollected => "not-collected",
            Self::NotFixed => "not-fixed",
            Self::NotKept => "not-kept",
            Self::NotAccepted => "not-accepted",
        }
    }
}

/// A window that is not reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Skipped {
    /// Its number.
    pub number: WindowId,
    /// Why.
    pub reason: Reason,
}

/// Counts that are to be fixed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The counts.
    pub window: Window,
    /// Live daemons whose last starts in the window may be missing.
    pub missing: usize,
}

/// When a report was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeliness {
    /// By its due time.
    OnTime,
    /// After it.
    Late,
}

/// What is known at one moment.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The present time.
    pub now: Instant,
    /// Reports received here.
    pub collector: &'a Collector,
    /// Daemons of the cluster.
    pub members: &'a Members,
}

#[derive(Clone, Debug, Default)]
struct Progress {
    counts: Option<Arc<Window>>,
    is_accepted: bool,
    is_collected: bool,
    is_kept: bool,
    /// When it was last proposed or sent.
    tried_at: Option<Instant>,
}

impl Progress {
    fn may_try(&self, now: Instant) -> bool {
        let since = |at| now.saturating_duration_since(at);
        self.tried_at.is_none_or(|at| since(at) >= RETRY_INTERVAL)
    }

    fn reason(&self) -> Reason {
        match self {
            Self {
                counts: Some(_), ..
            } => Reason::NotAccepted,
            Self { is_kept: false, .. } => Reason::NotKept,
            Self {
                is_collected: false,
                ..
            } => Reason::NotCollected,
            _ => Reason::NotFixed,
        }
    }
}

/// The windows of one daemon that may hold the duties.
///
/// All times are of the boot-time clock.
#[derive(Clone, Debug)]
pub struct Reporter {
    settings: Settings,
    held_since: Option<Instant>,
    /// Number of the next window to look at; none until true time is known.
    next: Option<WindowId>,
    windows: BTreeMap<WindowId, Progress>,
    borders: Borders,
}

impl Reporter {
    /// A reporter that holds nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            held_since: None,
            next: None,
            windows: BTreeMap::new(),
            borders: Borders::default(),
        }
    }

    /// Takes note of the time and of the counts in force; returns windows past their due
    /// time. `holds` is whether this daemon holds the duties.
    pub fn update(&mut self, view: &View<'_>, holds: bool, fixed: &Fixed) -> Vec<Skipped> {
        if !holds {
            // What was accepted need not be sent again if this daemon holds them again.
            self.windows.retain(|_, it| it.is_accepted);
            self.held_since = None;
            self.next = None;
            return Vec::new();
        }
        self.held_since.get_or_insert(view.now);
        let Some(time) = view.collector.true_time(view.now, view.members) else {
            return Vec::new();
        };
        let mut skipped = self.extend(time);
        for (number, progress) in &mut self.windows {
            progress.is_kept = fixed.dropped().is_none_or(|it| *number > it);
            if progress.counts.is_none() {
                progress.counts = fixed.get(*number).cloned();
            }
        }
        let settings = self.settings;
        self.windows.retain(|number, progress| {
            let is_open = time < due(&settings, *number);
            if !is_open && !progress.is_accepted {
                skipped.push(Skipped {
                    number: *number,
                    reason: progress.reason(),
                });
            }
            is_open
        });
        if let Some(first) = self.windows.keys().next() {
            self.borders.drop_before(*first);
        }
        skipped
    }

    /// Adds the windows that have ended.
    fn extend(&mut self, time: Duration) -> Vec<Skipped> {
        let length = self.settings.window;
        let earliest = quotient(time.saturating_sub(self.settings.due_after), length);
        let end = quotient(time.saturating_sub(SETTLE), length);
        let next = match self.next {
            // True time was corrected backwards.
            Some(next) if next > end + 1 => earliest,
            Some(next) => next,
            None => earliest,
        };
        let unseen = next.max(earliest.saturating_sub(MAX_SKIPPED))..earliest;
        let skipped = unseen.map(|number| Skipped {
            number,
            reason: Reason::NotFixed,
        });
        let skipped = skipped.collect();
        for number in next.max(earliest)..end {
            self.windows.entry(number).or_default();
        }
        self.next = Some(next.max(earliest).max(end));
        skipped
    }

    /// The next counts to fix, if any.
    pub fn next_to_fix(&mut self, view: &View<'_>) -> Option<Proposal> {
        let held_since = self.held_since?;
        let (now, collector, members) = (view.now, view.collector, view.members);
        let time = collector.true_time(now, members)?;
        let since = collector.collects_since(now, members)?;
        let length = self.settings.window;
        let waits = now.saturating_duration_since(held_since) < TAKEOVER_WAIT;
        for (number, progress) in &mut self.windows {
            let is_settled = progress.counts.is_some() || progress.is_accepted;
            if is_settled || !progress.is_kept || !progress.may_try(now) {
                continue;
            }
            let end = begin(length, *number + 1);
            let missing = collector.missing(now, members, end);
            if missing > 0 && (waits || time < end + MAX_SETTLE) {
                continue;
            }
            let window = collector.count(now, members, *number, length, &mut self.borders)?;
            // Without any start, only a daemon that would know of one may say so.
            progress.is_collected =
                !window.counts.is_empty() || begin(length, *number) >= since + length;
            if progress.is_collected {
                progress.tried_at = Some(now);
                return Some(Proposal { window, missing });
            }
        }
        None
    }

    /// Records the counts in force of a window that was to be fixed.
    pub fn on_fixed(&mut self, window: &Arc<Window>) {
        if let Some(progress) = self.windows.get_mut(&window.number) {
            progress.counts = Some(Arc::clone(window));
            progress.tried_at = None;
        }
    }

    /// The next window to report, if any: the one that is due first.
    pub fn next_to_send(&mut self, now: Instant) -> Option<Arc<Window>> {
        self.held_since?;
        let open = self.windows.values_mut();
        let mut waiting = open.filter(|it| !it.is_accepted && it.may_try(now));
        let progress = waiting.find(|it| it.counts.is_some())?;
        progress.tried_at = Some(now);
        progress.counts.clone()
    }

    /// Records that the platform accepted the report of a window.
    pub fn on_accepted(&mut self, view: &View<'_>, number: WindowId) -> Timeliness {
        if let Some(progress) = self.windows.get_mut(&number) {
            progress.is_accepted = true;
        }
        let time = view.collector.true_time(view.now, view.members);
        if time.is_some_and(|it| it > due(&self.settings, number)) {
            Timeliness::Late
        } else {
            Timeliness::OnTime
        }
    }
}

fn begin(length: Duration, number: WindowId) -> Duration {
    Duration::from_millis(super::whole_millis(length).saturating_mul(number))
}

fn due(settings: &Settings, number: WindowId) -> Duration {
    begin(settings.window, number + 1) + settings.due_after
}

fn quotient(time: Duration, length: Duration) -> u64 {
    super::whole_millis(time) / super::whole_millis(length).max(1)
}
