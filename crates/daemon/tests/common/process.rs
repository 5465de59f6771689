//! Child processes.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc,
};

use serde_json::Value;

use super::{TIMEOUT, eventually, http};

/// Maximum number of log lines of a process that are printed when a test fails.
const SHOWN_LINES: usize = 40;

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
    /// The line that announced readiness.
    pub ready: String,
}

impl Process {
    /// Starts `program` and waits for its `listening …` line.
    pub fn start(program: &Path, arguments: &[String], log: PathBuf) -> Self {
        let errors = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("a log file");
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| {
                panic!(
                    "{}: {error}; run `cargo build --workspace`",
                    program.display()
                )
            });
        let output = child.stdout.take().expect("a pipe");
        let (sender, lines) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                // Drains the pipe after the receiver is gone, so that it never fills up.
                drop(sender.send(line));
            }
        });
        let mut process = Self {
            child,
            log,
            ready: String::new(),
        };
        process.ready = loop {
            match lines.recv_timeout(TIMEOUT) {
                Ok(line) if line.starts_with("listening") => break line,
                Ok(_) => {}
                Err(error) => panic!("{} is not ready: {error}", program.display()),
            }
        };
        process
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.id().to_string()])
            .status()
            .expect("kill");
        assert!(status.success(), "signal {name} was not sent");
    }

    /// Exit status, if the process has exited.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the child's status")
    }

    /// Waits until the process exits on its own.
    pub fn wait(&mut self) -> ExitStatus {
        eventually("the process ends", || self.ended())
    }

    /// Contents of its log file.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = self.log();
            let lines: Vec<&str> = log.lines().collect();
            let from = lines.len().saturating_sub(SHOWN_LINES);
            eprintln!("--- {}\n{}", self.log.display(), lines[from..].join("\n"));
        }
    }
}

/// A stand-in and its address.
#[derive(Debug)]
pub struct StandIn {
    /// The process.
    pub process: Process,
    /// Address that it listens on.
    pub address: SocketAddr,
}

impl StandIn {
    /// Starts `citron-standin KIND ARGUMENTS` on a free port.
    pub fn start(kind: &str, arguments: &[&str], folder: &Path) -> Self {
        Self::start_at("127.0.0.1:0", kind, arguments, folder)
    }

    /// Starts it on a given address, for example to restart it after a crash.
    pub fn start_at(address: &str, kind: &str, arguments: &[&str], folder: &Path) -> Self {
        let mut all = vec![kind.to_owned(), "--listen".to_owned(), address.to_owned()];
        all.extend(arguments.iter().map(ToString::to_string));
        let log = folder.join(format!("{kind}.log"));
        let process = Process::start(&program(), &all, log);
        let address = process.ready.trim_start_matches("listening ").trim();
        let address = address.parse().expect("an address");
        Self { process, address }
    }

    /// Sets the fault to inject.
    pub fn set_fault(&self, fault: &Value) {
        let reply = http::post(self.address, "/fault", &[], fault.to_string().as_bytes());
        assert_eq!(reply.status, 200, "fault refused: {}", reply.text());
    }

    /// All of its counters.
    pub fn counts(&self) -> Value {
        http::get(self.address, "/counts").json()
    }

    /// One of its counters.
    pub fn count(&self, name: &str) -> u64 {
        self.counts()[name].as_u64().expect("a count")
    }

    /// Number of times that a call with an idempotency key ran.
    pub fn runs(&self, key: &str) -> u64 {
        let reply = http::get(self.address, &format!("/count?key={key}"));
        reply.json()["runs"].as_u64().expect("a count")
    }
}

/// Runs the load driver to completion and returns its report.
pub fn load(addresses: &str, arguments: &[&str], mix: &Value) -> Value {
    let output = Command::new(program())
        .args(["load", "--entries", addresses, "--mix", &mix.to_string()])
        .args(arguments)
        .output()
        .expect("the load driver");
    serde_json::from_slice(&output.stdout).unwrap_or_else(|error| {
        panic!(
            "no report ({error}): {}",
            String::from_utf8_lossy(&output.stderr)
        )
    })
}

/// The stand-in's binary, built into the same directory as the daemon's.
fn program() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_citrond")).with_file_name("citron-standin")
}
