//! A blocking HTTP client that exposes exactly what the connection delivered.

use std::{
    io::{BufRead, BufReader, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use serde_json::Value;

/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// A response.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// HTTP status; zero if no response came.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The part of the body that was received.
    pub body: Vec<u8>,
    /// Whether the body is complete according to its framing.
    pub whole: bool,
}

impl Reply {
    /// The first header with this name, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("not JSON ({error}): {}", self.text()))
    }

    /// Data of the server-sent events in the body.
    pub fn events(&self) -> Vec<String> {
        self.text()
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .map(str::to_owned)
            .collect()
    }
}

/// Sends `GET path`.
pub fn get(address: SocketAddr, path: &str) -> Reply {
    send(address, "GET", path, &[], b"")
}

/// Sends `POST path`.
pub fn post(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Reply {
    send(address, "POST", path, headers, body)
}

/// Sends a request and reads the whole response.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Reply {
    match Exchange::open(address, method, path, headers, body) {
        Some(exchange) => exchange.finish(),
        None => Reply::default(),
    }
}

/// An exchange whose body is read in parts; dropping it closes the connection.
#[derive(Debug)]
pub struct Exchange {
    reader: BufReader<TcpStream>,
    /// The response head; the body is empty until the end.
    pub reply: Reply,
    framing: Framing,
}

#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunked,
    Sized(usize),
    UntilClosed,
}

impl Exchange {
    /// Sends a request and reads the response head; `None` if no response came.
    pub fn open(
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Option<Self> {
        Self::read(request(address, method, path, headers, body)?)
    }

    /// Reads a response head from a connection.
    pub fn read(stream: TcpStream) -> Option<Self> {
        let mut reader = BufReader::new(stream);
        let line = read_line(&mut reader)?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        let mut headers = Vec::new();
        loop {
            let line = read_line(&mut reader)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let reply = Reply {
            status,
            headers,
            ..Reply::default()
        };
        let framing = framing(&reply);
        Some(Self {
            reader,
            reply,
            framing,
        })
    }

    /// The next part of the body: `None` at its complete end, an error if it is cut off.
    pub fn part(&mut self) -> Option<Result<Vec<u8>, ErrorKind>> {
        let part = match self.framing {
            Framing::Chunked => self.chunk(),
            Framing::Sized(0) => return None,
            Framing::Sized(left) => self.read_up_to(left).inspect(|part| {
                self.framing = Framing::Sized(left - part.len());
            }),
            Framing::UntilClosed => match self.read_up_to(1 << 16) {
                Err(ErrorKind::UnexpectedEof) => return None,
                part => part,
            },
        };
        match part {
            Ok(part) if part.is_empty() => None,
            part => Some(part),
        }
    }

    /// Reads the rest of the body.
    pub fn finish(mut self) -> Reply {
        loop {
            match self.part() {
                Some(Ok(part)) => self.reply.body.extend(part),
                Some(Err(_)) => return self.reply,
                None => break,
            }
        }
        self.reply.whole = true;
        self.reply
    }

    fn chunk(&mut self) -> Result<Vec<u8>, ErrorKind> {
        let line = read_line(&mut self.reader).ok_or(ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.trim(), 16).or(Err(ErrorKind::InvalidData))?;
        let mut part = vec![0; size];
        let mut end = [0; 2];
        let read = self
            .reader
            .read_exact(&mut part)
            .and_then(|()| self.reader.read_exact(&mut end));
        read.map(|()| part).map_err(|error| error.kind())
    }

    fn read_up_to(&mut self, max: usize) -> Result<Vec<u8>, ErrorKind> {
        let mut part = vec![0; max.min(1 << 16)];
        match self.reader.read(&mut part) {
            Ok(0) => Err(ErrorKind::UnexpectedEof),
            Ok(length) => {
                part.truncate(length);
                Ok(part)
            }
            Err(error) => Err(error.kind()),
        }
    }
}

/// Sends a request without reading the response.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.extend([name, ": ", value, "\r\n"]);
    }
    if method != "GET" || !body.is_empty() {
        let length = body.len().to_string();
        head.extend(["content-length: ", &length, "\r\n"]);
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    Some(stream)
}

fn framing(reply: &Reply) -> Framing {
    if reply.header("transfer-encoding") == Some("chunked") {
        return Framing::Chunked;
    }
    if reply.status == 204 || reply.status == 304 {
        return Framing::Sized(0);
    }
    match reply.header("content-length").map(str::parse) {
        Some(Ok(length)) => Framing::Sized(length),
        _ => Framing::UntilClosed,
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(length) if length > 0 => Some(line.trim_end().to_owned()),
        _ => None,
    }
}
