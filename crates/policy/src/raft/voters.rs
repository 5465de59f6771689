//! The set of voters.

use crate::id::ReplicaId;

/// The replicas that vote and count towards a quorum, by replica id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Voters {
    ids: Vec<ReplicaId>,
    removed: Option<ReplicaId>,
}

impl Voters {
    /// A set of voters without duplicates.
    #[must_use]
    pub fn new(mut ids: Vec<ReplicaId>) -> Self {
        ids.sort_unstable();
        ids.dedup();
        Self { ids, removed: None }
    }

    /// The same voters, with `removed` as the voter whose replacement is still to be added.
    #[must_use]
    pub fn with_removed(self, removed: Option<ReplicaId>) -> Self {
        Self { removed, ..self }
    }

    /// Ids in ascending order.
    #[must_use]
    pub fn ids(&self) -> &[ReplicaId] {
        &self.ids
    }

    /// Voter that was removed and whose replacement is still to be added.
    #[must_use]
    pub fn removed(&self) -> Option<ReplicaId> {
        self.removed
    }

    /// Whether a replica is a voter.
    #[must_use]
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.ids.binary_search(&id).is_ok()
    }

    /// The voters with one added.
    #[must_use]
    pub fn with(&self, id: ReplicaId) -> Self {
        Self::new(self.ids.iter().copied().chain([id]).collect())
    }

    /// The voters with one removed, whose replacement is still to be added.
    #[must_use]
    pub fn without(&self, id: ReplicaId) -> Self {
        let ids = self.ids.iter().copied().filter(|it| *it != id).collect();
        Self::new(ids).with_removed(Some(id))
    }

    /// Smallest number of voters that is a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.ids.len() / 2 + 1
    }

    /// Highest value that a majority has reached; zero without voters.
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
