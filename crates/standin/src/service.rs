//! A plain service that counts how often each call ran.
//!
//! It is the judge of at-most-once: a call counts when it runs, whether or not
//! its caller is still there, under its idempotency key or, without one, under
//! a digest of its body.

use std::{
    cell::{Cell, RefCell},
    io,
    time::Duration,
};

use actix_http::{Method, StatusCode};
use indexmap::IndexMap;
use serde_json::json;

use crate::{
    fault::{Fault, Switch},
    server::{Call, Handler, Link, Next},
};

/// Most keys whose runs are counted.
const MAX_KEYS: usize = 1 << 20;

/// How the service behaves.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time that a call runs.
    pub run: Duration,
    /// Calls that it says it can run at once.
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

/// A plain service.
#[derive(Debug, Default)]
pub struct Service {
    settings: Settings,
    faults: Switch,
    runs: RefCell<IndexMap<String, u64>>,
    requests: Cell<u64>,
    done: Cell<u64>,
    running: Cell<u64>,
    /// Identity and body of the answer before, for crossed answers.
    last: RefCell<(String, String)>,
}

impl Service {
    /// A service that has run nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    async fn run(&self, call: &Call, link: &mut Link) -> io::Result<Next> {
        self.requests.set(self.requests.get() + 1);
        let fault = self.faults.hit();
        if let Some(next) = self.faults.before(&fault, call, link).await? {
            return Ok(next);
        }
        let body = self.count(call, &fault).await;
        let (id, body) = self.crossed(&fault, call.id(), body);
        self.done.set(self.done.get() + 1);
        fault.answer(link, StatusCode::OK, &id, body).await
    }

    /// Runs the call and gives the answer.
    async fn count(&self, call: &Call, fault: &Fault) -> String {
        self.running.set(self.running.get() + 1);
        let time = self.settings.run.mul_f64(fault.slow_factor.unwrap_or(1.0));
        if !time.is_zero() {
            actix_rt::time::sleep(time).await;
        }
        self.running.set(self.running.get() - 1);
        let key = key_of(call);
        let mut runs = self.runs.borrow_mut();
        if runs.len() >= MAX_KEYS && !runs.contains_key(&key) {
            runs.clear();
        }
        let count = runs.entry(key.clone()).or_default();
        *count += 1;
        json!({
            "key": key,
            "method": call.method.as_str(),
            "path": call.path,
            "run": *count,
            "bytes": call.body.len(),
        })
        .to_string()
    }

    /// The answer, or the one before it when answers cross.
    fn crossed(&self, fault: &Fault, id: &str, body: String) -> (String, String) {
        let mine = (id.to_owned(), body);
        let before = self.last.replace(mine.clone());
        if fault.crossed && !before.0.is_empty() {
            before
        } else {
            mine
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
    async fn on_call(&self, call: Call, link: &mut Link) -> io::Result<Next> {
        let answer = match (&call.method, call.path.as_str()) {
            (&Method::POST, "/fault") => return self.faults.set(&call, link).await,
            (&Method::GET, "/count") => {
                let key = call.parameter("key").unwrap_or_default();
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
            _ => return self.run(&call, link).await,
        };
        link.json(StatusCode::OK, call.id(), &answer).await?;
        Ok(Next::Keep)
    }
}

fn key_of(call: &Call) -> String {
    match call.header("idempotency-key") {
        Some(key) => key.to_owned(),
        None => format!("{:016x}", xxhash_rust::xxh3::xxh3_64(&call.body)),
    }
}
