//! Request and response heads.

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
};

use actix_codec::{Decoder, Encoder, Framed};
use actix_http::{
    ConnectionType, Method, RequestHead, ResponseHead, ServiceConfig, StatusCode, Uri,
    body::BodySize,
    error::{ParseError, PayloadError},
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::{self, HeaderMap, HeaderName, HeaderValue},
};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::time::Instant;

use super::{Body, Failure, Limits, Request, Response, Socket};

/// Most interim responses (status 1xx) before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Most bytes of chunk sizes, extensions and trailers between two pieces of a body.
const MAX_FRAMING_BYTES: usize = 16 << 10;

/// Hop-by-hop headers, and headers that the codec writes itself.
const HOP_BY_HOP: [HeaderName; 11] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

thread_local! {
    // A configuration spawns a clock task, so all exchanges of a thread share one.
    static CONFIG: ServiceConfig = ServiceConfig::default();
}

/// Client codec with the thread's shared configuration.
#[derive(Debug)]
pub(super) struct Codec(ClientCodec);

impl Codec {
    pub(super) fn new() -> Self {
        Self(ClientCodec::new(CONFIG.with(Clone::clone)))
    }

    pub(super) fn into_payload(self) -> PayloadCodec {
        PayloadCodec {
            codec: self.0.into_payload_codec(),
            framing_bytes: 0,
        }
    }
}

/// Codec of a response body; limits what a runner sends between two pieces of it.
pub(super) struct PayloadCodec {
    codec: ClientPayloadCodec,
    /// Bytes read since the last piece: chunk sizes, their extensions and trailers.
    framing_bytes: usize,
}

impl std::fmt::Debug for PayloadCodec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PayloadCodec").finish_non_exhaustive()
    }
}

impl Decoder for PayloadCodec {
    type Item = Option<Bytes>;
    type Error = PayloadError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        let before = src.len();
        let piece = self.codec.decode(src)?;
        if piece.is_some() {
            self.framing_bytes = 0;
            return Ok(piece);
        }
        self.framing_bytes += before - src.len();
        // Unread bytes are part of a line or trailer that has not ended.
        if self.framing_bytes + src.len() > MAX_FRAMING_BYTES {
            let text = "chunk size or trailer too long";
            return Err(PayloadError::Io(io::Error::new(
                ErrorKind::InvalidData,
                text,
            )));
        }
        Ok(None)
    }
}

impl Decoder for Codec {
    type Item = ResponseHead;
    type Error = ParseError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        let head = self.0.decode(src)?;
        // An interim answer has no body; the library reads no head while it expects one.
        let is_interim = head.as_ref().is_some_and(|it| it.status.is_informational());
        if is_interim && matches!(self.0.message_type(), MessageType::Payload) {
            return Err(ParseError::Header);
        }
        Ok(head)
    }
}

/// The head of a request, with its id and `Host` header.
pub(super) fn request(target: SocketAddr, request: &Request) -> Result<RequestHead, Failure> {
    let uri: Uri = request
        .path
        .parse()
        .map_err(|error| Failure::Invalid(format!("path: {error}")))?;
    let id = HeaderValue::from_str(&request.id)
        .map_err(|error| Failure::Invalid(format!("request id: {error}")))?;
    let host = match &request.host {
        Some(host) => host.clone(),
        None => HeaderValue::from_str(&target.to_string())
            .map_err(|error| Failure::Invalid(format!("target: {error}")))?,
    };
    let mut head = RequestHead::default();
    head.method = request.method.clone();
    head.uri = uri;
    head.headers = end_to_end(&request.headers);
    head.headers.insert(header::HOST, host);
    head.headers.insert(request.id_header.clone(), id);
    head.set_connection_type(ConnectionType::Close);
    Ok(head)
}

/// Writes the request and waits for the response head, which may arrive first.
///
/// An error tells whether any byte of the request was written.
pub(super) async fn exchange(
    framed: &mut Framed<Socket, Codec>,
    head: RequestHead,
    body: Bytes,
) -> Result<ResponseHead, Failure> {
    let size = match (body.len(), &head.method) {
        (0, &Method::GET | &Method::HEAD) => BodySize::None,
        (length, _) => BodySize::Sized(length as u64),
    };
    let mut written = BytesMut::new();
    let message = Message::Item((head.into(), size));
    if let Err(error) = framed.codec_mut().0.encode(message, &mut written) {
        log::debug!("CP0601 request not written: {error}");
        return Err(Failure::Unwritten);
    }
    framed.io_mut().send(written.freeze(), body);
    let answer = receive(&mut *framed).await;
    let socket = framed.io_ref();
    if !matches!(answer, Err(Failure::Unanswered)) || socket.wrote_all() {
        return answer;
    }
    log::debug!("CP0601 request not written: {:?}", socket.broken());
    if socket.wrote() {
        Err(Failure::PartlyWritten)
    } else {
        Err(Failure::Unwritten)
    }
}

/// Waits for the final response head; skips interim responses.
async fn receive<S>(mut answers: S) -> Result<ResponseHead, Failure>
where
    S: Stream<Item = Result<ResponseHead, ParseError>> + Unpin,
{
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let head = match answers.next().await {
            Some(Ok(head)) => head,
            Some(Err(ParseError::Io(_))) | None => return Err(Failure::Unanswered),
            Some(Err(error)) => return Err(Failure::Garbled(error.to_string())),
        };
        match head.status.as_u16() {
            200..=599 => return Ok(head),
            101 => return Err(Failure::Garbled("it switches protocols unasked".to_owned())),
            100..=199 => {}
            status => return Err(Failure::Garbled(format!("{status} is no status of HTTP"))),
        }
    }
    Err(Failure::Garbled("too many interim answers".to_owned()))
}

/// Checks that the response belongs to the request.
pub(super) fn check_id(head: &ResponseHead, request: &Request) -> Result<(), Failure> {
    let mut ids = head.headers.get_all(&request.id_header);
    let own = |it: &HeaderValue| it.as_bytes() == request.id.as_bytes();
    if !ids.next().is_some_and(own) || ids.next().is_some() {
        return Err(Failure::Crossed);
    }
    Ok(())
}

/// Checks that the response is within limits and states its length.
pub(super) fn check(head: &ResponseHead, method: &Method, limits: &Limits) -> Result<(), Failure> {
    if size(&head.headers) > limits.max_head_bytes {
        let limit = limits.max_head_bytes as u64;
        return Err(Failure::TooLarge { limit });
    }
    let mut encodings = head.headers.get_all(header::TRANSFER_ENCODING);
    let encoding = encodings.next();
    let chunked = encoding.is_some();
    let is_known = encoding.is_none_or(|it| it.as_bytes().eq_ignore_ascii_case(b"chunked"));
    if !is_known || encodings.next().is_some() {
        let reason = "it has a transfer encoding other than chunks";
        return Err(Failure::Garbled(reason.to_owned()));
    }
    let sized = head.headers.contains_key(header::CONTENT_LENGTH);
    if chunked && sized {
        return Err(Failure::Garbled("it states two lengths".to_owned()));
    }
    if !chunked && !sized && !limits.unframed && has_body(head.status, method) {
        return Err(Failure::Garbled("it states no length".to_owned()));
    }
    Ok(())
}

/// The response, whose body is read from the connection.
pub(super) fn response(
    head: &ResponseHead,
    framed: Framed<Socket, Codec>,
    method: &Method,
    end: Instant,
    limits: &Limits,
) -> Response {
    let length = head.headers.get(header::CONTENT_LENGTH);
    let empty = length.is_some_and(|it| it.as_bytes().iter().all(|digit| *digit == b'0'));
    let chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    let body = if empty || !has_body(head.status, method) {
        Body::empty()
    } else if length.is_none() && !chunked {
        Body::unframed(framed, end, limits)
    } else {
        Body::new(framed, end, limits)
    };
    Response {
        status: head.status,
        headers: end_to_end(&head.headers),
        body,
    }
}

fn has_body(status: StatusCode, method: &Method) -> bool {
    *method != Method::HEAD
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

fn size(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum()
}

/// The end-to-end headers: those that neither HTTP nor the sender's own `Connection` header
/// makes hop-by-hop.
///
/// The list is the sender's, so it is applied before headers of one's own are added.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let listed = named
            .iter()
            .any(|it| it.eq_ignore_ascii_case(name.as_str()));
        if !listed && !HOP_BY_HOP.contains(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
