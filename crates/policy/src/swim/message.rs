//! Messages of the membership protocol.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{Incarnation, InstanceId, Revision},
    member::Member,
};

/// Bytes of records and vitals in one datagram; the rest is for its header.
pub const MAX_CONTENT_BYTES: usize = 1_150;

/// Upper bound of an encoded [`Vital`], in bytes.
pub(super) const MAX_VITAL_BYTES: usize = 36;

/// Upper bound of an encoded record without its names and addresses, in bytes.
const RECORD_BASE_BYTES: usize = 44;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Sender.
    pub from: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Type and payload.
    pub kind: Kind,
    /// Whether the sender asks for the receiver's own record.
    pub want: bool,
    /// Records of any instances; their revision, load and currency are ignored.
    pub records: Vec<Member>,
    /// Vitals of any instances.
    pub vitals: Vec<Vital>,
}

/// Type and payload of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Probe.
    Ping {
        /// Number of the probe.
        seq: u32,
    },
    /// Answer to a probe; a proxy forwards it to the daemon that asked.
    Ack {
        /// Number of the probe.
        seq: u32,
    },
    /// Report of a proxy that its target did not answer.
    Nack {
        /// Number of the probe.
        seq: u32,
    },
    /// Request for an indirect probe (SWIM's ping-req).
    Ask {
        /// Number of the probe.
        seq: u32,
        /// Instance to probe.
        target: InstanceId,
    },
    /// Carries only records and vitals.
    Gossip,
    /// Checksums of the sender's table, one for each range of name hashes.
    Digest {
        /// Checksums in the order of the ranges.
        buckets: Vec<u64>,
    },
    /// All records of the sender whose name hash lies in a range.
    Range {
        /// First hash of the range.
        low: u64,
        /// Last hash of the range.
        high: u64,
        /// Whether the receiver should return its newer records.
        reply: bool,
    },
}

impl Kind {
    /// Upper bound of its encoded bytes beyond those that the header has room for.
    pub(super) fn max_payload_len(&self) -> usize {
        match self {
            Self::Ask { target, .. } => 16 + target.len(),
            Self::Digest { buckets } => 8 + buckets.len() * 8,
            _ => 0,
        }
    }
}

/// Frequently changing fields of an instance, gossiped apart from its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vital {
    /// Hash of the instance's name.
    pub subject: u64,
    /// Time of the values by the subject's clock, in milliseconds; the latest wins.
    pub stamp: u64,
    /// Catalogue revision in force there.
    pub revision: Revision,
    /// Requests in progress there.
    pub load: u32,
    /// Whether it holds proof that its catalogue is current.
    pub current: bool,
}

/// Hash of an instance's name, the same on every daemon.
#[must_use]
pub fn hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Upper bound of a record's encoded bytes.
pub(super) fn max_encoded_len(member: &Member) -> usize {
    RECORD_BASE_BYTES
        + member.id.len()
        + member.domain.len()
        + max_address_len(&member.peer)
        + max_address_len(&member.callers)
}

fn max_address_len(address: &SocketAddr) -> usize {
    match address {
        SocketAddr::V4(_) => 12,
        SocketAddr::V6(_) => 24,
    }
}
