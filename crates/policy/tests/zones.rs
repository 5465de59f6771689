//! Placement of requests across several failure domains.
//!
//! Load pattern: low load from all domains. Prompts and answers that cross domains
//! take longer and are billed by the byte, while any runner could serve them. Under
//! high load the nearest runner is no longer the best one.

mod slots;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use citron_policy::{
    arbiter::{Ask, End, Event, Part},
    catalogue::{Catalogue, Entry, Service},
    requester,
};
use googletest::prelude::*;
use indexmap::IndexMap;
use slots::{Daemons, Outcome, SERVICE, ask, name, runners, sample};

/// Number of runners, spread evenly over the domains; each domain has one daemon.
const RUNNERS: usize = 6;
const DOMAINS: usize = 3;

/// Tokens of a short prompt.
const CHAT_TOKENS: u32 = 550;

fn domain(number: usize) -> String {
    format!("d{}", number % DOMAINS)
}

struct Site {
    daemons: Daemons,
    next: u64,
}

impl Site {
    fn new() -> Self {
        let service = Service {
            memory_tokens: 220_000,
            scaling: None,
            ..slots::service(32)
        };
        let entries = vec![
            Entry::Class(Arc::new(slots::class("c0", 0, |_| ()))),
            Entry::Service(Arc::new(service)),
            Entry::Account(Arc::new(slots::account("a", 'a', 10_000, 10_000))),
        ];
        let mut listed = runners(RUNNERS);
        for (number, runner) in listed.iter_mut().enumerate() {
            runner.domain = domain(number);
        }
        let catalogue = Arc::new(Catalogue::from_entries(1, entries));
        let mut daemons = Daemons::new(DOMAINS, catalogue, listed);
        daemons.settings.collect_timeout = Duration::ZERO;
        let mut site = Self { daemons, next: 1 };
        // The first request starts the arbiter, which then receives the domains.
        let first = site.offer(0, Vec::new());
        site.end(0, first);
        let domains = (0..DOMAINS).map(|it| (name(it), domain(it)));
        let domains: Arc<IndexMap<String, String>> = Arc::new(domains.collect());
        for host in site.daemons.hosts() {
            let event = Event::Domains(Arc::clone(&domains));
            site.daemons.arbiter_event(host, event);
        }
        site
    }

    fn offer(&mut self, daemon: usize, prompt: Vec<Part>) -> u64 {
        let ticket = self.next;
        self.next += 1;
        let ask = Ask {
            prompt,
            output: 60,
            remaining: Duration::from_secs(6),
            ..ask(ticket, "c0", "a")
        };
        self.daemons.acquire(daemon, ask);
        self.daemons.deliver_all();
        ticket
    }

    fn chat(&mut self, daemon: usize) -> u64 {
        let id = 1 << 40 | self.next;
        let own = Part {
            id,
            tokens: CHAT_TOKENS,
        };
        self.offer(daemon, vec![own])
    }

    fn begin(&mut self, daemon: usize, ticket: u64) {
        self.daemons
            .requester_event(daemon, requester::Event::Begun(ticket));
        self.daemons.deliver_all();
    }

    fn end(&mut self, daemon: usize, ticket: u64) {
        let sample = sample(End::Done, Duration::from_millis(100));
        self.daemons.release(daemon, ticket, sample);
        self.daemons.deliver_all();
    }

    /// Counts of requests granted since the last call, by domain of the runner.
    fn granted(&mut self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for outcome in self.daemons.take_outcomes() {
            if let Outcome::Granted { runner, .. } = outcome {
                let number: usize = runner[1..].parse().expect("a runner of the test");
                *counts.entry(domain(number)).or_default() += 1;
            }
        }
        counts
    }
}

#[gtest]
fn prompts_stay_in_the_domain_of_their_daemon_under_low_load() {
    let mut site = Site::new();
    site.granted();
    for daemon in 0..DOMAINS {
        for _ in 0..10 {
            let chat = site.chat(daemon);
            site.begin(daemon, chat);
            site.end(daemon, chat);
        }
        let placed = site.granted();
        expect_that!(placed, eq(&BTreeMap::from([(domain(daemon), 10)])));
    }
}

#[gtest]
fn calls_stay_in_the_domain_of_their_daemon_under_low_load() {
    let mut site = Site::new();
    site.granted();
    for daemon in 0..DOMAINS {
        for _ in 0..10 {
            let call = site.offer(daemon, Vec::new());
            site.end(daemon, call);
        }
        let placed = site.granted();
        expect_that!(placed, eq(&BTreeMap::from([(domain(daemon), 10)])));
    }
}

/// All traffic enters in one domain; its runners must not be full while those of other
/// domains are idle.
#[gtest]
fn under_load_the_other_domains_take_their_share() {
    let mut site = Site::new();
    site.granted();
    for _ in 0..90 {
        let chat = site.chat(0);
        site.begin(0, chat);
    }
    let placed = site.granted();
    expect_that!(placed.values().sum::<usize>(), eq(90));
    for number in 1..DOMAINS {
        let share = placed.get(&domain(number)).copied().unwrap_or(0);
        expect_that!(share, ge(20), "an even share is 30");
    }
}

/// A burst of long prompts in one domain goes wherever it is prefilled soonest.
#[gtest]
fn a_burst_of_long_prompts_is_prefilled_in_all_domains() {
    let mut site = Site::new();
    site.granted();
    for _ in 0..RUNNERS * 4 {
        let id = 1 << 41 | site.next;
        let long = Part { id, tokens: 9_000 };
        site.offer(0, vec![long]);
    }
    let placed = site.granted();
    let most = placed.values().max().copied().unwrap_or(0);
    let least = (0..DOMAINS).map(|it| placed.get(&domain(it)).copied().unwrap_or(0));
    expect_that!(least.min(), some(ge(most.saturating_sub(1))), "{placed:?}");
}

/// A cached part outweighs a nearer runner.
#[gtest]
fn a_cached_part_is_used_across_domains() {
    let mut site = Site::new();
    let shared = Part {
        id: 1,
        tokens: 3_800,
    };
    let first = site.offer(0, vec![shared]);
    site.begin(0, first);
    site.end(0, first);
    site.granted();
    for _ in 0..5 {
        let next = site.offer(1, vec![shared]);
        site.begin(1, next);
        site.end(1, next);
    }
    expect_that!(site.granted(), eq(&BTreeMap::from([(domain(0), 5)])));
}

/// Calls go to other domains once the near runners are loaded.
#[gtest]
fn calls_go_to_other_domains_while_the_near_runners_are_full() {
    let mut site = Site::new();
    site.granted();
    for _ in 0..100 {
        site.offer(0, Vec::new());
    }
    let placed = site.granted();
    expect_that!(placed.values().sum::<usize>(), eq(100), "{SERVICE}");
    for number in 1..DOMAINS {
        let share = placed.get(&domain(number)).copied().unwrap_or(0);
        expect_that!(share, ge(25), "an even share is 33");
    }
}
