//! A fake runner that follows a script over raw sockets and records what it receives.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_rt::net::{TcpListener, TcpStream};
use citron_daemon::upstream::{Limits, Request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// One step of a script.
#[derive(Clone, Debug)]
pub enum Step {
    /// Reads until the request has this many body bytes.
    Read(usize),
    /// Writes bytes.
    Write(Vec<u8>),
    /// Writes the bytes repeatedly until the client disconnects.
    Flood(Vec<u8>),
    /// Waits for a fixed time.
    Wait(Duration),
    /// Waits until the client closes the connection.
    Hold,
}

/// What the runner has observed; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Connections that were opened.
    pub connections: Rc<Cell<u32>>,
    /// Connections that the client closed.
    pub closed: Rc<Cell<u32>>,
    /// All bytes received, as text.
    pub text: Rc<RefCell<String>>,
}

/// Starts a runner that follows `script` on every connection, then closes it.
pub async fn runner(script: Vec<Step>) -> (SocketAddr, Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    let seen = Seen::default();
    let observed = seen.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            seen.connections.set(seen.connections.get() + 1);
            actix_rt::spawn(run_script(stream, script.clone(), seen.clone()));
        }
    });
    (address, observed)
}

/// Starts a runner that reads a request without a body and responds with `text`.
pub async fn answering(text: &str) -> (SocketAddr, Seen) {
    runner(vec![Step::Read(0), write(text)]).await
}

/// The step that writes `text`.
pub fn write(text: &str) -> Step {
    Step::Write(text.as_bytes().to_vec())
}

/// The request that most tests send.
pub fn request() -> Request {
    Request {
        id: "a1".to_owned(),
        path: "/work".to_owned(),
        ..Request::default()
    }
}

/// Limits that are short where tests expect a timeout.
pub fn limits() -> Limits {
    Limits {
        connect: Duration::from_secs(5),
        head: Duration::from_millis(300),
        idle: Duration::from_millis(300),
        whole: Duration::from_secs(20),
        ..Limits::default()
    }
}

/// Runs a test on its own runtime.
pub fn run<F>(test: F) -> F::Output
where
    F: Future,
{
    actix_rt::System::new().block_on(test)
}

/// Waits until `condition` holds; panics after ten seconds.
pub async fn until<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting until {what}");
}

async fn run_script(mut stream: TcpStream, script: Vec<Step>, seen: Seen) {
    for step in script {
        let open = match step {
            Step::Read(body) => read(&mut stream, body, &seen).await,
            Step::Write(bytes) => stream.write_all(&bytes).await.is_ok(),
            Step::Flood(bytes) => {
                while stream.write_all(&bytes).await.is_ok() {}
                false
            }
            Step::Wait(time) => {
                actix_rt::time::sleep(time).await;
                true
            }
            Step::Hold => matches!(stream.read(&mut [0; 1024]).await, Ok(1..)),
        };
        if !open {
            seen.closed.set(seen.closed.get() + 1);
            return;
        }
    }
}

/// Reads a head and `body` bytes; false if the client disconnects before that.
async fn read(stream: &mut TcpStream, body: usize, seen: &Seen) -> bool {
    let mut read = Vec::new();
    let mut part = [0; 4096];
    loop {
        let head = read.windows(4).position(|four| four == b"\r\n\r\n");
        if head.is_some_and(|head| read.len() >= head + 4 + body) {
            return true;
        }
        match stream.read(&mut part).await {
            Ok(length @ 1..) => {
                read.extend_from_slice(&part[..length]);
                let text = String::from_utf8_lossy(&part[..length]).into_owned();
                seen.text.borrow_mut().push_str(&text);
            }
            _ => return false,
        }
    }
}
