//! The edges of a daemon that speaks another protocol than citronpond's own.
//!
//! An adapter implements these traits and hands them to [`crate::run::run`].
//! It translates heads, declarations and lists into the product's types and
//! back, and decides nothing.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    Request, RequestHead, Response, StatusCode,
    body::BoxBody,
    header::{HeaderMap, HeaderName},
};
use citron_policy::{
    catalogue::Catalogue,
    id::{RunnerId, Version},
    platform::List,
};
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;

use crate::{callers::problem, handle::Handle};

pub use citron_policy::arbiter::Part;

/// What the head of a caller's request says beside its method and path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Identity that the caller gave it.
    pub id: String,
    /// Host that it is for, without a port.
    pub host: String,
    /// API key, if one came.
    pub key: Option<String>,
    /// Time that the caller allows.
    pub timeout: Option<Duration>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<Part>,
    /// Most tokens that the answer may have.
    pub output: u32,
    /// Last event that the caller has, where it goes on with a stream.
    pub after: Option<u64>,
}

/// Why a request is not served, as the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// Short name, stable for programs.
    pub kind: &'static str,
    /// What happened and what to do.
    pub detail: String,
    /// When to come back.
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
    /// This instance ends and takes nothing in any more.
    #[must_use]
    pub fn leaving() -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: "leaving",
            detail: "this instance ends: use another address".to_owned(),
            retry_after: Some(Duration::ZERO),
        }
    }

    /// The caller has left; nobody reads this.
    #[must_use]
    pub fn gone() -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            kind: "gone",
            detail: "the caller left before its answer".to_owned(),
            retry_after: None,
        }
    }
}

/// What goes to a runner beside the caller's own request.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Runner that must be the one at the address.
    pub runner: &'a RunnerId,
    /// Account that the request belongs to; none on a public route.
    pub account: Option<&'a str>,
    /// Time that the runner may take.
    pub left: Duration,
    /// Urgencies of the catalogue that are above the request's; zero goes first.
    pub rank: u8,
    /// Last event that arrived, where a stream is to go on after it.
    pub after: Option<u64>,
}

/// What the head of a runner's answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerHead {
    /// Whether the runner states that the request did not run.
    pub refused: bool,
    /// Whether the address belongs to another runner now.
    pub misdirected: bool,
    /// Whether the answer carries the runner's own proof of origin.
    pub sealed: bool,
}

/// A declaration as its reader understands it.
#[derive(Clone, Debug)]
pub struct ParsedDeclaration {
    /// Its version.
    pub version: Version,
    /// What it declares.
    pub catalogue: Catalogue,
}

/// Why a declaration cannot be in force.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{detail}")]
pub struct Invalid {
    /// What is wrong, with the remedy.
    pub detail: String,
}

/// The callers' side.
pub trait Callers {
    /// Reads the head of a request.
    ///
    /// # Errors
    /// The problem to answer with when the head makes no sense.
    fn read(&self, head: &RequestHead) -> Result<CallerHead, Problem>;

    /// A problem as an answer to the request with this identity.
    fn refuse(&self, id: &str, problem: &Problem) -> Response<BoxBody>;
}

/// The runners' side.
pub trait Runners {
    /// Header that carries a request's identity there and back.
    fn id_header(&self) -> HeaderName;

    /// Turns the headers of a caller into those for a runner.
    fn dispatch(&self, dispatch: &Dispatch<'_>, headers: &mut HeaderMap);

    /// Reads the head of an answer.
    fn read(&self, status: StatusCode, headers: &HeaderMap) -> RunnerHead;
}

/// Reads the declarations of operators.
pub trait Declarations {
    /// Reads one declaration.
    ///
    /// # Errors
    /// [`Invalid`] when it cannot be read or contradicts itself.
    fn read(&self, source: &[u8]) -> Result<ParsedDeclaration, Invalid>;
}

/// Reads the list of runners.
pub trait Listing {
    /// Reads the whole list once.
    fn read(&self) -> LocalBoxFuture<'static, Result<List, String>>;
}

/// Answers everything that is not a caller's request: directory, readiness,
/// operators.
pub trait Management {
    /// The daemon runs; called once, on its thread.
    fn started(&self, handle: Handle);

    /// Answers one request.
    fn answer(
        &self,
        handle: Handle,
        request: Request,
    ) -> LocalBoxFuture<'static, Response<BoxBody>>;
}

/// Everything that an adapter brings.
#[derive(Clone, derive_more::Debug)]
pub struct Adapter {
    /// Callers' heads.
    #[debug(skip)]
    pub callers: Rc<dyn Callers>,
    /// Runners' heads.
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
    /// Addresses that the desk answers at.
    pub management_addresses: Vec<SocketAddr>,
}
