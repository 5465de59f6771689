//! The platform's list of instances: live and leaving, always a little late.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, InstanceId, RunnerId, ServiceId};

/// How the platform says that an instance stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// In use.
    #[default]
    Live,
    /// About to be taken away.
    Leaving,
}

/// An entry instance, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address for peers.
    pub peer: SocketAddr,
    /// How it stands.
    #[serde(default)]
    pub standing: Standing,
}

/// A runner, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Name of the runner.
    pub id: RunnerId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address for requests.
    pub address: SocketAddr,
    /// How it stands.
    #[serde(default)]
    pub standing: Standing,
    /// Requests that it runs at once; zero if the list does not say.
    #[serde(default)]
    pub slots: u32,
}

/// One reading of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Entry instances.
    #[serde(default)]
    pub entries: Vec<Instance>,
    /// Upstream runners of all services.
    #[serde(default)]
    pub runners: Vec<Runner>,
}
