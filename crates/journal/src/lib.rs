//! The durable log and snapshots of one control replica.
//!
//! A folder holds an identity file, a run of log segments and one snapshot.
//! Everything staged since the last sync goes to the disk as one frame with a
//! checksum, so at most the last frame can be torn by a crash. After each sync
//! an unsynced marker follows the frame: a bad frame in front of any marker was
//! synced once and is therefore damage, while a bad frame without one is the
//! torn tail that a crash may leave.
//!
//! A journal never guesses. A torn tail is cut; anything else that does not
//! read back as it was written stops the start with an error that names the
//! remedy. After a failed write or sync nobody knows what the disk holds, so
//! the journal refuses every later call instead of trying again.

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

/// Position of a record in the log, from one.
pub type Index = u64;
