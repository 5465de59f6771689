//! Chat requests, and answers determined by the prompt and the settings.

use serde::{Deserialize, Serialize};
use serde_json::json;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Vocabulary of the generated tokens.
const WORDS: [&str; 16] = [
    "amber", "bezel", "clasp", "crown", "facet", "gold", "heel", "hook", "lace", "loop", "opal",
    "prong", "ring", "sole", "stitch", "thread",
];

/// Maximum length of an answer, as a multiple of the mean.
const MAX_LENGTH_MEANS: u64 = 8;

/// A chat request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chat {
    /// Name of the requested model.
    pub model: String,
    /// Messages of the conversation.
    pub messages: Vec<Message>,
    /// Whether to stream tokens as they are generated.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
}

/// One message of a conversation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message {
    /// Role of the author.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl Chat {
    /// Digest of the first message, the prefix that conversations share.
    #[must_use]
    pub fn prefix_digest(&self) -> u64 {
        self.messages
            .first()
            .map_or(0, |message| xxh3_64(message.content.as_bytes()))
    }

    /// Digest of the whole conversation.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.messages.iter().fold(0, |digest, message| {
            xxh3_64_with_seed(message.content.as_bytes(), digest)
        })
    }
}

/// Distribution of answer lengths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lengths {
    /// Mean number of tokens.
    pub mean: u32,
    /// Minimum number of tokens.
    pub min: u32,
    /// Seed that determines the lengths, together with the prompt.
    pub seed: u64,
}

/// The answer to one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    digest: u64,
    /// Number of tokens.
    pub tokens: u64,
    /// Whether `max_tokens` truncated it.
    pub limited: bool,
}

impl Answer {
    /// The answer to `chat`.
    #[must_use]
    pub fn new(chat: &Chat, lengths: Lengths) -> Self {
        let digest = chat.digest();
        let full_length = draw_length(digest, lengths);
        let tokens = chat
            .max_tokens
            .map_or(full_length, |max| max.min(full_length));
        Self {
            digest,
            tokens,
            limited: tokens < full_length,
        }
    }

    /// The server-sent event of the token at `offset`.
    #[must_use]
    pub fn event(&self, id: &str, model: &str, offset: u64) -> String {
        let finish = (offset + 1 == self.tokens).then(|| self.finish_reason());
        let event = json!({
            "id": id,
            "object": "chat.completion.chunk",
            "model": model,
            "offset": offset,
            "choices": [{
                "index": 0,
                "delta": {"content": token_text(self.digest, offset)},
                "finish_reason": finish,
            }],
        });
        format!("data: {event}\n\n")
    }

    /// The non-streamed response body, with the text from offset `from`.
    #[must_use]
    pub fn completion(&self, id: &str, model: &str, from: u64) -> String {
        json!({
            "id": id,
            "object": "chat.completion",
            "model": model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.text(from)},
                "finish_reason": self.finish_reason(),
            }],
            "usage": {"completion_tokens": self.tokens},
        })
        .to_string()
    }

    /// The text from offset `from`.
    #[must_use]
    pub fn text(&self, from: u64) -> String {
        (from..self.tokens)
            .map(|offset| token_text(self.digest, offset))
            .collect()
    }

    fn finish_reason(&self) -> &'static str {
        if self.limited { "length" } else { "stop" }
    }
}

/// Text of the token at `offset`, which a reader of the stream can recompute.
#[must_use]
pub fn token_text(digest: u64, offset: u64) -> String {
    let mixed = xxh3_64_with_seed(&offset.to_le_bytes(), digest);
    let word = usize::try_from(mixed % WORDS.len() as u64).unwrap_or(0);
    format!("{}{:02x} ", WORDS[word], mixed >> 56)
}

/// An exponentially distributed length, determined by the prompt and the seed.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the drawn length is positive and far below the limits of either type"
)]
fn draw_length(digest: u64, lengths: Lengths) -> u64 {
    let mixed = xxh3_64_with_seed(&digest.to_le_bytes(), lengths.seed);
    let unit = f64::from((mixed >> 32) as u32) / (f64::from(u32::MAX) + 1.0);
    let drawn = (-(1.0 - unit).ln() * f64::from(lengths.mean)).ceil() as u64;
    let least = u64::from(lengths.min.max(1));
    let longest = u64::from(lengths.mean) * MAX_LENGTH_MEANS;
    drawn.clamp(least, longest.max(least))
}
