//! Response bodies that a task of its own writes.
//!
//! Such a body is complete only after [`Writer::finish`]. If its writer is dropped before,
//! because the task gave up, panicked or was cancelled, the body ends with an error: the
//! connection is closed without the final chunk, so that the caller can tell.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::{Bytes, BytesMut};
use derive_more::Display;
use tokio::sync::mpsc::{self, error::SendTimeoutError};

/// Size at which no more pieces are added to a chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Longest time that a caller's buffer may stay full before the caller is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a caller does not get the rest of a body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Departure {
    /// It closed its connection, or its sending side.
    #[display("closed")]
    Closed,
    /// It read nothing for too long.
    #[display("stalled")]
    Stalled,
}

/// Writes a body.
#[derive(Debug)]
pub struct Writer {
    pieces: mpsc::Sender<Bytes>,
    finished: Rc<Cell<bool>>,
}

/// A body and its writer, between which `capacity` pieces are buffered.
#[must_use]
pub fn body(capacity: usize) -> (Writer, BoxBody) {
    let (sender, pieces) = mpsc::channel(capacity);
    let finished = Rc::new(Cell::new(false));
    let writer = Writer {
        pieces: sender,
        finished: Rc::clone(&finished),
    };
    let body = Body {
        pieces,
        finished,
        next: None,
    };
    (writer, BoxBody::new(body))
}

impl Writer {
    /// Adds a piece, as soon as there is room for it.
    ///
    /// # Errors
    /// [`Departure`] if the caller does not read on.
    pub async fn send(&self, piece: Bytes) -> Result<(), Departure> {
        let sent = self.pieces.send_timeout(piece, STALL_TIMEOUT).await;
        sent.map_err(|error| match error {
            SendTimeoutError::Timeout(_) => Departure::Stalled,
            SendTimeoutError::Closed(_) => Departure::Closed,
        })
    }

    /// Completes the body.
    pub fn finish(self) {
        self.finished.set(true);
    }

    /// Resolves when the body is not read any more.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }
}

struct Body {
    pieces: mpsc::Receiver<Bytes>,
    finished: Rc<Cell<bool>>,
    /// A piece that did not fit into the last chunk.
    next: Option<Bytes>,
}

impl Body {
    /// `first`, together with the pieces that are already buffered.
    fn join(&mut self, first: Bytes) -> Bytes {
        let Ok(second) = self.pieces.try_recv() else {
            return first;
        };
        let mut joined = BytesMut::from(first.as_ref());
        let mut next = Some(second);
        while let Some(piece) = next.take() {
            if joined.len() + piece.len() > MAX_CHUNK_BYTES {
                self.next = Some(piece);
                break;
            }
            joined.extend_from_slice(&piece);
            next = self.pieces.try_recv().ok();
        }
        joined.freeze()
    }
}

impl MessageBody for Body {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let this = self.get_mut();
        let first = match this.next.take() {
            Some(first) => Some(first),
            None => ready!(this.pieces.poll_recv(cx)),
        };
        Poll::Ready(match first {
            Some(first) => Some(Ok(this.join(first))),
            None if this.finished.get() => None,
            None => Some(Err(io::Error::other("the rest of the answer was given up"))),
        })
    }
}
