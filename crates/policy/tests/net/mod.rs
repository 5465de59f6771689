//! Simulated network of membership state machines, with a manual clock, a queue of
//! datagrams and injected faults. A run is determined by its seed.

#![allow(dead_code, reason = "each test file uses its part")]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use citron_policy::{
    member::{Member, State},
    platform::{Instance, List, Standing},
    swim::{Effect, Event, LocalStatus, Message, Settings, Swim},
};
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Wall clock at the start of a run, in milliseconds.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

/// One state machine and its faults.
#[derive(Debug)]
pub struct Node {
    pub swim: Swim,
    pub paused: bool,
    pub dead: bool,
    inbox: Vec<(SocketAddr, Message)>,
}

/// State machines and the datagrams between them.
pub struct Net {
    pub now: Instant,
    pub start: Instant,
    pub nodes: IndexMap<SocketAddr, Node>,
    pub cuts: IndexSet<(SocketAddr, SocketAddr)>,
    pub loss: f64,
    pub duplication: f64,
    pub delay_ms: u64,
    pub events: Vec<(SocketAddr, Event)>,
    pub sent: u64,
    pub settings: Settings,
    pub list: List,
    in_flight: BTreeMap<(Instant, u64), (SocketAddr, SocketAddr, Message)>,
    next_order: u64,
    rng: SmallRng,
}

/// Address of the machine with this number.
pub fn address(number: usize) -> SocketAddr {
    let [.., high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

/// Name of the machine with this number.
pub fn name(number: usize) -> String {
    format!("i-{number:03}")
}

fn member(number: usize) -> Member {
    Member {
        id: name(number),
        domain: format!("fd-{}", number % 4),
        peer: address(number),
        callers: SocketAddr::from((address(number).ip(), 8_000)),
        capacity: 0,
        replica: (number < 3).then_some(number as u64 + 1),
        incarnation: 0,
        state: State::Alive,
        revision: 0,
        load: 0,
        current: false,
    }
}

impl Net {
    /// `count` machines, all on the platform's list, started together.
    pub fn new(count: usize, seed: u64) -> Self {
        println!("seed {seed}, {count} machines");
        let start = Instant::now();
        let entries = (0..count).map(|number| Instance {
            id: name(number),
            domain: format!("fd-{}", number % 4),
            peer: address(number),
            standing: Standing::Live,
        });
        let mut net = Self {
            now: start,
            start,
            nodes: IndexMap::new(),
            cuts: IndexSet::new(),
            loss: 0.0,
            duplication: 0.0,
            delay_ms: 3,
            events: Vec::new(),
            sent: 0,
            settings: Settings::default(),
            list: List {
                entries: entries.collect(),
                runners: Vec::new(),
            },
            in_flight: BTreeMap::new(),
            next_order: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for number in 0..count {
            net.boot(number);
        }
        net
    }

    /// Starts or restarts a machine, with only its settings and the list.
    pub fn boot(&mut self, number: usize) {
        let wall = EPOCH_MS + self.elapsed_ms();
        self.boot_at(number, wall);
    }

    /// Starts a machine whose wall clock shows `wall`.
    pub fn boot_at(&mut self, number: usize, wall: u64) {
        let swim = Swim::new(self.now, wall, member(number), self.settings.clone());
        let node = Node {
            swim,
            paused: false,
            dead: false,
            inbox: Vec::new(),
        };
        self.nodes.insert(address(number), node);
        let list = self.list.clone();
        self.set_list(number, &list);
        let status = LocalStatus {
            current: true,
            ..LocalStatus::default()
        };
        self.act(number, |swim, now, rng| swim.set_status(now, status, rng));
    }

    pub fn set_list(&mut self, number: usize, list: &List) {
        self.act(number, |swim, now, rng| swim.set_list(now, list, rng));
    }

    pub fn set_list_all(&mut self, list: &List) {
        self.list = list.clone();
        for number in self.numbers() {
            self.set_list(number, list);
        }
    }

    pub fn numbers(&self) -> std::ops::Range<usize> {
        0..self.nodes.len()
    }

    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from((self.now - self.start).as_millis()).unwrap_or(u64::MAX)
    }

    pub fn act<F>(&mut self, number: usize, step: F)
    where
        F: FnOnce(&mut Swim, Instant, &mut SmallRng) -> Vec<Effect>,
    {
        let from = address(number);
        let now = self.now;
        let effects = step(&mut self.nodes[&from].swim, now, &mut self.rng);
        self.apply_effects(from, effects);
    }

    fn apply_effects(&mut self, from: SocketAddr, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Report(event) => self.events.push((from, event)),
                Effect::Send { to, message } => {
                    self.sent += 1;
                    self.transmit(from, to, &message);
                    if self.rng.random_bool(self.duplication) {
                        self.transmit(from, to, &message);
                    }
                }
            }
        }
    }

    fn transmit(&mut self, from: SocketAddr, to: SocketAddr, message: &Message) {
        if self.cuts.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(300..=self.delay_ms * 1_000));
        self.next_order += 1;
        let key = (self.now + delay, self.next_order);
        self.in_flight.insert(key, (from, to, message.clone()));
    }

    /// Runs for `time`, in steps of one tick.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        let next = self.now + self.settings.tick;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > next {
                break;
            }
            let ((at, _), (from, to, message)) = entry.remove_entry();
            self.now = at;
            self.deliver(from, to, message);
        }
        self.now = next;
        for number in self.numbers() {
            let node = &self.nodes[&address(number)];
            if !node.paused && !node.dead {
                self.act(number, Swim::tick);
            }
        }
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        if node.dead {
            return;
        }
        if node.paused {
            node.inbox.push((from, message));
            return;
        }
        let now = self.now;
        let effects = node.swim.on_message(now, from, message, &mut self.rng);
        self.apply_effects(to, effects);
    }

    pub fn kill(&mut self, number: usize) {
        self.nodes[&address(number)].dead = true;
    }

    pub fn pause(&mut self, number: usize) {
        self.nodes[&address(number)].paused = true;
    }

    /// Resumes a paused machine, which first gets the datagrams queued in its socket.
    pub fn resume(&mut self, number: usize) {
        let node = &mut self.nodes[&address(number)];
        node.paused = false;
        let waiting = std::mem::take(&mut node.inbox);
        for (from, message) in waiting {
            self.deliver(from, address(number), message);
        }
    }

    /// Resumes a paused machine whose socket lost all queued datagrams.
    pub fn resume_without_inbox(&mut self, number: usize) {
        self.nodes[&address(number)].inbox.clear();
        self.resume(number);
    }

    /// Drops all datagrams from one set of machines to the other.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        for a in from {
            for b in to.iter().filter(|b| *b != a) {
                self.cuts.insert((address(*a), address(*b)));
            }
        }
    }

    /// State of `seen` in the view of `by`; none if unknown there.
    pub fn state(&self, by: usize, seen: usize) -> Option<State> {
        self.member(by, seen).map(|member| member.state)
    }

    pub fn member(&self, by: usize, seen: usize) -> Option<Member> {
        let members = self.nodes[&address(by)].swim.members(self.now);
        members.get(&name(seen)).cloned()
    }

    /// Pairs in which `by` sees `of` in another state than `state`.
    pub fn differing(&self, by: &[usize], of: &[usize], state: State) -> Vec<(usize, usize)> {
        let mut wrong = Vec::new();
        for a in by {
            let members = self.nodes[&address(*a)].swim.members(self.now);
            for b in of {
                if members.get(&name(*b)).map(|it| it.state) != Some(state) {
                    wrong.push((*a, *b));
                }
            }
        }
        wrong
    }

    /// Pairs in which `by` would give new work to `of`.
    pub fn work_targets(&self, by: &[usize], of: &[usize]) -> Vec<(usize, usize)> {
        let mut wrong = Vec::new();
        for a in by {
            let members = self.nodes[&address(*a)].swim.members(self.now);
            let takes = |b: &&usize| members.get(&name(**b)).is_some_and(Member::takes_work);
            wrong.extend(of.iter().filter(takes).map(|b| (*a, *b)));
        }
        wrong
    }

    /// Number of reported events that match.
    pub fn count<F>(&self, matches: F) -> usize
    where
        F: Fn(&Event) -> bool,
    {
        self.events
            .iter()
            .filter(|(_, event)| matches(event))
            .count()
    }
}
