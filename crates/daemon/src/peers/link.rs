//! The connection that this daemon opened to one peer.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_codec::Framed;
use actix_rt::net::TcpStream;
use citron_policy::id::InstanceId;
use citron_wire::{Frame, codec::Codec};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::mpsc;

use super::{Hub, Queued};
use crate::socket::guard;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a peer may leave a message unread.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time after which the connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Wait of a message that is worth a line: longer than a desk waits for a word of
/// its arbiter.
const LONG_WAIT: Duration = Duration::from_millis(250);

/// Least time between two lines about one connection.
const LINE_PAUSE: Duration = Duration::from_secs(1);

/// Runs the connection until it fails, idles out or its queue is dropped.
pub(super) async fn run(
    hub: Hub,
    peer: InstanceId,
    address: SocketAddr,
    mut queue: mpsc::Receiver<Queued>,
) {
    match actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
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

async fn serve(
    hub: &Hub,
    peer: &InstanceId,
    stream: TcpStream,
    queue: &mut mpsc::Receiver<Queued>,
) {
    if let Err(error) = stream.set_nodelay(true).and_then(|()| guard(&stream)) {
        log::debug!("CP0903 connection to {peer}: {error}");
    }
    let mut framed = Framed::new(stream, Codec::new(&hub.inner.cluster));
    let mut told = None;
    loop {
        tokio::select! {
            next = queue.recv() => {
                let Some(first) = next else { return };
                let Some(wait) = send(hub, &mut framed, first, queue).await else { return };
                tell_wait(peer, &wait, queue.len(), &mut told);
            }
            next = framed.next() => match next {
                Some(Ok(frame)) => {
                    count(hub, &mut framed, 0, 1);
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

/// How long the messages sent together have waited.
struct Wait {
    /// Longest time from the order to send to the end of the write.
    whole: Duration,
    /// Time that the socket took.
    writing: Duration,
}

/// Sends a frame and whatever waits behind it; none when the peer does not read.
async fn send(
    hub: &Hub,
    framed: &mut Framed<TcpStream, Codec>,
    first: Queued,
    queue: &mut mpsc::Receiver<Queued>,
) -> Option<Wait> {
    let (oldest, begun) = (first.since, Instant::now());
    let mut next = Some(first);
    while let Some(Queued { frame, since }) = next {
        let fed = actix_rt::time::timeout(SEND_TIMEOUT, framed.feed(frame)).await;
        fed.ok()?.ok()?;
        count(hub, framed, 1, 0);
        hub.inner.waits.observe(since.elapsed().as_secs_f64());
        next = queue.try_recv().ok();
    }
    let flushed = actix_rt::time::timeout(SEND_TIMEOUT, framed.flush()).await;
    flushed.ok()?.ok()?;
    Some(Wait {
        whole: oldest.elapsed(),
        writing: begun.elapsed(),
    })
}

fn tell_wait(peer: &InstanceId, wait: &Wait, queued: usize, told: &mut Option<Instant>) {
    let rested = told.is_none_or(|at| at.elapsed() >= LINE_PAUSE);
    if wait.whole >= LONG_WAIT && rested {
        *told = Some(Instant::now());
        log::info!(
            event = "CP0904", peer = peer.as_str(), waited_ms = wait.whole.as_millis(),
            writing_ms = wait.writing.as_millis(), queued;
            "a message waited long for its connection"
        );
    }
}

/// Counts what went over a connection; `sent` and `received` are frames.
pub(super) fn count(hub: &Hub, framed: &mut Framed<TcpStream, Codec>, sent: u64, received: u64) {
    let codec = framed.codec_mut();
    let (sent_bytes, received_bytes) = (codec.take_sent_bytes(), codec.take_received_bytes());
    hub.count(|counts| {
        counts.sent += sent;
        counts.sent_bytes += sent_bytes;
        counts.received += received;
        counts.received_bytes += received_bytes;
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
