//! The arbiter's report of demand, by which runners are ordered.

mod slots;

use std::{sync::Arc, time::Duration};

use citron_policy::{
    arbiter::{Ask, Event, Part, Refusal},
    autoscale::{Count, Demand, Fleet},
    catalogue::{Change, Entry, Scaling, Service},
    platform::{Runner, Standing},
};
use googletest::prelude::*;
use slots::{Daemons, Outcome, ask, catalogue, done, runners};

/// Four runners of four slots: two stable ones in one domain, two reclaimable in another,
/// one of which is leaving.
fn fleet() -> Vec<Runner> {
    let mut fleet = runners(4);
    for runner in &mut fleet[2..] {
        "e".clone_into(&mut runner.domain);
        runner.reclaimable = true;
    }
    fleet[3].standing = Standing::Leaving;
    fleet
}

fn prompt(ticket: u64, class: &str) -> Ask {
    Ask {
        prompt: vec![Part {
            id: ticket,
            tokens: 1_000,
        }],
        output: 1_000,
        ..ask(ticket, class, "a")
    }
}

fn ticks(daemons: &mut Daemons, count: u32) {
    for _ in 0..count {
        daemons.now += Duration::from_millis(100);
        for host in daemons.hosts() {
            daemons.arbiter_event(host, Event::Tick);
        }
        daemons.deliver_all();
    }
}

fn demand(daemons: &mut Daemons) -> Option<Demand> {
    let (_, arbiter) = daemons.arbiters.first_mut().expect("an arbiter");
    arbiter.demand()
}

fn start() -> Daemons {
    let mut daemons = Daemons::new(1, catalogue(4, |_| ()), fleet());
    daemons.acquire(0, prompt(1, "c0"));
    daemons.deliver_all();
    daemons
}

#[gtest]
fn nothing_is_sampled_before_demand_is_asked_for() {
    let mut daemons = start();
    ticks(&mut daemons, 5);
    expect_that!(demand(&mut daemons), none());
    expect_that!(demand(&mut daemons), none(), "no tick since");
    ticks(&mut daemons, 1);
    expect_that!(demand(&mut daemons), some(anything()));
}

#[gtest]
fn runners_that_leave_or_wait_for_no_prompt_do_not_count_as_busy() {
    let mut daemons = start();
    ticks(&mut daemons, 1);
    demand(&mut daemons);
    // One of the three usable runners has a prompt to prefill, in two of four samples.
    ticks(&mut daemons, 2);
    daemons.release(0, 1, done());
    daemons.deliver_all();
    ticks(&mut daemons, 2);
    let demand = demand(&mut daemons).expect("a report");
    let count = |ready, leaving| Count { ready, leaving };
    let fleet = |stable, reclaimable| Fleet {
        stable,
        reclaimable,
    };
    expect_that!(demand.fleets["d"], eq(fleet(count(2, 0), count(0, 0))));
    expect_that!(demand.fleets["e"], eq(fleet(count(0, 0), count(1, 1))));
    expect_that!(demand.usable, eq(3));
    expect_that!(demand.slots, eq(12));
    expect_that!(demand.prefill, near(1.0 / 6.0, 1e-9));
    expect_that!(demand.held, near(1.0 / 24.0, 1e-9));
    // Without a declared memory a runner counts as one of 200,000 tokens.
    expect_that!(demand.memory, near(2_000.0 / 600_000.0 / 2.0, 1e-9));
    expect_that!(demand.refused, eq(0));
}

#[gtest]
fn the_share_of_urgent_tiers_leaves_out_the_lowest_one() {
    let mut daemons = start();
    ticks(&mut daemons, 1);
    demand(&mut daemons);
    for (ticket, class) in [(2, "c1"), (3, "c2"), (4, "c2")] {
        daemons.acquire(0, prompt(ticket, class));
    }
    daemons.deliver_all();
    ticks(&mut daemons, 1);
    let demand = demand(&mut daemons).expect("a report");
    expect_that!(demand.granted, eq(3));
    expect_that!(demand.urgent, near(0.5, 1e-9));
}

#[gtest]
fn refusals_and_waiting_requests_count_and_start_anew_with_each_report() {
    let mut daemons = start();
    ticks(&mut daemons, 1);
    demand(&mut daemons);
    for ticket in 2..=20 {
        daemons.acquire(0, prompt(ticket, "c1"));
    }
    daemons.deliver_all();
    ticks(&mut daemons, 1);
    let first = demand(&mut daemons).expect("a report");
    expect_that!(first.waiting.iter().sum::<f64>(), near(8.0, 1e-9));
    daemons.set_runners(Vec::new());
    daemons.deliver_all();
    ticks(&mut daemons, 1);
    let second = demand(&mut daemons).expect("a report");
    expect_that!(second.refused, eq(8), "those that waited");
    expect_that!(second.usable, eq(0));
    ticks(&mut daemons, 1);
    let third = demand(&mut daemons).expect("a report");
    expect_that!(third.refused, eq(0));
}

#[gtest]
fn callers_without_a_runner_are_told_when_ordered_ones_serve() {
    let boot = Duration::from_secs(4);
    let scaling = Scaling {
        min: 1,
        max: 40,
        boot,
        reclaimable_price: None,
        prices: indexmap::IndexMap::new(),
    };
    let service = Service {
        scaling: Some(scaling),
        ..slots::service(4)
    };
    let change = Change {
        id: "c2".to_owned(),
        base: catalogue(4, |_| ()).revision,
        operator: "ann".to_owned(),
        puts: vec![Entry::Service(Arc::new(service))],
        ..Change::default()
    };
    let scaled = catalogue(4, |_| ()).apply(&change).expect("a catalogue");
    let mut daemons = Daemons::new(1, Arc::new(scaled), fleet());
    daemons.acquire(0, prompt(1, "c0"));
    daemons.deliver_all();
    daemons.set_runners(Vec::new());
    daemons.arbiter_event(0, Event::Ordered(3));
    daemons.take_outcomes();
    let mut refusal = |wait: Duration, ticket| {
        daemons.now += wait;
        daemons.acquire(0, prompt(ticket, "c0"));
        daemons.deliver_all();
        daemons.take_outcomes().pop()
    };
    let told = |retry_after, ticket| Outcome::Refused {
        daemon: 0,
        ticket,
        refusal: Refusal::NoRunner { retry_after },
    };
    let first = refusal(Duration::from_secs(1), 2);
    expect_that!(first, some(eq(&told(Duration::from_secs(3), 2))));
    // Runners that are late say nothing of the time.
    let late = refusal(Duration::from_secs(4), 3);
    expect_that!(late, some(eq(&told(Duration::from_secs(1), 3))));
}
