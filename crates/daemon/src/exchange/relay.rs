//! Relays a stream to the caller.
//!
//! A separate task reads from the runner into a bounded buffer, so that a slow
//! caller does not hold a slot for long; a caller whose buffer stays full is
//! disconnected. A truncated stream ends without the final chunk of its HTTP
//! message, so that the caller can tell it from a complete one.

use std::{io, time::Duration};

use actix_http::{
    Response, StatusCode,
    body::{BodyStream, BoxBody, MessageBody as _},
    header::HeaderMap,
};
use bytes::Bytes;
use futures_util::stream;
use tokio::sync::mpsc::{self, error::SendTimeoutError};

use super::{
    attempt, caller_disconnected, millis,
    run::{Departure, Run, Step},
};
use crate::callers::InFlight;

/// Chunks buffered for a slow caller.
const BUFFER_CHUNKS: usize = 512;

/// Longest time that a caller's buffer may stay full before it is disconnected.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

type Chunk = Result<Bytes, io::Error>;

/// The streamed response, which starts with `first`.
pub(super) fn answer(mut run: Run, first: Bytes, guard: InFlight) -> Response<BoxBody> {
    let (status, headers) = run
        .head
        .take()
        .unwrap_or((StatusCode::OK, HeaderMap::new()));
    run.head = Some((status, HeaderMap::new()));
    let (sender, receiver) = mpsc::channel(BUFFER_CHUNKS);
    actix_rt::spawn(forward(run, first, sender, guard));
    let chunks = stream::unfold(receiver, |mut receiver: mpsc::Receiver<Chunk>| async move {
        let chunk = receiver.recv().await?;
        Some((chunk, receiver))
    });
    attempt::head(status, &headers)
        .body(BodyStream::new(chunks).boxed())
        .map_into_boxed_body()
}

/// Forwards events until the stream ends or the caller disconnects.
async fn forward(mut run: Run, first: Bytes, sender: mpsc::Sender<Chunk>, guard: InFlight) {
    let watch = run.admitted.watch.clone();
    let mut events = first;
    loop {
        if !events.is_empty()
            && let Err(error) = sender.send_timeout(Ok(events), STALL_TIMEOUT).await
        {
            run.abandon(match error {
                SendTimeoutError::Timeout(_) => Departure::Stalled,
                SendTimeoutError::Closed(_) => Departure::Closed,
            });
            break;
        }
        let step = tokio::select! {
            biased;
            () = sender.closed() => {
                run.abandon(Departure::Closed);
                break;
            }
            () = caller_disconnected(watch.as_ref()) => {
                run.abandon(Departure::Closed);
                break;
            }
            step = run.next() => step,
        };
        match step {
            Step::Events(next) => events = next,
            Step::Done => break,
            Step::Whole(answer) => {
                let reason = format!("a whole answer {} follows events", answer.status);
                drop(sender.send(Err(io::Error::other(reason))).await);
                break;
            }
            Step::Failed(problem) => {
                run.record_failure(&problem);
                log::info!(
                    event = "CP1006", request = run.admitted.caller_head.id.as_str(),
                    after_ms = millis(run.admitted.arrived.elapsed()),
                    last_event = run.last_id().unwrap_or(0);
                    "stream truncated: {}", problem.detail
                );
                // The send fails if the caller has disconnected, which ends the stream too.
                drop(sender.send(Err(io::Error::other(problem.detail))).await);
                break;
            }
        }
    }
    drop(guard);
}
