//! Feed of the control log: the part of it that every daemon follows.
//!
//! Catalogue changes and crash marks concern all daemons; the ledger does not and
//! stays with the replicas. Updates carry their log index, and the index of a view
//! never decreases.

mod admission;
mod follower;
mod patience;
mod ring;

use std::{sync::Arc, time::Instant};

use crate::{
    catalogue::{Catalogue, Change},
    crash,
    declaration::Declaration,
    id::Index,
};

pub use admission::Admission;
pub use follower::{Answer, Feed, LEASE, News, Settings, Snapshot};
pub use patience::Patience;

/// Committed step that concerns every daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// An accepted catalogue change.
    Change(Arc<Change>),
    /// A declaration of the whole catalogue, of a newer version.
    Declare(Arc<Declaration>),
    /// A crash mark set, raised or cleared.
    Crash(crash::Step),
}

/// A step with its position in the control log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Index in the control log.
    pub index: Index,
    /// What changed.
    pub step: Step,
}

/// Control state in force on this daemon.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Index of the last update applied.
    pub index: Index,
    /// Catalogue in force.
    pub catalogue: Arc<Catalogue>,
    /// Declaration in force, if the catalogue is declared as a whole.
    pub declaration: Option<Arc<Declaration>>,
    /// Requests known or suspected to crash runners.
    pub marks: Arc<crash::Table>,
    /// Latest time at which the catalogue was proved current.
    pub proved: Option<Instant>,
}

/// Input from a control replica on the same instance.
#[derive(Clone, Debug)]
pub enum Local {
    /// The next committed step.
    Update(Update),
    /// Complete state at an index, after a start or a gap.
    Snapshot {
        /// Index in the control log.
        index: Index,
        /// Catalogue at that index.
        catalogue: Arc<Catalogue>,
        /// Declaration at that index.
        declaration: Option<Arc<Declaration>>,
        /// Crash marks at that index.
        marks: Arc<crash::Table>,
    },
    /// Proof that everything accepted before `at` has an index of at most `index`.
    ///
    /// Only a leader sends it, after a quorum has confirmed it as leader since `at`.
    Proved {
        /// Last index committed at the start of the quorum round.
        index: Index,
        /// Start of the quorum round.
        at: Instant,
    },
}
