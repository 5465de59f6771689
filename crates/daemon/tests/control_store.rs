//! A replica on a disk that stops or fails at each operation in turn, and that
//! loses, tears or keeps unsynced data.
//!
//! The replica is the only voter, so the changes it has answered are stored only
//! in its own data folder.

#[path = "../../journal/tests/memory/mod.rs"]
mod memory;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use citron_daemon::control::Store;
use citron_policy::{
    catalogue::{Change, Class, Entry},
    id::Index,
    raft::{Effect, Event, Node, Payload, Proposal, Role, Settings},
    state::{Answer, Command, Limits, Machine},
};
use citron_wire::control;
use googletest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

use memory::{Fault, Loss, Memory, Omission};

/// Changes sent in one run, if no fault ends it.
const CHANGES: u64 = 24;

/// Changes between two snapshots.
const SNAPSHOT_CHANGES: u64 = 7;

struct Replica {
    node: Node,
    store: Store<Memory>,
    machine: Machine,
    now: Instant,
    rng: StdRng,
    answers: Vec<Answer>,
}

impl Replica {
    fn open(disk: &Memory) -> Result<Self, citron_daemon::control::Error> {
        let (store, stored, machine) = Store::open(disk.clone(), Limits::default())?;
        let mut rng = StdRng::seed_from_u64(1);
        let now = Instant::now();
        Ok(Self {
            node: Node::new(now, Settings::default(), stored, &mut rng),
            store,
            machine,
            now,
            rng,
            answers: Vec::new(),
        })
    }

    /// Processes an event as the replica thread does; false when the disk failed.
    fn event(&mut self, event: Event) -> bool {
        let effects = self.node.on_event(self.now, event, &mut self.rng);
        if self.store.persist(&effects).is_err() {
            return false;
        }
        for effect in effects {
            if let Effect::Commit(entries) = effect {
                for entry in entries {
                    let command = match &entry.payload {
                        Payload::Command(command) => command.as_ref().clone(),
                        Payload::Noop | Payload::Voters(_) => Command::Noop,
                    };
                    let answer = self.machine.apply(entry.index, &command).answer;
                    self.answers.push(answer);
                }
            }
        }
        true
    }

    /// Forms the cluster if needed, and becomes leader; false when the disk failed.
    fn lead(&mut self) -> bool {
        let voters = vec![self.node.id()];
        if !self.node.formed() && !self.event(Event::Init { token: 1, voters }) {
            return false;
        }
        for _ in 0..200 {
            if self.node.standing().role == Role::Leader {
                return true;
            }
            self.now += Duration::from_millis(20);
            if !self.event(Event::Tick) {
                return false;
            }
        }
        false
    }

    /// Sends one change; returns the revision if it was answered.
    fn change(&mut self, number: u64) -> Option<u64> {
        let command = Command::Change {
            change: Arc::new(change(number)),
            at: std::time::SystemTime::UNIX_EPOCH,
        };
        let proposal = Proposal {
            token: 100 + number,
            command: Arc::new(command),
        };
        if !self.event(Event::Propose(vec![proposal])) {
            return None;
        }
        match self.answers.last() {
            Some(Answer::Change(Ok(revision))) => Some(*revision),
            _ => None,
        }
    }

    fn compact(&mut self) -> bool {
        let index: Index = self.machine.index();
        let data = Arc::from(control::encode_machine(&self.machine));
        self.event(Event::Compact { index, data })
    }
}

fn change(number: u64) -> Change {
    let class = Class {
        name: format!("class-{number}"),
        owner: "desk".to_owned(),
        tier: 0,
        first_token: Duration::from_secs(1),
        between_tokens: Duration::from_secs(1),
        whole: Duration::from_secs(1),
        wait_bound: Duration::from_secs(1),
        queue_limit: 1,
        preemptible: false,
    };
    Change {
        id: format!("c{number}"),
        base: number,
        operator: "ann".to_owned(),
        puts: vec![Entry::Class(Arc::new(class))],
        removes: Vec::new(),
    }
}

/// Sends all changes until a disk fault ends the run; returns the last revision answered.
fn run_changes(disk: &Memory) -> u64 {
    let Ok(mut replica) = Replica::open(disk) else {
        return 0;
    };
    if !replica.lead() {
        return 0;
    }
    let mut answered = 0;
    for number in 0..CHANGES {
        let Some(revision) = replica.change(number) else {
            return answered;
        };
        answered = revision;
        if number % SNAPSHOT_CHANGES == SNAPSHOT_CHANGES - 1 && !replica.compact() {
            return answered;
        }
    }
    answered
}

/// State recovered from the folder after a restart; none if the folder does not open.
fn recover(disk: &Memory) -> Option<Machine> {
    let mut replica = Replica::open(disk).ok()?;
    assert!(replica.lead(), "the replica leads on the repaired disk");
    Some(replica.machine)
}

fn count_operations() -> usize {
    let disk = Memory::default();
    assert_eq!(run_changes(&disk), CHANGES, "a run without faults");
    disk.operations()
}

/// Number of runs, over all faults and losses, after which the recovered revision is wrong.
fn count_lost(omission: Omission, losses: &[Loss]) -> u64 {
    let mut lost = 0;
    for at in 0..count_operations() {
        for fault in [Fault::Stop, Fault::Fail] {
            for loss in losses {
                let disk = Memory::with_omission(omission);
                disk.inject(at, fault);
                let answered = run_changes(&disk);
                disk.restart(*loss);
                let revision = recover(&disk).map_or(0, |it| it.catalogue().revision);
                // One more change may be stored whose answer was lost.
                let known = answered..=answered + 1;
                if !known.contains(&revision) {
                    lost += 1;
                }
            }
        }
    }
    lost
}

#[gtest]
fn answered_changes_survive_a_stop_or_failure_at_any_operation() {
    let losses = [
        Loss::Nothing,
        Loss::Everything,
        Loss::Some(1),
        Loss::Some(2),
        Loss::Some(3),
    ];
    println!("operations {}", count_operations());
    expect_that!(count_lost(Omission::None, &losses), eq(0));
}

#[gtest]
fn a_disk_whose_syncs_do_nothing_is_noticed() {
    expect_that!(
        count_lost(Omission::FileSync(""), &[Loss::Everything]),
        gt(0)
    );
}
