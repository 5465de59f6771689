//! Requesters and arbiters in one process, where the test controls every message and the clock.

#![allow(
    dead_code,
    reason = "each test file uses its own part of the shared pieces"
)]

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    arbiter::{self, Arbiter, Ask, Asked, End, Note, Refusal, Reply, Sample, Ticket},
    catalogue::{Account, Backend, Catalogue, Change, Class, Entry, Service},
    crash,
    platform::{Runner, Standing},
    requester::{self, Requester},
};
use indexmap::{IndexMap, IndexSet};

pub const SERVICE: &str = "assistant";

pub fn class(name: &str, tier: u8, edit: impl FnOnce(&mut Class)) -> Class {
    let mut class = Class {
        name: name.to_owned(),
        owner: "desk".to_owned(),
        tier,
        first_token: Duration::from_secs(2),
        between_tokens: Duration::from_millis(100),
        whole: Duration::from_secs(30),
        wait_bound: Duration::from_secs(2),
        queue_limit: 1_000,
        preemptible: tier > 1,
    };
    edit(&mut class);
    class
}

pub fn account(name: &str, digit: char, max_running: u32, max_queued: u32) -> Account {
    Account {
        name: name.to_owned(),
        owner: "desk".to_owned(),
        key_sha256: digit.to_string().repeat(64),
        class: "c0".to_owned(),
        classes: vec!["c1".to_owned(), "c2".to_owned()],
        max_running,
        max_queued,
        ..Account::default()
    }
}

pub fn service(max_running_per_runner: u32) -> Service {
    Service {
        name: SERVICE.to_owned(),
        owner: "desk".to_owned(),
        backend: Backend::Model,
        class: "c0".to_owned(),
        once: Vec::new(),
        max_running_per_runner,
        retry_percent: 10,
        refusal_statuses: Vec::new(),
        timeout: Duration::from_mins(1),
        max_body_bytes: 1 << 20,
        memory_tokens: 0,
        scaling: None,
    }
}

/// Three classes, one per tier, and three accounts.
pub fn catalogue(slots: u32, edit: impl Fn(&mut Class)) -> Arc<Catalogue> {
    let mut puts: Vec<Entry> = (0..3)
        .map(|tier| Entry::Class(Arc::new(class(&format!("c{tier}"), tier, &edit))))
        .collect();
    puts.push(Entry::Service(Arc::new(service(slots))));
    for (name, digit) in [("a", 'a'), ("b", 'b'), ("c", 'c')] {
        puts.push(Entry::Account(Arc::new(account(name, digit, 1_000, 1_000))));
    }
    let change = Change {
        id: "c1".to_owned(),
        operator: "ann".to_owned(),
        puts,
        ..Change::default()
    };
    Arc::new(Catalogue::default().apply(&change).expect("a catalogue"))
}

pub fn runners(count: usize) -> Vec<Runner> {
    (0..count)
        .map(|index| Runner {
            id: format!("r{index}"),
            service: SERVICE.to_owned(),
            domain: "d".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            standing: Standing::Live,
            build: "v1".to_owned(),
            slots: 0,
            reclaimable: false,
        })
        .collect()
}

pub fn ask(ticket: Ticket, class: &str, account: &str) -> Ask {
    Ask {
        ticket,
        class: class.to_owned(),
        account: account.to_owned(),
        fingerprint: ticket,
        remaining: Duration::from_mins(1),
        ..Ask::default()
    }
}

pub fn sample(end: End, whole: Duration) -> Sample {
    let first_token = (end != End::Broken && end != End::Refused).then_some(whole / 10);
    Sample {
        end,
        first_token,
        between_tokens: first_token.map(|_| whole / 100),
        whole,
        tokens: 100,
        unlimited: false,
        longest_pause: None,
        report: None,
    }
}

pub fn done() -> Sample {
    sample(End::Done, Duration::from_millis(500))
}

/// What a requester reported for a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Granted {
        daemon: usize,
        ticket: Ticket,
        runner: String,
        alone: bool,
    },
    Refused {
        daemon: usize,
        ticket: Ticket,
        refusal: Refusal,
    },
    Preempted {
        daemon: usize,
        ticket: Ticket,
    },
}

/// A message between daemons that is not delivered yet.
#[derive(Clone, Debug)]
pub enum Message {
    Asked {
        from: usize,
        to: usize,
        asked: Asked,
    },
    Reply {
        from: usize,
        to: usize,
        epoch: u64,
        reply: Reply,
    },
}

/// Daemons with one requester each, and arbiters on the daemons where they were started.
#[derive(Debug)]
pub struct Daemons {
    pub now: Instant,
    pub requesters: Vec<Option<Requester>>,
    pub arbiters: IndexMap<usize, Arbiter>,
    pub catalogue: Arc<Catalogue>,
    pub runners: Vec<Runner>,
    pub marks: Arc<crash::Table>,
    pub settings: arbiter::Settings,
    pub outcomes: Vec<Outcome>,
    pub notes: Vec<(usize, Note)>,
    pub proposed: Vec<crash::Step>,
    pub in_flight: std::collections::VecDeque<Message>,
    /// Arbiters started so far.
    pub arbiters_started: u32,
    /// Rendezvous order at the start: all daemons, by number.
    ranks: Vec<String>,
}

pub fn name(daemon: usize) -> String {
    format!("i{daemon}")
}

fn number(name: &str) -> usize {
    name[1..].parse().expect("a daemon of the test")
}

impl Daemons {
    pub fn new(count: usize, catalogue: Arc<Catalogue>, runners: Vec<Runner>) -> Self {
        let now = Instant::now();
        let mut daemons = Self {
            now,
            requesters: Vec::new(),
            arbiters: IndexMap::new(),
            catalogue,
            runners,
            marks: Arc::default(),
            settings: arbiter::Settings::default(),
            outcomes: Vec::new(),
            notes: Vec::new(),
            proposed: Vec::new(),
            in_flight: std::collections::VecDeque::new(),
            arbiters_started: 0,
            ranks: (0..count).map(name).collect(),
        };
        for _ in 0..count {
            daemons
                .requesters
                .push(Some(Requester::new(now, requester::Settings::default())));
        }
        for daemon in 0..count {
            daemons.set_ranks(daemon, &daemons.ranks.clone());
        }
        daemons
    }

    /// Gives a daemon this rendezvous order.
    pub fn set_ranks(&mut self, daemon: usize, ranks: &[String]) {
        self.requester_event(daemon, requester::Event::Ranks(ranks.to_vec()));
    }

    /// Stops a daemon at once, with its arbiter and requester.
    pub fn kill(&mut self, daemon: usize) {
        self.arbiters.swap_remove(&daemon);
        self.requesters[daemon] = None;
    }

    /// Tells all live daemons and arbiters which daemons are live.
    pub fn announce_live(&mut self) {
        let live: Vec<usize> = (0..self.requesters.len())
            .filter(|it| self.requesters[*it].is_some())
            .collect();
        let ranks: Vec<String> = live.iter().map(|it| name(*it)).collect();
        let set: IndexSet<String> = ranks.iter().cloned().collect();
        for daemon in live {
            self.set_ranks(daemon, &ranks);
        }
        for host in self.hosts() {
            self.arbiter_event(host, arbiter::Event::Live(set.clone()));
            self.set_standbys(host);
        }
    }

    fn set_standbys(&mut self, host: usize) {
        let live: Vec<String> = (0..self.requesters.len())
            .filter(|it| self.requesters[*it].is_some())
            .map(name)
            .collect();
        let standbys = arbiter::standbys(&name(host), &live, &IndexMap::new());
        self.arbiter_event(host, arbiter::Event::Standbys(standbys));
    }

    /// Gives all arbiters a new list of runners.
    pub fn set_runners(&mut self, runners: Vec<Runner>) {
        self.runners = runners;
        for host in self.hosts() {
            self.arbiter_event(host, arbiter::Event::Runners(self.runners.clone()));
        }
    }

    /// Starts a lost daemon again, with nothing that it knew.
    pub fn restart(&mut self, daemon: usize) {
        let settings = requester::Settings::default();
        self.requesters[daemon] = Some(Requester::new(self.now, settings));
    }

    pub fn hosts(&self) -> Vec<usize> {
        self.arbiters.keys().copied().collect()
    }

    pub fn acquire(&mut self, daemon: usize, ask: Ask) {
        let deadline = self.now + ask.remaining;
        self.requester_event(daemon, requester::Event::Acquire { ask, deadline });
    }

    pub fn release(&mut self, daemon: usize, ticket: Ticket, sample: Sample) {
        self.requester_event(daemon, requester::Event::Release(ticket, sample));
    }

    pub fn requester_event(&mut self, daemon: usize, event: requester::Event) {
        let Some(requester) = self.requesters[daemon].as_mut() else {
            return;
        };
        for effect in requester.on_event(self.now, event) {
            match effect {
                requester::Effect::Send(to, asked) => self.in_flight.push_back(Message::Asked {
                    from: daemon,
                    to: number(&to),
                    asked,
                }),
                requester::Effect::Granted {
                    ticket,
                    runner,
                    alone,
                    ..
                } => self.outcomes.push(Outcome::Granted {
                    daemon,
                    ticket,
                    runner,
                    alone,
                }),
                requester::Effect::Refused(ticket, refusal) => {
                    self.outcomes.push(Outcome::Refused {
                        daemon,
                        ticket,
                        refusal,
                    });
                }
                requester::Effect::Preempted(ticket) => {
                    self.outcomes.push(Outcome::Preempted { daemon, ticket });
                }
                requester::Effect::Mark(step) => self.proposed.push(step),
            }
        }
    }

    pub fn arbiter_event(&mut self, host: usize, event: arbiter::Event) {
        let Some(arbiter) = self.arbiters.get_mut(&host) else {
            return;
        };
        let effects = arbiter.on_event(self.now, event);
        let epoch = arbiter.epoch();
        self.apply_effects(host, epoch, effects);
    }

    fn apply_effects(&mut self, host: usize, epoch: u64, effects: Vec<arbiter::Effect>) {
        for effect in effects {
            match effect {
                arbiter::Effect::Send(to, reply) => self.in_flight.push_back(Message::Reply {
                    from: host,
                    to: number(&to),
                    epoch,
                    reply,
                }),
                arbiter::Effect::Mark(step) => self.proposed.push(step),
                arbiter::Effect::Note(note) => self.notes.push((host, note)),
            }
        }
    }

    /// Commits the proposed marks to the control log, and tells all daemons.
    pub fn commit_marks(&mut self) {
        let proposed = std::mem::take(&mut self.proposed);
        if proposed.is_empty() {
            return;
        }
        let mut table = (*self.marks).clone();
        for step in &proposed {
            table.apply(step);
        }
        self.marks = Arc::new(table);
        let marks = Arc::clone(&self.marks);
        for daemon in 0..self.requesters.len() {
            let event = requester::Event::Marks(Arc::clone(&marks));
            self.requester_event(daemon, event);
        }
        for host in self.hosts() {
            self.arbiter_event(host, arbiter::Event::Marks(Arc::clone(&marks)));
        }
    }

    pub fn start_arbiter(&mut self, host: usize) {
        let live: IndexSet<String> = (0..self.requesters.len())
            .filter(|it| self.requesters[*it].is_some())
            .map(name)
            .collect();
        let settings = self.settings.clone();
        let (arbiter, effects) = Arbiter::new(self.now, SERVICE.to_owned(), 1, live, settings);
        let epoch = arbiter.epoch();
        self.arbiters.insert(host, arbiter);
        self.arbiters_started += 1;
        self.apply_effects(host, epoch, effects);
        self.arbiter_event(host, arbiter::Event::Catalogue(Arc::clone(&self.catalogue)));
        self.arbiter_event(host, arbiter::Event::Marks(Arc::clone(&self.marks)));
        self.arbiter_event(host, arbiter::Event::Runners(self.runners.clone()));
        self.set_standbys(host);
    }

    /// Delivers one message; a request to a live daemon without an arbiter starts one there.
    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::Asked { from, to, asked } => {
                if self.requesters[to].is_none() {
                    return;
                }
                if !self.arbiters.contains_key(&to) {
                    self.start_arbiter(to);
                }
                let from = name(from);
                self.arbiter_event(to, arbiter::Event::Asked { from, asked });
            }
            Message::Reply {
                from,
                to,
                epoch,
                reply,
            } => {
                let from = name(from);
                self.requester_event(to, requester::Event::Reply { from, epoch, reply });
            }
        }
    }

    /// Delivers all messages, including those that deliveries cause.
    pub fn deliver_all(&mut self) {
        while let Some(message) = self.in_flight.pop_front() {
            self.deliver(message);
        }
    }

    /// Advances time in ticks of 50 ms, delivering all messages.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            self.tick();
            self.deliver_all();
        }
    }

    pub fn tick(&mut self) {
        for daemon in 0..self.requesters.len() {
            self.requester_event(daemon, requester::Event::Tick);
        }
        for host in self.hosts() {
            self.arbiter_event(host, arbiter::Event::Tick);
        }
    }

    /// Results reported since the last call.
    pub fn take_outcomes(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.outcomes)
    }
}
