//! Encoding of a segment's frames: length, checksum, body and sync marker.
//!
//! Checksum and marker also cover the segment number and the offset, so that a
//! frame's bytes are not accepted at any other position.

/// Bytes of the length and checksum before a body.
pub(crate) const HEADER_BYTES: usize = 8;

/// Bytes of the sync marker after a body.
pub(crate) const MARKER_BYTES: usize = 8;

/// Largest body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 << 20;

/// Hashed into every marker to distinguish it from a checksum.
const MARKER_SEED: &[u8] = b"citronpond synced";

/// Encodes a frame with a body at `offset`.
pub(crate) fn encode(segment: u64, offset: u64, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(segment, offset, length, body).to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Body of the frame at `offset`, if it is complete and undamaged.
pub(crate) fn decode(segment: u64, bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let rest = bytes.get(offset..)?;
    let length = u32_at(rest, 0)?;
    let sum = u32_at(rest, 4)?;
    let size = usize::try_from(length).ok()?;
    let body = rest.get(HEADER_BYTES..HEADER_BYTES.checked_add(size)?)?;
    (checksum(segment, offset as u64, length, body) == sum).then_some(body)
}

/// Marker written at `offset` after everything before it was synced.
pub(crate) fn marker(segment: u64, offset: u64) -> [u8; MARKER_BYTES] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(MARKER_SEED);
    hasher.update(&segment.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    let low = hasher.clone().finalize();
    hasher.update(&low.to_le_bytes());
    let high = !hasher.finalize();
    (u64::from(high) << 32 | u64::from(low)).to_le_bytes()
}

/// Whether there is a marker at or after `offset`.
pub(crate) fn marker_follows(segment: u64, bytes: &[u8], offset: usize) -> bool {
    let windows = bytes.windows(MARKER_BYTES).enumerate().skip(offset);
    windows
        .into_iter()
        .any(|(at, window)| window == marker(segment, at as u64))
}

fn checksum(segment: u64, offset: u64, length: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&segment.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Little-endian number at an offset.
pub(crate) fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    let part = bytes.get(at..at.checked_add(4)?)?;
    part.try_into().ok().map(u32::from_le_bytes)
}

/// Little-endian number at an offset.
pub(crate) fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    let part = bytes.get(at..at.checked_add(8)?)?;
    part.try_into().ok().map(u64::from_le_bytes)
}
