//! `key`: the digest of an API key.

use std::io::Read;

use serde_json::json;
use sha2::{Digest, Sha256};

use super::Outcome;

/// Fewest bytes of an API key.
const MIN_KEY_BYTES: usize = 16;

/// Most bytes of an API key.
const MAX_KEY_BYTES: usize = 4_096;

/// Reads a key from `input`, strips the line ending, and returns its SHA-256.
pub(super) fn run<R>(input: R) -> Outcome
where
    R: Read,
{
    let mut text = String::new();
    let limit = MAX_KEY_BYTES as u64 + 2;
    if let Err(error) = input.take(limit).read_to_string(&mut text) {
        return Outcome::failed(format!("the key cannot be read: {error}: send it as text"));
    }
    let key = text.trim_end_matches(['\n', '\r']);
    let plain = key.bytes().all(|it| it.is_ascii_graphic());
    if !(MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&key.len()) || !plain {
        return Outcome::failed(format!(
            "an API key has {MIN_KEY_BYTES} to {MAX_KEY_BYTES} printable characters without \
             spaces: send a longer random one"
        ));
    }
    let digest = Sha256::digest(key.as_bytes());
    let hex = format!("{digest:x}");
    Outcome::done(hex.clone(), json!({"key_sha256": hex}))
}
