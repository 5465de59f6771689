//! Reads request bodies with limits on size and time.

use std::time::Duration;

use actix_http::{HttpMessage, Request, StatusCode, header};
use bytes::Bytes;
use citron_policy::buffer::Kind;
use futures_util::StreamExt;

use super::problem::Problem;
use crate::buffers::{Buffers, Full};

/// Longest time for a caller to send a body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a request that found no memory is sent again, about that of an
/// exchange whose buffers are then free.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

/// Reads the complete body, at most `limit` bytes.
pub(crate) async fn read(
    request: &mut Request,
    limit: usize,
    buffers: &Buffers,
) -> Result<Bytes, Problem> {
    let stated = request
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if stated.is_some_and(|stated| stated > limit) {
        return Err(too_large(limit));
    }
    match actix_rt::time::timeout(READ_TIMEOUT, collect(request, limit, buffers)).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Problem::new(
            StatusCode::REQUEST_TIMEOUT,
            "slow-body",
            format!(
                "the body did not arrive within {} s: send it faster",
                READ_TIMEOUT.as_secs()
            ),
        )),
    }
}

async fn collect(request: &mut Request, limit: usize, buffers: &Buffers) -> Result<Bytes, Problem> {
    let mut payload = request.take_payload();
    let mut whole = buffers.body(Kind::Request);
    while let Some(part) = payload.next().await {
        let part = part.map_err(|error| {
            Problem::new(
                StatusCode::BAD_REQUEST,
                "body",
                format!("the body is not valid: {error}; send it again"),
            )
        })?;
        if whole.len() + part.len() > limit {
            return Err(too_large(limit));
        }
        whole.push(&part).map_err(no_memory)?;
    }
    Ok(whole.freeze())
}

fn no_memory(full: Full) -> Problem {
    let detail = format!("{full}: send the request again, or to another instance");
    Problem {
        retry_after: Some(MEMORY_RETRY),
        ..Problem::new(StatusCode::SERVICE_UNAVAILABLE, "memory", detail)
    }
}

/// The problem of a body over its limit.
pub(super) fn too_large(limit: usize) -> Problem {
    Problem::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body-size",
        format!("the body is over the limit of {limit} bytes: send less"),
    )
}
