//! One exchange with one runner.

use std::time::{Duration, Instant};

use actix_http::{
    Response, ResponseBuilder, StatusCode,
    body::BoxBody,
    header::{self, HeaderMap},
};
use bytes::Bytes;

use super::{Exchange, admit::Admitted, hop};
use crate::{
    edge::{Dispatch, RunnerHead},
    slots::Slot,
    upstream::{self, Failure, Framing, Limits},
};

/// Longest time to connect to a runner: several round trips within a region, but
/// shorter than the first retransmission of a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest response body, in bytes.
const MAX_ANSWER_BYTES: u64 = 8 << 20;

/// A complete response of a runner.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl Answer {
    /// The response for the caller.
    pub(super) fn response(self) -> Response<BoxBody> {
        let mut builder = head(self.status, &self.headers);
        builder.body(self.body).map_into_boxed_body()
    }
}

/// The response head for the caller.
pub(super) fn head(status: StatusCode, headers: &HeaderMap) -> ResponseBuilder {
    let mut builder = ResponseBuilder::new(status);
    for (name, value) in headers {
        if *name != header::CONTENT_LENGTH {
            builder.append_header((name.clone(), value.clone()));
        }
    }
    builder
}

/// A runner's response whose head has arrived.
pub(super) struct Started {
    pub(super) runner_head: RunnerHead,
    pub(super) response: upstream::Response,
}

/// Sends a request to the runner of a slot and waits for the response head.
pub(super) async fn send(
    exchange: &Exchange,
    admitted: &Admitted,
    slot: &Slot,
    last_event: Option<u64>,
) -> Result<Started, Failure> {
    let ports = exchange.ports();
    let left = admitted.deadline.saturating_duration_since(Instant::now());
    let limits = Limits {
        unframed: true,
        ..limits(CONNECT_TIMEOUT, left)
    };
    let mut headers = admitted.headers.clone();
    let dispatch = Dispatch {
        runner: &slot.runner,
        account: admitted.account.as_ref().map(|it| it.name.as_str()),
        left,
        rank: admitted.rank,
        after: last_event.or(admitted.caller_head.after),
    };
    let written = ports.adapter.runners.dispatch(&dispatch, &mut headers);
    written.map_err(|error| Failure::Invalid(error.to_string()))?;
    let request = request(exchange, admitted, headers);
    ports.upstream.exchanges.inc();
    let mut response = upstream::exchange(slot.address, request, &limits).await?;
    // Only a peer may say that it cannot serve the request.
    hop::remove_marks(&mut response.headers);
    let runner_head = ports
        .adapter
        .runners
        .read(response.status, &response.headers);
    Ok(Started {
        runner_head,
        response,
    })
}

/// Checks that an answer which ended with its connection is complete.
///
/// # Errors
/// [`Failure::Gone`] if the runner may have been killed before the end.
pub(super) async fn confirm_end(slot: Option<&Slot>, framing: Framing) -> Result<(), Failure> {
    // A peer states the end of its answers.
    let Some(slot) = slot.filter(|_| framing == Framing::Close) else {
        return Ok(());
    };
    // One that leaves may stop listening before its last answers end, or be killed then.
    if upstream::is_gone(slot.address).await {
        return Err(Failure::Gone);
    }
    Ok(())
}

/// Limits of an exchange, all of which end with the time that is left.
pub(super) fn limits(connect: Duration, left: Duration) -> Limits {
    Limits {
        connect: connect.min(left),
        head: left,
        idle: left,
        whole: left,
        max_body_bytes: MAX_ANSWER_BYTES,
        ..Limits::default()
    }
}

/// The caller's request with other headers.
pub(super) fn request(
    exchange: &Exchange,
    admitted: &Admitted,
    headers: HeaderMap,
) -> upstream::Request {
    upstream::Request {
        id: admitted.caller_head.id.clone(),
        id_header: exchange.ports().adapter.runners.id_header(),
        host: admitted.headers.get(header::HOST).cloned(),
        method: admitted.method.clone(),
        path: admitted.path.clone(),
        headers,
        body: admitted.body.clone(),
    }
}
