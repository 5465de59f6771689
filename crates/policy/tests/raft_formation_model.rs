//! Formations under a network that keeps every message for ever, with restarts in the middle of
//! writes, lost disks and replicas of the build before replacements.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use citron_policy::{
    id::ReplicaId,
    raft::{
        Effect, Event, Node, Role, Settings, Stored,
        message::{Body, Message},
    },
};
use googletest::prelude::*;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 2_500;
const STEPS: u32 = 400;

/// Messages that may still arrive, or arrive again.
const MAX_MESSAGES: usize = 600;

struct Replica {
    node: Node,
    disk: Stored,
    /// Whether it runs the build that knows no replacement.
    old: bool,
}

struct Model {
    rng: StdRng,
    now: Instant,
    replicas: BTreeMap<ReplicaId, Replica>,
    messages: Vec<Message>,
    fresh: Vec<Message>,
    /// First voters of each formation that was promised.
    voters: BTreeMap<u64, Vec<ReplicaId>>,
    /// Formations that had a leader.
    led: BTreeSet<u64>,
    token: u64,
    next_id: ReplicaId,
    replaced: u32,
}

impl Model {
    fn new(seed: u64, count: u64, old_percent: u32) -> Self {
        let mut model = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            replicas: BTreeMap::new(),
            messages: Vec::new(),
            fresh: Vec::new(),
            voters: BTreeMap::new(),
            led: BTreeSet::new(),
            token: 0,
            next_id: 11 + count,
            replaced: 0,
        };
        for id in 11..11 + count {
            let old = model.rng.random_range(0..100) < old_percent;
            let disk = Stored {
                id,
                ..Stored::default()
            };
            model.start(disk, old);
        }
        model
    }

    fn start(&mut self, disk: Stored, old: bool) {
        let id = disk.id;
        let node = Node::new(self.now, Settings::default(), disk.clone(), &mut self.rng);
        self.replicas.insert(id, Replica { node, disk, old });
        let ids = self.replicas.keys();
        let peers: IndexMap<_, _> = ids.map(|id| (*id, format!("of-{id}"))).collect();
        let ids: Vec<ReplicaId> = self.replicas.keys().copied().collect();
        for id in ids {
            self.event(id, Event::Peers(peers.clone()));
        }
    }

    fn restart(&mut self, id: ReplicaId) {
        let replica = &self.replicas[&id];
        let (disk, old) = (replica.disk.clone(), replica.old);
        self.start(disk, old);
    }

    fn event(&mut self, id: ReplicaId, event: Event) {
        let Some(replica) = self.replicas.get_mut(&id) else {
            return;
        };
        let was = replica.disk.hard.formation.as_ref().map(|it| it.id);
        let effects = replica.node.on_event(self.now, event, &mut self.rng);
        // All writes of one event, some of them before a crash, or all.
        let crash = self.rng.random_bool(0.01);
        let kept = if crash {
            self.rng.random_range(0..=effects.len())
        } else {
            effects.len()
        };
        for effect in &effects[..kept] {
            match effect {
                Effect::SaveHard(hard) => {
                    replica.disk.hard = hard.clone();
                    if replica.old
                        && let Some(it) = &mut replica.disk.hard.formation
                    {
                        // It drops what it does not know.
                        (it.left, it.left_known) = (Vec::new(), false);
                    }
                    if let Some(it) = &hard.formation {
                        if !it.voters.ids().is_empty() {
                            self.voters.insert(it.id, it.voters.ids().to_vec());
                        }
                        if was.is_some_and(|was| was != it.id) {
                            self.replaced += 1;
                        }
                    }
                }
                Effect::Append(entries) => {
                    replica
                        .disk
                        .entries
                        .retain(|it| it.index < entries[0].index);
                    replica.disk.entries.extend(entries.iter().cloned());
                }
                _ => {}
            }
        }
        for effect in &effects[..kept] {
            if let Effect::Send(message) = effect {
                self.fresh.push(message.clone());
            }
        }
        if replica.node.standing().role == Role::Leader && !crash {
            let formation = replica.disk.hard.formation.as_ref();
            self.led.insert(formation.expect("a formation").id);
        }
        if crash {
            let (disk, old) = (replica.disk.clone(), replica.old);
            let node = Node::new(self.now, Settings::default(), disk.clone(), &mut self.rng);
            self.replicas.insert(id, Replica { node, disk, old });
        }
    }

    /// Delivers a message, as the build of its receiver takes it.
    fn deliver(&mut self, message: Message) {
        let Some(replica) = self.replicas.get(&message.to) else {
            return;
        };
        let formation = replica.disk.hard.formation.as_ref();
        if replica.old
            && let Some(formation) = formation
            && formation.id != message.formation
        {
            if matches!(message.body, Body::Form { .. }) {
                self.fresh.push(Message {
                    formation: message.formation,
                    from: message.to,
                    to: message.from,
                    term: 0,
                    body: Body::FormAnswer { accepted: false },
                });
            }
            return;
        }
        self.event(message.to, Event::Receive(message));
    }

    fn init(&mut self, id: ReplicaId, voters: Vec<ReplicaId>) {
        let replica = &self.replicas[&id];
        if replica.old
            && let Some(formation) = &replica.disk.hard.formation
        {
            let mut sorted = voters.clone();
            sorted.sort_unstable();
            if formation.voters.ids() != sorted {
                return;
            }
            // It forgets refusals, so that it asks for the same formation again.
            self.restart(id);
        }
        self.token += 1;
        let token = self.token;
        self.event(id, Event::Init { token, voters });
    }

    fn any(&mut self) -> ReplicaId {
        let place = self.rng.random_range(0..self.replicas.len());
        *self.replicas.keys().nth(place).expect("a replica")
    }

    fn step(&mut self, inits: u32) {
        match self.rng.random_range(0..1_000) {
            it if it < inits => {
                let mut ids: Vec<ReplicaId> = self.replicas.keys().copied().collect();
                let most = ids.len().min(5);
                let size = self.rng.random_range(1.max(most.min(2))..=most);
                while ids.len() > size {
                    let place = self.rng.random_range(0..ids.len());
                    ids.remove(place);
                }
                let id = ids[self.rng.random_range(0..ids.len())];
                for _ in 0..self.rng.random_range(1..3) {
                    self.init(id, ids.clone());
                }
            }
            985..=994 => {
                let id = self.any();
                self.restart(id);
            }
            // Another build is started.
            995..=996 => {
                let id = self.any();
                let replica = self.replicas.get_mut(&id).expect("a replica");
                replica.old = !replica.old;
                self.restart(id);
            }
            997 if self.next_id < 18 => {
                let id = self.any();
                self.replicas.remove(&id);
                let disk = Stored {
                    id: self.next_id,
                    ..Stored::default()
                };
                self.next_id += 1;
                self.start(disk, false);
            }
            _ => {}
        }
        let fresh = std::mem::take(&mut self.fresh);
        for message in fresh {
            if self.rng.random_bool(0.6) {
                self.deliver(message.clone());
            }
            if self.messages.len() >= MAX_MESSAGES {
                let place = self.rng.random_range(0..MAX_MESSAGES);
                self.messages.swap_remove(place);
            }
            self.messages.push(message);
        }
        // A late or repeated one, in any order.
        for _ in 0..2 {
            if !self.messages.is_empty() && self.rng.random_bool(0.5) {
                let place = self.rng.random_range(0..self.messages.len());
                let message = self.messages[place].clone();
                self.deliver(message);
            }
        }
        self.now += Duration::from_millis(self.rng.random_range(0..60));
        let id = self.any();
        self.event(id, Event::Tick);
    }

    /// Two formations with a leader each and a first voter in common.
    fn clash(&self) -> Option<(u64, u64)> {
        let led: Vec<u64> = self.led.iter().copied().collect();
        for (place, one) in led.iter().enumerate() {
            for other in &led[place + 1..] {
                let first = &self.voters[one];
                if self.voters[other].iter().any(|it| first.contains(it)) {
                    return Some((*one, *other));
                }
            }
        }
        None
    }
}

fn play(seeds: std::ops::Range<u64>, old_percent: u32) -> (Vec<u64>, usize, usize, u32) {
    let (mut clashes, mut led, mut even, mut replaced) = (Vec::new(), 0, 0, 0);
    for seed in seeds {
        let mut model = Model::new(seed, 3 + seed % 4, old_percent);
        let inits = [5, 30, 100][(seed % 3) as usize];
        for _ in 0..STEPS {
            model.step(inits);
        }
        if model.clash().is_some() {
            clashes.push(seed);
        }
        led += model.led.len();
        even += model.led.iter().filter(|it| *it % 2 == 0).count();
        replaced += model.replaced;
    }
    println!("{old_percent} % old: led {led}, replacements led {even}, left {replaced}");
    (clashes, led, even, replaced)
}

// Two clusters would each accept changes, and a voter of both would belong to one of them.
#[gtest]
fn no_two_formations_with_a_voter_in_common_have_a_leader() {
    for (part, old_percent) in [(0, 0), (1, 40)] {
        let (clashes, led, even, replaced) = play(part * SEEDS..(part + 1) * SEEDS, old_percent);
        expect_that!(
            clashes,
            is_empty(),
            "seeds, {old_percent} % of the build before"
        );
        expect_that!(led, gt(100), "formations with a leader");
        expect_that!(even, gt(20), "replacements with a leader");
        expect_that!(replaced, gt(100), "formations that were left");
    }
}
