//! Errors of the journal; each message names the remedy.

use std::io;

use derive_more::{Display, Error};

use crate::{Index, ReplicaId};

/// Why a journal operation failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The disk failed or is full.
    #[display(
        "journal: {step} {file:?} failed: {source}: free or replace the disk, then restart this \
         daemon; if the disk is lost, start with an empty data folder and run `citronctl \
         replace-replica OLD NEW`"
    )]
    Io {
        /// Operation that failed.
        step: &'static str,
        /// File that it applied to.
        file: String,
        /// Error from the operating system.
        source: io::Error,
    },
    /// Synced data does not read back as it was written.
    #[display(
        "journal: file {file:?} is damaged at byte {offset}: {reason}: do not edit it; move the \
         data folder away, start with an empty one and run `citronctl replace-replica OLD NEW`"
    )]
    Damaged {
        /// Damaged file.
        file: String,
        /// Offset at which the damage begins, in bytes.
        offset: u64,
        /// What is wrong at the offset.
        reason: &'static str,
    },
    /// A file that must exist does not.
    #[display(
        "journal: {file} is missing: put the data folder back as it was, or start with an empty \
         one and run `citronctl replace-replica OLD NEW`"
    )]
    Missing {
        /// Which file is missing.
        file: String,
    },
    /// A file belongs to another replica.
    #[display(
        "journal: file {file:?} belongs to replica {theirs:016x}, this folder to {ours:016x}: give \
         each daemon a data folder of its own and never copy files between them"
    )]
    Foreign {
        /// File at fault.
        file: String,
        /// Replica named in it.
        theirs: ReplicaId,
        /// Replica of the folder.
        ours: ReplicaId,
    },
    /// The files have a format that this program does not know.
    #[display(
        "journal: file {file:?} has format {found}, this program reads format {known}: start the \
         program version that wrote the folder"
    )]
    Format {
        /// File at fault.
        file: String,
        /// Format found.
        found: u32,
        /// Format known here.
        known: u32,
    },
    /// Another process holds the lock on the folder.
    #[display(
        "journal: another process uses this data folder: stop it, or give each daemon a folder of \
         its own"
    )]
    Locked,
    /// An earlier write or sync failed, so the disk's content is unknown.
    #[display(
        "journal: stopped by an earlier write or sync failure: mend the disk, then restart this \
         daemon"
    )]
    Stopped,
    /// A record's index does not continue the log.
    #[display(
        "journal: record {found} does not fit: indexes {first} to {next} do: this is a bug, please \
         report it"
    )]
    Gap {
        /// First index that may be written.
        first: Index,
        /// Index after the last record.
        next: Index,
        /// Index given.
        found: Index,
    },
    /// A batch or snapshot is over its limit.
    #[display("journal: {bytes} bytes at once are over the limit of {limit}: write smaller parts")]
    TooLarge {
        /// Bytes given.
        bytes: usize,
        /// Most bytes allowed.
        limit: usize,
    },
}

impl Error {
    /// Whether the disk was full, so that the folder can be reopened once there is space.
    ///
    /// Includes a failed sync: what it covered is dropped or written again when the folder
    /// is opened.
    #[must_use]
    pub fn is_full(&self) -> bool {
        match self {
            Self::Io { source, .. } => {
                let full = [io::ErrorKind::StorageFull, io::ErrorKind::QuotaExceeded];
                full.contains(&source.kind())
            }
            _ => false,
        }
    }
}
