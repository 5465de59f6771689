//! Memory for what is buffered for callers and runners.
//!
//! [`citron_policy::buffer`] decides what fits; here each buffer counts what it has
//! allocated. The bytes of a whole body stay counted until their last copy is gone,
//! which is after the answer has left for the caller.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use actix_http::StatusCode;
use bytes::Bytes;
use citron_policy::buffer::{Budget, Kind};
use derive_more::{Display, Error};
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Part of the process's memory that may be buffered; the rest is for everything else,
/// and for the copy of a buffer that grows.
const MEMORY_SHARE: u64 = 4;

/// There is no memory for more.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no memory is left for more")]
pub struct Full;

/// The memory for buffers; clones share it.
#[derive(Clone, Debug)]
pub struct Buffers {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    /// Not a cell, since the last copy of a body may be dropped by any thread.
    budget: Mutex<Budget>,
    metrics: Metrics,
}

/// Metrics by kind of buffer.
#[derive(Debug)]
struct Metrics {
    bytes: Family<Label, Gauge>,
    /// Members of `bytes`, which takes longer to search than a buffer to count.
    failures: Gauge,
    requests: Gauge,
    answers: Gauge,
    given_up: Family<Label, Counter>,
    peak: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let bytes = Family::<Label, Gauge>::default();
        let member = |kind: Kind| bytes.get_or_create(&kind.into()).clone();
        Self {
            failures: member(Kind::Failure),
            requests: member(Kind::Request),
            answers: member(Kind::Answer),
            bytes,
            given_up: Family::default(),
            peak: Gauge::default(),
        }
    }
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Label {
    kind: Content,
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
enum Content {
    Failure,
    Request,
    Answer,
}

impl From<Kind> for Label {
    fn from(kind: Kind) -> Self {
        let kind = match kind {
            Kind::Failure => Content::Failure,
            Kind::Request => Content::Request,
            Kind::Answer => Content::Answer,
        };
        Self { kind }
    }
}

impl Buffers {
    /// Buffers of a process that may use `memory_bytes`.
    #[must_use]
    pub fn new(memory_bytes: u64) -> Self {
        let inner = Inner {
            budget: Mutex::new(Budget::new(memory_bytes / MEMORY_SHARE)),
            metrics: Metrics::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let metrics = &self.inner.metrics;
        registry.register(
            "citron_buffered_bytes",
            "Bytes buffered for callers and runners",
            metrics.bytes.clone(),
        );
        registry.register(
            "citron_buffered_peak_bytes",
            "Most bytes buffered at once since the start",
            metrics.peak.clone(),
        );
        registry.register(
            "citron_buffers_given_up",
            "Bodies given up since no memory was left for them",
            metrics.given_up.clone(),
        );
    }

    /// Room for a buffer, which has none yet.
    #[must_use]
    pub fn room(&self, kind: Kind) -> Room {
        Room {
            buffers: self.clone(),
            kind,
            bytes: 0,
        }
    }

    /// An empty body.
    #[must_use]
    pub fn body(&self, kind: Kind) -> Body {
        Body {
            bytes: Vec::new(),
            room: self.room(kind),
        }
    }

    /// Bytes that are to wait for a slow reader; they take room until their last copy is
    /// dropped.
    ///
    /// # Errors
    /// [`Full`] if no memory is left for them.
    pub fn hold(&self, kind: Kind, bytes: Bytes) -> Result<Bytes, Full> {
        if bytes.is_empty() {
            return Ok(bytes);
        }
        let mut room = self.room(kind);
        room.resize(bytes.len())?;
        Ok(Bytes::from_owner(Held { bytes, _room: room }))
    }

    /// An empty body of a runner's answer with this status.
    #[must_use]
    pub fn answer(&self, status: StatusCode) -> Body {
        let is_failure = status.is_client_error() || status.is_server_error();
        self.body(if is_failure {
            Kind::Failure
        } else {
            Kind::Answer
        })
    }

    fn budget(&self) -> MutexGuard<'_, Budget> {
        // The counts are right after each change, so a panic elsewhere spoils nothing.
        let budget = self.inner.budget.lock();
        budget.unwrap_or_else(PoisonError::into_inner)
    }

    fn observe(&self, kind: Kind, budget: &Budget) {
        let metrics = &self.inner.metrics;
        let gauge = |bytes| i64::try_from(bytes).unwrap_or(i64::MAX);
        let of_kind = match kind {
            Kind::Failure => &metrics.failures,
            Kind::Request => &metrics.requests,
            Kind::Answer => &metrics.answers,
        };
        of_kind.set(gauge(budget.bytes(kind)));
        metrics
            .peak
            .set(metrics.peak.get().max(gauge(budget.total())));
    }
}

/// Room that a buffer takes; dropping it gives the room back.
#[derive(Debug)]
pub struct Room {
    buffers: Buffers,
    kind: Kind,
    bytes: u64,
}

impl Room {
    /// Changes the room to that of a buffer of `bytes`.
    ///
    /// # Errors
    /// [`Full`] if it is to grow and no memory is left for its kind; it stays as it was.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Full> {
        let bytes = bytes as u64;
        if bytes == self.bytes {
            return Ok(());
        }
        let mut budget = self.buffers.budget();
        match bytes.checked_sub(self.bytes) {
            Some(more) if !budget.take(self.kind, self.bytes, more) => {
                drop(budget);
                let given_up = &self.buffers.inner.metrics.given_up;
                given_up.get_or_create(&self.kind.into()).inc();
                return Err(Full);
            }
            Some(_) => {}
            None => budget.give_back(self.kind, self.bytes - bytes),
        }
        self.buffers.observe(self.kind, &budget);
        drop(budget);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        if self.bytes > 0 {
            let mut budget = self.buffers.budget();
            budget.give_back(self.kind, self.bytes);
            self.buffers.observe(self.kind, &budget);
        }
    }
}

/// Bytes with the room that they take.
struct Held {
    bytes: Bytes,
    _room: Room,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct Body {
    bytes: Vec<u8>,
    room: Room,
}

impl Body {
    /// Adds a part.
    ///
    /// # Errors
    /// [`Full`] if no memory is left for it.
    pub fn push(&mut self, part: &[u8]) -> Result<(), Full> {
        let length = self.bytes.len() + part.len();
        if length > self.bytes.capacity() {
            let capacity = length.max(self.bytes.capacity() * 2);
            self.room.resize(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Length so far, in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing was added.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The whole body, which keeps its room until its last copy is dropped.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
