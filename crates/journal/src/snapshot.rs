//! Snapshot files: a header with a checksum, then the data.

use crate::{Error, Index, ReplicaId, Snapshot, frame, segment::FORMAT};

/// File name of a snapshot until it is complete and synced.
pub(crate) const TEMPORARY: &str = "snapshot.tmp";

/// Prefix of a snapshot's file name.
const PREFIX: &str = "snapshot-";

/// First bytes of the file.
const MAGIC: &[u8; 8] = b"citronsn";

/// Bytes before the data.
const HEADER_BYTES: usize = 40;

/// File name of the snapshot at an index.
pub(crate) fn name(index: Index) -> String {
    format!("{PREFIX}{index:016x}")
}

/// Index of the snapshot with this file name.
pub(crate) fn index(name: &str) -> Option<Index> {
    let digits = name.strip_prefix(PREFIX)?;
    let index = u64::from_str_radix(digits, 16).ok()?;
    (self::name(index) == name).then_some(index)
}

/// A snapshot as read from its file.
#[derive(Debug)]
pub(crate) struct Stored {
    /// Index and data.
    pub(crate) snapshot: Snapshot,
    /// Records of segments before this one are invalid.
    pub(crate) first_segment: u64,
}

/// Encodes a snapshot file.
pub(crate) fn encode(replica: ReplicaId, index: Index, first_segment: u64, data: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + data.len());
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes.extend_from_slice(&[0; 4]);
    bytes.extend_from_slice(&replica.to_le_bytes());
    bytes.extend_from_slice(&index.to_le_bytes());
    bytes.extend_from_slice(&first_segment.to_le_bytes());
    bytes.extend_from_slice(data);
    let sum = checksum(&bytes);
    bytes[12..16].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// Decodes the snapshot file at index `at`.
///
/// # Errors
/// The file is damaged, has another format or belongs to another replica.
pub(crate) fn decode(ours: ReplicaId, at: Index, bytes: &[u8]) -> Result<Stored, Error> {
    let file = name(at);
    let damaged = || Error::Damaged {
        file: name(at),
        offset: 0,
        reason: "the snapshot has a wrong checksum",
    };
    let number = |offset| frame::u64_at(bytes, offset).ok_or_else(damaged);
    let format = frame::u32_at(bytes, 8).ok_or_else(damaged)?;
    let sum = frame::u32_at(bytes, 12).ok_or_else(damaged)?;
    if !bytes.starts_with(MAGIC) || checksum(bytes) != sum {
        return Err(damaged());
    }
    if format != FORMAT {
        let (found, known) = (format, FORMAT);
        return Err(Error::Format { file, found, known });
    }
    let (theirs, index, first_segment) = (number(16)?, number(24)?, number(32)?);
    if theirs != ours {
        return Err(Error::Foreign { file, theirs, ours });
    }
    if index != at {
        return Err(damaged());
    }
    let data = bytes.get(HEADER_BYTES..).ok_or_else(damaged)?.to_vec();
    Ok(Stored {
        snapshot: Snapshot { index, data },
        first_segment,
    })
}

/// Checksum of the file without the checksum field.
fn checksum(bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(bytes.get(..12).unwrap_or_default());
    hasher.update(bytes.get(16..).unwrap_or_default());
    hasher.finalize()
}
