//! What one daemon knows of the others.
//!
//! The records are produced by the membership protocol and read by everything
//! that must choose among daemons: the entry list, arbitration, the relays and
//! the peer connections.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{DomainId, Incarnation, InstanceId, ReplicaId, Revision};

/// How an instance stands, as seen by one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Answers probes and takes new work.
    Alive,
    /// Missed its probes and has not yet refuted it.
    Suspect,
    /// Finishes what it has and takes no new work.
    Leaving,
    /// Given up.
    Dead,
}

/// One daemon.
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
    /// Processor that it may use, in thousandths of a core; zero if not declared.
    #[serde(default)]
    pub capacity: u32,
    /// Identity of its data folder, if it is a control replica.
    pub replica: Option<ReplicaId>,
    /// Version of this record.
    pub incarnation: Incarnation,
    /// How it stands.
    pub state: State,
    /// Catalogue revision in force there when it last said so.
    pub revision: Revision,
    /// Requests in hand there when it last said so.
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

/// Every known daemon by name, this one included.
pub type Members = IndexMap<InstanceId, Member>;
