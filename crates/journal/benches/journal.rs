//! Time and bytes of a sync by batch size, and of opening a folder by its size.
//!
//! Prints one JSON object per line. The disk dominates the results, so the lines
//! also give the time of a plain append and sync of the same bytes.

use std::{
    fs::OpenOptions,
    io::Write,
    path::Path,
    time::{Duration, Instant},
};

use citron_journal::{Disk, Journal, Record, Settings};

/// Bytes of one record; about a ledger claim with its framing.
const RECORD_BYTES: usize = 200;

/// Records per batch.
const BATCHES: [u64; 4] = [1, 16, 128, 1_024];

/// Batches per measurement.
const ROUNDS: usize = 400;

/// Records in an opened folder.
const FOLDERS: [u64; 3] = [1_000, 10_000, 50_000];

fn main() {
    let points: Vec<(f64, f64)> = BATCHES.iter().map(|records| sync(*records)).collect();
    let (fixed, each) = fit(&points);
    println!(
        r#"{{"bench":"journal.sync.fit","fixed_us":{:.1},"per_record_us":{:.3}}}"#,
        fixed * 1e6,
        each * 1e6
    );
    let points: Vec<(f64, f64)> = FOLDERS.iter().map(|records| open(*records)).collect();
    let (_, each) = fit(&points);
    println!(
        r#"{{"bench":"journal.open.fit","per_record_us":{:.3}}}"#,
        each * 1e6
    );
}

/// Syncs batches of this many records; returns the size and the median time.
fn sync(records: u64) -> (f64, f64) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = create(folder.path());
    let mut times = Vec::with_capacity(ROUNDS);
    for _ in 0..ROUNDS {
        let next = journal.last() + 1;
        let batch: Vec<Record> = (next..next + records).map(record).collect();
        let start = Instant::now();
        journal.append(&batch).expect("staged");
        journal.sync().expect("synced");
        times.push(start.elapsed());
    }
    let (p50, p99) = percentiles(&mut times);
    let bare = sync_plain_file(folder.path(), records);
    println!(
        r#"{{"bench":"journal.sync","records":{records},"record_bytes":{RECORD_BYTES},"batches":{ROUNDS},"p50_us":{:.1},"p99_us":{:.1},"bare_p50_us":{:.1}}}"#,
        micros(p50),
        micros(p99),
        micros(bare)
    );
    (to_f64(records), p50.as_secs_f64())
}

/// Median time to append and sync the same bytes to a plain file.
fn sync_plain_file(folder: &Path, records: u64) -> Duration {
    let path = folder.join("bare");
    let options = OpenOptions::new().create(true).append(true).open(path);
    let mut file = options.expect("a file");
    let bytes = vec![7; RECORD_BYTES * usize::try_from(records).expect("a small batch")];
    let mut times = Vec::with_capacity(ROUNDS);
    for _ in 0..ROUNDS {
        let start = Instant::now();
        file.write_all(&bytes).expect("written");
        file.sync_data().expect("synced");
        times.push(start.elapsed());
    }
    percentiles(&mut times).0
}

/// Opens a folder with this many records; returns the number and the time.
fn open(records: u64) -> (f64, f64) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut journal = create(folder.path());
    for index in 1..=records {
        journal.append(&[record(index)]).expect("staged");
        if index % 100 == 0 {
            journal.sync().expect("synced");
        }
    }
    drop(journal);
    let start = Instant::now();
    let disk = Disk::new(folder.path()).expect("the folder");
    let (_, recovered) = Journal::open(Settings::default(), disk, 2).expect("opened");
    let time = start.elapsed();
    let found = recovered.records.len();
    println!(
        r#"{{"bench":"journal.open","records":{found},"ms":{:.2}}}"#,
        time.as_secs_f64() * 1e3
    );
    (to_f64(records), time.as_secs_f64())
}

fn create(folder: &Path) -> Journal<Disk> {
    let disk = Disk::new(folder).expect("the folder");
    Journal::open(Settings::default(), disk, 1)
        .expect("created")
        .0
}

fn record(index: u64) -> Record {
    Record {
        index,
        data: vec![7; RECORD_BYTES],
    }
}

fn percentiles(times: &mut [Duration]) -> (Duration, Duration) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).expect("a small number"))
}

/// Least squares fit: value at zero, and slope.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = to_f64(points.len() as u64);
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|it| (it.0 - mean_x) * (it.1 - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope.mul_add(-mean_x, mean_y), slope)
}
