//! A request on its way through one runner after another.
//!
//! Each attempt ends in one of three ways for the request: it did not run, it
//! ran, or it may have run. What follows is decided by the route and the retry
//! budget ([`citron_policy::retry`]).

use std::time::{Duration, Instant};

use actix_http::{StatusCode, header::HeaderMap};
use bytes::Bytes;
use citron_policy::{
    id::RunnerId,
    retry::{Attempt, Decision, Fate, Rerun},
    route::Repeat,
    silence::{self, Wait},
};

use super::{
    Exchange,
    admit::{self, Admitted},
    attempt::{self, Answer},
    events::Events,
    millis,
};
use crate::{
    callers::problem,
    edge::{Problem, Word},
    slots::{Demand, End, Refusal, Sample, Slot},
    upstream::{self, Failure},
};

/// Time to come back where every runner that was asked refused.
const REFUSED_RETRY: Duration = Duration::from_millis(300);

/// What comes next of an answer.
pub(super) enum Step {
    /// The whole answer.
    Whole(Answer),
    /// Events of a stream.
    Events(Bytes),
    /// The stream is complete.
    Done,
    /// Nothing more comes.
    Failed(Problem),
}

/// A stream that is being read.
struct Live {
    slot: Slot,
    body: upstream::Body,
    events: Events,
    begun: Instant,
    first: Option<Instant>,
    count: u32,
}

/// One request and its attempts.
pub(super) struct Run {
    exchange: Exchange,
    pub(super) admitted: Admitted,
    /// Runners that were asked.
    avoid: Vec<RunnerId>,
    /// Attempts that ran or may have run.
    ran: u32,
    /// Attempts, those that did not run included.
    sent: u32,
    live: Option<Live>,
    /// Head of the first stream, which stays the head of the whole answer.
    pub(super) head: Option<(StatusCode, HeaderMap)>,
    /// Last event that the caller gets.
    last: Option<u64>,
}

impl Run {
    pub(super) fn new(exchange: Exchange, admitted: Admitted) -> Self {
        Self {
            exchange,
            last: admitted.ask.after,
            admitted,
            avoid: Vec::new(),
            ran: 0,
            sent: 0,
            live: None,
            head: None,
        }
    }

    /// The next step; nothing follows one that is no [`Step::Events`].
    pub(super) async fn next(&mut self) -> Step {
        loop {
            if self.live.is_some() {
                match self.read().await {
                    Ok(step) => return step,
                    Err(problem) => return Step::Failed(problem),
                }
            }
            match self.attempt().await {
                Ok(Some(step)) => return step,
                Ok(None) => {}
                Err(problem) => return Step::Failed(problem),
            }
        }
    }

    /// Number of the last event that the caller got.
    pub(super) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Ends the work upstream, since the caller has left.
    pub(super) fn abandon(&mut self) {
        log::info!(
            event = "CP1003", request = self.admitted.ask.id.as_str(), sent = self.sent,
            after_ms = millis(self.admitted.arrived.elapsed()),
            last_event = self.last.unwrap_or(0);
            "the caller left"
        );
        self.fail(&Problem::gone());
        self.end(End::Cancelled);
    }

    /// One attempt: a step for the caller, or nothing if another attempt or the
    /// stream's events follow.
    async fn attempt(&mut self) -> Result<Option<Step>, Problem> {
        let slot = self.take().await?;
        if !self.recheck()? {
            return Ok(None);
        }
        self.sent += 1;
        self.avoid.push(slot.runner.clone());
        let begun = Instant::now();
        let answer = self.begin(&slot).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => {
                slot.release(sample(end_of(&failure), begun, None, 0));
                return self.failed(&failure).map(|()| None);
            }
        };
        if answer.word.refused || answer.word.misdirected {
            slot.release(sample(End::Refused, begun, None, 0));
            return self.refused(answer.word).map(|()| None);
        }
        if let Some(failure) = unusable(&answer) {
            slot.release(sample(End::Late, begun, None, 0));
            return self.failed(&failure).map(|()| None);
        }
        self.ran += 1;
        if self.admitted.route.stream && answer.response.status.is_success() {
            self.open(slot, answer.response, begun);
            return Ok(None);
        }
        self.whole(slot, answer, begun).await
    }

    /// Sends the request to the runner of a slot and waits for the head of its
    /// answer, or until its silence makes another runner worth a try.
    async fn begin(&self, slot: &Slot) -> Result<attempt::Begun, Failure> {
        tokio::select! {
            biased;
            answer = attempt::begin(&self.exchange, &self.admitted, slot, self.last) => answer,
            () = self.silence() => Err(Failure::Silent),
        }
    }

    /// Resolves when a runner that was just asked has been silent for too long;
    /// never if it is to be waited for.
    async fn silence(&self) {
        let admitted = &self.admitted;
        let wait = Wait {
            target: admitted.class.first_token,
            remaining: admitted.deadline.saturating_duration_since(Instant::now()),
            rerun: self.rerun(self.ran + 1),
            attempts: self.sent,
        };
        if let Some(bound) = silence::timeout(&wait) {
            actix_rt::time::sleep(bound).await;
            // A request that cannot be sent again stays where it is.
            if self.exchange.inner.retries.left(&admitted.service) > 0 {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Whether the request may run once more after `ran` attempts that may have run.
    fn rerun(&self, ran: u32) -> Rerun {
        let route = &self.admitted.route;
        match route.repeat {
            Repeat::Never => Rerun::Forbidden,
            Repeat::Resume if !route.stream => Rerun::Forbidden,
            Repeat::Always | Repeat::Resume if ran < route.attempts => Rerun::Allowed,
            Repeat::Always | Repeat::Resume => Rerun::Spent,
        }
    }

    /// Waits for a slot on a runner.
    async fn take(&self) -> Result<Slot, Problem> {
        let admitted = &self.admitted;
        let account = admitted.account.as_ref();
        let demand = Demand {
            request: request_number(&admitted.ask.id),
            service: admitted.service.name.clone(),
            class: admitted.class.name.clone(),
            account: account.map_or_else(String::new, |it| it.name.clone()),
            fingerprint: 0,
            prefix: prefix(admitted),
            deadline: admitted.deadline,
            avoid: self.avoid.clone(),
            resume: self.head.is_some(),
            tier: Some(admitted.tier()),
            prompt: admitted.ask.prompt.clone(),
            output: admitted.ask.output,
        };
        let waiting = Instant::now();
        let taken = self.exchange.ports().slots.acquire(demand).await;
        match taken {
            Ok(slot) => {
                self.tell_sent(&slot, waiting.elapsed());
                Ok(slot)
            }
            Err(refusal) => Err(self.unslotted(&refusal)),
        }
    }

    /// Tells where the request goes, and what decided it.
    fn tell_sent(&self, slot: &Slot, waited: Duration) {
        let admitted = &self.admitted;
        let exchange = &self.exchange;
        exchange.inner.metrics.waited(&admitted.class.name, waited);
        // A request that was sent before has failed, and is always told.
        let skipped = match exchange.sampled() {
            Some(skipped) => skipped,
            None if self.sent > 0 => 0,
            None => return,
        };
        let known = exchange.known();
        log::info!(
            event = "CP1001", request = admitted.ask.id.as_str(), runner = slot.runner.as_str(),
            address:% = slot.address, service = admitted.service.name.as_str(),
            class = admitted.class.name.as_str(), tier = admitted.tier(),
            account = admitted.account.as_ref().map_or("", |it| it.name.as_str()),
            arbiter = slot.arbiter.as_str(), waited_ms = millis(waited), sent = self.sent,
            version = known.version, proof_age_ms = known.proof_age.map(millis), skipped;
            "sent to a runner"
        );
    }

    /// Checks again what may have changed while the request waited; false if its
    /// route leads to another service now.
    fn recheck(&mut self) -> Result<bool, Problem> {
        let ports = self.exchange.ports();
        let catalogue = admit::current(ports).map_err(|it| self.unless_ran(it))?;
        let path = self.admitted.path.split('?').next().unwrap_or_default();
        let allowed =
            admit::allow(&catalogue, &self.admitted.ask, path).map_err(|it| self.unless_ran(it))?;
        let stays = allowed.route.allows(&self.admitted.service.name);
        if !stays {
            let service = admit::service(&catalogue, &allowed.route);
            self.admitted.service = service.map_err(|it| self.unless_ran(it))?;
        }
        self.admitted.route = allowed.route;
        self.admitted.class = allowed.class;
        self.admitted.account = allowed.account;
        self.admitted.rank = allowed.rank;
        Ok(stays)
    }

    /// What follows an attempt that ended without an answer.
    fn failed(&mut self, failure: &Failure) -> Result<(), Problem> {
        self.exchange.ports().upstream.count_failure(failure);
        let fate = failure.fate();
        if fate != Fate::NotRun {
            self.ran += 1;
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
        self.again(fate, problem)
    }

    /// What follows a runner's word that the request did not run.
    fn refused(&mut self, word: Word) -> Result<(), Problem> {
        let detail = if word.misdirected {
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
        self.again(Fate::NotRun, problem)
    }

    /// Decides whether another attempt follows; otherwise gives the problem.
    fn again(&mut self, fate: Fate, problem: Problem) -> Result<(), Problem> {
        let attempt = Attempt {
            fate,
            made: self.sent,
            rerun: self.rerun(self.ran),
            deadline: self.admitted.deadline,
        };
        let retries = &self.exchange.inner.retries;
        let now = Instant::now();
        let retries_left = retries.left(&self.admitted.service);
        let decision = retries.next(now, &self.admitted.service, &attempt);
        log::info!(
            event = "CP1004", request = self.admitted.ask.id.as_str(),
            runner = self.avoid.last().map_or("", String::as_str), sent = self.sent, ran = self.ran,
            left_ms = millis(self.admitted.deadline.saturating_duration_since(now)), retries_left,
            decision:? = decision;
            "attempt failed: {}", problem.detail
        );
        match decision {
            Decision::Again => Ok(()),
            Decision::GiveUp(_) => Err(self.unless_ran(problem)),
        }
    }

    /// The problem, without a promise that nothing ran where something may have.
    fn unless_ran(&self, problem: Problem) -> Problem {
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
        if promises(problem.status) {
            return Problem {
                status: StatusCode::BAD_GATEWAY,
                retry_after: None,
                ..problem
            };
        }
        problem
    }

    fn unslotted(&self, refusal: &Refusal) -> Problem {
        let problem = Problem::from(problem::Problem::refused(refusal));
        match refusal {
            // It has run, on the runners that it crashed.
            Refusal::Quarantined => Problem {
                status: StatusCode::BAD_GATEWAY,
                ..problem
            },
            _ => self.unless_ran(problem),
        }
    }

    /// Reads a whole answer; one that failed may be tried again.
    async fn whole(
        &mut self,
        slot: Slot,
        answer: attempt::Begun,
        begun: Instant,
    ) -> Result<Option<Step>, Problem> {
        let (status, headers) = (answer.response.status, answer.response.headers);
        match answer.response.body.whole().await {
            Ok(body) => {
                let end = if status.is_server_error() {
                    End::Late
                } else {
                    End::Done
                };
                slot.release(sample(end, begun, None, 0));
                let answer = Answer {
                    status,
                    headers,
                    body,
                };
                if status.is_success() {
                    self.settle();
                }
                if status.is_server_error() && self.repeats(status) {
                    return Ok(None);
                }
                Ok(Some(Step::Whole(answer)))
            }
            Err(failure) => {
                slot.release(sample(end_of(&failure), begun, None, 0));
                self.ran -= 1;
                self.failed(&failure).map(|()| None)
            }
        }
    }

    /// Whether a request that failed on its runner is made again.
    fn repeats(&mut self, status: StatusCode) -> bool {
        let problem = Problem {
            status,
            kind: "upstream",
            detail: format!("the runner answered {status}"),
            retry_after: None,
        };
        self.again(Fate::Unknown, problem).is_ok()
    }

    /// Begins to read a stream.
    fn open(&mut self, slot: Slot, response: upstream::Response, begun: Instant) {
        if self.head.is_none() {
            self.head = Some((response.status, response.headers));
        }
        self.live = Some(Live {
            slot,
            body: response.body,
            events: Events::after(self.last),
            begun,
            first: None,
            count: 0,
        });
    }

    /// Reads until there is a step for the caller, or another attempt is due.
    async fn read(&mut self) -> Result<Step, Problem> {
        loop {
            let Some(live) = &mut self.live else {
                // The stream broke and another runner goes on with it.
                return match Box::pin(self.attempt()).await? {
                    Some(step) => Ok(self.within_stream(step)),
                    None => continue,
                };
            };
            match live.body.next().await {
                Some(Ok(part)) => match live.events.push(&part) {
                    Ok((events, count)) if count > 0 => {
                        if live.first.is_none() {
                            live.first = Some(Instant::now());
                            let took = self.admitted.arrived.elapsed();
                            let metrics = &self.exchange.inner.metrics;
                            metrics.first(&self.admitted.class.name, took);
                            live.slot.record_start();
                        }
                        live.count += count;
                        live.slot.record_tokens(live.count);
                        self.last = live.events.last();
                        return Ok(Step::Events(events));
                    }
                    Ok(_) => {}
                    Err(_) => self.broke(&Failure::Garbled("an event is too long".to_owned()))?,
                },
                None if live.events.is_clear() => {
                    self.end(End::Done);
                    self.settle();
                    return Ok(Step::Done);
                }
                None => self.broke(&Failure::Cut)?,
                Some(Err(failure)) => self.broke(&failure)?,
            }
        }
    }

    /// An answer that is no stream cannot follow the events of one.
    fn within_stream(&self, step: Step) -> Step {
        match step {
            Step::Whole(answer) if self.last != self.admitted.ask.after => Step::Failed(Problem {
                status: StatusCode::BAD_GATEWAY,
                kind: "upstream",
                detail: format!(
                    "the runner answered {} to the rest of a stream",
                    answer.status
                ),
                retry_after: None,
            }),
            step => step,
        }
    }

    /// The stream's connection broke.
    fn broke(&mut self, failure: &Failure) -> Result<(), Problem> {
        self.end(end_of(failure));
        self.ran -= 1;
        self.failed(failure)
    }

    /// Gives the slot of a stream back.
    fn end(&mut self, end: End) {
        if let Some(live) = self.live.take() {
            live.slot
                .release(sample(end, live.begun, live.first, live.count));
        }
    }

    /// Tells that the request was answered in full.
    fn settle(&self) {
        let admitted = &self.admitted;
        let took = admitted.arrived.elapsed();
        let exchange = &self.exchange;
        exchange
            .inner
            .metrics
            .ended(&admitted.class.name, "done", took);
        let skipped = match exchange.sampled() {
            Some(skipped) => skipped,
            None if self.sent > 1 => 0,
            None => return,
        };
        log::info!(
            event = "CP1005", request = admitted.ask.id.as_str(),
            runner = self.avoid.last().map_or("", String::as_str), took_ms = millis(took),
            sent = self.sent, ran = self.ran, skipped;
            "answered"
        );
    }

    /// Tells that the request ended without a whole answer.
    pub(super) fn fail(&self, problem: &Problem) {
        let admitted = &self.admitted;
        let took = admitted.arrived.elapsed();
        let metrics = &self.exchange.inner.metrics;
        metrics.ended(&admitted.class.name, problem.kind, took);
    }
}

/// Why an answer cannot be passed on: a success of unknown origin, or a promise
/// that the runner did not make good.
fn unusable(answer: &attempt::Begun) -> Option<Failure> {
    let status = answer.response.status;
    if status.is_success() && !answer.word.sealed {
        return Some(Failure::Garbled("it does not prove its origin".to_owned()));
    }
    let reason = format!("status {status} without the word that the request did not run");
    promises(status).then_some(Failure::Garbled(reason))
}

/// Whether a status promises that the request did not and will not run.
fn promises(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Part of the prompt by which requests share a runner's cache: the subject's,
/// which stands before the request's own.
fn prefix(admitted: &Admitted) -> u64 {
    let prompt = &admitted.ask.prompt;
    prompt.get(1).or(prompt.first()).map_or(0, |it| it.id)
}

/// Number under which the request is shown to operators.
fn request_number(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

fn end_of(failure: &Failure) -> End {
    match failure {
        Failure::Late | Failure::Silent => End::Late,
        failure if failure.is_disconnect() => End::Broken,
        _ => End::Refused,
    }
}

fn sample(end: End, begun: Instant, first: Option<Instant>, events: u32) -> Sample {
    let now = Instant::now();
    let since = |it: Instant| now.saturating_duration_since(it);
    let between = first
        .filter(|_| events > 1)
        .map(|it| since(it) / (events - 1));
    Sample {
        end,
        first_token: first.map(|it| it.saturating_duration_since(begun)),
        between_tokens: between,
        whole: since(begun),
        tokens: events,
    }
}
