//! A TCP connection that records whether any byte was written to it.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection to one runner.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    wrote: bool,
}

impl Socket {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            wrote: false,
        }
    }

    /// Whether the kernel accepted at least one byte, which may have reached the runner.
    pub(super) fn wrote(&self) -> bool {
        self.wrote
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if matches!(written, Poll::Ready(Ok(n)) if n > 0) {
            self.wrote = true;
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
