//! Answers that are still being sent.
//!
//! The HTTP library takes an answer at once and sends it as fast as its caller reads. A
//! daemon that ends as soon as it has handed over its last answer cuts off what the library
//! still holds. An answer is in transit from the moment at which a handler returns it until
//! the system has taken its last byte.
//!
//! In HTTP/1.0 a body without a length ends with its connection. While such a body is in
//! transit, its connection is set up to be reset when it is closed, whoever closes it: also
//! the system, after the process was killed. Only the end of the body makes it an orderly
//! close.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use actix_http::{
    Version,
    body::{BodySize, BoxBody, MessageBody},
};
use actix_rt::net::TcpStream;
use bytes::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::is_unframed;

/// Most bytes that the library is given at once: what it holds is not seen here.
const MAX_PIECE_BYTES: usize = 32 << 10;

/// Counts the answers in transit of all connections; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Transit(Rc<Totals>);

#[derive(Debug, Default)]
struct Totals {
    answers: Cell<u32>,
    bytes: Cell<u64>,
}

impl Transit {
    /// Connections on which an answer is in transit.
    #[must_use]
    pub fn answers(&self) -> u32 {
        self.0.answers.get()
    }

    /// Bytes of these answers that are known to be left, without those that a stream will add.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.0.bytes.get()
    }
}

/// The answer in transit on one connection; clones share it.
#[derive(Clone, Debug)]
pub(super) struct Sending(Rc<State>);

#[derive(Debug)]
struct State {
    transit: Transit,
    /// Bytes of the body that the library has not asked for; none after its end.
    body_left: Cell<Option<u64>>,
    /// Bytes that the library has tried to write and could not.
    unwritten: Cell<usize>,
    /// Whether the library has bytes that it has not tried to write.
    pending: Cell<bool>,
    /// What this connection has added to the totals.
    counted: Cell<(bool, u64)>,
    /// Whether only the end of the connection tells the end of the body.
    unframed: Cell<bool>,
    /// Whether the body has come to its end, rather than been given up.
    ended: Cell<bool>,
}

impl Sending {
    fn new(transit: &Transit) -> Self {
        Self(Rc::new(State {
            transit: transit.clone(),
            body_left: Cell::new(None),
            unwritten: Cell::new(0),
            pending: Cell::new(false),
            counted: Cell::new((false, 0)),
            unframed: Cell::new(false),
            ended: Cell::new(false),
        }))
    }

    /// The body of an answer that a handler returned to a request of this version.
    pub(super) fn body(&self, version: Version, body: BoxBody) -> BoxBody {
        self.0.unframed.set(is_unframed(version, &body));
        self.0.ended.set(false);
        let left = match body.size() {
            BodySize::Sized(length) => length,
            BodySize::None | BodySize::Stream => 0,
        };
        self.0.body_left.set(Some(left));
        self.0.pending.set(true);
        self.0.count();
        BoxBody::new(Body {
            inner: body,
            rest: Bytes::new(),
            sending: self.clone(),
        })
    }
}

impl State {
    /// Whether an answer is in transit.
    fn is_active(&self) -> bool {
        self.body_left.get().is_some() || self.pending.get() || self.unwritten.get() > 0
    }

    /// Whether an orderly close would make a part of an answer look whole.
    fn must_reset(&self) -> bool {
        self.unframed.get() && (self.is_active() || !self.ended.get())
    }

    /// Updates the totals.
    fn count(&self) {
        let body = self.body_left.get();
        let active = self.is_active();
        let left = body.unwrap_or(0) + self.unwritten.get() as u64;
        let (was_active, was_left) = self.counted.replace((active, left));
        let Totals { answers, bytes } = &*self.transit.0;
        answers.set(answers.get() + u32::from(active) - u32::from(was_active));
        bytes.set(bytes.get() + left - was_left);
    }

    fn on_write(&self, offered: usize, outcome: &Poll<io::Result<usize>>) {
        match outcome {
            Poll::Ready(Ok(written)) => self.unwritten.set(offered - written),
            Poll::Pending => self.unwritten.set(offered),
            // The connection is lost, and with it what it should have carried.
            Poll::Ready(Err(_)) => self.unwritten.set(0),
        }
        self.pending.set(false);
        self.count();
    }
}

impl Drop for State {
    fn drop(&mut self) {
        self.body_left.set(None);
        self.unwritten.set(0);
        self.pending.set(false);
        self.count();
    }
}

/// A body that tells when the library has taken its last piece.
struct Body {
    inner: BoxBody,
    /// Part of the current chunk that was not given to the library.
    rest: Bytes,
    sending: Sending,
}

impl Body {
    fn end(&self) {
        let state = &self.sending.0;
        state.body_left.set(None);
        state.count();
    }
}

impl MessageBody for Body {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.inner.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let this = self.get_mut();
        if this.rest.is_empty() {
            match ready!(Pin::new(&mut this.inner).poll_next(cx)) {
                Some(Ok(chunk)) => this.rest = chunk,
                last => {
                    this.sending.0.ended.set(last.is_none());
                    this.end();
                    return Poll::Ready(last);
                }
            }
        }
        let piece = this.rest.split_to(this.rest.len().min(MAX_PIECE_BYTES));
        let state = &this.sending.0;
        let left = state.body_left.get().unwrap_or(0);
        let left = left.saturating_sub(piece.len() as u64);
        state.body_left.set(Some(left));
        // The library writes what it was given before it asks for more than a buffer's worth.
        state.pending.set(true);
        state.count();
        Poll::Ready(Some(Ok(piece)))
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.end();
    }
}

/// A caller's connection that tells what the system has taken.
#[derive(Debug)]
pub(super) struct Stream {
    inner: TcpStream,
    sending: Sending,
    /// Whether a close of the connection resets it.
    resets: bool,
}

impl Stream {
    pub(super) fn new(inner: TcpStream, transit: &Transit) -> Self {
        Self {
            inner,
            sending: Sending::new(transit),
            resets: false,
        }
    }

    pub(super) fn inner(&self) -> &TcpStream {
        &self.inner
    }

    pub(super) fn sending(&self) -> Sending {
        self.sending.clone()
    }

    /// Sets what a close of the connection does from now on.
    fn prepare_close(&mut self) {
        let resets = self.sending.0.must_reset();
        if resets == self.resets {
            return;
        }
        // A linger time of zero makes the close send a reset.
        let linger = resets.then_some(Duration::ZERO);
        match SockRef::from(&self.inner).set_linger(linger) {
            Ok(()) => self.resets = resets,
            Err(error) => log::debug!("CP0116 cannot set what a close does: {error}"),
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.prepare_close();
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.prepare_close();
        let outcome = Pin::new(&mut this.inner).poll_write(cx, bytes);
        this.sending.0.on_write(bytes.len(), &outcome);
        this.prepare_close();
        outcome
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.prepare_close();
        Pin::new(&mut this.inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.prepare_close();
        if this.resets {
            // The shutdown is an orderly close too.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut this.inner).poll_shutdown(cx)
    }
}
