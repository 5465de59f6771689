//! Which request goes first, as far as the catalogue says.
//!
//! The tier of a request is its account's, if that has one, or else its class's.
//! Among requests of one tier the tier of the class decides, so that accounts
//! that share a tier do not put long drafts and short questions into one line.

use super::{MAX_TIER, Tiers};

/// Tiers that there may be.
const TIERS: usize = MAX_TIER as usize + 1;

/// Urgencies that there may be.
pub const URGENCY_LEVELS: usize = TIERS * TIERS;

/// Place of a request among all tiers and classes; the least goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Urgency {
    tier: u8,
    class: u8,
}

impl Urgency {
    /// The urgency of a request of that tier, whose class has a tier of its own.
    #[must_use]
    pub fn new(tier: u8, class: u8) -> Self {
        Self {
            tier: tier.min(MAX_TIER),
            class: class.min(MAX_TIER),
        }
    }

    /// Its place among all that may be, below [`URGENCY_LEVELS`].
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.tier) * TIERS + usize::from(self.class)
    }

    /// How many more urgent ones a catalogue with these tiers has.
    #[must_use]
    pub fn rank(self, tiers: &Tiers) -> u8 {
        let all = (0..=MAX_TIER).flat_map(|tier| (0..=MAX_TIER).map(move |class| (tier, class)));
        let before = all.filter(|(tier, class)| {
            let there = tiers.classes[usize::from(*class)] > 0;
            let meet = tier == class || tiers.accounts[usize::from(*tier)] > 0;
            there && meet && Self::new(*tier, *class) < self
        });
        u8::try_from(before.count()).unwrap_or(u8::MAX)
    }
}
