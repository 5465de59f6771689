//! The platform's instance list, read over HTTP.
//!
//! The list is read about once a second. When the platform does not answer, or
//! its answer is not a valid list, the last good list is kept: an old list is
//! better than none, and the membership protocol checks the state of the daemons
//! independently.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};

use awc::Client;
use citron_policy::{
    id::RunnerId,
    platform::{List, Runner},
};
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;
use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};
use rand::{Rng, RngExt};
use tokio::sync::{Notify, watch};

use crate::edge::Listing;

/// Largest list accepted, in bytes; 8,000 entries take about 1.2 MB.
pub const MAX_LIST_BYTES: usize = 8 << 20;

/// Settings for reading the platform's list.
#[derive(Clone, derive_more::Debug)]
pub struct Settings {
    /// Address of the platform's HTTP interface.
    pub address: SocketAddr,
    /// Time between two reads.
    pub interval: Duration,
    /// Time between two reads while nothing on this daemon needs the list.
    pub idle_interval: Duration,
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
            interval: Duration::from_secs(1),
            idle_interval: Duration::from_secs(1),
            timeout: Duration::from_secs(2),
            listing: None,
        }
    }
}

/// Why one read failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// The platform did not answer.
    #[display("no answer from {address}: {reason}: check --platform and the platform itself")]
    NoAnswer {
        /// Address that was queried.
        address: SocketAddr,
        /// Error of the HTTP client.
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
    age: Gauge<f64, AtomicU64>,
    entries: Gauge,
    runners: Gauge,
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
    }
}

/// Age up to which a list counts as fresh; the default interval of reads while it is needed.
const FRESH_AGE: Duration = Duration::from_secs(1);

/// Whether something on this daemon needs the list; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Need {
    needed: Rc<Cell<bool>>,
    wake: Rc<Notify>,
    /// Whether the next read notifies receivers even if it fails or nothing has changed.
    notify_always: Rc<Cell<bool>>,
    /// When the last good list was read.
    last_read: Rc<Cell<Option<Instant>>>,
}

impl Need {
    /// Sets whether the list is needed; when it becomes needed, it is read at once.
    pub fn set(&self, needed: bool) {
        if !self.needed.replace(needed) && needed {
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
    pub fn refresh(&self) {
        self.needed.set(true);
        self.notify_always.set(true);
        self.wake.notify_one();
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
            need: Need::default(),
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

    /// Metrics of the reads.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    async fn run(self, settings: Settings, sender: watch::Sender<Arc<List>>) {
        let listing = settings.listing.clone().unwrap_or_else(|| {
            Rc::new(Native::new(settings.address, settings.timeout)) as Rc<dyn Listing>
        });
        let mut failing = false;
        loop {
            let outcome = listing.read().await;
            self.metrics.readings.inc();
            match outcome {
                Ok(list) => {
                    if failing {
                        log::info!("CP0551 the platform's list can be read again");
                    }
                    failing = false;
                    self.apply(list, &sender);
                }
                Err(failure) => {
                    self.metrics.failures.inc();
                    if !failing {
                        log::warn!(
                            "CP0550 the platform's list cannot be read, keeping the last one: {failure}"
                        );
                    }
                    failing = true;
                    if self.need.notify_always.take() {
                        sender.send_modify(|_| ());
                    }
                }
            }
            if let Some(read) = self.need.last_read.get() {
                self.metrics.age.set(read.elapsed().as_secs_f64());
            }
            let interval = if self.need.needed.get() {
                settings.interval
            } else {
                settings.idle_interval
            };
            tokio::select! {
                () = actix_rt::time::sleep(with_jitter(interval, &mut rand::rng())) => {}
                () = self.need.wake.notified() => {}
            }
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
            self.need.notify_always.take() || changed
        });
    }
}

/// Logs the runners that a new list adds, changes or removes.
fn log_changes(old: &List, new: &List) {
    let mut removed: IndexMap<&RunnerId, &Runner> =
        old.runners.iter().map(|it| (&it.id, it)).collect();
    for runner in &new.runners {
        let before = removed.swap_remove(&runner.id);
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

/// The list in citronpond's native format.
struct Native {
    client: Client,
    address: SocketAddr,
}

impl Native {
    fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = Client::builder()
            .timeout(timeout)
            .disable_redirects()
            .finish();
        Self { client, address }
    }
}

impl Listing for Native {
    fn read(&self) -> LocalBoxFuture<'static, Result<List, String>> {
        let (client, address) = (self.client.clone(), self.address);
        Box::pin(async move {
            let list = read(&client, address).await;
            list.map_err(|failure| failure.to_string())
        })
    }
}

/// Reads the list once.
async fn read(client: &Client, address: SocketAddr) -> Result<List, Failure> {
    let request = client.get(format!("http://{address}/v1/list")).send();
    let mut response = request.await.map_err(|error| Failure::NoAnswer {
        address,
        reason: error.to_string(),
    })?;
    if response.status() != awc::http::StatusCode::OK {
        let status = response.status().as_u16();
        return Err(Failure::Status { address, status });
    }
    let body = response
        .body()
        .limit(MAX_LIST_BYTES)
        .await
        .map_err(|error| Failure::Invalid {
            address,
            reason: error.to_string(),
        })?;
    parse(&body).map_err(|reason| Failure::Invalid { address, reason })
}

/// Parses a list; JSON without `entries` and `runners` is an error.
///
/// Each of the two fields is optional, so without this check an error object or
/// an empty array would parse as a list from which every instance has vanished.
fn parse(body: &[u8]) -> Result<List, String> {
    let value: serde_json::Value = serde_json::from_slice(body).map_err(|it| it.to_string())?;
    if value.get("entries").is_none() && value.get("runners").is_none() {
        return Err("it has neither \"entries\" nor \"runners\"".to_owned());
    }
    serde_json::from_value(value).map_err(|it| it.to_string())
}

/// The interval with jitter over a fifth of it, so that daemons do not read in step.
fn with_jitter<R>(interval: Duration, rng: &mut R) -> Duration
where
    R: Rng,
{
    interval.mul_f64(rng.random_range(0.9..1.1))
}
