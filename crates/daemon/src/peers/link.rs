//! The connection that this daemon opened to one peer.

use std::{net::SocketAddr, time::Duration};

use actix_codec::Framed;
use actix_rt::net::TcpStream;
use citron_policy::id::InstanceId;
use citron_wire::{Frame, codec::Codec};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::sync::mpsc;

use super::Hub;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a peer may leave a message unread.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time after which the connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Bytes of the length prefix of a frame.
pub(super) const PREFIX_BYTES: u64 = 4;

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
    if let Err(error) = stream.set_nodelay(true) {
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
                Some(Ok(frame)) => on_answer(hub, peer, frame),
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
        count_sent(hub, &frame);
        if !matches!(
            actix_rt::time::timeout(SEND_TIMEOUT, framed.feed(frame)).await,
            Ok(Ok(()))
        ) {
            return false;
        }
        next = queue.try_recv().ok();
    }
    matches!(
        actix_rt::time::timeout(SEND_TIMEOUT, framed.flush()).await,
        Ok(Ok(()))
    )
}

/// Counts a frame that goes out.
pub(super) fn count_sent(hub: &Hub, frame: &Frame) {
    let bytes = frame.encoded_len() as u64 + PREFIX_BYTES;
    hub.count(|counts| {
        counts.sent += 1;
        counts.sent_bytes += bytes;
    });
}

/// Counts a frame that came in.
pub(super) fn count_received(hub: &Hub, frame: &Frame) {
    let bytes = frame.encoded_len() as u64 + PREFIX_BYTES;
    hub.count(|counts| {
        counts.received += 1;
        counts.received_bytes += bytes;
    });
}

fn on_answer(hub: &Hub, peer: &InstanceId, frame: Frame) {
    count_received(hub, &frame);
    if !frame.answer || frame.from != *peer {
        hub.count(|counts| counts.refused += 1);
        return;
    }
    if let Some(body) = frame.body {
        hub.complete(peer, frame.call, body);
    }
}
