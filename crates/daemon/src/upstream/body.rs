//! Response bodies, which end only when they are complete.
//!
//! A body without a length ends with its connection. The system closes the connections of
//! a killed process in the same orderly way: such an end proves nothing if [`is_gone`].

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use actix_codec::{BytesCodec, Framed};
use actix_http::error::PayloadError;
use actix_rt::net::TcpStream;
use bytes::{Bytes, BytesMut};
use derive_more::Display;
use futures_util::StreamExt;
use tokio::time::{Instant, timeout, timeout_at};

use super::{
    Failure, Limits, Socket,
    head::{Codec, PayloadCodec},
};
use crate::buffers;

/// Most chunks read in one turn of the thread.
const MAX_TURN_CHUNKS: u32 = 32;

/// Longest wait for a runner that has ended its answer to take the rest of the request.
const REST_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for a runner to accept or refuse a connection.
const GONE_TIMEOUT: Duration = Duration::from_millis(200);

/// What tells the end of a body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Framing {
    /// A stated length, or the last of its chunks.
    #[display("stated")]
    Stated,
    /// The orderly close of the connection.
    #[display("close")]
    Close,
}

/// A body that may still be arriving; dropping it closes the connection.
#[derive(Debug)]
pub struct Body {
    state: State,
    framing: Framing,
    end: Instant,
    limits: Limits,
    received_bytes: u64,
    /// Chunks read since other tasks last had a turn for sure.
    turn_chunks: u32,
}

#[derive(Debug)]
enum State {
    Open(Box<Framed<Socket, PayloadCodec>>),
    /// Without a length; an orderly close of the connection ends it.
    Unframed(Box<Framed<Socket, BytesCodec>>),
    Whole,
    Failed(Failure),
}

impl Body {
    pub(super) fn new(framed: Framed<Socket, Codec>, end: Instant, limits: &Limits) -> Self {
        Self {
            state: State::Open(Box::new(framed.into_map_codec(Codec::into_payload))),
            framing: Framing::Stated,
            end,
            limits: *limits,
            received_bytes: 0,
            turn_chunks: 0,
        }
    }

    /// A body delimited by the close of the connection.
    pub(super) fn unframed(framed: Framed<Socket, Codec>, end: Instant, limits: &Limits) -> Self {
        let framed = framed.into_map_codec(|_| BytesCodec);
        Self {
            state: State::Unframed(Box::new(framed)),
            framing: Framing::Close,
            end,
            limits: *limits,
            received_bytes: 0,
            turn_chunks: 0,
        }
    }

    pub(super) fn empty() -> Self {
        Self {
            state: State::Whole,
            framing: Framing::Stated,
            end: Instant::now(),
            limits: Limits::default(),
            received_bytes: 0,
            turn_chunks: 0,
        }
    }

    /// The next chunk; `None` only after the complete body.
    ///
    /// A failure closes the connection and is repeated by later calls.
    ///
    /// Chunks may always be at hand: the other tasks of the thread have a turn, and the end
    /// of the exchange is checked, after every [`MAX_TURN_CHUNKS`].
    pub async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        self.turn_chunks += 1;
        if self.turn_chunks > MAX_TURN_CHUNKS {
            self.turn_chunks = 0;
            tokio::task::yield_now().await;
            if self.is_arriving() && Instant::now() >= self.end {
                return Some(self.fail(Failure::Late));
            }
        }
        let deadline = self.end.min(Instant::now() + self.limits.idle);
        let next = match &mut self.state {
            State::Open(framed) => timeout_at(deadline, framed_chunk(framed)).await,
            State::Unframed(framed) => timeout_at(deadline, unframed_chunk(framed)).await,
            State::Whole => return None,
            State::Failed(failure) => return Some(Err(failure.clone())),
        };
        let chunk = match next {
            Ok(Ok(Some(chunk))) => chunk,
            Ok(Ok(None)) => {
                self.state = State::Whole;
                return None;
            }
            Ok(Err(failure)) => return Some(self.fail(failure)),
            Err(_) => return Some(self.fail(Failure::Late)),
        };
        self.received_bytes += chunk.len() as u64;
        if self.received_bytes > self.limits.max_body_bytes {
            let limit = self.limits.max_body_bytes;
            return Some(self.fail(Failure::TooLarge { limit }));
        }
        Some(Ok(chunk))
    }

    /// Reads the complete body.
    ///
    /// # Errors
    /// [`Failure`] if the body is incomplete, violates a limit, or finds no memory.
    pub async fn whole(mut self, mut whole: buffers::Body) -> Result<Bytes, Failure> {
        while let Some(chunk) = self.next().await {
            let taken = whole.push(&chunk?);
            taken.map_err(|_full: buffers::Full| Failure::NoMemory)?;
        }
        Ok(whole.freeze())
    }

    /// Reads the complete body of an answer of `server`, bounded only by the limits of the exchange.
    ///
    /// # Errors
    /// [`Failure`] if the body is incomplete, or may be, or violates a limit.
    pub async fn collect(mut self, server: SocketAddr) -> Result<Bytes, Failure> {
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.next().await {
            whole.extend_from_slice(&chunk?);
        }
        if self.framing == Framing::Close && is_gone(server).await {
            return Err(Failure::Gone);
        }
        Ok(whole.freeze())
    }

    /// Reads the start of the body, at least `limit` bytes unless it is shorter or fails.
    pub async fn start(mut self, limit: usize) -> Bytes {
        let mut start = Vec::new();
        while start.len() < limit
            && let Some(Ok(chunk)) = self.next().await
        {
            start.extend_from_slice(&chunk);
        }
        start.into()
    }

    /// What tells the end of the body.
    #[must_use]
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether the body is complete.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        matches!(self.state, State::Whole)
    }

    fn is_arriving(&self) -> bool {
        matches!(self.state, State::Open(_) | State::Unframed(_))
    }

    fn fail(&mut self, failure: Failure) -> Result<Bytes, Failure> {
        self.state = State::Failed(failure.clone());
        Err(failure)
    }
}

async fn framed_chunk(framed: &mut Framed<Socket, PayloadCodec>) -> Result<Option<Bytes>, Failure> {
    match framed.next().await {
        Some(Ok(chunk)) => Ok(chunk),
        Some(Err(error)) => Err(failure_of(&error)),
        None => Err(Failure::Cut),
    }
}

async fn unframed_chunk(framed: &mut Framed<Socket, BytesCodec>) -> Result<Option<Bytes>, Failure> {
    match framed.next().await {
        Some(Ok(chunk)) => Ok(Some(chunk.freeze())),
        Some(Err(_)) => Err(Failure::Cut),
        // One that has failed ends its sending side in order, and may reset the rest.
        None => match timeout(REST_TIMEOUT, framed.io_mut().write_rest()).await {
            Ok(Ok(())) => Ok(None),
            Ok(Err(_)) | Err(_) => Err(Failure::Cut),
        },
    }
}

/// Whether nothing listens at the runner's address any more.
///
/// Silence proves nothing: a busy runner drops connections too.
pub(crate) async fn is_gone(runner: SocketAddr) -> bool {
    let tried = timeout(GONE_TIMEOUT, TcpStream::connect(runner)).await;
    matches!(tried, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Distinguishes a malformed chunk from a lost connection.
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
