//! Discovery of addresses and models, and health checks of this daemon.

use std::net::SocketAddr;

use actix_http::{Request, Response, ResponseBuilder, StatusCode, body::BoxBody, header};
use citron_policy::{
    catalogue::Backend,
    discovery::{self, Caller},
    id::InstanceId,
    member::Members,
};
use serde_json::{Value, json};

use super::{Callers, problem::Problem};

/// Limit on other addresses named in a refusal.
const MAX_OTHERS: usize = 3;

/// Responds to `GET /v1/entries`.
pub(super) fn list(callers: &Callers, request: &Request) -> Response<BoxBody> {
    let ports = callers.ports();
    let open = callers.check_open();
    let current = open.is_ok();
    let query = request.uri().query().unwrap_or_default();
    let domain = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("domain="));
    let caller = Caller {
        domain,
        seed: rand::random(),
        by_capacity: false,
    };
    match discovery::list(&ports.members.borrow(), current, &caller) {
        Ok(answer) => {
            let ttl_ms = u64::try_from(answer.ttl.as_millis()).unwrap_or(u64::MAX);
            let entries: Vec<Value> = answer
                .choices
                .iter()
                .map(|it| json!({"instance": it.id, "domain": it.domain, "address": it.callers}))
                .collect();
            json_answer(
                StatusCode::OK,
                &json!({"entries": entries, "ttl_ms": ttl_ms}),
            )
        }
        Err(refusal) => {
            let problem = open.err().unwrap_or_else(|| {
                Problem::new(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no-entries",
                    refusal.to_string(),
                )
            });
            callers.with_alternatives(problem).response(rand::random())
        }
    }
}

/// Responds to `GET /v1/models`.
pub(super) fn models(callers: &Callers) -> Response<BoxBody> {
    let view = callers.ports().view.borrow().clone();
    let services = view.catalogue.services.values();
    let models: Vec<Value> = services
        .filter(|service| service.backend == Backend::Model)
        .map(|service| json!({"id": service.name, "object": "model", "owned_by": service.owner}))
        .collect();
    json_answer(StatusCode::OK, &json!({"object": "list", "data": models}))
}

/// Responds to `GET /healthz`: the process is running.
pub(super) fn health() -> Response<BoxBody> {
    json_answer(StatusCode::OK, &json!({"healthy": true}))
}

/// Responds to `GET /readyz`: new work is accepted.
pub(super) fn ready(callers: &Callers) -> Response<BoxBody> {
    match callers.check_open() {
        Ok(()) => json_answer(StatusCode::OK, &json!({"ready": true})),
        Err(problem) => problem.response(rand::random()),
    }
}

/// Addresses of other instances that accept work.
pub(super) fn others(members: &Members, me: &InstanceId) -> Vec<SocketAddr> {
    let caller = Caller {
        domain: None,
        seed: rand::random(),
        by_capacity: false,
    };
    let Ok(answer) = discovery::list(members, true, &caller) else {
        return Vec::new();
    };
    let others = answer.choices.into_iter().filter(|choice| choice.id != *me);
    others
        .map(|choice| choice.callers)
        .take(MAX_OTHERS)
        .collect()
}

fn json_answer(status: StatusCode, body: &Value) -> Response<BoxBody> {
    ResponseBuilder::new(status)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(body.to_string())
        .map_into_boxed_body()
}
