//! The replicated state: catalogue, answers to change ids, ledger and marks.
//!
//! Every replica applies the same commands in the same order and comes to the
//! same state and answers; time comes from the commands' own stamps.

mod digest;
mod machine;
mod size;

use std::{sync::Arc, time::SystemTime};

use crate::{
    catalogue::{Change, Fault, Key},
    crash,
    declaration::Declaration,
    id::{OperatorId, Revision, Version},
    ledger::{Claim, MAX_ATTEMPT, Settle, Verdict},
};

pub use machine::{Applied, ChangeRecord, Limits, Machine, Snapshot};

/// Most authors that a conflict names.
pub const MAX_AUTHORS: usize = 32;

/// One entry of the control log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Nothing; a new leader's first entry.
    Noop,
    /// A catalogue change.
    Change {
        /// What to change.
        change: Arc<Change>,
        /// When the leader took it in.
        at: SystemTime,
    },
    /// A whole declaration, which takes the place of older versions.
    Declare(Arc<Declaration>),
    /// A claim of an idempotency key.
    Claim(Claim),
    /// The end of a claimed attempt.
    Settle(Settle),
    /// A crash mark.
    Crash(crash::Step),
}

impl Command {
    /// The command with the leader's time as its stamp.
    ///
    /// The claimant's clock only gives the length of its attempt, so that one
    /// clock that is wrong does not move the ledger's.
    #[must_use]
    pub fn stamped(self, now: SystemTime) -> Self {
        match self {
            Self::Noop | Self::Crash(_) | Self::Declare(_) => self,
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

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Nothing to say.
    Done,
    /// How the change ended; a resend gets the same again.
    Change(Result<Revision, Refusal>),
    /// What the claimant may do.
    Claim(Verdict),
    /// Version of the declaration that is in force.
    Declared(Version),
}

/// Who changed an entry, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// Entry that was changed.
    pub key: Key,
    /// Operator who changed it.
    pub operator: OperatorId,
    /// Change that did it.
    pub change: String,
    /// Revision that it led to.
    pub revision: Revision,
}

/// Why a change was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The base is not the current revision.
    Stale {
        /// Current revision.
        current: Revision,
        /// Who changed what since the base, newest first, at most 32.
        authors: Vec<Author>,
    },
    /// The change id was used with another body.
    Reused {
        /// Revision that the first body led to, if it was accepted.
        first: Option<Revision>,
    },
    /// The change does not fit the catalogue.
    Invalid(Fault),
}
