//! One reading of the platform's list, page by page.
//!
//! Load pattern: hundreds of instances start within a second, each reads dozens of pages,
//! and the platform takes some hundred calls a second from all of them together. A refused
//! call is repeated after a pause, and the pages read before are kept: a reading that starts
//! over at each refusal never ends while the others read too.

use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, RngExt};

use super::{Instance, List, Runner};
use crate::id::{InstanceId, RunnerId, ServiceId};

/// Token by which the platform names a page.
pub type PageToken = String;

/// Maximum number of pages: 50,000 runners at 50 a page.
pub const MAX_PAGES: usize = 1_000;

/// Longest time for one reading: entries read longer ago than this are out of date.
pub const MAX_TIME: Duration = Duration::from_secs(10);

/// First pause after a refused call.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after a refused call; platforms count calls per second.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// One page of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Entries of the page.
    pub list: List,
    /// The page after it, if there is one.
    pub next: Option<PageToken>,
    /// Number of entries that were left out, since they could not be read.
    pub odd: usize,
    /// Why the first of them was left out.
    pub reason: Option<String>,
}

/// Why one page was not read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PageFault {
    /// The platform takes no more calls at present.
    #[display("the platform takes no more calls at present")]
    Busy,
    /// Anything else.
    #[display("{reason}")]
    Failed {
        /// What was wrong.
        reason: String,
    },
}

/// Why a reading failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// A page could not be read.
    Page(PageFault),
    /// A page names one before it as the next one.
    #[display(
        "page {page} of the list comes again after {pages} pages: report it to the platform's team"
    )]
    Repeated {
        /// Token of the page.
        page: PageToken,
        /// Number of pages read.
        pages: usize,
    },
    /// The list has too many pages.
    #[display("the list has over {MAX_PAGES} pages: report it to the platform's team")]
    Endless,
    /// The reading took too long.
    #[display(
        "{pages} pages of the list took {MAX_TIME:?}, {refusals} calls were refused: fewer instances have to read it"
    )]
    Slow {
        /// Number of pages read.
        pages: usize,
        /// Number of calls that the platform refused.
        refusals: u32,
    },
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read this page; the first one if it has no token.
    Read(Option<PageToken>),
    /// Wait, then read this page.
    Pause(Duration, Option<PageToken>),
    /// The list is complete.
    Done(List),
    /// The reading is given up.
    Failed(Fault),
}

/// A reading in progress.
#[derive(Clone, Debug)]
pub struct Reading {
    began: Instant,
    entries: IndexMap<InstanceId, Instance>,
    /// Runners of two services may have the same id.
    runners: IndexMap<(ServiceId, RunnerId), Runner>,
    token: Option<PageToken>,
    /// Tokens of the pages read.
    read: IndexSet<PageToken>,
    pages: usize,
    odd: usize,
    reason: Option<String>,
    refusals: u32,
    pause: Duration,
}

impl Reading {
    /// A reading that begins with the first page.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            entries: IndexMap::new(),
            runners: IndexMap::new(),
            token: None,
            read: IndexSet::new(),
            pages: 0,
            odd: 0,
            reason: None,
            refusals: 0,
            pause: MIN_PAUSE,
        }
    }

    /// Number of pages read.
    #[must_use]
    pub fn pages(&self) -> usize {
        self.pages
    }

    /// Number of entries that were left out so far, and why the first of them was.
    #[must_use]
    pub fn odd(&self) -> (usize, Option<&str>) {
        (self.odd, self.reason.as_deref())
    }

    /// Number of calls that the platform refused.
    #[must_use]
    pub fn refusals(&self) -> u32 {
        self.refusals
    }

    /// Applies the outcome of the last call.
    pub fn on_page<R>(&mut self, now: Instant, page: Result<Page, PageFault>, rng: &mut R) -> Step
    where
        R: Rng,
    {
        let page = match page {
            Ok(page) => page,
            Err(PageFault::Busy) => return self.on_busy(now, rng),
            Err(fault) => return Step::Failed(Fault::Page(fault)),
        };
        self.pages += 1;
        self.odd += page.odd;
        self.reason = self.reason.take().or(page.reason);
        self.pause = MIN_PAUSE;
        // The list changes while it is read, so an entry may come on two pages.
        let entries = page.list.entries.into_iter();
        self.entries.extend(entries.map(|it| (it.id.clone(), it)));
        let runners = page.list.runners.into_iter();
        let keyed = runners.map(|it| ((it.service.clone(), it.id.clone()), it));
        self.runners.extend(keyed);
        let Some(next) = page.next.filter(|it| !it.is_empty()) else {
            return Step::Done(List {
                entries: std::mem::take(&mut self.entries).into_values().collect(),
                runners: std::mem::take(&mut self.runners).into_values().collect(),
            });
        };
        if self.pages >= MAX_PAGES {
            return Step::Failed(Fault::Endless);
        }
        if !self.read.insert(next.clone()) {
            return Step::Failed(Fault::Repeated {
                page: next,
                pages: self.pages,
            });
        }
        if self.is_late(now) {
            return Step::Failed(self.slow());
        }
        self.token = Some(next.clone());
        Step::Read(Some(next))
    }

    fn on_busy<R>(&mut self, now: Instant, rng: &mut R) -> Step
    where
        R: Rng,
    {
        self.refusals += 1;
        // Instances that were refused together must not come back together.
        let pause = self.pause.mul_f64(rng.random_range(0.5..1.5));
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        if self.is_late(now + pause) {
            return Step::Failed(self.slow());
        }
        Step::Pause(pause, self.token.clone())
    }

    fn is_late(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.began) > MAX_TIME
    }

    fn slow(&self) -> Fault {
        Fault::Slow {
            pages: self.pages,
            refusals: self.refusals,
        }
    }
}
