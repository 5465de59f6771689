//! Load and runners of a service, as its arbiter reports them.

use indexmap::IndexMap;

use crate::id::{DomainId, ServiceId};

/// Runners of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Listed and in use.
    pub ready: u32,
    /// About to be removed.
    pub leaving: u32,
}

/// Runners of a service in one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Those that stay until they are ordered down.
    pub stable: Count,
    /// Those that the platform may take back.
    pub reclaimable: Count,
}

/// Load of a service since the last report, and its runners.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// The service.
    pub service: ServiceId,
    /// Its runners, by failure domain.
    pub fleets: IndexMap<DomainId, Fleet>,
    /// Runners that get requests.
    pub usable: u32,
    /// Slots of these runners.
    pub slots: u32,
    /// Mean share of these runners that had a prompt granted and not yet prefilled.
    pub prefill: f64,
    /// Mean share of their slots that was held.
    pub held: f64,
    /// Mean share of their memory that was used.
    pub memory: f64,
    /// Mean number of waiting requests of each tier.
    pub waiting: Vec<f64>,
    /// Requests that were granted a slot.
    pub granted: u32,
    /// Requests refused for want of capacity.
    pub refused: u32,
    /// Share of the memory in use that belongs to urgent tiers: all but the lowest one
    /// that the catalogue's classes have.
    pub urgent: f64,
}

impl Demand {
    /// Runners that are listed and in use.
    pub(super) fn ready(&self) -> u32 {
        let fleets = self.fleets.values();
        fleets
            .map(|it| it.stable.ready + it.reclaimable.ready)
            .sum()
    }
}
