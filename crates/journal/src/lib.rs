//! The durable log and snapshots of one control replica.
//!
//! A folder contains an identity file, a sequence of log segments and one
//! snapshot. Everything staged since the last sync is written as one frame with
//! a checksum, so a crash can tear at most the last frame. After each sync an
//! unsynced marker is written after the frame. A bad frame before any marker was
//! synced once and is therefore damage; a bad frame with no marker after it is
//! the torn tail that a crash may leave.
//!
//! A torn tail is truncated. Any other data that does not read back as it was
//! written makes opening fail with an error that names the remedy. After a
//! failed write or sync the disk's content is unknown, so the journal refuses
//! every later call instead of retrying.

pub mod files;

mod error;
mod frame;
mod identity;
mod journal;
mod recover;
mod segment;
mod snapshot;

pub use error::Error;
pub use files::{Disk, Files};
pub use journal::{Journal, Record, Recovered, Settings, Snapshot};

/// Random identity of one data folder.
pub type ReplicaId = u64;

/// Position of a record in the log, starting at one.
pub type Index = u64;
