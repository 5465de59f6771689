//! Errors returned to operators, as `application/problem+json`.

use actix_http::{Response, StatusCode, body::BoxBody, header};
use citron_wire::admin::{self, Author, Kind};
use serde::Serialize;

use crate::control;

/// Media type of a problem.
const PROBLEM_TYPE: &str = "application/problem+json";

/// Media type of a successful response.
const JSON_TYPE: &str = "application/json";

/// An error as the operator sees it.
#[derive(Clone, Debug)]
pub(super) struct Problem {
    status: StatusCode,
    body: admin::Problem,
}

impl Problem {
    /// A problem of this status and kind.
    pub(super) fn new<T>(status: StatusCode, kind: Kind, detail: T) -> Self
    where
        T: Into<String>,
    {
        let body = admin::Problem {
            name: format!("urn:citronpond:admin:{kind}"),
            kind,
            status: status.as_u16(),
            detail: detail.into(),
            current: None,
            authors: Vec::new(),
        };
        Self { status, body }
    }

    /// A malformed request.
    pub(super) fn request<T>(detail: T) -> Self
    where
        T: Into<String>,
    {
        Self::new(StatusCode::BAD_REQUEST, Kind::Request, detail)
    }

    /// A conflict with changes of others since the base revision.
    pub(super) fn conflict(current: u64, authors: Vec<Author>, detail: String) -> Self {
        let mut problem = Self::new(StatusCode::CONFLICT, Kind::Conflict, detail);
        problem.body.current = Some(current);
        problem.body.authors = authors;
        problem
    }

    /// A failed call to the control log.
    pub(super) fn control(error: &control::Error) -> Self {
        let (status, kind) = match error {
            control::Error::NoLeader | control::Error::Busy => {
                (StatusCode::SERVICE_UNAVAILABLE, Kind::Unavailable)
            }
            control::Error::Unsure => (StatusCode::GATEWAY_TIMEOUT, Kind::Unknown),
            control::Error::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, Kind::Request),
            control::Error::Refused { .. } => (StatusCode::CONFLICT, Kind::Refused),
        };
        Self::new(status, kind, error.to_string())
    }

    /// Cause and remedy.
    pub(super) fn detail(&self) -> &str {
        &self.body.detail
    }

    /// The problem as an HTTP response.
    pub(super) fn response(&self) -> Response<BoxBody> {
        write(self.status, PROBLEM_TYPE, &self.body)
    }
}

/// A response with a JSON body.
pub(super) fn json<T>(body: &T) -> Response<BoxBody>
where
    T: Serialize,
{
    write(StatusCode::OK, JSON_TYPE, body)
}

fn write<T>(status: StatusCode, media_type: &str, body: &T) -> Response<BoxBody>
where
    T: Serialize,
{
    match serde_json::to_vec(body) {
        Ok(bytes) => Response::build(status)
            .insert_header((header::CONTENT_TYPE, media_type))
            .body(bytes)
            .map_into_boxed_body(),
        Err(error) => {
            log::error!("CP0807 response to an operator could not be serialized: {error}");
            Response::new(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
