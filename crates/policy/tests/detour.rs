//! When an instance passes its attempts on, and to which peer.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use citron_policy::{
    detour::{Detour, Settings},
    member::{Member, Members, State},
};
use googletest::prelude::*;

const ME: &str = "i0";

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Five members, the first three in one failure domain.
fn members() -> Members {
    let member = |number: u16| Member {
        id: format!("i{number}"),
        domain: if number < 3 { "near" } else { "far" }.to_owned(),
        peer: address(number),
        callers: address(100 + number),
        capacity: 0,
        replica: None,
        incarnation: 1,
        state: State::Alive,
        revision: 1,
        load: 0,
        current: true,
    };
    (0..5).map(|it| (format!("i{it}"), member(it))).collect()
}

fn attempt(detour: &mut Detour, at: Instant, runner: &str, port: u16) {
    detour.on_attempt(&runner.to_owned(), address(port));
    detour.on_unreached(at, &runner.to_owned());
}

fn cut_off(now: Instant) -> Detour {
    let mut detour = Detour::new(Settings::default());
    attempt(&mut detour, now, "r1", 1);
    attempt(&mut detour, now, "r2", 2);
    detour
}

fn choose(detour: &Detour, now: Instant, members: &Members, tried: &[String]) -> Option<String> {
    let chosen = detour.choose(now, &ME.to_owned(), members, tried, 7);
    chosen.map(|(peer, _)| peer)
}

/// It may be the runner that is lost.
#[gtest]
fn one_runner_that_is_not_reached_is_no_lost_path() {
    let now = Instant::now();
    let mut detour = Detour::new(Settings::default());
    for _ in 0..5 {
        attempt(&mut detour, now, "r1", 1);
    }
    expect_that!(detour.is_cut_off(now), eq(false));
}

#[gtest]
fn runners_that_are_not_reached_in_a_row_are_a_lost_path() {
    let now = Instant::now();
    expect_that!(cut_off(now).is_cut_off(now), eq(true));
}

/// Otherwise all requests of a quiet daemon may go to one runner, and the loss of the
/// path stays unknown.
#[gtest]
fn a_runner_that_was_not_reached_is_avoided_until_any_answers() {
    let now = Instant::now();
    let mut detour = Detour::new(Settings::default());
    attempt(&mut detour, now, "r1", 1);
    let unreached = |detour: &Detour, now| detour.unreached(now).cloned().collect::<Vec<_>>();
    expect_that!(unreached(&detour, now), elements_are![eq("r1")]);
    let later = now + Settings::default().memory + Duration::from_millis(1);
    expect_that!(unreached(&detour, later), is_empty());
    detour.on_answer(now + Duration::from_millis(1));
    expect_that!(unreached(&detour, now), is_empty());
}

/// An answer to what was sent before the loss says nothing about it.
#[gtest]
fn only_an_answer_to_a_later_attempt_shows_a_path() {
    let now = Instant::now();
    let mut detour = cut_off(now);
    detour.on_answer(now.checked_sub(Duration::from_millis(1)).expect("a time"));
    expect_that!(detour.is_cut_off(now), eq(true));
    detour.on_answer(now + Duration::from_millis(1));
    expect_that!(detour.is_cut_off(now), eq(false));
}

/// Two runners that died must not hold an instance on the detour for good.
#[gtest]
fn all_runners_that_were_used_are_tested_in_turn() {
    let now = Instant::now();
    let mut detour = Detour::new(Settings::default());
    detour.on_attempt(&"r0".to_owned(), address(9));
    attempt(&mut detour, now, "r1", 1);
    attempt(&mut detour, now, "r2", 2);
    let tests = (0..30).filter_map(|it| detour.test(now + Duration::from_millis(100 * it)));
    let tested: Vec<u16> = tests.map(|it| it.port()).collect();
    expect_that!(tested, eq(&vec![9, 1, 2, 9, 1, 2]));
    expect_that!(detour.is_cut_off(now + Duration::from_secs(11)), eq(false));
}

/// A path may let connections through and reset them, so one request is risked.
#[gtest]
fn one_request_at_a_time_tries_a_path_that_takes_connections_again() {
    let now = Instant::now();
    let mut detour = cut_off(now);
    expect_that!(detour.take_trial(now), eq(false));
    detour.on_test_passed(now);
    expect_that!(detour.take_trial(now), eq(true));
    expect_that!(detour.take_trial(now), eq(false));
    detour.on_test_passed(now + Duration::from_millis(500));
    expect_that!(
        detour.take_trial(now + Duration::from_millis(500)),
        eq(false)
    );
    expect_that!(detour.is_cut_off(now), eq(true));
    // It fails, and the next one waits for another test.
    let later = now + Duration::from_millis(600);
    detour.on_unreached(later, &"r1".to_owned());
    expect_that!(detour.take_trial(later), eq(false));
    detour.on_test_passed(later);
    expect_that!(detour.take_trial(later), eq(true));
    detour.on_answer(later + Duration::from_millis(1));
    expect_that!(detour.is_cut_off(later), eq(false));
}

#[gtest]
fn peers_of_the_own_failure_domain_go_first_until_they_have_more_in_hand() {
    let now = Instant::now();
    let mut detour = cut_off(now);
    let members = members();
    let mut chosen = Vec::new();
    for _ in 0..8 {
        let peer = choose(&detour, now, &members, &[]).expect("a peer");
        detour.begin(&peer);
        chosen.push(peer);
    }
    let near = ["i1".to_owned(), "i2".to_owned()];
    expect_that!(chosen[..4].iter().all(|it| near.contains(it)), eq(true));
    expect_that!(chosen.iter().any(|it| it == "i3"), eq(true), "{chosen:?}");
    expect_that!(chosen.contains(&ME.to_owned()), eq(false));
}

#[gtest]
fn peers_that_cannot_help_are_left_alone_for_a_while() {
    let now = Instant::now();
    let mut detour = cut_off(now);
    let mut members = members();
    members["i4"].state = State::Leaving;
    members["i3"].current = false;
    detour.on_unable(now, &"i1".to_owned());
    expect_that!(choose(&detour, now, &members, &[]), some(eq("i2")));
    let tried = ["i2".to_owned()];
    expect_that!(choose(&detour, now, &members, &tried), none());
    let later = now + Duration::from_secs(3);
    expect_that!(choose(&detour, later, &members, &tried), some(eq("i1")));
}

/// Effects of a newer version at a peer were followed by those of an older one here.
#[gtest]
fn work_waits_for_the_newest_version_that_a_peer_named_lately() {
    let now = Instant::now();
    let mut detour = cut_off(now);
    expect_that!(detour.least_version(now), eq(0));
    detour.on_version(now, 9);
    detour.on_version(now + Duration::from_secs(1), 8);
    expect_that!(detour.least_version(now + Duration::from_secs(4)), eq(9));
    // A proof of the catalogue that is younger than this covers the version.
    expect_that!(detour.least_version(now + Duration::from_secs(6)), eq(0));
    detour.on_version(now + Duration::from_secs(7), 8);
    expect_that!(detour.least_version(now + Duration::from_secs(7)), eq(8));
}
