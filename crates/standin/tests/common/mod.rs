//! Stand-ins as real processes, killed when their handle is dropped.

#![allow(dead_code, reason = "each test file uses a part")]

#[path = "../../../daemon/tests/common/http.rs"]
pub mod http;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// Timeout of [`eventually`], long enough for a slow machine.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A running stand-in.
pub struct StandIn {
    child: Child,
    /// Address on which it listens.
    pub address: SocketAddr,
}

impl StandIn {
    /// Starts `citron-standin ARGUMENTS` and waits until it listens.
    pub fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_citron-standin"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let output = child.stdout.take().expect("a pipe");
        let mut line = String::new();
        let read = BufReader::new(output).read_line(&mut line);
        read.expect("a line");
        let address = line.trim_start_matches("listening ").trim();
        let address = address.parse().expect("an address");
        Self { child, address }
    }

    /// Sets the fault to inject.
    pub fn set_fault(&self, fault: &Value) {
        let reply = http::post(self.address, "/fault", &[], fault.to_string().as_bytes());
        assert_eq!(reply.status, 200, "fault refused: {}", reply.text());
    }

    /// The value of one of its counters.
    pub fn count(&self, name: &str) -> u64 {
        let counts = http::get(self.address, "/counts").json();
        counts[name].as_u64().expect("a count")
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("a status")
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Body of a chat request.
pub fn chat(prompt: &str, stream: bool) -> Vec<u8> {
    json!({
        "model": "m",
        "stream": stream,
        "messages": [{"role": "user", "content": prompt}],
    })
    .to_string()
    .into_bytes()
}

/// Waits until `condition` holds; panics after [`TIMEOUT`].
pub fn eventually<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "not met within {TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
