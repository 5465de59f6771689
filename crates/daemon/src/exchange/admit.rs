//! Admission: the route, account, class and service of a request.
//!
//! The checks are repeated right before a request is sent, since a change may have
//! come into force while it waited or while the process was suspended.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{
    HttpMessage as _, Method, Request, StatusCode,
    header::{self, HeaderMap},
};
use bytes::Bytes;
use citron_policy::{
    catalogue::{Account, Catalogue, Class, Service},
    id::{Fingerprint, Version},
    route::Route,
};
use sha2::{Digest, Sha256};

use super::{Exchange, hop};
use crate::{
    edge::{CallerHead, Problem},
    fingerprint::fingerprint,
    http::Watch,
    upstream,
};

/// `Retry-After` while the catalogue is not known to be current: an election of the
/// control log and one round of its feed.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An admitted request.
#[derive(Clone, Debug)]
pub(super) struct Admitted {
    pub(super) caller_head: CallerHead,
    pub(super) method: Method,
    /// Path and query, unchanged.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Identity of the request, which is the same when it is sent again.
    pub(super) fingerprint: Fingerprint,
    pub(super) route: Arc<Route>,
    pub(super) class: Arc<Class>,
    pub(super) account: Option<Arc<Account>>,
    /// Number of higher urgency levels in use; zero goes first.
    pub(super) rank: u8,
    pub(super) service: Arc<Service>,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) watch: Option<Watch>,
    /// Whether a peer passed it on, so that it must not be passed on again.
    pub(super) is_hop: bool,
    /// Version of the declaration at that peer; none if it is of an older build.
    pub(super) hop_version: Option<Version>,
}

impl Admitted {
    /// Tier of the request; zero goes first.
    pub(super) fn tier(&self) -> u8 {
        tier(self.account.as_deref(), &self.class)
    }
}

/// What the catalogue allows a request.
#[derive(Clone, Debug)]
pub(super) struct Allowed {
    pub(super) route: Arc<Route>,
    pub(super) class: Arc<Class>,
    pub(super) account: Option<Arc<Account>>,
    /// Number of higher urgency levels in use; zero goes first.
    pub(super) rank: u8,
}

fn tier(account: Option<&Account>, class: &Class) -> u8 {
    let own = account.and_then(|it| it.tier);
    own.unwrap_or(class.tier)
}

/// Admits a request, or gives the reason for refusing it.
pub(super) fn admit(
    exchange: &Exchange,
    request: &Request,
    caller_head: CallerHead,
    body: Bytes,
    watch: Option<Watch>,
    arrived: Instant,
) -> Result<Admitted, Problem> {
    let catalogue = current_catalogue(exchange)?;
    let allowed = allow(&catalogue, &caller_head, request.path())?;
    let service = choose_service(&catalogue, &allowed.route)?;
    let allowance = caller_head.timeout.unwrap_or(allowed.route.timeout);
    let deadline = arrived + allowance.min(allowed.route.timeout);
    let path = request
        .uri()
        .path_and_query()
        .map_or_else(|| request.path().to_owned(), ToString::to_string);
    let method = request.method().clone();
    let account = allowed.account.as_ref().map_or("", |it| it.name.as_str());
    let is_hop = hop::is_hop(request.headers());
    let hop_version = hop::version(request.headers()).filter(|_| is_hop);
    let mut headers = upstream::end_to_end(request.headers());
    if let Some(host) = request.headers().get(header::HOST) {
        headers.insert(header::HOST, host.clone());
    }
    hop::remove_marks(&mut headers);
    let names = [account, &caller_head.host, method.as_str(), &path];
    Ok(Admitted {
        fingerprint: fingerprint(&names, &body),
        method,
        path,
        headers,
        body,
        route: allowed.route,
        class: allowed.class,
        account: allowed.account,
        rank: allowed.rank,
        service,
        arrived,
        deadline,
        watch,
        is_hop,
        hop_version,
        caller_head,
    })
}

/// The catalogue, or an error if it is not known to be current.
pub(super) fn current_catalogue(exchange: &Exchange) -> Result<Arc<Catalogue>, Problem> {
    if !exchange.is_current() {
        return Err(Problem {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: "cut-off",
            detail: "this instance cannot show that its catalogue is current: use another address"
                .to_owned(),
            retry_after: Some(STALE_RETRY_AFTER),
        });
    }
    Ok(Arc::clone(&exchange.ports().view.borrow().catalogue))
}

/// The route, class and account of a request.
pub(super) fn allow(
    catalogue: &Catalogue,
    caller_head: &CallerHead,
    path: &str,
) -> Result<Allowed, Problem> {
    let route = catalogue
        .route(&caller_head.host, path)
        .ok_or_else(|| Problem {
            status: StatusCode::NOT_FOUND,
            kind: "route",
            detail: format!("no route begins {path:?} on host {:?}", caller_head.host),
            retry_after: None,
        })?;
    let account = account(catalogue, caller_head, route)?;
    let class = catalogue.classes.get(&route.class).cloned();
    let class = class.ok_or_else(|| missing_entry("class", &route.class))?;
    let tier = tier(account.as_deref(), &class);
    Ok(Allowed {
        route: Arc::clone(route),
        rank: catalogue.rank(catalogue.urgency(tier, &class.name)),
        class,
        account,
    })
}

fn account(
    catalogue: &Catalogue,
    caller_head: &CallerHead,
    route: &Route,
) -> Result<Option<Arc<Account>>, Problem> {
    let known = caller_head.key.as_ref().and_then(|key| {
        let digest = format!("{:x}", Sha256::digest(key.as_bytes()));
        catalogue.account_by_digest(&digest)
    });
    if known.is_none() && !route.public && !catalogue.keyless {
        return Err(Problem {
            status: StatusCode::UNAUTHORIZED,
            kind: "key",
            detail: "the API key belongs to no account: check it, or ask an operator".to_owned(),
            retry_after: None,
        });
    }
    Ok(known.cloned())
}

/// A service of the route, chosen at random by weight.
pub(super) fn choose_service(
    catalogue: &Catalogue,
    route: &Route,
) -> Result<Arc<Service>, Problem> {
    let name = route
        .backend(rand::random())
        .ok_or_else(|| missing_entry("backend", &route.name))?;
    let service = catalogue.services.get(name).cloned();
    service.ok_or_else(|| missing_entry("service", name))
}

fn missing_entry(kind: &'static str, name: &str) -> Problem {
    Problem {
        status: StatusCode::SERVICE_UNAVAILABLE,
        kind: "declaration",
        detail: format!("the catalogue lacks {kind} {name:?}: ask an operator"),
        retry_after: Some(Duration::from_secs(1)),
    }
}
