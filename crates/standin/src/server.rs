//! An HTTP/1 server whose handlers write to the connection directly.
//!
//! A handler can therefore truncate its response or close without one.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use actix_codec::Framed;
use actix_http::{
    Method, Response, ServiceConfig, StatusCode,
    body::BodySize,
    h1::{Codec, Message},
    header::{HeaderMap, HeaderName, HeaderValue},
};
use actix_rt::net::{TcpListener, TcpStream};
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Header that carries the request ID.
pub const REQUEST_ID: &str = "x-request-id";

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Request {
    /// The value of a header, if it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The value of a query parameter, without percent-decoding.
    #[must_use]
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// The request ID; empty if the header is missing.
    #[must_use]
    pub fn id(&self) -> &str {
        self.header(REQUEST_ID).unwrap_or_default()
    }
}

/// Whether the connection stays open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Wait for the next request.
    Keep,
    /// Close immediately, even if the response is incomplete.
    Close,
}

/// Handles requests.
pub trait Handler {
    /// Handles one request and writes its response to the connection.
    fn handle(
        &self,
        request: Request,
        connection: &mut Connection,
    ) -> impl Future<Output = io::Result<Next>>;
}

/// The body length that a response head declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// Chunked transfer encoding.
    Chunked,
    /// Content length, in bytes.
    Sized(u64),
}

/// A connection from a client.
#[derive(Debug)]
pub struct Connection {
    framed: Framed<TcpStream, Codec>,
    /// A message read while an earlier request was being handled.
    pipelined: Option<Message<actix_http::Request>>,
}

impl Connection {
    /// Sends a complete response.
    ///
    /// # Errors
    /// An I/O error on the connection.
    pub async fn respond(
        &mut self,
        status: StatusCode,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> io::Result<()> {
        let length = Length::Sized(body.len() as u64);
        self.write_head(status, headers, length).await?;
        if !body.is_empty() {
            self.framed.feed(Message::Chunk(Some(body))).await?;
        }
        self.finish().await
    }

    /// Sends a complete JSON response.
    ///
    /// # Errors
    /// An I/O error on the connection.
    pub async fn respond_json(
        &mut self,
        status: StatusCode,
        id: &str,
        value: &serde_json::Value,
    ) -> io::Result<()> {
        let headers = [("content-type", "application/json"), (REQUEST_ID, id)];
        self.respond(status, &headers, value.to_string().into())
            .await
    }

    /// Writes a response head; it is sent with the next chunk or flush.
    ///
    /// # Errors
    /// An I/O error on the connection, or an invalid header.
    pub async fn write_head(
        &mut self,
        status: StatusCode,
        headers: &[(&str, &str)],
        length: Length,
    ) -> io::Result<()> {
        let mut response = Response::new(status).drop_body();
        for (name, value) in headers.iter().filter(|(_, value)| !value.is_empty()) {
            let name = HeaderName::try_from(*name).map_err(io::Error::other)?;
            let value = HeaderValue::try_from(*value).map_err(io::Error::other)?;
            response.headers_mut().append(name, value);
        }
        let size = match length {
            Length::Chunked => BodySize::Stream,
            Length::Sized(bytes) => BodySize::Sized(bytes),
        };
        self.framed.feed(Message::Item((response, size))).await
    }

    /// Sends a chunk of the body.
    ///
    /// # Errors
    /// An I/O error on the connection.
    pub async fn send_chunk(&mut self, chunk: Bytes) -> io::Result<()> {
        self.framed.send(Message::Chunk(Some(chunk))).await
    }

    /// Sends the end of the body.
    ///
    /// # Errors
    /// An I/O error on the connection.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.framed.feed(Message::Chunk(None)).await?;
        self.flush().await
    }

    /// Sends buffered output.
    ///
    /// # Errors
    /// An I/O error on the connection.
    pub async fn flush(&mut self) -> io::Result<()> {
        SinkExt::<Message<(Response<()>, BodySize)>>::flush(&mut self.framed).await
    }

    /// Completes when the client has closed the connection.
    pub async fn closed(&mut self) {
        if self.pipelined.is_none() {
            match self.framed.next().await {
                Some(Ok(message)) => self.pipelined = Some(message),
                Some(Err(_)) | None => return,
            }
        }
        std::future::pending::<()>().await;
    }

    /// Whether the connection can be reused for another request.
    fn keep_alive(&self) -> bool {
        self.framed.codec_ref().keep_alive()
    }

    async fn next_message(&mut self) -> Option<Message<actix_http::Request>> {
        match self.pipelined.take() {
            Some(message) => Some(message),
            None => self.framed.next().await?.ok(),
        }
    }

    /// Reads the next request with its complete body.
    ///
    /// `None` if the connection ends or fails, or the body exceeds [`MAX_BODY_BYTES`].
    async fn next_request(&mut self) -> Option<Request> {
        let Message::Item(request) = self.next_message().await? else {
            return None;
        };
        let mut body = BytesMut::new();
        if self.framed.codec_ref().message_type() != actix_http::h1::MessageType::None {
            while let Message::Chunk(Some(chunk)) = self.next_message().await? {
                body.extend_from_slice(&chunk);
                if body.len() > MAX_BODY_BYTES {
                    return None;
                }
            }
        }
        let head = request.head();
        Some(Request {
            method: head.method.clone(),
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers.clone(),
            body: body.freeze(),
        })
    }
}

/// Binds a loopback listener and prints `listening ADDR` to stdout.
///
/// # Errors
/// The address is not on the loopback interface or cannot be bound.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    if !address.ip().is_loopback() {
        let text = format!("{address} is not a loopback address: use 127.0.0.1");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
    }
    let listener = TcpListener::bind(address).await?;
    println!("listening {}", listener.local_addr()?);
    Ok(listener)
}

/// Accepts and serves connections forever.
pub async fn serve<H>(listener: TcpListener, handler: Rc<H>)
where
    H: Handler + 'static,
{
    let config = ServiceConfig::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let codec = Codec::new(config.clone());
                actix_rt::spawn(serve_connection(stream, codec, Rc::clone(&handler)));
            }
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<H>(stream: TcpStream, codec: Codec, handler: Rc<H>)
where
    H: Handler,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {error}");
    }
    let mut connection = Connection {
        framed: Framed::new(stream, codec),
        pipelined: None,
    };
    while let Some(request) = connection.next_request().await {
        match handler.handle(request, &mut connection).await {
            Ok(Next::Keep) if connection.keep_alive() => {}
            Ok(_) => return,
            Err(error) => {
                log::debug!("connection failed: {error}");
                return;
            }
        }
    }
}
