//! Admission: resolves a request's account, class, service and deadline.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{
    HttpMessage, Request, Response, ResponseBuilder, StatusCode, body::BoxBody, header,
};
use citron_policy::{
    catalogue::{Account, Catalogue, Class, Key, Kind, Service},
    id::RequestId,
};
use sha2::{Digest, Sha256};

use super::{
    Callers,
    outcome::Outcome,
    problem::{Affected, ENTRY_HEADER, OUTCOME_HEADER, OWNER_HEADER, Problem, REQUEST_HEADER},
};
use crate::{
    event::format_request_id,
    http::Watch,
    trace::{Context, Span, TRACEPARENT},
};

/// Header that names the requested class.
const CLASS_HEADER: &str = "citron-class";

/// Header with the time that the caller allows, in milliseconds.
const TIMEOUT_HEADER: &str = "citron-timeout-ms";

/// Longest time that a caller may allow.
const MAX_TIMEOUT: Duration = Duration::from_hours(1);

/// Longest API key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// An admitted request.
#[derive(Debug)]
pub(super) struct Ticket {
    /// Request ID.
    pub(super) id: RequestId,
    /// Account that the request is charged to.
    pub(super) account: Arc<Account>,
    /// Class of the request.
    pub(super) class: Arc<Class>,
    /// Service that the request is for.
    pub(super) service: Arc<Service>,
    /// Arrival time.
    pub(super) arrived: Instant,
    /// Time after which an answer is useless.
    pub(super) deadline: Instant,
    /// Trace span of the whole request.
    pub(super) span: Span,
    /// Watch on the caller's connection.
    pub(super) watch: Option<Watch>,
}

impl Ticket {
    /// The class as a catalogue entry.
    pub(super) fn entry(&self) -> Key {
        Key {
            kind: Kind::Class,
            name: self.class.name.clone(),
        }
    }

    /// All catalogue entries that the request concerns.
    pub(super) fn entries(&self) -> [Key; 3] {
        [
            self.entry(),
            Key {
                kind: Kind::Service,
                name: self.service.name.clone(),
            },
            Key {
                kind: Kind::Account,
                name: self.account.name.clone(),
            },
        ]
    }

    /// Response builder with the headers common to all responses to this request.
    pub(super) fn answer(&self, status: StatusCode, outcome: Option<Outcome>) -> ResponseBuilder {
        let mut builder = ResponseBuilder::new(status);
        builder.insert_header((REQUEST_HEADER, format_request_id(self.id)));
        builder.insert_header((ENTRY_HEADER, self.entry().to_string()));
        builder.insert_header((OWNER_HEADER, self.class.owner.clone()));
        if let Some(outcome) = outcome {
            builder.insert_header((OUTCOME_HEADER, outcome.to_string()));
        }
        builder
    }

    /// Response that reports a problem, with the entry concerned and its owner.
    pub(super) fn problem(&self, problem: Problem) -> Response<BoxBody> {
        let (key, owner) = if problem.kind == "account-limit" {
            (
                Key {
                    kind: Kind::Account,
                    name: self.account.name.clone(),
                },
                &self.account.owner,
            )
        } else {
            (self.entry(), &self.class.owner)
        };
        let affected = Affected {
            key,
            owner: owner.clone(),
        };
        Problem {
            entry: Some(Box::new(affected)),
            ..problem
        }
        .response(self.id)
    }

    /// Resolves when the caller has disconnected.
    pub(super) async fn caller_disconnected(&self) {
        match &self.watch {
            Some(watch) => watch.disconnected().await,
            None => std::future::pending().await,
        }
    }
}

/// Values of the request's headers, checked against the catalogue.
#[derive(Debug)]
pub(super) struct Caller {
    /// Account that the API key belongs to.
    pub(super) account: Arc<Account>,
    class: Option<String>,
    timeout: Option<Duration>,
    trace: Option<Context>,
    watch: Option<Watch>,
}

impl Caller {
    /// Reads and checks the headers of `request`.
    pub(super) fn of(catalogue: &Catalogue, request: &Request) -> Result<Self, Problem> {
        let account = account(catalogue, request)?;
        Ok(Self {
            account,
            class: text_header(request, CLASS_HEADER)?.map(str::to_owned),
            timeout: timeout(request)?,
            trace: text_header(request, TRACEPARENT)?.and_then(Context::parse),
            watch: request.conn_data::<Watch>().cloned(),
        })
    }

    /// Admits the request to `service`.
    pub(super) fn admit(
        self,
        callers: &Callers,
        catalogue: &Catalogue,
        service: &Arc<Service>,
        id: RequestId,
        arrived: Instant,
    ) -> Result<Ticket, Problem> {
        let class = class(catalogue, &self.account, service, self.class.as_deref())?;
        let allowed = self
            .timeout
            .map_or(service.timeout, |timeout| timeout.min(service.timeout));
        let mut span = callers
            .ports()
            .tracer
            .start("caller-entry", self.trace.as_ref());
        span.set("request", format_request_id(id));
        span.set("class", class.name.clone());
        span.set("service", service.name.clone());
        Ok(Ticket {
            id,
            account: self.account,
            class,
            service: Arc::clone(service),
            arrived,
            deadline: arrived + allowed,
            span,
            watch: self.watch,
        })
    }
}

fn account(catalogue: &Catalogue, request: &Request) -> Result<Arc<Account>, Problem> {
    let unauthorised = |detail: &str| Problem::new(StatusCode::UNAUTHORIZED, "key", detail);
    let header = request.headers().get(header::AUTHORIZATION);
    let key = header.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| unauthorised("no API key: send `Authorization: Bearer KEY`"))?;
    if key.len() > MAX_KEY_BYTES {
        return Err(unauthorised("the API key is too long: check it"));
    }
    let digest = format!("{:x}", Sha256::digest(key.as_bytes()));
    let account = catalogue.account_by_digest(&digest);
    account.cloned().ok_or_else(|| {
        unauthorised("the API key belongs to no account: check it, or ask an operator")
    })
}

fn class(
    catalogue: &Catalogue,
    account: &Account,
    service: &Service,
    wanted: Option<&str>,
) -> Result<Arc<Class>, Problem> {
    let allowed =
        |name: &str| account.class == name || account.classes.iter().any(|class| class == name);
    let name = match wanted {
        Some(name) if allowed(name) => name,
        Some(name) => {
            return Err(Problem::new(
                StatusCode::FORBIDDEN,
                "class",
                format!(
                    "the account may not use class {name:?}: leave out Citron-Class or ask an operator"
                ),
            ));
        }
        None if allowed(&service.class) => &service.class,
        None => &account.class,
    };
    catalogue.classes.get(name).cloned().ok_or_else(|| {
        let detail = format!("class {name:?} does not exist: name another one in Citron-Class");
        Problem::new(StatusCode::BAD_REQUEST, "class", detail)
    })
}

fn timeout(request: &Request) -> Result<Option<Duration>, Problem> {
    let Some(text) = text_header(request, TIMEOUT_HEADER)? else {
        return Ok(None);
    };
    let millis = text.parse::<u64>().ok().map(Duration::from_millis);
    match millis {
        Some(time) if !time.is_zero() && time <= MAX_TIMEOUT => Ok(Some(time)),
        _ => Err(Problem::new(
            StatusCode::BAD_REQUEST,
            "timeout",
            format!("Citron-Timeout-Ms must be 1 to {}", MAX_TIMEOUT.as_millis()),
        )),
    }
}

/// Text of a header, if present; refused unless it is plain ASCII.
pub(super) fn text_header<'a>(
    request: &'a Request,
    name: &str,
) -> Result<Option<&'a str>, Problem> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|error| {
        Problem::new(
            StatusCode::BAD_REQUEST,
            "header",
            format!("header {name}: {error}: send plain ASCII"),
        )
    })?;
    Ok(Some(text))
}
