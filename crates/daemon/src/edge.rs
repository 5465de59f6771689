//! Interface for adapters that serve a protocol other than citronpond's own.
//!
//! An adapter implements these traits and passes them to [`crate::run::run`].
//! It translates request and response heads, declarations and runner lists to
//! and from citronpond's types, and makes no routing decisions.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    Request, RequestHead, Response, StatusCode,
    body::BoxBody,
    header::{HeaderMap, HeaderName},
};
use bytes::Bytes;
use citron_policy::{
    autoscale,
    catalogue::Catalogue,
    id::{FencingToken, InstanceId, RunnerId, Version},
    platform::reading::{Page, PageFault, PageToken},
    usage,
};
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;

use crate::{callers::problem, handle::Handle};

pub use citron_policy::arbiter::{Load, Part};

/// Contents of a caller's request head, apart from method and path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Request ID that the caller sent.
    pub id: String,
    /// Target host, without a port.
    pub host: String,
    /// API key, if sent.
    pub key: Option<String>,
    /// Time that the caller allows for the response.
    pub timeout: Option<Duration>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<Part>,
    /// Largest length of the answer, in tokens.
    pub output: u32,
    /// Last event that the caller received, when it resumes a stream.
    pub after: Option<u64>,
    /// ID of the request that brought the first event of that stream.
    pub resumes: Option<String>,
}

impl CallerHead {
    /// Whether the caller takes up a stream that an earlier request began.
    #[must_use]
    pub fn is_continued(&self) -> bool {
        self.after.is_some() || self.resumes.is_some()
    }
}

/// Error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// Short, stable name for programs to match.
    pub kind: &'static str,
    /// What happened and what to do.
    pub detail: String,
    /// Delay before a retry.
    pub retry_after: Option<Duration>,
}

impl From<problem::Problem> for Problem {
    fn from(it: problem::Problem) -> Self {
        Self {
            status: it.status,
            kind: it.kind,
            detail: it.detail,
            retry_after: it.retry_after,
        }
    }
}

impl Problem {
    /// The instance is shutting down and accepts no new requests.
    #[must_use]
    pub fn leaving() -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: "leaving",
            detail: "this instance ends: use another address".to_owned(),
            retry_after: Some(Duration::ZERO),
        }
    }

    /// The caller has disconnected, so this response is not read.
    #[must_use]
    pub fn caller_disconnected() -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            kind: "gone",
            detail: "the caller left before its answer".to_owned(),
            retry_after: None,
        }
    }

    /// The caller has stopped reading, so the rest of its answer was given up.
    #[must_use]
    pub fn caller_stalled() -> Self {
        Self {
            kind: "stalled",
            detail: "the caller read nothing for too long".to_owned(),
            ..Self::caller_disconnected()
        }
    }
}

/// Information sent to a runner along with the caller's request.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Runner expected at the address.
    pub runner: &'a RunnerId,
    /// Account that the request belongs to; none on a public route.
    pub account: Option<&'a str>,
    /// Time left for the runner to respond.
    pub left: Duration,
    /// Number of urgencies in the catalogue above the request's; zero is served first.
    pub rank: u8,
    /// Last event received, when a stream is to be resumed after it.
    pub after: Option<u64>,
}

/// A name that no header can hold unchanged.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("header {header} cannot hold {name:?}: change the name where it is declared or listed")]
pub struct Unwritable {
    /// Header that is to hold it.
    pub header: HeaderName,
    /// The name.
    pub name: String,
}

/// What is changed in a caller's request that a peer is to serve.
#[derive(Clone, Debug)]
pub struct Forward<'a> {
    /// Time left for the response.
    pub left: Duration,
    /// Last event received, when a stream goes on after it.
    pub after: Option<u64>,
    /// ID of the request that brought the first event, if this instance passed it on.
    pub resumes: Option<&'a str>,
}

/// Contents of a runner's response head.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunnerHead {
    /// Whether the runner states that the request did not run.
    pub refused: bool,
    /// Whether the address now belongs to another runner.
    pub misdirected: bool,
    /// Whether the response carries the runner's proof of origin.
    pub sealed: bool,
    /// Requests per second that the runner takes from all daemons together, if it names
    /// a limit; not a number if the limit cannot be read.
    pub limit: Option<f64>,
    /// Requests in a second that the runner can turn away before it falls over, if it
    /// says so.
    pub brittle: Option<u32>,
    /// Load of the runner, if it names it.
    pub load: Option<Load>,
}

/// A parsed declaration.
#[derive(Clone, Debug)]
pub struct ParsedDeclaration {
    /// Version of the declaration.
    pub version: Version,
    /// Declared catalogue.
    pub catalogue: Catalogue,
}

/// Why a declaration is rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{detail}")]
pub struct Invalid {
    /// What is wrong, with the remedy.
    pub detail: String,
}

/// Translates requests and errors of callers.
pub trait Callers {
    /// Reads the head of a request.
    ///
    /// # Errors
    /// The problem to respond with when the head is invalid.
    fn read(&self, head: &RequestHead) -> Result<CallerHead, Problem>;

    /// Rewrites a caller's headers for a peer that serves the request.
    fn forward(&self, forward: &Forward<'_>, headers: &mut HeaderMap);

    /// Response that reports a problem for the request with this ID.
    fn refuse(&self, id: &str, problem: &Problem) -> Response<BoxBody>;
}

/// Translates requests to runners and their responses.
pub trait Runners {
    /// Header that carries the request ID in both directions.
    fn id_header(&self) -> HeaderName;

    /// Rewrites a caller's headers for a runner.
    ///
    /// # Errors
    /// [`Unwritable`] if a header that the runner must get cannot be written; the request
    /// must not be sent then.
    fn dispatch(&self, dispatch: &Dispatch<'_>, headers: &mut HeaderMap) -> Result<(), Unwritable>;

    /// Reads the head of a response.
    fn read(&self, status: StatusCode, headers: &HeaderMap) -> RunnerHead;
}

/// Parses operators' declarations.
pub trait Declarations {
    /// Parses one declaration.
    ///
    /// # Errors
    /// [`Invalid`] when it cannot be parsed or is inconsistent.
    fn read(&self, source: &[u8]) -> Result<ParsedDeclaration, Invalid>;
}

/// Reads the list of runners.
pub trait Listing {
    /// Reads a page of the list; the first one without a token.
    fn read_page(
        &self,
        token: Option<PageToken>,
    ) -> LocalBoxFuture<'static, Result<Page, PageFault>>;
}

/// A call of a duty to the platform.
#[derive(Clone, Debug)]
pub struct DutyCall {
    /// Path of the call.
    pub path: String,
    /// Headers, without those of the connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Under whose lease a call of a duty is made.
#[derive(Clone, Copy, Debug)]
pub struct Fence<'a> {
    /// Instance that holds the lease.
    pub holder: &'a InstanceId,
    /// Fencing token of the lease.
    pub token: FencingToken,
}

/// Encodes the calls of duties.
pub trait DutyCalls {
    /// The report of a window of usage.
    fn usage(&self, fence: &Fence<'_>, window: &usage::Window) -> DutyCall;

    /// An order of runners.
    fn order(&self, fence: &Fence<'_>, order: &autoscale::Order) -> DutyCall;
}

/// Serves everything other than callers' requests: directory, readiness,
/// operators.
pub trait Management {
    /// Called once, on the daemon's thread, when the daemon has started.
    fn started(&self, handle: Handle);

    /// Responds to one request.
    fn answer(
        &self,
        handle: Handle,
        request: Request,
    ) -> LocalBoxFuture<'static, Response<BoxBody>>;
}

/// An adapter's implementations of the traits in this module.
#[derive(Clone, derive_more::Debug)]
pub struct Adapter {
    /// Callers' requests.
    #[debug(skip)]
    pub callers: Rc<dyn Callers>,
    /// Requests to runners.
    #[debug(skip)]
    pub runners: Rc<dyn Runners>,
    /// Operators' declarations.
    #[debug(skip)]
    pub declarations: Rc<dyn Declarations>,
    /// List of runners.
    #[debug(skip)]
    pub listing: Rc<dyn Listing>,
    /// Directory, readiness and operators.
    #[debug(skip)]
    pub management: Rc<dyn Management>,
    /// Calls of duties, and the address that takes them; none if the platform has none.
    #[debug(skip)]
    pub duties: Option<(SocketAddr, Rc<dyn DutyCalls>)>,
    /// Addresses that `management` is served at.
    pub management_addresses: Vec<SocketAddr>,
}
