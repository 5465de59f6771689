//! Attempts that a peer makes, while this instance reaches no runner.
//!
//! The request is sent to the peer's listener for callers as the caller sent it, with the
//! time that is left. The peer admits it, takes the slot, and answers as it answers its
//! own callers; it never passes it on again. Dropping the exchange cancels the work there.
//!
//! Both must have the same declaration in force: callers of this instance must not see the
//! effects of a newer version and then those of an older one. The request names the version;
//! a peer waits for it, and one with a newer version names that instead of serving.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_http::{
    Response, StatusCode,
    body::BoxBody,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use citron_policy::id::{InstanceId, Version};
use tokio::io::AsyncReadExt as _;

use super::{Exchange, admit::Admitted, attempt, millis};
use crate::{
    edge::{Forward, Problem},
    upstream::{self, Failure},
};

/// Marks a request that a peer passed on, and the answer of a peer that cannot serve it.
const HOP: HeaderName = HeaderName::from_static("citron-hop");

/// Version of the declaration that the sender has in force.
const VERSION: HeaderName = HeaderName::from_static("citron-declaration");

/// Longest time to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time to connect to a runner for a test.
const TEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Time within which a lost path closes a connection that it let through.
const TEST_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two checks whether a test is due.
const TEST_POLL: Duration = Duration::from_millis(100);

/// `Retry-After` of an instance that cannot serve a request of a peer.
const UNABLE_RETRY: Duration = Duration::from_millis(250);

/// An attempt in a peer's hand; ends when dropped.
#[derive(Debug)]
pub(super) struct Hop {
    exchange: Exchange,
    peer: InstanceId,
}

impl Hop {
    pub(super) fn begin(exchange: &Exchange, peer: &InstanceId) -> Self {
        exchange.inner.detour.borrow_mut().begin(peer);
        Self {
            exchange: exchange.clone(),
            peer: peer.clone(),
        }
    }
}

impl Drop for Hop {
    fn drop(&mut self) {
        self.exchange.inner.detour.borrow_mut().end(&self.peer);
    }
}

/// Whether a request was passed on by a peer.
pub(super) fn is_hop(headers: &HeaderMap) -> bool {
    headers.contains_key(HOP)
}

/// Version of the declaration that a peer names; none if it is of an older build.
pub(super) fn version(headers: &HeaderMap) -> Option<Version> {
    headers.get(VERSION)?.to_str().ok()?.parse().ok()
}

/// Removes the marks from a request that a peer passed on, or from a runner's answer.
pub(super) fn remove_marks(headers: &mut HeaderMap) {
    headers.remove(HOP);
    headers.remove(VERSION);
}

/// Sends a request to a peer and waits for the head of its answer.
pub(super) async fn send(
    exchange: &Exchange,
    admitted: &Admitted,
    address: SocketAddr,
    after: Option<u64>,
    version: Version,
) -> Result<upstream::Response, Failure> {
    let adapter = &exchange.ports().adapter;
    let left = admitted.deadline.saturating_duration_since(Instant::now());
    let caller_head = &admitted.caller_head;
    let goes_on = after != caller_head.after;
    let first = match &caller_head.resumes {
        Some(first) => Some(first),
        // The stream of a caller that takes one up without naming it is not this request's.
        None => Some(&caller_head.id).filter(|_| !caller_head.is_continued()),
    };
    let mut headers = admitted.headers.clone();
    let forward = Forward {
        left,
        after,
        resumes: first.filter(|_| goes_on).map(String::as_str),
    };
    adapter.callers.forward(&forward, &mut headers);
    headers.insert(HOP, HeaderValue::from_static("1"));
    headers.insert(VERSION, HeaderValue::from(version));
    let request = attempt::request(exchange, admitted, headers);
    let limits = attempt::limits(CONNECT_TIMEOUT, left);
    upstream::exchange(address, request, &limits).await
}

/// Whether a peer says that it cannot serve the request.
pub(super) fn is_unable(response: &upstream::Response) -> bool {
    response.headers.contains_key(HOP)
}

impl Exchange {
    /// The answer to a request of a peer that this instance cannot serve either.
    pub(super) fn refuse_hop(&self, id: &str) -> Response<BoxBody> {
        let problem = Problem {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: "no-path",
            detail: "this instance cannot serve requests of its peers now".to_owned(),
            retry_after: Some(UNABLE_RETRY),
        };
        let mut response = self.refuse(id, &problem, None);
        let unable = HeaderValue::from_static("unable");
        response.headers_mut().insert(HOP, unable);
        let version = HeaderValue::from(self.version());
        response.headers_mut().insert(VERSION, version);
        response
    }

    /// Takes the version that a peer names; true if it is newer than `sent`.
    pub(super) fn learn(&self, response: &upstream::Response, sent: Version) -> bool {
        let newer = version(&response.headers).filter(|it| *it > sent);
        if let Some(newer) = newer {
            let mut detour = self.inner.detour.borrow_mut();
            detour.on_version(Instant::now(), newer);
        }
        newer.is_some()
    }

    /// Whether this instance reaches no runner.
    pub(super) fn is_cut_off(&self) -> bool {
        self.inner.detour.borrow().is_cut_off(Instant::now())
    }

    /// Records that an attempt made `at` did not reach a runner.
    pub(super) fn on_unreached(&self, at: Instant, runner: &str) {
        let cut_off = {
            let mut detour = self.inner.detour.borrow_mut();
            detour.on_unreached(at, &runner.to_owned());
            detour.is_cut_off(Instant::now())
        };
        if cut_off && !self.inner.testing.replace(true) {
            log::warn!(event = "CP1009", runner; "no path to the runners: peers make the attempts");
            self.inner.metrics.set_cut_off(true);
            actix_rt::spawn(self.clone().test_paths(Instant::now()));
        }
    }

    /// Tests runners until one can be reached again.
    async fn test_paths(self, since: Instant) {
        while self.is_cut_off() {
            let due = self.inner.detour.borrow_mut().test(Instant::now());
            if let Some(address) = due
                && is_reached(address).await
            {
                let mut detour = self.inner.detour.borrow_mut();
                detour.on_test_passed(Instant::now());
            }
            actix_rt::time::sleep(TEST_POLL).await;
        }
        self.inner.testing.set(false);
        self.inner.metrics.set_cut_off(false);
        let members = self.ports().members.borrow().clone();
        self.inner.detour.borrow_mut().retain_peers(&members);
        log::info!(event = "CP1010", after_ms = millis(since.elapsed()); "runners are reached again");
    }
}

/// Whether a connection is opened and stays open for a moment.
async fn is_reached(address: SocketAddr) -> bool {
    let connect = actix_rt::net::TcpStream::connect(address);
    let Ok(Ok(mut stream)) = actix_rt::time::timeout(TEST_TIMEOUT, connect).await else {
        return false;
    };
    let mut byte = [0_u8; 1];
    let read = stream.read(&mut byte);
    // A runner says nothing before it is asked.
    actix_rt::time::timeout(TEST_PAUSE, read).await.is_err()
}
