//! Who counts.

use crate::id::ReplicaId;

/// The replicas that count, by their folders' ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Voters {
    ids: Vec<ReplicaId>,
    removed: Option<ReplicaId>,
}

impl Voters {
    /// These replicas.
    #[must_use]
    pub fn new(mut ids: Vec<ReplicaId>) -> Self {
        ids.sort_unstable();
        ids.dedup();
        Self { ids, removed: None }
    }

    /// These replicas, while the replacement of `removed` is not yet among them.
    #[must_use]
    pub fn with_removed(self, removed: Option<ReplicaId>) -> Self {
        Self { removed, ..self }
    }

    /// Their ids, ascending.
    #[must_use]
    pub fn ids(&self) -> &[ReplicaId] {
        &self.ids
    }

    /// Replica that was removed and whose replacement does not count yet.
    #[must_use]
    pub fn removed(&self) -> Option<ReplicaId> {
        self.removed
    }

    /// Whether a replica counts.
    #[must_use]
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.ids.binary_search(&id).is_ok()
    }

    /// With one more.
    #[must_use]
    pub fn with(&self, id: ReplicaId) -> Self {
        Self::new(self.ids.iter().copied().chain([id]).collect())
    }

    /// With one less, whose replacement is to follow.
    #[must_use]
    pub fn without(&self, id: ReplicaId) -> Self {
        let ids = self.ids.iter().copied().filter(|it| *it != id).collect();
        Self::new(ids).with_removed(Some(id))
    }

    /// Least number of voters that is more than half.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.ids.len() / 2 + 1
    }

    /// The highest value that a majority has reached; zero without voters.
    #[must_use]
    pub fn quorum_value<F>(&self, value: F) -> u64
    where
        F: FnMut(ReplicaId) -> u64,
    {
        let mut values: Vec<u64> = self.ids.iter().copied().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.majority() - 1).copied().unwrap_or(0)
    }
}
