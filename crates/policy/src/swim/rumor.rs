//! Queue of changed records to gossip, with the transmissions of each.

use indexmap::IndexMap;

use crate::id::InstanceId;

/// Recently changed records; at most one for each known instance.
#[derive(Debug, Default)]
pub(super) struct Rumors {
    sent: IndexMap<InstanceId, u32>,
    fresh: bool,
}

impl Rumors {
    /// Queues a record, or restarts its transmissions.
    pub(super) fn add(&mut self, id: &InstanceId) {
        self.sent.insert(id.clone(), 0);
        self.fresh = true;
    }

    /// Drops a record from the queue.
    pub(super) fn remove(&mut self, id: &InstanceId) {
        self.sent.swap_remove(id);
    }

    /// Whether a record was added since the last push.
    pub(super) fn has_fresh(&self) -> bool {
        self.fresh
    }

    /// Notes that the queued records were pushed.
    pub(super) fn clear_fresh(&mut self) {
        self.fresh = false;
    }

    /// Number of queued records.
    pub(super) fn len(&self) -> usize {
        self.sent.len()
    }

    /// Records to send, least often sent first; drops those sent `limit` times.
    pub(super) fn select(&mut self, limit: u32) -> Vec<InstanceId> {
        self.sent.retain(|_, sent| *sent < limit);
        let mut order: Vec<(u32, &InstanceId)> =
            self.sent.iter().map(|(id, sent)| (*sent, id)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Counts a transmission of a record.
    pub(super) fn mark_sent(&mut self, id: &InstanceId) {
        if let Some(sent) = self.sent.get_mut(id) {
            *sent += 1;
        }
    }
}
