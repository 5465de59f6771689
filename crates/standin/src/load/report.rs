//! What came of the requests.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use super::{Item, Settings, client::Response};

/// Largest time that a histogram holds, in microseconds.
const MAX_MICROS: u64 = 3_600_000_000;

/// How one attempt, and at last one request, ended.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    /// Answered whole and right.
    Answered(Times),
    /// Refused before it ran.
    NotRun(Retry),
    /// It may have run; a key makes it safe to ask again.
    Unknown(Option<Retry>),
    /// An error that coming back does not change.
    Error(u16),
    /// The answer was visibly cut.
    Cut(Flaws),
    /// The connection failed before an answer.
    Lost,
    /// No answer before the deadline.
    Late,
    /// The answer looked whole and was wrong.
    Wrong(Flaws),
}

/// Times of a whole answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Times {
    pub first_token: Duration,
    pub between_tokens: Duration,
    pub whole: Duration,
    pub tokens: u64,
}

/// What was wrong with the tokens of an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Flaws {
    /// Tokens that came.
    pub tokens: u64,
    /// Tokens that came twice.
    pub duplicates: u64,
    /// Tokens that were left out.
    pub missing: u64,
    /// Tokens of another request.
    pub foreign: u64,
}

/// When and where to come back.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Retry {
    pub after: Duration,
    pub address: Option<SocketAddr>,
}

impl Outcome {
    /// No instance was known.
    pub(super) fn no_entry() -> Self {
        Self::NotRun(Retry {
            after: Duration::from_millis(100),
            address: None,
        })
    }

    /// What an answer that is no success says.
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

    /// Whether and when the request comes back.
    pub(super) fn retry(&self) -> Option<Retry> {
        match self {
            Self::NotRun(retry) => Some(*retry),
            Self::Unknown(retry) => *retry,
            Self::Lost => Some(Retry::default()),
            _ => None,
        }
    }

    /// Whether the instance lost the connection.
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

/// Counts of one item.
#[derive(Debug)]
struct Totals {
    item: Item,
    counts: Counts,
    statuses: IndexMap<u16, u64>,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    whole: Histogram<u64>,
}

/// Requests by how they ended.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Requests that arrived.
    pub offered: u64,
    /// Answered whole and right.
    pub answered: u64,
    /// Answered within every target.
    pub met: u64,
    /// Refused before they ran, to the end.
    pub not_run: u64,
    /// May have run.
    pub unknown: u64,
    /// Failed for good.
    pub errors: u64,
    /// Answers visibly cut.
    pub cut: u64,
    /// Connections that failed, to the end.
    pub lost: u64,
    /// Not answered before the deadline.
    pub late: u64,
    /// Answers that looked whole and were not right.
    pub wrong: u64,
    /// Times that requests came back after a refusal.
    pub returns: u64,
    /// Tokens of right answers.
    pub tokens: u64,
    /// Tokens of answers within every target.
    pub useful_tokens: u64,
    /// Tokens that came twice.
    pub duplicates: u64,
    /// Tokens that were left out.
    pub missing: u64,
    /// Tokens of another request.
    pub foreign: u64,
}

/// Counts while the load runs.
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
    /// Requests a second asked for.
    pub rate: f64,
    /// Workers, when there is no rate.
    pub workers: usize,
    /// Seconds in which requests arrived and were counted.
    pub seconds: f64,
    /// Requests still unanswered at the end.
    pub unfinished: usize,
    /// Tokens a second of answers within their targets.
    pub goodput_tokens_per_s: f64,
    /// Tokens a second of all right answers.
    pub tokens_per_s: f64,
    /// Right answers a second.
    pub answers_per_s: f64,
    /// By item of the mix.
    pub items: IndexMap<String, ItemReport>,
}

/// The result of one item.
#[derive(Clone, Debug, Serialize)]
pub struct ItemReport {
    /// Share of the offered requests that met every target.
    pub attainment: f64,
    /// Requests by how they ended.
    pub counts: Counts,
    /// Final errors by status.
    pub statuses: IndexMap<u16, u64>,
    /// Milliseconds to the first token.
    pub first_token_ms: Percentiles,
    /// Milliseconds between tokens.
    pub between_tokens_ms: Percentiles,
    /// Milliseconds of the whole answer.
    pub whole_ms: Percentiles,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Half are below.
    pub p50: f64,
    /// Nine tenths are below.
    pub p90: f64,
    /// 99 of 100 are below.
    pub p99: f64,
    /// The largest.
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
