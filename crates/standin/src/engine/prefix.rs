//! The cache of prompt prefixes.

use indexmap::IndexSet;

use super::Chat;

/// Approximate number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// An LRU cache of prompt prefixes, least recently used first.
#[derive(Debug)]
pub(super) struct Prefixes {
    digests: IndexSet<u64>,
    capacity: usize,
}

impl Prefixes {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            digests: IndexSet::new(),
            capacity,
        }
    }

    /// Whether a prefix was cached; marks it as the most recently used.
    pub(super) fn visit(&mut self, digest: u64) -> bool {
        let cached = self.digests.shift_remove(&digest);
        if self.digests.len() >= self.capacity {
            self.digests.shift_remove_index(0);
        }
        if self.capacity > 0 {
            self.digests.insert(digest);
        }
        cached
    }
}

/// Number of prompt tokens that need prefill.
pub(super) fn uncached_tokens(chat: &Chat, cached: bool) -> u32 {
    let prefix = chat.messages.first().map_or(0, |it| it.content.len());
    let all: usize = chat.messages.iter().map(|it| it.content.len()).sum();
    let bytes = if cached { all - prefix } else { all };
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}
