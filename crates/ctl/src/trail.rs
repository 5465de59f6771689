//! Reconstructs one request from the logs of all processes.
//!
//! Reads structured log files with one JSON object per line, optionally preceded
//! by a prefix that names the origin of the line. Memory use is bounded: only the
//! lines of the request are kept, and cluster events close to it in time that
//! mention the processes and runners it used.

mod cause;

use std::{
    collections::BTreeSet,
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
    time::Duration,
};

use derive_more::{Display, Error};
use serde_json::{Map, Value};

pub use cause::cause;

/// How long before the request cluster events are shown; longer than it takes to
/// declare a member dead or a lease expired.
const CONTEXT_BEFORE: Duration = Duration::from_secs(10);

/// How long after the last line of the request cluster events are shown.
const CONTEXT_AFTER: Duration = Duration::from_secs(2);

/// Cluster events that are kept; older ones are dropped.
const MAX_CONTEXT_LINES: usize = 40;

/// Shortest gap between lines that is reported as silence of a process; under
/// load each process writes many lines a second.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);

/// How long an unfinished request may have stayed in progress after its last line;
/// longer than callers wait.
const MAX_IN_PROGRESS: Duration = Duration::from_secs(20);

/// Event of a request that was sent to a runner and is in progress.
const SENT: &str = "CP1001";

/// Fields of a line that name another process or a runner.
const NAME_FIELDS: [&str; 3] = ["runner", "arbiter", "address"];

/// Event that a process writes once it has started.
const STARTED: &str = "CP0101";

/// A log file that could not be read.
#[derive(Debug, Display, Error)]
#[display("{} cannot be read: {source}", file.display())]
pub struct Unreadable {
    file: PathBuf,
    source: io::Error,
}

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Wall clock of the process, ms since 1970.
    pub at_ms: u64,
    /// Process that wrote it: the last word before the JSON object, or else the file.
    pub origin: String,
    /// Event number; empty if it has none.
    pub event: String,
    /// All fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; `None` unless it has a JSON object with a time.
    fn read(text: &str, file: &Path) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let before = text[..start].split_whitespace().last();
        let origin = before.map_or_else(|| file.display().to_string(), str::to_owned);
        let event = fields.get("event").and_then(Value::as_str);
        Some(Self {
            at_ms: fields.get("at_ms")?.as_u64()?,
            origin,
            event: event.unwrap_or_default().to_owned(),
            fields,
        })
    }

    /// A field as text; empty if it is missing.
    #[must_use]
    pub fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// A field as a number.
    #[must_use]
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }
}

/// A gap in the log lines of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Silence {
    /// The process.
    pub origin: String,
    /// Time of the last line before the gap, ms since 1970.
    pub from_ms: u64,
    /// Time of the first line after the gap, if there is one, ms since 1970.
    pub to_ms: Option<u64>,
    /// Whether the process was restarted during the gap.
    pub restarted: bool,
}

/// The log lines about a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trail {
    /// Lines of the request, by time.
    pub lines: Vec<Line>,
    /// Cluster events around it, by time.
    pub context: Vec<Line>,
    /// Silence of the process that handled the request, during or right after it.
    pub silence: Option<Silence>,
}

impl Trail {
    /// Reads the lines about a request from files.
    ///
    /// # Errors
    /// [`Unreadable`] for the first file that cannot be read.
    pub fn read(files: &[PathBuf], request: &str) -> Result<Self, Unreadable> {
        let mut trail = Self::default();
        each_line(files, |line| {
            if line.text("request") == request {
                trail.lines.push(line);
            }
        })?;
        trail.lines.sort_by_key(|it| it.at_ms);
        if let (Some(first), Some(last)) = (trail.lines.first(), trail.lines.last()) {
            let mut context = Context::new(&trail.lines, first, last);
            each_line(files, |line| context.add(line))?;
            (trail.context, trail.silence) = context.finish();
        }
        Ok(trail)
    }
}

/// Collects what happened around a request: its time range, processes and runners.
struct Context {
    origin: String,
    first_ms: u64,
    last_ms: u64,
    /// Latest time at which the request may still have been in progress, ms since 1970.
    in_progress_until_ms: u64,
    names: BTreeSet<String>,
    lines: Vec<Line>,
    /// Times of the lines of the process, and whether each one reports its start.
    line_times: Vec<(u64, bool)>,
}

impl Context {
    fn new(lines: &[Line], first: &Line, last: &Line) -> Self {
        let named = lines.iter().flat_map(|line| {
            NAME_FIELDS
                .iter()
                .map(|field| line.text(field).to_owned())
                .filter(|name| !name.is_empty())
        });
        let more = if last.event == SENT {
            MAX_IN_PROGRESS
        } else {
            Duration::ZERO
        };
        Self {
            origin: last.origin.clone(),
            first_ms: first.at_ms,
            last_ms: last.at_ms,
            in_progress_until_ms: last.at_ms.saturating_add(millis(more)),
            names: named.collect(),
            lines: Vec::new(),
            line_times: Vec::new(),
        }
    }

    fn add(&mut self, line: Line) {
        if line.origin == self.origin && line.at_ms >= self.first_ms {
            self.line_times.push((line.at_ms, line.event == STARTED));
        }
        let from = self.first_ms.saturating_sub(millis(CONTEXT_BEFORE));
        let to = self.last_ms.saturating_add(millis(CONTEXT_AFTER));
        let no_request = line.fields.get("request").is_none();
        if no_request && (from..=to).contains(&line.at_ms) && self.concerns(&line) {
            self.lines.push(line);
        }
    }

    fn concerns(&self, line: &Line) -> bool {
        let mentions = |value: &Value| {
            value
                .as_str()
                .is_some_and(|text| self.names.iter().any(|name| text.contains(name)))
        };
        line.origin == self.origin || line.fields.values().any(mentions)
    }

    fn finish(mut self) -> (Vec<Line>, Option<Silence>) {
        self.lines.sort_by_key(|it| it.at_ms);
        let extra = self.lines.len().saturating_sub(MAX_CONTEXT_LINES);
        self.lines.drain(..extra);
        self.line_times.sort_unstable();
        (
            self.lines,
            silence(&self.origin, self.in_progress_until_ms, &self.line_times),
        )
    }
}

/// First long silence of a process that begins while the request is in progress.
fn silence(origin: &str, in_progress_until_ms: u64, line_times: &[(u64, bool)]) -> Option<Silence> {
    let long = |from: u64, to: u64| to.saturating_sub(from) >= millis(MIN_SILENCE);
    let mut pairs = line_times.windows(2).filter_map(|pair| match pair {
        [(from, _), (to, up)] => {
            let during = *from <= in_progress_until_ms && (*up || long(*from, *to));
            during.then_some((*from, *to, *up))
        }
        _ => None,
    });
    let silent = pairs.next().map(|(from_ms, to_ms, restarted)| Silence {
        origin: origin.to_owned(),
        from_ms,
        to_ms: Some(to_ms),
        restarted,
    });
    let ended = || {
        let (from_ms, _) = *line_times.last()?;
        (from_ms <= in_progress_until_ms).then(|| Silence {
            origin: origin.to_owned(),
            from_ms,
            to_ms: None,
            restarted: false,
        })
    };
    silent.or_else(ended)
}

fn each_line<F>(files: &[PathBuf], mut take: F) -> Result<(), Unreadable>
where
    F: FnMut(Line),
{
    for file in files {
        let unreadable = |source| Unreadable {
            file: file.clone(),
            source,
        };
        let mut reader = BufReader::new(File::open(file).map_err(unreadable)?);
        let mut bytes = Vec::new();
        // A killed process may leave a line that is not valid UTF-8.
        while reader.read_until(b'\n', &mut bytes).map_err(unreadable)? > 0 {
            if let Some(line) = Line::read(&String::from_utf8_lossy(&bytes), file) {
                take(line);
            }
            bytes.clear();
        }
    }
    Ok(())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
