//! What daemons tell one another about membership.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{Incarnation, InstanceId, Revision},
    member::Member,
};

/// Bytes of records and changing fields in one datagram; the rest is its head.
pub const MAX_CONTENT_BYTES: usize = 1_150;

/// Upper bound of an encoded [`Vital`].
pub(super) const MAX_VITAL_BYTES: usize = 36;

/// Upper bound of an encoded record without its names and addresses.
const RECORD_BASE_BYTES: usize = 44;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Sender.
    pub from: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// What it is.
    pub kind: Kind,
    /// Whether the receiver is to send its own record.
    pub want: bool,
    /// Records of any instances; their changing fields do not count.
    pub records: Vec<Member>,
    /// Changing fields of any instances.
    pub vitals: Vec<Vital>,
}

/// What a datagram is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Are you there?
    Ping {
        /// Number of the probe.
        seq: u32,
    },
    /// Yes; also passed on by one that was asked to probe.
    Ack {
        /// Number of the probe.
        seq: u32,
    },
    /// The instance that was to be probed did not answer.
    Nack {
        /// Number of the probe.
        seq: u32,
    },
    /// Probe another instance for the sender.
    Ask {
        /// Number of the probe.
        seq: u32,
        /// Instance to probe.
        target: InstanceId,
    },
    /// Only news.
    Gossip,
    /// Sums of the sender's table, one for each range of name hashes.
    Digest {
        /// Sums in the order of the ranges.
        buckets: Vec<u64>,
    },
    /// All records of the sender whose name hash lies in a range.
    Range {
        /// First hash of the range.
        low: u64,
        /// Last hash of the range.
        high: u64,
        /// Whether the receiver is to send what it knows better.
        reply: bool,
    },
}

impl Kind {
    /// Upper bound of the encoded bytes.
    pub(super) fn max_payload_len(&self) -> usize {
        match self {
            Self::Ask { target, .. } => 16 + target.len(),
            Self::Digest { buckets } => 8 + buckets.len() * 8,
            _ => 0,
        }
    }
}

/// The changing fields of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vital {
    /// Hash of the instance's name.
    pub subject: u64,
    /// When the subject said so, by its own clock; a later one counts.
    pub stamp: u64,
    /// Catalogue revision in force there.
    pub revision: Revision,
    /// Requests in hand there.
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
