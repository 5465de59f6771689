//! Outcomes of requests, and the report of a run.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use super::{Item, Settings, client::Response};

/// Upper bound of the histograms, in microseconds.
const MAX_MICROS: u64 = 3_600_000_000;

/// Outcome of an attempt; that of the last attempt is the request's.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    /// Answered completely and correctly.
    Answered(Times),
    /// Refused before execution.
    NotRun(Retry),
    /// May have executed; an idempotency key makes a retry safe.
    Unknown(Option<Retry>),
    /// A permanent error, by HTTP status.
    Error(u16),
    /// The response was detectably truncated.
    Cut(Flaws),
    /// The connection failed before a response.
    Lost,
    /// No complete response before the deadline.
    Late,
    /// The response was complete, but its content was wrong.
    Wrong(Flaws),
}

/// Latencies and token count of a complete response.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Times {
    pub first_token: Duration,
    pub between_tokens: Duration,
    pub whole: Duration,
    pub tokens: u64,
}

/// Errors in the content of a response.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Flaws {
    /// Tokens received.
    pub tokens: u64,
    /// Tokens received more than once.
    pub duplicates: u64,
    /// Tokens skipped.
    pub missing: u64,
    /// Tokens or bodies of another request, or malformed events.
    pub foreign: u64,
}

/// When and where to retry.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Retry {
    pub after: Duration,
    pub address: Option<SocketAddr>,
}

impl Outcome {
    /// The outcome if no entry instance is known.
    pub(super) fn no_entry() -> Self {
        Self::NotRun(Retry {
            after: Duration::from_millis(100),
            address: None,
        })
    }

    /// The outcome that an error response describes.
    ///
    /// The delay in the body takes precedence over `retry-after`, which is in
    /// whole seconds.
    pub(super) async fn from_error_response(response: &mut Response) -> Self {
        let status = response.head.status.as_u16();
        let outcome = response.header("citron-outcome").map(str::to_owned);
        let header = response
            .header("retry-after")
            .and_then(|it| it.parse().ok());
        let body = response.read_body().await.unwrap_or_default();
        let problem: Problem = serde_json::from_slice(&body).unwrap_or_default();
        let seconds = header.map(Duration::from_secs);
        let after = problem
            .retry_after_ms
            .map(Duration::from_millis)
            .or(seconds);
        let address = problem.r#try.first().copied();
        let address = address.filter(|it| it.ip().is_loopback());
        let retry = after.map(|after| Retry { after, address });
        match (outcome.as_deref(), retry) {
            (Some("not-run"), Some(retry)) => Self::NotRun(retry),
            (Some("unknown"), retry) => Self::Unknown(retry),
            _ => Self::Error(status),
        }
    }

    /// When and where to retry; `None` if the outcome is final.
    pub(super) fn retry(&self) -> Option<Retry> {
        match self {
            Self::NotRun(retry) => Some(*retry),
            Self::Unknown(retry) => *retry,
            Self::Lost => Some(Retry::default()),
            _ => None,
        }
    }

    /// Whether the connection failed before a response.
    pub(super) fn lost_connection(&self) -> bool {
        matches!(self, Self::Lost)
    }
}

#[derive(Debug, Default, serde::Deserialize)]
#[serde(default)]
struct Problem {
    retry_after_ms: Option<u64>,
    r#try: Vec<SocketAddr>,
}

/// Counts and latencies of one item.
#[derive(Debug)]
struct Totals {
    item: Item,
    counts: Counts,
    statuses: IndexMap<u16, u64>,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    whole: Histogram<u64>,
}

/// Requests by outcome.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Requests that arrived.
    pub offered: u64,
    /// Answered completely and correctly.
    pub answered: u64,
    /// Answered within every target.
    pub met: u64,
    /// Refused before execution on the last attempt.
    pub not_run: u64,
    /// May have executed.
    pub unknown: u64,
    /// Failed with a permanent error.
    pub errors: u64,
    /// Responses detectably truncated.
    pub cut: u64,
    /// Connection failed on the last attempt.
    pub lost: u64,
    /// Not answered completely before the deadline.
    pub late: u64,
    /// Complete responses with wrong content.
    pub wrong: u64,
    /// Retries.
    pub returns: u64,
    /// Tokens of correct responses.
    pub tokens: u64,
    /// Tokens of responses within every target.
    pub useful_tokens: u64,
    /// Tokens received more than once.
    pub duplicates: u64,
    /// Tokens skipped.
    pub missing: u64,
    /// Tokens or bodies of another request, or malformed events.
    pub foreign: u64,
}

/// Totals of all items while the run is in progress.
#[derive(Debug)]
pub(super) struct Tally {
    totals: IndexMap<String, Totals>,
    started: Instant,
}

/// The result of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Configured requests per second.
    pub rate: f64,
    /// Number of workers; 0 for a run at a rate.
    pub workers: usize,
    /// Measured time, in seconds, without the warmup.
    pub seconds: f64,
    /// Requests still in flight at the end.
    pub unfinished: usize,
    /// Tokens per second of responses within every target.
    pub goodput_tokens_per_s: f64,
    /// Tokens per second of all correct responses.
    pub tokens_per_s: f64,
    /// Correct responses per second.
    pub answers_per_s: f64,
    /// Results by item name.
    pub items: IndexMap<String, ItemReport>,
}

/// The result of one item.
#[derive(Clone, Debug, Serialize)]
pub struct ItemReport {
    /// Fraction of the offered requests that met every target.
    pub attainment: f64,
    /// Requests by outcome.
    pub counts: Counts,
    /// Permanent errors by HTTP status.
    pub statuses: IndexMap<u16, u64>,
    /// Time to the first token.
    pub first_token_ms: Percentiles,
    /// Mean time between tokens of each response.
    pub between_tokens_ms: Percentiles,
    /// Time to the complete response.
    pub whole_ms: Percentiles,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl Tally {
    pub(super) fn new(items: &[Item]) -> Self {
        let totals = items
            .iter()
            .map(|item| (item.name.clone(), Totals::new(item)));
        Self {
            totals: totals.collect(),
            started: Instant::now(),
        }
    }

    pub(super) fn count(&mut self, name: &str, outcome: &Outcome, retries: u32) {
        if let Some(totals) = self.totals.get_mut(name) {
            totals.counts.returns += u64::from(retries);
            totals.count(outcome);
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "counts of one run are far below the precision limit"
    )]
    pub(super) fn report(&self, settings: &Settings, unfinished: usize) -> Report {
        let counted = settings
            .duration
            .saturating_sub(settings.warmup)
            .as_secs_f64();
        let seconds = if settings.workers > 0 {
            counted.min(self.started.elapsed().as_secs_f64())
        } else {
            counted
        };
        let sum = |count: fn(&Counts) -> u64| -> f64 {
            self.totals
                .values()
                .map(|totals| count(&totals.counts))
                .sum::<u64>() as f64
        };
        let items = self
            .totals
            .iter()
            .map(|(name, totals)| (name.clone(), totals.report()));
        Report {
            seed: settings.seed,
            rate: settings.rate,
            workers: settings.workers,
            seconds,
            unfinished,
            goodput_tokens_per_s: sum(|it| it.useful_tokens) / seconds,
            tokens_per_s: sum(|it| it.tokens) / seconds,
            answers_per_s: sum(|it| it.answered) / seconds,
            items: items.collect(),
        }
    }
}

impl Totals {
    fn new(item: &Item) -> Self {
        Self {
            item: item.clone(),
            counts: Counts::default(),
            statuses: IndexMap::new(),
            first_token: histogram(),
            between_tokens: histogram(),
            whole: histogram(),
        }
    }

    fn count(&mut self, outcome: &Outcome) {
        let counts = &mut self.counts;
        counts.offered += 1;
        match outcome {
            Outcome::Answered(times) => self.add_answer(times),
            Outcome::NotRun(_) => counts.not_run += 1,
            Outcome::Unknown(_) => counts.unknown += 1,
            Outcome::Error(status) => {
                counts.errors += 1;
                *self.statuses.entry(*status).or_default() += 1;
            }
            Outcome::Cut(flaws) => {
                counts.cut += 1;
                counts.add_flaws(flaws);
            }
            Outcome::Lost => counts.lost += 1,
            Outcome::Late => counts.late += 1,
            Outcome::Wrong(flaws) => {
                counts.wrong += 1;
                counts.add_flaws(flaws);
            }
        }
    }

    fn add_answer(&mut self, times: &Times) {
        let item = &self.item;
        let within = |time: Duration, ms: u64| time.as_millis() <= u128::from(ms);
        let met = within(times.first_token, item.first_token_ms)
            && within(times.between_tokens, item.between_tokens_ms)
            && within(times.whole, item.whole_ms);
        self.counts.answered += 1;
        self.counts.tokens += times.tokens;
        if met {
            self.counts.met += 1;
            self.counts.useful_tokens += times.tokens;
        }
        self.first_token
            .saturating_record(micros(times.first_token));
        self.between_tokens
            .saturating_record(micros(times.between_tokens));
        self.whole.saturating_record(micros(times.whole));
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "counts of one run are far below the precision limit"
    )]
    fn report(&self) -> ItemReport {
        ItemReport {
            attainment: self.counts.met as f64 / self.counts.offered.max(1) as f64,
            counts: self.counts,
            statuses: self.statuses.clone(),
            first_token_ms: percentiles(&self.first_token),
            between_tokens_ms: percentiles(&self.between_tokens),
            whole_ms: percentiles(&self.whole),
        }
    }
}

impl Counts {
    fn add_flaws(&mut self, flaws: &Flaws) {
        self.duplicates += flaws.duplicates;
        self.missing += flaws.missing;
        self.foreign += flaws.foreign;
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times of one run are far below the precision limit"
)]
fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
        max: histogram.max() as f64 / 1_000.0,
    }
}
