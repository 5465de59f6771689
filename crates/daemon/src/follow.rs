//! Keeps this daemon's view of the control log current, and serves it to others.

use std::{rc::Rc, sync::Arc, time::Instant};

use citron_policy::{
    feed::{Local, View},
    id::InstanceId,
    member::Members,
};
use citron_wire::generated::feed as proto;
use futures_util::future::LocalBoxFuture;
use prometheus_client::registry::Registry;
use tokio::sync::{mpsc, watch};

use crate::peers::Hub;

/// How the control log is followed.
#[derive(Clone, Debug, Default)]
pub struct Settings {}

/// What is counted about the feed.
#[derive(Clone, Debug, Default)]
pub struct Metrics {}

impl Metrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, _registry: &mut Registry) {}
}

/// Follows the control log for this daemon; clones share it.
#[derive(Clone, Debug)]
pub struct Follow {
    view: watch::Receiver<Arc<View>>,
    sender: Rc<watch::Sender<Arc<View>>>,
    metrics: Metrics,
}

impl Follow {
    /// Starts following; `local` comes from this daemon's control replica, if it has one.
    #[must_use]
    pub fn start(
        settings: Settings,
        hub: Hub,
        members: watch::Receiver<Arc<Members>>,
        local: Option<mpsc::Receiver<Local>>,
    ) -> Self {
        drop((settings, hub, members, local));
        let (sender, view) = watch::channel(Arc::default());
        Self {
            view,
            sender: Rc::new(sender),
            metrics: Metrics::default(),
        }
    }

    /// What is in force here.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Whether the catalogue in force is known to be current.
    #[must_use]
    pub fn may_take_work(&self, now: Instant) -> bool {
        let _ = now;
        false
    }

    /// Takes in a message of the feed that wants no answer.
    pub fn on_tell(&self, from: &InstanceId, message: proto::Message) {
        let _ = (from, message);
        let _ = self.sender.is_closed();
    }

    /// Answers a question of the feed.
    #[must_use]
    pub fn on_call(
        &self,
        from: &InstanceId,
        message: proto::Message,
    ) -> LocalBoxFuture<'static, Result<proto::Message, String>> {
        let _ = (from, message);
        Box::pin(std::future::ready(Err("not following yet".to_owned())))
    }

    /// Counters of the feed.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }
}
