//! Detects TCP peers that stop responding without closing the connection.
//!
//! After a network failure, or on a connection that stalls while new ones still
//! work, a writer waits for acknowledgements and a reader for bytes that never
//! arrive. The limits here end both, so that the waiting side can go elsewhere.

use std::{io, time::Duration};

use actix_rt::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Idle time before the first keepalive probe, and time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How long the other side may be silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Longest time for sent bytes to be acknowledged. It also ends an idle connection:
    /// with the first unanswered probe that is due later, whatever the number of probes.
    unacknowledged: Duration,
}

impl Patience {
    /// With other daemons: several retransmissions within a region, and half the time
    /// that a daemon may be out of contact. An idle connection ends after 2 s.
    pub const PEER: Self = Self {
        unacknowledged: Duration::from_millis(1_500),
    };

    /// With runners: sound ones fall silent for a second or so, which may begin just before
    /// a probe. An idle connection ends after 3 s.
    pub const RUNNER: Self = Self {
        unacknowledged: Duration::from_millis(2_500),
    };

    /// Makes a connection fail when its other side does not respond for too long.
    ///
    /// # Errors
    /// The system's error when an option cannot be set.
    pub fn apply(self, stream: &TcpStream) -> io::Result<()> {
        let socket = SockRef::from(stream);
        socket.set_tcp_user_timeout(Some(self.unacknowledged))?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL);
        socket.set_tcp_keepalive(&probes)
    }
}
