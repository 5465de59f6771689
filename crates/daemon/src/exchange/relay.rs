//! Relays a stream to the caller.
//!
//! A separate task reads from the runner into a bounded buffer, so that a slow
//! caller does not hold a slot for long; a caller whose buffer stays full is
//! disconnected. A stream that is not complete, whatever the reason, ends without the
//! final chunk of its HTTP message.

use actix_http::{Response, StatusCode, body::BoxBody, header::HeaderMap};
use bytes::Bytes;

use super::{
    Exchange, attempt, caller_disconnected, millis,
    run::{Run, Step},
};
use crate::{
    callers::InFlight,
    http::written::{self, Departure, Writer},
};

/// Pieces buffered for a slow caller.
const BUFFER_PIECES: usize = 512;

/// The streamed response, which starts with `first`.
pub(super) fn answer(
    exchange: Exchange,
    mut run: Run,
    first: Bytes,
    guard: InFlight,
) -> Response<BoxBody> {
    let (status, headers) = run
        .head
        .take()
        .unwrap_or((StatusCode::OK, HeaderMap::new()));
    run.head = Some((status, HeaderMap::new()));
    let (writer, body) = written::body(BUFFER_PIECES, run.admitted.watch.clone());
    actix_rt::spawn(forward(exchange, run, first, writer, guard));
    attempt::head(status, &headers)
        .body(body)
        .map_into_boxed_body()
}

/// Forwards events until the stream ends, the caller disconnects or the daemon must end.
async fn forward(exchange: Exchange, mut run: Run, first: Bytes, writer: Writer, guard: InFlight) {
    let watch = run.admitted.watch.clone();
    let mut events = first;
    loop {
        if !events.is_empty()
            && let Err(departure) = writer.send(events).await
        {
            run.abandon(departure);
            break;
        }
        let step = tokio::select! {
            biased;
            () = writer.closed() => {
                run.abandon(Departure::Closed);
                break;
            }
            () = caller_disconnected(watch.as_ref()) => {
                run.abandon(Departure::Closed);
                break;
            }
            step = run.next() => step,
            () = exchange.out_of_time() => Step::Failed(run.cut_off()),
        };
        match step {
            Step::Events(next) => events = next,
            Step::Done => {
                writer.finish();
                break;
            }
            Step::Whole(_) => break,
            Step::Failed(problem) => {
                run.record_failure(&problem);
                log::info!(
                    event = "CP1006", request = run.admitted.caller_head.id.as_str(),
                    after_ms = millis(run.admitted.arrived.elapsed()),
                    last_event = run.last_id().unwrap_or(0);
                    "stream truncated: {}", problem.detail
                );
                break;
            }
        }
    }
    drop(guard);
}
