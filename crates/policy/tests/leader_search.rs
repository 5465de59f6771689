//! The search for the leader while replicas stand still, decline or disagree.

use std::time::{Duration, Instant};

use citron_policy::{
    id::{ReplicaId, Term},
    search::{Effect, Event, Search, Settings},
};
use googletest::prelude::*;

const ALL: [ReplicaId; 3] = [1, 2, 3];

const MS: Duration = Duration::from_millis(1);

struct Case {
    now: Instant,
    search: Search,
}

impl Case {
    fn new(believed: Option<ReplicaId>) -> Self {
        let now = Instant::now();
        Self {
            now,
            search: Search::new(now, Settings::default(), believed),
        }
    }

    fn on(&mut self, event: Event) -> Vec<Effect> {
        self.search.on_event(self.now, &ALL, event)
    }

    /// What the search does when its time has come.
    fn due(&mut self) -> Vec<Effect> {
        self.now = self.now.max(self.search.due());
        self.on(Event::Due)
    }

    fn stands(&mut self, replica: ReplicaId, term: Term, leader: Option<ReplicaId>) -> Vec<Effect> {
        self.on(Event::Stands {
            replica,
            term,
            leader,
        })
    }
}

#[gtest]
fn a_leader_that_stands_still_costs_a_fraction_of_a_callers_patience() {
    let mut case = Case::new(Some(1));
    let begun = case.now;
    expect_that!(case.due(), elements_are![eq(&Effect::Ask(1))]);
    expect_that!(
        case.due(),
        unordered_elements_are![eq(&Effect::Probe(2)), eq(&Effect::Probe(3))]
    );
    // One that has not heard of the election still names the old one.
    expect_that!(case.stands(3, 1, Some(1)), is_empty());
    let asked = case.stands(2, 2, Some(2));
    expect_that!(asked, elements_are![eq(&Effect::Ask(2))]);
    expect_that!(case.now - begun, le(200 * MS));
    expect_true!(case.search.is_open_beside(Some(2)));
}

#[gtest]
fn an_answer_in_time_makes_no_other_message() {
    let mut case = Case::new(Some(1));
    expect_that!(case.due(), elements_are![eq(&Effect::Ask(1))]);
    case.now += 199 * MS;
    expect_that!(case.on(Event::Due), is_empty());
}

#[gtest]
fn without_a_belief_all_are_asked_who_leads() {
    let mut case = Case::new(None);
    expect_that!(case.due().len(), eq(ALL.len()));
    let asked = case.stands(2, 5, Some(3));
    expect_that!(asked, elements_are![eq(&Effect::Ask(3))]);
    // The others say the same, which changes nothing.
    expect_that!(case.stands(3, 5, Some(3)), is_empty());
}

#[gtest]
fn one_that_declines_names_the_next_or_the_others_are_asked() {
    let mut case = Case::new(Some(1));
    case.due();
    let named = case.on(Event::Declined {
        replica: 1,
        leader: Some(2),
    });
    expect_that!(named, elements_are![eq(&Effect::Ask(2))]);
    let unnamed = case.on(Event::Declined {
        replica: 2,
        leader: None,
    });
    expect_that!(unnamed, is_empty());
    expect_that!(case.due().len(), eq(ALL.len()));
}

#[gtest]
fn who_declined_is_asked_again_once_it_leads_in_a_newer_term() {
    let mut case = Case::new(Some(1));
    case.due();
    case.on(Event::Declined {
        replica: 1,
        leader: None,
    });
    expect_that!(
        case.stands(2, 4, Some(1)),
        elements_are![eq(&Effect::Ask(1))]
    );
    case.on(Event::Declined {
        replica: 1,
        leader: None,
    });
    expect_that!(case.stands(3, 4, Some(1)), is_empty());
    expect_that!(
        case.stands(1, 5, Some(1)),
        elements_are![eq(&Effect::Ask(1))]
    );
}

#[gtest]
fn a_former_leader_that_is_cut_off_is_not_believed() {
    let mut case = Case::new(None);
    case.due();
    expect_that!(
        case.stands(2, 7, Some(2)),
        elements_are![eq(&Effect::Ask(2))]
    );
    expect_that!(case.stands(1, 6, Some(1)), is_empty());
}

#[gtest]
fn a_lost_connection_to_the_leader_is_tried_again() {
    let mut case = Case::new(Some(1));
    case.due();
    expect_that!(case.on(Event::Lost(1)), is_empty());
    expect_that!(case.due().len(), eq(ALL.len()));
    expect_that!(
        case.stands(2, 1, Some(1)),
        elements_are![eq(&Effect::Ask(1))]
    );
}

#[gtest]
fn a_replica_that_has_gone_is_not_asked() {
    let mut case = Case::new(Some(9));
    expect_that!(case.due().len(), eq(ALL.len()));
    expect_that!(case.stands(2, 1, Some(9)), is_empty());
}
