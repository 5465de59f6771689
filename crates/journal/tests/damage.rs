//! Damaged, missing and foreign files: opening fails with an error that names
//! the remedy; only a torn tail is truncated.

mod memory;

use citron_journal::{Error, Journal, Record, Settings};
use googletest::prelude::*;
use memory::{Loss, Memory};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const NEW_ID: u64 = 7;

fn settings() -> Settings {
    Settings { segment_bytes: 200 }
}

fn open(memory: &Memory) -> std::result::Result<Vec<Record>, Error> {
    memory.restart(Loss::Nothing);
    let (_, recovered) = Journal::open(settings(), memory.clone(), 99)?;
    Ok(recovered.records)
}

fn record(index: u64) -> Record {
    let data = format!("record {index}").into_bytes();
    Record { index, data }
}

/// A folder with one batch per record, in several segments.
fn folder(last: u64) -> Memory {
    let memory = Memory::default();
    let (mut journal, _) = Journal::open(settings(), memory.clone(), NEW_ID).expect("a folder");
    for index in 1..=last {
        journal.append(&[record(index)]).expect("staged");
        journal.sync().expect("synced");
    }
    memory
}

fn newest(memory: &Memory, prefix: &str) -> (String, Vec<u8>) {
    let files = memory.files().into_iter();
    files
        .filter(|(name, _)| name.starts_with(prefix))
        .max()
        .expect("a file of the kind")
}

#[gtest]
fn every_flipped_bit_is_refused_or_in_the_last_marker() {
    let whole = folder(12);
    for (name, content) in whole.files() {
        for at in 0..content.len() {
            let memory = Memory::default();
            for (name, content) in whole.files() {
                memory.put(&name, &content);
            }
            memory.tamper(&name, |bytes| bytes[at] ^= 1 << (at % 8));
            match open(&memory) {
                Ok(records) => expect_that!(records.len(), eq(12), "{name} at {at}"),
                Err(error) => expect_remedy(&error),
            }
        }
    }
}

fn expect_remedy(error: &Error) {
    let text = error.to_string();
    let remedies = ["replace-replica", "program version", "never copy files"];
    expect_true!(remedies.iter().any(|it| text.contains(it)));
}

#[gtest]
fn a_flipped_bit_in_a_synced_record_is_refused() {
    let memory = folder(3);
    memory.tamper("log-0000000000000001", |bytes| {
        let length = bytes.len();
        bytes[length - 20] ^= 4;
    });
    let error = open(&memory).expect_err("damage");
    expect_that!(error, pat!(Error::Damaged { .. }));
    expect_that!(
        error.to_string(),
        contains_substring("citronctl replace-replica")
    );
}

#[gtest]
fn a_torn_tail_without_its_marker_is_cut() {
    let memory = folder(3);
    memory.tamper("log-0000000000000001", |bytes| {
        bytes.truncate(bytes.len() - 11);
    });
    expect_that!(open(&memory), ok(len(eq(2))));
    expect_that!(open(&memory), ok(len(eq(2))));
}

#[gtest]
fn a_missing_segment_is_refused() {
    let whole = folder(12);
    let segments: Vec<String> = whole.files().into_iter().map(|(name, _)| name).collect();
    for name in segments.iter().filter(|name| name.starts_with("log-")) {
        let memory = folder(12);
        memory.delete(name);
        let error = open(&memory).expect_err("a missing segment");
        expect_that!(error, pat!(Error::Missing { .. }), "{name}");
    }
}

#[gtest]
fn a_missing_identity_is_refused_and_no_new_one_is_made() {
    let memory = folder(3);
    memory.delete("replica");
    expect_that!(open(&memory), err(pat!(Error::Missing { .. })));
    expect_that!(
        memory.files().iter().any(|(name, _)| name == "replica"),
        eq(false)
    );
}

#[gtest]
fn a_missing_or_damaged_snapshot_is_refused() {
    for damage in [true, false] {
        let memory = folder(12);
        memory.restart(Loss::Nothing);
        let (mut journal, _) = Journal::open(settings(), memory.clone(), 99).expect("opened");
        journal.save_snapshot(12, b"state").expect("saved");
        let (name, _) = newest(&memory, "snapshot-");
        if damage {
            memory.tamper(&name, |bytes| bytes[41] ^= 1);
        } else {
            memory.delete(&name);
        }
        let error = open(&memory).expect_err("refused");
        expect_that!(
            error.to_string(),
            contains_substring("citronctl replace-replica")
        );
    }
}

#[gtest]
fn a_file_of_another_replica_is_refused() {
    let (memory, other) = (Memory::default(), folder(2));
    Journal::open(settings(), memory.clone(), 8).expect("a folder");
    for (name, content) in other.files() {
        if name.starts_with("log-") {
            memory.put(&name, &content);
        }
    }
    expect_that!(
        open(&memory),
        err(pat!(Error::Foreign {
            theirs: eq(&7),
            ours: eq(&8),
            ..
        }))
    );
}

#[gtest]
fn a_second_opener_is_refused() {
    let memory = Memory::default();
    let _first = Journal::open(settings(), memory.clone(), 7).expect("a folder");
    let second = Journal::open(settings(), memory, 8);
    expect_that!(second.err(), some(pat!(Error::Locked)));
}

#[gtest]
fn a_gap_below_or_above_is_refused() {
    let memory = folder(4);
    memory.restart(Loss::Nothing);
    let (mut journal, _) = Journal::open(settings(), memory, 99).expect("opened");
    journal.save_snapshot(3, b"state").expect("saved");
    expect_that!(journal.append(&[record(3)]), err(pat!(Error::Gap { .. })));
    expect_that!(journal.append(&[record(6)]), err(pat!(Error::Gap { .. })));
    expect_that!(journal.append(&[record(4), record(5)]), ok(eq(&())));
}

fn runner() -> TestRunner {
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Garbage in any file gives an error or a truncated log, never a panic and
/// never a record that was not written.
#[gtest]
fn garbage_in_files_is_an_error_or_a_cut() {
    let garbage = (
        any::<prop::sample::Index>(),
        any::<prop::sample::Index>(),
        prop::collection::vec(any::<u8>(), 0..80),
        any::<bool>(),
    );
    let outcome = runner().run(&garbage, |(file, at, bytes, replace)| {
        let memory = folder(9);
        let mut files = memory.files();
        let (name, content) = files.swap_remove(file.index(files.len()));
        let at = at.index(content.len());
        memory.tamper(&name, |it| {
            it.truncate(at);
            it.extend_from_slice(&bytes);
            if !replace {
                it.extend_from_slice(&content[at..]);
            }
        });
        if let Ok(records) = open(&memory) {
            let written: Vec<Record> = (1..=9).map(record).collect();
            prop_assert!(written.starts_with(&records));
        }
        Ok(())
    });
    expect_that!(outcome, ok(eq(&())));
}

/// A folder that contains only garbage under valid file names.
#[gtest]
fn files_of_garbage_never_panic() {
    let names = prop::sample::select(vec![
        "replica",
        "log-0000000000000001",
        "log-ffffffffffffffff",
        "snapshot-0000000000000005",
        "snapshot-ffffffffffffffff",
        "snapshot.tmp",
    ]);
    let files = prop::collection::vec((names, prop::collection::vec(any::<u8>(), 0..200)), 1..5);
    let outcome = runner().run(&files, |files| {
        let memory = Memory::default();
        for (name, content) in files {
            memory.put(name, &content);
        }
        drop(open(&memory));
        Ok(())
    });
    expect_that!(outcome, ok(eq(&())));
}
