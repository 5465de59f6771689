//! The at-most-once ledger: which idempotency keys were claimed, and how each
//! attempt ended.
//!
//! A key is claimed in the control log before the first byte of the call is sent
//! upstream, and settled afterwards. At most one attempt per key is ever told to
//! run, unless the previous one was settled as not run. The clock is the latest
//! stamp of any command, so that every replica reaches the same verdict. A record
//! is kept for [`Limits::retention`] after its attempt ended. A full ledger
//! refuses new keys and never drops a record early.

mod table;

use std::time::{Duration, SystemTime};

use xxhash_rust::xxh3::Xxh3;

use crate::id::{AccountId, AttemptId, Fingerprint, InstanceId};

pub use table::{Ledger, Record, State};

/// Limits of the ledger; equal on every replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long a record is kept after its attempt ended.
    pub retention: Duration,
    /// How long the record of a freed key, with its attempts that did not run, is kept.
    pub freed_retention: Duration,
    /// Maximum number of records.
    pub records: usize,
    /// Maximum bytes of records, including space reserved for the answers of open claims.
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(24),
            freed_retention: Duration::from_mins(10),
            records: 100_000,
            bytes: 32 << 20,
        }
    }
}

/// Number of the group that a key belongs to.
#[must_use]
pub fn group(key: &Key, groups: u32) -> u32 {
    let mut hash = Xxh3::new();
    hash.update(key.account.as_bytes());
    // No account name contains this byte, so different keys never hash the same bytes.
    hash.update(&[0]);
    hash.update(key.name.as_bytes());
    let place = hash.digest() % u64::from(groups.max(1));
    u32::try_from(place).unwrap_or(0)
}

/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Maximum time from a claim to its deadline.
pub const MAX_ATTEMPT: Duration = Duration::from_hours(1);

/// An idempotency key of one account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Key {
    /// Account that chose the key.
    pub account: AccountId,
    /// The caller's key.
    pub name: String,
}

/// A request for the right to run a call once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Key of the call.
    pub key: Key,
    /// Digest of service, route and body; a key with another digest is refused.
    pub digest: Fingerprint,
    /// Id of this attempt, so that a repeated claim is recognised.
    pub attempt: AttemptId,
    /// Daemon that claims.
    pub daemon: InstanceId,
    /// Latest end of the attempt; if still open then, its outcome becomes unknown.
    pub deadline: SystemTime,
    /// When the claim was made.
    pub at: SystemTime,
}

/// An answer stored for resends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// The whole body, at most [`MAX_STORED_BYTES`].
    pub body: Vec<u8>,
}

impl Stored {
    /// Size of the answer in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.content_type.len() + self.body.len()
    }
}

/// Maximum size of a body stored for resends, in bytes.
pub const MAX_STORED_BYTES: usize = 64 << 10;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing reached an upstream; the key is free again.
    NotRun,
    /// It ran, with this answer.
    Done(Stored),
    /// It may have run, and will not be run again.
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

/// The ledger's answer to a claim or lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This attempt holds the claim: run it.
    Run,
    /// The call already ran, with this answer.
    Stored(Stored),
    /// Another attempt holds the claim until the deadline.
    InProgress {
        /// Latest end of that attempt.
        deadline: SystemTime,
    },
    /// The call may have run, and will not be run again.
    Unknown,
    /// The key was already used with another request.
    Mismatch,
    /// The ledger is full; try again later.
    Full,
}
