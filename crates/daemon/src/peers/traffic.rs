//! Bytes sent to peers, by kind of message and by peer.
//!
//! One total cannot tell which traffic fills a link. The counters are served as
//! metrics; a log line at a fixed interval names the largest receiver.

use std::{cell::RefCell, time::Duration};

use citron_policy::id::InstanceId;
use citron_wire::{Body, Frame};
use indexmap::IndexMap;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Kind of a message.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub(super) enum Kind {
    /// Control log.
    Control,
    /// Slots of runners.
    Slot,
    /// Feed of the control log.
    Feed,
    /// Reports to the holder of the duties.
    Duty,
    /// Status and refusals.
    Other,
}

impl Kind {
    /// Kind of a frame's body.
    pub(super) fn of(frame: &Frame) -> Self {
        match frame.body {
            Some(Body::Control(_)) => Self::Control,
            Some(Body::Slot(_)) => Self::Slot,
            Some(Body::Feed(_)) => Self::Feed,
            Some(Body::Duty(_)) => Self::Duty,
            Some(Body::Status(_) | Body::Refusal(_)) | None => Self::Other,
        }
    }
}

/// Label of the counters.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Label {
    kind: Kind,
}

/// Counters since the start, and since the last log line.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    sent: Family<Label, Counter>,
    recent: RefCell<Recent>,
}

/// Bytes sent since the last log line.
#[derive(Debug, Default)]
struct Recent {
    control: u64,
    slot: u64,
    feed: u64,
    duty: u64,
    other: u64,
    peers: IndexMap<InstanceId, u64>,
}

impl Traffic {
    /// Adds the counters to a registry.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_peer_sent_kind_bytes",
            "Bytes sent to peers, by kind of message",
            self.sent.clone(),
        );
    }

    /// Counts bytes of a message to a peer.
    pub(super) fn count(&self, peer: &InstanceId, kind: Kind, bytes: u64) {
        self.sent.get_or_create(&Label { kind }).inc_by(bytes);
        let mut recent = self.recent.borrow_mut();
        let total = match kind {
            Kind::Control => &mut recent.control,
            Kind::Slot => &mut recent.slot,
            Kind::Feed => &mut recent.feed,
            Kind::Duty => &mut recent.duty,
            Kind::Other => &mut recent.other,
        };
        *total += bytes;
        if let Some(sent) = recent.peers.get_mut(peer) {
            *sent += bytes;
        } else {
            recent.peers.insert(peer.clone(), bytes);
        }
    }

    /// Logs what was sent since the last line, unless nothing was.
    fn log(&self) {
        let recent = self.recent.take();
        let Some((top, top_bytes)) = recent.peers.iter().max_by_key(|(_, bytes)| **bytes) else {
            return;
        };
        log::info!(
            event = "CP0905", control_bytes = recent.control, slot_bytes = recent.slot,
            feed_bytes = recent.feed, duty_bytes = recent.duty, other_bytes = recent.other, peers = recent.peers.len(),
            top_peer = top.as_str(), top_peer_bytes = top_bytes;
            "bytes sent to peers"
        );
    }
}

impl super::Hub {
    /// Logs the bytes sent to peers at a fixed interval; never returns.
    pub async fn log_traffic(self) {
        loop {
            actix_rt::time::sleep(LOG_INTERVAL).await;
            self.inner.traffic.log();
        }
    }
}
