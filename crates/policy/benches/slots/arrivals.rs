//! Seeded arrivals, identical for all scheduling strategies.

use std::{sync::Arc, time::Duration};

use citron_policy::catalogue::{Account, Backend, Catalogue, Change, Class, Entry, Service};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Slots of each runner of the measured service.
pub const SLOTS: u32 = 8;

/// Number of runners of the measured service.
pub const RUNNERS: usize = 10;

/// Caller's timeout for the complete response.
pub const TIMEOUT: Duration = Duration::from_mins(1);

/// Name of the measured service.
pub const SERVICE: &str = "assistant";

/// Number of client accounts.
const ACCOUNTS: u32 = 10;

/// Name, share of requests and mean tokens of each class, highest tier first.
pub const CLASSES: [(&str, f64, f64); 3] = [
    ("repair", 0.25, 120.0),
    ("proof", 0.35, 200.0),
    ("bulk", 0.40, 300.0),
];

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub class: usize,
    pub account: u32,
    pub tokens: u32,
    pub prefix: u64,
    pub daemon: usize,
}

/// Parameters of the offered load.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    pub seed: u64,
    /// Offered work, as a fraction of the runners' capacity.
    pub load: f64,
    pub time: Duration,
    /// Factor on the arrival rate of the lowest class from a third to half of the run.
    pub burst: f64,
    pub daemons: usize,
}

/// Generates the arrivals of an offer, ordered by time.
pub fn arrivals(offer: &Offer, tokens_per_second: f64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(offer.seed);
    let mean: f64 = CLASSES
        .iter()
        .map(|(_, share, tokens)| share * tokens)
        .sum();
    let rate = offer.load * tokens_per_second / mean;
    let mut all = Vec::new();
    for (class, (_, share, tokens)) in CLASSES.iter().enumerate() {
        let mut at = 0.0;
        loop {
            let third = offer.time.as_secs_f64() / 3.0;
            let bursting = class == 2 && at > third && at < third * 1.5;
            let factor = if bursting { offer.burst } else { 1.0 };
            at += exponential(&mut random) / (rate * share * factor);
            if at > offer.time.as_secs_f64() {
                break;
            }
            let account = if bursting && random.random_bool(1.0 - 1.0 / factor) {
                0
            } else {
                skewed_account(&mut random)
            };
            all.push(Arrival {
                at: Duration::from_secs_f64(at),
                class,
                account,
                tokens: output_length(&mut random, *tokens),
                prefix: 1 + u64::from(account) * 4 + random.random_range(0..4),
                daemon: random.random_range(0..offer.daemons),
            });
        }
    }
    all.sort_by_key(|it| it.at);
    all
}

/// Chooses an account; a few accounts send most of the requests.
fn skewed_account(random: &mut StdRng) -> u32 {
    let draw: f64 = random.random();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "less than the number of accounts"
    )]
    let account = (draw * draw * f64::from(ACCOUNTS)) as u32;
    account
}

/// A long-tailed output length around `mean`, in tokens.
fn output_length(random: &mut StdRng, mean: f64) -> u32 {
    let spread = 0.3 + 0.7 * exponential(random);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded below"
    )]
    let tokens = (mean * spread).clamp(4.0, 4_000.0) as u32;
    tokens
}

fn exponential(random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// The catalogue used in all runs.
pub fn catalogue() -> Arc<Catalogue> {
    let times = [(1_500, 2_000), (3_000, 4_000), (10_000, 10_000)];
    let mut puts: Vec<Entry> = CLASSES
        .iter()
        .zip(times)
        .zip(0..)
        .map(|(((name, ..), (first, bound)), tier)| {
            Entry::Class(Arc::new(Class {
                name: (*name).to_owned(),
                owner: "bench".to_owned(),
                tier,
                first_token: Duration::from_millis(first),
                between_tokens: Duration::from_millis(60),
                whole: TIMEOUT,
                wait_bound: Duration::from_millis(bound),
                queue_limit: 1_000,
                preemptible: tier == 2,
            }))
        })
        .collect();
    puts.extend((0..ACCOUNTS).map(|it| Entry::Account(Arc::new(account(it)))));
    puts.push(Entry::Service(Arc::new(Service {
        name: SERVICE.to_owned(),
        owner: "bench".to_owned(),
        backend: Backend::Model,
        class: "bulk".to_owned(),
        once: Vec::new(),
        max_running_per_runner: SLOTS,
        retry_percent: 10,
        refusal_statuses: Vec::new(),
        timeout: TIMEOUT,
        max_body_bytes: 1 << 20,
        memory_tokens: 0,
        scaling: None,
    })));
    let change = Change {
        id: "bench".to_owned(),
        operator: "bench".to_owned(),
        puts,
        ..Change::default()
    };
    Arc::new(Catalogue::default().apply(&change).expect("a catalogue"))
}

fn account(number: u32) -> Account {
    Account {
        name: format!("account-{number}"),
        owner: "bench".to_owned(),
        key_sha256: format!("{number:064x}"),
        class: "bulk".to_owned(),
        classes: vec!["repair".to_owned(), "proof".to_owned()],
        max_running: 1_000,
        max_queued: 1_000,
        ..Account::default()
    }
}
