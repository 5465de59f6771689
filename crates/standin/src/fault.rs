//! Fault injection for the stand-ins.
//!
//! `POST /fault` replaces the current fault with the JSON object in its body; an
//! empty object clears it. `times` limits how many requests it applies to.

use std::{
    cell::{Cell, RefCell},
    io,
    time::Duration,
};

use actix_http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::server::{Connection, Length, Next, REQUEST_ID, Request};

/// Interval at which a blocked request checks whether the fault was cleared.
const FREEZE_POLL: Duration = Duration::from_millis(20);

/// Request ID sent for [`Fault::wrong_id`].
const WRONG_ID: &str = "ffffffffffffffff";

/// The faults to inject.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fault of its own, and a test may want several at once"
)]
pub struct Fault {
    /// Text in a request body that makes the process abort.
    pub crash_on: Option<String>,
    /// Tokens after which the process aborts.
    pub crash_after_tokens: Option<u64>,
    /// Tokens after which a stream's connection is closed.
    pub die_after_tokens: Option<u64>,
    /// Truncates responses after half of the body.
    pub cut: Option<Cut>,
    /// Responses carry an ID other than the request's.
    pub wrong_id: bool,
    /// Responses carry no request ID.
    pub no_id: bool,
    /// Each response is the one to the previous request.
    pub crossed: bool,
    /// Non-streamed responses are sent twice.
    pub doubled: bool,
    /// Offset of a token that a stream omits.
    pub skip_token: Option<u64>,
    /// Offset of a token that a stream sends twice.
    pub repeat_token: Option<u64>,
    /// Delay before execution, in milliseconds.
    pub delay_before_ms: u64,
    /// Delay between execution and response, in milliseconds.
    pub delay_after_ms: u64,
    /// Factor on prefill time, the time between tokens and execution time.
    pub slow_factor: Option<f64>,
    /// HTTP status with which requests are refused before execution.
    pub refuse: Option<u16>,
    /// Closes the connection without a complete response.
    pub close: Option<Close>,
    /// Requests block before execution until the fault is cleared.
    pub freeze: bool,
    /// Number of requests affected; unlimited if absent.
    pub times: Option<u64>,
}

/// How a truncated response declares its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cut {
    /// Chunked encoding without the final chunk.
    Chunked,
    /// Content length that exceeds the bytes sent.
    Length,
}

/// When a connection is closed without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Close {
    /// After reading the request, before execution.
    Before,
    /// After execution; a stream is closed after its first token.
    After,
}

/// Holds the current fault of a stand-in.
#[derive(Debug, Default)]
pub struct Injector {
    fault: RefCell<Fault>,
    applied: Cell<u64>,
}

impl Injector {
    /// The fault for the next request; counts it against `times`.
    ///
    /// `crash_on` applies even after `times` is used up.
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
    /// An I/O error on the connection.
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

    /// Applies the faults due before execution; `Some` if they end the request.
    ///
    /// # Errors
    /// An I/O error on the connection.
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
    /// The request ID to send in the response to request `id`.
    #[must_use]
    pub fn response_id<'a>(&self, id: &'a str) -> &'a str {
        match (self.wrong_id, self.no_id) {
            (true, _) => WRONG_ID,
            (false, true) => "",
            (false, false) => id,
        }
    }

    /// Sends a response with this fault applied.
    ///
    /// # Errors
    /// An I/O error on the connection.
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

/// Sleeps; returns without yielding if `ms` is zero.
pub async fn sleep_ms(ms: u64) {
    if ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(ms)).await;
    }
}
