//! Splits a byte stream into complete server-sent events.
//!
//! Only complete events are relayed, so that a stream that breaks within an event
//! can resume on another runner after the last event that the caller received. An
//! event without an id cannot be placed among those that have one, so none is relayed
//! after them: it is the next runner's failure rather than the stream's next event. Nor
//! is one whose id falls back: its runner began anew, and what another run writes does not
//! fit. Where ids have risen by one, a jump at the first event of the next runner is a gap.

use bytes::{Bytes, BytesMut};
use derive_more::Display;

/// Blank lines after a line's end; each ends an event.
const BLANK_LINES: [&[u8]; 2] = [b"\n", b"\r\n"];

/// Longest end of an event, less its last byte.
const PARTIAL_END_BYTES: usize = 2;

/// Field that holds an event's numeric id.
const ID_FIELD: &[u8] = b"id:";

/// Field that holds an event's data.
const DATA_FIELD: &[u8] = b"data";

/// Fields that dispatch no event by themselves.
const SILENT_FIELDS: [&[u8]; 3] = [b"event", b"id", b"retry"];

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Most pieces in which an event may arrive; over links with small packets the largest
/// event takes about 2,000.
const MAX_EVENT_PIECES: u32 = 4_096;

/// Steps of ids by one that show that all are.
const MIN_STEPS: u32 = 2;

/// Why an event was given up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Fault {
    /// It exceeds [`MAX_EVENT_BYTES`].
    #[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// It exceeds [`MAX_EVENT_PIECES`].
    #[display("an event came in more than {MAX_EVENT_PIECES} pieces")]
    Splintered,
    /// It has no id, though events before it had one.
    #[display("an event without an id follows others that have one")]
    Unnumbered,
    /// Its id is not above the one before it.
    #[display("the id of an event falls back: the runner began the stream anew")]
    FallsBack,
    /// Ids rose by one before the next runner went on, and jump there.
    #[display("events are missing where the stream goes on")]
    Gap,
    /// It has neither an id nor data.
    #[display("text between events is no event")]
    NoEvent,
}

/// What a block of lines up to a blank one is.
enum Block {
    /// An event with this id.
    Numbered(u64),
    /// An event without an id.
    Unnumbered,
    /// Comments, or settings of the stream: nothing that the caller's program sees.
    Silent,
    /// Anything else.
    Text,
}

/// What the caller of a stream has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Received {
    /// Id of its last event.
    pub(super) last_id: Option<u64>,
    /// Digest of that event, unless the caller got it elsewhere.
    digest: Option<u64>,
    /// Whether it has events without an id.
    unnumbered: bool,
    steps: Steps,
}

/// How the ids of events that were passed on here rose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Steps {
    /// So many times, each by one.
    ByOne(u32),
    /// By more than one at least once.
    Mixed,
}

impl Default for Steps {
    fn default() -> Self {
        Self::ByOne(0)
    }
}

impl Steps {
    fn after(self, step: u64) -> Self {
        match self {
            Self::ByOne(count) if step == 1 => Self::ByOne(count.saturating_add(1)),
            Self::ByOne(_) | Self::Mixed => Self::Mixed,
        }
    }

    /// Whether a step where another runner goes on passes over events.
    fn is_gap(self, step: u64) -> bool {
        step > 1 && matches!(self, Self::ByOne(count) if count >= MIN_STEPS)
    }
}

/// How an event with an id follows those before it.
enum Place {
    /// It is the next one.
    Next,
    /// It is the last one once more, as runners send it that go on with the last event.
    Repeat,
}

impl Received {
    /// The events up to `last_id`, which the caller got elsewhere.
    pub(super) fn elsewhere(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Whether it has events of which none tells where the rest begins.
    pub(super) fn is_unplaced(&self) -> bool {
        self.unnumbered && self.last_id.is_none()
    }

    /// Adds an event; `is_first` tells that it is its runner's first new one.
    fn add(&mut self, id: u64, event: &[u8], is_first: bool) -> Result<Place, Fault> {
        let digest = xxhash_rust::xxh3::xxh3_64(event);
        let place = match self.last_id {
            Some(last) if id < last => return Err(Fault::FallsBack),
            Some(last) if id == last => match self.digest {
                Some(known) if known != digest => return Err(Fault::FallsBack),
                _ => Place::Repeat,
            },
            Some(last) if self.digest.is_some() => {
                if is_first && self.steps.is_gap(id - last) {
                    return Err(Fault::Gap);
                }
                self.steps = self.steps.after(id - last);
                Place::Next
            }
            _ => Place::Next,
        };
        (self.last_id, self.digest) = (Some(id), Some(digest));
        Ok(place)
    }
}

/// Splitter of one stream.
#[derive(Debug, Default)]
pub(super) struct Events {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that hold no end of an event.
    searched: usize,
    /// Pieces of the incomplete event.
    pieces: u32,
    received: Received,
    /// Whether the runner has sent an event that the caller did not have.
    begun: bool,
}

impl Events {
    /// The rest of a stream.
    pub(super) fn after(received: Received) -> Self {
        Self {
            received,
            ..Self::default()
        }
    }

    /// What the caller has with the events that were returned.
    pub(super) fn received(&self) -> Received {
        self.received
    }

    /// Memory that the incomplete event takes, in bytes.
    pub(super) fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Adds a chunk; returns the events that it completes and their count.
    ///
    /// The last event is dropped if it comes again.
    pub(super) fn push(&mut self, chunk: &[u8]) -> Result<(Bytes, u32), Fault> {
        self.buffer.extend_from_slice(chunk);
        self.pieces += 1;
        let mut complete = BytesMut::new();
        let mut count = 0;
        while let Some(end) = end(&self.buffer[self.searched..]) {
            let event = self.buffer.split_to(self.searched + end);
            (self.searched, self.pieces) = (0, 0);
            match block(&event) {
                Block::Numbered(id) => match self.received.add(id, &event, !self.begun)? {
                    Place::Next => self.begun = true,
                    Place::Repeat => continue,
                },
                Block::Unnumbered if self.received.last_id.is_some() => {
                    return Err(Fault::Unnumbered);
                }
                Block::Unnumbered => self.received.unnumbered = true,
                Block::Silent => {}
                Block::Text => return Err(Fault::NoEvent),
            }
            count += 1;
            complete.extend_from_slice(&event);
        }
        // A part of an end may be here already.
        self.searched = self.buffer.len().saturating_sub(PARTIAL_END_BYTES);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Fault::TooLong);
        }
        if self.pieces > MAX_EVENT_PIECES {
            return Err(Fault::Splintered);
        }
        Ok((complete.freeze(), count))
    }

    /// Whether no incomplete event is buffered.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Where the first event ends whose last lines are here.
fn end(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(line) = bytes[from..].iter().position(|it| *it == b'\n') {
        from += line + 1;
        let mut blank = BLANK_LINES.iter();
        if let Some(blank) = blank.find(|it| bytes[from..].starts_with(it)) {
            return Some(from + blank.len());
        }
    }
    None
}

fn block(event: &[u8]) -> Block {
    let lines = || {
        let lines = event.split(|byte| *byte == b'\n');
        let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
        lines.filter(|line| !line.is_empty())
    };
    let mut values = lines().filter_map(|line| line.strip_prefix(ID_FIELD));
    if let Some(id) = values.next().and_then(number) {
        return Block::Numbered(id);
    }
    let is_field = |line: &[u8], name: &[u8]| {
        let rest = line.strip_prefix(name);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(b":"))
    };
    let is_silent = |line: &[u8]| {
        line.starts_with(b":") || SILENT_FIELDS.iter().any(|name| is_field(line, name))
    };
    if lines().all(is_silent) {
        Block::Silent
    } else if lines().all(|line| is_silent(line) || is_field(line, DATA_FIELD)) {
        Block::Unnumbered
    } else {
        Block::Text
    }
}

fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
