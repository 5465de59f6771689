//! Services whose configuration gives their runners no slots.

mod slots;

use std::{sync::Arc, time::Duration};

use citron_policy::{
    arbiter::{self, Event, Refusal},
    catalogue::{Catalogue, Entry, Scaling, Service},
};
use googletest::prelude::*;
use slots::{Daemons, Outcome, SERVICE, ask, done, runners, service};

/// Time within which a request that cannot be served is refused.
const PROMPT: Duration = Duration::from_millis(300);

/// A catalogue whose service is this one, as an adapter makes it from a declaration.
fn declare(service: Service) -> Arc<Catalogue> {
    let known = slots::catalogue(1, |_| {});
    let entries = known.entries().chain([Entry::Service(Arc::new(service))]);
    Arc::new(Catalogue::from_entries(1, entries))
}

/// Gives each runner of the service this many slots.
fn apply(daemons: &mut Daemons, slots: u32) {
    let catalogue = declare(service(slots));
    daemons.catalogue = Arc::clone(&catalogue);
    for host in daemons.hosts() {
        daemons.arbiter_event(host, Event::Catalogue(Arc::clone(&catalogue)));
    }
    daemons.deliver_all();
}

/// Tickets granted, and refused, since the last call; each refusal names when to retry.
fn outcomes(daemons: &mut Daemons) -> [Vec<u64>; 2] {
    let (mut granted, mut refused) = (Vec::new(), Vec::new());
    for outcome in daemons.take_outcomes() {
        match outcome {
            Outcome::Granted { ticket, .. } => granted.push(ticket),
            Outcome::Refused {
                ticket, refusal, ..
            } => {
                let is_retried = matches!(&refusal, Refusal::NoRunner { retry_after }
                    if !retry_after.is_zero());
                expect_that!(is_retried, eq(true), "{refusal:?}");
                refused.push(ticket);
            }
            Outcome::Preempted { ticket, .. } => panic!("{ticket} is preempted"),
        }
    }
    // Those that wait are refused in no particular order.
    refused.sort_unstable();
    [granted, refused]
}

/// The arbiter of a service without slots panicked, and its daemon placed no request any more.
#[gtest]
fn a_service_without_slots_refuses_its_requests_until_it_has_slots_again() {
    let mut daemons = Daemons::new(3, declare(service(2)), runners(2));
    for ticket in 1..=6 {
        daemons.acquire(0, ask(ticket, "c1", "a"));
    }
    daemons.run(PROMPT);
    expect_that!(outcomes(&mut daemons), eq(&[vec![1, 2, 3, 4], vec![]]));

    apply(&mut daemons, 0);
    daemons.acquire(1, ask(7, "c0", "b"));
    daemons.run(PROMPT);
    expect_that!(outcomes(&mut daemons), eq(&[vec![], vec![5, 6, 7]]));
    // What runs goes on to its end.
    for ticket in 1..=4 {
        daemons.release(0, ticket, done());
    }
    daemons.run(PROMPT);
    expect_that!(outcomes(&mut daemons), eq(&[vec![], vec![]]));

    apply(&mut daemons, 2);
    for ticket in 8..=11 {
        daemons.acquire(2, ask(ticket, "c1", "a"));
    }
    daemons.run(PROMPT);
    expect_that!(outcomes(&mut daemons), eq(&[vec![8, 9, 10, 11], vec![]]));
}

/// A new arbiter waits for a list with a usable runner, which cannot come here.
#[gtest]
fn a_new_arbiter_of_a_service_without_slots_refuses_at_once() {
    let mut daemons = Daemons::new(3, declare(service(0)), runners(2));
    daemons.settings = arbiter::Settings {
        runner_list_timeout: Duration::from_millis(1_500),
        ..arbiter::Settings::default()
    };
    daemons.acquire(0, ask(1, "c1", "a"));
    daemons.run(PROMPT);
    expect_that!(outcomes(&mut daemons), eq(&[vec![], vec![1]]));
}

/// A runner that is out of use is not probed with a request either.
#[gtest]
fn an_excluded_runner_without_slots_gets_no_probe() {
    let mut daemons = Daemons::new(3, declare(service(2)), runners(1));
    for ticket in 1..=3 {
        daemons.acquire(0, ask(ticket, "c1", "a"));
        daemons.deliver_all();
        daemons.release(
            0,
            ticket,
            slots::sample(arbiter::End::Refused, Duration::ZERO),
        );
        daemons.run(PROMPT);
    }
    drop(daemons.take_outcomes());
    apply(&mut daemons, 0);
    for ticket in 4..=20 {
        daemons.acquire(0, ask(ticket, "c1", "a"));
        daemons.run(Duration::from_secs(1));
    }
    expect_that!(outcomes(&mut daemons)[0], is_empty());
}

/// Load of a service without slots is reported, so that no runners are ordered for it.
#[gtest]
fn a_service_without_slots_reports_no_usable_runner() {
    let declared = Service {
        scaling: Some(Scaling {
            min: 1,
            max: 4,
            boot: Duration::from_secs(2),
            reclaimable_price: None,
            prices: [("d".to_owned(), 1_000)].into(),
        }),
        ..service(0)
    };
    let mut daemons = Daemons::new(1, declare(declared), runners(2));
    daemons.start_arbiter(0);
    daemons.run(PROMPT);
    let arbiter = daemons.arbiters.get_mut(&0).expect("an arbiter");
    drop(arbiter.demand());
    daemons.run(PROMPT);
    let arbiter = daemons.arbiters.get_mut(&0).expect("an arbiter");
    let demand = arbiter.demand().expect("a report");
    expect_that!(demand.service, eq(SERVICE));
    expect_that!((demand.usable, demand.slots), eq((0, 0)));
}
