//! Replays of load against a model of runners that are ordered, start and are taken back.

mod fleet;

use std::time::Duration;

use citron_policy::autoscale::{Demand, Order, Outcome, Planner, Settings};
use fleet::{DOMAINS, Replay, Run, load, scaling, seconds};
use googletest::prelude::*;

/// Least saving against the fixed fleet, for any replay of a minute.
const MOST_COST_SHARE: f64 = 2.0 / 3.0;

/// Share of the urgent work that may be lost beyond that at the fixed fleet.
const MOST_URGENT_LOSS: f64 = 0.001;

fn expect_no_worse(run: &Run, fixed: &Run) {
    expect_that!(run.urgent_lost, le(fixed.urgent_lost + MOST_URGENT_LOSS));
    expect_that!(run.cost, le(MOST_COST_SHARE * fixed.cost), "{run:?}");
}

#[gtest]
fn waves_do_not_cost_as_much_as_a_fixed_fleet_nor_starve_urgent_requests() {
    let replay = Replay::new(90).load(|at| load::wave(20.0, 0.4, 30.0, at));
    expect_no_worse(&replay.run(), &replay.fixed());
}

#[gtest]
fn a_burst_of_9_s_does_not_starve_urgent_requests() {
    let replay = Replay::new(75).load(|at| load::burst(20.0, 2.7, 40.0..49.0, at));
    let run = replay.run();
    expect_no_worse(&run, &replay.fixed());
    // The burst raises the number once, and it falls once the load has stayed lower.
    let peak = run.wanted_between(45.0, 60.0);
    expect_that!(run.wanted_between(72.0, 75.0), lt(peak));
}

#[gtest]
fn a_burst_shorter_than_a_second_orders_little() {
    let replay = Replay::new(60).load(|at| load::burst(20.0, 2.7, 40.0..40.7, at));
    let run = replay.run();
    let before = run.wanted_between(38.0, 40.0);
    expect_that!(run.wanted_between(40.0, 45.0), le(before * 13 / 10));
}

#[gtest]
fn runners_of_a_domain_taken_back_do_not_starve_urgent_requests() {
    for domain in DOMAINS {
        let replay = Replay::new(75).taken_back(domain, 30.0, 20.0);
        let run = replay.run();
        expect_no_worse(&run, &replay.fixed());
        // The others take the part of that domain, with reclaimable runners.
        expect_that!(run.stable_at(45.0), le(run.stable_at(29.0)), "{domain}");
        // It has its part again once it has runners.
        expect_that!(run.ready_at(74.0, domain), gt(5), "{domain}");
    }
}

#[gtest]
fn a_domain_that_refuses_does_not_leave_the_service_short() {
    let replay = Replay::new(75).refused(DOMAINS[1], 0.0..75.0);
    let run = replay.run();
    expect_no_worse(&run, &replay.fixed());
    expect_that!(run.ready_at(74.0, DOMAINS[1]), eq(1));
    let asked = run.orders_of(DOMAINS[1], true);
    expect_that!(asked.len(), le(16), "asked again each 5 s at most");
}

#[gtest]
fn stable_runners_stay_while_no_domain_has_reclaimable_ones() {
    let mut replay = Replay::new(60);
    for domain in DOMAINS {
        replay = replay.refused(domain, 0.0..60.0);
    }
    let run = replay.run();
    expect_that!(run.urgent_lost, le(MOST_URGENT_LOSS));
    expect_that!(run.stable_at(59.0), ge(40));
}

#[gtest]
fn stable_runners_are_added_when_all_reclaimable_ones_are_taken_back() {
    let mut replay = Replay::new(75);
    for domain in DOMAINS {
        replay = replay.taken_back(domain, 40.0, 30.0);
    }
    let run = replay.run();
    expect_that!(
        run.stable_at(48.0),
        ge(10),
        "for the urgent half of the load"
    );
    let cheapest = run.orders_of(DOMAINS[1], false);
    expect_that!(cheapest.last().map(|it| it.1), some(ge(10)));
}

#[gtest]
fn a_platform_that_is_down_gets_the_latest_number_once_it_answers() {
    let replay = Replay::new(75)
        .load(|at| load::burst(12.0, 2.0, 32.0..60.0, at))
        .down(30.0..40.0);
    let run = replay.run();
    expect_that!(run.urgent_lost, le(MOST_URGENT_LOSS));
    for domain in DOMAINS {
        let orders = run.orders_of(domain, true);
        let after: Vec<u32> = orders
            .iter()
            .filter(|(at, _)| (40.0..41.0).contains(at))
            .map(|(_, desired)| *desired)
            .collect();
        let wanted = run.ready_at(58.0, domain);
        expect_that!(
            after.first().copied(),
            some(ge(wanted * 8 / 10)),
            "{domain}"
        );
    }
}

#[gtest]
fn a_new_holder_orders_nothing_down_before_reports_of_10_s() {
    for knows_orders in [true, false] {
        // The load has just fallen, and runners that were ordered are not ready yet.
        let replay = Replay::new(75)
            .load(|at| load::burst(12.0, 2.5, 20.0..33.0, at))
            .new_holder(33.0, knows_orders);
        let run = replay.run();
        for order in &run.orders {
            let is_early = (33.0..43.0).contains(&order.at);
            expect_that!(
                is_early && order.desired < order.before,
                eq(false),
                "{order:?}"
            );
        }
        expect_that!(run.urgent_lost, le(MOST_URGENT_LOSS));
    }
}

#[gtest]
fn missing_reports_order_nothing_down() {
    let replay = Replay::new(75)
        .load(|at| load::burst(20.0, 0.1, 30.0..75.0, at))
        .silent(32.0..60.0);
    let run = replay.run();
    for order in run.orders.iter().filter(|it| it.at > 35.0 && it.at < 70.0) {
        expect_that!(order.desired, ge(order.before), "{order:?}");
    }
}

#[gtest]
fn nothing_falls_before_replacements_are_ready_and_reports_came_for_10_s() {
    let run = Replay::new(40).run();
    for order in &run.orders {
        if order.desired < order.before {
            expect_that!(order.at, ge(10.0), "{order:?}");
        }
    }
    // Steps of a quarter of the 60 stable runners per 1.5 s.
    for start in 0..60 {
        let at = f64::from(start) * 0.5;
        let step = run.stable_at(at).saturating_sub(run.stable_at(at + 1.0));
        expect_that!(step, le(15), "at {at} s");
    }
    let capacity = |at: f64| run.samples.iter().find(|it| it.at >= at).map(|it| it.ready);
    expect_that!(capacity(9.0), some(ge(60)));
}

#[gtest]
fn many_stable_runners_leave_room_for_reclaimable_ones_step_by_step() {
    // The model refuses orders beyond the maximum of 40 in each domain as a fault.
    let replay = Replay::new(75).stable(30);
    let run = replay.run();
    expect_no_worse(&run, &replay.fixed());
    expect_that!(run.stable_at(74.0), le(6));
}

#[gtest]
fn steady_load_with_noise_does_not_make_numbers_flap() {
    let replay = Replay::new(120).load(|at| 20.0 + 2.0 * (at * 7.3).sin() + 1.5 * (at * 2.9).sin());
    let run = replay.run();
    let late = run.orders.iter().filter(|it| it.at > 45.0);
    expect_that!(late.count(), le(12), "a few orders in 75 s");
}

#[gtest]
fn without_reclaimable_runners_the_whole_need_is_ordered_as_stable_ones() {
    let mut scaling = scaling();
    scaling.reclaimable_price = None;
    let replay = Replay::new(75).load(|at| load::burst(20.0, 2.2, 30.0..75.0, at));
    let run = replay.scaling(scaling).run();
    expect_that!(run.stable_at(74.0), ge(80));
    expect_that!(run.orders.iter().all(|it| !it.reclaimable), eq(true));
}

#[gtest]
fn an_order_is_not_sent_twice_while_its_outcome_is_unknown() {
    let now = std::time::Instant::now();
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

#[gtest]
fn runners_that_start_while_their_domain_is_taken_back_do_not_hide_it() {
    // The burst orders runners that become ready after those before them were taken back.
    let replay = Replay::new(75)
        .load(|at| load::burst(12.0, 2.0, 30.0..75.0, at))
        .taken_back(DOMAINS[1], 35.0, 15.0);
    let run = replay.run();
    expect_that!(run.urgent_lost, le(MOST_URGENT_LOSS));
    let others = [DOMAINS[0], DOMAINS[2]];
    let asked = others.map(|it| {
        run.orders_of(it, true)
            .iter()
            .any(|it| (35.0..37.0).contains(&it.0))
    });
    expect_that!(asked, eq([true, true]));
}
