//! A fleet that starts at once reads the platform's list without wearing out the
//! platform's limit on calls.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use citron_policy::{
    arbiter::host_order,
    member::{Member, Members, State},
    platform::{
        List, Runner, Standing,
        reader::{Role, Schedule, Settings},
        reading::{Fault, MAX_PAGES, MAX_TIME, Page, PageFault, Reading, Step},
    },
};
use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

/// Time from one call to the next of the same reader.
const CALL: Duration = Duration::from_millis(3);

/// Calls that the platform takes in any second, from all readers.
const CALLS_PER_SECOND: usize = 710;

/// Runners on one page.
const PAGE: usize = 50;

/// Time within which a fleet must serve again after all of it was killed.
const BACK: Duration = Duration::from_secs(3);

fn runner(number: usize) -> Runner {
    Runner {
        id: format!("r-{number}"),
        service: "assistant".to_owned(),
        domain: "fd-1".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        standing: Standing::Live,
        build: String::new(),
        slots: 24,
        reclaimable: false,
    }
}

fn page(first: usize, runners: usize) -> Page {
    let end = (first + PAGE).min(runners);
    Page {
        list: List {
            entries: Vec::new(),
            runners: (first..end).map(runner).collect(),
        },
        next: (end < runners).then(|| end.to_string()),
        ..Page::default()
    }
}

/// A platform that counts the calls of the last second.
#[derive(Default)]
struct Platform {
    calls: VecDeque<Instant>,
    answered: usize,
}

impl Platform {
    fn answer(
        &mut self,
        now: Instant,
        token: Option<&String>,
        runners: usize,
    ) -> std::result::Result<Page, PageFault> {
        while let Some(first) = self.calls.front()
            && now.saturating_duration_since(*first) >= Duration::from_secs(1)
        {
            self.calls.pop_front();
        }
        if self.calls.len() >= CALLS_PER_SECOND {
            return Err(PageFault::Busy);
        }
        self.calls.push_back(now);
        self.answered += 1;
        let first = token.map_or(0, |token| token.parse().expect("a page"));
        Ok(page(first, runners))
    }
}

/// Time until the last of `readers` has the whole list, which all begin to read at once;
/// `None` if one fails.
fn time_to_read(readers: usize, runners: usize, seed: u64) -> Option<Duration> {
    let began = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut platform = Platform::default();
    let mut due: Vec<(Instant, Reading, Option<String>)> = (0..readers)
        .map(|number| {
            let number = u32::try_from(number).expect("a small number");
            let start = began + Duration::from_micros(700) * number;
            (start, Reading::new(start), None)
        })
        .collect();
    let mut end = began;
    while let Some(place) = (0..due.len()).min_by_key(|it| due[*it].0) {
        let (now, reading, token) = &mut due[place];
        let answer = platform.answer(*now, token.as_ref(), runners);
        match reading.on_page(*now + CALL, answer, &mut rng) {
            Step::Read(next) => {
                *token = next;
                *now += CALL;
            }
            Step::Pause(pause, next) => {
                *token = next;
                *now += CALL + pause;
            }
            Step::Done(list) => {
                assert_eq!(list.runners.len(), runners);
                end = end.max(*now + CALL);
                due.swap_remove(place);
            }
            Step::Failed(_) => return None,
        }
    }
    Some(end.saturating_duration_since(began))
}

fn member(number: usize) -> Member {
    Member {
        id: format!("front-{number}"),
        domain: "fd-1".to_owned(),
        peer: ([10, 0, 0, 1], 1).into(),
        callers: ([10, 0, 0, 1], 2).into(),
        capacity: if number < 5 { 320 } else { 120 },
        replica: None,
        incarnation: 1,
        state: State::Alive,
        revision: 1,
        load: 0,
        current: true,
    }
}

/// Daemons that read the list while each knows the first `known` members and itself.
fn readers(daemons: usize, known: usize) -> usize {
    let services = ["assistant", "ticketing"];
    let is_candidate = |me: &usize| {
        let members = (0..known).chain([*me]);
        let members: Members = members.map(|it| (member(it).id, member(it))).collect();
        services.iter().any(|service| {
            let order = host_order(service, 0, &members);
            order.iter().take(3).any(|it| *it == member(*me).id)
        })
    };
    (0..daemons).filter(is_candidate).count()
}

#[gtest]
fn a_fleet_of_three_hundred_reads_three_thousand_runners_in_time() {
    // Two services, each with a host and two standbys.
    expect_that!(readers(300, 5), le(6));
    // With all of them reading, as before, most give up.
    expect_that!(time_to_read(300, 3_000, 1), none());
    for seed in 0..20 {
        let time = time_to_read(6, 3_000, seed);
        expect_that!(time, some(le(BACK)), "seed {seed}");
    }
}

/// With all 300 reading, what the platform takes in 10 s is not enough.
#[gtest]
fn readings_of_too_many_end_with_the_reason() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut reading = Reading::new(now);
    let mut at = now;
    let fault = loop {
        match reading.on_page(at, Err(PageFault::Busy), &mut rng) {
            Step::Pause(pause, None) => at += pause,
            Step::Failed(fault) => break fault,
            step => panic!("{step:?}"),
        }
    };
    expect_that!(at.saturating_duration_since(now), le(MAX_TIME));
    expect_that!(fault, matches_pattern!(Fault::Slow { pages: eq(&0), .. }));
    expect_that!(fault.to_string(), contains_substring("fewer instances"));
}

#[gtest]
fn a_refused_page_is_asked_again_and_those_before_are_kept() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut reading = Reading::new(now);
    let second = Some("50".to_owned());
    expect_that!(
        reading.on_page(now, Ok(page(0, 70)), &mut rng),
        eq(&Step::Read(second.clone()))
    );
    let step = reading.on_page(now, Err(PageFault::Busy), &mut rng);
    expect_that!(
        step,
        matches_pattern!(Step::Pause(gt(&Duration::ZERO), eq(&second)))
    );
    let Step::Done(list) = reading.on_page(now, Ok(page(50, 70)), &mut rng) else {
        panic!("not done");
    };
    expect_that!(list.runners.len(), eq(70));
}

#[gtest]
fn pages_that_come_again_or_never_end_are_given_up() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let to = |next: &str| {
        Ok(Page {
            next: Some(next.to_owned()),
            ..Page::default()
        })
    };
    let mut circle = Reading::new(now);
    for next in ["a", "b"] {
        let step = circle.on_page(now, to(next), &mut rng);
        expect_that!(step, matches_pattern!(Step::Read(_)));
    }
    let step = circle.on_page(now, to("a"), &mut rng);
    expect_that!(
        step,
        matches_pattern!(Step::Failed(matches_pattern!(Fault::Repeated { .. })))
    );
    let mut endless = Reading::new(now);
    let mut steps = 0;
    while let Step::Read(_) = endless.on_page(now, to(&steps.to_string()), &mut rng) {
        steps += 1;
    }
    expect_that!(steps, lt(MAX_PAGES));
}

/// The list changes while it is read, so an entry may move to a later page.
#[gtest]
fn a_runner_on_two_pages_is_one_runner() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut reading = Reading::new(now);
    reading.on_page(now, Ok(page(0, 60)), &mut rng);
    let mut last = page(50, 60);
    last.list.runners.push(Runner {
        standing: Standing::Leaving,
        ..runner(3)
    });
    let Step::Done(list) = reading.on_page(now, Ok(last), &mut rng) else {
        panic!("not done");
    };
    expect_that!(list.runners.len(), eq(60));
    expect_that!(list.runners[3].standing, eq(Standing::Leaving));
}

/// A service lost a runner to an entry of another service with the same id.
#[gtest]
fn runners_of_two_services_with_one_id_are_two_runners() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut reading = Reading::new(now);
    let mut page = page(0, 2);
    page.list.runners.push(Runner {
        service: "desk".to_owned(),
        ..runner(0)
    });
    let Step::Done(list) = reading.on_page(now, Ok(page), &mut rng) else {
        panic!("not done");
    };
    let listed: Vec<(&str, &str)> = list
        .runners
        .iter()
        .map(|it| (it.service.as_str(), it.id.as_str()))
        .collect();
    expect_that!(
        listed,
        unordered_elements_are![
            eq(&("assistant", "r-0")),
            eq(&("assistant", "r-1")),
            eq(&("desk", "r-0"))
        ]
    );
}

#[gtest]
fn a_new_standby_waits_and_a_new_host_does_not() {
    let now = Instant::now();
    let settings = Settings::default();
    let mut schedule = Schedule::new(now, settings, Role::Other);
    expect_that!(schedule.due(), none());
    expect_that!(schedule.set_role(now, Role::Standby), eq(true));
    expect_that!(schedule.due(), some(gt(now + Duration::from_secs(1))));
    let later = now + Duration::from_secs(1);
    expect_that!(schedule.set_role(later, Role::Host), eq(true));
    expect_that!(schedule.due(), some(le(later)));
    schedule.on_read(later);
    expect_that!(schedule.due(), some(eq(later + settings.host)));
    expect_that!(schedule.set_role(later, Role::Standby), eq(false));
    expect_that!(schedule.due(), some(eq(later + settings.standby)));
    schedule.set_role(later, Role::Other);
    expect_that!(schedule.due(), none());
}

/// After a restart of all, the first requests waited while the host of their arbiter read.
#[gtest]
fn an_instance_that_often_hosts_reads_once_at_its_start() {
    let now = Instant::now();
    let settings = Settings {
        at_start: true,
        ..Settings::default()
    };
    let mut schedule = Schedule::new(now, settings, Role::Other);
    expect_that!(schedule.due(), some(eq(now)));
    schedule.on_read(now);
    expect_that!(schedule.due(), none());
    schedule.set_role(now, Role::Standby);
    expect_that!(schedule.due(), some(eq(now + settings.standby)));
}

/// A standby whose last reading is long ago must not read at each change of the members.
#[gtest]
fn a_role_that_comes_and_goes_causes_no_readings() {
    let mut now = Instant::now();
    let mut schedule = Schedule::new(now, Settings::default(), Role::Other);
    for _ in 0..100 {
        schedule.set_role(now, Role::Standby);
        now += Duration::from_millis(200);
        expect_that!(schedule.due(), some(gt(now)));
        schedule.set_role(now, Role::Other);
        now += Duration::from_millis(200);
    }
}
