//! Membership records: what one daemon knows of the others.
//!
//! The membership protocol produces the records. Everything that must choose
//! among daemons reads them: the entry list, arbitration, the relays and the peer
//! connections.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{DomainId, Incarnation, InstanceId, ReplicaId, Revision};

/// State of an instance, as seen by one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Answers probes and takes new work.
    Alive,
    /// Did not answer its probes and has not refuted the suspicion yet.
    Suspect,
    /// Finishes the requests in progress and takes no new work.
    Leaving,
    /// Declared dead, or announced its shutdown.
    Dead,
}

/// Membership record of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address for peers, TCP and UDP.
    pub peer: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// CPU that it may use, in thousandths of a core; zero if not declared.
    #[serde(default)]
    pub capacity: u32,
    /// Identity of its data folder, if it is a control replica.
    pub replica: Option<ReplicaId>,
    /// Version of this record.
    pub incarnation: Incarnation,
    /// State as last recorded.
    pub state: State,
    /// Catalogue revision in force there, as last reported.
    pub revision: Revision,
    /// Requests in progress there, as last reported.
    pub load: u32,
    /// Whether it holds proof that its catalogue is current.
    pub current: bool,
}

impl Member {
    /// Whether it may be given new work.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.state == State::Alive && self.current
    }
}

/// All known daemons by name, including this one.
pub type Members = IndexMap<InstanceId, Member>;
