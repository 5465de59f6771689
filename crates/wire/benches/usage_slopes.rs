//! Cost of usage reports: time and bytes per start, per report and per window.
//!
//! `cargo bench -p citron-wire --bench usage_slopes` prints one JSON line for each of
//! three sizes, up to the largest one required. Memory is the growth of the resident set.

use std::{
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

use citron_policy::{
    member::{Member, Members, State},
    usage::{Borders, Collector, Recorder, Report},
};
use citron_wire::generated::{control, duty as proto};
use prost::Message;
use serde_json::json;

/// Size of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// Number of daemons, accounts and starts per second at each daemon.
const SIZES: [(u32, u32, u32); 3] = [(24, 750, 47), (95, 3_000, 47), (380, 12_000, 47)];

/// Time between two reports.
const INTERVAL: Duration = Duration::from_millis(500);

/// Rounds of reports: the whole time for which starts are kept.
const ROUNDS: u32 = 60;

const WINDOW: Duration = Duration::from_secs(5);
const EPOCH: Duration = Duration::from_millis(1_767_225_600_001);

fn main() {
    // Warm-up of the allocator and caches, not reported.
    black_box(measure(SIZES[0]));
    for size in SIZES {
        println!("{}", measure(size));
    }
}

fn measure((daemons, accounts, rate): (u32, u32, u32)) -> serde_json::Value {
    let base = Instant::now();
    let members: Members = (0..daemons).map(member).collect();
    let mut recorders: Vec<Recorder> = (0..daemons)
        .map(|it| Recorder::new(base, it.into()))
        .collect();
    let names: Vec<String> = (0..accounts).map(|it| format!("account{it:05}")).collect();
    let before = resident_bytes();
    let mut collector = Collector::new(base);
    let [mut recording, mut sending, mut receiving] = [Duration::ZERO; 3];
    let (mut starts, mut bytes, mut seed) = (0_u32, 0_usize, 1_u32);
    for round in 1..=ROUNDS {
        let now = base + INTERVAL * round;
        for (place, recorder) in recorders.iter_mut().enumerate() {
            let id = &members[place].id;
            let began = Instant::now();
            for it in 0..rate / 2 {
                seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                let account = (seed >> 8) % accounts;
                let at = base + INTERVAL * (round - 1) + INTERVAL * it / (rate / 2);
                recorder.record(at, &names[usize::try_from(account).unwrap_or(0)]);
                starts += 1;
            }
            recording += began.elapsed();
            let began = Instant::now();
            let report = recorder.report(now, EPOCH + INTERVAL * round, "i-0");
            let sent = proto::Message::from(report).encode_to_vec();
            sending += began.elapsed();
            bytes += sent.len();
            let began = Instant::now();
            let message = proto::Message::decode(sent.as_slice()).expect("our own bytes");
            let report = Report::try_from(message).expect("our own report");
            let next = collector.on_report(now, id, &report);
            receiving += began.elapsed();
            recorder.on_received("i-0", next);
        }
    }
    let memory = resident_bytes().saturating_sub(before);
    let now = base + INTERVAL * ROUNDS;
    let number = (EPOCH + INTERVAL * ROUNDS).as_secs() / WINDOW.as_secs() - 1;
    let end = WINDOW * u32::try_from(number + 1).unwrap_or(0);
    let began = Instant::now();
    black_box(collector.missing(now, &members, end));
    let looking = began.elapsed();
    let began = Instant::now();
    let mut borders = Borders::default();
    let window = collector.count(now, &members, number, WINDOW, &mut borders);
    let counting = began.elapsed();
    let window = window.expect("true time is known");
    let entry = control::Usage::from(&window).encoded_len();
    let reports = daemons * ROUNDS;
    json!({
        "daemons": daemons,
        "accounts": accounts,
        "starts": starts,
        "record_us": micros(recording / starts),
        "send_report_us": micros(sending / reports),
        "receive_report_us": micros(receiving / reports),
        "report_bytes": bytes / usize::try_from(reports).unwrap_or(1),
        "look_us": micros(looking),
        "count_window_us": micros(counting),
        "accounts_in_window": window.counts.len(),
        "window_bytes": entry,
        "memory_bytes_per_start": memory / u64::from(starts),
    })
}

fn member(number: u32) -> (String, Member) {
    let member = Member {
        id: format!("i-{number:03}"),
        domain: format!("fd-{}", number % 4),
        peer: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        callers: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        capacity: 0,
        replica: (number < 6).then_some(u64::from(number) + 1),
        incarnation: 1,
        state: State::Alive,
        revision: 0,
        load: 0,
        current: true,
    };
    (member.id.clone(), member)
}

fn micros(span: Duration) -> f64 {
    (span.as_secs_f64() * 1e8).round() / 100.0
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|it| it.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
