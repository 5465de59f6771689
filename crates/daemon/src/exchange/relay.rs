//! Passes a stream on to the caller.
//!
//! A task of its own reads from the runner, so that a caller who reads slowly
//! does not hold a slot for long: what it has not read waits in a buffer, and a
//! caller whose buffer stays full is cut off. A stream that is cut short ends
//! without the final chunk of its HTTP message.

use std::{io, time::Duration};

use actix_http::{
    Response, StatusCode,
    body::{BodyStream, BoxBody, MessageBody as _},
    header::HeaderMap,
};
use bytes::Bytes;
use futures_util::stream;
use tokio::sync::mpsc;

use super::{
    attempt, gone, millis,
    run::{Run, Step},
};
use crate::callers::InFlight;

/// Parts that wait for a slow caller.
const BUFFER_PARTS: usize = 512;

/// Longest time that a caller's buffer may stay full.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

type Part = Result<Bytes, io::Error>;

/// The streamed answer that begins with these events.
pub(super) fn answer(mut run: Run, first: Bytes, guard: InFlight) -> Response<BoxBody> {
    let (status, headers) = run
        .head
        .take()
        .unwrap_or((StatusCode::OK, HeaderMap::new()));
    run.head = Some((status, HeaderMap::new()));
    let (sender, receiver) = mpsc::channel(BUFFER_PARTS);
    actix_rt::spawn(feed(run, first, sender, guard));
    let parts = stream::unfold(receiver, |mut receiver: mpsc::Receiver<Part>| async move {
        let part = receiver.recv().await?;
        Some((part, receiver))
    });
    attempt::head(status, &headers)
        .body(BodyStream::new(parts).boxed())
        .map_into_boxed_body()
}

/// Reads from the runner until the answer or the caller ends.
async fn feed(mut run: Run, first: Bytes, sender: mpsc::Sender<Part>, guard: InFlight) {
    let watch = run.admitted.watch.clone();
    let mut events = first;
    loop {
        if !events.is_empty()
            && sender
                .send_timeout(Ok(events), STALL_TIMEOUT)
                .await
                .is_err()
        {
            run.abandon();
            break;
        }
        let step = tokio::select! {
            biased;
            () = sender.closed() => {
                run.abandon();
                break;
            }
            () = gone(watch.as_ref()) => {
                run.abandon();
                break;
            }
            step = run.next() => step,
        };
        match step {
            Step::Events(next) => events = next,
            Step::Done | Step::Whole(_) => break,
            Step::Failed(problem) => {
                run.fail(&problem);
                log::info!(
                    event = "CP1006", request = run.admitted.ask.id.as_str(),
                    after_ms = millis(run.admitted.arrived.elapsed()),
                    last_event = run.last().unwrap_or(0);
                    "stream cut: {}", problem.detail
                );
                // The caller may have left, which ends the stream as well.
                drop(sender.send(Err(io::Error::other(problem.detail))).await);
                break;
            }
        }
    }
    drop(guard);
}
