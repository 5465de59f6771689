//! What the logs of all processes tell about one request.
//!
//! Reads files of structured logs, one JSON object a line, with or without
//! something before the object that says where the line comes from. What is
//! kept is bounded: the lines of the request, and the changes of belief around
//! it that touch the processes and runners it met.

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

/// Time before the request from which changes of belief are shown; longer than
/// members and leases take to be given up.
const BEFORE: Duration = Duration::from_secs(10);

/// Time after the last line of the request up to which they are shown.
const AFTER: Duration = Duration::from_secs(2);

/// Changes of belief that are kept, the latest ones.
const MOST_AROUND: usize = 40;

/// Pause in the lines of a process from which it is said to have been silent;
/// under load each writes many lines a second.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Time after its last line in which a request without an end may still have been
/// at work; longer than callers wait.
const AT_WORK: Duration = Duration::from_secs(20);

/// Event of a request that was sent to a runner, and so is at work.
const SENT: &str = "CP1001";

/// Fields of a line that name another process or a runner.
const NAMING: [&str; 3] = ["runner", "arbiter", "address"];

/// Event of a process that is up.
const UP: &str = "CP0101";

/// A file of logs that could not be read.
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
    /// Process that wrote it, as far as the file says so.
    pub origin: String,
    /// Event number; empty if it has none.
    pub event: String,
    /// All fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; none if it holds no JSON object with a time.
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

/// A process that wrote nothing for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Silence {
    /// The process.
    pub origin: String,
    /// Time of its last line before, ms since 1970.
    pub from_ms: u64,
    /// Time of its next line, if there is one.
    pub to_ms: Option<u64>,
    /// Whether it had been started anew by then.
    pub restarted: bool,
}

/// What the logs tell about a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trail {
    /// Lines of the request, by time.
    pub lines: Vec<Line>,
    /// Changes of belief around it, by time.
    pub around: Vec<Line>,
    /// Silence of the process that had the request, during or right after it.
    pub silence: Option<Silence>,
}

impl Trail {
    /// Reads what files tell about a request.
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
            let mut scene = Scene::new(&trail.lines, first, last);
            each_line(files, |line| scene.take(line))?;
            (trail.around, trail.silence) = scene.finish();
        }
        Ok(trail)
    }
}

/// Time, processes and runners of a request.
struct Scene {
    origin: String,
    first_ms: u64,
    last_ms: u64,
    /// Latest time at which it may still have been at work.
    open_ms: u64,
    names: BTreeSet<String>,
    around: Vec<Line>,
    /// Times of the lines of the process, and whether it came up with each.
    pulse: Vec<(u64, bool)>,
}

impl Scene {
    fn new(lines: &[Line], first: &Line, last: &Line) -> Self {
        let named = lines.iter().flat_map(|line| {
            NAMING
                .iter()
                .map(|field| line.text(field).to_owned())
                .filter(|name| !name.is_empty())
        });
        let more = if last.event == SENT {
            AT_WORK
        } else {
            Duration::ZERO
        };
        Self {
            origin: last.origin.clone(),
            first_ms: first.at_ms,
            last_ms: last.at_ms,
            open_ms: last.at_ms.saturating_add(millis(more)),
            names: named.collect(),
            around: Vec::new(),
            pulse: Vec::new(),
        }
    }

    fn take(&mut self, line: Line) {
        if line.origin == self.origin && line.at_ms >= self.first_ms {
            self.pulse.push((line.at_ms, line.event == UP));
        }
        let from = self.first_ms.saturating_sub(millis(BEFORE));
        let to = self.last_ms.saturating_add(millis(AFTER));
        let belief = line.fields.get("request").is_none();
        if belief && (from..=to).contains(&line.at_ms) && self.concerns(&line) {
            self.around.push(line);
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
        self.around.sort_by_key(|it| it.at_ms);
        let extra = self.around.len().saturating_sub(MOST_AROUND);
        self.around.drain(..extra);
        self.pulse.sort_unstable();
        (
            self.around,
            silence(&self.origin, self.open_ms, &self.pulse),
        )
    }
}

/// The first long pause of a process that begins while it has the request.
fn silence(origin: &str, open_ms: u64, pulse: &[(u64, bool)]) -> Option<Silence> {
    let long = |from: u64, to: u64| to.saturating_sub(from) >= millis(SILENCE);
    let mut pairs = pulse.windows(2).filter_map(|pair| match pair {
        [(from, _), (to, up)] => {
            let during = *from <= open_ms && (*up || long(*from, *to));
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
        let (from_ms, _) = *pulse.last()?;
        (from_ms <= open_ms).then(|| Silence {
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
        // A process that was killed may leave a line that is no text.
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
