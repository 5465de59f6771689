//! The replicated state: catalogue, answers to change ids, ledger and crash marks.
//!
//! Every replica applies the same commands in the same order and reaches the same
//! state and answers. Time is taken only from the stamps of the commands.

mod digest;
mod machine;
mod size;

use std::{sync::Arc, time::SystemTime};

use crate::{
    catalogue::{Change, Fault, Key},
    crash,
    declaration::Declaration,
    id::{OperatorId, Revision, Version},
    lease,
    ledger::{Claim, MAX_ATTEMPT, Settle, Verdict},
    usage,
};

pub use machine::{Applied, ChangeRecord, Limits, Machine, Snapshot};

/// Maximum number of authors that a conflict names.
pub const MAX_AUTHORS: usize = 32;

/// A command of the control log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// No operation; a new leader's first entry.
    Noop,
    /// A catalogue change.
    Change {
        /// The change.
        change: Arc<Change>,
        /// When the leader received it.
        at: SystemTime,
    },
    /// A whole declaration, which replaces older versions.
    Declare(Arc<Declaration>),
    /// A claim of an idempotency key.
    Claim(Claim),
    /// The end of a claimed attempt.
    Settle(Settle),
    /// An update of the crash marks.
    Crash(crash::Step),
    /// A change of the lease of the duties.
    Lease(lease::Step),
    /// The counts of a window of usage, in force if they are the first for it.
    Usage(Arc<usage::Window>),
}

impl Command {
    /// The command, stamped with the leader's time.
    ///
    /// The claimant's clock determines only the length of its attempt, so that one
    /// wrong clock does not move the ledger's clock.
    #[must_use]
    pub fn stamped(self, now: SystemTime) -> Self {
        match self {
            Self::Noop | Self::Crash(_) | Self::Declare(_) | Self::Lease(_) | Self::Usage(_) => {
                self
            }
            Self::Change { change, .. } => Self::Change { change, at: now },
            Self::Claim(claim) => {
                let length = claim.deadline.duration_since(claim.at).unwrap_or_default();
                Self::Claim(Claim {
                    deadline: now + length.min(MAX_ATTEMPT),
                    at: now,
                    ..claim
                })
            }
            Self::Settle(settle) => Self::Settle(Settle { at: now, ..settle }),
        }
    }

    /// Estimated size in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size::of_command(self)
    }
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Applied, without a result.
    Done,
    /// Result of the change; a resend gets the same result.
    Change(Result<Revision, Refusal>),
    /// Whether the claimant may run the call.
    Claim(Verdict),
    /// Version of the declaration in force.
    Declared(Version),
    /// The lease of the duties.
    Lease(Option<lease::Record>),
    /// The counts in force for a window of usage; none if it is too old.
    Usage(Option<Arc<usage::Window>>),
}

/// Who changed an entry, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// Entry that was changed.
    pub key: Key,
    /// Operator who changed it.
    pub operator: OperatorId,
    /// Id of the change.
    pub change: String,
    /// Revision that the change produced.
    pub revision: Revision,
}

/// Why a change was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The base is not the current revision.
    Stale {
        /// Current revision.
        current: Revision,
        /// Who changed what since the base, newest first, at most [`MAX_AUTHORS`].
        authors: Vec<Author>,
    },
    /// The change id was already used with another body.
    Reused {
        /// Revision that the first body produced, if it was accepted.
        first: Option<Revision>,
    },
    /// The catalogue after the change would be invalid.
    Invalid(Fault),
}
