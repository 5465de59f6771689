//! The platform stand-in: an instance list that lags behind updates.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    time::{Duration, Instant},
};

use actix_http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::{
    fault::Injector,
    server::{Connection, Handler, Next, Request},
};

/// Maximum number of lists kept, including the published one.
const MAX_LISTS: usize = 1_024;

/// A platform whose list is published with a delay.
#[derive(Debug, Default)]
pub struct Platform {
    lists: RefCell<VecDeque<(Instant, Value)>>,
    lag: Cell<Duration>,
    faults: Injector,
    reads: Cell<u64>,
}

impl Platform {
    /// A platform that publishes `list` immediately and later lists after `lag`.
    #[must_use]
    pub fn new(now: Instant, list: Value, lag: Duration) -> Self {
        let shown = now.checked_sub(lag).unwrap_or(now);
        Self {
            lists: RefCell::new(VecDeque::from([(shown, list)])),
            lag: Cell::new(lag),
            ..Self::default()
        }
    }

    /// The list published at `now`.
    fn shown(&self, now: Instant) -> Value {
        let mut lists = self.lists.borrow_mut();
        while lists
            .get(1)
            .is_some_and(|(set, _)| now.duration_since(*set) >= self.lag.get())
        {
            lists.pop_front();
        }
        lists
            .front()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    fn push(&self, now: Instant, list: Value) {
        let mut lists = self.lists.borrow_mut();
        if lists.len() >= MAX_LISTS {
            lists.pop_front();
        }
        lists.push_back((now, list));
    }

    async fn read(&self, request: &Request, connection: &mut Connection) -> io::Result<Next> {
        self.reads.set(self.reads.get() + 1);
        let fault = self.faults.next_fault();
        if let Some(next) = self
            .faults
            .apply_before_run(&fault, request, connection)
            .await?
        {
            return Ok(next);
        }
        let body = self.shown(Instant::now()).to_string();
        fault
            .respond(connection, StatusCode::OK, request.id(), body)
            .await
    }

    fn replace(&self, body: &[u8]) -> Result<Value, String> {
        let list: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let complete = ["entries", "runners"]
            .iter()
            .all(|field| list.get(field).is_some_and(Value::is_array));
        if !complete {
            return Err("a list has the arrays `entries` and `runners`".to_owned());
        }
        self.push(Instant::now(), list);
        Ok(json!({}))
    }

    fn set_lag(&self, request: &Request) -> Result<Value, String> {
        let ms = request.query_parameter("ms").and_then(|ms| ms.parse().ok());
        let ms = ms.ok_or("give the lag as ?ms=NUMBER")?;
        self.lag.set(Duration::from_millis(ms));
        Ok(json!({}))
    }
}

impl Handler for Platform {
    async fn handle(&self, request: Request, connection: &mut Connection) -> io::Result<Next> {
        let outcome = match (&request.method, request.path.as_str()) {
            (&Method::GET, "/v1/list") => return self.read(&request, connection).await,
            (&Method::POST, "/fault") => return self.faults.set(&request, connection).await,
            (&Method::POST, "/v1/list") => self.replace(&request.body),
            (&Method::POST, "/v1/lag") => self.set_lag(&request),
            (&Method::GET, "/counts") => Ok(json!({"requests": self.reads.get()})),
            _ => Err("unknown path: use /v1/list, /v1/lag, /fault or /counts".to_owned()),
        };
        let (status, value) = match outcome {
            Ok(value) => (StatusCode::OK, value),
            Err(text) => (StatusCode::BAD_REQUEST, json!({"error": text})),
        };
        connection
            .respond_json(status, request.id(), &value)
            .await?;
        Ok(Next::Keep)
    }
}
