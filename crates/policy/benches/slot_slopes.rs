//! Cost of an arbiter: time per ask, grant and heartbeat, and memory per queued request.
//!
//! `cargo bench -p citron-policy --bench slot_slopes` prints one JSON line for each
//! of three sizes, up to the largest one required. Memory is the growth of the
//! resident set.

use std::{
    hint::black_box,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    arbiter::{
        Arbiter, Ask, Asked, Effect, End, Event, Heartbeat, Reply, Request, Sample, Settings,
    },
    catalogue::{Account, Backend, Catalogue, Change, Class, Entry, Service},
    platform::{Runner, Standing},
};
use indexmap::{IndexMap, IndexSet};
use serde_json::json;

const SERVICE: &str = "assistant";

/// Size of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// Number of askers, runners, accounts and queued requests.
const SIZES: [(u32, u32, u32, u32); 3] = [
    (24, 16, 750, 4_000),
    (95, 32, 3_000, 8_000),
    (380, 64, 12_000, 16_000),
];

fn main() {
    // Warm-up of the allocator and caches, not reported.
    black_box(measure(SIZES[0]));
    for size in SIZES {
        println!("{}", measure(size));
    }
}

fn measure(size: (u32, u32, u32, u32)) -> serde_json::Value {
    let (askers, runners, accounts, queued) = size;
    let mut now = Instant::now();
    let mut arbiter = start(now, askers, runners, accounts);
    let before = resident_bytes();
    let mut held: IndexMap<u64, String> = IndexMap::new();
    let asks = Instant::now();
    for ticket in 0..queued {
        let ask = ask(ticket, accounts);
        let effects = arbiter.on_event(now, asked(ticket % askers, Request::Ask(ask)));
        collect(&effects, &mut held);
    }
    let ask_time = asks.elapsed() / queued;
    let bytes = resident_bytes().saturating_sub(before) / u64::from(queued);
    let rounds = queued / 4;
    let releases = Instant::now();
    for _ in 0..rounds {
        let Some((ticket, _)) = held.swap_remove_index(0) else {
            break;
        };
        now += Duration::from_micros(50);
        let asker = u32::try_from(ticket).unwrap_or(0) % askers;
        let effects = arbiter.on_event(now, asked(asker, Request::Release(ticket, done())));
        collect(&effects, &mut held);
    }
    let release_time = releases.elapsed() / rounds;
    let heartbeats = Instant::now();
    for asker in 0..askers {
        let heartbeat = Request::Heartbeat(Heartbeat::default());
        black_box(arbiter.on_event(now, asked(asker, heartbeat)));
    }
    let heartbeat_time = heartbeats.elapsed() / askers;
    let ticks = Instant::now();
    for _ in 0..20 {
        now += Duration::from_millis(1);
        black_box(arbiter.on_event(now, Event::Tick));
    }
    let tick_time = ticks.elapsed() / 20;
    json!({
        "askers": askers,
        "runners": runners,
        "accounts": accounts,
        "queued": queued,
        "ask_us": micros(ask_time),
        "release_and_grant_us": micros(release_time),
        "heartbeat_us": micros(heartbeat_time),
        "tick_us": micros(tick_time),
        "bytes_per_queued": bytes,
    })
}

fn micros(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e8).round() / 100.0
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn collect(effects: &[Effect], held: &mut IndexMap<u64, String>) {
    for effect in effects {
        if let Effect::Send(_, Reply::Grant { ticket, runner, .. }) = effect {
            held.insert(*ticket, runner.clone());
        }
    }
}

fn asked(asker: u32, request: Request) -> Event {
    let message = Asked {
        least: 0,
        fallback: false,
        request,
    };
    let from = format!("i{asker}");
    Event::Asked {
        from,
        asked: message,
    }
}

fn ask(ticket: u32, accounts: u32) -> Ask {
    Ask {
        ticket: u64::from(ticket),
        class: format!("c{}", ticket % 8),
        account: format!("account-{}", ticket.wrapping_mul(2_654_435_761) % accounts),
        fingerprint: u64::from(ticket) + 1,
        prefix: u64::from(ticket % 512),
        remaining: Duration::from_mins(10),
        ..Ask::default()
    }
}

fn done() -> Sample {
    Sample {
        end: End::Done,
        first_token: Some(Duration::from_millis(100)),
        between_tokens: Some(Duration::from_millis(25)),
        whole: Duration::from_secs(5),
        tokens: 200,
        unlimited: false,
        longest_pause: None,
        report: None,
    }
}

fn start(now: Instant, askers: u32, runners: u32, accounts: u32) -> Arbiter {
    let live: IndexSet<String> = (0..askers).map(|it| format!("i{it}")).collect();
    let settings = Settings {
        // Nothing is given up, so that the queue keeps its size.
        max_wait_share: 1e6,
        collect_timeout: Duration::ZERO,
        ..Settings::default()
    };
    let (mut arbiter, _) = Arbiter::new(now, SERVICE.to_owned(), 1, live, settings);
    black_box(arbiter.on_event(now, Event::Catalogue(catalogue(accounts))));
    let listed = (0..runners).map(|it| Runner {
        id: format!("r{it}"),
        service: SERVICE.to_owned(),
        domain: "d".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        standing: Standing::Live,
        build: String::new(),
        slots: 0,
        reclaimable: false,
    });
    black_box(arbiter.on_event(now, Event::Runners(listed.collect())));
    black_box(arbiter.on_event(now, Event::Tick));
    arbiter
}

fn catalogue(accounts: u32) -> Arc<Catalogue> {
    let classes = (0..8).map(|tier| {
        Entry::Class(Arc::new(Class {
            name: format!("c{tier}"),
            owner: "bench".to_owned(),
            tier,
            first_token: Duration::from_secs(2),
            between_tokens: Duration::from_millis(50),
            whole: Duration::from_mins(1),
            wait_bound: Duration::from_mins(10),
            queue_limit: 100_000,
            preemptible: false,
        }))
    });
    let accounts = (0..accounts).map(|number| {
        Entry::Account(Arc::new(Account {
            name: format!("account-{number}"),
            owner: "bench".to_owned(),
            key_sha256: format!("{number:064x}"),
            class: "c0".to_owned(),
            classes: Vec::new(),
            max_running: 1_000,
            max_queued: 100_000,
            ..Account::default()
        }))
    });
    let service = Entry::Service(Arc::new(Service {
        name: SERVICE.to_owned(),
        owner: "bench".to_owned(),
        backend: Backend::Model,
        class: "c0".to_owned(),
        once: Vec::new(),
        max_running_per_runner: 8,
        retry_percent: 10,
        refusal_statuses: Vec::new(),
        timeout: Duration::from_mins(1),
        max_body_bytes: 1 << 20,
        memory_tokens: 0,
        scaling: None,
    }));
    let change = Change {
        id: "bench".to_owned(),
        operator: "bench".to_owned(),
        puts: classes.chain([service]).chain(accounts).collect(),
        ..Change::default()
    };
    Arc::new(Catalogue::default().apply(&change).expect("a catalogue"))
}
