//! Incoming connections from peers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_codec::Framed;
use actix_rt::net::{TcpListener, TcpStream};
use citron_policy::id::InstanceId;
use citron_wire::{Body, Frame, codec::Codec};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::mpsc;

use super::{
    Handler, Hub,
    link::{count_received, count_sent},
    traffic::Kind,
};
use crate::socket::Patience;

/// Most answers queued for one connection.
const ANSWER_QUEUE: usize = 1_024;

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// Longest time that a peer may leave an answer unread.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// An answer queued for its connection.
struct Answer {
    to: InstanceId,
    frame: Frame,
}

/// Accepts connections from peers forever.
pub async fn listen(hub: Hub, listener: TcpListener, handler: Rc<dyn Handler>) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                actix_rt::spawn(serve(hub.clone(), stream, address, Rc::clone(&handler)));
            }
            Err(error) => {
                log::warn!("CP0901 peer connection not accepted: {error}");
                actix_rt::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve(hub: Hub, stream: TcpStream, address: SocketAddr, handler: Rc<dyn Handler>) {
    if let Err(error) = stream
        .set_nodelay(true)
        .and_then(|()| Patience::PEER.apply(&stream))
    {
        log::debug!("CP0903 connection from {address}: {error}");
    }
    let (sender, mut answers) = mpsc::channel::<Answer>(ANSWER_QUEUE);
    let mut framed = Framed::new(stream, Codec::new(&hub.inner.cluster));
    loop {
        tokio::select! {
            next = framed.next() => match next {
                Some(Ok(frame)) if hub.admits(&frame.from, address) => {
                    count_received(&hub, &mut framed);
                    on_frame(&hub, frame, &handler, &sender);
                }
                Some(Ok(frame)) => {
                    hub.count(|counts| counts.refused += 1);
                    log::debug!("CP0902 frame of {} from {address} refused: not a known instance", frame.from);
                    return;
                }
                Some(Err(error)) => {
                    hub.count(|counts| counts.refused += 1);
                    log::warn!("CP0902 frame from {address} refused: {error}");
                    return;
                }
                None => return,
            },
            answer = answers.recv() => {
                let Some(Answer { to, frame }) = answer else { return };
                let kind = Kind::of(&frame);
                if !matches!(actix_rt::time::timeout(SEND_TIMEOUT, framed.send(frame)).await, Ok(Ok(()))) {
                    return;
                }
                count_sent(&hub, &mut framed, &to, kind);
            }
            () = actix_rt::time::sleep(IDLE_TIMEOUT) => return,
        }
    }
}

fn on_frame(hub: &Hub, frame: Frame, handler: &Rc<dyn Handler>, answers: &mpsc::Sender<Answer>) {
    let Some(body) = frame.body else { return };
    if frame.call == 0 {
        handler.on_message(&frame.from, body);
        return;
    }
    let outcome = handler.on_call(&frame.from, body);
    let (hub, answers) = (hub.clone(), answers.clone());
    actix_rt::spawn(async move {
        let body = outcome.await.unwrap_or_else(Body::Refusal);
        let answer = Answer {
            frame: hub.frame(frame.call, true, body),
            to: frame.from,
        };
        if answers.try_send(answer).is_err() {
            hub.count(|counts| counts.dropped += 1);
        }
    });
}
