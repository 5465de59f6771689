//! A model engine that streams deterministic tokens.
//!
//! It batches up to its number of slots; the more run, the slower each goes.
//! Tokens and the length of an answer follow from the prompt alone, so a caller
//! that knows the prompt can check every token, and a stream that broke on one
//! engine continues on another with the same tokens.

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
    counts::{Counts, Load},
    prefix::Prefixes,
};
use crate::{
    fault::{Close, Fault, Switch},
    server::{Call, Handler, Length, Link, Next, REQUEST_ID},
};

/// How often the load is sampled for the lagging report.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// How the engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Requests in the batch at most.
    pub slots: u32,
    /// Time between two tokens of a request that runs alone.
    pub token_interval: Duration,
    /// Percent by which each further request slows all.
    pub degrade_percent: u32,
    /// Prefill time of one prompt token.
    pub prefill_per_token: Duration,
    /// Prompt prefixes kept in the cache.
    pub prefixes: usize,
    /// Age of the load that is reported.
    pub load_lag: Duration,
    /// How long answers are.
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
    faults: Switch,
    counts: Counts,
    load: RefCell<Load>,
    started: Instant,
    /// Identity and answer of the call before, for crossed answers.
    last: RefCell<Option<(String, Answer)>>,
}

/// One answer on its way.
struct Run<'a> {
    answer: Answer,
    id: String,
    fault: &'a Fault,
    /// First token to send.
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
            faults: Switch::default(),
            counts: Counts::default(),
            load: RefCell::default(),
            started: now,
            last: RefCell::default(),
        }
    }

    /// Samples the load for ever, for the report that lags.
    pub async fn sample(self: Rc<Self>) {
        loop {
            let now = Instant::now();
            self.load
                .borrow_mut()
                .sample(now, &self.batch, self.counts.tokens.get());
            actix_rt::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    async fn chat(&self, call: &Call, link: &mut Link) -> io::Result<Next> {
        self.counts.requests.set(self.counts.requests.get() + 1);
        let fault = self.faults.hit();
        if let Some(next) = self.faults.before(&fault, call, link).await? {
            return Ok(next);
        }
        let chat: Chat = match serde_json::from_slice(&call.body) {
            Ok(chat) => chat,
            Err(error) => {
                let text = json!({"error": {"message": error.to_string()}});
                link.json(StatusCode::BAD_REQUEST, call.id(), &text).await?;
                return Ok(Next::Keep);
            }
        };
        let run = self.prepare(call, &chat, &fault);
        let tier = call.header("priority").and_then(|it| it.parse().ok());
        let permit = tokio::select! {
            // A caller that leaves ends its work at once.
            biased;
            () = link.closed() => None,
            permit = self.batch.enter(tier.unwrap_or(u8::MAX)) => Some(permit),
        };
        let Some(_permit) = permit else {
            self.counts.cancel(0);
            return Ok(Next::Close);
        };
        let outcome = self.run(&chat, &run, link).await;
        match &outcome {
            Ok(Next::Keep) => self.counts.done.set(self.counts.done.get() + 1),
            Ok(Next::Close) | Err(_) => self.counts.cancel(run.sent.get()),
        }
        outcome
    }

    fn prepare<'a>(&self, call: &Call, chat: &Chat, fault: &'a Fault) -> Run<'a> {
        let from = call
            .header("resume-offset")
            .and_then(|offset| offset.parse().ok())
            .unwrap_or(0);
        let mine = (
            call.id().to_owned(),
            Answer::new(chat, self.settings.lengths),
        );
        let before = self.last.replace(Some(mine.clone()));
        let (id, answer) = match before {
            Some(before) if fault.crossed => before,
            _ => mine,
        };
        Run {
            answer,
            id: fault.id(&id).to_owned(),
            fault,
            from,
            sent: Cell::new(0),
        }
    }

    async fn run(&self, chat: &Chat, run: &Run<'_>, link: &mut Link) -> io::Result<Next> {
        let prefill = self.prefill(chat, run);
        let left = tokio::select! {
            biased;
            () = link.closed() => true,
            () = pause(prefill) => false,
        };
        if left {
            return Ok(Next::Close);
        }
        if chat.stream {
            self.stream(chat, run, link).await
        } else {
            self.whole(chat, run, link).await
        }
    }

    fn prefill(&self, chat: &Chat, run: &Run<'_>) -> Duration {
        let mut prefixes = self.prefixes.borrow_mut();
        let cached = prefixes.visit(chat.prefix_digest());
        let tokens = prefix::uncached_tokens(chat, cached);
        let slow = run.fault.slow_factor.unwrap_or(1.0);
        (self.settings.prefill_per_token * tokens).mul_f64(slow)
    }

    /// Time to the next token, with what runs now.
    fn interval(&self, fault: &Fault) -> Duration {
        let others = self.batch.running().saturating_sub(1);
        let degraded = 1.0 + f64::from(others * self.settings.degrade_percent) / 100.0;
        let slow = fault.slow_factor.unwrap_or(1.0);
        self.settings.token_interval.mul_f64(degraded * slow)
    }

    async fn stream(&self, chat: &Chat, run: &Run<'_>, link: &mut Link) -> io::Result<Next> {
        let headers = [
            ("content-type", "text/event-stream"),
            ("cache-control", "no-cache"),
            (REQUEST_ID, run.id.as_str()),
        ];
        link.head(StatusCode::OK, &headers, Length::Chunked).await?;
        link.flush().await?;
        let mut due = actix_rt::time::Instant::now();
        for offset in run.from..run.answer.tokens {
            due += self.interval(run.fault);
            let left = tokio::select! {
                biased;
                () = link.closed() => true,
                () = actix_rt::time::sleep_until(due) => false,
            };
            if left || run.dies() {
                return Ok(Next::Close);
            }
            self.token(chat, run, offset, link).await?;
        }
        if run.dies() {
            return Ok(Next::Close);
        }
        link.part("data: [DONE]\n\n".into()).await?;
        link.end().await?;
        Ok(Next::Keep)
    }

    async fn token(
        &self,
        chat: &Chat,
        run: &Run<'_>,
        offset: u64,
        link: &mut Link,
    ) -> io::Result<()> {
        run.sent.set(run.sent.get() + 1);
        self.counts.tokens.set(self.counts.tokens.get() + 1);
        if run.fault.skip_token == Some(offset) {
            return Ok(());
        }
        let event = run.answer.event(&run.id, &chat.model, offset);
        if run.fault.repeat_token == Some(offset) {
            link.part(event.clone().into()).await?;
        }
        link.part(event.into()).await
    }

    /// Runs a request whose answer is sent at once.
    async fn whole(&self, chat: &Chat, run: &Run<'_>, link: &mut Link) -> io::Result<Next> {
        let mut due = actix_rt::time::Instant::now();
        for _ in run.from..run.answer.tokens {
            due += self.interval(run.fault);
            let left = tokio::select! {
                biased;
                () = link.closed() => true,
                () = actix_rt::time::sleep_until(due) => false,
            };
            if left {
                return Ok(Next::Close);
            }
            if run.fault.crash_after_tokens == Some(run.sent.get()) {
                std::process::abort();
            }
            run.sent.set(run.sent.get() + 1);
            self.counts.tokens.set(self.counts.tokens.get() + 1);
        }
        let body = run.answer.completion(&run.id, &chat.model, run.from);
        run.fault.answer(link, StatusCode::OK, &run.id, body).await
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

    /// The load as it was some time ago.
    fn report(&self, now: Instant) -> serde_json::Value {
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

impl Run<'_> {
    /// Whether the stream breaks here; aborts the process when it crashes.
    fn dies(&self) -> bool {
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
    async fn on_call(&self, call: Call, link: &mut Link) -> io::Result<Next> {
        let (status, answer) = match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => return self.chat(&call, link).await,
            (&Method::POST, "/fault") => return self.faults.set(&call, link).await,
            (&Method::GET, "/counts") => (StatusCode::OK, self.counts()),
            (&Method::GET, "/load") => (StatusCode::OK, self.report(Instant::now())),
            _ => {
                let text = "unknown path: use /v1/chat/completions, /load, /counts or /fault";
                (StatusCode::NOT_FOUND, json!({"error": {"message": text}}))
            }
        };
        link.json(status, call.id(), &answer).await?;
        Ok(Next::Keep)
    }
}

async fn pause(time: Duration) {
    if !time.is_zero() {
        actix_rt::time::sleep(time).await;
    }
}
