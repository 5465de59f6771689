//! Encoding of the control log: values round-trip, and garbage is an error.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use citron_policy::{
    catalogue::{Account, Backend, Call, Change, Class, Entry, Service},
    crash, lease,
    ledger::{Claim, Key, Outcome, Settle, Stored},
    raft::{
        self, Formation, HardState, Payload, Snapshot, Voters,
        message::{Append, AppendResult, Body, Chunk, LogPosition, Message},
    },
    state::{Answer, Command, Limits, Machine},
    usage,
};
use citron_wire::{control, generated::control as proto};
use googletest::prelude::*;
use proptest::{
    prelude::any,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use prost::Message as _;

fn at(nanos: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_nanos(nanos)
}

fn key(name: &str) -> Key {
    Key {
        account: "windhoek".to_owned(),
        name: name.to_owned(),
    }
}

fn change(number: u64) -> Change {
    let class = Class {
        name: format!("class-{number}"),
        owner: "desk".to_owned(),
        tier: 3,
        first_token: Duration::from_millis(1_500),
        between_tokens: Duration::from_micros(33_333),
        whole: Duration::from_secs(30),
        wait_bound: Duration::from_secs(5),
        queue_limit: 100,
        preemptible: true,
    };
    let account = Account {
        name: format!("account-{number}"),
        owner: "desk".to_owned(),
        key_sha256: format!("{number:064x}"),
        class: class.name.clone(),
        classes: vec!["class-0".to_owned()],
        max_running: 4,
        max_queued: 8,
        ..Account::default()
    };
    let service = Service {
        name: format!("service-{number}"),
        owner: "desk".to_owned(),
        backend: Backend::Plain,
        class: class.name.clone(),
        once: vec![Call {
            method: "POST".to_owned(),
            path: "/bookings".to_owned(),
        }],
        max_running_per_runner: 8,
        retry_percent: 10,
        refusal_statuses: vec![429, 503],
        timeout: Duration::from_mins(1),
        max_body_bytes: 1 << 20,
        memory_tokens: 0,
        scaling: None,
    };
    Change {
        id: format!("change-{number}"),
        base: number,
        operator: "ann".to_owned(),
        puts: vec![
            Entry::Class(Arc::new(class)),
            Entry::Account(Arc::new(account)),
            Entry::Service(Arc::new(service)),
        ],
        removes: Vec::new(),
    }
}

fn commands() -> Vec<Command> {
    let stored = Stored {
        status: 201,
        content_type: "application/json".to_owned(),
        body: vec![0, 255, 7],
    };
    let settle = |number: u64, outcome| {
        Command::Settle(Settle {
            key: key(&format!("k{number}")),
            attempt: number,
            outcome,
            at: at(1_000_000_007 + number),
        })
    };
    let claim = |number: u64| {
        Command::Claim(Claim {
            key: key(&format!("k{number}")),
            digest: 77,
            attempt: number,
            daemon: "e1".to_owned(),
            deadline: at(31_000_000_001),
            at: at(1_000_000_001),
        })
    };
    let change = |number| Command::Change {
        change: Arc::new(change(number)),
        at: at(5),
    };
    vec![
        Command::Noop,
        change(0),
        change(1),
        // A conflict, whose answer is stored too.
        change(7),
        claim(1),
        claim(2),
        claim(3),
        claim(4),
        settle(1, Outcome::Done(stored)),
        settle(2, Outcome::Unknown),
        settle(3, Outcome::NotRun),
        Command::Crash(crash::Step::Suspected(vec![1, 2, u64::MAX])),
        Command::Crash(crash::Step::Quarantined(2)),
        Command::Crash(crash::Step::Cleared(1)),
    ]
}

#[gtest]
fn entries_round_trip() {
    for (command, index) in commands().into_iter().zip(1..) {
        let entry = raft::Entry::new(index, 3, Payload::Command(Arc::new(command)));
        let read = control::decode_entry(&control::encode_entry(&entry));
        expect_that!(read, ok(eq(&entry)));
    }
    let voters = Voters::new(vec![3, 1, 2]).with_removed(Some(9));
    let entry = raft::Entry::new(1, 1, Payload::Voters(voters));
    let read = control::decode_entry(&control::encode_entry(&entry));
    expect_that!(read, ok(eq(&entry)));
}

#[gtest]
fn hard_state_and_snapshots_round_trip() {
    let hard = HardState {
        term: 9,
        vote: Some(u64::MAX),
        formation: Some(Formation {
            id: 5,
            voters: Voters::new(vec![1, 2, 3]),
            active: true,
            left: vec![Voters::new(vec![1, 2, 4]), Voters::new(vec![1, 2])],
            left_known: true,
        }),
    };
    expect_that!(
        control::decode_hard(&control::encode_hard(&hard)),
        ok(eq(&hard))
    );
    expect_that!(control::decode_hard(&[]), ok(eq(&HardState::default())));
    let snapshot = Snapshot {
        index: 8,
        term: 2,
        voters: Voters::new(vec![4]),
        data: Arc::from([1, 2, 3]),
    };
    let read = control::decode_snapshot(&control::encode_snapshot(&snapshot));
    expect_that!(read, ok(eq(&snapshot)));
}

#[gtest]
fn messages_round_trip() {
    let last = LogPosition { term: 2, index: 9 };
    let entry = raft::Entry::new(10, 2, Payload::Noop);
    let bodies = vec![
        Body::Form {
            voters: Voters::new(vec![1, 2]),
        },
        Body::FormAnswer { accepted: true },
        Body::PreVote(last),
        Body::PreVoteAnswer { granted: true },
        Body::Vote(last),
        Body::VoteAnswer { granted: false },
        Body::Append(Append {
            round: 1,
            prev_index: 9,
            prev_term: 2,
            entries: vec![Arc::new(entry)],
            commit: 8,
        }),
        Body::AppendAnswer {
            round: 1,
            result: AppendResult::Matched(10),
        },
        Body::AppendAnswer {
            round: 1,
            result: AppendResult::Mismatch {
                prev_index: 9,
                hint: 4,
            },
        },
        Body::Chunk(Chunk {
            round: 2,
            index: 9,
            last_term: 2,
            voters: Voters::new(vec![1]),
            total: 3,
            offset: 0,
            data: vec![1, 2, 3],
        }),
        Body::ChunkAnswer {
            round: 2,
            index: 9,
            offset: 3,
        },
    ];
    for body in bodies {
        let message = Message {
            formation: 1,
            from: 2,
            to: 3,
            term: 4,
            body,
        };
        let bytes = proto::Raft::from(message.clone()).encode_to_vec();
        let read = proto::Raft::decode(bytes.as_slice()).expect("a message");
        expect_that!(Message::try_from(read), ok(eq(&message)));
    }
}

/// A replica that starts from a snapshot gives the same answers as the others.
#[gtest]
fn a_restored_machine_answers_like_the_original() {
    let limits = Limits::default();
    let commands = commands();
    for cut in 0..commands.len() {
        let mut kept = Machine::new(limits);
        for (command, index) in commands.iter().take(cut).zip(1..) {
            kept.apply(index, command);
        }
        let bytes = control::encode_machine(&kept);
        let mut read = control::decode_machine(limits, &bytes).expect("a machine");
        expect_that!(read.catalogue(), eq(kept.catalogue()));
        expect_that!(control::encode_machine(&read) == bytes, eq(true));
        // Every command again as a resend, then a late one that makes everything due.
        let late = Command::Change {
            change: Arc::new(change(9)),
            at: at(u64::MAX / 4),
        };
        for (command, index) in commands.iter().chain([&late]).zip(100..) {
            expect_that!(read.apply(index, command), eq(&kept.apply(index, command)));
        }
        expect_that!(
            control::encode_machine(&read) == control::encode_machine(&kept),
            eq(true)
        );
    }
}

#[gtest]
fn answers_round_trip() {
    let mut machine = Machine::new(Limits::default());
    let mut seen = Vec::new();
    for (command, index) in commands().iter().zip(1..) {
        seen.push(machine.apply(index, command).answer);
        seen.push(machine.apply(index, command).answer);
    }
    for answer in seen {
        let read = Answer::try_from(proto::Answer::from(&answer));
        expect_that!(read, ok(eq(&answer)));
    }
}

#[gtest]
fn garbage_is_an_error_and_no_panic() {
    let config = Config {
        cases: 256,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let whole: Vec<Vec<u8>> = commands()
        .into_iter()
        .map(|it| {
            let entry = raft::Entry::new(1, 1, Payload::Command(Arc::new(it)));
            control::encode_entry(&entry)
        })
        .collect();
    let input = (
        any::<Vec<u8>>(),
        any::<usize>(),
        any::<usize>(),
        any::<u8>(),
    );
    runner
        .run(&input, |(bytes, which, place, with)| {
            let mut damaged = whole[which % whole.len()].clone();
            let place = place % damaged.len();
            damaged[place] = with;
            for bytes in [&bytes, &damaged] {
                drop(control::decode_entry(bytes));
                drop(control::decode_hard(bytes));
                drop(control::decode_snapshot(bytes));
                drop(control::decode_machine(Limits::default(), bytes));
                if let Ok(raft) = proto::Raft::decode(bytes.as_slice()) {
                    drop(Message::try_from(raft));
                }
                if let Ok(command) = proto::Command::decode(bytes.as_slice()) {
                    drop(Command::try_from(command));
                }
            }
            Ok(())
        })
        .expect("no panic");
}

fn take() -> lease::Step {
    lease::Step::Take {
        holder: u64::MAX,
        instance: "hcm-a-7".to_owned(),
        after: 0,
    }
}

fn window(number: u64) -> Arc<usage::Window> {
    let counts = [("hule930", 412), ("fida11", 11)];
    Arc::new(usage::Window {
        number,
        counts: counts.map(|(name, count)| (name.to_owned(), count)).into(),
    })
}

/// Commands and answers of the duties.
fn duty_commands() -> Vec<Command> {
    vec![
        Command::Lease(take()),
        Command::Lease(lease::Step::Renew {
            holder: 1,
            instance: "hcm-a-7".to_owned(),
            token: u64::MAX,
        }),
        Command::Usage(window(353_445_120)),
        Command::Usage(Arc::default()),
    ]
}

#[gtest]
fn commands_and_answers_of_the_duties_round_trip() {
    for command in duty_commands() {
        let bytes = proto::Command::from(&command).encode_to_vec();
        let decoded = proto::Command::decode(bytes.as_slice()).expect("a command");
        expect_that!(Command::try_from(decoded), ok(eq(&command)));
    }
    let record = lease::Record {
        holder: u64::MAX,
        instance: "hcm-a-7".to_owned(),
        token: 17,
        renewed: 23,
    };
    for answer in [
        Answer::Lease(Some(record)),
        Answer::Lease(None),
        Answer::Usage(Some(window(353_445_120))),
        Answer::Usage(None),
    ] {
        let bytes = proto::Answer::from(&answer).encode_to_vec();
        let decoded = proto::Answer::decode(bytes.as_slice()).expect("an answer");
        expect_that!(Answer::try_from(decoded), ok(eq(&answer)));
    }
}

/// Guards against entries that stop a replica of a build without leases.
#[gtest]
fn a_build_without_leases_applies_their_commands_without_effect() {
    /// The command as builds without leases know it: the fields 7 and 8 are skipped.
    #[derive(Clone, PartialEq, prost::Message)]
    struct OldCommand {
        #[prost(oneof = "proto::command::Command", tags = "1, 2, 3, 4, 5, 6")]
        command: Option<proto::command::Command>,
    }
    for command in duty_commands() {
        let bytes = proto::Command::from(&command).encode_to_vec();
        let old = OldCommand::decode(bytes.as_slice()).expect("a command");
        let bytes = old.encode_to_vec();
        let decoded = proto::Command::decode(bytes.as_slice()).expect("a command");
        expect_that!(Command::try_from(decoded), ok(eq(&Command::Noop)));
    }
}

#[gtest]
fn a_snapshot_keeps_the_lease_and_the_windows() {
    let limits = Limits::default();
    let mut machine = Machine::new(limits);
    machine.apply(3, &Command::Lease(take()));
    for number in 1..=usage::MAX_FIXED as u64 + 2 {
        machine.apply(3 + number, &Command::Usage(window(number)));
    }
    let bytes = control::encode_machine(&machine);
    let restored = control::decode_machine(limits, &bytes).expect("a snapshot");
    expect_that!(restored, eq(&machine));
    expect_that!(restored.lease(), some(anything()));
    expect_that!(restored.usage().dropped(), some(eq(2)));
}

/// Guards against an upgrade that cannot read the snapshots on the disks, and against
/// snapshots that change where no duties are used.
#[gtest]
fn a_snapshot_without_duties_is_that_of_an_older_build() {
    let limits = Limits::default();
    let mut machine = Machine::new(limits);
    machine.apply(3, &Command::Lease(take()));
    machine.apply(4, &Command::Usage(window(1)));
    let mut message =
        proto::Machine::decode(control::encode_machine(&machine).as_slice()).expect("a snapshot");
    expect_that!(message.duties.take(), some(anything()));
    let older = message.encode_to_vec();
    let restored = control::decode_machine(limits, &older).expect("an older snapshot");
    expect_that!(restored.lease(), none());
    expect_that!(restored.usage(), eq(&usage::Fixed::default()));
    expect_that!(control::encode_machine(&restored), eq(&older));
}

/// Guards against the work of copying all counts at each look at the lease, and against
/// counts that are lost by leaving them out.
#[gtest]
fn windows_that_are_known_are_sent_without_their_counts() {
    let mut machine = Machine::new(Limits::default());
    machine.apply(3, &Command::Usage(window(1)));
    let mut known = machine.usage().clone();
    machine.apply(4, &Command::Usage(window(2)));
    let duties = control::encode_duties(&machine, &[1]).expect("duties");
    expect_that!(duties.usage[0].accounts, is_empty());
    let (_, newer) = control::decode_duties(duties).expect("duties");
    known.update(newer);
    expect_that!(known, eq(machine.usage()));
}

#[gtest]
fn counts_without_an_account_are_an_error() {
    let usage = proto::Usage {
        window: 1,
        accounts: vec!["hule930".to_owned()],
        counts: vec![1, 2],
    };
    expect_that!(usage::Window::try_from(usage), err(anything()));
}
