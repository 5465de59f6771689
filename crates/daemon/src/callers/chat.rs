//! Chat completions in the `OpenAI` format, streamed or not.
//!
//! The runner is always asked for a stream, so that a broken one can be resumed
//! on another runner at the next token. For a caller who did not ask for a
//! stream, the tokens are assembled here into one response.

mod generation;
mod relay;
mod whole;

use std::{sync::Arc, time::Instant};

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use bytes::Bytes;
use citron_policy::{catalogue::Backend, id::RequestId};
use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Callers, InFlight,
    attainment::Mark,
    payload,
    problem::Problem,
    ticket::{Caller, Ticket},
};
use crate::fingerprint::fingerprint;
use generation::Generation;

/// Leading bytes of the messages that are hashed as the prompt's prefix.
const PREFIX_BYTES: usize = 1_024;

/// Fields of the body that are used here; the runner receives all fields.
#[derive(Debug, Deserialize)]
struct Head<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(borrow)]
    messages: &'a RawValue,
}

/// An admitted chat.
#[derive(Debug)]
struct Chat {
    ticket: Ticket,
    /// Body for the runner, always with `stream` set.
    body: Bytes,
    stream: bool,
    fingerprint: u64,
    prefix: u64,
}

/// Responds to `POST /v1/chat/completions`.
pub(super) async fn answer(
    callers: &Callers,
    mut request: Request,
    id: RequestId,
    guard: InFlight,
) -> Response<BoxBody> {
    let arrived = Instant::now();
    match admit(callers, &mut request, id, arrived).await {
        Ok(chat) => {
            callers.inner.retries.earn(&chat.ticket.service);
            run(callers, chat, guard).await
        }
        Err(problem) => problem.response(id),
    }
}

async fn admit(
    callers: &Callers,
    request: &mut Request,
    id: RequestId,
    arrived: Instant,
) -> Result<Chat, Problem> {
    callers.check_open()?;
    let catalogue = Arc::clone(&callers.ports().view.borrow().catalogue);
    let caller = Caller::of(&catalogue, request)?;
    let body = payload::read(
        request,
        callers.ports().max_body_bytes,
        &callers.ports().buffers,
    )
    .await?;
    let head: Head<'_> = serde_json::from_slice(&body).map_err(|error| {
        let detail =
            format!("the body is no chat request: {error}: send JSON with `model` and `messages`");
        Problem::new(StatusCode::BAD_REQUEST, "body", detail)
    })?;
    let service = catalogue
        .services
        .get(&head.model)
        .filter(|it| it.backend == Backend::Model);
    let service = service.ok_or_else(|| {
        let detail = format!(
            "model {:?} does not exist: GET /v1/models lists them",
            head.model
        );
        Problem::new(StatusCode::NOT_FOUND, "model", detail)
    })?;
    if body.len() as u64 > service.max_body_bytes {
        return Err(payload::too_large(
            usize::try_from(service.max_body_bytes).unwrap_or(usize::MAX),
        ));
    }
    let messages = head.messages.get().as_bytes();
    let prefix = xxh3_64(&messages[..messages.len().min(PREFIX_BYTES)]);
    let fingerprint = fingerprint(&[&caller.account.name], &body);
    let stream = head.stream;
    let streamed = if stream {
        body.clone()
    } else {
        ask_for_stream(&body)?
    };
    let ticket = caller.admit(callers, &catalogue, service, id, arrived)?;
    Ok(Chat {
        ticket,
        body: streamed,
        stream,
        fingerprint,
        prefix,
    })
}

fn ask_for_stream(body: &[u8]) -> Result<Bytes, Problem> {
    let invalid = |error: serde_json::Error| {
        Problem::new(
            StatusCode::BAD_REQUEST,
            "body",
            format!("the body is no chat request: {error}: send JSON"),
        )
    };
    let mut fields: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(body).map_err(invalid)?;
    fields.insert("stream".to_owned(), true.into());
    serde_json::to_vec(&fields)
        .map(Bytes::from)
        .map_err(invalid)
}

async fn run(callers: &Callers, chat: Chat, guard: InFlight) -> Response<BoxBody> {
    let stream = chat.stream;
    let mut generation = Generation::new(callers.clone(), chat);
    let disconnected = generation.caller_disconnected();
    if stream {
        // The head waits for the first token, so that a refusal can have its own status.
        let first = tokio::select! {
            first = generation.next() => first,
            () = disconnected => return abandoned(&mut generation),
        };
        return relay::answer(generation, first, guard);
    }
    let whole = tokio::select! {
        whole = whole::collect(&mut generation) => Some(whole),
        () = disconnected => None,
    };
    match whole {
        Some(Ok(completion)) => completion,
        Some(Err(problem)) => generation.ticket().problem(*problem),
        None => abandoned(&mut generation),
    }
}

/// Cancels the generation; the returned response has no reader.
fn abandoned(generation: &mut Generation) -> Response<BoxBody> {
    generation.abandon(Mark::Abandoned);
    Response::new(StatusCode::REQUEST_TIMEOUT).map_into_boxed_body()
}
