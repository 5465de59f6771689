//! Splits a byte stream into complete server-sent events.
//!
//! Only complete events are relayed, so that a stream that breaks within an event
//! can resume on another runner after the last event that the caller received.

use bytes::{Bytes, BytesMut};
use derive_more::Display;

/// End of an event.
const BLANK_LINE: &[u8] = b"\n\n";

/// Field that holds an event's numeric id.
const ID_FIELD: &[u8] = b"id:";

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Most pieces in which an event may arrive; over links with small packets the largest
/// event takes about 2,000.
const MAX_EVENT_PIECES: u32 = 4_096;

/// Why an event was given up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Fault {
    /// It exceeds [`MAX_EVENT_BYTES`].
    #[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// It exceeds [`MAX_EVENT_PIECES`].
    #[display("an event came in more than {MAX_EVENT_PIECES} pieces")]
    Splintered,
}

/// Splitter of one stream.
#[derive(Debug, Default)]
pub(super) struct Events {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that hold no end of an event.
    searched: usize,
    /// Pieces of the incomplete event.
    pieces: u32,
    /// Id of the last event that was returned.
    last_id: Option<u64>,
}

impl Events {
    /// A stream whose events up to `last_id` the caller already has.
    pub(super) fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Id of the last event that was returned.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds a chunk; returns the events that it completes and their count.
    ///
    /// Events with an id that was already returned are dropped.
    pub(super) fn push(&mut self, chunk: &[u8]) -> Result<(Bytes, u32), Fault> {
        self.buffer.extend_from_slice(chunk);
        self.pieces += 1;
        let mut complete = BytesMut::new();
        let mut count = 0;
        while let Some(end) = find(&self.buffer[self.searched..], BLANK_LINE) {
            let event = self.buffer.split_to(self.searched + end + BLANK_LINE.len());
            (self.searched, self.pieces) = (0, 0);
            let id = id(&event);
            if id.is_some() && id <= self.last_id {
                continue;
            }
            self.last_id = id.or(self.last_id);
            count += 1;
            complete.extend_from_slice(&event);
        }
        // The first half of an end may be here already.
        self.searched = self.buffer.len().saturating_sub(BLANK_LINE.len() - 1);
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

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|it| it == wanted)
}

fn id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
