//! Scheduling priority of requests, as configured in the catalogue.
//!
//! A request has the tier of its account, or that of its class if the account
//! has none. Requests of equal tier are ordered by the tier of their class, so
//! that short interactive requests of accounts with a common tier do not queue
//! behind long batch requests.

use super::{MAX_TIER, Tiers};

/// Number of tiers.
const TIERS: usize = MAX_TIER as usize + 1;

/// Number of distinct urgency levels.
pub const URGENCY_LEVELS: usize = TIERS * TIERS;

/// Priority by tier, then by tier of the class; lower values are served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Urgency {
    tier: u8,
    class: u8,
}

impl Urgency {
    /// The urgency of a request of `tier`, given the tier of its class.
    #[must_use]
    pub fn new(tier: u8, class: u8) -> Self {
        Self {
            tier: tier.min(MAX_TIER),
            class: class.min(MAX_TIER),
        }
    }

    /// Index of the level, below [`URGENCY_LEVELS`].
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.tier) * TIERS + usize::from(self.class)
    }

    /// Number of higher urgency levels in use, given the tiers in use.
    #[must_use]
    pub fn rank(self, tiers: &Tiers) -> u8 {
        let all = (0..=MAX_TIER).flat_map(|tier| (0..=MAX_TIER).map(move |class| (tier, class)));
        let higher = all.filter(|(tier, class)| {
            let class_exists = tiers.classes[usize::from(*class)] > 0;
            let tier_in_use = tier == class || tiers.accounts[usize::from(*tier)] > 0;
            class_exists && tier_in_use && Self::new(*tier, *class) < self
        });
        u8::try_from(higher.count()).unwrap_or(u8::MAX)
    }
}
