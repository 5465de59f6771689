//! Calls to plain services.
//!
//! The complete answer is read before any of it is sent to the caller, so that
//! a repeatable call can be retried and a truncated answer is never passed on as
//! complete. Calls that must run at most once are handled by [`super::once`].

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{
    Request, Response, StatusCode,
    body::BoxBody,
    header::{self, HeaderMap, HeaderName, HeaderValue},
};
use bytes::Bytes;
use citron_policy::{
    catalogue::Backend,
    id::{RequestId, RunnerId},
    retry::{Attempt, Decision, Ending, Fate, Rerun},
};

use super::{
    Callers, InFlight,
    attainment::{Mark, Times},
    once,
    outcome::Outcome,
    payload,
    problem::Problem,
    ticket::{Caller, Ticket},
};
use crate::{
    buffers::Buffers,
    event::format_request_id,
    fingerprint::fingerprint,
    slots::{Demand, End, Sample, Slot},
    trace::TRACEPARENT,
    upstream::{self, Failure, Limits},
};

/// Path prefix of plain services.
pub(super) const PREFIX: &str = "/v1/services/";

/// Largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: u64 = 8 << 20;

/// Headers of the caller that are not forwarded to the service.
const WITHHELD_HEADERS: [&str; 4] = [
    "authorization",
    "citron-class",
    "citron-timeout-ms",
    TRACEPARENT,
];

/// An admitted plain call.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) ticket: Ticket,
    pub(super) request: upstream::Request,
    /// Digest of the account and the body.
    pub(super) fingerprint: u64,
}

/// A complete answer of a service.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// An attempt without an answer that can be passed on.
#[derive(Clone, Debug)]
pub(super) struct Failed {
    pub(super) ending: Ending,
    pub(super) detail: String,
    /// The answer that refused the call, if there was one.
    pub(super) answer: Option<Answer>,
}

/// Responds to a call below [`PREFIX`].
pub(super) async fn answer(
    callers: &Callers,
    mut request: Request,
    id: RequestId,
    guard: InFlight,
) -> Response<BoxBody> {
    let arrived = Instant::now();
    let call = match admit(callers, &mut request, id, arrived).await {
        Ok(call) => call,
        Err(problem) => return problem.response(id),
    };
    callers.inner.retries.earn(&call.ticket.service);
    let path = call.request.path.as_str();
    if call
        .ticket
        .service
        .runs_once(call.request.method.as_str(), path)
    {
        return once::answer(callers, call, &request, guard).await;
    }
    let outcome = tokio::select! {
        outcome = call_with_retries(callers, &call) => outcome,
        () = call.ticket.caller_disconnected() => {
            callers.inner.attainment.lost(&call.ticket.class, Mark::Abandoned, 0);
            return Response::new(StatusCode::REQUEST_TIMEOUT).map_into_boxed_body();
        }
    };
    match outcome {
        Ok(answer) => {
            finish(callers, &call.ticket);
            to_response(&call.ticket, &answer, Outcome::Done)
        }
        Err(problem) => fail(callers, &call.ticket, problem),
    }
}

async fn admit(
    callers: &Callers,
    request: &mut Request,
    id: RequestId,
    arrived: Instant,
) -> Result<Call, Problem> {
    callers.check_open()?;
    let catalogue = Arc::clone(&callers.ports().view.borrow().catalogue);
    let caller = Caller::of(&catalogue, request)?;
    let rest = request.path().strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = catalogue
        .services
        .get(name)
        .filter(|it| it.backend == Backend::Plain);
    let service = service.ok_or_else(|| {
        let detail = format!("service {name:?} does not exist: check the path {PREFIX}SERVICE/…");
        Problem::new(StatusCode::NOT_FOUND, "service", detail)
    })?;
    let query = request
        .uri()
        .query()
        .map_or(String::new(), |query| format!("?{query}"));
    let path = format!("/{path}{query}");
    let limit = usize::try_from(service.max_body_bytes).unwrap_or(usize::MAX);
    let body = payload::read(
        request,
        limit.min(callers.ports().max_body_bytes),
        &callers.ports().buffers,
    )
    .await?;
    let fingerprint = fingerprint(
        &[
            &caller.account.name,
            &service.name,
            request.method().as_str(),
            &path,
        ],
        &body,
    );
    let ticket = caller.admit(callers, &catalogue, service, id, arrived)?;
    let headers = headers(request, &ticket);
    let method = request.method().clone();
    let request = upstream::Request {
        id: format_request_id(id),
        method,
        path,
        headers,
        body,
        ..upstream::Request::default()
    };
    Ok(Call {
        ticket,
        request,
        fingerprint,
    })
}

/// The caller's headers to forward to the service, with this request's trace context.
fn headers(request: &Request, ticket: &Ticket) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in &upstream::end_to_end(request.head().headers()) {
        if !WITHHELD_HEADERS.contains(&name.as_str()) && *name != upstream::REQUEST_ID {
            headers.append(name.clone(), value.clone());
        }
    }
    if let Ok(value) = HeaderValue::from_str(&ticket.span.context().header()) {
        headers.insert(HeaderName::from_static(TRACEPARENT), value);
    }
    headers
}

/// Tries runners until one answers, within the retry budget and the deadline.
async fn call_with_retries(callers: &Callers, call: &Call) -> Result<Answer, Problem> {
    let mut avoid: Vec<RunnerId> = Vec::new();
    let mut may_have_run = false;
    let mut made = 0;
    loop {
        let slot = take_slot(callers, call, &avoid).await.map_err(|problem| {
            let outcome = if may_have_run {
                Outcome::Unknown
            } else {
                Outcome::NotRun
            };
            Problem { outcome, ..problem }
        })?;
        made += 1;
        avoid.push(slot.runner.clone());
        let failed = match attempt(callers, call, slot).await {
            Ok(answer) => return Ok(answer),
            Err(failed) => failed,
        };
        let fate = failed.ending.fate(&call.ticket.service.refusal_statuses);
        may_have_run |= fate != Fate::NotRun;
        let next = Attempt {
            fate,
            made,
            rerun: Rerun::Allowed,
            deadline: call.ticket.deadline,
        };
        if callers
            .inner
            .retries
            .decide(Instant::now(), &call.ticket.service, &next)
            == Decision::Again
        {
            continue;
        }
        let outcome = if may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        return Err(problem_of(&failed, outcome));
    }
}

/// Waits for a slot.
pub(super) async fn take_slot(
    callers: &Callers,
    call: &Call,
    avoid: &[RunnerId],
) -> Result<Slot, Problem> {
    let ticket = &call.ticket;
    let mut span = callers
        .ports()
        .tracer
        .start("slot-wait", Some(ticket.span.context()));
    let demand = Demand {
        request: ticket.id,
        service: ticket.service.name.clone(),
        class: ticket.class.name.clone(),
        account: ticket.account.name.clone(),
        fingerprint: call.fingerprint,
        prefix: 0,
        deadline: ticket.deadline,
        avoid: avoid.to_vec(),
        resume: false,
        tier: ticket.account.tier,
        prompt: Vec::new(),
        output: 0,
        stream: None,
    };
    let taken = callers.ports().slots.acquire(demand).await;
    taken.map_err(|refusal| {
        span.set("refused", refusal.to_string());
        Problem::refused(&refusal)
    })
}

/// Makes one exchange on a slot and releases the slot.
pub(super) async fn attempt(callers: &Callers, call: &Call, slot: Slot) -> Result<Answer, Failed> {
    let ports = callers.ports();
    let mut span = ports
        .tracer
        .start("upstream-attempt", Some(call.ticket.span.context()));
    span.set("runner", slot.runner.clone());
    let begun = Instant::now();
    let left = call.ticket.deadline.saturating_duration_since(begun);
    let limits = Limits {
        head: left,
        whole: left,
        max_body_bytes: MAX_ANSWER_BYTES,
        ..Limits::default()
    };
    ports.upstream.exchanges.inc();
    let outcome = exchange(call, slot.address, &limits, &ports.buffers).await;
    let end = match &outcome {
        Ok(answer) if fate(call, answer) == Fate::NotRun => End::Refused,
        Ok(_) => End::Done,
        Err(Failure::Late) => End::Late,
        Err(failure) if failure.is_disconnect() => End::Broken,
        Err(failure) if failure.is_unconnected() => End::Unreachable,
        Err(_) => End::Refused,
    };
    span.set("end", format!("{end:?}"));
    slot.release(Sample {
        end,
        first_token: None,
        between_tokens: None,
        whole: begun.elapsed(),
        tokens: 0,
        unlimited: false,
        longest_pause: None,
        report: None,
    });
    match outcome {
        Ok(answer) => check_refusal(call, answer),
        Err(failure) => {
            ports.upstream.count_failure(&failure);
            let text = format!("attempt failed: {failure}");
            ports
                .ring
                .record("CP0211", Some(call.ticket.id), &call.ticket.entries(), text);
            Err(Failed {
                ending: failure.ending(),
                detail: failure.to_string(),
                answer: None,
            })
        }
    }
}

async fn exchange(
    call: &Call,
    address: std::net::SocketAddr,
    limits: &Limits,
    buffers: &Buffers,
) -> Result<Answer, Failure> {
    let response = upstream::exchange(address, call.request.clone(), limits).await?;
    let (status, headers) = (response.status, response.headers);
    let body = buffers.answer(status);
    let body = response.body.whole(body).await?;
    Ok(Answer {
        status,
        headers,
        body,
    })
}

fn fate(call: &Call, answer: &Answer) -> Fate {
    let ending = Ending::Answered(answer.status.as_u16());
    ending.fate(&call.ticket.service.refusal_statuses)
}

/// Separates answers to pass on from temporary refusals, which are errors.
fn check_refusal(call: &Call, answer: Answer) -> Result<Answer, Failed> {
    if fate(call, &answer) == Fate::Ran {
        return Ok(answer);
    }
    let ending = Ending::Answered(answer.status.as_u16());
    let detail = format!("the service answered {}", answer.status);
    Err(Failed {
        ending,
        detail,
        answer: Some(answer),
    })
}

/// Problem to report after the last failed attempt.
pub(super) fn problem_of(failed: &Failed, outcome: Outcome) -> Problem {
    let status = match failed.ending {
        Ending::Answered(status) => StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY),
        Ending::Late => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let problem = Problem::new(status, "upstream", failed.detail.clone());
    Problem {
        outcome,
        retry_after: Some(Duration::from_secs(1)),
        ..problem
    }
}

/// Counts and records an answered call.
pub(super) fn finish(callers: &Callers, ticket: &Ticket) {
    let whole = ticket.arrived.elapsed();
    let times = Times {
        first_token: whole,
        whole,
        ..Times::default()
    };
    let mark = callers.inner.attainment.answered(&ticket.class, &times);
    let text = format!("answered in {whole:?}, targets {mark:?}");
    callers
        .ports()
        .ring
        .record("CP0201", Some(ticket.id), &ticket.entries(), text);
}

/// Counts and records a failed call; returns the response to it.
pub(super) fn fail(callers: &Callers, ticket: &Ticket, problem: Problem) -> Response<BoxBody> {
    callers
        .inner
        .attainment
        .lost(&ticket.class, Mark::Failed, 0);
    let text = format!(
        "{}, outcome {}: {}",
        problem.kind, problem.outcome, problem.detail
    );
    callers
        .ports()
        .ring
        .record("CP0202", Some(ticket.id), &ticket.entries(), text);
    ticket.problem(problem)
}

/// The service's answer with this request's headers.
pub(super) fn to_response(ticket: &Ticket, answer: &Answer, outcome: Outcome) -> Response<BoxBody> {
    let mut builder = ticket.answer(answer.status, Some(outcome));
    for (name, value) in &answer.headers {
        if *name != upstream::REQUEST_ID && *name != header::CONTENT_LENGTH {
            builder.append_header((name.clone(), value.clone()));
        }
    }
    builder.body(answer.body.clone()).map_into_boxed_body()
}
