//! Calls that must run at most once.
//!
//! The guarantee rests on the order of the steps: take a slot, claim the caller's
//! key by quorum, send the first byte upstream, record how the call ended,
//! respond. Nothing is sent upstream without a confirmed claim. From the claim
//! on, the call runs in its own task, so that a caller who disconnects does not
//! leave the claim open.

use std::time::{Duration, Instant, SystemTime};

use actix_http::{
    HttpMessage, Request, Response, StatusCode,
    body::BoxBody,
    header::{self, HeaderMap, HeaderValue},
};
use citron_policy::{
    id::{AttemptId, RunnerId},
    ledger::{self, Claim, MAX_STORED_BYTES, Outcome as Ended, Settle, Stored, Verdict},
    retry::{Attempt, Decision, Fate, Rerun},
    state::{self, Command},
};

use super::{
    Callers, InFlight,
    outcome::Outcome,
    plain::{self, Answer, Call, Failed},
    problem::Problem,
};
use crate::{control, fingerprint::fingerprint, slots::Slot};

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Longest wait for the control log before the call.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for the control log after the call, before the response is sent.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which recording the end of a call is retried.
const SETTLE_PERIOD: Duration = Duration::from_mins(1);

/// Time from the deadline of a call until its unsettled claim counts as unknown.
const CLAIM_MARGIN: Duration = Duration::from_secs(5);

/// Longest retry delay that is sent to a caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Response to a caller: an answer with its outcome, or a problem.
type Reply = Result<(Answer, Outcome), Problem>;

/// Responds to a call that must run at most once.
pub(super) async fn answer(
    callers: &Callers,
    call: Call,
    request: &Request,
    guard: InFlight,
) -> Response<BoxBody> {
    let key = match key(&call, request) {
        Ok(key) => key,
        Err(problem) => return plain::fail(callers, &call.ticket, problem),
    };
    let digest = digest(&call);
    let prepared = tokio::select! {
        prepared = prepare(callers, &call, &key, digest) => prepared,
        // Nothing was claimed yet, so there is nothing to settle.
        () = call.ticket.caller_disconnected() => return Response::new(StatusCode::REQUEST_TIMEOUT).map_into_boxed_body(),
    };
    let slot = match prepared {
        Ok(Prepared::Slot(slot)) => slot,
        Ok(Prepared::Verdict(verdict)) => return reply(callers, &call, reply_to_verdict(verdict)),
        Err(problem) => return plain::fail(callers, &call.ticket, problem),
    };
    let owner = callers.clone();
    let run = actix_rt::spawn(async move {
        let run = OnceCall {
            callers: owner,
            call,
            key,
            digest,
            attempt: rand::random(),
        };
        let outcome = run.run(slot).await;
        let response = reply(&run.callers, &run.call, outcome);
        drop(guard);
        response
    });
    run.await
        .unwrap_or_else(|_| Response::internal_server_error().map_into_boxed_body())
}

enum Prepared {
    Slot(Slot),
    Verdict(Verdict),
}

/// Looks up an earlier attempt in the ledger, then waits for a slot.
async fn prepare(
    callers: &Callers,
    call: &Call,
    key: &ledger::Key,
    digest: u64,
) -> Result<Prepared, Problem> {
    let mut span = callers
        .ports()
        .tracer
        .start("ledger-lookup", Some(call.ticket.span.context()));
    let found = callers
        .ports()
        .control
        .lookup(key.clone(), digest, bounded_timeout(call, CLAIM_TIMEOUT))
        .await;
    match found {
        Ok(Some(verdict)) => {
            span.set("verdict", format!("{verdict:?}"));
            return Ok(Prepared::Verdict(verdict));
        }
        Ok(None) => {}
        Err(error) => return Err(ledger_unavailable(callers, &error)),
    }
    drop(span);
    plain::take_slot(callers, call, &[])
        .await
        .map(Prepared::Slot)
}

/// A call from its claim until its end is recorded.
struct OnceCall {
    callers: Callers,
    call: Call,
    key: ledger::Key,
    digest: u64,
    attempt: AttemptId,
}

impl OnceCall {
    async fn run(&self, slot: Slot) -> Reply {
        match self.claim().await {
            Ok(Verdict::Run) => self.exchange(slot).await,
            Ok(verdict) => reply_to_verdict(verdict),
            Err(error) => {
                if error == control::Error::Unsure {
                    // The claim may have been committed; since nothing was sent, it is
                    // settled as not run.
                    self.settle_later(Ended::NotRun);
                }
                Err(ledger_unavailable(&self.callers, &error))
            }
        }
    }

    async fn claim(&self) -> Result<Verdict, control::Error> {
        let mut span = self.span("ledger-claim");
        let now = SystemTime::now();
        let left = self
            .call
            .ticket
            .deadline
            .saturating_duration_since(Instant::now());
        let claim = Claim {
            key: self.key.clone(),
            digest: self.digest,
            attempt: self.attempt,
            daemon: self.callers.ports().me.clone(),
            deadline: now + left + CLAIM_MARGIN,
            at: now,
        };
        let within = bounded_timeout(&self.call, CLAIM_TIMEOUT);
        let answer = self
            .callers
            .ports()
            .control
            .submit(Command::Claim(claim), within)
            .await?;
        span.set("answer", format!("{answer:?}"));
        match answer {
            state::Answer::Claim(verdict) => Ok(verdict),
            _ => Err(control::Error::Unsure),
        }
    }

    /// Runs the call; tries other runners only while it certainly did not run.
    async fn exchange(&self, slot: Slot) -> Reply {
        let mut slot = slot;
        let mut avoid: Vec<RunnerId> = Vec::new();
        let mut made = 0;
        loop {
            made += 1;
            avoid.push(slot.runner.clone());
            let failed = match plain::attempt(&self.callers, &self.call, slot).await {
                Ok(answer) => return self.done(answer).await,
                Err(failed) => failed,
            };
            let service = &self.call.ticket.service;
            let fate = failed.ending.fate(&service.refusal_statuses);
            let next = Attempt {
                fate,
                made,
                rerun: Rerun::Forbidden,
                deadline: self.call.ticket.deadline,
            };
            if self
                .callers
                .inner
                .retries
                .decide(Instant::now(), service, &next)
                != Decision::Again
            {
                return self.failed(fate, failed).await;
            }
            slot = match plain::take_slot(&self.callers, &self.call, &avoid).await {
                Ok(slot) => slot,
                Err(problem) => {
                    self.settle(Ended::NotRun).await;
                    return Err(problem);
                }
            };
        }
    }

    async fn done(&self, answer: Answer) -> Reply {
        self.settle(Ended::Done(store_answer(&answer))).await;
        Ok((answer, Outcome::Done))
    }

    async fn failed(&self, fate: Fate, failed: Failed) -> Reply {
        let (ended, outcome) = match fate {
            Fate::NotRun => (Ended::NotRun, Outcome::NotRun),
            Fate::Ran | Fate::Unknown => (Ended::Unknown, Outcome::Unknown),
        };
        self.settle(ended).await;
        match failed.answer {
            Some(answer) => Ok((answer, outcome)),
            None => Err(plain::problem_of(&failed, outcome)),
        }
    }

    /// Records how the call ended; if that takes long, continues after the response.
    async fn settle(&self, outcome: Ended) {
        let _span = self.span("ledger-settle");
        let settle = self.settlement(outcome);
        let control = &self.callers.ports().control;
        if let Err(error) = control
            .submit(Command::Settle(settle.clone()), SETTLE_TIMEOUT)
            .await
        {
            log::warn!("CP0221 end of a call not recorded yet, retrying: {error}");
            self.spawn_settle(settle);
        }
    }

    fn settle_later(&self, outcome: Ended) {
        self.spawn_settle(self.settlement(outcome));
    }

    fn settlement(&self, outcome: Ended) -> Settle {
        Settle {
            key: self.key.clone(),
            attempt: self.attempt,
            outcome,
            at: SystemTime::now(),
        }
    }

    fn spawn_settle(&self, settle: Settle) {
        let callers = self.callers.clone();
        let guard = callers.begin();
        actix_rt::spawn(async move {
            let end = Instant::now() + SETTLE_PERIOD;
            while Instant::now() < end {
                let command = Command::Settle(settle.clone());
                if callers
                    .ports()
                    .control
                    .submit(command, SETTLE_TIMEOUT)
                    .await
                    .is_ok()
                {
                    drop(guard);
                    return;
                }
                actix_rt::time::sleep(SETTLE_TIMEOUT).await;
            }
            log::error!("CP0222 end of a call was not recorded; its key will count as unknown");
        });
    }

    fn span(&self, name: &'static str) -> crate::trace::Span {
        self.callers
            .ports()
            .tracer
            .start(name, Some(self.call.ticket.span.context()))
    }
}

fn key(call: &Call, request: &Request) -> Result<ledger::Key, Problem> {
    let refuse = |detail: &str| Problem::new(StatusCode::BAD_REQUEST, "idempotency-key", detail);
    let value = request
        .headers()
        .get(KEY_HEADER)
        .and_then(|value| value.to_str().ok());
    let name = value.ok_or_else(|| {
        refuse("this call runs at most once: send a new Idempotency-Key with it, and the same one when you resend it")
    })?;
    if name.is_empty() || name.len() > MAX_KEY_BYTES {
        return Err(refuse("Idempotency-Key must be 1 to 128 characters"));
    }
    Ok(ledger::Key {
        account: call.ticket.account.name.clone(),
        name: name.to_owned(),
    })
}

/// Digest that identifies equal calls under one key.
fn digest(call: &Call) -> u64 {
    let request = &call.request;
    let names = [
        call.ticket.service.name.as_str(),
        request.method.as_str(),
        request.path.as_str(),
    ];
    fingerprint(&names, &request.body)
}

fn bounded_timeout(call: &Call, most: Duration) -> Duration {
    most.min(
        call.ticket
            .deadline
            .saturating_duration_since(Instant::now()),
    )
}

/// Refusal when the ledger is unavailable; nothing was sent upstream.
fn ledger_unavailable(callers: &Callers, error: &control::Error) -> Problem {
    let problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "ledger", error.to_string());
    let problem = callers.with_alternatives(problem);
    Problem {
        retry_after: Some(Duration::from_secs(1)),
        ..problem
    }
}

/// Response to a resent call.
fn reply_to_verdict(verdict: Verdict) -> Reply {
    match verdict {
        Verdict::Stored(stored) => Ok((restore_answer(&stored), Outcome::Done)),
        Verdict::InProgress { deadline } => {
            let left = deadline
                .duration_since(SystemTime::now())
                .unwrap_or_default();
            let after = left.clamp(Duration::from_millis(200), MAX_RETRY_AFTER);
            let detail = "the first call with this key is in progress: come back for its answer";
            let problem = Problem::new(StatusCode::CONFLICT, "in-progress", detail);
            Err(Problem {
                outcome: Outcome::Unknown,
                retry_after: Some(after),
                ..problem
            })
        }
        Verdict::Unknown => {
            let detail = "the first call with this key may have run and will not be run again: \
                          ask the service, and use a new key only if it did not run";
            let problem = Problem::new(StatusCode::CONFLICT, "unknown", detail);
            Err(Problem {
                outcome: Outcome::Unknown,
                ..problem
            })
        }
        Verdict::Mismatch => Err(Problem::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key-reused",
            "the key was used with another request: choose a new Idempotency-Key",
        )),
        Verdict::Full | Verdict::Run => {
            let detail = "the ledger takes no more keys now: come back later, or ask an operator";
            let problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "ledger-full", detail);
            Err(Problem {
                retry_after: Some(MAX_RETRY_AFTER),
                ..problem
            })
        }
    }
}

fn reply(callers: &Callers, call: &Call, reply: Reply) -> Response<BoxBody> {
    match reply {
        Ok((answer, outcome)) => {
            plain::finish(callers, &call.ticket);
            plain::to_response(&call.ticket, &answer, outcome)
        }
        Err(problem) => plain::fail(callers, &call.ticket, problem),
    }
}

/// Form of an answer kept in the ledger; a body over the limit is replaced by a notice.
fn store_answer(answer: &Answer) -> Stored {
    let content_type = answer
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let status = answer.status.as_u16();
    if answer.body.len() > MAX_STORED_BYTES {
        let body =
            br#"{"detail":"the call ran; its answer was too large to keep for a resend"}"#.to_vec();
        return Stored {
            status,
            content_type: "application/json".to_owned(),
            body,
        };
    }
    Stored {
        status,
        content_type: content_type.unwrap_or_default().to_owned(),
        body: answer.body.to_vec(),
    }
}

fn restore_answer(stored: &Stored) -> Answer {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&stored.content_type)
        && !stored.content_type.is_empty()
    {
        headers.insert(header::CONTENT_TYPE, value);
    }
    Answer {
        status: StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK),
        headers,
        body: stored.body.clone().into(),
    }
}
