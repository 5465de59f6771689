//! Detects a caller that disconnects while its request is pending.
//!
//! The watch peeks at a duplicate of the socket. Unread bytes there belong to
//! the caller's next request, so the caller is still connected.

use std::{io, net::TcpStream as StdStream, os::fd::AsFd, rc::Rc, time::Duration};

use actix_rt::net::TcpStream;

/// Polling interval while unread bytes hide whether the caller has disconnected.
const PENDING_PAUSE: Duration = Duration::from_millis(50);

/// Watch on a caller's connection; clones share the socket.
#[derive(Clone, Debug)]
pub struct Watch {
    stream: Rc<TcpStream>,
}

impl Watch {
    /// Watches the connection of `stream`.
    ///
    /// # Errors
    /// The system's error when the socket cannot be duplicated.
    pub fn of(stream: &TcpStream) -> io::Result<Self> {
        let duplicate = StdStream::from(stream.as_fd().try_clone_to_owned()?);
        Ok(Self {
            stream: Rc::new(TcpStream::from_std(duplicate)?),
        })
    }

    /// Resolves when the caller has closed the connection.
    ///
    /// Must be called only after the request's body was read.
    pub async fn disconnected(&self) {
        let mut byte = [0_u8; 1];
        loop {
            match self.stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                Ok(_) => actix_rt::time::sleep(PENDING_PAUSE).await,
            }
        }
    }
}
