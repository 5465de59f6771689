//! Reads request bodies with limits on size and time.

use std::time::Duration;

use actix_http::{HttpMessage, Request, StatusCode, header};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

use super::problem::Problem;

/// Longest time for a caller to send a body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the complete body, at most `limit` bytes.
pub(crate) async fn read(request: &mut Request, limit: usize) -> Result<Bytes, Problem> {
    let stated = request
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if stated.is_some_and(|stated| stated > limit) {
        return Err(too_large(limit));
    }
    match actix_rt::time::timeout(READ_TIMEOUT, collect(request, limit)).await {
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

async fn collect(request: &mut Request, limit: usize) -> Result<Bytes, Problem> {
    let mut payload = request.take_payload();
    let mut whole = BytesMut::new();
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
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}

/// The problem of a body over its limit.
pub(super) fn too_large(limit: usize) -> Problem {
    Problem::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body-size",
        format!("the body is over the limit of {limit} bytes: send less"),
    )
}
