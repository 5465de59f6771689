//! Forwards a streamed answer to the caller.
//!
//! A separate task reads from the runner into a buffer, so that a slow caller
//! does not hold a slot. A caller whose buffer stays full is disconnected. An
//! incomplete answer has neither the `[DONE]` event nor the final chunk.

use std::{io, time::Duration};

use actix_http::{
    Response, StatusCode,
    body::{BodyStream, BoxBody, MessageBody as _},
    header,
};
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use tokio::sync::mpsc;

use super::{
    InFlight, Mark,
    generation::{Generation, Step},
};

/// Size of the buffer for a slow caller, in events.
const BUFFER_EVENTS: usize = 2_048;

/// Time after which a caller whose buffer stays full is disconnected.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Size at which no more events are added to a chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Last event of a complete stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

type Chunk = Result<Bytes, io::Error>;

/// Streamed response that begins with `first`.
pub(super) fn answer(generation: Generation, first: Step, guard: InFlight) -> Response<BoxBody> {
    if let Step::Failed(problem) = first {
        return generation.ticket().problem(*problem);
    }
    let mut head = generation.ticket().answer(StatusCode::OK, None);
    head.insert_header((header::CONTENT_TYPE, "text/event-stream"));
    head.insert_header((header::CACHE_CONTROL, "no-cache"));
    let (sender, receiver) = mpsc::channel(BUFFER_EVENTS);
    actix_rt::spawn(forward(generation, first, sender, guard));
    let chunks = stream::unfold(receiver, |mut receiver| async move {
        let chunk = next_chunk(&mut receiver).await?;
        Some((chunk, receiver))
    });
    head.body(BodyStream::new(chunks).boxed())
        .map_into_boxed_body()
}

/// Reads from the runner until the answer ends or the caller disconnects.
async fn forward(
    mut generation: Generation,
    first: Step,
    sender: mpsc::Sender<Chunk>,
    guard: InFlight,
) {
    let mut step = first;
    loop {
        let (chunk, last) = chunk_of(step);
        if sender.send_timeout(chunk, STALL_TIMEOUT).await.is_err() {
            generation.abandon(Mark::Abandoned);
            break;
        }
        if last {
            break;
        }
        step = tokio::select! {
            biased;
            () = sender.closed() => {
                generation.abandon(Mark::Abandoned);
                break;
            }
            step = generation.next() => step,
        };
    }
    drop(guard);
}

/// Chunk to send for a step, and whether it is the last one.
fn chunk_of(step: Step) -> (Chunk, bool) {
    match step {
        Step::Token(json) => {
            let mut event = BytesMut::with_capacity(json.len() + b"data: \n\n".len());
            event.extend_from_slice(b"data: ");
            event.extend_from_slice(&json);
            event.extend_from_slice(b"\n\n");
            (Ok(event.freeze()), false)
        }
        Step::Done => (Ok(Bytes::from_static(DONE)), true),
        Step::Failed(problem) => (Err(io::Error::other(problem.detail)), true),
    }
}

/// The next event, together with those that are already buffered.
async fn next_chunk(receiver: &mut mpsc::Receiver<Chunk>) -> Option<Chunk> {
    let first = match receiver.recv().await? {
        Ok(first) => first,
        failed => return Some(failed),
    };
    if receiver.is_empty() {
        return Some(Ok(first));
    }
    let mut joined = BytesMut::from(first.as_ref());
    while joined.len() < MAX_CHUNK_BYTES {
        match receiver.try_recv() {
            Ok(Ok(next)) => joined.extend_from_slice(&next),
            Ok(Err(error)) => return Some(Err(error)),
            Err(_) => break,
        }
    }
    Some(Ok(joined.freeze()))
}
