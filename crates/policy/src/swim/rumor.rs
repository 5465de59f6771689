//! News that is still passed on: which records changed, and how often each was
//! sent.

use indexmap::IndexMap;

use crate::id::InstanceId;

/// Records that changed lately; at most one for each known instance.
#[derive(Debug, Default)]
pub(super) struct Rumors {
    sent: IndexMap<InstanceId, u32>,
    fresh: bool,
}

impl Rumors {
    /// Passes on a record from now.
    pub(super) fn add(&mut self, id: &InstanceId) {
        self.sent.insert(id.clone(), 0);
        self.fresh = true;
    }

    /// Stops passing on a record.
    pub(super) fn remove(&mut self, id: &InstanceId) {
        self.sent.swap_remove(id);
    }

    /// Whether something came in since the last push.
    pub(super) fn has_fresh(&self) -> bool {
        self.fresh
    }

    /// Notes that the news was pushed.
    pub(super) fn clear_fresh(&mut self) {
        self.fresh = false;
    }

    /// Records passed on.
    pub(super) fn len(&self) -> usize {
        self.sent.len()
    }

    /// What to send next, least often sent first; drops what was sent enough.
    pub(super) fn select(&mut self, limit: u32) -> Vec<InstanceId> {
        self.sent.retain(|_, sent| *sent < limit);
        let mut order: Vec<(u32, &InstanceId)> =
            self.sent.iter().map(|(id, sent)| (*sent, id)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Notes that a record was sent once more.
    pub(super) fn mark_sent(&mut self, id: &InstanceId) {
        if let Some(sent) = self.sent.get_mut(id) {
            *sent += 1;
        }
    }
}
