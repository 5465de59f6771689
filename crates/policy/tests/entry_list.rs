//! The list for callers: which instances it contains, and how callers spread over them.

use std::{net::SocketAddr, time::Duration};

use citron_policy::{
    discovery::{Caller, MAX_CHOICES, Refusal, list},
    member::{Member, Members, State},
};
use googletest::prelude::*;
use indexmap::IndexMap;

fn member(number: u16, load: u32) -> Member {
    Member {
        id: format!("i-{number:03}"),
        domain: format!("fd-{}", number % 3),
        peer: SocketAddr::from(([10, 0, 0, 1], 7_000 + number)),
        callers: SocketAddr::from(([10, 0, 0, 1], 8_000 + number)),
        capacity: 0,
        replica: None,
        incarnation: 1,
        state: State::Alive,
        revision: 5,
        load,
        current: true,
    }
}

fn members<I>(list: I) -> Members
where
    I: IntoIterator<Item = Member>,
{
    list.into_iter().map(|it| (it.id.clone(), it)).collect()
}

fn caller(seed: u64) -> Caller<'static> {
    Caller {
        seed,
        ..Caller::default()
    }
}

/// How often each instance is the first choice, for seeds `0..callers`.
fn first_choices(members: &Members, domain: Option<&str>, callers: u64) -> IndexMap<String, u64> {
    let mut counts = IndexMap::new();
    for seed in 0..callers {
        let answer = list(
            members,
            true,
            &Caller {
                domain,
                seed,
                ..Caller::default()
            },
        )
        .expect("a list");
        *counts.entry(answer.choices[0].id.clone()).or_default() += 1;
    }
    counts
}

#[gtest]
fn only_instances_that_take_work_are_listed() {
    let with = |number, state, current| Member {
        state,
        current,
        ..member(number, 0)
    };
    let members = members([
        with(0, State::Alive, true),
        with(1, State::Suspect, true),
        with(2, State::Leaving, true),
        with(3, State::Dead, true),
        with(4, State::Alive, false),
        with(5, State::Alive, true),
    ]);
    for seed in 0..50 {
        let answer = list(&members, true, &caller(seed)).expect("a list");
        let mut ids: Vec<&str> = answer.choices.iter().map(|it| it.id.as_str()).collect();
        ids.sort_unstable();
        expect_that!(ids, eq(&vec!["i-000", "i-005"]));
        expect_that!(answer.ttl, le(Duration::from_secs(2)));
    }
}

#[gtest]
fn a_partitioned_daemon_returns_no_list() {
    let members = members([member(0, 0), member(1, 0)]);
    expect_that!(list(&members, false, &caller(1)), err(eq(&Refusal::CutOff)));
    expect_that!(
        list(&Members::new(), true, &caller(1)),
        err(eq(&Refusal::Empty))
    );
}

#[gtest]
fn callers_spread_evenly_over_equal_instances() {
    let members = members((0..12).map(|number| member(number, 10)));
    let counts = first_choices(&members, None, 12_000);
    for (id, count) in &counts {
        expect_that!(*count, all!(ge(800), le(1_200)), "{id}");
    }
    expect_that!(counts.len(), eq(12));
}

#[gtest]
fn the_newest_instance_is_not_flooded() {
    let loads = (0..12).map(|number| member(number, if number == 0 { 0 } else { 100 }));
    let counts = first_choices(&members(loads), None, 12_000);
    let newest = counts["i-000"];
    expect_that!(newest, all!(ge(1_000), le(2_400)));
}

#[gtest]
fn load_lowers_and_the_same_domain_raises_the_share_of_callers() {
    let loads = (0..12).map(|number| member(number, if number == 0 { 500 } else { 10 }));
    let members = members(loads);
    let counts = first_choices(&members, None, 12_000);
    expect_that!(counts["i-000"], le(500));
    let same_domain = first_choices(&members, Some("fd-1"), 12_000);
    let in_domain: u64 = [1, 4, 7, 10]
        .iter()
        .map(|it| same_domain[&format!("i-{it:03}")])
        .sum();
    expect_that!(in_domain, all!(ge(5_000), le(8_000)));
}

#[gtest]
fn the_second_choice_is_in_another_failure_domain() {
    let members = members((0..60).map(|number| member(number, 10)));
    for seed in 0..200 {
        let choices = list(&members, true, &caller(seed)).expect("a list").choices;
        expect_that!(choices.len(), eq(MAX_CHOICES));
        expect_that!(choices[0].domain == choices[1].domain, eq(false));
    }
}

#[gtest]
fn the_same_seed_gives_the_same_list() {
    let members = members((0..12).map(|number| member(number, 10)));
    expect_that!(
        list(&members, true, &caller(9)),
        eq(&list(&members, true, &caller(9)))
    );
}
