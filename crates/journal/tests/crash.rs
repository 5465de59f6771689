//! Process kills and disk failures at every operation: synced data is recovered,
//! and unsynced data is recovered either completely or not at all.

mod memory;

use citron_journal::{Error, Journal, Record, Recovered, Settings, Snapshot};
use googletest::prelude::*;
use memory::{Fault, Loss, Memory, Omission};

/// Identity for a folder that has none yet.
const NEW_ID: u64 = 0x00c1_7209;

/// Small segments, so that a short script closes several.
fn settings() -> Settings {
    Settings { segment_bytes: 160 }
}

const LOSSES: [Loss; 8] = [
    Loss::Nothing,
    Loss::Everything,
    Loss::Some(1),
    Loss::Some(2),
    Loss::Some(3),
    Loss::Some(4),
    Loss::Some(5),
    Loss::Some(6),
];

/// One call to the journal.
#[derive(Clone, Debug)]
enum Step {
    /// Appends records with these first and last indexes.
    Append(u64, u64),
    /// Saves the hard state.
    Hard(u8),
    /// Syncs.
    Sync,
    /// Snapshot at an index.
    Snapshot(u64),
    /// Snapshot of another replica.
    Install(u64),
}

/// Appends, truncations, several segments and snapshots of every kind.
const SCRIPT: [Step; 24] = [
    Step::Hard(1),
    Step::Append(1, 2),
    Step::Sync,
    Step::Append(3, 5),
    Step::Hard(2),
    Step::Sync,
    Step::Append(4, 6),
    Step::Sync,
    Step::Append(7, 9),
    Step::Sync,
    Step::Snapshot(4),
    Step::Append(10, 10),
    Step::Hard(3),
    Step::Sync,
    Step::Append(8, 8),
    Step::Append(9, 12),
    Step::Sync,
    Step::Snapshot(12),
    Step::Append(13, 15),
    Step::Sync,
    Step::Install(14),
    Step::Append(15, 16),
    Step::Snapshot(40),
    Step::Append(41, 42),
];

/// What a journal contains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Content {
    hard: Vec<u8>,
    snapshot: Option<Snapshot>,
    records: Vec<Record>,
}

impl Content {
    fn of(recovered: Recovered) -> Self {
        Self {
            hard: recovered.hard,
            snapshot: recovered.snapshot,
            records: recovered.records,
        }
    }

    fn apply(&mut self, step: &Step, salt: usize) {
        match *step {
            Step::Append(first, last) => {
                for record in records(first, last, salt) {
                    self.records.retain(|it| it.index < record.index);
                    self.records.push(record);
                }
            }
            Step::Hard(hard) => self.hard = vec![hard; 5],
            Step::Sync => {}
            Step::Snapshot(index) => {
                self.records.retain(|it| it.index > index);
                self.snapshot = Some(snapshot(index));
            }
            Step::Install(index) => {
                self.records.clear();
                self.snapshot = Some(snapshot(index));
            }
        }
    }
}

fn records(first: u64, last: u64, salt: usize) -> Vec<Record> {
    let data = |index| format!("record {index} of step {salt}").into_bytes();
    let indexes = first..=last;
    indexes
        .map(|index| Record {
            index,
            data: data(index),
        })
        .collect()
}

fn snapshot(index: u64) -> Snapshot {
    let data = format!("state up to {index}").repeat(3).into_bytes();
    Snapshot { index, data }
}

fn call(journal: &mut Journal<Memory>, step: &Step, salt: usize) -> std::result::Result<(), Error> {
    match *step {
        Step::Append(first, last) => journal.append(&records(first, last, salt)),
        Step::Hard(hard) => journal.save_hard(&[hard; 5]),
        Step::Sync => journal.sync(),
        Step::Snapshot(index) => journal.save_snapshot(index, &snapshot(index).data),
        Step::Install(index) => journal.install_snapshot(index, &snapshot(index).data),
    }
}

/// Contents that may be recovered after a failure.
#[derive(Debug)]
struct Allowed {
    /// The last synced content, and those of the step in progress.
    contents: Vec<Content>,
    /// Hard states allowed with any of these contents.
    hard_states: Vec<Vec<u8>>,
}

impl Allowed {
    fn contains(&self, found: &Content) -> bool {
        let same = |it: &Content| it.snapshot == found.snapshot && it.records == found.records;
        self.hard_states.contains(&found.hard) && self.contents.iter().any(same)
    }
}

/// Runs the script until it ends or fails.
fn run(memory: &Memory) -> (Allowed, bool) {
    let mut synced = Content::default();
    let mut allowed = Allowed {
        contents: vec![synced.clone()],
        hard_states: vec![Vec::new()],
    };
    let Ok((mut journal, _)) = Journal::open(settings(), memory.clone(), NEW_ID) else {
        return (allowed, false);
    };
    let mut staged = Content::default();
    for (salt, step) in SCRIPT.iter().enumerate() {
        let before = staged.clone();
        staged.apply(step, salt);
        allowed.contents = vec![synced.clone(), before.clone(), staged.clone()];
        allowed.hard_states = vec![synced.hard.clone(), staged.hard.clone()];
        if call(&mut journal, step, salt).is_err() {
            expect_stopped(memory, &mut journal);
            return (allowed, false);
        }
        if !matches!(step, Step::Append(..) | Step::Hard(_)) {
            synced = staged.clone();
        }
        allowed.contents = vec![synced.clone()];
        allowed.hard_states = vec![synced.hard.clone()];
    }
    (allowed, true)
}

/// After a failure no call touches the disk again.
fn expect_stopped(memory: &Memory, journal: &mut Journal<Memory>) {
    let before = memory.operations();
    assert!(matches!(journal.sync(), Err(Error::Stopped)));
    assert!(matches!(journal.save_hard(&[9]), Err(Error::Stopped)));
    assert!(matches!(journal.append(&[]), Err(Error::Stopped)));
    assert!(matches!(
        journal.save_snapshot(99, &[]),
        Err(Error::Stopped)
    ));
    assert!(matches!(
        journal.install_snapshot(99, &[]),
        Err(Error::Stopped)
    ));
    assert_eq!(memory.operations(), before);
}

fn reopen(memory: &Memory) -> std::result::Result<Content, String> {
    let opened = Journal::open(settings(), memory.clone(), NEW_ID);
    let (_, recovered) = opened.map_err(|error| error.to_string())?;
    Ok(Content::of(recovered))
}

/// One crash at operation `at`; `Ok(true)` when the script ended before it.
fn crash(
    omission: Omission,
    at: usize,
    fault: Fault,
    loss: Loss,
) -> std::result::Result<bool, String> {
    let memory = Memory::with_omission(omission);
    memory.inject(at, fault);
    let (allowed, done) = run(&memory);
    memory.restart(loss);
    let context = |text: String| format!("{omission:?}, {fault:?} at {at}, {loss:?}: {text}");
    let found = reopen(&memory).map_err(context)?;
    if !allowed.contains(&found) {
        return Err(context(format!("found {found:?}, allowed {allowed:?}")));
    }
    // Data that was recovered once must survive the loss of the machine.
    memory.restart(Loss::Everything);
    let again = reopen(&memory).map_err(context)?;
    if again != found {
        return Err(context(format!("found {again:?} after {found:?}")));
    }
    crash_during_recovery(&memory, loss, &found).map_err(context)?;
    fail_during_recovery(&memory, &found).map_err(context)?;
    write_after_recovery(&memory, found).map_err(context)?;
    Ok(done)
}

/// Kills the process at every operation of the recovery.
fn crash_during_recovery(
    memory: &Memory,
    loss: Loss,
    expected: &Content,
) -> std::result::Result<(), String> {
    for at in 0.. {
        memory.restart(loss);
        memory.inject(at, Fault::Stop);
        let done = reopen(memory).is_ok();
        memory.restart(loss);
        let found = reopen(memory)?;
        if found != *expected {
            return Err(format!(
                "found {found:?} after a kill at {at} of the recovery"
            ));
        }
        if done {
            break;
        }
    }
    Ok(())
}

/// Fails every operation of the recovery in the running process, then loses the machine.
fn fail_during_recovery(memory: &Memory, expected: &Content) -> std::result::Result<(), String> {
    for fault in [Fault::Fail, Fault::Forget] {
        for at in 0.. {
            memory.restart(Loss::Nothing);
            memory.inject(at, fault);
            let done = reopen(memory).is_ok();
            for loss in [Loss::Nothing, Loss::Everything] {
                memory.restart(loss);
                let found = reopen(memory)?;
                if found != *expected {
                    return Err(format!(
                        "found {found:?} after {fault:?} at {at} of the recovery and {loss:?}"
                    ));
                }
            }
            if done {
                break;
            }
        }
    }
    Ok(())
}

/// Writes more records after a recovery, then loses the machine again.
fn write_after_recovery(memory: &Memory, mut expected: Content) -> std::result::Result<(), String> {
    memory.restart(Loss::Everything);
    let opened = Journal::open(settings(), memory.clone(), NEW_ID);
    let (mut journal, _) = opened.map_err(|error| error.to_string())?;
    for salt in 100..104 {
        let next = journal.last() + 1;
        for step in [Step::Append(next, next + 1), Step::Hard(7), Step::Sync] {
            expected.apply(&step, salt);
            call(&mut journal, &step, salt).map_err(|error| error.to_string())?;
        }
    }
    drop(journal);
    memory.restart(Loss::Everything);
    let found = reopen(memory)?;
    if found != expected {
        return Err(format!("found {found:?}, wrote {expected:?}"));
    }
    Ok(())
}

/// Crashes at every operation, with both faults and every loss, up to the first violation.
fn sweep(omission: Omission) -> std::result::Result<usize, String> {
    let mut crashes = 0;
    for fault in [Fault::Stop, Fault::Fail, Fault::Forget] {
        for loss in LOSSES {
            for at in 0.. {
                crashes += 1;
                if crash(omission, at, fault, loss)? {
                    break;
                }
            }
        }
    }
    Ok(crashes)
}

#[gtest]
fn what_was_synced_survives_a_failure_at_any_operation() {
    let crashes = sweep(Omission::None).unwrap_or_else(|violation| panic!("{violation}"));
    expect_that!(crashes, gt(1_000));
}

/// The machine is lost while a process that replaces a killed one opens the folder.
#[gtest]
fn a_kill_and_then_a_loss_during_the_recovery_lose_nothing_synced() {
    let mut losses = 0;
    for fault in [Fault::Stop, Fault::Fail, Fault::Forget] {
        for at in 0.. {
            let memory = Memory::default();
            memory.inject(at, fault);
            let (allowed, done) = run(&memory);
            memory.restart(Loss::Nothing);
            for step in 0.. {
                let mut opened = false;
                for loss in LOSSES {
                    let memory = memory.fork();
                    memory.inject(step, Fault::Stop);
                    opened = reopen(&memory).is_ok();
                    memory.restart(loss);
                    let found = reopen(&memory).unwrap_or_else(|error| {
                        panic!(
                            "{fault:?} at {at}, then {loss:?} at {step} of the recovery: {error}"
                        )
                    });
                    assert!(
                        allowed.contains(&found),
                        "{fault:?} at {at}, then {loss:?} at {step} of the recovery: found {found:?}"
                    );
                    losses += 1;
                }
                if opened {
                    break;
                }
            }
            if done {
                break;
            }
        }
    }
    expect_that!(losses, gt(10_000));
}

#[gtest]
fn the_sweep_notices_a_missing_sync_of_the_folder() {
    expect_that!(sweep(Omission::FolderSync), err(anything()));
}

#[gtest]
fn the_sweep_notices_a_snapshot_renamed_before_its_sync() {
    expect_that!(sweep(Omission::FileSync("snapshot.tmp")), err(anything()));
}

#[gtest]
fn the_sweep_notices_an_identity_renamed_before_its_sync() {
    expect_that!(sweep(Omission::FileSync("replica.tmp")), err(anything()));
}

#[gtest]
fn the_sweep_notices_a_missing_sync_of_the_log() {
    expect_that!(sweep(Omission::FileSync("log-")), err(anything()));
}

#[gtest]
fn the_sweep_notices_a_torn_tail_that_is_not_cut() {
    expect_that!(sweep(Omission::Truncate), err(anything()));
}
