//! Structured logs on standard output, one JSON object per line.
//!
//! Lines go through a queue of fixed size to a writer thread, so that a reader
//! that stalls never delays a request. Lines that do not fit into the queue are
//! dropped and counted, and the count is written before the next line. A process
//! that ends waits a bounded time for the queued lines.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use log::{
    Level, LevelFilter, Log, Metadata, Record, SetLoggerError,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::{Map, json};

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 2_048;

/// Maximum wait for the last lines when the process ends; far below the minimum
/// time that a service manager leaves between its two signals.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which a flush retries a full queue.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// Length of an event number at the start of a message, such as `CP0101`, in bytes.
const CODE_BYTES: usize = 6;

/// Name of the writer thread.
const THREAD: &str = "output";

/// Lines dropped because the queue was full or the output failed.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start because the queue was full or the output failed.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Installs the logger that writes to standard output.
///
/// # Errors
/// If the process already has a logger.
pub fn start(level: LevelFilter) -> Result<(), SetLoggerError> {
    log::set_boxed_logger(Box::new(Output::new(level, io::stdout())))?;
    log::set_max_level(level);
    Ok(())
}

/// A logger that never blocks.
#[derive(Debug)]
pub struct Output {
    queue: SyncSender<Entry>,
    level: LevelFilter,
}

impl Output {
    /// A logger with its own thread that writes to `sink`.
    #[must_use]
    pub fn new<W>(level: LevelFilter, sink: W) -> Self
    where
        W: Write + Send + 'static,
    {
        let (queue, entries) = sync_channel(QUEUE_LINES);
        let spawned = thread::Builder::new()
            .name(THREAD.to_owned())
            .spawn(move || write(&entries, sink));
        if let Err(error) = spawned {
            eprintln!("cannot start the log thread: {error}: check the thread limit");
        }
        Self { queue, level }
    }
}

impl Log for Output {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let own = metadata.target().starts_with("citron");
        metadata.level() <= self.level && (own || metadata.level() <= Level::Warn)
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata())
            && self.queue.try_send(Entry::Line(line(record))).is_err()
        {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits, at most [`FLUSH_TIMEOUT`], until the lines queued so far are written.
    fn flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (written, waiting) = sync_channel(1);
        let mut entry = Entry::Flush(written);
        loop {
            match self.queue.try_send(entry) {
                Ok(()) => break,
                Err(TrySendError::Full(back)) if Instant::now() < deadline => {
                    entry = back;
                    thread::sleep(FLUSH_PAUSE);
                }
                Err(_) => return,
            }
        }
        // If the reader stalls for longer, the last lines are lost.
        let _ = waiting.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

/// An item in the queue.
#[derive(Debug)]
enum Entry {
    Line(String),
    /// Notifies the waiting thread that all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Writes lines until the process ends or nobody can read them any more.
///
/// Other failures pass, such as that of a full disk: the line counts as dropped.
fn write<W>(entries: &Receiver<Entry>, mut sink: W)
where
    W: Write,
{
    let mut reported = 0;
    let mut torn = false;
    while let Ok(entry) = entries.recv() {
        let line = match entry {
            Entry::Line(line) => line,
            Entry::Flush(written) => {
                // The receiver is gone if its wait timed out.
                let _ = written.try_send(());
                continue;
            }
        };
        let mut text = String::new();
        if torn {
            text.push('\n');
        }
        let lost = dropped();
        if lost > reported {
            let note = json!({"level": "WARN", "event": "CP0113", "dropped": lost - reported,
                "message": "log lines dropped: standard output took them too late or not at all"});
            text.push_str(&note.to_string());
            text.push('\n');
        }
        text.push_str(&line);
        match sink.write_all(text.as_bytes()) {
            Ok(()) => (reported, torn) = (lost, false),
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => return,
            Err(_) => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
                torn = true;
            }
        }
    }
}

/// Formats a record as one line.
fn line(record: &Record<'_>) -> String {
    let at = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
    let mut fields = Fields(Map::new());
    fields.0.insert("at_ms".to_owned(), json!(at));
    fields
        .0
        .insert("level".to_owned(), json!(record.level().as_str()));
    // A field that cannot be serialized is left out; the line is still written.
    drop(record.key_values().visit(&mut fields));
    let text = record.args().to_string();
    let (code, message) = split_code(&text);
    if let Some(code) = code {
        fields.0.insert("event".to_owned(), json!(code));
    }
    fields.0.insert("message".to_owned(), json!(message));
    let mut line = serde_json::Value::Object(fields.0).to_string();
    line.push('\n');
    line
}

/// Splits the event number off the start of a message.
fn split_code(text: &str) -> (Option<&str>, &str) {
    match text.split_once(' ') {
        Some((code, rest)) if code.len() == CODE_BYTES && code.starts_with("CP") => {
            (Some(code), rest)
        }
        _ => (None, text),
    }
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let shown = serde_json::to_value(&value).map_err(kv::Error::boxed)?;
        if !shown.is_null() {
            self.0.insert(key.to_string(), shown);
        }
        Ok(())
    }
}
