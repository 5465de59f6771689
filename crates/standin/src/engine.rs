//! The model engine stand-in, which streams deterministic tokens.
//!
//! It runs up to `slots` requests at once; each further request slows all of
//! them. Tokens depend only on the prompt, and answer lengths on the prompt and
//! the settings, so a client can check every token against the prompt, and a
//! stream that failed on one engine resumes on another with the same tokens.

mod answer;
mod batch;
mod counts;
mod prefix;

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{Method, StatusCode};
use serde_json::json;

pub use self::answer::{Answer, Chat, Lengths, Message, token_text};
use self::{
    batch::Batch,
    counts::{Counts, History},
    prefix::Prefixes,
};
use crate::{
    fault::{Close, Fault, Injector},
    server::{Connection, Handler, Length, Next, REQUEST_ID, Request},
};

/// Interval between load samples for the delayed load report.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of the engine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum number of requests in the batch.
    pub slots: u32,
    /// Time between tokens when a single request runs.
    pub token_interval: Duration,
    /// Percent by which each further request slows all requests.
    pub degrade_percent: u32,
    /// Prefill time of one prompt token.
    pub prefill_per_token: Duration,
    /// Capacity of the prefix cache, in prompt prefixes.
    pub prefixes: usize,
    /// Age of the reported load.
    pub load_lag: Duration,
    /// Distribution of answer lengths.
    pub lengths: Lengths,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 8,
            token_interval: Duration::from_millis(10),
            degrade_percent: 3,
            prefill_per_token: Duration::from_micros(200),
            prefixes: 64,
            load_lag: Duration::from_millis(500),
            lengths: Lengths {
                mean: 64,
                min: 1,
                seed: 1,
            },
        }
    }
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    batch: Batch,
    prefixes: RefCell<Prefixes>,
    faults: Injector,
    counts: Counts,
    load: RefCell<History>,
    started: Instant,
    /// ID and answer of the previous request, for [`Fault::crossed`].
    previous: RefCell<Option<(String, Answer)>>,
}

/// An answer being generated.
struct Generation<'a> {
    answer: Answer,
    id: String,
    fault: &'a Fault,
    /// Offset of the first token to send.
    from: u64,
    sent: Cell<u64>,
}

impl Engine {
    /// An idle engine.
    #[must_use]
    pub fn new(now: Instant, settings: Settings) -> Self {
        Self {
            settings,
            batch: Batch::new(settings.slots),
            prefixes: RefCell::new(Prefixes::new(settings.prefixes)),
            faults: Injector::default(),
            counts: Counts::default(),
            load: RefCell::default(),
            started: now,
            previous: RefCell::default(),
        }
    }

    /// Samples the load forever, for the delayed load report.
    pub async fn sample_load(self: Rc<Self>) {
        loop {
            let now = Instant::now();
            self.load
                .borrow_mut()
                .sample(now, &self.batch, self.counts.tokens.get());
            actix_rt::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    async fn chat(&self, request: &Request, connection: &mut Connection) -> io::Result<Next> {
        self.counts.requests.set(self.counts.requests.get() + 1);
        let fault = self.faults.next_fault();
        if let Some(next) = self
            .faults
            .apply_before_run(&fault, request, connection)
            .await?
        {
            return Ok(next);
        }
        let chat: Chat = match serde_json::from_slice(&request.body) {
            Ok(chat) => chat,
            Err(error) => {
                let text = json!({"error": {"message": error.to_string()}});
                connection
                    .respond_json(StatusCode::BAD_REQUEST, request.id(), &text)
                    .await?;
                return Ok(Next::Keep);
            }
        };
        let generation = self.prepare(request, &chat, &fault);
        let tier = request.header("priority").and_then(|it| it.parse().ok());
        let permit = tokio::select! {
            // A client that disconnects cancels its request immediately.
            biased;
            () = connection.closed() => None,
            permit = self.batch.acquire(tier.unwrap_or(u8::MAX)) => Some(permit),
        };
        let Some(_permit) = permit else {
            self.counts.cancel(0);
            return Ok(Next::Close);
        };
        let outcome = self.generate(&chat, &generation, connection).await;
        match &outcome {
            Ok(Next::Keep) => self.counts.done.set(self.counts.done.get() + 1),
            Ok(Next::Close) | Err(_) => self.counts.cancel(generation.sent.get()),
        }
        outcome
    }

    fn prepare<'a>(&self, request: &Request, chat: &Chat, fault: &'a Fault) -> Generation<'a> {
        let from = request
            .header("resume-offset")
            .and_then(|offset| offset.parse().ok())
            .unwrap_or(0);
        let current = (
            request.id().to_owned(),
            Answer::new(chat, self.settings.lengths),
        );
        let previous = self.previous.replace(Some(current.clone()));
        let (id, answer) = match previous {
            Some(previous) if fault.crossed => previous,
            _ => current,
        };
        Generation {
            answer,
            id: fault.response_id(&id).to_owned(),
            fault,
            from,
            sent: Cell::new(0),
        }
    }

    async fn generate(
        &self,
        chat: &Chat,
        generation: &Generation<'_>,
        connection: &mut Connection,
    ) -> io::Result<Next> {
        let prefill = self.prefill(chat, generation);
        let disconnected = tokio::select! {
            biased;
            () = connection.closed() => true,
            () = pause(prefill) => false,
        };
        if disconnected {
            return Ok(Next::Close);
        }
        if chat.stream {
            self.stream(chat, generation, connection).await
        } else {
            self.complete(chat, generation, connection).await
        }
    }

    fn prefill(&self, chat: &Chat, generation: &Generation<'_>) -> Duration {
        let mut prefixes = self.prefixes.borrow_mut();
        let cached = prefixes.visit(chat.prefix_digest());
        let tokens = prefix::uncached_tokens(chat, cached);
        let slow = generation.fault.slow_factor.unwrap_or(1.0);
        (self.settings.prefill_per_token * tokens).mul_f64(slow)
    }

    /// Time to the next token at the current batch size.
    fn next_interval(&self, fault: &Fault) -> Duration {
        let others = self.batch.running().saturating_sub(1);
        let degraded = 1.0 + f64::from(others * self.settings.degrade_percent) / 100.0;
        let slow = fault.slow_factor.unwrap_or(1.0);
        self.settings.token_interval.mul_f64(degraded * slow)
    }

    async fn stream(
        &self,
        chat: &Chat,
        generation: &Generation<'_>,
        connection: &mut Connection,
    ) -> io::Result<Next> {
        let headers = [
            ("content-type", "text/event-stream"),
            ("cache-control", "no-cache"),
            (REQUEST_ID, generation.id.as_str()),
        ];
        connection
            .write_head(StatusCode::OK, &headers, Length::Chunked)
            .await?;
        connection.flush().await?;
        let mut due = actix_rt::time::Instant::now();
        for offset in generation.from..generation.answer.tokens {
            due += self.next_interval(generation.fault);
            let disconnected = tokio::select! {
                biased;
                () = connection.closed() => true,
                () = actix_rt::time::sleep_until(due) => false,
            };
            if disconnected || generation.breaks() {
                return Ok(Next::Close);
            }
            self.send_token(chat, generation, offset, connection)
                .await?;
        }
        if generation.breaks() {
            return Ok(Next::Close);
        }
        connection.send_chunk("data: [DONE]\n\n".into()).await?;
        connection.finish().await?;
        Ok(Next::Keep)
    }

    async fn send_token(
        &self,
        chat: &Chat,
        generation: &Generation<'_>,
        offset: u64,
        connection: &mut Connection,
    ) -> io::Result<()> {
        generation.sent.set(generation.sent.get() + 1);
        self.counts.tokens.set(self.counts.tokens.get() + 1);
        if generation.fault.skip_token == Some(offset) {
            return Ok(());
        }
        let event = generation.answer.event(&generation.id, &chat.model, offset);
        if generation.fault.repeat_token == Some(offset) {
            connection.send_chunk(event.clone().into()).await?;
        }
        connection.send_chunk(event.into()).await
    }

    /// Generates a non-streamed answer.
    async fn complete(
        &self,
        chat: &Chat,
        generation: &Generation<'_>,
        connection: &mut Connection,
    ) -> io::Result<Next> {
        let mut due = actix_rt::time::Instant::now();
        for _ in generation.from..generation.answer.tokens {
            due += self.next_interval(generation.fault);
            let disconnected = tokio::select! {
                biased;
                () = connection.closed() => true,
                () = actix_rt::time::sleep_until(due) => false,
            };
            if disconnected {
                return Ok(Next::Close);
            }
            if generation.fault.crash_after_tokens == Some(generation.sent.get()) {
                std::process::abort();
            }
            generation.sent.set(generation.sent.get() + 1);
            self.counts.tokens.set(self.counts.tokens.get() + 1);
        }
        let body = generation
            .answer
            .completion(&generation.id, &chat.model, generation.from);
        generation
            .fault
            .respond(connection, StatusCode::OK, &generation.id, body)
            .await
    }

    fn counts(&self) -> serde_json::Value {
        json!({
            "requests": self.counts.requests.get(),
            "attempts": self.counts.requests.get(),
            "running": self.batch.running(),
            "waiting": self.batch.waiting(),
            "done": self.counts.done.get(),
            "cancelled": self.counts.cancelled.get(),
            "tokens": self.counts.tokens.get(),
            "wasted_tokens": self.counts.wasted.get(),
        })
    }

    /// The load as of `load_lag` ago.
    fn load_report(&self, now: Instant) -> serde_json::Value {
        let load = self.load.borrow();
        let seen = load.at(now, self.settings.load_lag);
        json!({
            "running": seen.running,
            "waiting": seen.waiting,
            "slots": self.settings.slots,
            "tokens_per_s": seen.tokens_per_s,
            "at_ms": seen.at.map_or(0, |at| at.duration_since(self.started).as_millis()),
        })
    }
}

impl Generation<'_> {
    /// Whether a fault closes the stream here; aborts on `crash_after_tokens`.
    fn breaks(&self) -> bool {
        let sent = self.sent.get();
        if self.fault.crash_after_tokens == Some(sent) {
            std::process::abort();
        }
        let halfway = (self.answer.tokens - self.from.min(self.answer.tokens)) / 2;
        self.fault.die_after_tokens == Some(sent)
            || (self.fault.cut.is_some() && sent >= halfway)
            || (self.fault.close == Some(Close::After) && sent > 0)
    }
}

impl Handler for Engine {
    async fn handle(&self, request: Request, connection: &mut Connection) -> io::Result<Next> {
        let (status, answer) = match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => {
                return self.chat(&request, connection).await;
            }
            (&Method::POST, "/fault") => return self.faults.set(&request, connection).await,
            (&Method::GET, "/counts") => (StatusCode::OK, self.counts()),
            (&Method::GET, "/load") => (StatusCode::OK, self.load_report(Instant::now())),
            _ => {
                let text = "unknown path: use /v1/chat/completions, /load, /counts or /fault";
                (StatusCode::NOT_FOUND, json!({"error": {"message": text}}))
            }
        };
        connection
            .respond_json(status, request.id(), &answer)
            .await?;
        Ok(Next::Keep)
    }
}

async fn pause(time: Duration) {
    if !time.is_zero() {
        actix_rt::time::sleep(time).await;
    }
}
