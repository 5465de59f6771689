//! Cost of membership and feed by the number of daemons, as JSON lines.
//!
//! Run with `cargo bench -p citron-wire --bench members`. The state machines
//! are driven by a simulated clock; bytes are those of the encoded messages,
//! CPU is the real time spent in the state machines and the codec.

#![expect(clippy::cast_precision_loss, reason = "figures are printed rounded")]

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    catalogue::{Account, Catalogue, Change, Class, Entry},
    feed::{Answer, Feed, Local, Settings as FeedSettings, Step, Update},
    member::{Member, State},
    platform::{Instance as Listed, List, Standing},
    swim::{Effect, LocalStatus, Settings, Swim},
};
use citron_wire::{Body, Frame, VERSION, feed, generated::feed as proto, member};
use indexmap::IndexMap;
use prost::Message as _;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const SEED: u64 = 1;
const EPOCH_MS: u64 = 1_700_000_000_000;
const CLUSTER: &str = "citronpond";
const SIZES: [usize; 3] = [12, 100, 380];

/// Bytes of the IP and UDP headers of a datagram.
const UDP_HEADER_BYTES: u64 = 28;

/// Bytes of the IP and TCP headers of a segment.
const TCP_HEADER_BYTES: usize = 52;

/// Bytes of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;

struct Node {
    swim: Swim,
    dead: bool,
}

struct Network {
    now: Instant,
    start: Instant,
    nodes: IndexMap<SocketAddr, Node>,
    in_flight: BTreeMap<(Instant, u64), (SocketAddr, SocketAddr, Vec<u8>)>,
    list: List,
    sequence: u64,
    sent: u64,
    bytes: u64,
    cpu: Duration,
    rng: SmallRng,
}

fn address(number: usize) -> SocketAddr {
    let [.., high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

fn name(number: usize) -> String {
    format!("entry-{number:03}")
}

impl Network {
    fn new(count: usize) -> Self {
        let start = Instant::now();
        let entry = |number| Listed {
            id: name(number),
            domain: format!("fd-{}", number % 4),
            peer: address(number),
            standing: Standing::Live,
        };
        let mut net = Self {
            now: start,
            start,
            nodes: IndexMap::new(),
            in_flight: BTreeMap::new(),
            list: List {
                entries: (0..count).map(entry).collect(),
                runners: Vec::new(),
            },
            sequence: 0,
            sent: 0,
            bytes: 0,
            cpu: Duration::ZERO,
            rng: SmallRng::seed_from_u64(SEED),
        };
        for number in 0..count {
            net.start_daemon(number);
        }
        net
    }

    fn start_daemon(&mut self, number: usize) {
        let elapsed = u64::try_from((self.now - self.start).as_millis()).expect("short");
        let me = Member {
            id: name(number),
            domain: format!("fd-{}", number % 4),
            peer: address(number),
            callers: SocketAddr::from((address(number).ip(), 8_000)),
            capacity: 0,
            replica: (number < 5).then_some(number as u64 + 1),
            incarnation: 0,
            state: State::Alive,
            revision: 0,
            load: 0,
            current: false,
        };
        let swim = Swim::new(self.now, EPOCH_MS + elapsed, me, Settings::default());
        self.nodes
            .insert(address(number), Node { swim, dead: false });
        let list = self.list.clone();
        self.apply(address(number), |swim, now, rng| {
            swim.set_list(now, &list, rng)
        });
        self.set_local_status(number, 0);
    }

    fn set_local_status(&mut self, number: usize, load: u32) {
        let own = LocalStatus {
            revision: u64::from(load),
            load,
            current: true,
            leaving: false,
        };
        self.apply(address(number), |swim, now, rng| {
            swim.set_status(now, own, rng)
        });
    }

    fn apply<F>(&mut self, at: SocketAddr, step: F)
    where
        F: FnOnce(&mut Swim, Instant, &mut SmallRng) -> Vec<Effect>,
    {
        let begin = Instant::now();
        let effects = step(&mut self.nodes[&at].swim, self.now, &mut self.rng);
        let mut outgoing = Vec::new();
        for effect in effects {
            if let Effect::Send { to, message } = effect {
                outgoing.push((to, member::encode(CLUSTER, message).to_vec()));
            }
        }
        self.cpu += begin.elapsed();
        for (to, bytes) in outgoing {
            self.sent += 1;
            self.bytes += bytes.len() as u64 + UDP_HEADER_BYTES;
            self.sequence += 1;
            let delay = Duration::from_micros(self.rng.random_range(300..3_000));
            self.in_flight
                .insert((self.now + delay, self.sequence), (at, to, bytes));
        }
    }

    fn step(&mut self) {
        let next = self.now + Duration::from_millis(50);
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > next {
                break;
            }
            let ((at, _), (from, to, bytes)) = entry.remove_entry();
            self.now = at;
            if self.nodes.get(&to).is_some_and(|node| !node.dead) {
                self.apply(to, |swim, now, rng| {
                    let message = member::decode(CLUSTER, &bytes).expect("own encoding");
                    swim.on_message(now, from, message, rng)
                });
            }
        }
        self.now = next;
        for number in 0..self.nodes.len() {
            if !self.nodes[&address(number)].dead {
                self.apply(address(number), Swim::tick);
            }
        }
    }

    /// Runs for `time`; every daemon reports a new load each second.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let mut next_report = self.now;
        while self.now < end {
            if self.now >= next_report {
                next_report += Duration::from_secs(1);
                for number in 0..self.nodes.len() {
                    let load = self.rng.random_range(0..200);
                    self.set_local_status(number, load);
                }
            }
            self.step();
        }
    }

    /// Number of daemons that still route work to a daemon.
    fn peers_routing_to(&self, number: usize) -> usize {
        let id = name(number);
        let others = self
            .nodes
            .iter()
            .filter(|(at, node)| !node.dead && **at != address(number));
        others
            .filter(|(_, node)| {
                node.swim
                    .member(self.now, &id)
                    .is_some_and(|it| it.takes_work())
            })
            .count()
    }

    fn reset(&mut self) {
        (self.sent, self.bytes, self.cpu) = (0, 0, Duration::ZERO);
    }
}

fn per_member_second(total: f64, members: usize, time: Duration) -> f64 {
    total / members as f64 / time.as_secs_f64()
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

fn bench_load(count: usize) {
    let before = resident_bytes();
    let mut net = Network::new(count);
    net.run(Duration::from_secs(90));
    let state = resident_bytes().saturating_sub(before) / (count * count) as u64;
    let time = Duration::from_mins(1);
    net.reset();
    net.run(time);
    let idle_bytes = net.bytes;
    println!(
        r#"{{"bench":"members","scenario":"idle","seed":{SEED},"members":{count},"sent_bytes_per_s":{:.0},"sent_messages_per_s":{:.2},"cpu_percent":{:.4},"cpu_us_per_message":{:.2},"state_bytes_per_peer":{state}}}"#,
        per_member_second(idle_bytes as f64, count, time),
        per_member_second(net.sent as f64, count, time),
        per_member_second(net.cpu.as_secs_f64(), count, time) * 100.0,
        net.cpu.as_secs_f64() * 1e6 / net.sent as f64,
    );
    bench_churn(&mut net, count, idle_bytes);
}

/// Restarts and failures at ten times the daily rate at the scale expected in two years.
fn bench_churn(net: &mut Network, count: usize, idle_bytes: u64) {
    let daily = 2_072.0 * count as f64 / 380.0;
    let pause = Duration::from_secs_f64(86_400.0 / daily / 10.0);
    let time = Duration::from_mins(1);
    let end = net.now + time;
    let mut events = 0_u64;
    net.reset();
    let mut number = 5;
    while net.now < end {
        let at = address(number % count);
        if !events.is_multiple_of(29) {
            net.apply(at, Swim::leave);
            net.apply(at, |swim, _, rng| swim.depart(rng));
        }
        net.nodes[&at].dead = true;
        events += 1;
        let left = end - net.now;
        net.run(Duration::from_secs(2).min(left));
        net.start_daemon(number % count);
        net.run(
            pause
                .saturating_sub(Duration::from_secs(2))
                .min(end.saturating_duration_since(net.now)),
        );
        number += 7;
    }
    let extra = net.bytes.saturating_sub(idle_bytes) as f64 / events as f64;
    println!(
        r#"{{"bench":"members","scenario":"churn_times_10","seed":{SEED},"members":{count},"events":{events},"sent_bytes_per_s":{:.0},"extra_bytes_per_event_and_member":{:.0},"cpu_percent":{:.4}}}"#,
        per_member_second(net.bytes as f64, count, time),
        extra / count as f64,
        per_member_second(net.cpu.as_secs_f64(), count, time) * 100.0,
    );
}

fn bench_detection(count: usize, trials: usize) {
    let mut net = Network::new(count);
    net.run(Duration::from_mins(1));
    let (mut first, mut all) = (Vec::new(), Vec::new());
    for trial in 0..trials {
        let number = (trial * 7 + 3) % count;
        let pause = Duration::from_millis(net.rng.random_range(0..1_000));
        net.run(pause);
        net.nodes[&address(number)].dead = true;
        let killed = net.now;
        let mut noticed = None;
        loop {
            net.step();
            let routing = net.peers_routing_to(number);
            if routing < count - 1 && noticed.is_none() {
                noticed = Some(net.now - killed);
            }
            if routing == 0 {
                break;
            }
        }
        first.extend(noticed);
        all.push(net.now - killed);
        net.run(Duration::from_secs(6));
        net.start_daemon(number);
        net.run(Duration::from_secs(6));
    }
    first.sort_unstable();
    all.sort_unstable();
    let at = |times: &[Duration], share: usize| times[(times.len() - 1) * share / 100].as_millis();
    println!(
        r#"{{"bench":"members","scenario":"kill","seed":{SEED},"members":{count},"trials":{trials},"first_ms_p50":{},"first_ms_max":{},"all_ms_p50":{},"all_ms_p90":{},"all_ms_max":{}}}"#,
        at(&first, 50),
        at(&first, 100),
        at(&all, 50),
        at(&all, 90),
        at(&all, 100),
    );
}

/// Time until all daemons route work to a restarted one.
fn bench_restart(count: usize) {
    let mut net = Network::new(count);
    net.run(Duration::from_mins(1));
    let mut times = Vec::new();
    for number in 0..12 {
        net.apply(address(number), |swim, _, rng| swim.depart(rng));
        net.run(Duration::from_secs(3));
        net.start_daemon(number);
        let begin = net.now;
        while net.peers_routing_to(number) < count - 1 {
            net.step();
        }
        times.push(net.now - begin);
    }
    times.sort_unstable();
    println!(
        r#"{{"bench":"members","scenario":"restart","seed":{SEED},"members":{count},"trials":12,"all_ms_p50":{},"all_ms_max":{}}}"#,
        times[6].as_millis(),
        times[11].as_millis(),
    );
}

fn bench_leave(count: usize) {
    let mut net = Network::new(count);
    net.run(Duration::from_mins(1));
    let mut times = Vec::new();
    for number in 0..12 {
        net.apply(address(number), Swim::leave);
        let begin = net.now;
        while net.peers_routing_to(number) > 0 {
            net.step();
        }
        times.push(net.now - begin);
    }
    times.sort_unstable();
    println!(
        r#"{{"bench":"members","scenario":"leave","seed":{SEED},"members":{count},"trials":12,"all_ms_p50":{},"all_ms_max":{}}}"#,
        times[6].as_millis(),
        times[11].as_millis(),
    );
}

fn class() -> Entry {
    let text = r#"{"name":"repair","owner":"desk","tier":0,"first_token_ms":1500,"between_tokens_ms":34,
        "whole_ms":30000,"wait_bound_ms":5000,"queue_limit":100}"#;
    let class: Class = serde_json::from_str(text).expect("a class");
    Entry::Class(Arc::new(class))
}

fn account(number: usize) -> Entry {
    Entry::Account(Arc::new(Account {
        name: format!("account-{number:05}"),
        owner: "desk-team".to_owned(),
        key_sha256: format!("{number:064x}"),
        class: "repair".to_owned(),
        classes: Vec::new(),
        max_running: 4,
        max_queued: 8,
        ..Account::default()
    }))
}

fn frame_bytes(body: proto::message::Body) -> usize {
    let frame = Frame {
        version: VERSION,
        cluster: CLUSTER.to_owned(),
        from: name(100),
        call: 1_000_000,
        answer: true,
        body: Some(Body::Feed(feed::message(body))),
    };
    frame.encoded_len() + LENGTH_PREFIX_BYTES + TCP_HEADER_BYTES
}

fn bench_feed() {
    let entries = std::iter::once(class()).chain((0..12_000).map(account));
    let catalogue = Arc::new(Catalogue::from_entries(9, entries));
    let mut parent = Feed::new(FeedSettings::default());
    parent.apply_local(Local::Snapshot {
        index: 50,
        catalogue,
        declaration: None,
        marks: Arc::default(),
    });
    let change = |index| Update {
        index,
        step: Step::Change(Arc::new(Change {
            id: format!("change-{index}"),
            operator: "ann".to_owned(),
            puts: vec![account(5)],
            ..Change::default()
        })),
    };
    let begin = Instant::now();
    let rounds = 200;
    for index in 51..51 + rounds {
        parent.apply_local(Local::Update(change(index)));
    }
    let apply = begin.elapsed() / u32::try_from(rounds).expect("few");
    let begin = Instant::now();
    let bytes = feed::encode_snapshot(&parent.snapshot()).expect("encodable");
    let encode = begin.elapsed();
    let begin = Instant::now();
    let size = bytes.len();
    feed::decode_snapshot(bytes).expect("decodable");
    let decode = begin.elapsed();
    let pull = frame_bytes(proto::message::Body::Pull(proto::Pull {
        index: 1_000_000,
        hold_ms: 1_600,
        ..proto::Pull::default()
    }));
    let now = Instant::now();
    parent.apply_local(Local::Proved {
        index: 250,
        at: now,
    });
    let news_bytes = |index| {
        let Answer::News(news) = parent.answer(now, index) else {
            panic!("no snapshot is due");
        };
        frame_bytes(proto::message::Body::News(
            feed::news_to_proto(&news).expect("encodable"),
        ))
    };
    let (idle, one) = (news_bytes(250), news_bytes(249));
    println!(
        r#"{{"bench":"feed","accounts":12000,"question_bytes":{pull},"idle_answer_bytes":{idle},"one_change_answer_bytes":{one},"apply_us":{},"snapshot_bytes":{size},"snapshot_encode_ms":{},"snapshot_decode_ms":{}}}"#,
        apply.as_micros(),
        encode.as_millis(),
        decode.as_millis(),
    );
}

fn main() {
    for count in SIZES {
        bench_load(count);
    }
    for (count, trials) in [(12, 40), (100, 20), (380, 10)] {
        bench_detection(count, trials);
        bench_leave(count);
        bench_restart(count);
    }
    bench_feed();
}
