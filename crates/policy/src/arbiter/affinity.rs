//! Which runner probably has a prompt prefix cached, judged by past grants.

use indexmap::IndexMap;

use crate::id::RunnerId;

/// Most prefixes remembered.
const MAX_PREFIXES: usize = 4_096;

/// The runner granted last for each prefix; at the limit, the first entry is evicted.
#[derive(Debug, Default)]
pub(super) struct Affinity {
    runners: IndexMap<u64, RunnerId>,
}

impl Affinity {
    pub(super) fn get(&self, prefix: u64) -> Option<&RunnerId> {
        self.runners.get(&prefix)
    }

    pub(super) fn put(&mut self, prefix: u64, runner: &RunnerId) {
        if prefix == 0 {
            return;
        }
        if self.runners.len() >= MAX_PREFIXES && !self.runners.contains_key(&prefix) {
            self.runners.swap_remove_index(0);
        }
        self.runners.insert(prefix, runner.clone());
    }

    pub(super) fn forget(&mut self, runner: &RunnerId) {
        self.runners.retain(|_, known| known != runner);
    }
}
