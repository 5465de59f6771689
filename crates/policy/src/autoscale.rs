//! Orders of runners.

use crate::id::{DomainId, ServiceId};

/// The number of runners of one kind that a service is to have in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: ServiceId,
    /// The failure domain.
    pub domain: DomainId,
    /// Whether reclaimable runners are ordered; each kind has its own number.
    pub reclaimable: bool,
    /// Number of runners.
    pub desired: u32,
}
