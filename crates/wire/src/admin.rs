//! JSON bodies of the operators' interface, the same for daemon and tool.
//!
//! A change travels as [`citron_policy::catalogue::Change`].

use std::net::SocketAddr;

use citron_policy::{
    catalogue::{Entry, Key},
    id::{DomainId, Index, InstanceId, OperatorId, ReplicaId, Revision, Term},
    member::State,
};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Hex digits of a replica's identity.
const REPLICA_DIGITS: usize = 16;

/// A change was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision that it led to.
    pub revision: Revision,
}

/// The catalogue in force on the daemon that was asked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Its revision.
    pub revision: Revision,
    /// Every entry.
    pub entries: Vec<Entry>,
}

/// Who changed an entry since the base of a refused change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// Entry that was changed.
    pub key: Key,
    /// Operator who changed it.
    pub operator: OperatorId,
    /// Change that did it.
    pub change: String,
    /// Revision that it led to.
    pub revision: Revision,
}

/// What went wrong, by kinds that programs may rely on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The request is malformed, has no such path, or names nothing known.
    #[display("request")]
    Request,
    /// No valid operator token came with the request.
    #[display("token")]
    Token,
    /// The base is not the current revision.
    #[display("conflict")]
    Conflict,
    /// The change id was used with another body.
    #[display("change-id")]
    ChangeId,
    /// The change does not fit the catalogue.
    #[display("invalid")]
    Invalid,
    /// Nothing was done; another try may succeed.
    #[display("unavailable")]
    Unavailable,
    /// It may have been done.
    #[display("unknown")]
    Unknown,
    /// The state of the replicas does not allow it.
    #[display("refused")]
    Refused,
}

/// An error, sent as `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Short name of the kind of error, as a URN.
    #[serde(rename = "type")]
    pub name: String,
    /// The same for programs.
    pub kind: Kind,
    /// HTTP status.
    pub status: u16,
    /// What happened and what to do.
    pub detail: String,
    /// Current revision, of a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Revision>,
    /// Who changed what since the base, of a conflict.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub authors: Vec<Author>,
}

/// How one daemon stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// How it stands.
    pub state: State,
    /// Catalogue revision in force there when it last said so.
    pub revision: Revision,
    /// Requests in hand there when it last said so.
    pub load: u32,
    /// Whether it holds proof that its catalogue is current.
    pub current: bool,
    /// Identity of its data folder, if it is a control replica.
    pub replica: Option<String>,
}

/// How one control replica stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Instance that it runs on.
    pub instance: InstanceId,
    /// Identity of its data folder.
    pub replica: String,
    /// Whether the cluster has been formed, as far as it knows.
    pub formed: bool,
    /// `leader`, `follower` or `learner`.
    pub role: String,
    /// Whether it counts, as far as it knows.
    pub voter: bool,
    /// Its term.
    pub term: Term,
    /// Index of its last entry.
    pub last: Index,
    /// Index of its last committed entry.
    pub commit: Index,
}

/// The cluster as the daemon that was asked sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon that was asked.
    pub instance: InstanceId,
    /// Catalogue revision in force there.
    pub revision: Revision,
    /// Instance of the control log's leader.
    pub leader: Option<InstanceId>,
    /// Every known daemon.
    pub members: Vec<Member>,
    /// Every control replica that answered.
    pub replicas: Vec<Replica>,
    /// Identities that count for a quorum.
    pub voters: Vec<String>,
}

/// A daemon where a revision is not in force, or not known to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lagging {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Revision in force there, if it answered.
    pub revision: Option<Revision>,
    /// Why it is not known to be in force, with the remedy.
    pub reason: String,
}

/// Where a revision is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Propagation {
    /// Revision that was asked for.
    pub revision: Revision,
    /// Live daemons where it is in force.
    pub in_force: Vec<InstanceId>,
    /// Live daemons where it is not, or not known to be.
    pub lagging: Vec<Lagging>,
}

/// One numbered event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number in the event catalogue.
    pub code: String,
    /// Request that it concerns, in hex.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Catalogue entries that it concerns.
    pub entries: Vec<Key>,
    /// What happened, in words.
    pub text: String,
    /// When it happened, in milliseconds since 1970.
    pub at_ms: u64,
}

/// An event with the daemon that saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEvent {
    /// Name of the instance.
    pub instance: InstanceId,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// A catalogue entry that is involved, and who answers for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedEntry {
    /// The entry.
    pub key: Key,
    /// Team or person who answers for it; none if it does not exist now.
    pub owner: Option<String>,
}

/// What happened to a request or around an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Entries involved, with their owners.
    pub involved: Vec<OwnedEntry>,
    /// Entries that depend on the one asked about.
    pub affected: Vec<OwnedEntry>,
    /// Events of all daemons by time.
    pub events: Vec<InstanceEvent>,
    /// Older events that were left out.
    pub omitted: u32,
    /// Live daemons that did not answer.
    pub silent: Vec<Lagging>,
}

/// Asks to form the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Init {
    /// Instances whose data folders count from the start.
    pub instances: Vec<InstanceId>,
}

/// Asks to let one replica count in place of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replace {
    /// Identity whose disk is lost.
    pub old: String,
    /// Identity of the new data folder.
    pub new: String,
}

/// It was done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {}

/// A text that is no replica's identity.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{text:?} is no replica: use the 16 hex digits that `citronctl status` prints")]
pub struct InvalidReplica {
    /// The text.
    pub text: String,
}

/// A replica's identity as operators see it.
#[must_use]
pub fn format_replica(replica: ReplicaId) -> String {
    format!("{replica:016x}")
}

/// Reads a replica's identity.
///
/// # Errors
/// The text is not 16 hex digits.
pub fn parse_replica(text: &str) -> Result<ReplicaId, InvalidReplica> {
    let digits = text.len() == REPLICA_DIGITS && text.bytes().all(|it| it.is_ascii_hexdigit());
    let parsed = u64::from_str_radix(text, 16).ok().filter(|_| digits);
    parsed.ok_or_else(|| InvalidReplica {
        text: text.to_owned(),
    })
}
