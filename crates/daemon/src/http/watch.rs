//! Notices a caller who leaves while its request waits.
//!
//! The watch holds a duplicate of the socket and peeks at it. Bytes that wait
//! there are a next request of a caller who is still present.

use std::{io, net::TcpStream as StdStream, os::fd::AsFd, rc::Rc, time::Duration};

use actix_rt::net::TcpStream;

/// Pause between looks while bytes wait, when the socket cannot say more.
const PENDING_PAUSE: Duration = Duration::from_millis(50);

/// The other end of a caller's connection; clones share it.
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
    /// To be started only after the request's body was read.
    pub async fn gone(&self) {
        let mut byte = [0_u8; 1];
        loop {
            match self.stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                Ok(_) => actix_rt::time::sleep(PENDING_PAUSE).await,
            }
        }
    }
}
