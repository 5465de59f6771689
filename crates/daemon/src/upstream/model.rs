//! Token streams of model runners.
//!
//! A stream consists of server-sent events in the `OpenAI` format, each with the
//! request id and the offset of its token. Both are checked: a token of another
//! request, a duplicate or a gap ends the stream with a failure instead of reaching
//! the caller.

mod sse;

use bytes::Bytes;
use serde::Deserialize;

use self::sse::Lines;
use super::{Body, Failure};

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A token.
    Token {
        /// Zero-based position of the token in the complete answer.
        offset: u64,
        /// The event's data, a JSON object.
        json: Bytes,
    },
    /// End of the answer.
    Done {
        /// Tokens in the complete answer.
        tokens: u64,
    },
}

/// Fields that every event has.
#[derive(Debug, Deserialize)]
struct Envelope<'a> {
    #[serde(borrow)]
    id: std::borrow::Cow<'a, str>,
    offset: u64,
}

/// A token stream; dropping it cancels the work upstream.
#[derive(Debug)]
pub struct Stream {
    body: Body,
    lines: Lines,
    id: String,
    next_offset: u64,
    ended: bool,
}

impl Stream {
    /// Reads the response body for request `id`, which starts at token `offset`.
    #[must_use]
    pub fn new(body: Body, id: &str, offset: u64) -> Self {
        Self {
            body,
            lines: Lines::default(),
            id: id.to_owned(),
            next_offset: offset,
            ended: false,
        }
    }

    /// Offset of the next token, from which a broken stream can be resumed.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.next_offset
    }

    /// The next event; `None` only after [`Event::Done`].
    pub async fn next(&mut self) -> Option<Result<Event, Failure>> {
        if self.ended {
            return None;
        }
        loop {
            match self.lines.next() {
                Err(failure) => return Some(Err(failure)),
                Ok(Some(data)) => return Some(self.event(data)),
                Ok(None) => {}
            }
            match self.body.next().await {
                Some(Ok(chunk)) => self.lines.push(&chunk),
                Some(Err(failure)) => return Some(Err(failure)),
                // The body is complete but lacks the final event.
                None => return Some(Err(Failure::Cut)),
            }
        }
    }

    fn event(&mut self, data: Bytes) -> Result<Event, Failure> {
        if data == DONE {
            self.ended = true;
            return Ok(Event::Done {
                tokens: self.next_offset,
            });
        }
        let envelope: Envelope<'_> = serde_json::from_slice(&data)
            .map_err(|error| Failure::Garbled(format!("event: {error}")))?;
        if envelope.id != self.id {
            return Err(Failure::Crossed);
        }
        let offset = envelope.offset;
        if offset != self.next_offset {
            let expected = self.next_offset;
            return Err(Failure::Garbled(format!(
                "token {offset} came in place of token {expected}"
            )));
        }
        self.next_offset += 1;
        Ok(Event::Token { offset, json: data })
    }
}
