//! Counters of the exchanges with runners.

use citron_policy::retry::Ending;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

use super::Failure;

/// Counters of the exchanges with runners.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Exchanges started.
    pub exchanges: Counter,
    /// Exchanges that failed, by how they ended.
    pub failures: Family<Label, Counter>,
}

/// How an exchange failed.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct Label {
    /// How it ended.
    pub ending: Kind,
}

/// Kinds of failed exchanges.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub enum Kind {
    /// No connection.
    Unconnected,
    /// Connection failed before the first byte was written.
    Unwritten,
    /// Connection failed while the request was being written.
    PartlyWritten,
    /// Connection closed before a response.
    Unanswered,
    /// Timed out.
    Late,
    /// Response truncated.
    Cut,
    /// Response violates the protocol.
    Garbled,
    /// Response belongs to another request.
    Crossed,
    /// Response exceeds a limit.
    TooLarge,
    /// An error status.
    Status,
}

impl Metrics {
    /// Adds the counters to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_upstream_exchanges",
            "Exchanges begun with runners",
            self.exchanges.clone(),
        );
        registry.register(
            "citron_upstream_failures",
            "Exchanges with runners that failed, by ending",
            self.failures.clone(),
        );
    }

    /// Counts a failed exchange.
    pub fn count_failure(&self, failure: &Failure) {
        let ending = kind_of(failure.ending());
        self.failures.get_or_create(&Label { ending }).inc();
    }
}

fn kind_of(ending: Ending) -> Kind {
    match ending {
        Ending::Unconnected => Kind::Unconnected,
        Ending::Unwritten => Kind::Unwritten,
        Ending::PartlyWritten => Kind::PartlyWritten,
        Ending::Unanswered => Kind::Unanswered,
        Ending::Late => Kind::Late,
        Ending::Cut => Kind::Cut,
        Ending::Garbled => Kind::Garbled,
        Ending::Crossed => Kind::Crossed,
        Ending::TooLarge => Kind::TooLarge,
        Ending::Answered(_) => Kind::Status,
    }
}
