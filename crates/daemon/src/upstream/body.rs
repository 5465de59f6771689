//! The body of an answer, which ends only when it is whole.

use std::io::ErrorKind;

use actix_codec::Framed;
use actix_http::error::PayloadError;
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::time::{Instant, timeout_at};

use super::{
    Failure, Limits, Socket,
    head::{Codec, PayloadCodec},
};

/// A body that is still arriving; dropping it closes the connection.
#[derive(Debug)]
pub struct Body {
    state: State,
    end: Instant,
    limits: Limits,
    received_bytes: u64,
}

#[derive(Debug)]
enum State {
    Open(Box<Framed<Socket, PayloadCodec>>),
    Whole,
    Failed(Failure),
}

impl Body {
    pub(super) fn new(framed: Framed<Socket, Codec>, end: Instant, limits: &Limits) -> Self {
        Self {
            state: State::Open(Box::new(framed.into_map_codec(Codec::into_payload))),
            end,
            limits: *limits,
            received_bytes: 0,
        }
    }

    pub(super) fn empty() -> Self {
        Self {
            state: State::Whole,
            end: Instant::now(),
            limits: Limits::default(),
            received_bytes: 0,
        }
    }

    /// The next part; `None` only after the whole body.
    ///
    /// A failure closes the connection and is repeated by later calls.
    pub async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        let framed = match &mut self.state {
            State::Open(framed) => framed,
            State::Whole => return None,
            State::Failed(failure) => return Some(Err(failure.clone())),
        };
        let silent = self.end.min(Instant::now() + self.limits.idle);
        let part = match timeout_at(silent, framed.next()).await {
            Ok(Some(Ok(Some(part)))) => part,
            Ok(Some(Ok(None))) => {
                self.state = State::Whole;
                return None;
            }
            Ok(None) => return Some(self.fail(Failure::Cut)),
            Ok(Some(Err(error))) => return Some(self.fail(failure_of(&error))),
            Err(_) => return Some(self.fail(Failure::Late)),
        };
        self.received_bytes += part.len() as u64;
        if self.received_bytes > self.limits.max_body_bytes {
            let limit = self.limits.max_body_bytes;
            return Some(self.fail(Failure::TooLarge { limit }));
        }
        Some(Ok(part))
    }

    /// The whole body at once.
    ///
    /// # Errors
    /// [`Failure`] when it did not come whole.
    pub async fn whole(mut self) -> Result<Bytes, Failure> {
        let mut whole = Vec::new();
        while let Some(part) = self.next().await {
            whole.extend_from_slice(&part?);
        }
        Ok(whole.into())
    }

    /// Whether the whole body has come.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        matches!(self.state, State::Whole)
    }

    fn fail(&mut self, failure: Failure) -> Result<Bytes, Failure> {
        self.state = State::Failed(failure.clone());
        Err(failure)
    }
}

/// Tells a chunk that makes no sense from a lost connection.
fn failure_of(error: &PayloadError) -> Failure {
    let cause = match error {
        PayloadError::Io(cause) | PayloadError::Incomplete(Some(cause)) => cause.kind(),
        _ => ErrorKind::UnexpectedEof,
    };
    match cause {
        ErrorKind::InvalidInput | ErrorKind::InvalidData => Failure::Garbled(error.to_string()),
        _ => Failure::Cut,
    }
}
