//! Detects a caller that disconnects while its request is pending.
//!
//! The watch peeks at a duplicate of the socket. Unread bytes there belong to
//! the caller's next request, so the caller is still connected.

use std::{
    io,
    net::{Shutdown, TcpStream as StdStream},
    os::fd::AsFd,
    rc::{self, Rc},
    time::Duration,
};

use actix_rt::net::TcpStream;
use socket2::SockRef;

/// Polling interval while unread bytes hide whether the caller has disconnected.
const PENDING_PAUSE: Duration = Duration::from_millis(50);

/// Watch on a caller's connection; clones share the socket.
#[derive(Clone, Debug)]
pub struct Watch {
    stream: Rc<TcpStream>,
}

/// Watch on a connection that may be closed meanwhile.
///
/// A duplicate of the socket keeps the connection open after the library has closed it.
#[derive(Clone, Debug)]
pub(super) struct Weak(rc::Weak<TcpStream>);

impl Weak {
    /// The watch, while the connection is open.
    pub(super) fn upgrade(&self) -> Option<Watch> {
        let stream = self.0.upgrade()?;
        Some(Watch { stream })
    }
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

    /// A watch that keeps no connection open.
    pub(super) fn downgrade(&self) -> Weak {
        Weak(Rc::downgrade(&self.stream))
    }

    /// Closes the connection with a reset, also if the caller reads nothing.
    pub fn reset(&self) {
        let socket = SockRef::from(&*self.stream);
        // Without this the system would keep what the caller does not read.
        let set = socket.set_linger(Some(Duration::ZERO));
        if let Err(error) = set.and_then(|()| socket.shutdown(Shutdown::Both)) {
            log::debug!("CP0117 cannot reset a connection: {error}");
        }
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
