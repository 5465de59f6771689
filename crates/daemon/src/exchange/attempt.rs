//! One exchange with one runner.

use std::time::{Duration, Instant};

use actix_http::{
    Response, ResponseBuilder, StatusCode,
    body::BoxBody,
    header::{self, HeaderMap},
};
use bytes::Bytes;

use super::{Exchange, admit::Admitted};
use crate::{
    edge::{Dispatch, Word},
    slots::Slot,
    upstream::{self, Failure, Limits},
};

/// Longest time to open a connection to a runner; several round trips within a
/// region, and shorter than the first retransmission of a lost opening packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest whole answer, in bytes.
pub(super) const MAX_ANSWER_BYTES: u64 = 8 << 20;

/// A whole answer of a runner.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl Answer {
    /// The answer for the caller.
    pub(super) fn response(self) -> Response<BoxBody> {
        let mut builder = head(self.status, &self.headers);
        builder.body(self.body).map_into_boxed_body()
    }
}

/// The head of an answer for the caller.
pub(super) fn head(status: StatusCode, headers: &HeaderMap) -> ResponseBuilder {
    let mut builder = ResponseBuilder::new(status);
    for (name, value) in headers {
        if *name != header::CONTENT_LENGTH {
            builder.append_header((name.clone(), value.clone()));
        }
    }
    builder
}

/// The head of a runner's answer, with the body still to come.
pub(super) struct Begun {
    pub(super) word: Word,
    pub(super) response: upstream::Response,
}

/// Sends a request to the runner of a slot and waits for the head of its answer.
pub(super) async fn begin(
    exchange: &Exchange,
    admitted: &Admitted,
    slot: &Slot,
    after: Option<u64>,
) -> Result<Begun, Failure> {
    let ports = exchange.ports();
    let left = admitted.deadline.saturating_duration_since(Instant::now());
    let limits = Limits {
        connect: CONNECT_TIMEOUT.min(left),
        head: left,
        idle: left,
        whole: left,
        max_body_bytes: MAX_ANSWER_BYTES,
        unframed: true,
        ..Limits::default()
    };
    let mut headers = admitted.headers.clone();
    let dispatch = Dispatch {
        runner: &slot.runner,
        account: admitted.account.as_ref().map(|it| it.name.as_str()),
        left,
        rank: admitted.rank,
        after: after.or(admitted.ask.after),
    };
    ports.outside.runners.dispatch(&dispatch, &mut headers);
    let request = upstream::Request {
        id: admitted.ask.id.clone(),
        id_header: ports.outside.runners.id_header(),
        host: admitted.headers.get(header::HOST).cloned(),
        method: admitted.method.clone(),
        path: admitted.path.clone(),
        headers,
        body: admitted.body.clone(),
    };
    ports.upstream.exchanges.inc();
    let response = upstream::exchange(slot.address, request, &limits).await?;
    let word = ports
        .outside
        .runners
        .read(response.status, &response.headers);
    Ok(Begun { word, response })
}
