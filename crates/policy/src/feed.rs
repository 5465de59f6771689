//! What every daemon learns from the control log.
//!
//! Catalogue changes and crash marks concern all daemons; the ledger does not
//! and stays with the replicas. Updates carry their index in the log, and a
//! view never goes back to an older one.

mod follower;
mod ring;

use std::{sync::Arc, time::Instant};

use crate::{
    catalogue::{Catalogue, Change},
    crash,
    declaration::Declaration,
    id::Index,
};

pub use follower::{Answer, Feed, LEASE, News, Settings, Snapshot};

/// One committed step that concerns every daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// An accepted catalogue change.
    Change(Arc<Change>),
    /// A whole declaration of a newer version.
    Declare(Arc<Declaration>),
    /// A crash mark set, raised or cleared.
    Crash(crash::Step),
}

/// A step with its place in the control log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Index in the control log.
    pub index: Index,
    /// What changed.
    pub step: Step,
}

/// What is in force on this daemon.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Index of the last update taken in.
    pub index: Index,
    /// Catalogue in force.
    pub catalogue: Arc<Catalogue>,
    /// Declaration in force, if the catalogue is declared as a whole.
    pub declaration: Option<Arc<Declaration>>,
    /// Requests known or suspected to crash runners.
    pub marks: Arc<crash::Table>,
    /// When the catalogue was last known to be current.
    pub proved: Option<Instant>,
}

/// What a replica on the same instance tells the daemon's own view.
#[derive(Clone, Debug)]
pub enum Local {
    /// The next committed step.
    Update(Update),
    /// All state up to an index, after a start or a gap.
    Snapshot {
        /// Index in the control log that the state is of.
        index: Index,
        /// Catalogue at that index.
        catalogue: Arc<Catalogue>,
        /// Declaration at that index.
        declaration: Option<Arc<Declaration>>,
        /// Crash marks at that index.
        marks: Arc<crash::Table>,
    },
    /// Everything accepted before `at` has an index of at most `index`.
    ///
    /// Said only by a leader, after a quorum confirmed it since `at`.
    Proved {
        /// Last index committed at the start of the quorum round.
        index: Index,
        /// Start of the quorum round.
        at: Instant,
    },
}
