//! Outcomes of calls to the control log and their wire format.

use citron_policy::{id::ReplicaId, lease, raft::Refusal};
use citron_wire::{control, generated::control as proto};

use super::{Error, Role, Status};

/// The replica is not the leader and did not execute the request.
pub(super) const NOT_LEADER: u32 = 0;

/// The replica may have executed the request.
pub(super) const UNSURE: u32 = 1;

const BUSY: u32 = 2;
const TOO_LARGE: u32 = 3;
const REFUSED: u32 = 4;

pub(super) fn not_leader(leader: Option<ReplicaId>) -> proto::message::Body {
    failure(proto::Failure {
        kind: NOT_LEADER,
        leader,
        ..proto::Failure::default()
    })
}

pub(super) fn unsure() -> proto::message::Body {
    failure(proto::Failure {
        kind: UNSURE,
        ..proto::Failure::default()
    })
}

pub(super) fn busy() -> proto::message::Body {
    failure(proto::Failure {
        kind: BUSY,
        ..proto::Failure::default()
    })
}

pub(super) fn refused(reason: String) -> proto::message::Body {
    failure(proto::Failure {
        kind: REFUSED,
        reason,
        ..proto::Failure::default()
    })
}

/// The answer to a caller whose request the log refused.
pub(super) fn from_refusal(refusal: &Refusal) -> proto::message::Body {
    match refusal {
        Refusal::NotLeader { leader } => not_leader(*leader),
        Refusal::Busy => busy(),
        Refusal::TooLarge { bytes, limit } => failure(proto::Failure {
            kind: TOO_LARGE,
            bytes: *bytes as u64,
            limit: *limit as u64,
            ..proto::Failure::default()
        }),
        Refusal::AlreadyFormed => {
            refused("the cluster was formed before: add replicas with replace-replica".to_owned())
        }
        Refusal::Promised { replica } => refused(format!(
            "replica {replica:016x} is promised to another formation: empty its data folder and restart it"
        )),
        Refusal::InvalidVoters => {
            refused("name one to seven different replicas, the asked one among them".to_owned())
        }
        Refusal::NotVoter { replica } => refused(format!(
            "replica {replica:016x} does not count: see the voters in `citronctl status`"
        )),
        Refusal::Behind { replica, entries } => refused(format!(
            "replica {replica:016x} lacks {entries} entries: wait until it has caught up and try again"
        )),
    }
}

/// The outcome of a request from the leader's final answer.
///
/// `unsure` says that another attempt may have been executed.
pub(super) fn resolve(
    body: proto::message::Body,
    unsure: bool,
) -> Result<proto::message::Body, Error> {
    let proto::message::Body::Failure(failure) = body else {
        return Ok(body);
    };
    // An earlier attempt may be in the log, whatever the result of this one.
    if unsure {
        return Err(Error::Unsure);
    }
    Err(error_of(failure))
}

/// Expects the plain confirmation of a request that returns no value.
pub(super) fn done(body: proto::message::Body) -> Result<(), Error> {
    match body {
        proto::message::Body::Done(_) => Ok(()),
        proto::message::Body::Failure(failure) => Err(error_of(failure)),
        _ => Err(mismatched()),
    }
}

/// Error for an answer that cannot be decoded.
pub(super) fn invalid(error: &control::Error) -> Error {
    Error::Refused {
        reason: error.to_string(),
    }
}

/// Error for an answer of another type than the request calls for.
pub(super) fn mismatched() -> Error {
    Error::Refused {
        reason: "the leader answered another question: check that all daemons run one version"
            .to_owned(),
    }
}

fn failure(failure: proto::Failure) -> proto::message::Body {
    proto::message::Body::Failure(failure)
}

fn error_of(failure: proto::Failure) -> Error {
    match failure.kind {
        NOT_LEADER => Error::NoLeader,
        UNSURE => Error::Unsure,
        BUSY => Error::Busy,
        TOO_LARGE => Error::TooLarge {
            bytes: usize::try_from(failure.bytes).unwrap_or(usize::MAX),
            limit: usize::try_from(failure.limit).unwrap_or(usize::MAX),
        },
        _ => Error::Refused {
            reason: failure.reason,
        },
    }
}

const FOLLOWER: u32 = 0;
const LEADER: u32 = 1;
const LEARNER: u32 = 2;

impl From<Status> for proto::Status {
    fn from(it: Status) -> Self {
        Self {
            replica: it.replica,
            formed: it.formed,
            role: match it.role {
                Role::Follower => FOLLOWER,
                Role::Leader => LEADER,
                Role::Learner => LEARNER,
            },
            term: it.term,
            leader: it.leader,
            voters: it.voters,
            last: it.last,
            commit: it.commit,
            duties: it.duties,
            lease: it.lease.as_ref().map(proto::Lease::from),
            fixed: it.fixed,
        }
    }
}

impl From<proto::Status> for Status {
    fn from(it: proto::Status) -> Self {
        Self {
            replica: it.replica,
            formed: it.formed,
            role: match it.role {
                LEADER => Role::Leader,
                LEARNER => Role::Learner,
                _ => Role::Follower,
            },
            term: it.term,
            leader: it.leader,
            voters: it.voters,
            last: it.last,
            commit: it.commit,
            duties: it.duties,
            lease: it.lease.map(lease::Record::from),
            fixed: it.fixed,
        }
    }
}
