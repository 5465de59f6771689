//! Whole events of a stream, out of the parts in which they arrive.
//!
//! Only whole events are passed on, so that a stream that breaks within one can
//! go on elsewhere after the last event that the caller has.

use bytes::{Bytes, BytesMut};

/// Ends an event.
const BLANK_LINE: &[u8] = b"\n\n";

/// Name of the field with an event's number.
const ID_FIELD: &[u8] = b"id:";

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes that are no events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Overlong;

/// What has arrived of a stream.
#[derive(Debug, Default)]
pub(super) struct Events {
    rest: BytesMut,
    /// Number of the last event that was given out.
    last: Option<u64>,
}

impl Events {
    /// A stream of which the caller has everything up to `last`.
    pub(super) fn after(last: Option<u64>) -> Self {
        Self {
            rest: BytesMut::new(),
            last,
        }
    }

    /// Number of the last event that was given out.
    pub(super) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes in a part; gives the events that it completed and how many they are.
    pub(super) fn push(&mut self, part: &[u8]) -> Result<(Bytes, u32), Overlong> {
        self.rest.extend_from_slice(part);
        let mut whole = BytesMut::new();
        let mut count = 0;
        while let Some(end) = find(&self.rest, BLANK_LINE) {
            let event = self.rest.split_to(end + BLANK_LINE.len());
            let number = number(&event);
            if number.is_some() && number <= self.last {
                continue;
            }
            self.last = number.or(self.last);
            count += 1;
            whole.extend_from_slice(&event);
        }
        if self.rest.len() > MAX_EVENT_BYTES {
            return Err(Overlong);
        }
        Ok((whole.freeze(), count))
    }

    /// Whether nothing is left of an event that has not ended.
    pub(super) fn is_clear(&self) -> bool {
        self.rest.is_empty()
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|it| it == wanted)
}

fn number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
