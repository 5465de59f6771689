//! A TCP connection that writes a request while the answer to it is read.
//!
//! A failed write ends nothing by itself: the system may hold an answer that arrived
//! before. The failure is reported once, to the write, and a read then finds an end that
//! looks orderly; here it fails.

use std::{
    fmt,
    future::poll_fn,
    io::{self, ErrorKind, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};

use actix_rt::net::TcpStream;
use bytes::{Buf, Bytes, buf::Chain};
use tokio::io::{AsyncRead, AsyncWrite as _, ReadBuf};

/// Most parts of a request that are written at once: its head and its body.
const PARTS: usize = 2;

/// A connection to one runner.
pub(super) struct Socket {
    stream: TcpStream,
    wrote: bool,
    /// What is to be written of the request.
    rest: Chain<Bytes, Bytes>,
    /// Why the rest cannot be written.
    broken: Option<ErrorKind>,
}

impl fmt::Debug for Socket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Socket")
            .field("stream", &self.stream)
            .field("wrote", &self.wrote)
            .field("rest_bytes", &self.rest.remaining())
            .field("broken", &self.broken)
            .finish()
    }
}

impl Socket {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            wrote: false,
            rest: Bytes::new().chain(Bytes::new()),
            broken: None,
        }
    }

    /// Lets a request be written while its answer is read.
    pub(super) fn send(&mut self, head: Bytes, body: Bytes) {
        self.rest = head.chain(body);
    }

    /// Whether the kernel accepted at least one byte, which may have reached the runner.
    pub(super) fn wrote(&self) -> bool {
        self.wrote
    }

    /// Whether the kernel accepted the whole request.
    pub(super) fn wrote_all(&self) -> bool {
        !self.rest.has_remaining()
    }

    /// Why the request could not be written.
    pub(super) fn broken(&self) -> Option<ErrorKind> {
        self.broken
    }

    /// Writes the rest of the request.
    ///
    /// # Errors
    /// If it cannot be written, or the connection was reset since.
    pub(super) async fn write_rest(&mut self) -> io::Result<()> {
        poll_fn(|cx| self.poll_rest(cx)).await;
        if let Some(kind) = self.broken {
            return Err(kind.into());
        }
        match self.stream.take_error()? {
            Some(error) => Err(error),
            None => Ok(()),
        }
    }

    /// Ready once nothing more can be written.
    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.rest.has_remaining() && self.broken.is_none() {
            let mut parts = [IoSlice::new(&[]); PARTS];
            let count = self.rest.chunks_vectored(&mut parts);
            let stream = Pin::new(&mut self.stream);
            match ready!(stream.poll_write_vectored(cx, &parts[..count])) {
                Ok(0) => self.broken = Some(ErrorKind::WriteZero),
                Ok(written) => {
                    self.wrote = true;
                    self.rest.advance(written);
                }
                Err(error) => self.broken = Some(error.kind()),
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let _: Poll<()> = self.poll_rest(cx);
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let is_end = buf.filled().len() == before;
        match self.broken.filter(|_| is_end) {
            Some(kind) => Poll::Ready(Err(kind.into())),
            None => Poll::Ready(Ok(())),
        }
    }
}
