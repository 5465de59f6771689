//! The platform's instance list, read over HTTP.
//!
//! In the native format the list names the daemons too, so each daemon reads it
//! about once a second. Where it names runners only, it is read by the daemons that
//! need it; see [`reader`]. When the platform does not answer, or its answer is not
//! a valid list, the last good list is kept: an old list is better than none, and
//! the membership protocol checks the state of the daemons independently.

pub mod page;
pub mod scan;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use citron_policy::{
    id::{RunnerId, ServiceId},
    platform::{
        Instance, List, Runner,
        reader::{self, Role, Schedule},
        reading::{Fault, Page, PageFault, PageToken, Reading, Step},
    },
};
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;
use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};
use rand::{Rng, RngExt};
use tokio::{
    sync::{Notify, watch},
    time::timeout,
};

use crate::{
    edge::Listing,
    upstream::{self, Limits},
};

/// Largest list accepted, in bytes; 8,000 entries take about 1.2 MB.
pub const MAX_LIST_BYTES: usize = 8 << 20;

/// Settings for reading the platform's list.
#[derive(Clone, derive_more::Debug)]
pub struct Settings {
    /// Address of the platform's HTTP interface.
    pub address: SocketAddr,
    /// Times between two reads.
    pub schedule: reader::Settings,
    /// Whether every daemon needs the list, as when it names the daemons.
    pub needed_by_all: bool,
    /// Longest time for one read.
    pub timeout: Duration,
    /// Reads a list of another format; if none, the native format is read at `address`.
    #[debug(skip)]
    pub listing: Option<Rc<dyn Listing>>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7_400)),
            schedule: reader::Settings::default(),
            needed_by_all: true,
            timeout: Duration::from_secs(2),
            listing: None,
        }
    }
}

/// Longest time to read one page.
const MAX_PAGE_TIME: Duration = Duration::from_secs(5);

/// Why one read failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// The platform did not answer, or not wholly.
    #[display("no answer from {address}: {reason}: check --platform and the platform itself")]
    NoAnswer {
        /// Address that was queried.
        address: SocketAddr,
        /// How the exchange failed.
        reason: String,
    },
    /// The platform answered with a status other than 200.
    #[display("{address} answered with status {status}: check --platform")]
    Status {
        /// Address that was queried.
        address: SocketAddr,
        /// Status of the answer.
        status: u16,
    },
    /// The answer is not a valid list.
    #[display("{address} sent no valid list: {reason}: report it to the platform's team")]
    Invalid {
        /// Address that was queried.
        address: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
}

/// Metrics of the reads.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    readings: Counter,
    failures: Counter,
    pages: Counter,
    refusals: Counter,
    age: Gauge<f64, AtomicU64>,
    entries: Gauge,
    runners: Gauge,
    odd_entries: Gauge,
}

impl Metrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_platform_readings",
            "Readings of the platform's list",
            self.readings.clone(),
        );
        registry.register(
            "citron_platform_failures",
            "Readings of the platform's list that failed",
            self.failures.clone(),
        );
        registry.register(
            "citron_platform_pages",
            "Pages of the platform's list that were read",
            self.pages.clone(),
        );
        registry.register(
            "citron_platform_refusals",
            "Calls that the platform refused because it takes no more at present",
            self.refusals.clone(),
        );
        registry.register(
            "citron_platform_age_seconds",
            "Age of the last good list",
            self.age.clone(),
        );
        registry.register(
            "citron_platform_entries",
            "Entry instances on the last good list",
            self.entries.clone(),
        );
        registry.register(
            "citron_platform_runners",
            "Runners on the last good list",
            self.runners.clone(),
        );
        registry.register(
            "citron_platform_odd_entries",
            "Entries that the last reading of the list left out, since they could not be read",
            self.odd_entries.clone(),
        );
    }
}

/// Age up to which a list counts as fresh; the default interval of reads while it is needed.
const FRESH_AGE: Duration = Duration::from_secs(1);

/// What this daemon needs the list for; clones share it.
#[derive(Clone, Debug)]
pub struct Need {
    schedule: Rc<RefCell<Schedule>>,
    needed_by_all: bool,
    wake: Rc<Notify>,
    /// Whether the list is read at once, and the read notifies receivers even if it
    /// fails or nothing has changed.
    refresh: Rc<Cell<bool>>,
    /// When the last good list was read.
    last_read: Rc<Cell<Option<Instant>>>,
}

impl Need {
    /// A daemon that has read nothing yet.
    #[must_use]
    pub fn new(now: Instant, settings: &Settings) -> Self {
        let role = if settings.needed_by_all {
            Role::Host
        } else {
            Role::Other
        };
        Self {
            schedule: Rc::new(RefCell::new(Schedule::new(now, settings.schedule, role))),
            needed_by_all: settings.needed_by_all,
            wake: Rc::default(),
            refresh: Rc::default(),
            last_read: Rc::default(),
        }
    }

    /// Sets what the list is needed for; when that becomes more urgent, it is read earlier.
    pub fn set(&self, now: Instant, role: Role) {
        if self.needed_by_all {
            return;
        }
        let before = self.schedule.borrow().role();
        if self.schedule.borrow_mut().set_role(now, role) {
            log::info!(
                event = "CP0554", before:? = before, role:? = role;
                "reads the platform's list for another role"
            );
            self.wake.notify_one();
        }
    }

    /// Whether the list was read recently enough to count as fresh.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        let read = self.last_read.get();
        read.is_some_and(|at| now.saturating_duration_since(at) <= FRESH_AGE)
    }

    /// When the last good list was read, if any.
    #[must_use]
    pub fn read_at(&self) -> Option<Instant> {
        self.last_read.get()
    }

    /// Requests an immediate read that notifies receivers even if nothing has changed.
    pub fn refresh(&self, now: Instant) {
        self.set(now, Role::Host);
        self.refresh.set(true);
        self.wake.notify_one();
    }

    /// Waits until the list is to be read.
    async fn due(&self) {
        while !self.refresh.get() {
            let due = self.schedule.borrow().due();
            let Some(due) = due else {
                self.wake.notified().await;
                continue;
            };
            let wait = due.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                return;
            }
            tokio::select! {
                () = actix_rt::time::sleep(with_jitter(wait, &mut rand::rng())) => return,
                () = self.wake.notified() => {}
            }
        }
    }
}

/// Reads the platform's list periodically; clones share it.
#[derive(Clone, Debug)]
pub struct Platform {
    list: watch::Receiver<Arc<List>>,
    need: Need,
    metrics: Metrics,
}

impl Platform {
    /// Starts reading on this thread.
    #[must_use]
    pub fn start(settings: Settings) -> Self {
        let (sender, list) = watch::channel(Arc::new(List::default()));
        let platform = Self {
            list,
            need: Need::new(Instant::now(), &settings),
            metrics: Metrics::default(),
        };
        actix_rt::spawn(platform.clone().run(settings, sender));
        platform
    }

    /// The last good list; empty before the first one.
    #[must_use]
    pub fn list(&self) -> watch::Receiver<Arc<List>> {
        self.list.clone()
    }

    /// Handle by which other parts of the daemon say whether they need the list.
    #[must_use]
    pub fn need(&self) -> Need {
        self.need.clone()
    }

    /// When the last good list was read, if any.
    #[must_use]
    pub fn read_at(&self) -> Option<Instant> {
        self.need.read_at()
    }

    /// Number of reads that failed so far.
    #[must_use]
    pub fn failures(&self) -> u64 {
        self.metrics.failures.get()
    }

    /// Number of entries that the last reading left out.
    #[must_use]
    pub fn odd_entries(&self) -> i64 {
        self.metrics.odd_entries.get()
    }

    /// Metrics of the reads.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    async fn run(self, settings: Settings, sender: watch::Sender<Arc<List>>) {
        let listing = settings.listing.clone().unwrap_or_else(|| {
            let (address, timeout) = (settings.address, settings.timeout);
            Rc::new(Native { address, timeout }) as Rc<dyn Listing>
        });
        let mut failing = false;
        loop {
            self.need.due().await;
            let outcome = self.read(listing.as_ref()).await;
            self.need.schedule.borrow_mut().on_read(Instant::now());
            self.metrics.readings.inc();
            match outcome {
                Ok(list) => {
                    if failing {
                        log::info!("CP0551 the platform's list can be read again");
                    }
                    failing = false;
                    self.apply(list, &sender);
                }
                Err(fault) => {
                    self.metrics.failures.inc();
                    if !failing {
                        log::warn!(
                            "CP0550 the platform's list cannot be read, keeping the last one: {fault}"
                        );
                    }
                    failing = true;
                    if self.need.refresh.take() {
                        sender.send_modify(|_| ());
                    }
                }
            }
            if let Some(read) = self.need.last_read.get() {
                self.metrics.age.set(read.elapsed().as_secs_f64());
            }
        }
    }

    /// Reads all pages of the list.
    async fn read(&self, listing: &dyn Listing) -> Result<List, Fault> {
        let began = Instant::now();
        let mut reading = Reading::new(began);
        let mut token = None;
        let outcome = loop {
            // The client bounds the wait for the head, and the size of the body, but not bytes
            // that are neither, such as trailers.
            let page = timeout(MAX_PAGE_TIME, listing.read_page(token)).await;
            let page = page.unwrap_or_else(|_elapsed| {
                Err(PageFault::Failed {
                    reason: format!("a page took over {MAX_PAGE_TIME:?}: check the platform"),
                })
            });
            let step = reading.on_page(Instant::now(), page, &mut rand::rng());
            token = match step {
                Step::Read(token) => token,
                Step::Pause(pause, token) => {
                    actix_rt::time::sleep(pause).await;
                    token
                }
                Step::Done(list) => break Ok(list),
                Step::Failed(fault) => break Err(fault),
            };
        };
        let pages = reading.pages();
        self.metrics
            .pages
            .inc_by(u64::try_from(pages).unwrap_or(u64::MAX));
        self.metrics.refusals.inc_by(reading.refusals().into());
        self.observe_odd(&reading);
        if reading.refusals() > 0 || self.need.last_read.get().is_none() {
            log::info!(
                event = "CP0555", pages, refusals = reading.refusals(),
                took_ms = began.elapsed().as_millis(), complete = outcome.is_ok();
                "read the platform's list"
            );
        }
        outcome
    }

    /// Counts the entries that a reading left out, and reports them when their number changes.
    fn observe_odd(&self, reading: &Reading) {
        let (odd, reason) = reading.odd();
        let known = self.metrics.odd_entries.get();
        let count = i64::try_from(odd).unwrap_or(i64::MAX);
        self.metrics.odd_entries.set(count);
        if count != known {
            log::warn!(
                event = "CP0556", odd, pages = reading.pages(), reason;
                "entries of the platform's list left out"
            );
        }
    }

    fn apply(&self, list: List, sender: &watch::Sender<Arc<List>>) {
        self.need.last_read.set(Some(Instant::now()));
        let count = |len: usize| i64::try_from(len).unwrap_or(i64::MAX);
        self.metrics.entries.set(count(list.entries.len()));
        self.metrics.runners.set(count(list.runners.len()));
        sender.send_if_modified(|old| {
            let changed = **old != list;
            if changed {
                log_changes(old, &list);
                *old = Arc::new(list);
            }
            self.need.refresh.take() || changed
        });
    }
}

/// What tells runners apart: those of two services may have the same id.
fn key(runner: &Runner) -> (&ServiceId, &RunnerId) {
    (&runner.service, &runner.id)
}

/// Logs the runners that a new list adds, changes or removes.
fn log_changes(old: &List, new: &List) {
    let mut removed: IndexMap<(&ServiceId, &RunnerId), &Runner> =
        old.runners.iter().map(|it| (key(it), it)).collect();
    for runner in &new.runners {
        let before = removed.swap_remove(&key(runner));
        let changed = |it: &&Runner| {
            it.standing != runner.standing
                || it.address != runner.address
                || it.build != runner.build
        };
        if before.is_none_or(|it| changed(&it)) {
            log::info!(
                event = "CP0552", runner = runner.id.as_str(), service = runner.service.as_str(),
                address:% = runner.address, build = runner.build.as_str(),
                standing:? = runner.standing;
                "runner listed"
            );
        }
    }
    for runner in removed.into_values() {
        log::info!(
            event = "CP0553", runner = runner.id.as_str(), service = runner.service.as_str();
            "runner no longer listed"
        );
    }
}

/// Members of a list in the native format.
const ENTRIES: &str = "entries";
const RUNNERS: &str = "runners";

/// Layout of a list in the native format.
const LAYOUT: page::Layout = page::Layout {
    arrays: &[ENTRIES, RUNNERS],
    last: None,
};

/// An element of a list in the native format.
enum Item {
    Entry(Instance),
    Runner(Runner),
}

/// The list in citronpond's native format.
struct Native {
    address: SocketAddr,
    timeout: Duration,
}

impl Listing for Native {
    /// Reads the whole list, which has one page.
    fn read_page(
        &self,
        _token: Option<PageToken>,
    ) -> LocalBoxFuture<'static, Result<Page, PageFault>> {
        let (address, timeout) = (self.address, self.timeout);
        Box::pin(async move {
            let page = read(address, timeout).await;
            page.map_err(|failure| PageFault::Failed {
                reason: failure.to_string(),
            })
        })
    }
}

/// Reads the list once.
async fn read(address: SocketAddr, timeout: Duration) -> Result<Page, Failure> {
    let limits = Limits {
        connect: timeout,
        head: timeout,
        whole: timeout,
        unframed: true,
        max_body_bytes: MAX_LIST_BYTES as u64,
        ..Limits::default()
    };
    let no_answer = |failure: upstream::Failure| Failure::NoAnswer {
        address,
        reason: failure.to_string(),
    };
    let response = upstream::fetch(address, "/v1/list", &limits).await;
    let response = response.map_err(no_answer)?;
    if response.status != StatusCode::OK {
        let status = response.status.as_u16();
        return Err(Failure::Status { address, status });
    }
    let body = response.body.collect(address).await.map_err(no_answer)?;
    parse(&body).map_err(|reason| Failure::Invalid { address, reason })
}

/// Parses a list; JSON without `entries` and `runners` is an error.
///
/// Each of the two fields is optional, so without this check an error object or
/// an empty array would parse as a list from which every instance has vanished.
fn parse(body: &[u8]) -> Result<Page, String> {
    let page = page::read(body, LAYOUT, |array, entry| {
        let item = if array == ENTRIES {
            serde_json::from_slice(entry).map(Item::Entry)
        } else {
            serde_json::from_slice(entry).map(Item::Runner)
        };
        item.map_err(|error| error.to_string())
    });
    let page = page.map_err(|fault| fault.to_string())?;
    if page.arrays.is_empty() {
        return Err(format!("it has neither \"{ENTRIES}\" nor \"{RUNNERS}\""));
    }
    let mut list = List::default();
    for item in page.entries {
        match item {
            Item::Entry(entry) => list.entries.push(entry),
            Item::Runner(runner) => list.runners.push(runner),
        }
    }
    Ok(Page {
        list,
        next: None,
        odd: page.odd,
        reason: page.reason,
    })
}

/// The interval with jitter over a fifth of it, so that daemons do not read in step.
fn with_jitter<R>(interval: Duration, rng: &mut R) -> Duration
where
    R: Rng,
{
    interval.mul_f64(rng.random_range(0.9..1.1))
}
