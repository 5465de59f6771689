//! The callers' HTTP interface.
//!
//! A request is either admitted as a [`ticket::Ticket`] or refused immediately
//! with a problem that names the remedy. Admitted chats and plain calls then
//! take a slot and run. A refusal here reports that the request did not run.

mod attainment;
mod chat;
mod entries;
mod once;
pub(crate) mod outcome;
pub(crate) mod payload;
mod plain;
pub(crate) mod problem;
mod retries;
mod ticket;

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use actix_http::{ConnectionType, Method, Request, Response, StatusCode, body::BoxBody};
use citron_policy::{
    feed::View,
    id::{InstanceId, RequestId},
    member::Members,
};
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use crate::{
    buffers::Buffers, clock, control::Control, event::Ring, follow::Follow, http::Handler,
    slots::Slots, trace::Tracer, upstream,
};
use attainment::Attainment;
use problem::Problem;
pub(crate) use retries::Retries;

/// Dependencies of the callers' interface.
#[derive(Clone, Debug)]
pub struct Ports {
    /// This instance.
    pub me: InstanceId,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Memory for what is buffered.
    pub buffers: Buffers,
    /// Catalogue in force.
    pub view: watch::Receiver<Arc<View>>,
    /// Daemons of the cluster.
    pub members: watch::Receiver<Arc<Members>>,
    /// Becomes true when the daemon stops accepting new work.
    pub draining: watch::Receiver<bool>,
    /// Proof that the catalogue is current.
    pub follow: Follow,
    /// Access to slots on runners.
    pub slots: Slots,
    /// Control log, for calls that run at most once.
    pub control: Control,
    /// Recent events, for operators.
    pub ring: Ring,
    /// Trace spans.
    pub tracer: Tracer,
    /// Metrics of exchanges with runners.
    pub upstream: upstream::Metrics,
}

/// The callers' interface; clones share it.
#[derive(Clone, Debug)]
pub struct Callers {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    ports: Ports,
    in_flight: Rc<Cell<u32>>,
    attainment: Attainment,
    retries: Retries,
}

impl Callers {
    /// An interface over `ports`.
    #[must_use]
    pub fn new(ports: Ports) -> Self {
        let inner = Inner {
            ports,
            in_flight: Rc::default(),
            attainment: Attainment::default(),
            retries: Retries::default(),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        self.inner.attainment.register(registry);
        self.inner.retries.register(registry);
    }

    /// Requests in progress, including those that still run after their caller disconnected.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.inner.in_flight.get()
    }

    /// The handler for the callers' listener.
    #[must_use]
    pub fn handler(&self) -> Handler {
        let callers = self.clone();
        Rc::new(move |request| {
            let callers = callers.clone();
            Box::pin(async move {
                let mut response = callers.answer(request).await;
                if *callers.ports().draining.borrow() {
                    // Closes the connection only after the response: closing it earlier
                    // could drop a request that is already in transit.
                    response
                        .head_mut()
                        .set_connection_type(ConnectionType::Close);
                }
                response
            })
        })
    }

    async fn answer(&self, request: Request) -> Response<BoxBody> {
        let id: RequestId = rand::random();
        let path = request.path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/entries") => entries::list(self, &request),
            (&Method::GET, "/v1/models") => entries::models(self),
            (&Method::GET, "/healthz") => entries::health(),
            (&Method::GET, "/readyz") => entries::ready(self),
            (&Method::POST, "/v1/chat/completions") => {
                let guard = self.begin();
                chat::answer(self, request, id, guard).await
            }
            (_, path) if path.starts_with(plain::PREFIX) => {
                let guard = self.begin();
                plain::answer(self, request, id, guard).await
            }
            (_, "/v1/entries" | "/v1/models" | "/v1/chat/completions") => Problem::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "method",
                "the path has another method: see the guide",
            )
            .response(id),
            _ => Problem::new(
                StatusCode::NOT_FOUND,
                "path",
                "the path does not exist: see the guide for the paths",
            )
            .response(id),
        }
    }

    fn begin(&self) -> InFlight {
        InFlight::begin(&self.inner.in_flight)
    }

    fn ports(&self) -> &Ports {
        &self.inner.ports
    }

    /// Checks that new work is accepted; the error is the response to the caller.
    fn check_open(&self) -> Result<(), Problem> {
        if *self.ports().draining.borrow() {
            let detail = "this instance is leaving: use one of the addresses in `try`";
            return Err(self.with_alternatives(Problem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "leaving",
                detail,
            )));
        }
        if !self.ports().follow.may_take_work(clock::now()) {
            let detail = "this instance cannot show that its catalogue is current: use one of the addresses in `try`";
            return Err(self.with_alternatives(Problem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "cut-off",
                detail,
            )));
        }
        Ok(())
    }

    /// Adds a `Retry-After` time and the addresses of other instances to a refusal.
    fn with_alternatives(&self, problem: Problem) -> Problem {
        let others = entries::others(&self.ports().members.borrow(), &self.ports().me);
        let retry_after = if others.is_empty() {
            Duration::from_secs(1)
        } else {
            Duration::ZERO
        };
        Problem {
            others,
            retry_after: Some(retry_after),
            ..problem
        }
    }
}

/// One request in progress; the daemon exits only after all are dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Rc<Cell<u32>>);

impl InFlight {
    /// Increments `count` until the value is dropped.
    pub(crate) fn begin(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
