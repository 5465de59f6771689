//! Attempts of a request that a peer makes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use citron_policy::{id::InstanceId, retry::Rerun};

use super::{
    super::{
        attempt::{self, Answer},
        hop::{self, Hop},
        lease::Lease,
        millis,
    },
    Run, Step, Versions, end_for, promises_not_run,
};
use crate::{
    edge::Problem,
    upstream::{self, Failure},
};

/// Most peers that are asked for one request.
const MAX_HOPS: usize = 4;

/// What came of an attempt that a peer was to make.
pub(super) enum Hopped {
    /// The attempt is to be made from here.
    No,
    /// The next step of the response.
    Step(Step),
    /// Events of a stream, or another attempt, follow.
    Follows,
}

impl Run {
    /// Whether a peer is to make the attempt, since this instance reaches no runner.
    pub(super) fn may_hop(&self) -> bool {
        !self.admitted.is_hop
            && self.asked_peers.len() < MAX_HOPS
            && self.exchange.is_cut_off()
            && Instant::now() < self.admitted.deadline
    }

    /// Has a peer make the attempt, if this instance reaches no runner.
    pub(super) async fn hop(&mut self) -> Result<Hopped, Problem> {
        self.is_trial = self.may_hop() && self.takes_trial();
        if self.is_trial {
            return Ok(Hopped::No);
        }
        while self.may_hop() {
            let Some((peer, address)) = self.choose_peer() else {
                // Without a peer the attempt is made from here, for want of a better way.
                self.asked_peers.resize(MAX_HOPS, InstanceId::new());
                break;
            };
            self.asked_peers.push(peer.clone());
            let hop = Hop::begin(&self.exchange, &peer);
            let started = Instant::now();
            let version = self.exchange.least_version();
            let last_id = self.last_id();
            let answer = hop::send(&self.exchange, &self.admitted, address, last_id, version).await;
            let unable = match &answer {
                Ok(response) => hop::is_unable(response),
                Err(failure) => failure.is_unconnected(),
            };
            let is_newer = match &answer {
                Ok(response) if unable => self.exchange.learn(response, version),
                _ => false,
            };
            let outcome = match &answer {
                _ if is_newer => "newer",
                _ if unable => "unable",
                Ok(_) => "answered",
                Err(_) => "failed",
            };
            self.log_hop(&peer, outcome, started.elapsed());
            if !unable {
                return self.on_peer_answer(hop, answer, started).await;
            }
            if !is_newer {
                let mut detour = self.exchange.inner.detour.borrow_mut();
                detour.on_unable(Instant::now(), &peer);
            } else if self.versions == Versions::Equal {
                self.versions = Versions::Renewed;
                self.asked_peers.pop();
            }
        }
        Ok(Hopped::No)
    }

    /// Whether the attempt shows if the path to the runners is back.
    fn takes_trial(&self) -> bool {
        let repeatable = self.rerun(self.ran + 1) == Rerun::Allowed;
        let mut detour = self.exchange.inner.detour.borrow_mut();
        repeatable && detour.take_trial(Instant::now())
    }

    fn choose_peer(&self) -> Option<(InstanceId, SocketAddr)> {
        let ports = self.exchange.ports();
        let members = ports.members.borrow();
        let detour = self.exchange.inner.detour.borrow();
        let chance = rand::random_range(0..usize::MAX);
        let now = Instant::now();
        detour.choose(now, &ports.me, &members, &self.asked_peers, chance)
    }

    async fn on_peer_answer(
        &mut self,
        hop: Hop,
        answer: Result<upstream::Response, Failure>,
        started: Instant,
    ) -> Result<Hopped, Problem> {
        let adapter = &self.exchange.ports().adapter;
        let answer = answer.map(|response| attempt::Started {
            runner_head: adapter.runners.read(response.status, &response.headers),
            response,
        });
        let attempts = self.admitted.route.attempts.max(1);
        match answer {
            Ok(answer) if answer.runner_head.sealed => {
                // The peer may have used all attempts that the route allows.
                self.ran += attempts;
                let lease = Lease::Hop(hop);
                if self.admitted.route.stream && answer.response.status.is_success() {
                    if let Some(failure) = self.stream_fault(&answer.response) {
                        self.ran -= 1;
                        self.on_failure(&failure, end_for(&failure))?;
                        return Ok(Hopped::Follows);
                    }
                    self.start_stream(lease, answer.response, started);
                    return Ok(Hopped::Follows);
                }
                let step = self.read_whole(lease, answer, started).await?;
                Ok(step.map_or(Hopped::Follows, Hopped::Step))
            }
            Ok(answer) if !answer.response.status.is_success() => {
                self.pass_on(answer.response).await
            }
            answer => {
                let reason = "a peer's success does not prove its origin".to_owned();
                let failure = answer.err().unwrap_or(Failure::Garbled(reason));
                self.on_peer_failure(&failure)
            }
        }
    }

    /// Handles a peer without a usable answer; it may have used all attempts that the route
    /// allows.
    fn on_peer_failure(&mut self, failure: &Failure) -> Result<Hopped, Problem> {
        self.ran += self.admitted.route.attempts.max(1) - 1;
        self.on_failure(failure, end_for(failure))?;
        Ok(Hopped::Follows)
    }

    /// Passes a peer's own answer on to the caller: its word counts like this instance's.
    async fn pass_on(&mut self, response: upstream::Response) -> Result<Hopped, Problem> {
        let (status, headers) = (response.status, response.headers);
        let body = self.exchange.ports().buffers.answer(status);
        let body = match response.body.whole(body).await {
            Ok(body) => body,
            Err(failure) => return self.on_peer_failure(&failure),
        };
        if self.ran > 0 && promises_not_run(status) {
            return Err(self.adjust_status(Problem {
                status,
                kind: "upstream",
                detail: format!("a peer answered {status} to the rest of the request"),
                retry_after: None,
            }));
        }
        let answer = Answer {
            status,
            headers,
            body,
        };
        Ok(Hopped::Step(self.check_resumed(Step::Whole(answer))))
    }

    fn log_hop(&self, peer: &str, outcome: &'static str, took: Duration) {
        self.exchange.inner.metrics.count_hop(outcome);
        let skipped = match self.exchange.log_permit() {
            Some(skipped) => skipped,
            None if outcome != "answered" => 0,
            None => return,
        };
        log::info!(
            event = "CP1008", request = self.admitted.caller_head.id.as_str(), peer, outcome,
            took_ms = millis(took), after = self.last_id(), skipped;
            "passed on to a peer"
        );
    }
}
