//! What the driver asks for.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::engine::{Chat, Message};

/// Longest first message that callers of one item share, in bytes.
const SHARED_PREFIX: &str = "You help the staff at the counter. Answer in short sentences. ";

/// What kind of request an item makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A streamed chat.
    Chat,
    /// A plain call that must run at most once.
    Book,
    /// A plain call that may be repeated.
    Read,
}

/// A time in which an item is asked for more often.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// Begin, in milliseconds from the start.
    pub from_ms: u64,
    /// End, in milliseconds from the start.
    pub to_ms: u64,
    /// Factor on the item's rate.
    pub factor: f64,
}

/// One part of the mix: an account asking in a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// Name in the report.
    pub name: String,
    /// What it asks.
    pub kind: Kind,
    /// API key.
    #[serde(default)]
    pub key: String,
    /// Class; the account's own when empty.
    #[serde(default)]
    pub class: String,
    /// Model or service.
    pub service: String,
    /// Part of the whole rate.
    #[serde(default = "one")]
    pub share: f64,
    /// Bytes of the prompt or body.
    #[serde(default = "default_bytes")]
    pub bytes: usize,
    /// Most tokens wanted.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Time after which the answer is of no use.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Target of the first token.
    #[serde(default = "unbounded_ms")]
    pub first_token_ms: u64,
    /// Target of the mean time between tokens.
    #[serde(default = "unbounded_ms")]
    pub between_tokens_ms: u64,
    /// Target of the whole answer.
    #[serde(default = "unbounded_ms")]
    pub whole_ms: u64,
    /// Times of a higher rate.
    #[serde(default)]
    pub bursts: Vec<Window>,
}

impl Item {
    /// Time after which the answer is of no use.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// The prompt of request `number`.
    #[must_use]
    pub fn prompt(&self, seed: u64, number: usize) -> Chat {
        let mut text = format!("request {seed}-{number} ");
        while text.len() < self.bytes {
            text.push_str("about a ring ");
        }
        let message = |role: &str, content: String| Message {
            role: role.to_owned(),
            content,
        };
        Chat {
            model: self.service.clone(),
            messages: vec![
                message("system", format!("{SHARED_PREFIX}{}", self.name)),
                message("user", text),
            ],
            stream: true,
            max_tokens: self.max_tokens,
        }
    }
}

fn one() -> f64 {
    1.0
}

fn default_bytes() -> usize {
    200
}

fn default_timeout_ms() -> u64 {
    30_000
}

fn unbounded_ms() -> u64 {
    u64::MAX
}
