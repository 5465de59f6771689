//! The load generator: seeded arrivals, checked responses, one report.
//!
//! It behaves like a client of the router: it fetches the list of entry
//! instances and caches it for its TTL, connects to them directly, follows `try`
//! addresses and retries after `Retry-After`. Every token is checked against the
//! one that its prompt determines. Only loopback addresses are accepted, and
//! both the duration and the number of requests are bounded.

mod arrivals;
mod chat;
mod client;
mod entries;
mod hold;
mod mix;
mod plain;
mod report;

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use self::{
    arrivals::{Arrival, Arrivals},
    client::{Connections, Target},
    entries::Entries,
    report::{Outcome, Tally},
};
pub use self::{
    hold::hold,
    mix::{Item, Kind, Window},
    report::Report,
};

/// Maximum number of requests of one run.
pub const MAX_REQUESTS: usize = 2_000_000;

/// Maximum duration of one run.
pub const MAX_DURATION: Duration = Duration::from_hours(1);

/// Maximum wait for responses after the last arrival.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum number of retries of one request.
const MAX_RETRIES: u32 = 8;

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of entry instances, or of stand-ins if `direct`.
    pub addresses: Vec<SocketAddr>,
    /// Whether the addresses are those of stand-ins.
    pub direct: bool,
    /// Whether connections are reused.
    pub keep_alive: bool,
    /// Whether requests are retried.
    pub retry: bool,
    /// Requests per second over all items; unused with workers.
    pub rate: f64,
    /// Closed-loop clients, each sending one request at a time; 0 uses `rate`.
    pub workers: usize,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Initial time whose requests are not reported.
    pub warmup: Duration,
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// The request mix.
    pub items: Vec<Item>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            direct: false,
            keep_alive: false,
            retry: true,
            rate: 10.0,
            workers: 0,
            duration: Duration::from_secs(10),
            warmup: Duration::ZERO,
            seed: 1,
            items: Vec::new(),
        }
    }
}

/// One run in progress.
#[derive(Debug)]
struct Run {
    settings: Settings,
    started: Instant,
    entries: Entries,
    connections: Connections,
    tally: RefCell<Tally>,
    in_flight: Cell<usize>,
}

/// Generates the load and reports the results.
///
/// # Errors
/// Invalid settings.
pub async fn drive(settings: Settings) -> io::Result<Report> {
    validate(&settings)?;
    let started = Instant::now();
    let run = Rc::new(Run {
        entries: Entries::new(&settings.addresses, settings.direct),
        connections: Connections::new(settings.keep_alive),
        tally: RefCell::new(Tally::new(&settings.items)),
        in_flight: Cell::new(0),
        started,
        settings,
    });
    // Fetches the list before the first requests, which may start together.
    run.entries.choose(&run.connections).await;
    if run.settings.workers > 0 {
        Rc::clone(&run).run_closed_loop().await;
    } else {
        Rc::clone(&run).run_open_loop().await;
    }
    run.drain().await;
    let unfinished = run.in_flight.get();
    Ok(run.tally.borrow().report(&run.settings, unfinished))
}

fn validate(settings: &Settings) -> io::Result<()> {
    let refuse = |text: &str| Err(io::Error::new(io::ErrorKind::InvalidInput, text));
    if settings.addresses.is_empty() {
        return refuse("no address: give at least one");
    }
    if settings.addresses.iter().any(|it| !it.ip().is_loopback()) {
        return refuse("only loopback addresses are accepted: use 127.0.0.1");
    }
    if settings.duration > MAX_DURATION {
        return refuse("the run is too long: use at most one hour");
    }
    if settings.items.is_empty() {
        return refuse("the mix is empty: give at least one item");
    }
    Ok(())
}

impl Run {
    /// Starts each request at its arrival time, whatever is still in flight.
    async fn run_open_loop(self: Rc<Self>) {
        let arrivals = Arrivals::new(&self.settings);
        for arrival in arrivals.take(MAX_REQUESTS) {
            let at = self.started + arrival.at;
            actix_rt::time::sleep_until(at.into()).await;
            actix_rt::spawn(Rc::clone(&self).run_request(arrival, at));
        }
    }

    /// Runs workers that each send one request at a time.
    async fn run_closed_loop(self: Rc<Self>) {
        let end = self.started + self.settings.duration;
        let next = Rc::new(Cell::new(0));
        let workers = (0..self.settings.workers).map(|_| {
            let (run, next) = (Rc::clone(&self), Rc::clone(&next));
            actix_rt::spawn(async move {
                while Instant::now() < end && next.get() < MAX_REQUESTS {
                    let number = next.get();
                    next.set(number + 1);
                    let arrival = Arrival {
                        at: run.started.elapsed(),
                        item: number % run.settings.items.len(),
                        number,
                    };
                    Rc::clone(&run).run_request(arrival, Instant::now()).await;
                }
            })
        });
        futures_util::future::join_all(workers).await;
    }

    /// Sends one request and its retries, and counts the final outcome.
    ///
    /// The request counts as in flight from this call on, before the future is first polled.
    fn run_request(self: Rc<Self>, arrival: Arrival, at: Instant) -> impl Future<Output = ()> {
        self.in_flight.set(self.in_flight.get() + 1);
        async move {
            self.answer_request(arrival, at).await;
            self.in_flight.set(self.in_flight.get() - 1);
        }
    }

    async fn answer_request(&self, arrival: Arrival, at: Instant) {
        let item = &self.settings.items[arrival.item];
        let deadline = at + item.timeout();
        let mut retries = 0;
        let mut target = None;
        let outcome = loop {
            let outcome = self.attempt(&arrival, at, target.take()).await;
            let Some(retry) = outcome.retry() else {
                break outcome;
            };
            let retry_at = Instant::now() + retry.after;
            if !self.settings.retry || retries >= MAX_RETRIES || retry_at >= deadline {
                break outcome;
            }
            retries += 1;
            actix_rt::time::sleep_until(retry_at.into()).await;
            target = retry.address;
        };
        if arrival.at >= self.settings.warmup {
            self.tally.borrow_mut().count(&item.name, &outcome, retries);
        }
    }

    async fn attempt(&self, arrival: &Arrival, at: Instant, to: Option<SocketAddr>) -> Outcome {
        let item = &self.settings.items[arrival.item];
        let address = match to {
            Some(address) => address,
            None => match self.entries.choose(&self.connections).await {
                Some(address) => address,
                None => return Outcome::no_entry(),
            },
        };
        let left = (at + item.timeout()).saturating_duration_since(Instant::now());
        let target = Target {
            address,
            direct: self.settings.direct,
            id: format!("{:08x}{:08x}", self.settings.seed, arrival.number),
            timeout: left,
        };
        let outcome = match item.kind {
            Kind::Chat => {
                let prompt = item.prompt(self.settings.seed, arrival.number);
                chat::send(&self.connections, &target, item, &prompt, at).await
            }
            Kind::Book | Kind::Read => {
                let key = format!("load-{}-{}", self.settings.seed, arrival.number);
                plain::send(&self.connections, &target, item, &key, at).await
            }
        };
        if outcome.lost_connection() {
            self.entries.avoid(address);
        }
        outcome
    }

    /// Waits for the requests that are still in flight.
    async fn drain(&self) {
        let end = Instant::now() + DRAIN_TIMEOUT;
        while self.in_flight.get() > 0 && Instant::now() < end {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
