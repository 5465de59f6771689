//! One call of a duty over a connection of its own.
//!
//! The connection is reset, not closed, when the call ends: bytes that a failed link
//! holds back must not reach the platform after the lease has ended.

use std::{net::SocketAddr, time::Duration};

use actix_codec::Framed;
use actix_http::{
    Method, RequestHead, RequestHeadType, ServiceConfig, StatusCode, Uri,
    body::BodySize,
    h1::{ClientCodec, Message},
    header::{self, HeaderValue},
};
use actix_rt::net::TcpStream;
use derive_more::{Display, Error};
use futures_util::{SinkExt, StreamExt};
use socket2::SockRef;
use tokio::time::timeout;

use crate::edge::DutyCall;

/// Longest time from writing the request to the head of the answer.
pub const TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time to open a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

thread_local! {
    // A configuration spawns a clock task, so all calls of a thread share one.
    static CONFIG: ServiceConfig = ServiceConfig::default();
}

/// Why a call was not answered.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// This daemon does not hold the lease, or not for long enough; nothing was sent.
    #[display("the lease of the duties is not held here: the holder makes the call")]
    NotHolder,
    /// No connection was opened; nothing was sent.
    #[display("the platform cannot be reached: check its address and the path to it")]
    Unreachable,
    /// No answer came in time; the platform may have got the call.
    #[display("the platform did not answer: the call is made again")]
    NoAnswer,
}

/// Opens a connection, and writes the call that `encode` then returns.
///
/// # Errors
/// [`Failure`]; `encode` returns none if the lease does not last for [`TIMEOUT`] from now.
pub async fn send<F>(address: SocketAddr, encode: F) -> Result<StatusCode, Failure>
where
    F: FnOnce() -> Option<DutyCall>,
{
    let connection = connect(address).await?;
    // Asked after the connection is open, so that nothing but the write follows.
    let call = encode().ok_or(Failure::NotHolder)?;
    connection.exchange(call).await
}

/// An open connection to the platform.
struct Connection {
    address: SocketAddr,
    framed: Framed<TcpStream, ClientCodec>,
}

async fn connect(address: SocketAddr) -> Result<Connection, Failure> {
    let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = opened else {
        return Err(Failure::Unreachable);
    };
    let options = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
    if let Err(error) = options {
        log::debug!(event = "CP1205"; "cannot set socket options for {address}: {error}");
        return Err(Failure::Unreachable);
    }
    let codec = ClientCodec::new(CONFIG.with(Clone::clone));
    Ok(Connection {
        address,
        framed: Framed::new(stream, codec),
    })
}

impl Connection {
    /// Writes the call and waits for the status of the answer.
    async fn exchange(self, call: DutyCall) -> Result<StatusCode, Failure> {
        match timeout(TIMEOUT, self.write_and_read(call)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Failure::NoAnswer),
        }
    }

    async fn write_and_read(mut self, call: DutyCall) -> Result<StatusCode, Failure> {
        let mut head = RequestHead::default();
        head.method = Method::POST;
        head.uri = Uri::try_from(call.path.as_str()).unwrap_or_default();
        head.headers = call.headers;
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            head.headers.insert(header::HOST, host);
        }
        let head = RequestHeadType::Owned(head);
        let size = BodySize::Sized(call.body.len() as u64);
        let messages = [
            Message::Item((head, size)),
            Message::Chunk(Some(call.body)),
            Message::Chunk(None),
        ];
        for message in messages {
            let fed = self.framed.feed(message).await;
            fed.map_err(|_error| Failure::NoAnswer)?;
        }
        let flushed = SinkExt::<Message<(RequestHeadType, BodySize)>>::flush(&mut self.framed);
        flushed.await.map_err(|_error| Failure::NoAnswer)?;
        match self.framed.next().await {
            Some(Ok(head)) => Ok(head.status),
            Some(Err(_)) | None => Err(Failure::NoAnswer),
        }
    }
}
