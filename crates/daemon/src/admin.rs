//! The operators' HTTP interface.
//!
//! Every request carries an operator's token, which also determines the name
//! that a change is recorded under. This module makes no decisions: changes go
//! to the control log, and queries about the whole cluster go to every live
//! daemon. A response always says whether a change was made, was not made, or
//! may have been made and can be resent under the same change id.

mod body;
mod change;
mod explain;
mod fanout;
mod force;
mod mark;
mod metrics;
mod port;
mod problem;
mod replica;
mod report;
mod status;
mod token;

use std::{rc::Rc, sync::Arc};

use actix_http::{HttpMessage, Method, Request, Response, StatusCode, body::BoxBody, header};
use citron_policy::{feed::View, id::InstanceId, member::Members, platform::List};
use citron_wire::{admin::Kind, generated::status as proto};
use futures_util::future::LocalBoxFuture;
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use crate::{event::Ring, http::Handler, peers::Hub};
use problem::Problem;

pub use metrics::Metrics;
pub use port::Log;
pub use token::{Fault as TokenFault, Tokens};

/// Media type of the metrics exposition.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Dependencies of the operators' interface.
#[derive(Clone, derive_more::Debug)]
pub struct Ports {
    /// Operators with access.
    pub tokens: Tokens,
    /// The control log.
    #[debug(skip)]
    pub log: Rc<dyn Log>,
    /// Connections to the other daemons.
    pub hub: Hub,
    /// Daemons known from membership.
    pub members: watch::Receiver<Arc<Members>>,
    /// The platform's list.
    pub platform: watch::Receiver<Arc<List>>,
    /// View with the catalogue in force.
    pub view: watch::Receiver<Arc<View>>,
    /// Recent events of this daemon.
    pub ring: Ring,
    /// All metrics of this daemon.
    #[debug(skip)]
    pub registry: Rc<Registry>,
    /// Counters of this interface, registered by the caller.
    pub metrics: Metrics,
}

/// The operators' interface; clones share it.
#[derive(Clone, Debug)]
pub struct Admin {
    ports: Rc<Ports>,
}

impl Admin {
    /// An interface over `ports`.
    #[must_use]
    pub fn new(ports: Ports) -> Self {
        Self {
            ports: Rc::new(ports),
        }
    }

    /// The handler for the operators' listener.
    #[must_use]
    pub fn handler(&self) -> Handler {
        let ports = Rc::clone(&self.ports);
        Rc::new(move |request| Box::pin(answer(Rc::clone(&ports), request)))
    }

    /// Answers a query from another daemon.
    #[must_use]
    pub fn on_call(
        &self,
        _from: &InstanceId,
        message: proto::Message,
    ) -> LocalBoxFuture<'static, Result<proto::Message, String>> {
        let outcome = report::answer(&self.ports, message);
        Box::pin(std::future::ready(outcome))
    }
}

async fn answer(ports: Rc<Ports>, mut request: Request) -> Response<BoxBody> {
    let outcome = match authenticate(&ports, &request) {
        Ok(operator) => route(&ports, &mut request, operator).await,
        Err(problem) => Err(problem),
    };
    let response = outcome.unwrap_or_else(|problem| problem.response());
    ports.metrics.count(response.status());
    response
}

fn authenticate(ports: &Ports, request: &Request) -> Result<String, Problem> {
    let given = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let operator = given.and_then(|token| ports.tokens.operator(token));
    operator.cloned().ok_or_else(|| {
        log::warn!("CP0806 operator request refused: no valid token");
        Problem::new(
            StatusCode::UNAUTHORIZED,
            Kind::Token,
            "no valid operator token: send `Authorization: Bearer TOKEN` with a token that is \
             listed on this daemon",
        )
    })
}

async fn route(
    ports: &Rc<Ports>,
    request: &mut Request,
    operator: String,
) -> Result<Response<BoxBody>, Problem> {
    let path = request.path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/metrics") => Ok(metrics(ports)),
        (&Method::GET, "/v1/catalogue") => Ok(status::catalogue(ports)),
        (&Method::GET, "/v1/status") => Ok(status::status(ports).await),
        (&Method::GET, "/v1/force") => force::answer(ports, request).await,
        (&Method::GET, "/v1/explain") => explain::answer(ports, request).await,
        (&Method::POST, "/v1/changes") => change::answer(ports, request, operator).await,
        (&Method::POST, "/v1/init") => replica::init(ports, request, &operator).await,
        (&Method::POST, "/v1/replicas/replace") => {
            replica::replace(ports, request, &operator).await
        }
        (&Method::GET, "/v1/marks") => Ok(mark::list(ports)),
        (&Method::POST, "/v1/marks/release") => mark::release(ports, request, &operator).await,
        _ => Err(Problem::new(
            StatusCode::NOT_FOUND,
            Kind::Request,
            format!(
                "{} {path} does not exist: see \"Admin API\" in the guide",
                request.method()
            ),
        )),
    }
}

fn metrics(ports: &Ports) -> Response<BoxBody> {
    let mut text = String::new();
    if prometheus_client::encoding::text::encode(&mut text, &ports.registry).is_err() {
        return Response::new(StatusCode::INTERNAL_SERVER_ERROR);
    }
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, METRICS_TYPE))
        .body(text)
        .map_into_boxed_body()
}
