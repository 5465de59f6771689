//! The at-most-once ledger: which idempotency keys were claimed, and how each
//! claim ended.
//!
//! A key is claimed in the control log before the first byte of the call goes
//! upstream, and settled after. At most one attempt per key is ever told to
//! run, unless the one before was settled as not run. Time is the latest stamp
//! of any command, so that every replica comes to the same verdict. A record is
//! kept for [`Limits::retention`] after its attempt ended; a ledger that is full
//! refuses new keys and never drops a record early.

mod table;

use std::time::{Duration, SystemTime};

use xxhash_rust::xxh3::Xxh3;

use crate::id::{AccountId, AttemptId, Fingerprint, InstanceId};

pub use table::{Ledger, Record, State};

/// Bounds of the ledger; equal on every replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long a record is kept after its attempt ended.
    pub retention: Duration,
    /// How long a freed key remembers the attempts that did not run.
    pub freed_retention: Duration,
    /// Most records.
    pub records: usize,
    /// Most bytes of records, room for the answers of open claims included.
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
    // No account name holds this byte, so no two keys run together.
    hash.update(&[0]);
    hash.update(key.name.as_bytes());
    let place = hash.digest() % u64::from(groups.max(1));
    u32::try_from(place).unwrap_or(0)
}

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Longest time from a claim to its deadline.
pub const MAX_ATTEMPT: Duration = Duration::from_hours(1);

/// An idempotency key, which belongs to one account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
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

impl Stored {
    /// Bytes that the answer takes up.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.content_type.len() + self.body.len()
    }
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
