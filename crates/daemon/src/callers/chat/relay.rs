//! Forwards a streamed answer to the caller.
//!
//! A separate task reads from the runner into a buffer, so that a slow caller
//! does not hold a slot. A caller whose buffer stays full, or that closes its
//! connection or its sending side, is disconnected. An incomplete answer has
//! neither the `[DONE]` event nor the final chunk.

use std::pin::pin;

use actix_http::{Response, StatusCode, body::BoxBody, header};
use bytes::{Bytes, BytesMut};

use super::{
    InFlight, Mark,
    generation::{Generation, Step},
};
use crate::http::written::{self, Writer};

/// Size of the buffer for a slow caller, in events.
const BUFFER_EVENTS: usize = 2_048;

/// Last event of a complete stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Streamed response that begins with `first`.
pub(super) fn answer(generation: Generation, first: Step, guard: InFlight) -> Response<BoxBody> {
    if let Step::Failed(problem) = first {
        return generation.ticket().problem(*problem);
    }
    let mut head = generation.ticket().answer(StatusCode::OK, None);
    head.insert_header((header::CONTENT_TYPE, "text/event-stream"));
    head.insert_header((header::CACHE_CONTROL, "no-cache"));
    let (writer, body) = written::body(BUFFER_EVENTS, generation.ticket().watch.clone());
    actix_rt::spawn(forward(generation, first, writer, guard));
    head.body(body).map_into_boxed_body()
}

/// Reads from the runner until the answer ends or the caller disconnects.
async fn forward(mut generation: Generation, first: Step, writer: Writer, guard: InFlight) {
    // A runner may be silent for long, and nothing is written to the caller meanwhile.
    let mut disconnected = pin!(generation.caller_disconnected());
    let mut step = first;
    loop {
        let (event, last) = match step {
            Step::Token(json) => (event(&json), false),
            Step::Done => (Bytes::from_static(DONE), true),
            Step::Failed(_) => break,
        };
        if writer.send(event).await.is_err() {
            generation.abandon(Mark::Abandoned);
            break;
        }
        if last {
            writer.finish();
            break;
        }
        step = tokio::select! {
            biased;
            () = writer.closed() => {
                generation.abandon(Mark::Abandoned);
                break;
            }
            () = &mut disconnected => {
                generation.abandon(Mark::Abandoned);
                break;
            }
            step = generation.next() => step,
        };
    }
    drop(guard);
}

/// The event of a token.
fn event(json: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(json.len() + b"data: \n\n".len());
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(json);
    event.extend_from_slice(b"\n\n");
    event.freeze()
}
