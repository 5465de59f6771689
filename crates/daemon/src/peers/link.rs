//! The connection that this daemon opened to one peer.

use std::{net::SocketAddr, time::Duration};

use actix_codec::Framed;
use actix_rt::net::TcpStream;
use citron_policy::id::InstanceId;
use citron_wire::{Frame, codec::Codec};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::mpsc;

use super::Hub;
use crate::socket::guard;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a peer may leave a message unread.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time after which the connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Runs the connection until it fails, idles out or its queue is dropped.
pub(super) async fn run(
    hub: Hub,
    peer: InstanceId,
    address: SocketAddr,
    mut queue: mpsc::Receiver<Frame>,
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

async fn serve(hub: &Hub, peer: &InstanceId, stream: TcpStream, queue: &mut mpsc::Receiver<Frame>) {
    if let Err(error) = stream.set_nodelay(true).and_then(|()| guard(&stream)) {
        log::debug!("CP0903 connection to {peer}: {error}");
    }
    let mut framed = Framed::new(stream, Codec::new(&hub.inner.cluster));
    loop {
        tokio::select! {
            next = queue.recv() => {
                let Some(frame) = next else { return };
                if !send(hub, &mut framed, frame, queue).await {
                    return;
                }
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

/// Sends a frame and whatever waits behind it; false when the peer does not read.
async fn send(
    hub: &Hub,
    framed: &mut Framed<TcpStream, Codec>,
    frame: Frame,
    queue: &mut mpsc::Receiver<Frame>,
) -> bool {
    let mut next = Some(frame);
    while let Some(frame) = next {
        if !matches!(
            actix_rt::time::timeout(SEND_TIMEOUT, framed.feed(frame)).await,
            Ok(Ok(()))
        ) {
            return false;
        }
        count(hub, framed, 1, 0);
        next = queue.try_recv().ok();
    }
    matches!(
        actix_rt::time::timeout(SEND_TIMEOUT, framed.flush()).await,
        Ok(Ok(()))
    )
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
