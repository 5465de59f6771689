//! Counts how well the classes meet their targets, and which tokens were wasted.

use std::time::Duration;

use citron_policy::{catalogue::Class, id::ClassId};
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Counters of finished requests; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct Attainment {
    requests: Family<ClassLabel, Counter>,
    useful_tokens: Family<TokenLabel, Counter>,
    wasted_tokens: Family<WasteLabel, Counter>,
}

/// Result of a request against its class's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum Mark {
    /// Answered within all targets.
    Met,
    /// Answered, but missed at least one target.
    Missed,
    /// Refused or failed.
    Failed,
    /// The caller disconnected.
    Abandoned,
}

/// Why tokens were wasted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum Waste {
    /// The caller disconnected.
    Abandoned,
    /// The answer could not be completed.
    Failed,
    /// The answer missed a target.
    Late,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabel {
    class: ClassId,
    mark: Mark,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TokenLabel {
    class: ClassId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WasteLabel {
    cause: Waste,
}

/// Timings of one answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Times {
    /// Time from arrival to the first token.
    pub(super) first_token: Duration,
    /// Mean time between tokens.
    pub(super) between_tokens: Duration,
    /// Time from arrival to the end.
    pub(super) whole: Duration,
    /// Number of tokens in the answer.
    pub(super) tokens: u64,
}

impl Times {
    fn meet(&self, class: &Class) -> bool {
        self.first_token <= class.first_token
            && self.between_tokens <= class.between_tokens
            && self.whole <= class.whole
    }
}

impl Attainment {
    /// Adds the counters to a registry.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_requests",
            "Finished requests by class and attainment",
            self.requests.clone(),
        );
        registry.register(
            "citron_goodput_tokens",
            "Tokens of answers within their targets",
            self.useful_tokens.clone(),
        );
        registry.register(
            "citron_wasted_tokens",
            "Tokens that served nobody",
            self.wasted_tokens.clone(),
        );
    }

    /// Counts a complete answer.
    pub(super) fn answered(&self, class: &Class, times: &Times) -> Mark {
        let met = times.meet(class);
        let mark = if met { Mark::Met } else { Mark::Missed };
        self.count(class, mark);
        if met {
            let label = TokenLabel {
                class: class.name.clone(),
            };
            self.useful_tokens
                .get_or_create(&label)
                .inc_by(times.tokens);
        } else {
            self.wasted_tokens
                .get_or_create(&WasteLabel { cause: Waste::Late })
                .inc_by(times.tokens);
        }
        mark
    }

    /// Counts a request without a complete answer, and the tokens generated for it.
    pub(super) fn lost(&self, class: &Class, mark: Mark, tokens: u64) {
        self.count(class, mark);
        let cause = if mark == Mark::Abandoned {
            Waste::Abandoned
        } else {
            Waste::Failed
        };
        self.wasted_tokens
            .get_or_create(&WasteLabel { cause })
            .inc_by(tokens);
    }

    fn count(&self, class: &Class, mark: Mark) {
        let label = ClassLabel {
            class: class.name.clone(),
            mark,
        };
        self.requests.get_or_create(&label).inc();
    }
}
