//! The platform's list of instances and runners.
//!
//! It says which are in use and which are about to be removed, and is always slightly stale.

pub mod reader;
pub mod reading;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{BuildId, DomainId, InstanceId, RunnerId, ServiceId};

/// Lifecycle state of an instance or runner, as listed by the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// In use.
    #[default]
    Live,
    /// About to be removed.
    Leaving,
}

/// An instance, as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address of the peer listener.
    pub peer: SocketAddr,
    /// Lifecycle state.
    #[serde(default)]
    pub standing: Standing,
}

/// A runner, as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Name of the runner.
    pub id: RunnerId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address that serves requests.
    pub address: SocketAddr,
    /// Lifecycle state.
    #[serde(default)]
    pub standing: Standing,
    /// Version of its software; empty if the list does not say.
    #[serde(default)]
    pub build: BuildId,
    /// Number of concurrent requests; zero if the list does not say.
    #[serde(default)]
    pub slots: u32,
    /// Whether the platform may take it back at short notice.
    #[serde(default)]
    pub reclaimable: bool,
}

/// The platform's list, as read at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Instances of the router.
    #[serde(default)]
    pub entries: Vec<Instance>,
    /// Upstream runners of all services.
    #[serde(default)]
    pub runners: Vec<Runner>,
}
