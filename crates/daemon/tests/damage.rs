//! A damaged data folder, with real processes: the daemon refuses to start and
//! names the remedy, while the others keep working.

mod common;

use std::{
    fs,
    panic::{AssertUnwindSafe, catch_unwind},
    path::{Path, PathBuf},
};

use common::{
    cluster::{Cluster, Plan, catalogue},
    eventually,
};
use googletest::prelude::*;
use serde_json::{Value, json};

fn start() -> Cluster {
    let cluster = Cluster::start_bare(Plan {
        engines: 0,
        services: 0,
        ..Plan::default()
    });
    cluster.form();
    cluster.apply("first", &catalogue());
    // Wait until every replica has synced the change, before one of them is damaged.
    for number in 0..cluster.daemons.len() {
        wait_in_force(&cluster, number, 1);
    }
    cluster
}

fn wait_in_force(cluster: &Cluster, number: usize, revision: u64) {
    eventually("the revision is in force", || {
        let reply = cluster.admin(number, "GET", "/v1/catalogue", &Value::Null);
        let found = (reply.status == 200).then(|| reply.json()["revision"].as_u64())??;
        (found == revision).then_some(())
    });
}

/// The oldest journal segment in a data folder.
fn segment(folder: &Path) -> PathBuf {
    let names = fs::read_dir(folder).expect("the data folder");
    let paths = names.map(|it| it.expect("an entry").path());
    let is_segment = |it: &PathBuf| {
        let name = it.file_name().unwrap_or_default().to_string_lossy();
        name.starts_with("log-")
    };
    paths.filter(is_segment).min().expect("a segment")
}

/// Restarts a daemon that must refuse to start; returns its log.
fn restart_refused(cluster: &mut Cluster, number: usize) -> String {
    let started = catch_unwind(AssertUnwindSafe(|| cluster.restart(number)));
    assert!(started.is_err(), "the daemon started");
    let name = format!("{}.log", cluster.daemons[number].name);
    fs::read_to_string(cluster.folder().join(name)).expect("a log")
}

#[gtest]
fn a_damaged_journal_is_refused_with_its_remedy_and_the_others_go_on() {
    let mut cluster = start();
    cluster.daemons[2].process.kill();
    let path = segment(&cluster.folder().join("entry-2"));
    let mut bytes = fs::read(&path).expect("a segment");
    // A byte in the first record, well before the last marker.
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&path, bytes).expect("written");
    let log = restart_refused(&mut cluster, 2);
    expect_that!(log, contains_substring("is damaged at byte"));
    expect_that!(log, contains_substring("citronctl replace-replica"));
    let puts = json!([catalogue()[0]]);
    expect_that!(cluster.apply("second", &puts), eq(2));
    wait_in_force(&cluster, 0, 2);
    wait_in_force(&cluster, 1, 2);
}

#[gtest]
fn a_torn_last_record_is_cut_and_the_daemon_comes_back() {
    let mut cluster = start();
    cluster.daemons[2].process.kill();
    let path = segment(&cluster.folder().join("entry-2"));
    let mut bytes = fs::read(&path).expect("a segment");
    // The start of a record that was never synced.
    bytes.extend_from_slice(&[200, 0, 0, 0, 1, 2, 3]);
    fs::write(&path, bytes).expect("written");
    cluster.restart(2);
    wait_in_force(&cluster, 2, 1);
    cluster.apply("second", &json!([catalogue()[0]]));
    wait_in_force(&cluster, 2, 2);
}
