//! Metrics of the process and of the peer connections.

use std::{fs, rc::Rc, sync::atomic::AtomicU64};

use actix_http::{ResponseBuilder, StatusCode, header};

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

use crate::{
    http::Handler,
    output,
    peers::{Counts, Hub},
};

/// Clock ticks per second in `/proc`, fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Size of a memory page, in bytes.
const PAGE_BYTES: i64 = 4_096;

/// Media type of the exposition.
const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A handler that serves the registry's metrics at every path.
#[must_use]
pub fn handler(registry: Rc<Registry>) -> Handler {
    Rc::new(move |_| {
        let mut text = String::new();
        let encoded = encode(&mut text, &registry);
        let response = match encoded {
            Ok(()) => ResponseBuilder::new(StatusCode::OK)
                .insert_header((header::CONTENT_TYPE, MEDIA_TYPE))
                .body(text),
            Err(error) => {
                ResponseBuilder::new(StatusCode::INTERNAL_SERVER_ERROR).body(error.to_string())
            }
        };
        Box::pin(std::future::ready(response.map_into_boxed_body()))
    })
}

/// Gauges and counters that a timer updates.
#[derive(Debug, Default)]
pub struct Metrics {
    cpu_seconds: Gauge<f64, AtomicU64>,
    resident_bytes: Gauge,
    log_dropped: Gauge,
    in_flight: Gauge,
    sending: Gauge,
    unsent_bytes: Gauge,
    revision: Gauge,
    current: Gauge,
    queued: Gauge,
    sent_bytes: Counter,
    received_bytes: Counter,
    sent: Counter,
    received: Counter,
    dropped: Counter,
    refused: Counter,
    last: Counts,
}

/// Status of the daemon at one point in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Requests in flight.
    pub in_flight: u32,
    /// Answers that are still being sent.
    pub sending: u32,
    /// Bytes of these answers that are known to be left.
    pub unsent_bytes: u64,
    /// Catalogue revision in force.
    pub revision: u64,
    /// Whether the catalogue is known to be current.
    pub current: bool,
}

impl Metrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_cpu_seconds",
            "Processor time of the process",
            self.cpu_seconds.clone(),
        );
        registry.register(
            "citron_resident_bytes",
            "Memory of the process",
            self.resident_bytes.clone(),
        );
        registry.register(
            "citron_log_dropped",
            "Log lines dropped since the start, for want of a reader",
            self.log_dropped.clone(),
        );
        registry.register(
            "citron_in_flight",
            "Requests in hand",
            self.in_flight.clone(),
        );
        registry.register(
            "citron_sending",
            "Answers that are still being sent to callers",
            self.sending.clone(),
        );
        registry.register(
            "citron_unsent_bytes",
            "Bytes of these answers that are known to be left",
            self.unsent_bytes.clone(),
        );
        registry.register(
            "citron_revision",
            "Catalogue revision in force",
            self.revision.clone(),
        );
        registry.register(
            "citron_current",
            "Whether the catalogue is known to be current",
            self.current.clone(),
        );
        registry.register(
            "citron_peer_queued",
            "Messages waiting for peers",
            self.queued.clone(),
        );
        registry.register(
            "citron_peer_sent_bytes",
            "Bytes sent to peers",
            self.sent_bytes.clone(),
        );
        registry.register(
            "citron_peer_received_bytes",
            "Bytes received from peers",
            self.received_bytes.clone(),
        );
        registry.register(
            "citron_peer_sent",
            "Messages sent to peers",
            self.sent.clone(),
        );
        registry.register(
            "citron_peer_received",
            "Messages received from peers",
            self.received.clone(),
        );
        registry.register(
            "citron_peer_dropped",
            "Messages to peers dropped",
            self.dropped.clone(),
        );
        registry.register(
            "citron_peer_refused",
            "Frames of peers refused",
            self.refused.clone(),
        );
    }

    /// Updates all metrics.
    pub fn update(&mut self, sample: &Sample, hub: &Hub) {
        let dropped = i64::try_from(output::dropped()).unwrap_or(i64::MAX);
        self.log_dropped.set(dropped);
        self.in_flight.set(i64::from(sample.in_flight));
        self.sending.set(i64::from(sample.sending));
        self.unsent_bytes
            .set(i64::try_from(sample.unsent_bytes).unwrap_or(i64::MAX));
        self.revision
            .set(i64::try_from(sample.revision).unwrap_or(i64::MAX));
        self.current.set(i64::from(sample.current));
        self.queued
            .set(i64::try_from(hub.queued()).unwrap_or(i64::MAX));
        self.update_peers(hub.counts());
        self.update_process();
    }

    fn update_peers(&mut self, counts: Counts) {
        let last = std::mem::replace(&mut self.last, counts);
        self.sent_bytes.inc_by(counts.sent_bytes - last.sent_bytes);
        self.received_bytes
            .inc_by(counts.received_bytes - last.received_bytes);
        self.sent.inc_by(counts.sent - last.sent);
        self.received.inc_by(counts.received - last.received);
        self.dropped.inc_by(counts.dropped - last.dropped);
        self.refused.inc_by(counts.refused - last.refused);
    }

    fn update_process(&self) {
        if let Some(seconds) = cpu_seconds() {
            self.cpu_seconds.set(seconds);
        }
        if let Some(bytes) = resident_bytes() {
            self.resident_bytes.set(bytes);
        }
    }
}

/// User and system time, fields 14 and 15 of `stat`.
fn cpu_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(11).map(str::parse::<u32>);
    let (user, system) = (times.next()?.ok()?, times.next()?.ok()?);
    Some((f64::from(user) + f64::from(system)) / TICKS_PER_SECOND)
}

/// Resident pages, field 2 of `statm`.
fn resident_bytes() -> Option<i64> {
    let statm = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: i64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
