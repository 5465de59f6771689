//! Non-streamed requests, each with an idempotency key of its own.

use std::time::Instant;

use actix_http::Method;
use serde_json::Value;

use super::{
    Item, Kind,
    client::{Connections, Target},
    report::{Flaws, Outcome, Times},
};

/// Sends a non-streamed request and checks that the response echoes its key.
pub(super) async fn send(
    connections: &Connections,
    target: &Target,
    item: &Item,
    key: &str,
    at: Instant,
) -> Outcome {
    let exchanged = exchange(connections, target, item, key, at);
    match actix_rt::time::timeout(target.timeout, exchanged).await {
        Ok(outcome) => outcome,
        Err(_) => Outcome::Late,
    }
}

async fn exchange(
    connections: &Connections,
    target: &Target,
    item: &Item,
    key: &str,
    at: Instant,
) -> Outcome {
    let bearer = format!("Bearer {}", item.key);
    let timeout = target.timeout.as_millis().max(1).to_string();
    let headers = [
        ("content-type", "application/json"),
        ("authorization", bearer.as_str()),
        ("citron-class", item.class.as_str()),
        ("citron-timeout-ms", timeout.as_str()),
        ("idempotency-key", key),
        ("x-request-id", target.id.as_str()),
    ];
    let name = if item.kind == Kind::Book {
        "book"
    } else {
        "status"
    };
    let path = if target.direct {
        format!("/{name}")
    } else {
        format!("/v1/services/{}/{name}", item.service)
    };
    // Each body is unique, as with real bookings.
    let body = format!("{key:x<width$}", width = item.bytes).into_bytes();
    let sent = connections.send(target.address, Method::POST, &path, &headers, body.into());
    let mut response = match sent.await {
        Ok(response) => response,
        Err(error) => {
            log::debug!("no response from {}: {error}", target.address);
            return Outcome::Lost;
        }
    };
    if !response.head.status.is_success() {
        return Outcome::from_error_response(&mut response).await;
    }
    let Ok(body) = response.read_body().await else {
        return Outcome::Cut(Flaws::default());
    };
    connections.release(response);
    let own = serde_json::from_slice::<Value>(&body).is_ok_and(|value| value["key"] == key);
    if !own {
        return Outcome::Wrong(Flaws {
            foreign: 1,
            ..Flaws::default()
        });
    }
    let whole = at.elapsed();
    Outcome::Answered(Times {
        first_token: whole,
        whole,
        ..Times::default()
    })
}
