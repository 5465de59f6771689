//! Measures memory and time of the control log's state; prints JSON lines.
//!
//! Bytes are the growth of the process's resident memory while one structure
//! grows, so they include the allocator's overhead. Times are of one core.

use std::{
    fs, hint,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use citron_policy::{
    catalogue::{Account, Change, Class, Entry},
    ledger::{Claim, Key, Ledger, Limits, Outcome, Settle, Stored},
    raft::{Effect, Event, Node, Proposal, Role, Settings, Stored as Folder},
    state::{self, Command, Machine},
};
use rand::{SeedableRng, rngs::StdRng};

const SEED: u64 = 1;

/// Bytes of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// Bytes of the answer that is stored for each ledger key.
const ANSWER_BYTES: usize = 512;

fn main() {
    ledger();
    change_ids();
    catalogue();
    for batch in [1, 16, 256] {
        entries(batch);
    }
}

fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES
}

fn at(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}

fn report(what: &str, count: u64, base: u64, took: Duration) {
    let bytes = resident().saturating_sub(base);
    let each = bytes.checked_div(count).unwrap_or(0);
    let nanos = took.as_nanos() / u128::from(count.max(1));
    println!(
        r#"{{"bench":"{what}","seed":{SEED},"count":{count},"resident_bytes":{bytes},"bytes_each":{each},"ns_each":{nanos}}}"#
    );
}

/// Measures keys that are claimed and settled with an answer.
fn ledger() {
    let mut ledger = Ledger::new(Limits {
        records: 1 << 20,
        bytes: 1 << 30,
        ..Limits::default()
    });
    let base = resident();
    let mut took = Duration::ZERO;
    let mut done = 0;
    for size in [10_000, 40_000, 160_000] {
        for number in done..size {
            let key = Key {
                account: "kalahari-windhoek".to_owned(),
                name: format!("booking-{number:012}"),
            };
            let claim = Claim {
                key: key.clone(),
                digest: number,
                attempt: number,
                daemon: "entry-1".to_owned(),
                deadline: at(number + 30_000),
                at: at(number),
            };
            let settle = Settle {
                key,
                attempt: number,
                outcome: Outcome::Done(Stored {
                    status: 201,
                    content_type: "application/json".to_owned(),
                    body: vec![b'x'; ANSWER_BYTES],
                }),
                at: at(number + 5),
            };
            let start = Instant::now();
            hint::black_box(ledger.claim(&claim));
            ledger.settle(&settle);
            took += start.elapsed();
        }
        done = size;
        report("ledger_key_claimed_and_settled", size, base, took);
        println!(
            r#"{{"bench":"ledger_bytes_counted","count":{size},"bytes":{},"bytes_each":{}}}"#,
            ledger.bytes(),
            ledger.bytes() as u64 / size
        );
    }
    leak(ledger);
}

/// Measures accepted changes and their stored answers.
fn change_ids() {
    let mut machine = Machine::new(state::Limits {
        answers: 1 << 20,
        answer_bytes: 1 << 30,
        ..state::Limits::default()
    });
    let base = resident();
    let mut took = Duration::ZERO;
    let mut done = 0;
    for size in [5_000, 10_000, 20_000] {
        for number in done..size {
            let change = Change {
                id: format!("change-{number:012}"),
                base: number,
                operator: "ann".to_owned(),
                puts: vec![class(0)],
                removes: Vec::new(),
            };
            let command = Command::Change {
                change: Arc::new(change),
                at: at(number),
            };
            let start = Instant::now();
            hint::black_box(machine.apply(number + 1, &command));
            took += start.elapsed();
        }
        done = size;
        report("change_id_accepted", size, base, took);
    }
    leak(machine);
}

/// Measures a growing catalogue of accounts, and a change of one entry in it.
fn catalogue() {
    let mut machine = Machine::new(state::Limits::default());
    let base = resident();
    let mut number = 0;
    let mut took = Duration::ZERO;
    for size in [3_000, 6_000, 12_000] {
        let puts: Vec<Entry> = (number..size).map(account).chain([class(0)]).collect();
        let change = Change {
            id: format!("change-{size}"),
            base: machine.catalogue().revision,
            operator: "ann".to_owned(),
            puts,
            removes: Vec::new(),
        };
        let command = Command::Change {
            change: Arc::new(change),
            at: at(0),
        };
        let start = Instant::now();
        machine.apply(machine.index() + 1, &command);
        took += start.elapsed();
        number = size;
        report("catalogue_entry", size, base, took);
        let start = Instant::now();
        let single = Change {
            id: format!("single-{size}"),
            base: machine.catalogue().revision,
            operator: "ann".to_owned(),
            puts: vec![account(0)],
            removes: Vec::new(),
        };
        let command = Command::Change {
            change: Arc::new(single),
            at: at(0),
        };
        machine.apply(machine.index() + 1, &command);
        println!(
            r#"{{"bench":"change_of_one_entry","entries":{size},"ns":{}}}"#,
            start.elapsed().as_nanos()
        );
    }
    leak(machine);
}

/// Leaks a structure, so that the next one cannot reuse its memory.
fn leak<T>(structure: T) {
    std::mem::forget(hint::black_box(structure));
}

/// Measures log entries through three nodes without disks or network.
fn entries(batch: u64) {
    const ENTRIES: u64 = 65_536;
    let mut rng = StdRng::seed_from_u64(SEED);
    let now = Instant::now();
    let ids = [11, 12, 13];
    let mut nodes: Vec<Node> = ids
        .iter()
        .map(|id| {
            let folder = Folder {
                id: *id,
                ..Folder::default()
            };
            Node::new(now, Settings::default(), folder, &mut rng)
        })
        .collect();
    let init = Event::Init {
        token: 0,
        voters: ids.to_vec(),
    };
    let effects = nodes[0].on_event(now, init, &mut rng);
    deliver(&mut nodes, now, effects, &mut rng);
    assert_eq!(nodes[0].standing().role, Role::Leader, "the first leads");
    let command = Arc::new(Command::Settle(Settle {
        key: Key::default(),
        attempt: 1,
        outcome: Outcome::Unknown,
        at: at(0),
    }));
    let start = Instant::now();
    let mut messages = 0;
    for first in (0..ENTRIES).step_by(usize::try_from(batch).unwrap_or(1)) {
        let proposals = (first..first + batch).map(|token| Proposal {
            token,
            command: Arc::clone(&command),
        });
        let event = Event::Propose(proposals.collect());
        let effects = nodes[0].on_event(now, event, &mut rng);
        messages += deliver(&mut nodes, now, effects, &mut rng);
        if first % 8_192 == 0 {
            let index = nodes[0].commit();
            let data = Arc::from([]);
            nodes[0].on_event(now, Event::Compact { index, data }, &mut rng);
        }
    }
    let took = start.elapsed();
    println!(
        r#"{{"bench":"log_entry_three_nodes","seed":{SEED},"batch":{batch},"entries":{ENTRIES},"ns_each":{},"messages":{messages}}}"#,
        took.as_nanos() / u128::from(ENTRIES)
    );
}

/// Delivers messages until none is left and returns their number.
fn deliver(nodes: &mut [Node], now: Instant, effects: Vec<Effect>, rng: &mut StdRng) -> u64 {
    let mut queue: std::collections::VecDeque<Effect> = effects.into();
    let mut messages = 0;
    while let Some(effect) = queue.pop_front() {
        if let Effect::Send(message) = effect
            && let Some(node) = nodes.iter_mut().find(|it| it.id() == message.to)
        {
            messages += 1;
            queue.extend(node.on_event(now, Event::Receive(message), rng));
        }
    }
    messages
}

fn class(number: u64) -> Entry {
    Entry::Class(Arc::new(Class {
        name: format!("class-{number}"),
        owner: "desk".to_owned(),
        tier: 0,
        first_token: Duration::from_secs(1),
        between_tokens: Duration::from_millis(50),
        whole: Duration::from_secs(30),
        wait_bound: Duration::from_secs(5),
        queue_limit: 100,
        preemptible: false,
    }))
}

fn account(number: u64) -> Entry {
    Entry::Account(Arc::new(Account {
        name: format!("account-{number:06}"),
        owner: "accounts-desk".to_owned(),
        key_sha256: format!("{number:064x}"),
        class: "class-0".to_owned(),
        classes: Vec::new(),
        max_running: 8,
        max_queued: 64,
        ..Account::default()
    }))
}
