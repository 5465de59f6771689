//! Sockets that notice when the other end is gone without a word.
//!
//! A cut link, or a connection that went silent while new ones work, leaves a
//! writer waiting for acknowledgements and a reader for bytes that never come.
//! Both end within the limit here, so that whoever waits can turn elsewhere.

use std::{io, time::Duration};

use actix_rt::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Longest time for sent bytes to be acknowledged; some retransmissions within a
/// region, and half of what a daemon may be out of touch.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);

/// Silence after which the other end is probed, and time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection is given up.
const PROBES: u32 = 2;

/// Makes a connection end when the other side is silent for too long.
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
