//! Starts next to the border of two windows, while true time is corrected by a little.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use citron_policy::{
    member::{Member, Members, State},
    usage::{Collector, Fixed, Recorder, Reporter, Settings, View},
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const SEEDS: u64 = 50;
/// True time at the start of a run, since 1970: a border.
const EPOCH_MS: u64 = 1_767_225_600_000;
const WINDOW_MS: u64 = 1_000;
const RUN_MS: u64 = 9_000;
const REPORT_MS: u64 = 500;
const TICK_MS: u64 = 50;
/// Starts are within this of a border.
const NEAR_MS: u64 = 20;
/// Borders of windows that are all fixed within a run.
const BORDERS: std::ops::RangeInclusive<u64> = 2..=5;

fn member() -> Member {
    Member {
        id: String::from("i-1"),
        domain: String::from("d"),
        peer: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        callers: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        capacity: 0,
        replica: Some(1),
        incarnation: 1,
        state: State::Alive,
        revision: 0,
        load: 0,
        current: true,
    }
}

/// Plays one run; returns the starts recorded and those in all fixed windows.
///
/// A report takes up to `delay_ms`, and its time of day is up to `skew_ms` wrong.
fn play(seed: u64, delay_ms: u64, skew_ms: u64) -> (u64, u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let base = Instant::now();
    let mut recorder = Recorder::new(base, 7);
    let mut collector = Collector::new(base);
    let settings = Settings {
        window: Duration::from_millis(WINDOW_MS),
        ..Settings::default()
    };
    let mut reporter = Reporter::new(settings);
    let member = member();
    let mut members = Members::default();
    members.insert(member.id.clone(), member.clone());
    let mut on_way = None;
    let (mut starts, mut counted) = (0, 0);
    for at in 0..RUN_MS {
        let now = base + Duration::from_millis(at);
        let near = (at + NEAR_MS) % WINDOW_MS < 2 * NEAR_MS;
        if near && BORDERS.contains(&((at + NEAR_MS) / WINDOW_MS)) {
            recorder.record(now, "t1");
            starts += 1;
        }
        if at % REPORT_MS == 0 {
            let wall = EPOCH_MS + at + rng.random_range(0..=skew_ms);
            let report = recorder.report(now, Duration::from_millis(wall), &member.id);
            on_way = Some((at + rng.random_range(0..=delay_ms), report));
        }
        if let Some((_, report)) = on_way.take_if(|(arrival, _)| *arrival <= at) {
            let next = collector.on_report(now, &member.id, &report);
            recorder.on_received(&member.id, next);
        }
        if at % TICK_MS != 0 {
            continue;
        }
        let view = View {
            now,
            collector: &collector,
            members: &members,
        };
        reporter.update(&view, true, &Fixed::default());
        while let Some(proposal) = reporter.next_to_fix(&view) {
            counted += proposal.window.counts.values().sum::<u64>();
            reporter.on_fixed(&proposal.window.into());
        }
    }
    (starts, counted)
}

/// A start was counted in both windows, or in none, if true time was corrected between
/// their counts.
#[gtest]
fn a_start_next_to_a_border_is_counted_once() {
    for seed in 0..SEEDS {
        for (delay_ms, skew_ms) in [(0, 0), (0, 1), (50, 0), (200, 15)] {
            let (starts, counted) = play(seed, delay_ms, skew_ms);
            expect_that!(
                counted,
                eq(starts),
                "seed {seed}, delays up to {delay_ms} ms, times of day {skew_ms} ms wrong"
            );
        }
    }
}
