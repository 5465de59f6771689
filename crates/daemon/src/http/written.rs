//! Response bodies that a task of its own writes.
//!
//! Such a body is complete only after [`Writer::finish`]. If its writer is dropped before,
//! because the task gave up, panicked or was cancelled, the body ends with an error: the
//! connection is closed without the final chunk, so that the caller can tell.
//!
//! The library asks for no more while the caller does not read, so it learns of no end
//! either. What is left of a body that was given up is dropped, with a reset of the
//! connection, once none of it was taken for a time.

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

use super::watch::{self, Watch};

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
    progress: Rc<Progress>,
    watch: Option<Watch>,
}

/// How far a body is.
#[derive(Debug, Default)]
struct Progress {
    /// Whether it is complete once all pieces were taken.
    finished: Cell<bool>,
    /// Whether its writer was dropped.
    written: Cell<bool>,
    /// Chunks that were taken.
    taken: Cell<u64>,
    /// Whether its end was taken, or it is not read any more.
    closed: Cell<bool>,
}

/// A body and its writer, between which `capacity` pieces are buffered.
///
/// `watch` is that of the caller's connection.
#[must_use]
pub fn body(capacity: usize, watch: Option<Watch>) -> (Writer, BoxBody) {
    let (sender, pieces) = mpsc::channel(capacity);
    let progress = Rc::new(Progress::default());
    if let Some(watch) = &watch {
        actix_rt::spawn(reset_when_stuck(Rc::clone(&progress), watch.downgrade()));
    }
    let writer = Writer {
        pieces: sender,
        progress: Rc::clone(&progress),
        watch,
    };
    let body = Body {
        pieces,
        progress,
        next: None,
    };
    (writer, BoxBody::new(body))
}

impl Writer {
    /// Adds a piece, as soon as there is room for it.
    ///
    /// The connection of a caller that reads nothing for too long is reset, which frees
    /// what is buffered for it.
    ///
    /// # Errors
    /// [`Departure`] if the caller does not read on.
    pub async fn send(&self, piece: Bytes) -> Result<(), Departure> {
        let sent = self.pieces.send_timeout(piece, STALL_TIMEOUT).await;
        sent.map_err(|error| match error {
            SendTimeoutError::Timeout(_) => {
                if let Some(watch) = &self.watch {
                    watch.reset();
                }
                Departure::Stalled
            }
            SendTimeoutError::Closed(_) => Departure::Closed,
        })
    }

    /// Completes the body.
    pub fn finish(self) {
        self.progress.finished.set(true);
    }

    /// Resolves when the body is not read any more.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.progress.written.set(true);
    }
}

/// Resets the connection of a caller that takes nothing of what is left of a body that was
/// given up.
async fn reset_when_stuck(progress: Rc<Progress>, watch: watch::Weak) {
    let mut before = None;
    loop {
        actix_rt::time::sleep(STALL_TIMEOUT).await;
        let Some(watch) = watch.upgrade() else { return };
        if progress.closed.get() || progress.finished.get() {
            return;
        }
        let taken = progress.written.get().then(|| progress.taken.get());
        if taken.is_some() && taken == before {
            log::info!("CP0118 a caller read nothing: its connection is reset");
            watch.reset();
            return;
        }
        before = taken;
    }
}

struct Body {
    pieces: mpsc::Receiver<Bytes>,
    progress: Rc<Progress>,
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
        let progress = &this.progress;
        Poll::Ready(if let Some(first) = first {
            progress.taken.set(progress.taken.get() + 1);
            Some(Ok(this.join(first)))
        } else {
            progress.closed.set(true);
            let given_up = io::Error::other("the rest of the answer was given up");
            (!progress.finished.get()).then_some(Err(given_up))
        })
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.progress.closed.set(true);
    }
}
