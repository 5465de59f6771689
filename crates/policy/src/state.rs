//! The replicated state: catalogue, answers to change ids, ledger and marks.

use std::{sync::Arc, time::SystemTime};

use crate::{
    catalogue::{Change, Fault, Key},
    crash,
    id::{OperatorId, Revision},
    ledger::{Claim, Settle, Verdict},
};

/// One entry of the control log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Nothing; a new leader's first entry.
    Nothing,
    /// A catalogue change.
    Change {
        /// What to change.
        change: Arc<Change>,
        /// When the leader took it in.
        at: SystemTime,
    },
    /// A claim of an idempotency key.
    Claim(Claim),
    /// The end of a claimed attempt.
    Settle(Settle),
    /// A crash mark.
    Crash(crash::Step),
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
