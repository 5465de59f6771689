//! Reads bodies and query parameters of operators' requests, within limits.

use std::time::Duration;

use actix_http::{Request, StatusCode};
use bytes::{Bytes, BytesMut};
use citron_wire::admin::{Kind, MAX_BODY_BYTES};
use futures_util::StreamExt;
use serde::de::DeserializeOwned;

use super::Problem;

/// Timeout for receiving a body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a JSON body.
pub(super) async fn read<T>(request: &mut Request) -> Result<T, Problem>
where
    T: DeserializeOwned,
{
    let collected = actix_rt::time::timeout(READ_TIMEOUT, collect(request)).await;
    let bytes = collected.map_err(|elapsed| {
        let detail = format!("the body did not arrive: {elapsed}: send it faster");
        Problem::new(StatusCode::REQUEST_TIMEOUT, Kind::Request, detail)
    })??;
    serde_json::from_slice(&bytes)
        .map_err(|error| Problem::request(format!("the body is not what the path takes: {error}")))
}

async fn collect(request: &mut Request) -> Result<Bytes, Problem> {
    let mut payload = request.take_payload();
    let mut whole = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|error| {
            Problem::request(format!("the body is not valid: {error}: send it again"))
        })?;
        if whole.len() + part.len() > MAX_BODY_BYTES {
            let detail = format!("the body is over {MAX_BODY_BYTES} bytes: send it in parts");
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(Problem::new(status, Kind::Request, detail));
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}

/// The value of a query parameter, with its percent escapes decoded.
pub(super) fn parameter(request: &Request, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|(key, _)| *key == name)?.1;
    percent_decode(value)
}

fn percent_decode(value: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        if *first != b'%' {
            bytes.push(*first);
            rest = after;
            continue;
        }
        let digits = std::str::from_utf8(after.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &after[2..];
    }
    String::from_utf8(bytes).ok()
}
