//! Identity file of a replica's folder: a random number that is never reused.

use crate::{Error, ReplicaId, frame, segment::FORMAT};

/// File name of the identity.
pub(crate) const NAME: &str = "replica";

/// First bytes of the file.
const MAGIC: &[u8; 8] = b"citronid";

/// Bytes before the checksum.
const BODY_BYTES: usize = 20;

/// Encodes the identity file.
pub(crate) fn encode(id: ReplicaId) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes.extend_from_slice(&id.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

/// Decodes the identity file.
///
/// # Errors
/// The file is damaged or has another format.
pub(crate) fn decode(bytes: &[u8]) -> Result<ReplicaId, Error> {
    let damaged = || Error::Damaged {
        file: NAME.to_owned(),
        offset: 0,
        reason: "the replica's identity has a wrong checksum",
    };
    let body = bytes.get(..BODY_BYTES).ok_or_else(damaged)?;
    let sum = frame::u32_at(bytes, BODY_BYTES).ok_or_else(damaged)?;
    let whole = bytes.len() == BODY_BYTES + 4 && body.starts_with(MAGIC);
    if !whole || crc32fast::hash(body) != sum {
        return Err(damaged());
    }
    let format = frame::u32_at(body, 8).ok_or_else(damaged)?;
    if format != FORMAT {
        return Err(Error::Format {
            file: NAME.to_owned(),
            found: format,
            known: FORMAT,
        });
    }
    frame::u64_at(body, 12).ok_or_else(damaged)
}
