//! One call of a duty, at a listener that stands for the platform.

use std::{
    cell::Cell,
    io::ErrorKind,
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_http::{
    StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use actix_rt::{System, net::TcpStream};
use bytes::Bytes;
use citron_daemon::{
    duty::{
        Failure,
        call::{CONNECT_TIMEOUT, TIMEOUT, send},
    },
    edge::DutyCall,
};
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket},
};

/// Time that a busy machine may add.
const SLACK: Duration = Duration::from_millis(800);

/// A body that is larger than the buffers of a connection.
const LARGE: usize = 32 << 20;

fn call(body: Bytes) -> DutyCall {
    let mut headers = HeaderMap::new();
    let name = HeaderName::from_static("x-token");
    headers.insert(name, HeaderValue::from_static("17"));
    DutyCall {
        path: "/duty".to_owned(),
        headers,
        body,
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn accept(listener: &TcpListener) -> TcpStream {
    listener.accept().await.expect("a connection").0
}

/// Reads until the end; returns the bytes, and whether the end was a reset.
async fn read_all(stream: &mut TcpStream) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes).await {
        Ok(_) => (bytes, false),
        Err(error) => (bytes, error.kind() == ErrorKind::ConnectionReset),
    }
}

/// Guards against a call whose head or body is cut or changed.
#[gtest]
fn headers_and_body_arrive_whole() {
    System::new().block_on(async {
        let (listener, address) = listen().await;
        let body = Bytes::from("a".repeat(299_997) + "end");
        let server = async {
            let mut stream = accept(&listener).await;
            let mut bytes = Vec::new();
            while !bytes.ends_with(b"end") {
                stream.read_buf(&mut bytes).await.expect("bytes");
            }
            let answer = b"HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}";
            stream.write_all(answer).await.expect("written");
            bytes
        };
        let (outcome, bytes) = tokio::join!(send(address, || Some(call(body.clone()))), server);
        assert_that!(outcome, ok(eq(StatusCode::CONFLICT)));
        let head_length = bytes.len() - body.len();
        assert_that!(bytes[head_length..] == body, eq(true));
        let head = String::from_utf8_lossy(&bytes[..head_length]).to_lowercase();
        expect_that!(head, starts_with("post /duty http/1.1\r\n"));
        expect_that!(head, contains_substring("\r\nx-token: 17\r\n"));
        expect_that!(head, contains_substring("\r\ncontent-length: 300000\r\n"));
        expect_that!(head, contains_substring(format!("\r\nhost: {address}\r\n")));
    });
}

/// Guards against a call that goes on when its lease may have ended.
#[gtest]
fn a_call_without_an_answer_ends_with_a_reset() {
    System::new().block_on(async {
        let (listener, address) = listen().await;
        let started = Instant::now();
        let server = async {
            let mut stream = accept(&listener).await;
            let read = read_all(&mut stream).await;
            (read, started.elapsed())
        };
        let small = Bytes::from_static(b"{}");
        let (outcome, ((bytes, is_reset), ended)) =
            tokio::join!(send(address, || Some(call(small))), server);
        expect_that!(outcome, err(eq(Failure::NoAnswer)));
        expect_that!(bytes.ends_with(b"{}"), eq(true));
        expect_that!(is_reset, eq(true), "closed without a reset");
        expect_that!(ended, ge(TIMEOUT));
        expect_that!(ended, lt(TIMEOUT + SLACK));
    });
}

/// Guards against bytes that the sender's machine still holds and that arrive after the
/// call has ended.
#[gtest]
fn bytes_that_wait_at_the_sender_never_arrive() {
    System::new().block_on(async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4_096).expect("a small buffer");
        socket
            .bind("127.0.0.1:0".parse().expect("an address"))
            .expect("bound");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let server = async {
            let mut stream = accept(&listener).await;
            actix_rt::time::sleep(TIMEOUT + SLACK).await;
            read_all(&mut stream).await
        };
        let body = Bytes::from(vec![b'a'; LARGE]);
        let (outcome, (bytes, is_reset)) = tokio::join!(send(address, || Some(call(body))), server);
        expect_that!(outcome, err(eq(Failure::NoAnswer)));
        expect_that!(is_reset, eq(true), "closed without a reset");
        // What the listener's machine took before the end may still be read there.
        expect_that!(bytes.len(), lt(LARGE / 4));
    });
}

/// Guards against a check of the lease before the connection is open, which may take long.
#[gtest]
fn nothing_is_written_if_the_lease_ended_while_connecting() {
    System::new().block_on(async {
        let (listener, address) = listen().await;
        let asked = Cell::new(false);
        let server = async {
            let mut stream = accept(&listener).await;
            read_all(&mut stream).await
        };
        let ended = || {
            asked.set(true);
            None
        };
        let (outcome, (bytes, _)) = tokio::join!(send(address, ended), server);
        expect_that!(outcome, err(eq(Failure::NotHolder)));
        expect_that!(asked.get(), eq(true));
        expect_that!(bytes, is_empty());
    });
}

/// Guards against a token that is taken before it is known that there is a connection.
#[gtest]
fn the_lease_is_not_asked_without_a_connection() {
    System::new().block_on(async {
        let (listener, address) = listen().await;
        drop(listener);
        let asked = Cell::new(false);
        let started = Instant::now();
        let outcome = send(address, || {
            asked.set(true);
            None
        });
        expect_that!(outcome.await, err(eq(Failure::Unreachable)));
        expect_that!(asked.get(), eq(false));
        expect_that!(started.elapsed(), lt(CONNECT_TIMEOUT + SLACK));
    });
}

/// An answer that stopped within its head is no acknowledgement; the status of a whole head
/// is, whatever becomes of the body, as the platform has decided by then.
#[gtest]
fn an_answer_that_stops_within_its_head_is_no_answer() {
    System::new().block_on(async {
        let (listener, address) = listen().await;
        let whole = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 9\r\n\r\n";
        for length in 0..=whole.len() {
            let server = async {
                let mut stream = accept(&listener).await;
                let mut bytes = Vec::new();
                while !bytes.ends_with(b"{}") {
                    stream.read_buf(&mut bytes).await.expect("bytes");
                }
                let part = &whole.as_bytes()[..length];
                stream.write_all(part).await.expect("written");
            };
            let small = Bytes::from_static(b"{}");
            let (outcome, ()) = tokio::join!(send(address, || Some(call(small))), server);
            if length < whole.len() {
                expect_that!(outcome, err(eq(Failure::NoAnswer)), "{length} bytes");
            } else {
                expect_that!(outcome, ok(eq(StatusCode::OK)));
            }
        }
    });
}
