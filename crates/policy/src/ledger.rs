//! The at-most-once ledger: which idempotency keys were claimed, and how each
//! claim ended.

use std::time::SystemTime;

use crate::id::{AccountId, AttemptId, Fingerprint, InstanceId};

/// An idempotency key, which belongs to one account.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// Account that chose the key.
    pub account: AccountId,
    /// The caller's key.
    pub name: String,
}

/// Asks for the right to run a call once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Key of the call.
    pub key: Key,
    /// Digest of service, route and body; a key with another digest is refused.
    pub digest: Fingerprint,
    /// Identity of this attempt, so that a repeated claim is recognised.
    pub attempt: AttemptId,
    /// Daemon that claims.
    pub daemon: InstanceId,
    /// When the attempt ends at the latest; still open after it, it counts as unknown.
    pub deadline: SystemTime,
    /// When the claim was made.
    pub at: SystemTime,
}

/// An answer kept for resends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// Whole body, at most [`MAX_STORED_BYTES`].
    pub body: Vec<u8>,
}

/// Largest body kept for resends.
pub const MAX_STORED_BYTES: usize = 64 << 10;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing reached an upstream; the key is free again.
    NotRun,
    /// It ran, and this is the answer.
    Done(Stored),
    /// It may have run; it will not be run again.
    Unknown,
}

/// Records how an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settle {
    /// Key of the call.
    pub key: Key,
    /// Attempt that held the claim.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub at: SystemTime,
}

/// What a caller with a key gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claim is this attempt's: run it.
    Run,
    /// It ran before; here is the answer.
    Stored(Stored),
    /// Another attempt holds the claim until the deadline.
    InProgress {
        /// When that attempt ends at the latest.
        deadline: SystemTime,
    },
    /// It may have run; it will not be run again.
    Unknown,
    /// The key was used with another request.
    Mismatch,
    /// The ledger is full; come back later.
    Full,
}
