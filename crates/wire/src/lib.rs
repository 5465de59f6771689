//! Messages between daemons, and their framing.
//!
//! The types in [`generated`] come from the schemas under `proto/`; the other
//! modules convert them to the policy's own types and back, and refuse invalid
//! values. A daemon refuses a frame with an unknown version, cluster name or
//! length: a partly understood message is worse than none.

pub mod admin;
pub mod codec;
pub mod control;
pub mod duty;
pub mod feed;
pub mod generated;
pub mod member;
pub mod scale;
pub mod slot;
pub mod status;

/// Version of all message formats in this crate.
pub const VERSION: u32 = 1;

/// Largest frame on a peer connection, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Largest datagram, in bytes; fits an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

pub use generated::frame::{Frame, frame::Body};
