//! The stream of a response: its events, its breaks, and how it goes on.

use std::time::{Duration, Instant};

use actix_http::{StatusCode, header};
use bytes::Bytes;
use citron_policy::{
    buffer::Kind,
    id::{Fingerprint, StreamId},
    stream::{self, Origin, Stream as Continuation},
};

use super::{
    super::{
        admit::Admitted,
        attempt,
        events::{Events, Received},
        lease::Lease,
    },
    Relayed, Run, Step, end_for, request_number,
};
use crate::{
    buffers::{Full, Room},
    edge::{CallerHead, Problem},
    slots::{End, Sample},
    upstream::{self, Failure},
};

/// Content type of an event stream.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A stream that is being read.
pub(super) struct Stream {
    lease: Lease,
    body: upstream::Body,
    events: Events,
    /// Memory for the incomplete event.
    room: Room,
    started: Instant,
    first_event: Option<Instant>,
    last_event: Option<Instant>,
    longest_pause: Option<Duration>,
    event_count: u32,
}

impl Stream {
    /// Records that an event arrived.
    fn note_event(&mut self, now: Instant) {
        if let Some(last) = self.last_event.replace(now) {
            let pause = now.saturating_duration_since(last);
            self.longest_pause = self.longest_pause.max(Some(pause));
        }
    }
}

impl Run {
    /// The stream that the answer is, for the choice of a runner.
    pub(super) fn continuation(&self) -> Option<Continuation> {
        let Admitted {
            caller_head,
            route,
            arrived,
            fingerprint,
            ..
        } = &self.admitted;
        if !route.stream {
            return None;
        }
        let origin = match &self.build {
            Some(build) => Origin::Build(build.clone()),
            None if !self.is_continued() => Origin::New,
            // Such a stream is whole from its first event.
            None if !route.is_repeatable() && caller_head.resumes.is_none() => Origin::New,
            // Older arbiters take the only build that they know for one that is unknown.
            None if route.backends.len() > 1 || caller_head.resumes.is_some() => Origin::Recorded,
            None => Origin::Unknown,
        };
        let allowed = caller_head.timeout.unwrap_or(route.timeout);
        Some(Continuation {
            id: stream_id(caller_head, *fingerprint),
            origin,
            life: allowed.saturating_sub(arrived.elapsed()),
        })
    }

    /// Starts to read a stream.
    pub(super) fn start_stream(
        &mut self,
        lease: Lease,
        response: upstream::Response,
        started: Instant,
    ) {
        // The caller has the head of the first runner as soon as it has an event.
        if self.head.is_none() || !self.has_events() {
            self.head = Some((response.status, response.headers));
        }
        // A stream that may not be resumed is whole from its first event, whatever the caller has.
        let received = if self.admitted.route.is_repeatable() {
            self.received
        } else {
            Received::default()
        };
        self.stream = Some(Stream {
            lease,
            body: response.body,
            events: Events::after(received),
            room: self.exchange.ports().buffers.room(Kind::Answer),
            started,
            first_event: None,
            last_event: None,
            longest_pause: None,
            event_count: 0,
        });
    }

    /// Reads the stream until there is a step for the caller; resumes it on another
    /// runner if it breaks.
    pub(super) async fn read_stream(&mut self) -> Result<Step, Problem> {
        loop {
            let Some(stream) = &mut self.stream else {
                // The stream broke; another runner resumes it.
                return match Box::pin(self.attempt()).await? {
                    Some(step) => Ok(self.check_resumed(step)),
                    None => continue,
                };
            };
            match stream.body.next().await {
                Some(Ok(chunk)) => match stream.events.push(&chunk) {
                    Ok((events, count)) => {
                        // What follows whole events is given up once it needs still more.
                        let has_room = stream.room.resize(stream.events.buffered()).is_ok();
                        let buffers = &self.exchange.ports().buffers;
                        match buffers.hold(Kind::Answer, events) {
                            Ok(events) if count > 0 => return Ok(self.on_events(events, count)),
                            Ok(_) if has_room => {}
                            Ok(_) | Err(Full) => self.on_stream_failure(&Failure::NoMemory)?,
                        }
                    }
                    Err(fault) => {
                        self.on_stream_failure(&Failure::Garbled(fault.to_string()))?;
                    }
                },
                None if stream.events.is_empty() => {
                    let (framing, worked) = (stream.body.framing(), stream.started.elapsed());
                    let slot = stream.lease.slot();
                    if let Err(failure) = attempt::confirm_end(slot, framing).await {
                        self.on_stream_failure(&failure)?;
                        continue;
                    }
                    self.release_stream(End::Done);
                    self.record_success(framing, worked);
                    self.relayed = Relayed::All;
                    return Ok(Step::Done);
                }
                None => self.on_stream_failure(&Failure::Cut)?,
                Some(Err(failure)) => self.on_stream_failure(&failure)?,
            }
        }
    }

    /// Records whole events, which the caller gets next.
    fn on_events(&mut self, events: Bytes, count: u32) -> Step {
        self.record_start();
        if let Some(stream) = &mut self.stream {
            if stream.first_event.is_none() {
                stream.first_event = Some(Instant::now());
                let took = self.admitted.arrived.elapsed();
                let metrics = &self.exchange.inner.metrics;
                metrics.record_first_event(&self.admitted.class.name, took);
                stream.lease.record_start();
            }
            stream.note_event(Instant::now());
            stream.event_count += count;
            stream.lease.record_tokens(stream.event_count);
            self.received = stream.events.received();
            self.build = self.build.take().or_else(|| stream.lease.build());
        }
        self.relayed = Relayed::Events;
        Step::Events(events)
    }

    /// Why a response cannot be a stream, or the rest of one, if it cannot.
    pub(super) fn stream_fault(&self, response: &upstream::Response) -> Option<Failure> {
        let kind = response.headers.get(header::CONTENT_TYPE);
        let is_stream = kind.is_some_and(|it| is_event_stream(it.as_bytes()));
        let first = self.head.as_ref().filter(|_| self.has_events());
        let fits = match first {
            None => is_stream || kind.is_none(),
            Some((status, _)) => is_stream && response.status == *status,
        };
        let named = kind.map_or("none", |it| it.to_str().unwrap_or("unreadable"));
        let reason = format!("{} of type {named} is no event stream", response.status);
        (!fits).then_some(Failure::Garbled(reason))
    }

    /// Rejects a complete response if events were already passed to the caller.
    pub(super) fn check_resumed(&self, step: Step) -> Step {
        match step {
            Step::Whole(answer) if self.has_events() => Step::Failed(Problem {
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

    /// Handles a broken stream.
    pub(super) fn on_stream_failure(&mut self, failure: &Failure) -> Result<(), Problem> {
        let end = end_for(failure);
        if let Some(slot) = self.stream.as_ref().and_then(|it| it.lease.slot()) {
            self.note_path(&slot.runner, failure, Instant::now());
        }
        self.release_stream(end);
        self.ran -= 1;
        self.on_failure(failure, end)
    }

    /// Releases the slot of the stream.
    pub(super) fn release_stream(&mut self, end: End) {
        if let Some(stream) = self.stream.take() {
            let sample = self.sample(end, stream.started, stream.first_event, stream.event_count);
            let is_shared = self.exchange.ports().shared_hosts.get();
            stream.lease.release(Sample {
                longest_pause: stream.longest_pause.filter(|_| is_shared),
                ..sample
            });
        }
    }
}

/// Whether a content type is that of an event stream, with any parameters.
fn is_event_stream(kind: &[u8]) -> bool {
    let kind = kind.split(|it| *it == b';').next().unwrap_or_default();
    kind.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM)
}

/// Digest of the id of the request that brought the stream's first event, or of what the
/// caller repeats if it does not name it.
fn stream_id(caller_head: &CallerHead, request: Fingerprint) -> StreamId {
    match &caller_head.resumes {
        Some(first) => request_number(first),
        None if caller_head.is_continued() => stream::unnamed(request),
        None => request_number(&caller_head.id),
    }
}
