//! HTTP client for runners that detects truncated responses and unsent requests.
//!
//! The response is read while the request is still being written, since a runner may
//! respond before it has read a long body, and read on later.
//!
//! Each exchange uses a new connection, so nothing is written to a connection that
//! the peer may have closed, and a late response cannot be taken for that of another
//! request. Nothing is retried and no redirect is followed here: the policy decides
//! on retries, based on [`Failure::ending`]. Dropping a [`Response`] or its body
//! closes the connection, which cancels the work upstream.

mod body;
mod failure;
mod head;
mod metrics;
pub mod model;
mod socket;

use std::{net::SocketAddr, time::Duration};

use actix_codec::Framed;
use actix_http::{
    Method, RequestHead, ResponseHead, StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use actix_rt::net::TcpStream;
use bytes::Bytes;
use socket2::SockRef;
use tokio::time::{Instant, timeout, timeout_at};

use crate::socket::Patience;

pub(crate) use self::{body::is_gone, head::end_to_end};
pub use self::{
    body::{Body, Framing},
    failure::Failure,
    metrics::Metrics,
};
use self::{head::Codec, socket::Socket};

/// Most bytes that the system takes of a request beyond what the runner has room for.
const MAX_UNSENT_BYTES: u32 = 32 << 10;

/// Header with the request id, which the response must repeat.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Bounds of one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest time to connect.
    pub connect: Duration,
    /// Longest time from the connection to the response head.
    pub head: Duration,
    /// Longest time without data within the body.
    pub idle: Duration,
    /// Longest time of the whole exchange.
    pub whole: Duration,
    /// Whether a body delimited only by an orderly close of the connection is accepted.
    pub unframed: bool,
    /// Largest response head, in bytes.
    pub max_head_bytes: usize,
    /// Largest response body, in bytes.
    pub max_body_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            head: Duration::from_mins(1),
            idle: Duration::from_secs(30),
            whole: Duration::from_mins(10),
            unframed: false,
            max_head_bytes: 32 << 10,
            max_body_bytes: 64 << 20,
        }
    }
}

/// A request to a runner.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id, which the response must repeat.
    pub id: String,
    /// Header that carries the id.
    pub id_header: HeaderName,
    /// Value of the `Host` header; the runner's address if `None`.
    pub host: Option<HeaderValue>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Other headers; hop-by-hop headers are removed.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Default for Request {
    fn default() -> Self {
        Self {
            id: String::new(),
            id_header: REQUEST_ID,
            host: None,
            method: Method::GET,
            path: "/".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }
}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body, which may still be arriving.
    pub body: Body,
}

/// Sends a request to `target` and waits for the response head.
///
/// # Errors
/// [`Failure`] says how far the exchange got; the connection is closed.
pub async fn exchange(
    target: SocketAddr,
    request: Request,
    limits: &Limits,
) -> Result<Response, Failure> {
    let request_head = head::request(target, &request)?;
    let opened = open(target, request_head, request.body.clone(), limits).await?;
    head::check_id(&opened.head, &request)?;
    opened.response(&request.method, limits)
}

/// Asks for what `path` names at `target`, which repeats no request id.
///
/// # Errors
/// [`Failure`] if no response head arrived.
pub async fn fetch(target: SocketAddr, path: &str, limits: &Limits) -> Result<Response, Failure> {
    let request = Request {
        path: path.to_owned(),
        ..Request::default()
    };
    let mut request_head = head::request(target, &request)?;
    request_head.headers.remove(&request.id_header);
    let opened = open(target, request_head, Bytes::new(), limits).await?;
    opened.response(&request.method, limits)
}

/// An exchange whose response head has arrived.
struct Opened {
    head: ResponseHead,
    framed: Framed<Socket, Codec>,
    end: Instant,
}

impl Opened {
    fn response(self, method: &Method, limits: &Limits) -> Result<Response, Failure> {
        head::check(&self.head, method, limits)?;
        Ok(head::response(
            &self.head,
            self.framed,
            method,
            self.end,
            limits,
        ))
    }
}

async fn open(
    target: SocketAddr,
    request_head: RequestHead,
    body: Bytes,
    limits: &Limits,
) -> Result<Opened, Failure> {
    let end = Instant::now() + limits.whole;
    let stream = connect(target, limits).await?;
    let mut framed = Framed::new(Socket::new(stream), Codec::new());
    let head_end = end.min(Instant::now() + limits.head);
    let exchanged = head::exchange(&mut framed, request_head, body);
    let head = match timeout_at(head_end, exchanged).await {
        Ok(outcome) => outcome?,
        Err(_) if framed.io_ref().wrote() => return Err(Failure::Late),
        Err(_) => return Err(Failure::Unwritten),
    };
    Ok(Opened { head, framed, end })
}

async fn connect(target: SocketAddr, limits: &Limits) -> Result<TcpStream, Failure> {
    let opened = timeout(limits.connect.min(limits.whole), TcpStream::connect(target)).await;
    let stream = match opened {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(Failure::Refused(error.kind())),
        Err(_) => return Err(Failure::Unreachable),
    };
    // With Nagle's algorithm small writes wait for acknowledgements. An error here only
    // costs time, or hides that a runner takes no more of a request.
    if let Err(error) = stream
        .set_nodelay(true)
        .and_then(|()| Patience::RUNNER.apply(&stream))
        .and_then(|()| SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES))
    {
        log::debug!("CP0601 cannot set socket options for {target}: {error}");
    }
    Ok(stream)
}
