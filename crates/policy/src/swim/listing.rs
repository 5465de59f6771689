//! The platform's list of entry instances, smoothed against lag and flapping.
//!
//! An instance that was listed as leaving counts as leaving until the list has
//! shown it as live without interruption for the hold time. One that is no longer
//! listed may still be admitted for the grace time, since the list may be wrong.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    id::InstanceId,
    platform::{List, Standing},
};

use super::settings::MAX_MEMBERS;

/// One listed instance.
#[derive(Debug)]
pub(super) struct Listed {
    /// Its address for peers.
    pub(super) peer: SocketAddr,
    /// Standing in the last reading that contained it.
    standing: Standing,
    /// When the list last changed it from leaving to live.
    returned_at: Option<Instant>,
    /// Since when the list no longer contains it.
    unlisted_since: Option<Instant>,
}

/// The platform's list over time.
#[derive(Debug, Default)]
pub(super) struct Listing {
    entries: IndexMap<InstanceId, Listed>,
    read: bool,
}

impl Listing {
    /// Applies a reading; entries that are gone are kept for `grace`.
    pub(super) fn update(&mut self, now: Instant, list: &List, grace: Duration) {
        if list.entries.is_empty() && !self.read {
            return;
        }
        self.read = true;
        for (id, listed) in &mut self.entries {
            let present = list.entries.iter().any(|entry| entry.id == *id);
            if !present && listed.unlisted_since.is_none() {
                listed.unlisted_since = Some(now);
            }
        }
        self.entries
            .retain(|_, listed| !listed.is_expired(now, grace));
        for entry in list.entries.iter().take(MAX_MEMBERS) {
            self.put(now, &entry.id, entry.peer, entry.standing);
        }
    }

    fn put(&mut self, now: Instant, id: &InstanceId, peer: SocketAddr, standing: Standing) {
        let Some(listed) = self.entries.get_mut(id) else {
            let listed = Listed {
                peer,
                standing,
                returned_at: None,
                unlisted_since: None,
            };
            self.entries.insert(id.clone(), listed);
            return;
        };
        listed.peer = peer;
        listed.unlisted_since = None;
        if listed.standing == Standing::Leaving && standing == Standing::Live {
            listed.returned_at = Some(now);
        }
        listed.standing = standing;
    }

    /// Whether a reading had entries.
    pub(super) fn is_read(&self) -> bool {
        self.read
    }

    /// Number of entries, including those recently unlisted.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// One listed instance.
    pub(super) fn get(&self, id: &InstanceId) -> Option<&Listed> {
        self.entries.get(id)
    }

    /// Whether an instance is listed, or was within `grace`.
    pub(super) fn recently_listed(&self, now: Instant, id: &InstanceId, grace: Duration) -> bool {
        self.get(id)
            .is_some_and(|listed| !listed.is_expired(now, grace))
    }

    /// Whether an instance counts as leaving; `hold` is how long it must be live again first.
    pub(super) fn is_leaving(&self, now: Instant, id: &InstanceId, hold: Duration) -> bool {
        let Some(listed) = self.get(id) else {
            return false;
        };
        match (listed.standing, listed.returned_at) {
            (Standing::Leaving, _) => true,
            (Standing::Live, Some(at)) => now.saturating_duration_since(at) < hold,
            (Standing::Live, None) => false,
        }
    }

    /// Currently listed instances and their addresses.
    pub(super) fn present(&self) -> impl Iterator<Item = (&InstanceId, SocketAddr)> {
        self.entries
            .iter()
            .filter(|(_, listed)| listed.unlisted_since.is_none())
            .map(|(id, listed)| (id, listed.peer))
    }
}

impl Listed {
    fn is_expired(&self, now: Instant, grace: Duration) -> bool {
        self.unlisted_since
            .is_some_and(|at| now.saturating_duration_since(at) >= grace)
    }
}
