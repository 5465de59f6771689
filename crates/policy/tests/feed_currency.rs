//! Currency of the feed under delay, loss, duplication, pauses and a partitioned
//! leader.
//!
//! The guarantees: a daemon that takes work has every change in force that was
//! accepted longer ago than the lease, and its revision never decreases.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    catalogue::{Change, Class, Entry},
    feed::{Answer, Feed, LEASE, Local, News, Settings, Snapshot, Step, Update},
    id::Index,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const STEP: Duration = Duration::from_millis(50);

fn change(index: Index) -> Update {
    let text = format!(
        r#"{{"name":"k{}","owner":"desk","tier":0,"first_token_ms":{index},"between_tokens_ms":34,
            "whole_ms":30000,"wait_bound_ms":5000,"queue_limit":100}}"#,
        index % 7
    );
    let class: Class = serde_json::from_str(&text).expect("a class");
    let change = Change {
        id: format!("c{index}"),
        operator: "ann".to_owned(),
        puts: vec![Entry::Class(Arc::new(class))],
        ..Change::default()
    };
    Update {
        index,
        step: Step::Change(Arc::new(change)),
    }
}

/// Message in flight to a node, or a timer of its own.
#[derive(Clone)]
enum Packet {
    Request {
        from: usize,
        sent: Instant,
        index: Index,
    },
    Due {
        from: usize,
        sent: Instant,
        arrived: Instant,
        index: Index,
    },
    News {
        sent: Instant,
        news: News,
    },
    Snapshot(Snapshot),
}

struct Node {
    feed: Feed,
    paused: bool,
    waiting: Vec<Packet>,
    next_request: Instant,
    revision: u64,
    delivered: usize,
}

/// Simulation of a log with acceptance times, and of nodes that follow it.
struct Simulation {
    now: Instant,
    nodes: Vec<Node>,
    log: Vec<(Instant, Update)>,
    leader: usize,
    /// A former leader that does not know that it is partitioned.
    stale_leader: Option<(usize, Index)>,
    in_flight: BTreeMap<(Instant, u64), (usize, Packet)>,
    next_order: u64,
    faults: bool,
    accepting: bool,
    rng: SmallRng,
}

const REPLICAS: usize = 3;

impl Simulation {
    fn new(count: usize, seed: u64) -> Self {
        println!("seed {seed}, {count} machines");
        let now = Instant::now() + Duration::from_mins(1);
        let settings = Settings {
            ring_updates: 16,
            answer_bytes: 2_048,
            ..Settings::default()
        };
        let node = |_| Node {
            feed: Feed::new(settings.clone()),
            paused: false,
            waiting: Vec::new(),
            next_request: now,
            revision: 0,
            delivered: 0,
        };
        Self {
            now,
            nodes: (0..count).map(node).collect(),
            log: Vec::new(),
            leader: 0,
            stale_leader: None,
            in_flight: BTreeMap::new(),
            next_order: 0,
            faults: true,
            accepting: true,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn last_index(&self) -> Index {
        self.log.last().map_or(0, |(_, update)| update.index)
    }

    fn transmit(&mut self, to: usize, packet: &Packet) {
        let loss = if self.faults { 0.1 } else { 0.0 };
        let most = if self.faults { 2_500 } else { 5 };
        let copies = if self.faults && self.rng.random_bool(0.1) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if !self.rng.random_bool(loss) {
                let slow = self.rng.random_bool(0.2);
                let limit = if slow { most } else { 20.min(most) };
                let delay = Duration::from_millis(self.rng.random_range(0..=limit));
                self.schedule(self.now + delay, to, packet.clone());
            }
        }
    }

    fn schedule(&mut self, at: Instant, to: usize, packet: Packet) {
        self.next_order += 1;
        self.in_flight.insert((at, self.next_order), (to, packet));
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, packet) = entry.remove();
            self.deliver(to, packet);
        }
        if self.accepting && self.rng.random_bool(0.05) {
            let index = self.last_index() + self.rng.random_range(1..4);
            self.log.push((self.now, change(index)));
        }
        self.replicate();
        self.send_requests();
        self.check_guarantees();
    }

    /// Delivers the log to the replicas, late to followers; the leader gets a proof.
    fn replicate(&mut self) {
        for number in 0..REPLICAS {
            if self.nodes[number].paused || self.stale_leader.is_some_and(|it| it.0 == number) {
                continue;
            }
            let late = number != self.leader && self.rng.random_bool(0.7);
            let node = &mut self.nodes[number];
            if late {
                continue;
            }
            for (_, update) in &self.log[node.delivered..] {
                node.feed.apply_local(Local::Update(update.clone()));
            }
            node.delivered = self.log.len();
        }
        let index = self.last_index();
        let leader = &mut self.nodes[self.leader];
        if !leader.paused {
            let at = self.now;
            leader.feed.apply_local(Local::Proved { index, at });
        }
    }

    fn send_requests(&mut self) {
        for number in 0..self.nodes.len() {
            let node = &self.nodes[number];
            if number == self.leader || node.paused || self.now < node.next_request {
                continue;
            }
            let parent = self.rng.random_range(0..self.nodes.len());
            let packet = Packet::Request {
                from: number,
                sent: self.now,
                index: node.feed.covered_index(),
            };
            if parent != number {
                self.transmit(parent, &packet);
            }
            let pause = Duration::from_millis(self.rng.random_range(50..600));
            self.nodes[number].next_request = self.now + pause;
        }
    }

    fn deliver(&mut self, to: usize, packet: Packet) {
        if self.nodes[to].paused {
            self.nodes[to].waiting.push(packet);
            return;
        }
        let now = self.now;
        match packet {
            Packet::Request { from, sent, index } => {
                let hold = Duration::from_millis(self.rng.random_range(0..1_600));
                let due = Packet::Due {
                    from,
                    sent,
                    arrived: now,
                    index,
                };
                self.schedule(now + hold, to, due);
            }
            Packet::Due {
                from,
                sent,
                arrived,
                index,
            } => {
                let answer = match self.nodes[to].feed.answer(arrived, index) {
                    Answer::News(news) => Packet::News { sent, news },
                    Answer::Snapshot(snapshot) => Packet::Snapshot(snapshot),
                };
                self.transmit(from, &answer);
            }
            Packet::News { sent, news } => {
                self.nodes[to].feed.apply_news(now, sent, news);
            }
            Packet::Snapshot(snapshot) => {
                self.nodes[to].feed.apply_snapshot(snapshot);
            }
        }
    }

    fn resume(&mut self, number: usize) {
        self.nodes[number].paused = false;
        for packet in std::mem::take(&mut self.nodes[number].waiting) {
            self.deliver(number, packet);
        }
    }

    fn check_guarantees(&mut self) {
        let accepted = self.log.iter();
        let due = accepted.filter(|(at, _)| *at + LEASE <= self.now).count() as u64;
        for (number, node) in self.nodes.iter_mut().enumerate() {
            let revision = node.feed.view().catalogue.revision;
            assert!(
                revision >= node.revision,
                "node {number} reverted to revision {revision}"
            );
            node.revision = revision;
            // A paused process takes no work, and checks its clock when it resumes.
            let takes = !node.paused && node.feed.may_take_work(self.now);
            assert!(
                !takes || revision >= due,
                "node {number} takes work at revision {revision}, but {due} changes are due"
            );
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }
}

#[gtest]
fn a_daemon_that_takes_work_has_every_change_older_than_the_lease() {
    for seed in 0..24 {
        let mut simulation = Simulation::new(12, seed);
        for round in 0..12 {
            simulation.run(Duration::from_secs(4));
            for number in 0..12 {
                if simulation.nodes[number].paused {
                    simulation.resume(number);
                } else if number != simulation.leader && simulation.rng.random_bool(0.2) {
                    simulation.nodes[number].paused = true;
                }
            }
            if round % 4 == 3 {
                let old = simulation.leader;
                simulation.leader = (old + 1) % REPLICAS;
                simulation.resume(simulation.leader);
                simulation.stale_leader = Some((old, simulation.last_index()));
            }
            if round % 4 == 1 {
                simulation.stale_leader = None;
            }
        }
        simulation.faults = false;
        simulation.accepting = false;
        simulation.stale_leader = None;
        for number in 0..12 {
            simulation.resume(number);
        }
        let healed = Duration::from_secs(8);
        simulation.run(healed);
        let accepted = simulation.log.len() as u64;
        for node in &simulation.nodes {
            expect_that!(node.feed.view().catalogue.revision, eq(accepted));
            let age = node.feed.proof_age(simulation.now);
            expect_that!(age, some(lt(healed)), "no proof since the faults ended");
        }
    }
}

#[gtest]
fn a_cut_off_daemon_stops_within_the_lease_and_keeps_its_revision() {
    let mut simulation = Simulation::new(6, 3);
    simulation.faults = false;
    simulation.run(Duration::from_secs(5));
    let cut = 5;
    let revision = simulation.nodes[cut].feed.view().catalogue.revision;
    simulation.nodes[cut].paused = true;
    simulation.run(LEASE);
    expect_that!(
        simulation.nodes[cut].feed.may_take_work(simulation.now),
        eq(false)
    );
    expect_that!(
        simulation.nodes[cut].feed.view().catalogue.revision,
        ge(revision)
    );
}

#[gtest]
fn a_restarted_daemon_takes_no_work_before_a_proof() {
    let mut feed = Feed::new(Settings::default());
    let now = Instant::now();
    feed.apply_local(Local::Update(change(1)));
    expect_that!(feed.may_take_work(now), eq(false));
    feed.apply_local(Local::Proved { index: 1, at: now });
    expect_that!(feed.may_take_work(now), eq(true));
}

#[gtest]
fn a_proof_is_dated_from_the_request_however_long_the_answer_took() {
    let start = Instant::now() + Duration::from_mins(1);
    let mut parent = Feed::new(Settings::default());
    parent.apply_local(Local::Proved {
        index: 0,
        at: start,
    });
    let mut child = Feed::new(Settings::default());
    let sent = start + Duration::from_millis(100);
    // The request takes three seconds, and so does the answer.
    let arrived = sent + Duration::from_secs(3);
    let received = arrived + Duration::from_secs(3);
    let Answer::News(news) = parent.answer(arrived, 0) else {
        panic!("expected updates, not a snapshot");
    };
    child.apply_news(received, sent, news);
    expect_that!(child.may_take_work(received), eq(false));
}

#[gtest]
fn max_staleness_extends_the_time_without_a_proof() {
    let now = Instant::now();
    let settings = Settings {
        max_staleness: Duration::from_mins(1),
        ..Settings::default()
    };
    let mut feed = Feed::new(settings);
    feed.apply_local(Local::Proved { index: 0, at: now });
    let later = |extra: u64| now + LEASE + Duration::from_secs(extra);
    expect_that!(feed.may_take_work(later(59)), eq(true));
    expect_that!(feed.may_take_work(later(60)), eq(false));
}

#[gtest]
fn the_ring_is_bounded_and_late_followers_get_a_snapshot() {
    let settings = Settings {
        ring_updates: 8,
        ..Settings::default()
    };
    let mut feed = Feed::new(settings);
    for index in 1..=100 {
        feed.apply_local(Local::Update(change(index)));
    }
    expect_that!(feed.ring_size().0, eq(8));
    let now = Instant::now();
    let Answer::Snapshot(snapshot) = feed.answer(now, 50) else {
        panic!("the updates after 50 must be dropped");
    };
    expect_that!(snapshot.index, eq(100));
    let mut late = Feed::new(Settings::default());
    expect_that!(late.apply_snapshot(snapshot.clone()), eq(true));
    expect_that!(late.apply_snapshot(snapshot), eq(false));
    let Answer::News(news) = feed.answer(now, 95) else {
        panic!("the updates after 95 must be kept");
    };
    expect_that!(news.updates.len(), eq(5));
}

#[gtest]
fn duplicate_or_late_updates_change_nothing() {
    let mut feed = Feed::new(Settings::default());
    for index in [1, 2, 3, 2, 1, 3, 4] {
        feed.apply_local(Local::Update(change(index)));
    }
    expect_that!(feed.view().index, eq(4));
    expect_that!(feed.view().catalogue.revision, eq(4));
}

#[gtest]
fn a_copy_damaged_by_a_change_stops_and_recovers_by_snapshot() {
    let now = Instant::now();
    let mut good = Feed::new(Settings::default());
    good.apply_local(Local::Update(change(1)));
    let mut feed = Feed::new(Settings::default());
    feed.apply_local(Local::Proved { index: 0, at: now });
    let bad = Change {
        removes: vec![citron_policy::catalogue::Key {
            kind: citron_policy::catalogue::Kind::Class,
            name: "nothing".to_owned(),
        }],
        ..Change::default()
    };
    feed.apply_local(Local::Update(Update {
        index: 1,
        step: Step::Change(Arc::new(bad)),
    }));
    expect_that!(feed.is_damaged(), eq(true));
    expect_that!(feed.may_take_work(now), eq(false));
    feed.apply_local(Local::Proved {
        index: 1,
        at: now + STEP,
    });
    expect_that!(feed.may_take_work(now), eq(false));
    // This update is skipped, so a snapshot without it must be refused.
    feed.apply_local(Local::Update(change(2)));
    expect_that!(feed.apply_snapshot(good.snapshot()), eq(false));
    good.apply_local(Local::Update(change(2)));
    expect_that!(feed.apply_snapshot(good.snapshot()), eq(true));
    feed.apply_local(Local::Proved {
        index: 2,
        at: now + STEP,
    });
    expect_that!(feed.may_take_work(now + STEP), eq(true));
}
