//! Tiers and floors over generated arrivals, also while arbiters fail, move to
//! another daemon, or are active on several daemons at once.
//!
//! Cases are generated from fixed seeds; a failure prints the steps of its case.

mod slots;

use std::time::Duration;

use citron_policy::arbiter::{Ask, Note, Refusal, Settings};
use googletest::prelude::*;
use indexmap::IndexMap;
use proptest::{
    collection::vec,
    prelude::{Just, Strategy, any},
    prop_oneof,
    test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
};
use slots::{Daemons, Outcome, ask, catalogue, done, runners};

const DAEMONS: usize = 4;

/// Slots of each of the two runners.
const SLOTS: u32 = 2;

/// One step of a generated case.
#[derive(Clone, Debug)]
enum Step {
    Ask {
        daemon: usize,
        tier: u8,
        account: usize,
    },
    Release(usize),
    Advance(u64),
    Tick,
    /// The arbiter loses its state; its daemon keeps running.
    LoseState,
    /// All daemons see another rendezvous order.
    Reorder(usize),
    /// Half of the daemons see another rendezvous order.
    SplitOrder(usize),
}

fn steps(several_arbiters: bool) -> impl Strategy<Value = Vec<Step>> {
    let request = (0..DAEMONS, 0..3_u8, 0..3_usize).prop_map(|(daemon, tier, account)| Step::Ask {
        daemon,
        tier,
        account,
    });
    let change = if several_arbiters {
        (0..DAEMONS).prop_map(Step::SplitOrder).boxed()
    } else {
        prop_oneof![(0..DAEMONS).prop_map(Step::Reorder), Just(Step::LoseState)].boxed()
    };
    let step = prop_oneof![
        12 => request,
        8 => any::<u16>().prop_map(|it| Step::Release(usize::from(it))),
        3 => (1..600_u64).prop_map(Step::Advance),
        2 => Just(Step::Tick),
        1 => change,
    ];
    vec(step, 1..160)
}

/// State of a running case, for checking the invariants.
struct Case {
    daemons: Daemons,
    next: u64,
    held: IndexMap<(usize, u64), String>,
    open: IndexMap<u64, u8>,
    grants: u32,
    floor_grants: u32,
    /// Whether only one arbiter is active at a time.
    single: bool,
}

impl Case {
    fn new(single: bool) -> Self {
        let catalogue = catalogue(SLOTS, |class| {
            class.first_token = Duration::from_secs(1);
            class.wait_bound = Duration::from_millis(400);
        });
        let mut daemons = Daemons::new(DAEMONS, catalogue, runners(2));
        // With so long a maximum wait, only a full queue sheds.
        daemons.settings = Settings {
            max_queue: 6,
            reserve: 1,
            max_wait_share: 1_000.0,
            ..Settings::default()
        };
        Self {
            daemons,
            next: 1,
            held: IndexMap::new(),
            open: IndexMap::new(),
            grants: 0,
            floor_grants: 0,
            single,
        }
    }

    fn step(&mut self, step: &Step) -> std::result::Result<(), TestCaseError> {
        match step {
            Step::Ask {
                daemon,
                tier,
                account,
            } => {
                let account = ["a", "b", "c"][*account];
                self.open.insert(self.next, *tier);
                let ask = ask(self.next, &format!("c{tier}"), account);
                self.next += 1;
                self.daemons.acquire(*daemon, ask);
            }
            Step::Release(index) => self.release(*index),
            Step::Advance(ms) => self.daemons.now += Duration::from_millis(*ms),
            Step::Tick => self.daemons.tick(),
            Step::LoseState => {
                let hosts = self.daemons.hosts();
                for host in hosts {
                    self.daemons.arbiters.swap_remove(&host);
                }
            }
            Step::Reorder(first) => self.reorder(*first, 0),
            Step::SplitOrder(first) => self.reorder(*first, 1),
        }
        self.deliver_all()
    }

    fn release(&mut self, index: usize) {
        if self.held.is_empty() {
            return;
        }
        let index = index % self.held.len();
        if let Some(((daemon, ticket), _)) = self.held.swap_remove_index(index) {
            self.daemons.release(daemon, ticket, done());
        }
    }

    fn reorder(&mut self, first: usize, parity: usize) {
        let mut order: Vec<String> = (0..DAEMONS).map(slots::name).collect();
        order.rotate_left(first);
        if self.single {
            // A daemon that is no longer first in the order gives up its arbiter.
            self.daemons.arbiters.retain(|host, _| *host == first);
        }
        for daemon in 0..DAEMONS {
            if parity == 0 || daemon % 2 == parity {
                self.daemons.set_ranks(daemon, &order);
            }
        }
    }

    /// Delivers message by message, checking after each.
    fn deliver_all(&mut self) -> std::result::Result<(), TestCaseError> {
        self.check()?;
        while let Some(message) = self.daemons.in_flight.pop_front() {
            self.daemons.deliver(message);
            self.check()?;
        }
        Ok(())
    }

    fn check(&mut self) -> std::result::Result<(), TestCaseError> {
        for (host, note) in std::mem::take(&mut self.daemons.notes) {
            let Some(arbiter) = self.daemons.arbiters.get(&host) else {
                continue;
            };
            let queued = arbiter.stats().queued;
            self.check_note(&note, &queued)?;
        }
        for outcome in self.daemons.take_outcomes() {
            self.on_outcome(outcome)?;
        }
        Ok(())
    }

    fn check_note(
        &mut self,
        note: &Note,
        queued: &[usize],
    ) -> std::result::Result<(), TestCaseError> {
        match note {
            Note::Granted { tier, floor: false } => {
                self.grants += 1;
                let higher: usize = queued[..usize::from(*tier)].iter().sum();
                proptest::prop_assert_eq!(
                    higher,
                    0,
                    "tier {} was granted a slot before higher tiers",
                    tier
                );
            }
            Note::Granted { .. } => {
                self.grants += 1;
                self.floor_grants += 1;
            }
            Note::Refused {
                tier,
                refusal: Refusal::Shed { retry_after },
            } => {
                // Each tier has one class here, which may keep its reserve for the floor.
                let lower = &queued[usize::from(*tier) + 1..];
                let most = lower.iter().max().copied().unwrap_or(0);
                let reserve = self.daemons.settings.reserve;
                proptest::prop_assert!(
                    most <= reserve,
                    "tier {} was shed before lower tiers",
                    tier
                );
                proptest::prop_assert!(
                    !retry_after.is_zero(),
                    "a shed request must carry a retry delay"
                );
            }
            Note::Preempted { victim, waiting } => {
                proptest::prop_assert!(
                    victim > waiting,
                    "tier {} was preempted for tier {}",
                    victim,
                    waiting
                );
            }
            Note::Refused { .. }
            | Note::Health(_)
            | Note::Continued(_)
            | Note::Accused { .. }
            | Note::HeldBack
            | Note::Limit { .. }
            | Note::Brittle { .. }
            | Note::PartConvicted { .. }
            | Note::PartProbed(_)
            | Note::AskerLost(_) => {}
        }
        Ok(())
    }

    fn on_outcome(&mut self, outcome: Outcome) -> std::result::Result<(), TestCaseError> {
        match outcome {
            Outcome::Granted {
                daemon,
                ticket,
                runner,
                ..
            } => {
                proptest::prop_assert!(
                    self.open.swap_remove(&ticket).is_some(),
                    "ticket {} answered twice",
                    ticket
                );
                self.held.insert((daemon, ticket), runner.clone());
                let there = self.held.values().filter(|it| **it == runner).count();
                proptest::prop_assert!(
                    !self.single || there <= SLOTS as usize,
                    "{} slots in use on {}",
                    there,
                    runner
                );
            }
            Outcome::Refused { ticket, .. } => {
                proptest::prop_assert!(
                    self.open.swap_remove(&ticket).is_some(),
                    "ticket {} answered twice",
                    ticket
                );
            }
            Outcome::Preempted { daemon, ticket } => {
                if self.held.swap_remove(&(daemon, ticket)).is_some() {
                    let sample =
                        slots::sample(citron_policy::arbiter::End::Preempted, Duration::ZERO);
                    self.daemons.release(daemon, ticket, sample);
                }
            }
        }
        Ok(())
    }

    /// Runs until all requests have ended, and checks that each got an answer.
    fn finish(&mut self) -> std::result::Result<(), TestCaseError> {
        for _ in 0..1_400 {
            self.daemons.now += Duration::from_millis(50);
            self.daemons.tick();
            self.deliver_all()?;
            self.release(0);
            self.deliver_all()?;
        }
        proptest::prop_assert!(self.open.is_empty(), "no answer to {:?}", self.open);
        let most = f64::from(self.grants) * 0.05 + f64::from(self.daemons.arbiters_started);
        proptest::prop_assert!(
            f64::from(self.floor_grants) <= most,
            "floor grants exceed their share"
        );
        Ok(())
    }
}

fn run(seed: u8, single: bool) -> std::result::Result<(), String> {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let config = Config {
        cases: 128,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, random);
    let outcome = runner.run(&steps(!single), |steps| {
        let mut case = Case::new(single);
        for step in &steps {
            case.step(step)?;
        }
        case.finish()
    });
    outcome.map_err(|error| format!("seed {seed}: {error}"))
}

#[gtest]
fn tiers_and_slot_limits_hold_while_arbiters_fail_and_move() {
    expect_that!(run(1, true), ok(anything()));
}

#[gtest]
fn tiers_hold_while_several_arbiters_are_active() {
    expect_that!(run(2, false), ok(anything()));
}

/// Times of grants by tier while the higher tiers alone exceed the pool and the queue.
fn grants_under_overload() -> IndexMap<u8, Vec<Duration>> {
    let mut case = Case::new(true);
    let mut grants: IndexMap<u8, Vec<Duration>> = IndexMap::new();
    let start = case.daemons.now;
    for round in 0..1_000_u64 {
        for tier in [0_u8, 0, 1, 1, 2] {
            let ask = ask(case.next, &format!("c{tier}"), "a");
            case.next += 1;
            case.daemons.acquire(usize::from(tier), ask);
        }
        case.daemons.now += Duration::from_millis(20);
        if round % 3 == 0 {
            case.daemons.tick();
        }
        case.daemons.deliver_all();
        for (_, note) in std::mem::take(&mut case.daemons.notes) {
            if let Note::Granted { tier, .. } = note {
                let at = case.daemons.now - start;
                grants.entry(tier).or_default().push(at);
            }
        }
        for outcome in case.daemons.take_outcomes() {
            if let Outcome::Granted { daemon, ticket, .. } = outcome {
                case.held.insert((daemon, ticket), String::new());
            }
        }
        case.release(0);
        case.daemons.deliver_all();
    }
    grants
}

#[gtest]
fn every_class_gets_its_floor_share_under_overload() {
    let grants = grants_under_overload();
    let total: usize = grants.values().map(Vec::len).sum();
    for tier in [1, 2] {
        let times = grants.get(&tier).cloned().unwrap_or_default();
        // The load lasts 20 s; grants in the first 2 s are ignored, as the pool starts empty.
        let late = times.iter().filter(|it| **it > Duration::from_secs(2));
        expect_that!(late.count(), ge(5), "tier {tier}");
        let gaps = times.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
        expect_that!(gaps.max(), some(le(Duration::from_secs(4))), "tier {tier}");
    }
    let lower = total - grants[&0].len();
    expect_that!(lower, le(total / 20 + 4));
}

#[gtest]
fn a_burst_of_one_account_does_not_starve_another() {
    let mut daemons = Daemons::new(2, catalogue(SLOTS, |_| {}), runners(2));
    for ticket in 0..200 {
        daemons.acquire(0, ask(ticket, "c1", "a"));
    }
    daemons.acquire(1, ask(1_000, "c1", "b"));
    daemons.deliver_all();
    let mut grants_before = 0;
    for ticket in 0..10 {
        daemons.release(0, ticket, done());
        daemons.deliver_all();
        let outcomes = daemons.take_outcomes();
        let granted = outcomes
            .iter()
            .any(|it| matches!(it, Outcome::Granted { ticket: 1_000, .. }));
        if granted {
            break;
        }
        grants_before += 1;
    }
    expect_that!(grants_before, le(2));
}

#[gtest]
fn a_burst_of_a_lower_class_leaves_the_next_slot_to_a_higher_one() {
    let mut daemons = Daemons::new(2, catalogue(SLOTS, |_| {}), runners(2));
    for ticket in 0..300 {
        daemons.acquire(0, ask(ticket, "c2", "a"));
    }
    daemons.deliver_all();
    daemons.take_outcomes();
    daemons.acquire(1, ask(1_000, "c0", "b"));
    daemons.deliver_all();
    daemons.release(0, 0, done());
    daemons.deliver_all();
    let outcomes = daemons.take_outcomes();
    expect_true!(
        outcomes
            .iter()
            .any(|it| matches!(it, Outcome::Granted { ticket: 1_000, .. }))
    );
}

#[gtest]
fn account_limits_hold_over_all_daemons() {
    let mut daemons = Daemons::new(3, catalogue(8, |_| {}), runners(2));
    let mut next = (*daemons.catalogue).clone();
    let mut change = citron_policy::catalogue::Change {
        operator: "ann".to_owned(),
        ..Default::default()
    };
    change.puts = vec![citron_policy::catalogue::Entry::Account(
        slots::account("a", 'a', 3, 2).into(),
    )];
    next = next.apply(&change).expect("a catalogue");
    daemons.catalogue = next.into();
    for ticket in 0..9 {
        let daemon = usize::try_from(ticket % 3).expect("small");
        daemons.acquire(daemon, ask(ticket, "c1", "a"));
        daemons.deliver_all();
    }
    daemons.deliver_all();
    let outcomes = daemons.take_outcomes();
    let granted = outcomes
        .iter()
        .filter(|it| matches!(it, Outcome::Granted { .. }));
    expect_that!(granted.count(), eq(3));
    let refused = outcomes.iter().filter(|it| {
        matches!(
            it,
            Outcome::Refused {
                refusal: Refusal::Account { .. },
                ..
            }
        )
    });
    expect_that!(refused.count(), eq(4));
}

#[gtest]
fn a_request_that_cannot_be_served_in_time_is_shed_at_once_with_a_retry_delay() {
    let mut daemons = Daemons::new(1, catalogue(1, |_| {}), runners(1));
    daemons.acquire(0, ask(0, "c1", "a"));
    daemons.deliver_all();
    daemons.run(Duration::from_secs(1));
    daemons.release(
        0,
        0,
        slots::sample(citron_policy::arbiter::End::Done, Duration::from_secs(5)),
    );
    for ticket in 1..20 {
        daemons.acquire(0, ask(ticket, "c1", "a"));
    }
    daemons.deliver_all();
    let outcomes = daemons.take_outcomes();
    let shed = outcomes.iter().filter(|it| {
        matches!(it, Outcome::Refused { refusal: Refusal::Shed { retry_after }, .. } if *retry_after >= Duration::from_secs(5))
    });
    expect_that!(shed.count(), ge(14));
}

/// When all accounts override the tier with the same one, as a platform's tenants may,
/// their requests must still be ordered by class.
#[gtest]
fn classes_keep_their_order_among_accounts_of_one_tier() {
    let mut daemons = Daemons::new(1, catalogue(1, |_| {}), runners(1));
    let of_account = |ticket: u64, class: &str| Ask {
        tier: Some(1),
        ..ask(ticket, class, "a")
    };
    for ticket in 0..20 {
        daemons.acquire(0, of_account(ticket, "c2"));
    }
    daemons.deliver_all();
    daemons.acquire(0, of_account(1_000, "c0"));
    daemons.deliver_all();
    daemons.take_outcomes();
    daemons.release(0, 0, done());
    daemons.deliver_all();
    let outcomes = daemons.take_outcomes();
    let next = |it: &Outcome| matches!(it, Outcome::Granted { ticket: 1_000, .. });
    expect_that!(outcomes.iter().any(next), eq(true), "{outcomes:?}");
}

/// An account's tier takes precedence over the order of the classes.
#[gtest]
fn an_accounts_tier_takes_precedence_over_the_class() {
    let mut daemons = Daemons::new(1, catalogue(1, |_| {}), runners(1));
    let of_tier = |ticket: u64, class: &str, tier: u8| Ask {
        tier: Some(tier),
        ..ask(ticket, class, "a")
    };
    daemons.acquire(0, of_tier(0, "c0", 1));
    daemons.deliver_all();
    daemons.acquire(0, of_tier(1, "c0", 1));
    daemons.acquire(0, of_tier(2, "c2", 0));
    daemons.deliver_all();
    daemons.take_outcomes();
    daemons.release(0, 0, done());
    daemons.deliver_all();
    let outcomes = daemons.take_outcomes();
    let next = |it: &Outcome| matches!(it, Outcome::Granted { ticket: 2, .. });
    expect_that!(outcomes.iter().any(next), eq(true), "{outcomes:?}");
}
