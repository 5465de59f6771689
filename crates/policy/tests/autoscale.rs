//! Replays of load against a model of runners that are ordered, start and are taken back.

mod fleet;

use std::{
    f64::consts::TAU,
    ops::Range,
    time::{Duration, Instant},
};

use citron_policy::{
    autoscale::{Demand, Order, Outcome, Planner, Settings},
    catalogue::Scaling,
};
use fleet::{DOMAINS, Replay, Run, scaling, seconds};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Seeds of the replays with all faults.
const SEEDS: u64 = 200;

/// Largest cost against the fixed fleet, for any replay of a minute.
const MOST_COST_SHARE: f64 = 2.0 / 3.0;

/// Share of the urgent work that may be lost beyond that at the fixed fleet.
const MOST_URGENT_LOSS: f64 = 0.001;

/// Load that is a multiple of the usual one for a time.
fn burst(base: f64, factor: f64, during: Range<f64>, at: f64) -> f64 {
    if during.contains(&at) {
        base * factor
    } else {
        base
    }
}

/// Runs a replay that must cost less than a fixed fleet and serve urgent requests as well.
fn run_no_worse(replay: &Replay) -> Run {
    let (run, fixed) = (replay.run(), replay.fixed());
    expect_that!(run.urgent_lost, le(fixed.urgent_lost + MOST_URGENT_LOSS));
    expect_that!(run.cost, le(MOST_COST_SHARE * fixed.cost));
    run
}

#[gtest]
fn waves_do_not_cost_as_much_as_a_fixed_fleet_nor_starve_urgent_requests() {
    run_no_worse(&Replay {
        seconds: 90,
        load: |at| 20.0 * (1.0 + 0.4 * (at * TAU / 30.0).sin()),
        ..Replay::default()
    });
}

#[gtest]
fn a_burst_of_9_s_does_not_starve_urgent_requests() {
    let run = run_no_worse(&Replay {
        load: |at| burst(20.0, 2.7, 40.0..49.0, at),
        ..Replay::default()
    });
    // The burst raises the number once, and it falls once the load has stayed lower.
    let peak = run.wanted_between(45.0, 60.0);
    expect_that!(run.wanted_between(72.0, 75.0), lt(peak));
}

#[gtest]
fn a_burst_shorter_than_a_second_orders_little() {
    let run = run_no_worse(&Replay {
        load: |at| burst(20.0, 2.7, 40.0..40.7, at),
        ..Replay::default()
    });
    let before = run.wanted_between(38.0, 40.0);
    expect_that!(run.wanted_between(40.0, 45.0), le(before * 13 / 10));
}

#[gtest]
fn runners_of_a_domain_taken_back_do_not_starve_urgent_requests() {
    for domain in 0..DOMAINS.len() {
        let run = run_no_worse(&Replay {
            refused: vec![(domain, 30.0..50.0)],
            taken_back: vec![domain],
            ..Replay::default()
        });
        // The others take the part of that domain, with reclaimable runners.
        expect_that!(run.at(45.0).stable, le(run.at(29.0).stable), "{domain}");
        // It has its part again once it has runners.
        expect_that!(run.at(74.0).ready[domain], gt(5), "{domain}");
    }
}

#[gtest]
fn runners_that_start_while_their_domain_is_taken_back_do_not_hide_it() {
    // The burst orders runners that become ready after those before them were taken back.
    let replay = Replay {
        load: |at| burst(12.0, 2.0, 30.0..75.0, at),
        refused: vec![(1, 35.0..50.0)],
        taken_back: vec![1],
        ..Replay::default()
    };
    let run = replay.run();
    expect_that!(run.urgent_lost, le(MOST_URGENT_LOSS));
    for domain in [0, 2] {
        let orders = run.orders_of(domain, true);
        let is_asked = orders.iter().any(|it| (35.0..37.0).contains(&it.0));
        expect_that!(is_asked, eq(true), "{domain}");
    }
}

#[gtest]
fn a_domain_that_refuses_does_not_leave_the_service_short() {
    let run = run_no_worse(&Replay {
        refused: vec![(1, 0.0..75.0)],
        ..Replay::default()
    });
    expect_that!(run.at(74.0).ready[1], eq(1));
    let asked = run.orders_of(1, true);
    expect_that!(asked.len(), le(16), "asked again each 5 s at most");
}

#[gtest]
fn stable_runners_stay_while_no_domain_has_reclaimable_ones() {
    let replay = Replay {
        refused: vec![(0, 0.0..75.0), (1, 0.0..75.0), (2, 0.0..75.0)],
        ..Replay::default()
    };
    let run = replay.run();
    expect_that!(run.urgent_lost, le(MOST_URGENT_LOSS));
    expect_that!(run.at(59.0).stable, ge(40));
}

#[gtest]
fn stable_runners_are_added_when_all_reclaimable_ones_are_taken_back() {
    let replay = Replay {
        refused: vec![(0, 40.0..70.0), (1, 40.0..70.0), (2, 40.0..70.0)],
        taken_back: vec![0, 1, 2],
        ..Replay::default()
    };
    let run = replay.run();
    expect_that!(
        run.at(48.0).stable,
        ge(10),
        "for the urgent half of the load"
    );
    let cheapest = run.orders_of(1, false);
    expect_that!(cheapest.last().map(|it| it.1), some(ge(10)));
}

#[gtest]
fn a_platform_that_is_down_gets_the_latest_number_once_it_answers() {
    let replay = Replay {
        load: |at| burst(12.0, 2.0, 32.0..60.0, at),
        down: 30.0..40.0,
        ..Replay::default()
    };
    let run = run_no_worse(&replay);
    expect_that!(run.urgent_lost, le(MOST_URGENT_LOSS));
    for domain in 0..DOMAINS.len() {
        let orders = run.orders_of(domain, true);
        let first = orders.iter().find(|it| (40.0..41.0).contains(&it.0));
        let wanted = run.at(58.0).ready[domain];
        expect_that!(first.map(|it| it.1), some(ge(wanted * 8 / 10)), "{domain}");
    }
}

#[gtest]
fn a_new_holder_orders_nothing_down_before_reports_of_10_s() {
    for knows_orders in [true, false] {
        // The load has just fallen, and runners that were ordered are not ready yet.
        let replay = Replay {
            load: |at| burst(12.0, 2.5, 20.0..33.0, at),
            new_holders: vec![(33.0, knows_orders)],
            ..Replay::default()
        };
        let run = replay.run();
        for order in run.orders.iter().filter(|it| (33.0..43.0).contains(&it.at)) {
            expect_that!(order.desired, ge(order.before), "{order:?}");
        }
        expect_that!(run.urgent_lost, le(MOST_URGENT_LOSS));
    }
}

/// Guards against a new holder that orders what it sees ready, so that runners which a former
/// one ordered, and which still start, are never there.
#[gtest]
fn a_new_holder_does_not_take_back_orders_whose_runners_still_start() {
    for half_second in 42..64 {
        let at = f64::from(half_second) * 0.5;
        let replay = Replay {
            load: |at| burst(12.0, 2.5, 20.0..23.0, at),
            new_holders: vec![(at, true)],
            ..Replay::default()
        };
        let run = replay.run();
        let early = at..at + 10.0;
        for order in run.orders.iter().filter(|it| early.contains(&it.at)) {
            expect_that!(
                order.desired,
                ge(order.before),
                "{order:?}, holder at {at} s"
            );
        }
    }
}

/// Guards against steps down that go on while nothing is known of the load.
#[gtest]
fn a_fall_that_is_under_way_stops_when_reports_are_missing() {
    for half_second in 80..100 {
        let from = f64::from(half_second) * 0.5;
        let replay = Replay {
            load: |at| burst(20.0, 0.1, 30.0..90.0, at),
            silent: from..60.0,
            ..Replay::default()
        };
        let run = replay.run();
        let silent = from + 2.5..60.0;
        for order in run.orders.iter().filter(|it| silent.contains(&it.at)) {
            expect_that!(
                order.desired,
                ge(order.before),
                "{order:?}, silent from {from} s"
            );
        }
    }
}

/// Guards against a fleet that falls to the load of the first seconds, before a wave.
#[gtest]
fn three_quarters_of_the_fleet_stay_for_20_s() {
    let run = run_no_worse(&Replay {
        load: |_| 5.0,
        ..Replay::default()
    });
    for sample in run.samples.iter().filter(|it| it.at < 20.0) {
        let ready: u32 = sample.ready.iter().sum();
        expect_that!(ready, ge(45), "at {} s", sample.at);
    }
}

/// Demand of runners that are ready, half of them busy.
fn demand(stable: u32, reclaimable: u32, busy: f64) -> Demand {
    let usable = stable + reclaimable;
    let mut demand = Demand {
        service: "chat".to_owned(),
        usable,
        slots: usable * 64,
        prefill: busy,
        held: busy,
        granted: u32::from(busy > 0.0) * 100,
        ..Demand::default()
    };
    for domain in DOMAINS {
        let fleet = demand.fleets.entry(domain.to_owned()).or_default();
        fleet.stable.ready = stable / 3;
        fleet.reclaimable.ready = reclaimable / 3;
    }
    demand
}

/// Guards against a fleet that is ordered down before the first request.
#[gtest]
fn nothing_is_ordered_down_before_load_is_seen() {
    let start = Instant::now();
    let mut planner = Planner::new("chat".to_owned(), scaling(), Settings::default());
    for half_second in 0..120 {
        let now = start + seconds(f64::from(half_second) * 0.5);
        // Reclaimable runners in the place of all that are ordered.
        planner.on_demand(now, &"d1".to_owned(), &demand(60, 60, 0.0), &Vec::new());
        for order in planner.plan(now, usize::MAX) {
            expect_that!(
                order.desired,
                ge(20),
                "{order:?} after {half_second} halves of a second"
            );
            planner.on_outcome(now, &order, Outcome::Accepted);
        }
    }
}

/// Guards against a new holder that orders runners down which an order of a former one
/// brings while it has given its own first orders.
#[gtest]
fn runners_of_a_former_holder_that_come_late_are_kept() {
    let start = Instant::now();
    let mut planner = Planner::new("chat".to_owned(), scaling(), Settings::default());
    let (mut wanted, mut ordered) = (0, false);
    for half_second in 0..50 {
        let at = f64::from(half_second) * 0.5;
        let now = start + seconds(at);
        let reclaimable = if at < 4.0 { 3 } else { 60 };
        let busy = if at < 4.0 { 0.9 } else { 0.1 };
        planner.on_demand(
            now,
            &"d1".to_owned(),
            &demand(3, reclaimable, busy),
            &Vec::new(),
        );
        for order in planner.plan(now, usize::MAX) {
            ordered |= at < 4.0;
            planner.on_outcome(now, &order, Outcome::Accepted);
        }
        wanted = planner.runners().map(|it| it.2).sum();
        if (4.0..10.0).contains(&at) {
            expect_that!(wanted, ge(63), "at {at} s");
        }
    }
    expect_that!(ordered, eq(true), "an order of its own came first");
    expect_that!(wanted, lt(63), "ordered down later");
}

#[gtest]
fn missing_reports_order_nothing_down() {
    let replay = Replay {
        load: |at| burst(20.0, 0.1, 30.0..75.0, at),
        silent: 32.0..60.0,
        ..Replay::default()
    };
    let run = replay.run();
    for order in run.orders.iter().filter(|it| (35.0..70.0).contains(&it.at)) {
        expect_that!(order.desired, ge(order.before), "{order:?}");
    }
}

#[gtest]
fn nothing_falls_before_replacements_are_ready_and_reports_came_for_10_s() {
    let run = Replay::default().run();
    for order in run.orders.iter().filter(|it| it.desired < it.before) {
        expect_that!(order.at, ge(10.0), "{order:?}");
    }
    // Steps of a quarter of the 60 stable runners per 1.5 s.
    for half_second in 0..60 {
        let at = f64::from(half_second) * 0.5;
        let step = run.at(at).stable.saturating_sub(run.at(at + 1.0).stable);
        expect_that!(step, le(15), "at {at} s");
    }
    expect_that!(run.at(9.0).ready.iter().sum::<u32>(), ge(60));
}

#[gtest]
fn many_stable_runners_leave_room_for_reclaimable_ones_step_by_step() {
    // The model panics at orders beyond the maximum of 40 in each domain.
    let run = run_no_worse(&Replay {
        stable: 30,
        ..Replay::default()
    });
    expect_that!(run.at(74.0).stable, le(6));
}

#[gtest]
fn steady_load_with_noise_does_not_make_numbers_flap() {
    let run = run_no_worse(&Replay {
        seconds: 120,
        load: |at| 20.0 + 2.0 * (at * 7.3).sin() + 1.5 * (at * 2.9).sin(),
        ..Replay::default()
    });
    let late = run.orders.iter().filter(|it| it.at > 45.0);
    expect_that!(late.count(), le(12), "a few orders in 75 s");
}

#[gtest]
fn without_reclaimable_runners_the_whole_need_is_ordered_as_stable_ones() {
    let replay = Replay {
        load: |at| burst(20.0, 2.2, 30.0..75.0, at),
        scaling: Scaling {
            reclaimable_price: None,
            ..scaling()
        },
        ..Replay::default()
    };
    let run = replay.run();
    expect_that!(run.at(74.0).stable, ge(80));
    expect_that!(run.orders.iter().all(|it| !it.reclaimable), eq(true));
}

#[gtest]
fn an_order_is_not_sent_twice_while_its_outcome_is_unknown() {
    let now = Instant::now();
    let mut planner = Planner::new("chat".to_owned(), scaling(), Settings::default());
    let mut demand = Demand {
        service: "chat".to_owned(),
        usable: 3,
        slots: 100,
        prefill: 0.9,
        ..Demand::default()
    };
    for domain in DOMAINS {
        demand
            .fleets
            .entry(domain.to_owned())
            .or_default()
            .stable
            .ready = 1;
    }
    planner.on_demand(now, &"d1".to_owned(), &demand, &Vec::new());
    let orders = planner.plan(now, usize::MAX);
    expect_that!(orders.len(), eq(3));
    expect_that!(planner.plan(now + seconds(0.3), usize::MAX), is_empty());
    let mut order: Order = orders[0].clone();
    planner.on_outcome(now + seconds(0.4), &order, Outcome::Failed);
    expect_that!(
        planner.plan(now + seconds(0.5), usize::MAX),
        elements_are![eq(&order)]
    );
    planner.send(&mut order);
    planner.on_outcome(now + Duration::from_secs(1), &order, Outcome::Accepted);
    expect_that!(planner.plan(now + seconds(1.1), usize::MAX), is_empty());
}

/// Guards against a new holder that waits for runners of an order which was lost.
#[gtest]
fn a_new_holder_sends_orders_that_may_not_have_arrived() {
    let now = Instant::now();
    let mut planner = Planner::new("chat".to_owned(), scaling(), Settings::default());
    let known = vec![("a".to_owned(), true, 10), ("b".to_owned(), true, 1)];
    planner.on_demand(now, &"d1".to_owned(), &demand(3, 3, 0.1), &known);
    let orders = planner.plan(now, usize::MAX);
    let order = orders.iter().find(|it| it.domain == "a" && it.reclaimable);
    expect_that!(order.map(|it| it.desired), some(eq(10)));
    expect_that!(orders.len(), eq(1), "the others are there: {orders:?}");
}

/// Guards against a former holder that tells less than what may be in force.
#[gtest]
fn orders_without_an_answer_are_told_to_the_next_holder() {
    let now = Instant::now();
    let mut planner = Planner::new("chat".to_owned(), scaling(), Settings::default());
    planner.on_demand(now, &"d1".to_owned(), &demand(3, 3, 0.9), &Vec::new());
    let later = now + seconds(2.1);
    planner.on_demand(later, &"d1".to_owned(), &demand(3, 3, 0.9), &Vec::new());
    let orders = planner.plan(later, usize::MAX);
    expect_that!(orders.is_empty(), eq(false));
    for order in orders {
        planner.on_outcome(later, &order, Outcome::Failed);
        let told = (order.domain, order.reclaimable, order.desired);
        expect_that!(planner.known(), contains(eq(&told)));
    }
}

/// A replay with some of all faults at random times.
fn troubled(seed: u64) -> Replay {
    let mut random = StdRng::seed_from_u64(seed);
    let mut span = |longest: u32| {
        let from = f64::from(random.random_range(50..700)) / 10.0;
        let length = f64::from(random.random_range(1..longest)) / 10.0;
        from..from + length
    };
    let (down, silent) = (span(100), span(100));
    let unanswered = (0..4).map(|_| span(60)).collect();
    let refused = vec![(0, span(200)), (1, span(200)), (2, span(200))];
    let holders = [span(2), span(2)].map(|it| (it.start, true));
    let loads: [fn(f64) -> f64; 4] = [
        |at| burst(20.0, 2.7, 30.0..39.0, at),
        |at| 30.0 * (1.0 + 0.9 * (at * TAU / 30.0).sin()),
        |at| burst(5.0, 20.0, 15.0..40.0, at),
        |at| burst(45.0, 0.1, 25.0..50.0, at),
    ];
    Replay {
        load: loads[random.random_range(0..loads.len())],
        stable: random.random_range(1..40),
        refused,
        taken_back: vec![random.random_range(0..3)],
        down,
        silent,
        unanswered,
        new_holders: holders.to_vec(),
        ..Replay::default()
    }
}

/// Guards against orders beyond the maximum or below the minimum of a domain when answers
/// are lost, domains refuse and take back, and holders change; the model panics at these.
#[gtest]
fn orders_stay_within_the_bounds_whatever_befalls() {
    let mut orders = 0;
    for seed in 0..SEEDS {
        let replay = troubled(seed);
        let run = std::panic::catch_unwind(|| replay.run());
        let run = run.unwrap_or_else(|_| panic!("seed {seed}: {replay:?}"));
        orders += run.orders.len();
        for order in &run.orders {
            let mut holders = replay.new_holders.iter();
            let is_new = holders.any(|it| (it.0..it.0 + 9.9).contains(&order.at));
            if is_new {
                expect_that!(
                    order.desired,
                    ge(order.before),
                    "seed {seed}: {order:?} {replay:?}"
                );
            }
        }
    }
    expect_that!(
        orders,
        gt(5_000),
        "a model without orders would hold trivially"
    );
}

/// Guards against stable runners in the place of reclaimable ones that still start, so that
/// both together are beyond the maximum.
#[gtest]
fn stable_runners_leave_room_for_those_that_start_in_a_domain_taken_back() {
    let now = Instant::now();
    let mut planner = Planner::new("chat".to_owned(), scaling(), Settings::default());
    let mut busy = demand(3, 66, 0.9);
    busy.urgent = 1.0;
    let known = DOMAINS.map(|it| (it.to_owned(), true, 39)).to_vec();
    planner.on_demand(now, &"d1".to_owned(), &busy, &known);
    for order in planner.plan(now, usize::MAX) {
        planner.on_outcome(now, &order, Outcome::Accepted);
    }
    for fleet in busy.fleets.values_mut() {
        fleet.reclaimable.ready = 0;
        fleet.reclaimable.leaving = 22;
    }
    let later = now + seconds(0.5);
    planner.on_demand(later, &"d1".to_owned(), &busy, &known);
    let orders = planner.plan(later, usize::MAX);
    let stable = orders.iter().filter(|it| !it.reclaimable);
    let most = stable.map(|it| it.desired).max();
    // 17 of the 39 start.
    expect_that!(most, some(eq(40 - 17)));
}
