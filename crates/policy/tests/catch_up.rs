//! Catch-up of a whole fleet over slow links, after every instance was restarted.
//!
//! A model of the links: each instance sends and receives at its own rate, one message
//! after the other, and a late answer still takes its time on both links. The polls
//! follow `daemon::follow`.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    declaration::Declaration,
    feed::{Admission, Answer, Feed, Local, News, Patience, Settings, Snapshot, Step, Update},
    id::{Index, InstanceId},
    member::{Member, Members, State},
    relay,
};
use googletest::prelude::*;

/// Versions of the declaration in the log.
const VERSIONS: u64 = 60;

/// Bytes per millisecond that requests leave free on the link of a replica: 70 of 100
/// Mbit/s.
const REPLICA_LINK: u64 = 8_750;

/// The same of an instance without a disk: 7 of 10 Mbit/s.
const LINK: u64 = 875;

/// One way between two instances.
const TRAVEL: Duration = Duration::from_millis(1);

/// Bytes of a request, and of a message beside its content.
const SMALL_BYTES: u64 = 150;

/// Bytes of a part of a snapshot.
const PART_BYTES: u64 = 64 << 10;

/// Pause after a poll that brought nothing new.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Interval between two proofs at the leader.
const PROOF_INTERVAL: Duration = Duration::from_millis(150);

#[derive(Clone)]
enum Message {
    Poll { index: Index },
    Part { index: Index, offset: u64 },
    News(News),
    SnapshotPart { snapshot: Snapshot, offset: u64 },
    Refusal,
}

enum Event {
    Proof,
    Wake(usize),
    Late {
        node: usize,
        request: u64,
    },
    Arrival {
        from: usize,
        to: usize,
        request: u64,
        message: Message,
    },
}

struct Node {
    id: InstanceId,
    feed: Feed,
    admission: Admission,
    patience: Patience,
    attempt: usize,
    /// Number of the request that waits for an answer, and when it was sent.
    request: u64,
    sent: Instant,
    rate: u64,
    out_free: Instant,
    in_free: Instant,
    bytes: u64,
}

struct Fleet {
    now: Instant,
    members: Members,
    nodes: Vec<Node>,
    events: BTreeMap<(Instant, u64), Event>,
    next_event: u64,
}

impl Fleet {
    fn new(count: usize, replicas: usize, declaration_bytes: usize) -> Self {
        let now = Instant::now() + Duration::from_mins(1);
        let id = |number: usize| format!("i-{number:03}");
        let member = |number: usize| Member {
            id: id(number),
            domain: format!("fd-{}", number % 5),
            peer: ([10, 0, 0, 1], 7_000).into(),
            callers: ([10, 0, 0, 1], 8_000).into(),
            capacity: 0,
            replica: (number < replicas).then_some(number as u64 + 1),
            incarnation: 1,
            state: State::Alive,
            revision: 0,
            load: 0,
            current: true,
        };
        let node = |number: usize| Node {
            id: id(number),
            feed: Feed::new(Settings::default()),
            admission: Admission::default(),
            patience: Patience::default(),
            attempt: 0,
            request: 0,
            sent: now,
            rate: if number < replicas {
                REPLICA_LINK
            } else {
                LINK
            },
            out_free: now,
            in_free: now,
            bytes: 0,
        };
        let mut fleet = Self {
            now,
            members: (0..count).map(|it| (id(it), member(it))).collect(),
            nodes: (0..count).map(node).collect(),
            events: BTreeMap::new(),
            next_event: 0,
        };
        let updates = (1..=VERSIONS).map(|version| Update {
            index: version,
            step: Step::Declare(Arc::new(Declaration {
                version,
                source: vec![b'x'; declaration_bytes].into(),
            })),
        });
        for update in updates {
            for replica in &mut fleet.nodes[..replicas] {
                replica.feed.apply_local(Local::Update(update.clone()));
            }
        }
        fleet.schedule(now, Event::Proof);
        for number in 1..count {
            fleet.schedule(now, Event::Wake(number));
        }
        fleet
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn send(&mut self, from: usize, to: usize, request: u64, message: Message) {
        let bytes = SMALL_BYTES
            + match &message {
                Message::News(news) => news.updates.iter().map(size).sum(),
                Message::SnapshotPart { snapshot, offset } => {
                    (total(snapshot) - offset).min(PART_BYTES)
                }
                Message::Poll { .. } | Message::Part { .. } | Message::Refusal => 0,
            };
        let time = |rate: u64| Duration::from_micros(bytes * 1_000 / rate);
        let sender = &mut self.nodes[from];
        sender.bytes += bytes;
        sender.out_free = sender.out_free.max(self.now) + time(sender.rate);
        let left = sender.out_free + TRAVEL;
        let receiver = &mut self.nodes[to];
        receiver.in_free = receiver.in_free.max(left) + time(receiver.rate);
        let at = receiver.in_free;
        let event = Event::Arrival {
            from,
            to,
            request,
            message,
        };
        self.schedule(at, event);
    }

    fn request(&mut self, node: usize, to: usize, message: Message) {
        let asker = &mut self.nodes[node];
        asker.request += 1;
        asker.sent = self.now;
        let request = asker.request;
        let wait = asker.patience.wait(asker.feed.may_take_work(self.now));
        self.schedule(self.now + wait, Event::Late { node, request });
        self.send(node, to, request, message);
    }

    fn poll(&mut self, node: usize) {
        let fresh = self.nodes[node].feed.proof_age(self.now);
        if fresh.is_some_and(|age| age < Duration::from_millis(500)) {
            self.schedule(self.now + RETRY_PAUSE, Event::Wake(node));
            return;
        }
        let parents = relay::parents(&self.nodes[node].id, &self.members);
        let parent = &parents[self.nodes[node].attempt % parents.len()];
        let to = self.members.get_index_of(parent).expect("a member");
        let index = self.nodes[node].feed.covered_index();
        self.request(node, to, Message::Poll { index });
    }

    /// Turns to the next parent after a pause.
    fn leave_parent(&mut self, node: usize) {
        self.nodes[node].request += 1;
        self.nodes[node].attempt += 1;
        self.schedule(self.now + RETRY_PAUSE, Event::Wake(node));
    }

    fn arrive(&mut self, from: usize, to: usize, request: u64, message: Message) {
        let now = self.now;
        match message {
            Message::Poll { index } => {
                let answer = match self.nodes[to].feed.answer(now, index) {
                    Answer::News(news) => Message::News(news),
                    Answer::Snapshot(snapshot) => self.part(to, from, snapshot, 0),
                };
                self.send(to, from, request, answer);
            }
            Message::Part { index, offset } => {
                let snapshot = self.nodes[to].feed.snapshot();
                assert!(snapshot.index == index, "nothing changes meanwhile");
                let answer = self.part(to, from, snapshot, offset);
                self.send(to, from, request, answer);
            }
            _ if self.nodes[to].request != request => {}
            Message::Refusal => self.leave_parent(to),
            Message::News(news) => {
                let node = &mut self.nodes[to];
                node.patience.answered();
                let sent = node.sent;
                if node.feed.apply_news(now, sent, news) {
                    node.request += 1;
                    self.schedule(now, Event::Wake(to));
                } else {
                    self.leave_parent(to);
                }
            }
            Message::SnapshotPart { snapshot, offset } => {
                self.nodes[to].patience.answered();
                let next = offset + PART_BYTES;
                if next < total(&snapshot) {
                    let index = snapshot.index;
                    self.request(
                        to,
                        from,
                        Message::Part {
                            index,
                            offset: next,
                        },
                    );
                } else {
                    self.nodes[to].feed.apply_snapshot(snapshot);
                    self.nodes[to].request += 1;
                    self.schedule(now, Event::Wake(to));
                }
            }
        }
    }

    fn part(&mut self, parent: usize, child: usize, snapshot: Snapshot, offset: u64) -> Message {
        let child = self.nodes[child].id.clone();
        let admission = &mut self.nodes[parent].admission;
        if !admission.admits(self.now, &child) {
            return Message::Refusal;
        }
        if offset + PART_BYTES >= total(&snapshot) {
            admission.finished(&child);
        }
        Message::SnapshotPart { snapshot, offset }
    }

    /// Time until every instance takes work with the newest version, at most `limit`.
    fn run(&mut self, limit: Duration) -> Duration {
        let begun = self.now;
        let current =
            |it: &Node, now| it.feed.may_take_work(now) && it.feed.view().index == VERSIONS;
        while self.now < begun + limit && !self.nodes.iter().all(|it| current(it, self.now)) {
            let ((at, _), event) = self.events.pop_first().expect("an event");
            self.now = at;
            match event {
                Event::Proof => {
                    let leader = &mut self.nodes[0].feed;
                    leader.apply_local(Local::Proved {
                        index: VERSIONS,
                        at,
                    });
                    self.schedule(at + PROOF_INTERVAL, Event::Proof);
                }
                Event::Wake(node) => self.poll(node),
                Event::Late { node, request } if self.nodes[node].request == request => {
                    self.nodes[node].patience.late();
                    self.leave_parent(node);
                }
                Event::Late { .. } => {}
                Event::Arrival {
                    from,
                    to,
                    request,
                    message,
                } => self.arrive(from, to, request, message),
            }
        }
        self.now - begun
    }
}

fn size(update: &Update) -> u64 {
    match &update.step {
        Step::Declare(it) => it.source.len() as u64,
        Step::Change(_) | Step::Crash(_) => 0,
    }
}

fn total(snapshot: &Snapshot) -> u64 {
    let declaration = snapshot.declaration.as_ref();
    declaration.map_or(0, |it| it.source.len() as u64)
}

/// Target for `count` instances: 5 s for 95, and 10 s for 380.
fn recover(count: usize, replicas: usize, declaration_bytes: usize, target: Duration) {
    let mut fleet = Fleet::new(count, replicas, declaration_bytes);
    let took = fleet.run(target * 3);
    let bytes: u64 = fleet.nodes.iter().map(|it| it.bytes).sum();
    let each = bytes / count as u64;
    println!("{count} instances, {declaration_bytes} B: {took:?}, {each} B each");
    expect_that!(took, lt(target), "{count} instances, {declaration_bytes} B");
}

#[gtest]
fn ninety_five_instances_take_work_soon_after_they_all_restarted() {
    for bytes in [4_000, 40_000, 400_000] {
        recover(95, 6, bytes, Duration::from_secs(5));
        // Two of the replicas are lost for good.
        recover(93, 4, bytes, Duration::from_secs(5));
    }
}

#[gtest]
fn hundreds_of_instances_take_work_soon_after_they_all_restarted() {
    for bytes in [4_000, 40_000, 400_000] {
        recover(380, 6, bytes, Duration::from_secs(10));
    }
}
