//! Faults that a stand-in shows on command.
//!
//! `POST /fault` replaces the present fault by the JSON object in its body; an
//! empty object ends all faults. `times` limits how many calls it hits.

use std::{
    cell::{Cell, RefCell},
    io,
    time::Duration,
};

use actix_http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::server::{Connection, Length, Next, REQUEST_ID, Request};

/// How often a frozen call looks whether the fault has ended.
const FREEZE_POLL: Duration = Duration::from_millis(20);

/// Request id of answers that carry a wrong one.
const WRONG_ID: &str = "ffffffffffffffff";

/// What goes wrong.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fault of its own, and a test may want several at once"
)]
pub struct Fault {
    /// Text in a request body at which the process aborts.
    pub crash_on: Option<String>,
    /// Tokens after which the process aborts.
    pub crash_after_tokens: Option<u64>,
    /// Tokens after which a stream's connection is closed.
    pub die_after_tokens: Option<u64>,
    /// Answers are cut in the middle.
    pub cut: Option<Cut>,
    /// Answers carry another request's id.
    pub wrong_id: bool,
    /// Answers carry no request id.
    pub no_id: bool,
    /// Each answer is the one to the call before.
    pub crossed: bool,
    /// Whole answers are written twice.
    pub doubled: bool,
    /// Token that a stream leaves out.
    pub skip_token: Option<u64>,
    /// Token that a stream sends twice.
    pub repeat_token: Option<u64>,
    /// Delay before anything runs, in milliseconds.
    pub delay_before_ms: u64,
    /// Delay after it ran and before the answer, in milliseconds.
    pub delay_after_ms: u64,
    /// Factor on the time between tokens and on run time.
    pub slow_factor: Option<f64>,
    /// Status with which calls are refused before they run.
    pub refuse: Option<u16>,
    /// Connection is closed without an answer.
    pub close: Option<Close>,
    /// Calls hang, nothing runs, until the fault ends.
    pub freeze: bool,
    /// Calls that it hits; unlimited when absent.
    pub times: Option<u64>,
}

/// How the length of a cut answer was stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cut {
    /// In chunks, the last one missing.
    Chunked,
    /// In bytes, some of them missing.
    Length,
}

/// When a connection is closed without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Close {
    /// After the request was read, before it runs.
    Before,
    /// After it ran.
    After,
}

/// The present fault of one stand-in.
#[derive(Debug, Default)]
pub struct Injector {
    fault: RefCell<Fault>,
    applied: Cell<u64>,
}

impl Injector {
    /// The fault that hits this call; counts the hit.
    #[must_use]
    pub fn next_fault(&self) -> Fault {
        let fault = self.fault.borrow().clone();
        if fault.times.is_some_and(|times| self.applied.get() >= times) {
            return Fault {
                crash_on: fault.crash_on,
                ..Fault::default()
            };
        }
        self.applied.set(self.applied.get() + 1);
        fault
    }

    /// Handles `POST /fault`.
    ///
    /// # Errors
    /// The connection's error.
    pub async fn set(&self, request: &Request, connection: &mut Connection) -> io::Result<Next> {
        match serde_json::from_slice(&request.body) {
            Ok(fault) => {
                self.fault.replace(fault);
                self.applied.set(0);
                connection
                    .respond_json(StatusCode::OK, request.id(), &json!({}))
                    .await?;
            }
            Err(error) => {
                let text = json!({"error": error.to_string()});
                connection
                    .respond_json(StatusCode::BAD_REQUEST, request.id(), &text)
                    .await?;
            }
        }
        Ok(Next::Keep)
    }

    /// Shows what happens before a call runs; `Some` when the call ends with it.
    ///
    /// # Errors
    /// The connection's error.
    pub async fn apply_before_run(
        &self,
        fault: &Fault,
        request: &Request,
        connection: &mut Connection,
    ) -> io::Result<Option<Next>> {
        crash_on_marker(fault, request);
        while fault.freeze && self.fault.borrow().freeze {
            actix_rt::time::sleep(FREEZE_POLL).await;
        }
        sleep_ms(fault.delay_before_ms).await;
        if let Some(status) = fault.refuse {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            let text = json!({"error": "refused by a fault"});
            connection.respond_json(status, request.id(), &text).await?;
            return Ok(Some(Next::Keep));
        }
        if fault.close == Some(Close::Before) {
            return Ok(Some(Next::Close));
        }
        Ok(None)
    }
}

impl Fault {
    /// The id that an answer to `id` carries.
    #[must_use]
    pub fn response_id<'a>(&self, id: &'a str) -> &'a str {
        match (self.wrong_id, self.no_id) {
            (true, _) => WRONG_ID,
            (false, true) => "",
            (false, false) => id,
        }
    }

    /// Writes an answer, with whatever is wrong with it.
    ///
    /// # Errors
    /// The connection's error.
    pub async fn respond(
        &self,
        connection: &mut Connection,
        status: StatusCode,
        id: &str,
        body: String,
    ) -> io::Result<Next> {
        sleep_ms(self.delay_after_ms).await;
        if self.close == Some(Close::After) {
            return Ok(Next::Close);
        }
        let headers = [
            ("content-type", "application/json"),
            (REQUEST_ID, self.response_id(id)),
        ];
        if let Some(cut) = self.cut {
            let length = match cut {
                Cut::Chunked => Length::Chunked,
                Cut::Length => Length::Sized(body.len() as u64),
            };
            connection.write_head(status, &headers, length).await?;
            let half = body.as_bytes()[..body.len() / 2].to_vec();
            connection.send_chunk(half.into()).await?;
            return Ok(Next::Close);
        }
        if self.doubled {
            connection
                .respond(status, &headers, body.clone().into())
                .await?;
        }
        connection.respond(status, &headers, body.into()).await?;
        Ok(Next::Keep)
    }
}

fn crash_on_marker(fault: &Fault, request: &Request) {
    let Some(marker) = &fault.crash_on else {
        return;
    };
    let found = request
        .body
        .windows(marker.len().max(1))
        .any(|window| window == marker.as_bytes());
    if found {
        std::process::abort();
    }
}

/// Sleeps, or not at all for zero.
pub async fn sleep_ms(ms: u64) {
    if ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(ms)).await;
    }
}
