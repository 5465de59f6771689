//! Detects TCP peers that stop responding without closing the connection.
//!
//! After a network failure, or on a connection that stalls while new ones still
//! work, a writer waits for acknowledgements and a reader for bytes that never
//! arrive. The limits here end both, so that the waiting side can go elsewhere.

use std::{io, time::Duration};

use actix_rt::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Longest time for sent bytes to be acknowledged: several retransmissions within
/// a region, and half the time that a daemon may be out of contact.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);

/// Idle time before the first keepalive probe, and time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which the connection is closed.
const PROBES: u32 = 2;

/// Makes a connection fail when its peer does not respond for too long.
///
/// # Errors
/// The system's error when an option cannot be set.
pub fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
