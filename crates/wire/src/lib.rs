//! Messages between daemons, and how they are framed.
//!
//! The types in [`generated`] come from the schemas under `proto/`; the other
//! modules convert them to the policy's own types and back, refusing what does
//! not make sense. A daemon that meets a version, a cluster name or a length
//! that it does not know refuses the frame: half-understood messages are worse
//! than none.

pub mod admin;
pub mod codec;
pub mod control;
pub mod feed;
pub mod generated;
pub mod member;
pub mod slot;
pub mod status;

/// Version of every message format here.
pub const VERSION: u32 = 1;

/// Largest frame on a peer connection, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Largest datagram, in bytes; fits an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

pub use generated::frame::{Frame, frame::Body};
