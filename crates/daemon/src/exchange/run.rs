//! One request and its attempts at one runner after another.
//!
//! After an attempt the request did not run, ran, or may have run. Whether another
//! attempt follows is decided by the route and the retry budget
//! ([`citron_policy::retry`]).

mod peer;
mod stream;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{StatusCode, header::HeaderMap};
use bytes::Bytes;
use citron_policy::{
    id::{BuildId, InstanceId, RunnerId, ServiceId, Version},
    retry::{Attempt, Decision, Fate, Rerun},
    route::Repeat,
    silence::{self, Wait},
};

use super::{
    Exchange,
    admit::{self, Admitted},
    attempt::{self, Answer},
    events::Received,
    lease::Lease,
    millis,
};
use crate::{
    callers::problem,
    edge::{Problem, RunnerHead},
    fingerprint::format,
    http::written::Departure,
    slots::{Demand, End, Load, Refusal, Report, Sample, Slot},
    upstream::{Failure, Framing},
};
use peer::Hopped;
use stream::Stream;

/// `Retry-After` if every runner that was tried refused the request.
const REFUSED_RETRY: Duration = Duration::from_millis(300);

/// Next step of a response.
pub(super) enum Step {
    /// The complete response.
    Whole(Answer),
    /// Events of a stream.
    Events(Bytes),
    /// The stream is complete.
    Done,
    /// The request failed; nothing follows.
    Failed(Problem),
}

/// Whether a runner began to answer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// Not yet.
    Awaited,
    /// It did, which was recorded as usage.
    Recorded,
}

/// What was passed to the caller of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relayed {
    Nothing,
    Events,
    /// The complete stream, though it may hold no event.
    All,
}

/// How the declaration in force here compares with that of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Versions {
    /// Equal, as far as is known.
    Equal,
    /// A peer had a newer one and was asked again.
    Renewed,
    /// The peer that passed the request on has an older one.
    Outdated,
}

/// One request and its attempts.
pub(super) struct Run {
    exchange: Exchange,
    pub(super) admitted: Admitted,
    /// Runners that were tried.
    tried: Vec<RunnerId>,
    /// Attempts that ran or may have run.
    ran: u32,
    /// Attempts, including those that did not run.
    sent: u32,
    stream: Option<Stream>,
    /// Head of the first stream, which stays the response head after a resumption.
    pub(super) head: Option<(StatusCode, HeaderMap)>,
    /// What the caller has of the stream.
    received: Received,
    relayed: Relayed,
    /// Version of the runners that the stream goes on at; none before its first event.
    build: Option<BuildId>,
    /// Services whose arbiter does not know the stream.
    searched: Vec<ServiceId>,
    /// Whether the latest attempt tries a path that was lost.
    is_trial: bool,
    /// Peers that were asked to make an attempt.
    asked_peers: Vec<InstanceId>,
    versions: Versions,
    /// Whether the runner of this attempt answered without naming a limit.
    unlimited: bool,
    start: Start,
    /// Load that the runner of this attempt named, and when.
    load: Option<(Load, Instant)>,
}

impl Run {
    pub(super) fn new(exchange: Exchange, admitted: Admitted) -> Self {
        Self {
            exchange,
            received: Received::elsewhere(admitted.caller_head.after),
            admitted,
            tried: Vec::new(),
            ran: 0,
            sent: 0,
            stream: None,
            head: None,
            relayed: Relayed::Nothing,
            build: None,
            searched: Vec::new(),
            is_trial: false,
            asked_peers: Vec::new(),
            versions: Versions::Equal,
            unlimited: false,
            start: Start::Awaited,
            load: None,
        }
    }

    /// The next step; only [`Step::Events`] is followed by another.
    pub(super) async fn next(&mut self) -> Step {
        if self.relayed == Relayed::All {
            return Step::Done;
        }
        loop {
            if self.stream.is_some() {
                match self.read_stream().await {
                    Ok(step) => return step,
                    Err(problem) => return Step::Failed(problem),
                }
            }
            match self.attempt().await {
                Ok(Some(step)) => return self.check_resumed(step),
                Ok(None) => {}
                Err(problem) => return Step::Failed(problem),
            }
        }
    }

    /// Whether nothing ran, as the peer that passed the request on has an older declaration.
    pub(super) fn is_outdated(&self) -> bool {
        self.versions == Versions::Outdated
    }

    /// Id of the last event passed to the caller.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.received.last_id
    }

    /// Whether the caller has events of the stream already.
    fn is_continued(&self) -> bool {
        self.has_events() || self.build.is_some() || self.admitted.caller_head.is_continued()
    }

    /// Whether events were passed to the caller.
    fn has_events(&self) -> bool {
        self.relayed == Relayed::Events
    }

    /// Cancels the upstream work for a caller that has left.
    pub(super) fn abandon(&mut self, departure: Departure) {
        log::info!(
            event = "CP1003", request = self.admitted.caller_head.id.as_str(), sent = self.sent,
            after_ms = millis(self.admitted.arrived.elapsed()), cause:% = departure,
            last_event = self.last_id().unwrap_or(0);
            "caller disconnected"
        );
        match departure {
            Departure::Closed => self.record_failure(&Problem::caller_disconnected()),
            Departure::Stalled => self.record_failure(&Problem::caller_stalled()),
        }
        self.release_stream(End::Cancelled);
    }

    /// Gives up the request, as the daemon must end now.
    pub(super) fn cut_off(&mut self) -> Problem {
        self.release_stream(End::Cancelled);
        if self.sent == 0 && self.asked_peers.is_empty() {
            return Problem::leaving();
        }
        Problem {
            status: StatusCode::GATEWAY_TIMEOUT,
            kind: "leaving",
            detail: "this instance had to end before the request did: allow it more time to drain"
                .to_owned(),
            retry_after: None,
        }
    }

    /// Bounds the request by the end of a leaving daemon; the problem for the caller if it
    /// cannot be expected to end before.
    fn check_time_left(&mut self) -> Result<(), Problem> {
        let Some(end) = *self.exchange.ports().end.borrow() else {
            return Ok(());
        };
        self.admitted.deadline = self.admitted.deadline.min(end);
        if self
            .exchange
            .fits(&self.admitted.class.name, Instant::now())
        {
            return Ok(());
        }
        Err(self.adjust_status(Problem::leaving()))
    }

    /// Makes one attempt; `None` if another attempt or the events of a stream follow.
    async fn attempt(&mut self) -> Result<Option<Step>, Problem> {
        self.check_time_left()?;
        match self.hop().await? {
            Hopped::No => {}
            Hopped::Step(step) => return Ok(Some(step)),
            Hopped::Follows => return Ok(None),
        }
        let Some(slot) = self.acquire_slot().await? else {
            return Ok(None);
        };
        if !self.recheck()? {
            return Ok(None);
        }
        self.check_time_left()?;
        if self.is_continued() {
            self.build.get_or_insert_with(|| slot.build.clone());
        }
        self.sent += 1;
        self.tried.push(slot.runner.clone());
        self.unlimited = false;
        self.load = None;
        let started = Instant::now();
        self.exchange
            .inner
            .detour
            .borrow_mut()
            .on_attempt(&slot.runner, slot.address);
        let answer = self.send(&slot).await;
        let answer = match answer {
            Ok(answer) => {
                self.exchange.inner.detour.borrow_mut().on_answer(started);
                answer
            }
            Err(failure) => {
                let end = end_for(&failure);
                self.note_path(&slot.runner, &failure, started);
                slot.release(self.sample(end, started, None, 0));
                return self.on_failure(&failure, end).map(|()| None);
            }
        };
        self.on_limit(&slot, &answer.runner_head);
        self.on_load(&answer.runner_head);
        if answer.runner_head.refused || answer.runner_head.misdirected {
            slot.release(self.sample(End::Refused, started, None, 0));
            return self.on_refusal(answer.runner_head).map(|()| None);
        }
        let is_stream = self.admitted.route.stream && answer.response.status.is_success();
        let wrong_kind = is_stream.then(|| self.stream_fault(&answer.response));
        if let Some(failure) = unusable(&answer).or(wrong_kind.flatten()) {
            slot.release(self.sample(End::Late, started, None, 0));
            return self.on_failure(&failure, End::Late).map(|()| None);
        }
        self.ran += 1;
        if is_stream {
            self.start_stream(Lease::Slot(slot), answer.response, started);
            return Ok(None);
        }
        self.read_whole(Lease::Slot(slot), answer, started).await
    }

    /// Records a connection that was not opened, or was lost.
    fn note_path(&self, runner: &str, failure: &Failure, at: Instant) {
        if failure.is_unconnected() || failure.is_disconnect() {
            self.exchange.on_unreached(at, runner);
        }
    }

    /// Reports and logs the limit that a runner names; another runner at its address
    /// says nothing about it.
    fn on_limit(&mut self, slot: &Slot, runner_head: &RunnerHead) {
        self.unlimited = runner_head.sealed && runner_head.limit.is_none();
        if let Some(most) = runner_head.brittle.filter(|_| !runner_head.misdirected) {
            slot.record_brittle(most);
        }
        let Some(limit) = runner_head.limit.filter(|_| !runner_head.misdirected) else {
            return;
        };
        slot.record_limit(limit);
        let Some(skipped) = self.exchange.log_permit() else {
            return;
        };
        log::info!(
            event = "CP1007", request = self.admitted.caller_head.id.as_str(),
            runner = slot.runner.as_str(), service = self.admitted.service.name.as_str(),
            limit = limit.to_string(), skipped;
            "runner names a limit"
        );
    }

    /// Keeps the load that a runner names until its slot is released.
    fn on_load(&mut self, runner_head: &RunnerHead) {
        let load = runner_head.load.filter(|_| !runner_head.misdirected);
        if load.is_some_and(|it| it.percent.is_some()) {
            self.exchange.ports().shared_hosts.note();
        }
        // Elsewhere the arbiter has no use for it, and it would only cost bytes.
        let load = load.filter(|_| self.exchange.ports().shared_hosts.get());
        self.load = load.map(|it| (it, Instant::now()));
    }

    /// Sends the request to the runner of a slot and waits for the response head, or
    /// until the runner has been silent long enough to try another one.
    async fn send(&self, slot: &Slot) -> Result<attempt::Started, Failure> {
        tokio::select! {
            biased;
            answer = attempt::send(&self.exchange, &self.admitted, slot, self.last_id()) => answer,
            () = self.silence_timeout() => Err(Failure::Silent),
        }
    }

    /// Resolves when the runner of this attempt has been silent for too long; never if
    /// the request may not move to another one.
    async fn silence_timeout(&self) {
        let admitted = &self.admitted;
        let wait = Wait {
            target: admitted.class.first_token,
            remaining: admitted.deadline.saturating_duration_since(Instant::now()),
            rerun: self.rerun(self.ran + 1),
            attempts: self.sent,
        };
        if let Some(bound) = silence::timeout(&wait) {
            actix_rt::time::sleep(bound).await;
            // Without retry budget the request could not be sent to another runner.
            if self.exchange.inner.retries.left(&admitted.service) > 0 {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Whether the request may run again after `ran` attempts that may have run.
    fn rerun(&self, ran: u32) -> Rerun {
        let route = &self.admitted.route;
        match route.repeat {
            Repeat::Never => Rerun::Forbidden,
            Repeat::Resume if !route.stream => Rerun::Forbidden,
            // Without the id of its last event nobody can go on with the stream.
            Repeat::Always | Repeat::Resume if self.received.is_unplaced() => Rerun::Forbidden,
            Repeat::Always | Repeat::Resume if ran < route.attempts => Rerun::Allowed,
            Repeat::Always | Repeat::Resume => Rerun::Spent,
        }
    }

    /// Waits for a slot on a runner; `None` if another service is to be asked.
    async fn acquire_slot(&mut self) -> Result<Option<Slot>, Problem> {
        let admitted = &self.admitted;
        let account = admitted.account.as_ref();
        let demand = Demand {
            request: request_number(&admitted.caller_head.id),
            service: admitted.service.name.clone(),
            class: admitted.class.name.clone(),
            account: account.map_or_else(String::new, |it| it.name.clone()),
            fingerprint: admitted.fingerprint,
            prefix: cache_prefix(admitted),
            deadline: admitted.deadline,
            avoid: self.avoided(),
            resume: self.head.is_some(),
            tier: Some(admitted.tier()),
            prompt: admitted.caller_head.prompt.clone(),
            output: admitted.caller_head.output,
            stream: self.continuation(),
        };
        let waiting = Instant::now();
        let acquired = self.exchange.ports().slots.acquire(demand).await;
        match acquired {
            Ok(slot) => {
                self.log_sent(&slot, waiting.elapsed());
                Ok(Some(slot))
            }
            Err(Refusal::UnknownBuild { .. }) if self.search_next_service()? => Ok(None),
            Err(refusal) => Err(self.slot_problem(&refusal)),
        }
    }

    /// Runners that tried this request, and those that could not be reached lately.
    fn avoided(&self) -> Vec<RunnerId> {
        let detour = self.exchange.inner.detour.borrow();
        let unreached = detour.unreached(Instant::now()).cloned();
        self.tried.iter().cloned().chain(unreached).collect()
    }

    /// Turns to another service of the route, which may know the stream; false if all
    /// were asked.
    fn search_next_service(&mut self) -> Result<bool, Problem> {
        self.searched.push(self.admitted.service.name.clone());
        let catalogue = admit::current_catalogue(&self.exchange);
        let catalogue = catalogue.map_err(|it| self.adjust_status(it))?;
        let route = &self.admitted.route;
        let mut others = route.backends.iter().filter(|it| it.weight > 0);
        let next = others.find(|it| !self.searched.contains(&it.service));
        let service = next.and_then(|it| catalogue.services.get(&it.service));
        if let Some(service) = service {
            self.admitted.service = Arc::clone(service);
        }
        Ok(service.is_some())
    }

    /// Logs the runner that the request is sent to and the basis of the choice.
    fn log_sent(&self, slot: &Slot, waited: Duration) {
        let admitted = &self.admitted;
        let exchange = &self.exchange;
        exchange
            .inner
            .metrics
            .record_wait(&admitted.class.name, waited);
        if self.is_continued() {
            let by = if self.build.is_some() {
                "daemon"
            } else {
                "caller"
            };
            let same = self.build.as_ref().map(|it| *it == slot.build);
            exchange.inner.metrics.count_continued(by, same);
        }
        // An attempt after the first follows a failure and is always logged.
        let skipped = match exchange.log_permit() {
            Some(skipped) => skipped,
            None if self.sent > 0 || self.is_continued() => 0,
            None => return,
        };
        let freshness = exchange.freshness();
        log::info!(
            event = "CP1001", request = admitted.caller_head.id.as_str(),
            runner = slot.runner.as_str(), address:% = slot.address, build = slot.build.as_str(),
            resumes = admitted.caller_head.resumes.as_deref(), after = self.last_id(),
            service = admitted.service.name.as_str(), class = admitted.class.name.as_str(),
            tier = admitted.tier(),
            account = admitted.account.as_ref().map_or("", |it| it.name.as_str()),
            fingerprint = format(admitted.fingerprint), alone = slot.alone,
            arbiter = slot.arbiter.as_str(), waited_ms = millis(waited), sent = self.sent,
            version = freshness.version, proof_age_ms = freshness.proof_age.map(millis), skipped;
            "sent to a runner"
        );
    }

    /// Repeats the admission checks after the wait; false if the route no longer leads
    /// to the service that the slot is for.
    fn recheck(&mut self) -> Result<bool, Problem> {
        let catalogue = admit::current_catalogue(&self.exchange);
        let catalogue = catalogue.map_err(|it| self.adjust_status(it))?;
        let is_newer = |it: Version| self.exchange.version() > it;
        if self.ran == 0 && self.admitted.hop_version.is_some_and(is_newer) {
            self.versions = Versions::Outdated;
            return Err(Problem {
                status: StatusCode::SERVICE_UNAVAILABLE,
                kind: "version",
                detail: "this instance has a newer declaration than the peer that passed the \
                         request on"
                    .to_owned(),
                retry_after: Some(Duration::ZERO),
            });
        }
        let path = self.admitted.path.split('?').next().unwrap_or_default();
        let allowed = admit::allow(&catalogue, &self.admitted.caller_head, path)
            .map_err(|it| self.adjust_status(it))?;
        let stays = allowed.route.allows(&self.admitted.service.name);
        if !stays && self.build.is_some() {
            return Err(self.adjust_status(Problem {
                status: StatusCode::SERVICE_UNAVAILABLE,
                kind: "no-build",
                detail: "the route leads to another service than the one that began the stream: \
                         start it anew"
                    .to_owned(),
                retry_after: Some(Duration::ZERO),
            }));
        }
        if !stays {
            let service = admit::choose_service(&catalogue, &allowed.route);
            self.admitted.service = service.map_err(|it| self.adjust_status(it))?;
        }
        self.admitted.route = allowed.route;
        self.admitted.class = allowed.class;
        self.admitted.account = allowed.account;
        self.admitted.rank = allowed.rank;
        Ok(stays)
    }

    /// Handles an attempt that ended without a response.
    fn on_failure(&mut self, failure: &Failure, end: End) -> Result<(), Problem> {
        self.exchange.ports().upstream.count_failure(failure);
        let fate = failure.fate();
        if fate != Fate::NotRun {
            self.ran += 1;
        }
        // Nothing was used up, or a trial, which is rare; and a peer may have a path.
        let free =
            fate == Fate::NotRun || (self.is_trial && self.rerun(self.ran) == Rerun::Allowed);
        if free && self.may_hop() {
            self.log_failure(end, "Hop", &failure.to_string(), self.retries_left());
            return Ok(());
        }
        let status = match failure {
            Failure::Late | Failure::Silent => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        let problem = Problem {
            status,
            kind: "upstream",
            detail: failure.to_string(),
            retry_after: None,
        };
        self.decide_retry(fate, end, problem)
    }

    /// Handles a runner's statement that the request did not run.
    fn on_refusal(&mut self, runner_head: RunnerHead) -> Result<(), Problem> {
        let detail = if runner_head.misdirected {
            "the runner's address belongs to another one now"
        } else {
            "the runner refused the request before running it"
        };
        let problem = Problem {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: "refused",
            detail: detail.to_owned(),
            retry_after: Some(REFUSED_RETRY),
        };
        self.decide_retry(Fate::NotRun, End::Refused, problem)
    }

    /// Decides whether to retry; the problem for the caller if not.
    fn decide_retry(&mut self, fate: Fate, end: End, problem: Problem) -> Result<(), Problem> {
        let attempt = Attempt {
            fate,
            made: self.sent,
            rerun: self.rerun(self.ran),
            deadline: self.admitted.deadline,
        };
        let retries = &self.exchange.inner.retries;
        let now = Instant::now();
        let retries_left = self.retries_left();
        let decision = retries.decide(now, &self.admitted.service, &attempt);
        self.log_failure(end, &format!("{decision:?}"), &problem.detail, retries_left);
        match decision {
            Decision::Again => Ok(()),
            Decision::GiveUp(_) => Err(self.adjust_status(problem)),
        }
    }

    /// Retries that the service's budget holds.
    fn retries_left(&self) -> u64 {
        self.exchange.inner.retries.left(&self.admitted.service)
    }

    /// Logs a failed attempt and what follows it.
    fn log_failure(&self, end: End, decision: &str, detail: &str, retries_left: u64) {
        let admitted = &self.admitted;
        let left = admitted.deadline.saturating_duration_since(Instant::now());
        log::info!(
            event = "CP1004", request = admitted.caller_head.id.as_str(),
            runner = self.tried.last().map_or("", String::as_str), sent = self.sent, ran = self.ran,
            left_ms = millis(left), retries_left,
            fingerprint = format(admitted.fingerprint), end:? = end, decision;
            "attempt failed: {detail}"
        );
    }

    /// Makes the status of a problem match whether an attempt may have run: a status
    /// that promises that nothing ran is replaced if one may have, and the reverse.
    fn adjust_status(&self, problem: Problem) -> Problem {
        if self.ran == 0 {
            if problem.status == StatusCode::BAD_GATEWAY {
                return Problem {
                    status: StatusCode::SERVICE_UNAVAILABLE,
                    retry_after: Some(REFUSED_RETRY),
                    ..problem
                };
            }
            return problem;
        }
        if promises_not_run(problem.status) {
            return Problem {
                status: StatusCode::BAD_GATEWAY,
                retry_after: None,
                ..problem
            };
        }
        problem
    }

    fn slot_problem(&self, refusal: &Refusal) -> Problem {
        let problem = Problem::from(problem::Problem::refused(refusal));
        match refusal {
            // The request ran on the runners that it crashed.
            Refusal::Quarantined => Problem {
                status: StatusCode::BAD_GATEWAY,
                ..problem
            },
            _ => self.adjust_status(problem),
        }
    }

    /// Records as usage that a runner began to answer, once for each request.
    ///
    /// The daemon that a peer passes a request on to leaves it to that peer, which sees
    /// the same answer. A request that goes on with a stream was recorded with the one
    /// that brought the first event.
    fn record_start(&mut self) {
        let admitted = &self.admitted;
        let is_elsewhere = admitted.is_hop || admitted.caller_head.is_continued();
        if self.start == Start::Recorded || is_elsewhere {
            return;
        }
        let account = admitted.account.as_ref();
        // Requests of public routes have an account without a name.
        let account = account.filter(|it| !it.name.is_empty());
        if let (Some(usage), Some(account)) = (&self.exchange.ports().usage, account) {
            usage.record(&account.name);
        }
        self.start = Start::Recorded;
    }

    /// Reads a complete response; a failed one may be retried.
    async fn read_whole(
        &mut self,
        lease: Lease,
        answer: attempt::Started,
        started: Instant,
    ) -> Result<Option<Step>, Problem> {
        self.record_start();
        let (status, headers) = (answer.response.status, answer.response.headers);
        let framing = answer.response.body.framing();
        let body = self.exchange.ports().buffers.answer(status);
        let mut whole = answer.response.body.whole(body).await;
        if whole.is_ok()
            && let Err(failure) = attempt::confirm_end(lease.slot(), framing).await
        {
            whole = Err(failure);
        }
        match whole {
            Ok(body) => {
                let end = if status.is_server_error() {
                    End::Late
                } else {
                    End::Done
                };
                lease.release(self.sample(end, started, None, 0));
                let answer = Answer {
                    status,
                    headers,
                    body,
                };
                if status.is_success() {
                    self.record_success(framing, started.elapsed());
                }
                if status.is_server_error() && self.retries_status(status) {
                    return Ok(None);
                }
                Ok(Some(Step::Whole(answer)))
            }
            Err(failure) => {
                let end = end_for(&failure);
                if let Some(slot) = lease.slot() {
                    self.note_path(&slot.runner, &failure, Instant::now());
                }
                lease.release(self.sample(end, started, None, 0));
                self.ran -= 1;
                self.on_failure(&failure, end).map(|()| None)
            }
        }
    }

    /// Whether to retry a request that its runner answered with a server error.
    fn retries_status(&mut self, status: StatusCode) -> bool {
        let problem = Problem {
            status,
            kind: "upstream",
            detail: format!("the runner answered {status}"),
            retry_after: None,
        };
        self.decide_retry(Fate::Unknown, End::Late, problem).is_ok()
    }

    /// The sample of this attempt.
    fn sample(&self, end: End, started: Instant, first: Option<Instant>, events: u32) -> Sample {
        let now = Instant::now();
        let since = |it: Instant| now.saturating_duration_since(it);
        let between = first
            .filter(|_| events > 1)
            .map(|it| since(it) / (events - 1));
        Sample {
            end,
            first_token: first.map(|it| it.saturating_duration_since(started)),
            between_tokens: between,
            whole: since(started),
            tokens: events,
            unlimited: self.unlimited,
            longest_pause: None,
            report: self.load.map(|(load, at)| Report {
                load,
                age: since(at),
            }),
        }
    }

    /// Records and logs that the request was answered in full; its runner `worked` so long.
    fn record_success(&self, framing: Framing, worked: Duration) {
        let admitted = &self.admitted;
        let took = admitted.arrived.elapsed();
        let exchange = &self.exchange;
        exchange
            .inner
            .metrics
            .record_end(&admitted.class.name, "done", took);
        exchange.record_work(&admitted.class.name, worked);
        exchange.inner.metrics.count_whole(framing);
        let skipped = match exchange.log_permit() {
            Some(skipped) => skipped,
            None if self.sent > 1 || framing == Framing::Close => 0,
            None => return,
        };
        log::info!(
            event = "CP1005", request = admitted.caller_head.id.as_str(),
            runner = self.tried.last().map_or("", String::as_str), took_ms = millis(took),
            sent = self.sent, ran = self.ran, framing:% = framing,
            last_event = self.last_id().unwrap_or(0), skipped;
            "answered"
        );
    }

    /// Records that the request ended without a complete response.
    pub(super) fn record_failure(&self, problem: &Problem) {
        let admitted = &self.admitted;
        let took = admitted.arrived.elapsed();
        let metrics = &self.exchange.inner.metrics;
        metrics.record_end(&admitted.class.name, problem.kind, took);
    }
}

/// Why a response cannot be relayed: a success without proof of origin, or a status
/// that promises that nothing ran without the runner's statement of it.
fn unusable(answer: &attempt::Started) -> Option<Failure> {
    let status = answer.response.status;
    if status.is_success() && !answer.runner_head.sealed {
        return Some(Failure::Garbled("it does not prove its origin".to_owned()));
    }
    let reason = format!("status {status} without the word that the request did not run");
    promises_not_run(status).then_some(Failure::Garbled(reason))
}

/// Whether a status promises that the request did not and will not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Part of the prompt by which requests share a runner's prefix cache: the subject's
/// part, which precedes the request's own.
fn cache_prefix(admitted: &Admitted) -> u64 {
    let prompt = &admitted.caller_head.prompt;
    prompt.get(1).or(prompt.first()).map_or(0, |it| it.id)
}

/// Numeric id under which operators see the request.
fn request_number(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

fn end_for(failure: &Failure) -> End {
    match failure {
        Failure::Late | Failure::Silent => End::Late,
        // They say nothing of the runner.
        Failure::NoMemory | Failure::Invalid(_) => End::Cancelled,
        // It takes no requests now; nothing shows that one of them ended it.
        Failure::Gone => End::Unreachable,
        failure if failure.is_unconnected() => End::Unreachable,
        failure if failure.is_disconnect() => End::Broken,
        _ => End::Refused,
    }
}
