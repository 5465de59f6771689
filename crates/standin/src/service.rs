//! The service stand-in, which counts the executions of each request.
//!
//! Tests use the counts to check at-most-once execution. A request is counted
//! when it executes, even if its client has disconnected, under its idempotency
//! key or, without one, under a digest of its body.

use std::{
    cell::{Cell, RefCell},
    io,
    time::Duration,
};

use actix_http::{Method, StatusCode};
use indexmap::IndexMap;
use serde_json::json;

use crate::{
    fault::{Fault, Injector},
    server::{Connection, Handler, Next, Request},
};

/// Maximum number of keys counted; a new key beyond it clears all counts.
const MAX_KEYS: usize = 1 << 20;

/// Settings of the service.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Execution time of a request.
    pub run: Duration,
    /// Concurrent requests that it reports it can run.
    pub slots: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            run: Duration::from_millis(5),
            slots: 16,
        }
    }
}

/// A service that executes requests and counts them.
#[derive(Debug, Default)]
pub struct Service {
    settings: Settings,
    faults: Injector,
    runs: RefCell<IndexMap<String, u64>>,
    requests: Cell<u64>,
    done: Cell<u64>,
    running: Cell<u64>,
    /// ID and body of the previous response, for [`Fault::crossed`].
    previous: RefCell<(String, String)>,
}

impl Service {
    /// A service without executions.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    async fn handle_run(&self, request: &Request, connection: &mut Connection) -> io::Result<Next> {
        self.requests.set(self.requests.get() + 1);
        let fault = self.faults.next_fault();
        if let Some(next) = self
            .faults
            .apply_before_run(&fault, request, connection)
            .await?
        {
            return Ok(next);
        }
        let body = self.execute(request, &fault).await;
        let (id, body) = self.choose_response(&fault, request.id(), body);
        self.done.set(self.done.get() + 1);
        fault.respond(connection, StatusCode::OK, &id, body).await
    }

    /// Executes the request and returns the response body.
    async fn execute(&self, request: &Request, fault: &Fault) -> String {
        self.running.set(self.running.get() + 1);
        let time = self.settings.run.mul_f64(fault.slow_factor.unwrap_or(1.0));
        if !time.is_zero() {
            actix_rt::time::sleep(time).await;
        }
        self.running.set(self.running.get() - 1);
        let key = key_of(request);
        let mut runs = self.runs.borrow_mut();
        if runs.len() >= MAX_KEYS && !runs.contains_key(&key) {
            runs.clear();
        }
        let count = runs.entry(key.clone()).or_default();
        *count += 1;
        json!({
            "key": key,
            "method": request.method.as_str(),
            "path": request.path,
            "run": *count,
            "bytes": request.body.len(),
        })
        .to_string()
    }

    /// The current response, or the previous one for [`Fault::crossed`].
    fn choose_response(&self, fault: &Fault, id: &str, body: String) -> (String, String) {
        let current = (id.to_owned(), body);
        let previous = self.previous.replace(current.clone());
        if fault.crossed && !previous.0.is_empty() {
            previous
        } else {
            current
        }
    }

    fn counts(&self) -> serde_json::Value {
        let runs = self.runs.borrow();
        json!({
            "requests": self.requests.get(),
            "attempts": self.requests.get(),
            "running": self.running.get(),
            "done": self.done.get(),
            "runs": runs.values().sum::<u64>(),
            "keys": runs.len(),
            "most": runs.values().max().copied().unwrap_or_default(),
        })
    }
}

impl Handler for Service {
    async fn handle(&self, request: Request, connection: &mut Connection) -> io::Result<Next> {
        let answer = match (&request.method, request.path.as_str()) {
            (&Method::POST, "/fault") => return self.faults.set(&request, connection).await,
            (&Method::GET, "/count") => {
                let key = request.query_parameter("key").unwrap_or_default();
                let runs = self.runs.borrow().get(key).copied().unwrap_or_default();
                json!({"runs": runs})
            }
            (&Method::GET, "/counts") => self.counts(),
            (&Method::GET, "/load") => json!({
                "running": self.running.get(),
                "waiting": 0,
                "slots": self.settings.slots,
                "tokens_per_s": 0.0,
            }),
            _ => return self.handle_run(&request, connection).await,
        };
        connection
            .respond_json(StatusCode::OK, request.id(), &answer)
            .await?;
        Ok(Next::Keep)
    }
}

fn key_of(request: &Request) -> String {
    match request.header("idempotency-key") {
        Some(key) => key.to_owned(),
        None => format!("{:016x}", xxhash_rust::xxh3::xxh3_64(&request.body)),
    }
}
