//! Error responses to callers, as `application/problem+json`.

use std::{net::SocketAddr, time::Duration};

use actix_http::{Response, ResponseBuilder, StatusCode, body::BoxBody, header};
use citron_policy::{catalogue::Key, id::RequestId};
use serde_json::{Map, Value, json};

use super::outcome::Outcome;
use crate::{event::format_request_id, slots::Refusal};

/// Media type of a problem.
const MEDIA_TYPE: &str = "application/problem+json";

/// Header that says whether the request ran.
pub(super) const OUTCOME_HEADER: &str = "citron-outcome";

/// Header with the request ID.
pub(super) const REQUEST_HEADER: &str = "citron-request";

/// Header that names the catalogue entry.
pub(super) const ENTRY_HEADER: &str = "citron-entry";

/// Header that names the entry's owner.
pub(super) const OWNER_HEADER: &str = "citron-owner";

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Short, stable name for programs to match.
    pub(crate) kind: &'static str,
    /// What happened and what to do.
    pub(crate) detail: String,
    /// Whether the request ran.
    pub(crate) outcome: Outcome,
    /// Delay before a retry.
    pub(crate) retry_after: Option<Duration>,
    /// Catalogue entry that the problem concerns.
    pub(crate) entry: Option<Box<Affected>>,
    /// Addresses of other instances to use.
    pub(crate) others: Vec<SocketAddr>,
}

/// A catalogue entry and its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Affected {
    /// Key of the entry.
    pub(crate) key: Key,
    /// Owner of the entry.
    pub(crate) owner: String,
}

impl Problem {
    /// Problem for a request that did not run.
    pub(super) fn new<T>(status: StatusCode, kind: &'static str, detail: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            status,
            kind,
            detail: detail.into(),
            outcome: Outcome::NotRun,
            retry_after: None,
            entry: None,
            others: Vec::new(),
        }
    }

    /// Problem for a refused slot.
    pub(crate) fn refused(refusal: &Refusal) -> Self {
        let detail = refusal.to_string();
        let (status, kind, retry_after) = match refusal {
            Refusal::Shed { retry_after } => {
                (StatusCode::SERVICE_UNAVAILABLE, "shed", Some(*retry_after))
            }
            Refusal::NoRunner { retry_after } => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no-runner",
                Some(*retry_after),
            ),
            Refusal::Account { retry_after } => (
                StatusCode::TOO_MANY_REQUESTS,
                "account-limit",
                Some(*retry_after),
            ),
            Refusal::Unreachable { retry_after } => (
                StatusCode::SERVICE_UNAVAILABLE,
                "unreachable",
                Some(*retry_after),
            ),
            Refusal::UnknownBuild { retry_after } => (
                StatusCode::SERVICE_UNAVAILABLE,
                "unknown-build",
                Some(*retry_after),
            ),
            // It can start anew at once.
            Refusal::NoBuild { .. } => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no-build",
                Some(Duration::ZERO),
            ),
            Refusal::Quarantined => (StatusCode::UNPROCESSABLE_ENTITY, "quarantined", None),
            Refusal::Late => (StatusCode::GATEWAY_TIMEOUT, "late", None),
        };
        Self {
            retry_after,
            ..Self::new(status, kind, detail)
        }
    }

    /// Response that reports the problem for request `id`.
    pub(super) fn response(&self, id: RequestId) -> Response<BoxBody> {
        let mut builder = ResponseBuilder::new(self.status);
        builder.insert_header((header::CONTENT_TYPE, MEDIA_TYPE));
        builder.insert_header((REQUEST_HEADER, format_request_id(id)));
        builder.insert_header((OUTCOME_HEADER, self.outcome.to_string()));
        if let Some(after) = self.retry_after {
            builder.insert_header((header::RETRY_AFTER, seconds(after).to_string()));
        }
        if let Some(entry) = &self.entry {
            builder.insert_header((ENTRY_HEADER, entry.key.to_string()));
            builder.insert_header((OWNER_HEADER, entry.owner.clone()));
        }
        builder
            .body(self.body(id).to_string())
            .map_into_boxed_body()
    }

    fn body(&self, id: RequestId) -> Value {
        let mut body = Map::new();
        body.insert(
            "type".to_owned(),
            json!(format!("urn:citronpond:{}", self.kind)),
        );
        body.insert(
            "title".to_owned(),
            json!(self.status.canonical_reason().unwrap_or("error")),
        );
        body.insert("status".to_owned(), json!(self.status.as_u16()));
        body.insert("detail".to_owned(), json!(self.detail));
        body.insert("outcome".to_owned(), json!(self.outcome.to_string()));
        body.insert("request".to_owned(), json!(format_request_id(id)));
        if let Some(entry) = &self.entry {
            body.insert("entry".to_owned(), json!(entry.key.to_string()));
            body.insert("owner".to_owned(), json!(entry.owner));
        }
        if let Some(after) = self.retry_after {
            body.insert(
                "retry_after_ms".to_owned(),
                json!(u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
            );
        }
        if !self.others.is_empty() {
            body.insert("try".to_owned(), json!(self.others));
        }
        Value::Object(body)
    }
}

/// Whole seconds, rounded up, as `Retry-After` requires.
fn seconds(time: Duration) -> u64 {
    time.as_secs() + u64::from(time.subsec_nanos() > 0)
}
