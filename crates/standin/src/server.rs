//! A plain HTTP server that lets a handler write, cut or drop its answer.

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

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Header that carries a request's identity.
pub const REQUEST_ID: &str = "x-request-id";

/// A request with its whole body.
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
    /// Whole body.
    pub body: Bytes,
}

impl Request {
    /// The value of a header, if it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The value of a query parameter, taken literally.
    #[must_use]
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// The request's identity, empty when it has none.
    #[must_use]
    pub fn id(&self) -> &str {
        self.header(REQUEST_ID).unwrap_or_default()
    }
}

/// Whether the connection stays open after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Wait for another request.
    Keep,
    /// Close at once, whatever was written.
    Close,
}

/// Answers requests.
pub trait Handler {
    /// Answers one request on its connection.
    fn handle(
        &self,
        request: Request,
        connection: &mut Connection,
    ) -> impl Future<Output = io::Result<Next>>;
}

/// The length that an answer's head states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// Sent in chunks.
    Chunked,
    /// This many bytes.
    Sized(u64),
}

/// One caller's connection.
#[derive(Debug)]
pub struct Connection {
    framed: Framed<TcpStream, Codec>,
    /// A request that arrived while an earlier one was answered.
    pipelined: Option<Message<actix_http::Request>>,
}

impl Connection {
    /// Writes a whole answer.
    ///
    /// # Errors
    /// The connection's error.
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

    /// Writes a whole JSON answer.
    ///
    /// # Errors
    /// The connection's error.
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

    /// Writes the head of an answer; it is sent with the next part.
    ///
    /// # Errors
    /// The connection's error, or a header that cannot be sent.
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

    /// Sends a part of the body.
    ///
    /// # Errors
    /// The connection's error.
    pub async fn send_chunk(&mut self, chunk: Bytes) -> io::Result<()> {
        self.framed.send(Message::Chunk(Some(chunk))).await
    }

    /// Ends the body as whole.
    ///
    /// # Errors
    /// The connection's error.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.framed.feed(Message::Chunk(None)).await?;
        self.flush().await
    }

    /// Sends what was written.
    ///
    /// # Errors
    /// The connection's error.
    pub async fn flush(&mut self) -> io::Result<()> {
        SinkExt::<Message<(Response<()>, BodySize)>>::flush(&mut self.framed).await
    }

    /// Ends when the caller has closed the connection.
    pub async fn closed(&mut self) {
        if self.pipelined.is_none() {
            match self.framed.next().await {
                Some(Ok(message)) => self.pipelined = Some(message),
                Some(Err(_)) | None => return,
            }
        }
        std::future::pending::<()>().await;
    }

    /// Whether the connection may carry another request.
    fn keep_alive(&self) -> bool {
        self.framed.codec_ref().keep_alive()
    }

    async fn next_message(&mut self) -> Option<Message<actix_http::Request>> {
        match self.pipelined.take() {
            Some(message) => Some(message),
            None => self.framed.next().await?.ok(),
        }
    }

    /// The next request with its whole body.
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

/// Opens a loopback listener and prints `listening ADDR` when it is ready.
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

/// Serves callers for ever.
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
                log::warn!("connection not accepted: {error}");
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
        log::debug!("connection: {error}");
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
                log::debug!("connection: {error}");
                return;
            }
        }
    }
}
