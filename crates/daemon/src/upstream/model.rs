//! Token streams of model runners.
//!
//! A stream is server-sent events in the form of `OpenAI`, where each event
//! names its request and the offset of its token. Both are checked, so a token of
//! another request, one that comes twice and one that is missing all end the
//! stream with a failure instead of reaching the caller.

mod sse;

use bytes::Bytes;
use serde::Deserialize;

use self::sse::Lines;
use super::{Body, Failure};

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// One step of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A token.
    Token {
        /// Number of the token in the whole answer, from zero.
        offset: u64,
        /// The event's data, a JSON object.
        json: Bytes,
    },
    /// The answer is complete.
    Done {
        /// Tokens in the whole answer.
        tokens: u64,
    },
}

/// What every event says.
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
    /// Reads the body of an answer to request `id` that starts at token `offset`.
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
                Some(Ok(part)) => self.lines.push(&part),
                Some(Err(failure)) => return Some(Err(failure)),
                // The body is whole, but its last event did not come.
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
