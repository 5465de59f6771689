//! Messages between replicas.

use std::sync::Arc;

use crate::id::{Index, ReplicaId, Term};

use super::{Entry, Voters};

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Formation that the sender belongs to.
    pub formation: u64,
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// The sender's term; in a pre-vote, the term that it would campaign in.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Asks for a promise to join the sender's formation and no other.
    Form {
        /// Initial voters of the formation.
        voters: Voters,
    },
    /// Answers a request for a promise.
    FormAnswer {
        /// Whether the promise was given to this formation.
        accepted: bool,
    },
    /// Asks whether a vote would be granted, without raising the term.
    PreVote(LogPosition),
    /// Answers a pre-vote.
    PreVoteAnswer {
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote(LogPosition),
    /// Answers a request for a vote.
    VoteAnswer {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append(Append),
    /// Answers an append.
    AppendAnswer {
        /// Quorum round of the message that it answers.
        round: u64,
        /// Whether the log matched.
        result: AppendResult,
    },
    /// Part of a snapshot.
    Chunk(Chunk),
    /// Answers part of a snapshot.
    ChunkAnswer {
        /// Quorum round of the message that it answers.
        round: u64,
        /// Index of the snapshot.
        index: Index,
        /// Bytes of the snapshot that the replica holds.
        offset: u64,
    },
}

/// Position of an entry in the log, such as the last one of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// Term of the entry; compared first, as elections require.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// Entries from a leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// Quorum round that an answer confirms.
    pub round: u64,
    /// Index of the entry before these.
    pub prev_index: Index,
    /// Term of the entry before these.
    pub prev_term: Term,
    /// The entries.
    pub entries: Vec<Arc<Entry>>,
    /// The leader's commit index.
    pub commit: Index,
}

/// Result of an append on the receiver's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The log is durable and equal to the leader's up to this index.
    Matched(Index),
    /// The entry before the appended ones differs or is missing.
    Mismatch {
        /// `prev_index` of the append.
        prev_index: Index,
        /// Highest index at which the logs may agree.
        hint: Index,
    },
}

/// A part of a snapshot, sent by a leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Quorum round that an answer confirms.
    pub round: u64,
    /// Last index that the snapshot covers.
    pub index: Index,
    /// Term of that index.
    pub last_term: Term,
    /// Voters at that index.
    pub voters: Voters,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
    /// Offset of this part in bytes.
    pub offset: u64,
    /// Content of this part.
    pub data: Vec<u8>,
}
