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
    /// The sender's term; of a pre-vote, the term that it would campaign in.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Asks for a promise to belong to one formation only.
    Form {
        /// Replicas that are to count.
        voters: Voters,
    },
    /// Whether the promise was given.
    FormAnswer {
        /// Given to this formation.
        accepted: bool,
    },
    /// Asks whether a campaign would be answered with votes.
    PreVote(LogPosition),
    /// Answers a pre-vote.
    PreVoteAnswer {
        /// Whether a vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote(LogPosition),
    /// Answers a request for a vote.
    VoteAnswer {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries, or a heartbeat without any.
    Append(Append),
    /// Answers entries.
    AppendAnswer {
        /// Round of the message that it answers.
        round: u64,
        /// How the entries fitted.
        result: AppendResult,
    },
    /// Part of a snapshot.
    Chunk(Chunk),
    /// Answers part of a snapshot.
    ChunkAnswer {
        /// Round of the message that it answers.
        round: u64,
        /// Index of the snapshot.
        index: Index,
        /// Bytes that the replica has.
        offset: u64,
    },
}

/// The end of a candidate's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// Term of the last entry; compared first.
    pub term: Term,
    /// Index of the last entry.
    pub index: Index,
}

/// Entries from a leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// Quorum round that an answer confirms.
    pub round: u64,
    /// Index before the entries.
    pub prev_index: Index,
    /// Term of that index.
    pub prev_term: Term,
    /// The entries.
    pub entries: Vec<Arc<Entry>>,
    /// Last committed index.
    pub commit: Index,
}

/// How entries fitted a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The log equals the leader's up to here, and is durable.
    Matched(Index),
    /// The entry before them differs or is missing.
    Mismatch {
        /// Index that was asked for.
        prev_index: Index,
        /// Where the logs may still agree.
        hint: Index,
    },
}

/// Part of a snapshot from a leader.
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
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// Where the part begins.
    pub offset: u64,
    /// The part.
    pub data: Vec<u8>,
}
