//! JSON bodies of the operator API, shared by the daemon and `citronctl`.
//!
//! A change is sent as [`citron_policy::catalogue::Change`].

use std::net::SocketAddr;

use citron_policy::{
    catalogue::{Entry, Key},
    id::{
        DomainId, FencingToken, Index, InstanceId, OperatorId, ReplicaId, Revision, Term, WindowId,
    },
    member::State,
};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Largest request body, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Hex digits of a replica's identity.
const REPLICA_DIGITS: usize = 16;

/// Answer to an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Resulting revision.
    pub revision: Revision,
}

/// The catalogue in force on the queried daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Its revision.
    pub revision: Revision,
    /// Every entry.
    pub entries: Vec<Entry>,
}

/// Author of an entry changed since the base of a refused change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// Changed entry.
    pub key: Key,
    /// Operator who changed it.
    pub operator: OperatorId,
    /// Id of the change.
    pub change: String,
    /// Resulting revision.
    pub revision: Revision,
}

/// Kind of an error; stable, so that programs may rely on it.
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
    /// Nothing was done; a retry may succeed.
    #[display("unavailable")]
    Unavailable,
    /// The request may or may not have been carried out.
    #[display("unknown")]
    Unknown,
    /// The state of the replicas does not allow the request.
    #[display("refused")]
    Refused,
}

/// An error, sent as `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Short name of the kind of error, as a URN.
    #[serde(rename = "type")]
    pub name: String,
    /// Kind of error, for programs.
    pub kind: Kind,
    /// HTTP status.
    pub status: u16,
    /// What happened, with the remedy.
    pub detail: String,
    /// Current revision; only in a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Revision>,
    /// Authors of the changes since the base; only in a conflict.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub authors: Vec<Author>,
}

/// Status of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Membership state.
    pub state: State,
    /// Catalogue revision in force there, as last reported.
    pub revision: Revision,
    /// Requests in progress there, as last reported.
    pub load: u32,
    /// Whether it holds proof that its catalogue is current.
    pub current: bool,
    /// Identity of its data folder, if it is a control replica.
    pub replica: Option<String>,
}

/// Status of one control replica.
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
    /// Whether it is a voter, as far as it knows.
    pub voter: bool,
    /// Its term.
    pub term: Term,
    /// Index of its last entry.
    pub last: Index,
    /// Index of its last committed entry.
    pub commit: Index,
}

/// The cluster as the queried daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The queried daemon.
    pub instance: InstanceId,
    /// Catalogue revision in force there.
    pub revision: Revision,
    /// Instance of the control log's leader.
    pub leader: Option<InstanceId>,
    /// Every known daemon.
    pub members: Vec<Member>,
    /// Every control replica that answered.
    pub replicas: Vec<Replica>,
    /// Identities of the voters.
    pub voters: Vec<String>,
    /// Who carries out the duties; absent if they were never held.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<Duties>,
}

/// The lease of the duties that one daemon at a time carries out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duties {
    /// Instance that took it last.
    pub holder: InstanceId,
    /// Its fencing token.
    pub token: FencingToken,
    /// Index of the entry that last renewed it; it grows while there is a holder.
    pub renewed: Index,
    /// Latest window of usage whose counts are fixed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fixed: Option<WindowId>,
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

/// Daemons on which a revision is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Propagation {
    /// Queried revision.
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
    /// Description of what happened.
    pub text: String,
    /// Time of the event, in milliseconds since 1970.
    pub at_ms: u64,
}

/// An event with the daemon that recorded it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEvent {
    /// Name of the instance.
    pub instance: InstanceId,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// A catalogue entry with its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedEntry {
    /// The entry.
    pub key: Key,
    /// Responsible team or person; `None` if the entry does not exist now.
    pub owner: Option<String>,
}

/// Events that concern a request or an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Entries involved, with their owners.
    pub involved: Vec<OwnedEntry>,
    /// Entries that depend on the queried one.
    pub affected: Vec<OwnedEntry>,
    /// Events of all daemons, ordered by time.
    pub events: Vec<InstanceEvent>,
    /// Number of older events left out.
    pub omitted: u32,
    /// Live daemons that did not answer.
    pub silent: Vec<Lagging>,
}

/// Request to form the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Init {
    /// Instances whose data folders are the first voters.
    pub instances: Vec<InstanceId>,
}

/// Request to replace one voter with another replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replace {
    /// Identity of the replica whose disk is lost.
    pub old: String,
    /// Identity of the new data folder.
    pub new: String,
}

/// Requests, and parts of prompts, marked for crashing runners; each in hex.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// Those suspected.
    pub suspected: Vec<String>,
    /// Those in quarantine.
    pub quarantined: Vec<String>,
}

/// Request to lift a mark.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The mark, in hex.
    pub mark: String,
}

/// Answer to a completed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {}

/// A text that is not a replica identity.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{text:?} is no replica: use the 16 hex digits that `citronctl status` prints")]
pub struct InvalidReplica {
    /// The text.
    pub text: String,
}

/// Formats a replica's identity for operators.
#[must_use]
pub fn format_replica(replica: ReplicaId) -> String {
    format!("{replica:016x}")
}

/// Parses a replica's identity.
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
