//! Cost of scheduling decisions while a burst reaches one arbiter with many runners.
//!
//! Load pattern: the longest prompts arrive at six times their usual rate, more
//! than the runners can read, so that hundreds of requests wait.

mod slots;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    arbiter::{Arbiter, Ask, Asked, Effect, End, Event, Part, Reply, Request, Settings},
    catalogue::{Catalogue, Entry, Service},
};
use googletest::prelude::*;
use slots::{SERVICE, account, ask, class, runners, sample};

/// Runners of the largest service in the users' milestone.
const RUNNERS: usize = 90;

/// Slots of each runner.
const SLOTS: u32 = 32;

/// Daemons that ask for slots.
const DAEMONS: u64 = 91;

/// Accounts that share the runners.
const ACCOUNTS: u64 = 24;

/// Prompt tokens that a runner reads per second.
const READ_RATE: f64 = 41_400.0;

/// Time from the first event of an answer to its end.
const ANSWER_TIME: Duration = Duration::from_millis(350);

/// One stream of similar requests.
struct Workload {
    class: &'static str,
    per_second: f64,
    subjects: u64,
    /// Tokens of the part that all prompts share, of the part that a subject's prompts
    /// share, and of the part that is unique to a prompt.
    tokens: [u32; 3],
    timeout: Duration,
}

const WORKLOADS: [Workload; 3] = [
    Workload {
        class: "layout",
        per_second: 301.0 * 6.0,
        subjects: 1_064,
        tokens: [800, 5_500, 2_890],
        timeout: Duration::from_secs(6),
    },
    Workload {
        class: "proof",
        per_second: 229.0,
        subjects: 866,
        tokens: [300, 268, 1_800],
        timeout: Duration::from_secs(3),
    },
    Workload {
        class: "chat",
        per_second: 137.0,
        subjects: 1_167,
        tokens: [100, 72, 543],
        timeout: Duration::from_secs(15),
    },
];

fn catalogue() -> Arc<Catalogue> {
    let aims = [
        ("chat", 0, 800, 150),
        ("proof", 1, 800, 250),
        ("layout", 2, 1_500, 600),
    ];
    let classes = aims.map(|(name, tier, first, pause)| {
        Entry::Class(Arc::new(class(name, tier, |it| {
            it.first_token = Duration::from_millis(first);
            it.between_tokens = Duration::from_millis(pause);
            it.queue_limit = 100_000;
        })))
    });
    let service = Entry::Service(Arc::new(Service {
        memory_tokens: 300_086,
        scaling: None,
        ..slots::service(SLOTS)
    }));
    let accounts = (0..ACCOUNTS).map(|number| {
        let key = char::from(b'a' + u8::try_from(number).expect("a letter"));
        Entry::Account(Arc::new(account(&tenant(number), key, 100_000, 100_000)))
    });
    let entries: Vec<Entry> = classes
        .into_iter()
        .chain([service])
        .chain(accounts)
        .collect();
    Arc::new(Catalogue::from_entries(1, entries))
}

/// Model of runners that read one prompt at a time and cache the parts they have read.
#[derive(Default)]
struct Runners {
    free_at: HashMap<String, Instant>,
    cached: HashSet<(String, u64)>,
}

impl Runners {
    /// Time at which the answer to a prompt begins.
    fn read(&mut self, now: Instant, runner: &str, prompt: &[Part]) -> Instant {
        let mut tokens = 0;
        for part in prompt {
            if self.cached.insert((runner.to_owned(), part.id)) {
                tokens += part.tokens;
            }
        }
        let free_at = self.free_at.entry(runner.to_owned()).or_insert(now);
        *free_at = (*free_at).max(now) + Duration::from_secs_f64(f64::from(tokens) / READ_RATE);
        *free_at
    }
}

/// One arbiter with its runners and askers.
struct Burst {
    now: Instant,
    arbiter: Arbiter,
    runners: Runners,
    prompts: HashMap<u64, Vec<Part>>,
    /// Times at which answers begin (false) or end (true).
    due: BTreeSet<(Instant, u64, bool)>,
    events: u64,
}

impl Burst {
    fn new() -> Self {
        let now = Instant::now();
        let settings = Settings {
            collect_timeout: Duration::ZERO,
            ..Settings::default()
        };
        let live = (0..DAEMONS).map(name).collect();
        let (arbiter, _) = Arbiter::new(now, SERVICE.to_owned(), 1, live, settings);
        let mut burst = Self {
            now,
            arbiter,
            runners: Runners::default(),
            prompts: HashMap::new(),
            due: BTreeSet::new(),
            events: 0,
        };
        let mut listed = runners(RUNNERS);
        for (number, runner) in listed.iter_mut().enumerate() {
            runner.domain = format!("zone-{}", number % 5);
        }
        burst.handle(Event::Catalogue(catalogue()));
        burst.handle(Event::Runners(listed));
        burst.handle(Event::Tick);
        burst
    }

    fn handle(&mut self, event: Event) {
        let effects = self.arbiter.on_event(self.now, event);
        self.events += 1;
        for effect in effects {
            if let Effect::Send(_, Reply::Grant { ticket, runner, .. }) = effect {
                let begun = self.runners.read(self.now, &runner, &self.prompts[&ticket]);
                self.due.insert((begun, ticket, false));
            }
        }
    }

    fn send(&mut self, ticket: u64, request: Request) {
        let asked = Asked {
            least: 0,
            fallback: false,
            request,
        };
        let from = name(ticket % DAEMONS);
        self.handle(Event::Asked { from, asked });
    }

    fn send_ask(&mut self, workload: usize, number: u64) {
        let Workload {
            class,
            subjects,
            tokens,
            timeout,
            ..
        } = WORKLOADS[workload];
        let ticket = number * WORKLOADS.len() as u64 + workload as u64;
        // Multiplicative hashing spreads the subjects without a pattern.
        let subject = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) % subjects;
        let ids = [
            workload as u64,
            1_000 * (1 + workload as u64) * subjects + subject,
            1 << 40 | ticket,
        ];
        let prompt: Vec<Part> = ids
            .into_iter()
            .zip(tokens)
            .map(|(id, tokens)| Part { id, tokens })
            .collect();
        self.prompts.insert(ticket, prompt.clone());
        let ask = Ask {
            fingerprint: 0,
            prompt,
            output: 60,
            remaining: timeout,
            ..ask(ticket, class, &tenant(number % ACCOUNTS))
        };
        self.send(ticket, Request::Ask(ask));
    }

    /// Simulates the load for `time`.
    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        let mut next: Vec<(Instant, usize, u64)> = (0..WORKLOADS.len())
            .map(|workload| (self.now, workload, 0))
            .collect();
        let mut tick = self.now;
        while self.now < end {
            let arrival = next
                .iter_mut()
                .min_by_key(|it| it.0)
                .expect("there are workloads");
            let due = self.due.first().copied();
            if let Some((at, ticket, ends)) = due.filter(|it| it.0 <= arrival.0.min(tick)) {
                self.due.pop_first();
                self.now = self.now.max(at);
                if ends {
                    let release = sample(End::Done, ANSWER_TIME);
                    self.send(ticket, Request::Release(ticket, release));
                } else {
                    self.due.insert((at + ANSWER_TIME, ticket, true));
                    self.send(ticket, Request::Begun(ticket));
                }
            } else if tick <= arrival.0 {
                self.now = self.now.max(tick);
                tick += Duration::from_millis(100);
                self.handle(Event::Tick);
            } else {
                let (at, workload, number) = *arrival;
                self.now = self.now.max(at);
                arrival.0 = at + Duration::from_secs_f64(1.0 / WORKLOADS[workload].per_second);
                arrival.2 = number + 1;
                self.send_ask(workload, number);
            }
        }
    }
}

fn name(daemon: u64) -> String {
    format!("front-{daemon}")
}

fn tenant(number: u64) -> String {
    format!("account-{number}")
}

#[gtest]
fn work_per_message_is_bounded_by_the_number_of_runners() {
    // Guards against issue 15: an arbiter computed for seconds, which blocked all other
    // work of its daemon.
    let mut burst = Burst::new();
    burst.run_for(Duration::from_secs(4));
    let queued: usize = burst.arbiter.stats().queued.iter().sum();
    expect_that!(queued, gt(100), "the burst must fill the queue");
    let evaluations = burst.arbiter.stats().evaluations / burst.events;
    expect_that!(
        evaluations,
        le(RUNNERS as u64),
        "runners considered per message, over {} messages",
        burst.events
    );
}
