//! Streamed chat requests, with every token checked.

use std::time::Instant;

use actix_http::{Method, StatusCode};
use serde::Deserialize;

use super::{
    Item,
    client::{Connections, Response, Target},
    report::{Flaws, Outcome, Times},
};
use crate::engine::{Chat, token_text};

/// The fields read from a token's event.
#[derive(Debug, Deserialize)]
struct Event {
    offset: u64,
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Delta {
    content: String,
}

/// Incremental parser and checker of a token stream.
#[derive(Debug)]
struct Reader {
    digest: u64,
    next_offset: u64,
    flaws: Flaws,
    finished: bool,
    done: bool,
    line: Vec<u8>,
    first: Option<Instant>,
}

/// Sends a streamed chat request and reads the response to its end.
pub(super) async fn send(
    connections: &Connections,
    target: &Target,
    item: &Item,
    chat: &Chat,
    at: Instant,
) -> Outcome {
    let exchanged = exchange(connections, target, item, chat, at);
    match actix_rt::time::timeout(target.timeout, exchanged).await {
        Ok(outcome) => outcome,
        Err(_) => Outcome::Late,
    }
}

async fn exchange(
    connections: &Connections,
    target: &Target,
    item: &Item,
    chat: &Chat,
    at: Instant,
) -> Outcome {
    let bearer = format!("Bearer {}", item.key);
    let timeout = target.timeout.as_millis().max(1).to_string();
    let headers = [
        ("content-type", "application/json"),
        ("authorization", bearer.as_str()),
        ("citron-class", item.class.as_str()),
        ("citron-timeout-ms", timeout.as_str()),
        ("x-request-id", target.id.as_str()),
    ];
    let Ok(body) = serde_json::to_vec(chat) else {
        return Outcome::Error(0);
    };
    let path = "/v1/chat/completions";
    let sent = connections.send(target.address, Method::POST, path, &headers, body.into());
    let mut response = match sent.await {
        Ok(response) => response,
        Err(error) => {
            log::debug!("no response from {}: {error}", target.address);
            return Outcome::Lost;
        }
    };
    if response.head.status != StatusCode::OK {
        return Outcome::from_error_response(&mut response).await;
    }
    let mut reader = Reader::new(chat.digest());
    let truncated = read(&mut response, &mut reader).await;
    let outcome = reader.outcome(truncated, at);
    if !truncated {
        connections.release(response);
    }
    outcome
}

/// Reads the stream; true if it was truncated.
async fn read(response: &mut Response, reader: &mut Reader) -> bool {
    while let Some(chunk) = response.next_chunk().await {
        match chunk {
            Ok(chunk) => reader.feed(&chunk),
            Err(_) => return true,
        }
    }
    !reader.done
}

impl Reader {
    fn new(digest: u64) -> Self {
        Self {
            digest,
            next_offset: 0,
            flaws: Flaws::default(),
            finished: false,
            done: false,
            line: Vec::new(),
            first: None,
        }
    }

    fn feed(&mut self, chunk: &[u8]) {
        for piece in chunk.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(piece);
            if piece.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                if let Some(data) = line.strip_prefix(b"data: ") {
                    self.read_event(data.trim_ascii_end());
                }
            }
        }
    }

    fn read_event(&mut self, data: &[u8]) {
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        let Ok(event) = serde_json::from_slice::<Event>(data) else {
            self.flaws.foreign += 1;
            return;
        };
        self.first.get_or_insert_with(Instant::now);
        self.flaws.tokens += 1;
        if event.offset < self.next_offset {
            self.flaws.duplicates += 1;
        } else {
            self.flaws.missing += event.offset - self.next_offset;
            self.next_offset = event.offset + 1;
        }
        let Some(choice) = event.choices.first() else {
            self.flaws.foreign += 1;
            return;
        };
        self.finished = choice.finish_reason.is_some();
        if choice.delta.content != token_text(self.digest, event.offset) {
            self.flaws.foreign += 1;
        }
    }

    fn outcome(&self, truncated: bool, at: Instant) -> Outcome {
        let flaws = self.flaws;
        let flawed = flaws.duplicates + flaws.missing + flaws.foreign > 0;
        match (truncated, flawed || !self.finished) {
            (true, _) => Outcome::Cut(flaws),
            (false, true) => Outcome::Wrong(flaws),
            (false, false) => Outcome::Answered(self.times(at)),
        }
    }

    fn times(&self, at: Instant) -> Times {
        let now = Instant::now();
        let first = self.first.unwrap_or(now);
        let gaps = u32::try_from(self.next_offset.saturating_sub(1)).unwrap_or(u32::MAX);
        let streamed = now.saturating_duration_since(first);
        Times {
            first_token: first.saturating_duration_since(at),
            between_tokens: streamed.checked_div(gaps).unwrap_or_default(),
            whole: now.saturating_duration_since(at),
            tokens: self.next_offset,
        }
    }
}
