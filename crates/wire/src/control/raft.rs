//! Conversions of Raft messages, entries, hard state and snapshots.

use std::sync::Arc;

use bytes::Bytes;
use citron_policy::raft::{
    Entry, Formation, HardState, Payload, Snapshot, Voters,
    message::{Append, AppendResult, Body, Chunk, LogPosition, Message},
};
use prost::Message as _;

use super::{Error, convert_all, nothing, proto, require};

/// Encodes the hard state.
#[must_use]
pub fn encode_hard(hard: &HardState) -> Vec<u8> {
    let formation = hard.formation.as_ref().map(|it| proto::Formation {
        id: it.id,
        voters: Some((&it.voters).into()),
        active: it.active,
        left: it.left.iter().map(Into::into).collect(),
        left_known: it.left_known,
    });
    let message = proto::Hard {
        term: hard.term,
        vote: hard.vote,
        formation,
    };
    message.encode_to_vec()
}

/// Decodes the output of [`encode_hard`]; no bytes are the state of a new folder.
///
/// # Errors
/// [`Error`] when the bytes are not a hard state.
pub fn decode_hard(bytes: &[u8]) -> Result<HardState, Error> {
    let message = proto::Hard::decode(bytes)?;
    let formation = message.formation.map(|it| {
        Ok::<_, Error>(Formation {
            id: it.id,
            voters: require(it.voters, "formation.voters")?.into(),
            active: it.active,
            left: it.left.into_iter().map(Into::into).collect(),
            left_known: it.left_known,
        })
    });
    Ok(HardState {
        term: message.term,
        vote: message.vote,
        formation: formation.transpose()?,
    })
}

/// Encodes a snapshot for the journal.
#[must_use]
pub fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    let message = proto::Snapshot {
        index: snapshot.index,
        term: snapshot.term,
        voters: Some((&snapshot.voters).into()),
        machine: Bytes::copy_from_slice(&snapshot.data),
    };
    message.encode_to_vec()
}

/// Decodes the output of [`encode_snapshot`].
///
/// # Errors
/// [`Error`] when the bytes are not a snapshot.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Snapshot, Error> {
    let message = proto::Snapshot::decode(bytes)?;
    Ok(Snapshot {
        index: message.index,
        term: message.term,
        voters: require(message.voters, "snapshot.voters")?.into(),
        data: Arc::from(message.machine.as_ref()),
    })
}

impl From<&Voters> for proto::Voters {
    fn from(it: &Voters) -> Self {
        Self {
            ids: it.ids().to_vec(),
            removed: it.removed(),
        }
    }
}

impl From<proto::Voters> for Voters {
    fn from(it: proto::Voters) -> Self {
        Self::new(it.ids).with_removed(it.removed)
    }
}

impl From<LogPosition> for proto::Last {
    fn from(it: LogPosition) -> Self {
        Self {
            term: it.term,
            index: it.index,
        }
    }
}

impl From<proto::Last> for LogPosition {
    fn from(it: proto::Last) -> Self {
        Self {
            term: it.term,
            index: it.index,
        }
    }
}

impl From<&Entry> for proto::Entry {
    fn from(it: &Entry) -> Self {
        use proto::entry::Payload as Wire;
        let payload = match &it.payload {
            Payload::Noop => Wire::Nothing(nothing()),
            Payload::Command(command) => Wire::Command(command.as_ref().into()),
            Payload::Voters(voters) => Wire::Voters(voters.into()),
        };
        Self {
            index: it.index,
            term: it.term,
            payload: Some(payload),
        }
    }
}

impl TryFrom<proto::Entry> for Entry {
    type Error = Error;

    fn try_from(it: proto::Entry) -> Result<Self, Error> {
        use proto::entry::Payload as Wire;
        let payload = match require(it.payload, "entry.payload")? {
            Wire::Nothing(_) => Payload::Noop,
            Wire::Command(command) => Payload::Command(Arc::new(command.try_into()?)),
            Wire::Voters(voters) => Payload::Voters(voters.into()),
        };
        Ok(Self::new(it.index, it.term, payload))
    }
}

impl TryFrom<proto::Entry> for Arc<Entry> {
    type Error = Error;

    fn try_from(it: proto::Entry) -> Result<Self, Error> {
        Entry::try_from(it).map(Arc::new)
    }
}

impl From<Message> for proto::Raft {
    fn from(it: Message) -> Self {
        Self {
            formation: it.formation,
            from: it.from,
            to: it.to,
            term: it.term,
            body: Some(it.body.into()),
        }
    }
}

impl TryFrom<proto::Raft> for Message {
    type Error = Error;

    fn try_from(it: proto::Raft) -> Result<Self, Error> {
        Ok(Self {
            formation: it.formation,
            from: it.from,
            to: it.to,
            term: it.term,
            body: require(it.body, "raft.body")?.try_into()?,
        })
    }
}

impl From<Body> for proto::raft::Body {
    fn from(it: Body) -> Self {
        match it {
            Body::Form { voters } => Self::Form((&voters).into()),
            Body::FormAnswer { accepted } => Self::FormAnswer(accepted),
            Body::PreVote(last) => Self::PreVote(last.into()),
            Body::PreVoteAnswer { granted } => Self::PreVoteAnswer(granted),
            Body::Vote(last) => Self::Vote(last.into()),
            Body::VoteAnswer { granted } => Self::VoteAnswer(granted),
            Body::Append(append) => Self::Append(append.into()),
            Body::AppendAnswer { round, result } => {
                let fit = Some(result.into());
                Self::AppendAnswer(proto::AppendAnswer { round, fit })
            }
            Body::Chunk(chunk) => Self::Chunk(chunk.into()),
            Body::ChunkAnswer {
                round,
                index,
                offset,
            } => Self::ChunkAnswer(proto::ChunkAnswer {
                round,
                index,
                offset,
            }),
        }
    }
}

impl TryFrom<proto::raft::Body> for Body {
    type Error = Error;

    fn try_from(it: proto::raft::Body) -> Result<Self, Error> {
        use proto::raft::Body as Wire;
        Ok(match it {
            Wire::Form(voters) => Self::Form {
                voters: voters.into(),
            },
            Wire::FormAnswer(accepted) => Self::FormAnswer { accepted },
            Wire::PreVote(last) => Self::PreVote(last.into()),
            Wire::PreVoteAnswer(granted) => Self::PreVoteAnswer { granted },
            Wire::Vote(last) => Self::Vote(last.into()),
            Wire::VoteAnswer(granted) => Self::VoteAnswer { granted },
            Wire::Append(append) => Self::Append(append.try_into()?),
            Wire::AppendAnswer(answer) => Self::AppendAnswer {
                round: answer.round,
                result: require(answer.fit, "append.fit")?.into(),
            },
            Wire::Chunk(chunk) => Self::Chunk(chunk.try_into()?),
            Wire::ChunkAnswer(answer) => Self::ChunkAnswer {
                round: answer.round,
                index: answer.index,
                offset: answer.offset,
            },
        })
    }
}

impl From<AppendResult> for proto::append_answer::Fit {
    fn from(it: AppendResult) -> Self {
        match it {
            AppendResult::Matched(index) => Self::Matched(index),
            AppendResult::Mismatch { prev_index, hint } => {
                Self::Gap(proto::Gap { prev_index, hint })
            }
        }
    }
}

impl From<proto::append_answer::Fit> for AppendResult {
    fn from(it: proto::append_answer::Fit) -> Self {
        match it {
            proto::append_answer::Fit::Matched(index) => Self::Matched(index),
            proto::append_answer::Fit::Gap(gap) => Self::Mismatch {
                prev_index: gap.prev_index,
                hint: gap.hint,
            },
        }
    }
}

impl From<Append> for proto::Append {
    fn from(it: Append) -> Self {
        Self {
            round: it.round,
            prev_index: it.prev_index,
            prev_term: it.prev_term,
            entries: it.entries.iter().map(|it| it.as_ref().into()).collect(),
            commit: it.commit,
        }
    }
}

impl TryFrom<proto::Append> for Append {
    type Error = Error;

    fn try_from(it: proto::Append) -> Result<Self, Error> {
        let entries: Vec<Arc<Entry>> = convert_all(it.entries)?;
        let mut expected = it.prev_index;
        for entry in &entries {
            expected = expected.saturating_add(1);
            if entry.index != expected {
                let field = "append.entries";
                return Err(Error::Range { field });
            }
        }
        Ok(Self {
            round: it.round,
            prev_index: it.prev_index,
            prev_term: it.prev_term,
            entries,
            commit: it.commit,
        })
    }
}

impl From<Chunk> for proto::Chunk {
    fn from(it: Chunk) -> Self {
        Self {
            round: it.round,
            index: it.index,
            last_term: it.last_term,
            voters: Some((&it.voters).into()),
            total: it.total,
            offset: it.offset,
            data: it.data.into(),
        }
    }
}

impl TryFrom<proto::Chunk> for Chunk {
    type Error = Error;

    fn try_from(it: proto::Chunk) -> Result<Self, Error> {
        Ok(Self {
            round: it.round,
            index: it.index,
            last_term: it.last_term,
            voters: require(it.voters, "chunk.voters")?.into(),
            total: it.total,
            offset: it.offset,
            data: it.data.into(),
        })
    }
}
