//! The cache of prompt prefixes.

use indexmap::IndexSet;

use super::Chat;

/// Bytes of a prompt that make about one token.
const BYTES_PER_TOKEN: usize = 4;

/// Prompt prefixes seen of late, the oldest first.
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

    /// Whether a prefix was cached; it is the latest one from now on.
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

/// Prompt tokens that must be computed.
pub(super) fn uncached_tokens(chat: &Chat, cached: bool) -> u32 {
    let prefix = chat.messages.first().map_or(0, |it| it.content.len());
    let all: usize = chat.messages.iter().map(|it| it.content.len()).sum();
    let bytes = if cached { all - prefix } else { all };
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}
