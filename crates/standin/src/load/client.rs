//! An HTTP client that tells a complete response from a truncated one.

use std::{cell::RefCell, io, net::SocketAddr, time::Duration};

use actix_codec::Framed;
use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, Uri,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::{self, HeaderName, HeaderValue},
};
use actix_rt::net::TcpStream;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use indexmap::IndexMap;

/// Maximum number of idle connections kept per address.
const MAX_IDLE: usize = 256;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Destination and timeout of a request.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// Address of an entry instance or a stand-in.
    pub address: SocketAddr,
    /// Whether the address is that of a stand-in.
    pub direct: bool,
    /// Request ID.
    pub id: String,
    /// Time left until its deadline.
    pub timeout: Duration,
}

/// A pool of idle connections.
#[derive(Debug)]
pub(super) struct Connections {
    keep_alive: bool,
    idle: RefCell<IndexMap<SocketAddr, Vec<Framed<TcpStream, ClientCodec>>>>,
    config: ServiceConfig,
}

/// A response whose body is yet to be read.
pub(super) struct Response {
    /// Status and headers.
    pub head: ResponseHead,
    body: Option<Framed<TcpStream, ClientPayloadCodec>>,
    idle: Option<Framed<TcpStream, ClientCodec>>,
    address: SocketAddr,
}

impl Connections {
    pub(super) fn new(keep_alive: bool) -> Self {
        Self {
            keep_alive,
            idle: RefCell::default(),
            config: ServiceConfig::default(),
        }
    }

    /// Sends a request and waits for the response head.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> io::Result<Response> {
        let mut framed = self.connect(address).await?;
        let mut head = RequestHead::default();
        head.method = method;
        head.uri = path.parse::<Uri>().map_err(io::Error::other)?;
        let host = HeaderValue::try_from(address.to_string()).map_err(io::Error::other)?;
        head.headers.insert(header::HOST, host);
        for (name, value) in headers.iter().filter(|(_, value)| !value.is_empty()) {
            let value = HeaderValue::try_from(*value).map_err(io::Error::other)?;
            head.headers.insert(HeaderName::from_static(name), value);
        }
        if !self.keep_alive {
            head.set_connection_type(actix_http::ConnectionType::Close);
        }
        let size = BodySize::Sized(body.len() as u64);
        let head: RequestHeadType = head.into();
        framed.feed(Message::Item((head, size))).await?;
        if !body.is_empty() {
            framed.feed(Message::Chunk(Some(body))).await?;
        }
        SinkExt::<Message<(RequestHeadType, BodySize)>>::flush(&mut framed).await?;
        let head = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)?;
        let head = head.map_err(io::Error::other)?;
        Ok(Response::new(head, framed, address))
    }

    /// Returns the connection to the pool once the response is complete.
    pub(super) fn release(&self, response: Response) {
        let Some(framed) = response.idle else { return };
        if !self.keep_alive || !framed.codec_ref().keep_alive() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(response.address).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(framed);
        }
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<Framed<TcpStream, ClientCodec>> {
        let idle = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
        if let Some(framed) = idle {
            return Ok(framed);
        }
        let opened = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        Ok(Framed::new(stream, ClientCodec::new(self.config.clone())))
    }
}

impl Response {
    fn new(
        head: ResponseHead,
        framed: Framed<TcpStream, ClientCodec>,
        address: SocketAddr,
    ) -> Self {
        let (body, idle) = match framed.codec_ref().message_type() {
            MessageType::None => (None, Some(framed)),
            MessageType::Payload | MessageType::Stream => (
                Some(framed.into_map_codec(ClientCodec::into_payload_codec)),
                None,
            ),
        };
        Self {
            head,
            body,
            idle,
            address,
        }
    }

    /// The value of a header, if it is text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// The next chunk of the body; `None` only after the complete body.
    pub(super) async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        let body = self.body.as_mut()?;
        match body.next().await {
            Some(Ok(Some(chunk))) => Some(Ok(chunk)),
            Some(Ok(None)) => {
                let body = self.body.take();
                self.idle =
                    body.map(|it| it.into_map_codec(ClientPayloadCodec::into_message_codec));
                None
            }
            Some(Err(error)) => Some(Err(io::Error::other(error))),
            None => Some(Err(io::ErrorKind::UnexpectedEof.into())),
        }
    }

    /// Reads the complete body.
    pub(super) async fn read_body(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        while let Some(chunk) = self.next_chunk().await {
            bytes.extend_from_slice(&chunk?);
        }
        Ok(bytes)
    }
}
