//! When the holder of the duties fixes a window: what it waits for, and for how long.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use citron_policy::{
    member::{Member, Members, State},
    usage::{Collector, Fixed, Proposal, Recorder, Reporter, Settings, View},
};
use googletest::prelude::*;

/// True time at the start of a run, since 1970: the begin of a window.
const EPOCH_MS: u64 = 1_767_225_600_000;
const WINDOW_MS: u64 = 5_000;
/// Number of the window that begins with a run.
const FIRST: u64 = EPOCH_MS / WINDOW_MS;
const TICK_MS: u64 = 100;
const REPORT_MS: u64 = 500;
const RUN_MS: u64 = 24_000;

/// One run with two daemons, of which the first one also collects.
struct Run {
    /// Times at which a request starts at the first daemon.
    starts: fn(u64) -> bool,
    /// Time from which the second daemon sends no reports, though it is alive.
    silent_from: u64,
    /// When the first daemon comes to hold the duties.
    holds_from: u64,
    /// Difference of the times of day and true time.
    wall_error_ms: fn(u64) -> u64,
}

impl Default for Run {
    fn default() -> Self {
        Self {
            starts: |at| at == 1_000,
            silent_from: RUN_MS,
            holds_from: 0,
            wall_error_ms: |_| 0,
        }
    }
}

fn member(place: u64) -> Member {
    Member {
        id: format!("i-{place}"),
        domain: String::from("d"),
        peer: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        callers: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        capacity: 0,
        replica: Some(place),
        incarnation: 1,
        state: State::Alive,
        revision: 0,
        load: 0,
        current: true,
    }
}

impl Run {
    /// Proposals with their times; each is fixed at once.
    fn play(&self) -> Vec<(u64, Proposal)> {
        let base = Instant::now();
        let mut recorders = [Recorder::new(base, 1), Recorder::new(base, 2)];
        let mut collector = Collector::new(base);
        let mut reporter = Reporter::new(Settings::default());
        let members: Members = [1, 2]
            .map(member)
            .map(|it| (it.id.clone(), it))
            .into_iter()
            .collect();
        let mut proposals = Vec::new();
        for at in (0..RUN_MS).step_by(50) {
            let now = base + Duration::from_millis(at);
            if (self.starts)(at) {
                recorders[0].record(now, "t1");
            }
            for (recorder, id) in recorders.iter_mut().zip(members.keys()) {
                let is_silent = id == "i-2" && at >= self.silent_from;
                if at % REPORT_MS == 0 && !is_silent {
                    let wall = Duration::from_millis(EPOCH_MS + at + (self.wall_error_ms)(at));
                    let report = recorder.report(now, wall, "i-1");
                    let next = collector.on_report(now, id, &report);
                    recorder.on_received("i-1", next);
                }
            }
            if at % TICK_MS != 0 {
                continue;
            }
            let view = View {
                now,
                collector: &collector,
                members: &members,
            };
            reporter.update(&view, at >= self.holds_from, &Fixed::default());
            while let Some(proposal) = reporter.next_to_fix(&view) {
                reporter.on_fixed(&proposal.window.clone().into());
                proposals.push((at, proposal));
            }
        }
        proposals
    }

    /// Time and missing daemons of the first proposal for a window.
    fn fixed(&self, number: u64) -> Option<(u64, usize)> {
        let proposals = self.play();
        let found = proposals
            .iter()
            .find(|(_, it)| it.window.number == number)?;
        Some((found.0, found.1.missing))
    }
}

/// Guards against counts without the last starts of a window, whose reports are on their way.
#[gtest]
fn a_window_is_not_fixed_before_its_last_reports_can_have_come() {
    expect_that!(Run::default().fixed(FIRST), some(eq((6_500, 0))));
}

/// Guards against counts without those of a live daemon whose reports are late, and against
/// a window that is never fixed as one daemon does not report.
#[gtest]
fn a_live_daemon_without_reports_is_waited_for_but_not_for_ever() {
    let run = Run {
        silent_from: 4_500,
        ..Run::default()
    };
    expect_that!(run.fixed(FIRST), some(eq((9_000, 1))));
}

/// Guards against a new holder that fixes what it has before it can be sent the rest.
#[gtest]
fn a_new_holder_waits_for_what_it_lacks() {
    let run = Run {
        silent_from: 4_500,
        holds_from: 11_000,
        ..Run::default()
    };
    expect_that!(run.fixed(FIRST), some(eq((13_000, 1))));
}

/// Guards against empty counts of windows in which requests started before anything was
/// collected here.
#[gtest]
fn an_empty_window_is_told_only_if_it_was_collected() {
    let run = Run {
        starts: |_| false,
        ..Run::default()
    };
    let proposals = run.play();
    let first = proposals.iter().map(|(_, it)| it.window.number).min();
    expect_that!(first, some(eq(FIRST + 1)));
}

/// Guards against starts that are counted in two windows, as a wrong time of day had placed
/// the border between them.
#[gtest]
fn a_border_that_a_wrong_time_of_day_placed_is_placed_anew() {
    let run = Run {
        starts: |at| at % 100 == 50,
        wall_error_ms: |at| if at < 8_000 { 3_000 } else { 0 },
        ..Run::default()
    };
    let proposals = run.play();
    let mut second = proposals
        .iter()
        .filter(|(_, it)| it.window.number == FIRST + 1);
    let counts = second.next().map(|(_, it)| it.window.counts["t1"]);
    expect_that!(counts, some(eq(50)));
}

/// Guards against a holder that sends its own counts, while the control log may have those of
/// a former one.
#[gtest]
fn only_counts_that_the_log_has_fixed_are_sent() {
    let base = Instant::now();
    let now = base + Duration::from_millis(6_500);
    let mut recorder = Recorder::new(base, 1);
    let mut collector = Collector::new(base);
    let members: Members = [(String::from("i-1"), member(1))].into();
    recorder.record(base + Duration::from_secs(1), "t1");
    let wall = Duration::from_millis(EPOCH_MS + 6_500);
    let report = recorder.report(now, wall, "i-1");
    collector.on_report(now, &String::from("i-1"), &report);
    let mut reporter = Reporter::new(Settings::default());
    let view = View {
        now,
        collector: &collector,
        members: &members,
    };
    reporter.update(&view, true, &Fixed::default());
    let proposal = reporter.next_to_fix(&view).expect("a window");
    let later = now + Duration::from_secs(1);
    expect_that!(reporter.next_to_send(later), none());
    let mut other = proposal.window;
    other.counts.insert(String::from("t1"), 7);
    reporter.on_fixed(&other.clone().into());
    let sent = reporter.next_to_send(later);
    expect_that!(sent.as_deref(), some(eq(&other)));
}
