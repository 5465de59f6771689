//! A panic in the slots of one service, beside requests to another one.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use citron_daemon::{
    event::Ring,
    peers::Hub,
    platform::{self, Need},
    slots::{Demand, End, Inputs, Sample, Settings, Slot, Slots},
};
use citron_policy::{
    arbiter::Refusal,
    catalogue::{Backend, Catalogue, Class, Entry, Service},
    crash,
    feed::View,
    id::{Fingerprint, RequestId},
    member::{Member, Members, State},
    platform::{List, Runner, Standing},
};
use googletest::prelude::*;
use tokio::sync::watch;

/// Time within which a request is granted or refused.
const SOON: Duration = Duration::from_secs(5);

const BROKEN: &str = "broken";
const SOUND: &str = "sound";

fn service(name: &str) -> Entry {
    Entry::Service(Arc::new(Service {
        name: name.to_owned(),
        owner: "tests".to_owned(),
        backend: Backend::Plain,
        class: "class".to_owned(),
        once: Vec::new(),
        max_running_per_runner: 1,
        retry_percent: 10,
        refusal_statuses: Vec::new(),
        timeout: Duration::from_mins(1),
        max_body_bytes: 1 << 20,
        memory_tokens: 0,
        scaling: None,
    }))
}

fn class() -> Entry {
    Entry::Class(Arc::new(Class {
        name: "class".to_owned(),
        owner: "tests".to_owned(),
        tier: 1,
        first_token: SOON,
        between_tokens: SOON,
        whole: SOON,
        wait_bound: SOON,
        queue_limit: 100,
        preemptible: false,
    }))
}

fn member(name: &str) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        id: name.to_owned(),
        domain: "zone".to_owned(),
        peer: address,
        callers: address,
        capacity: 0,
        replica: None,
        incarnation: 1,
        state: State::Alive,
        revision: 0,
        load: 0,
        current: true,
    }
}

fn runner(service: &str, number: u16) -> Runner {
    Runner {
        id: format!("{service}-{number}"),
        service: service.to_owned(),
        domain: "zone".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        standing: Standing::Live,
        build: "v1".to_owned(),
        slots: 0,
        reclaimable: false,
    }
}

/// The slots of a daemon that is alone, with three runners of each service.
fn start<F>(propose: F) -> Slots
where
    F: Fn(crash::Step) + 'static,
{
    let entries = [class(), service(BROKEN), service(SOUND)];
    let view = View {
        catalogue: Arc::new(Catalogue::from_entries(1, entries)),
        ..View::default()
    };
    let numbers = (1..=3).flat_map(|it| [runner(BROKEN, it), runner(SOUND, it)]);
    let list = Arc::new(List {
        runners: numbers.collect(),
        ..List::default()
    });
    let (listing, listed) = watch::channel(Arc::clone(&list));
    let me = "front-0".to_owned();
    let members: Members = [(me.clone(), member(&me))].into_iter().collect();
    let inputs = Inputs {
        members: watch::channel(Arc::new(members)).1,
        platform: listed,
        need: Need::new(Instant::now(), &platform::Settings::default()),
        shared_hosts: citron_daemon::shared_hosts::SharedHosts::default(),
        view: watch::channel(Arc::new(view)).1,
    };
    let settings = Settings {
        poll: false,
        admit_unknown: true,
    };
    let hub = Hub::new(&me, "one");
    let slots = Slots::new(settings, hub, inputs, Rc::new(propose), Ring::default());
    let running = slots.clone();
    actix_rt::spawn(async move { running.run().await });
    actix_rt::spawn(async move {
        // A new arbiter waits for a new list.
        loop {
            listing.send_replace(Arc::clone(&list));
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    });
    slots
}

/// A slot, the refusal, or none if neither came soon.
async fn acquire(
    slots: Slots,
    service: &str,
    fingerprint: Fingerprint,
) -> Option<Result<Slot, Refusal>> {
    let demand = Demand {
        request: RequestId::from(fingerprint),
        service: service.to_owned(),
        class: "class".to_owned(),
        account: String::new(),
        fingerprint,
        prefix: 0,
        deadline: Instant::now() + SOON,
        avoid: Vec::new(),
        resume: false,
        tier: None,
        prompt: Vec::new(),
        output: 0,
        stream: None,
    };
    actix_rt::time::timeout(SOON, slots.acquire(demand))
        .await
        .ok()
}

async fn granted(slots: &Slots, service: &str, fingerprint: Fingerprint) -> Slot {
    let slot = acquire(slots.clone(), service, fingerprint).await;
    slot.expect("an outcome").expect("a slot")
}

/// Ends a request in a task of its own, which a panic would end.
async fn release(slot: Slot, end: End) {
    let sample = Sample {
        end,
        ..Sample::unused()
    };
    drop(actix_rt::spawn(async move { slot.release(sample) }).await);
}

/// Brings about a panic at one service, in the given call that proposes a crash mark: the
/// first one comes from the requester, the second one from the arbiter.
async fn play(panics_at: u32) {
    let calls = Rc::new(Cell::new(0));
    let counted = Rc::clone(&calls);
    let slots = start(move |_| {
        counted.set(counted.get() + 1);
        assert!(counted.get() != panics_at, "the panic of the test");
    });
    let slot = granted(&slots, BROKEN, 1).await;
    release(slot, End::Broken).await;
    let slot = granted(&slots, BROKEN, 1).await;
    let held = granted(&slots, BROKEN, 2).await;
    let waiting = actix_rt::spawn(acquire(slots.clone(), BROKEN, 3));
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    release(slot, End::Broken).await;
    expect_that!(calls.get(), ge(panics_at));

    let sound = granted(&slots, SOUND, 4).await;
    release(sound, End::Done).await;
    let outcome = waiting.await.expect("no panic");
    expect_that!(outcome, some(anything()), "call {panics_at}");
    release(held, End::Done).await;
    let mut served = false;
    let end = Instant::now() + SOON;
    while !served && Instant::now() < end {
        match acquire(slots.clone(), BROKEN, 5).await {
            Some(Ok(slot)) => {
                served = true;
                release(slot, End::Done).await;
            }
            _ => actix_rt::time::sleep(Duration::from_millis(50)).await,
        }
    }
    expect_that!(served, eq(true), "call {panics_at}");
}

/// A panic ended the placement of the requests of all services, and waits had no end.
#[gtest]
fn a_panic_at_one_service_leaves_the_others_and_the_waits_to_end() {
    for panics_at in [1, 2] {
        actix_rt::System::new().block_on(play(panics_at));
    }
}
