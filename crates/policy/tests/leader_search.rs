//! The search for the leader while replicas hang, decline or disagree.

use std::time::{Duration, Instant};

use citron_policy::{
    id::{ReplicaId, Term},
    leader_search::{Effect, Event, Search, Settings},
};
use googletest::prelude::*;

const ALL: [ReplicaId; 3] = [1, 2, 3];

const MS: Duration = Duration::from_millis(1);

struct Case {
    now: Instant,
    search: Search,
}

impl Case {
    fn new(presumed: Option<ReplicaId>) -> Self {
        let now = Instant::now();
        Self {
            now,
            search: Search::new(now, Settings::default(), presumed),
        }
    }

    fn on(&mut self, event: Event) -> Vec<Effect> {
        self.search.on_event(self.now, &ALL, event)
    }

    /// Advances the clock to the next timer event and handles it.
    fn fire_timer(&mut self) -> Vec<Effect> {
        self.now = self.now.max(self.search.due());
        self.on(Event::Timer)
    }

    fn report_status(
        &mut self,
        replica: ReplicaId,
        term: Term,
        leader: Option<ReplicaId>,
    ) -> Vec<Effect> {
        self.on(Event::Status {
            replica,
            term,
            leader,
        })
    }
}

#[gtest]
fn a_hanging_leader_costs_a_fraction_of_a_callers_time() {
    let mut case = Case::new(Some(1));
    let begun = case.now;
    expect_that!(case.fire_timer(), elements_are![eq(&Effect::Ask(1))]);
    expect_that!(
        case.fire_timer(),
        unordered_elements_are![eq(&Effect::Probe(2)), eq(&Effect::Probe(3))]
    );
    // A replica that has not heard of the election still names the old leader.
    expect_that!(case.report_status(3, 1, Some(1)), is_empty());
    let asked = case.report_status(2, 2, Some(2));
    expect_that!(asked, elements_are![eq(&Effect::Ask(2))]);
    expect_that!(case.now - begun, le(200 * MS));
    expect_true!(case.search.is_pending_except(Some(2)));
}

#[gtest]
fn an_answer_in_time_causes_no_other_message() {
    let mut case = Case::new(Some(1));
    expect_that!(case.fire_timer(), elements_are![eq(&Effect::Ask(1))]);
    case.now += 199 * MS;
    expect_that!(case.on(Event::Timer), is_empty());
}

#[gtest]
fn without_a_presumed_leader_all_are_asked_who_leads() {
    let mut case = Case::new(None);
    expect_that!(case.fire_timer().len(), eq(ALL.len()));
    let asked = case.report_status(2, 5, Some(3));
    expect_that!(asked, elements_are![eq(&Effect::Ask(3))]);
    // Another report of the same leader has no effect.
    expect_that!(case.report_status(3, 5, Some(3)), is_empty());
}

#[gtest]
fn a_declining_replica_names_the_next_or_all_are_asked() {
    let mut case = Case::new(Some(1));
    case.fire_timer();
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
    expect_that!(case.fire_timer().len(), eq(ALL.len()));
}

#[gtest]
fn a_replica_that_declined_is_asked_again_in_a_newer_term() {
    let mut case = Case::new(Some(1));
    case.fire_timer();
    case.on(Event::Declined {
        replica: 1,
        leader: None,
    });
    expect_that!(
        case.report_status(2, 4, Some(1)),
        elements_are![eq(&Effect::Ask(1))]
    );
    case.on(Event::Declined {
        replica: 1,
        leader: None,
    });
    expect_that!(case.report_status(3, 4, Some(1)), is_empty());
    expect_that!(
        case.report_status(1, 5, Some(1)),
        elements_are![eq(&Effect::Ask(1))]
    );
}

#[gtest]
fn a_partitioned_former_leader_is_not_asked() {
    let mut case = Case::new(None);
    case.fire_timer();
    expect_that!(
        case.report_status(2, 7, Some(2)),
        elements_are![eq(&Effect::Ask(2))]
    );
    expect_that!(case.report_status(1, 6, Some(1)), is_empty());
}

#[gtest]
fn a_leader_whose_connection_was_lost_is_asked_again() {
    let mut case = Case::new(Some(1));
    case.fire_timer();
    expect_that!(case.on(Event::Lost(1)), is_empty());
    expect_that!(case.fire_timer().len(), eq(ALL.len()));
    expect_that!(
        case.report_status(2, 1, Some(1)),
        elements_are![eq(&Effect::Ask(1))]
    );
}

#[gtest]
fn a_replica_that_is_no_longer_known_is_not_asked() {
    let mut case = Case::new(Some(9));
    expect_that!(case.fire_timer().len(), eq(ALL.len()));
    expect_that!(case.report_status(2, 1, Some(9)), is_empty());
}
