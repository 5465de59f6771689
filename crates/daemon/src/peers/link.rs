//! An outgoing connection to one peer.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use actix_codec::Framed;
use actix_rt::net::TcpStream;
use citron_policy::id::InstanceId;
use citron_wire::{Frame, codec::Codec};
use futures_util::{SinkExt, StreamExt};
use tokio::{net::TcpSocket, sync::mpsc};

use super::{Hub, Queued, traffic::Kind};
use crate::socket::Patience;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a peer may leave a message unread.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time after which the connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Wait of a message from which it is logged: longer than a requester waits for a
/// message from its arbiter.
const LOGGED_WAIT: Duration = Duration::from_millis(250);

/// Least time between two log lines about one connection.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the connection until it fails, is idle for too long or its queue is dropped.
pub(super) async fn run(
    hub: Hub,
    peer: InstanceId,
    address: SocketAddr,
    mut queue: mpsc::Receiver<Queued>,
) {
    let source = hub.inner.source.get();
    match actix_rt::time::timeout(CONNECT_TIMEOUT, connect(source, address)).await {
        Ok(Ok(stream)) => serve(&hub, &peer, stream, &mut queue).await,
        Ok(Err(error)) => log::debug!("CP0903 no connection to {peer} at {address}: {error}"),
        Err(_) => {
            log::debug!("CP0903 no connection to {peer} at {address} within {CONNECT_TIMEOUT:?}");
        }
    }
    queue.close();
    let mut dropped = 0;
    while queue.try_recv().is_ok() {
        dropped += 1;
    }
    hub.count(|counts| counts.dropped += dropped);
    hub.fail_calls(&peer);
}

async fn connect(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if let Some(source) = source.filter(|it| it.is_ipv4() == address.is_ipv4()) {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.connect(address).await
}

async fn serve(
    hub: &Hub,
    peer: &InstanceId,
    stream: TcpStream,
    queue: &mut mpsc::Receiver<Queued>,
) {
    if let Err(error) = stream
        .set_nodelay(true)
        .and_then(|()| Patience::PEER.apply(&stream))
    {
        log::debug!("CP0903 connection to {peer}: {error}");
    }
    let mut framed = Framed::new(stream, Codec::new(&hub.inner.cluster));
    let mut last_logged = None;
    loop {
        tokio::select! {
            next = queue.recv() => {
                let Some(first) = next else { return };
                let Some(wait) = send(hub, peer, &mut framed, first, queue).await else { return };
                log_wait(peer, &wait, queue.len(), &mut last_logged);
            }
            next = framed.next() => match next {
                Some(Ok(frame)) => {
                    count_received(hub, &mut framed);
                    on_answer(hub, peer, frame);
                }
                Some(Err(error)) => {
                    hub.count(|counts| counts.refused += 1);
                    log::warn!("CP0902 frame from {peer} refused: {error}");
                    return;
                }
                None => return,
            },
            () = actix_rt::time::sleep(IDLE_TIMEOUT) => return,
        }
    }
}

/// Waiting times of messages that were sent together.
struct Wait {
    /// Time from queueing the oldest message to the end of the write.
    total: Duration,
    /// Time spent writing to the socket.
    writing: Duration,
}

/// Sends a frame and all frames queued behind it; none when the connection fails or the
/// peer does not read.
async fn send(
    hub: &Hub,
    peer: &InstanceId,
    framed: &mut Framed<TcpStream, Codec>,
    first: Queued,
    queue: &mut mpsc::Receiver<Queued>,
) -> Option<Wait> {
    let (oldest, begun) = (first.queued_at, Instant::now());
    let mut next = Some(first);
    while let Some(Queued { frame, queued_at }) = next {
        let kind = Kind::of(&frame);
        let fed = actix_rt::time::timeout(SEND_TIMEOUT, framed.feed(frame)).await;
        fed.ok()?.ok()?;
        count_sent(hub, framed, peer, kind);
        hub.inner.waits.observe(queued_at.elapsed().as_secs_f64());
        next = queue.try_recv().ok();
    }
    let flushed = actix_rt::time::timeout(SEND_TIMEOUT, framed.flush()).await;
    flushed.ok()?.ok()?;
    Some(Wait {
        total: oldest.elapsed(),
        writing: begun.elapsed(),
    })
}

fn log_wait(peer: &InstanceId, wait: &Wait, queued: usize, last_logged: &mut Option<Instant>) {
    let may_log = last_logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
    if wait.total >= LOGGED_WAIT && may_log {
        *last_logged = Some(Instant::now());
        log::info!(
            event = "CP0904", peer = peer.as_str(), waited_ms = wait.total.as_millis(),
            writing_ms = wait.writing.as_millis(), queued;
            "message waited long for its connection"
        );
    }
}

/// Counts a frame that was written to a connection.
pub(super) fn count_sent(
    hub: &Hub,
    framed: &mut Framed<TcpStream, Codec>,
    peer: &InstanceId,
    kind: Kind,
) {
    let bytes = framed.codec_mut().take_sent_bytes();
    hub.inner.traffic.count(peer, kind, bytes);
    hub.count(|counts| {
        counts.sent += 1;
        counts.sent_bytes += bytes;
    });
}

/// Counts a frame that was read from a connection.
pub(super) fn count_received(hub: &Hub, framed: &mut Framed<TcpStream, Codec>) {
    let bytes = framed.codec_mut().take_received_bytes();
    hub.count(|counts| {
        counts.received += 1;
        counts.received_bytes += bytes;
    });
}

fn on_answer(hub: &Hub, peer: &InstanceId, frame: Frame) {
    if !frame.answer || frame.from != *peer {
        hub.count(|counts| counts.refused += 1);
        return;
    }
    if let Some(body) = frame.body {
        hub.complete(peer, frame.call, body);
    }
}
