//! Structured logs on standard output, one JSON object a line.
//!
//! Lines go through a queue of fixed size to a thread that writes them, so that
//! a reader who stalls never holds up a request. What finds no room is dropped
//! and counted, and the next line that is written says how many were. A process
//! that ends waits a moment for the lines that still wait.

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

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 2_048;

/// Longest wait of a process that ends for its last lines; far below the least
/// time that a service manager leaves between its two signals.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause before a full queue is tried again by a process that ends.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// Length of an event number at the start of a message, such as `CP0101`.
const CODE_BYTES: usize = 6;

/// Name of the writer's thread.
const THREAD: &str = "output";

/// Lines that found no room.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that found no room since the start.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Sends the logs of the process to standard output from now on.
///
/// # Errors
/// When logs go elsewhere already.
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
    /// A logger whose lines go to a sink, written by a thread of its own.
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
            eprintln!("no thread for the logs: {error}: check the thread limit");
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

    /// Waits a bounded time until the lines so far are written.
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
        // A reader that stalls for longer loses the last lines.
        let _ = waiting.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

/// What goes through the queue.
#[derive(Debug)]
enum Entry {
    Line(String),
    /// Tells a waiting thread that everything before it is written.
    Flush(SyncSender<()>),
}

/// Writes lines until the process ends.
fn write<W>(entries: &Receiver<Entry>, mut sink: W)
where
    W: Write,
{
    let mut reported = 0;
    while let Ok(entry) = entries.recv() {
        let line = match entry {
            Entry::Line(line) => line,
            Entry::Flush(written) => {
                // Whoever waited too long is gone.
                let _ = written.try_send(());
                continue;
            }
        };
        let lost = dropped();
        if lost > reported {
            let note = json!({"level": "WARN", "event": "CP0113", "dropped": lost - reported,
                "message": "log lines dropped: the reader of standard output is too slow"});
            reported = lost;
            if writeln!(sink, "{note}").is_err() {
                return;
            }
        }
        if sink.write_all(line.as_bytes()).is_err() {
            return;
        }
    }
}

/// One record as a line.
fn line(record: &Record<'_>) -> String {
    let at = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
    let mut fields = Fields(Map::new());
    fields.0.insert("at_ms".to_owned(), json!(at));
    fields
        .0
        .insert("level".to_owned(), json!(record.level().as_str()));
    // A field that cannot be shown is left out; the others still are.
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

/// The event number that a message begins with, and the rest of it.
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
