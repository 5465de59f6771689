//! The journal on the real file system.

use citron_journal::{Disk, Error, Journal, Record, Settings};
use googletest::prelude::*;

fn open(
    folder: &std::path::Path,
    id: u64,
) -> std::result::Result<(Journal<Disk>, citron_journal::Recovered), Error> {
    let disk = Disk::new(folder).expect("the folder can be made");
    let settings = Settings {
        segment_bytes: 4_096,
    };
    Journal::open(settings, disk, id)
}

#[gtest]
fn hundreds_of_records_and_a_snapshot_come_back() {
    let folder = tempfile::tempdir().expect("a folder");
    let data = folder.path().join("data");
    let record = |index| Record {
        index,
        data: vec![1; 100],
    };
    let (mut journal, first) = open(&data, 5).expect("created");
    expect_that!(first.id, eq(5));
    for index in 1..=500 {
        journal.append(&[record(index)]).expect("staged");
        journal.sync().expect("synced");
        if index == 300 {
            journal.save_snapshot(290, b"state").expect("saved");
        }
    }
    journal.save_hard(b"term 3").expect("staged");
    journal.sync().expect("synced");
    drop(journal);
    let (_, recovered) = open(&data, 6).expect("opened");
    expect_that!(recovered.id, eq(5));
    expect_that!(recovered.hard, eq(b"term 3"));
    expect_that!(recovered.snapshot.map(|it| it.index), some(eq(290)));
    expect_that!(
        recovered.records,
        eq(&(291..=500).map(record).collect::<Vec<_>>())
    );
}

#[gtest]
fn a_folder_in_use_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let first = open(folder.path(), 1).expect("created");
    expect_that!(open(folder.path(), 2).err(), some(pat!(Error::Locked)));
    drop(first);
    expect_that!(
        open(folder.path(), 3).map(|(_, it)| it.id).ok(),
        some(eq(1))
    );
}
