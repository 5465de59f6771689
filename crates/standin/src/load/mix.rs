//! The request mix of the load generator.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::engine::{Chat, Message};

/// Start of the system message; all requests of one item share that message.
const SHARED_PREFIX: &str = "You help the staff at the counter. Answer in short sentences. ";

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A streamed chat.
    Chat,
    /// A non-streamed request that must execute at most once.
    Book,
    /// A non-streamed request that may be repeated.
    Read,
}

/// A period in which an item's rate is multiplied.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// Begin, in milliseconds since the start of the run.
    pub from_ms: u64,
    /// End (exclusive), in milliseconds since the start of the run.
    pub to_ms: u64,
    /// Factor on the item's rate.
    pub factor: f64,
}

/// One part of the mix: requests of one account in one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// Name in the report.
    pub name: String,
    /// Kind of its requests.
    pub kind: Kind,
    /// API key.
    #[serde(default)]
    pub key: String,
    /// Class; the account's default if empty.
    #[serde(default)]
    pub class: String,
    /// Name of the model or service.
    pub service: String,
    /// Rate of the item, as a fraction of the run's rate.
    #[serde(default = "one")]
    pub share: f64,
    /// Minimum size of the prompt or body, in bytes.
    #[serde(default = "default_bytes")]
    pub bytes: usize,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Deadline for the response, in milliseconds after arrival.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Target time to the first token, in milliseconds.
    #[serde(default = "unbounded_ms")]
    pub first_token_ms: u64,
    /// Target mean time between tokens, in milliseconds.
    #[serde(default = "unbounded_ms")]
    pub between_tokens_ms: u64,
    /// Target time to the complete response, in milliseconds.
    #[serde(default = "unbounded_ms")]
    pub whole_ms: u64,
    /// Periods with a different rate.
    #[serde(default)]
    pub bursts: Vec<Window>,
}

impl Item {
    /// Deadline for the response, as a time after arrival.
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
