//! Metrics of membership.

use citron_policy::{
    member::{Members, State},
    swim::{Event, Swim},
};
use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// One label name and its value.
type Label = [(&'static str, &'static str); 1];

/// Counters and sizes of membership.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    datagrams: Family<Label, Counter>,
    bytes: Family<Label, Counter>,
    refused: Family<Label, Counter>,
    unsent: Counter,
    events: Family<Label, Counter>,
    members: Family<Label, Gauge>,
    rumors: Gauge,
    probes: Gauge,
    listed: Gauge,
    health: Gauge,
}

impl Metrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "citron_member_datagrams",
            "Membership datagrams by direction",
            self.datagrams.clone(),
        );
        registry.register(
            "citron_member_bytes",
            "Bytes of membership datagrams by direction",
            self.bytes.clone(),
        );
        registry.register(
            "citron_member_refused",
            "Membership datagrams dropped, by reason",
            self.refused.clone(),
        );
        registry.register(
            "citron_member_unsent",
            "Membership datagrams that the socket did not take",
            self.unsent.clone(),
        );
        registry.register(
            "citron_member_events",
            "Membership events by kind",
            self.events.clone(),
        );
        registry.register(
            "citron_members",
            "Known instances by state, this one included",
            self.members.clone(),
        );
        registry.register(
            "citron_member_rumors",
            "Membership records being passed on",
            self.rumors.clone(),
        );
        registry.register(
            "citron_member_probes",
            "Membership probes under way",
            self.probes.clone(),
        );
        registry.register(
            "citron_member_listed",
            "Instances of the platform's list that are kept",
            self.listed.clone(),
        );
        registry.register(
            "citron_member_health",
            "Own failures that lengthen the wait for answers; zero is healthy",
            self.health.clone(),
        );
    }

    pub(super) fn received(&self, bytes: usize) {
        self.count("received", bytes);
    }

    pub(super) fn sent(&self, bytes: usize) {
        self.count("sent", bytes);
    }

    fn count(&self, direction: &'static str, bytes: usize) {
        let label = [("direction", direction)];
        self.datagrams.get_or_create(&label).inc();
        self.bytes.get_or_create(&label).inc_by(bytes as u64);
    }

    pub(super) fn refused(&self, reason: &'static str) {
        self.refused.get_or_create(&[("reason", reason)]).inc();
    }

    /// Datagrams dropped for one reason so far.
    #[must_use]
    pub fn refused_for(&self, reason: &'static str) -> u64 {
        self.refused.get_or_create(&[("reason", reason)]).get()
    }

    pub(super) fn unsent(&self) {
        self.unsent.inc();
    }

    pub(super) fn event(&self, event: &Event) {
        let kind = match event {
            Event::Joined(_) => "joined",
            Event::Suspected(_) => "suspected",
            Event::Refuted(_) => "refuted",
            Event::Leaving(_) => "leaving",
            Event::Died(_) => "died",
            Event::SelfSuspected(_) => "accused",
            Event::Stalled(_) => "stalled",
            Event::ListedLeaving(_) => "listed",
            Event::AddressMismatch(_) => "stranger",
        };
        self.events.get_or_create(&[("kind", kind)]).inc();
    }

    pub(super) fn members(&self, members: &Members) {
        let states = [
            (State::Alive, "alive"),
            (State::Suspect, "suspect"),
            (State::Leaving, "leaving"),
            (State::Dead, "dead"),
        ];
        for (state, name) in states {
            let count = members.values().filter(|it| it.state == state).count();
            self.members
                .get_or_create(&[("state", name)])
                .set(integer(count));
        }
    }

    pub(super) fn observe(&self, swim: &Swim) {
        let (rumors, probes, listed) = swim.sizes();
        self.rumors.set(integer(rumors));
        self.probes.set(integer(probes));
        self.listed.set(integer(listed));
        self.health.set(i64::from(swim.health()));
    }
}

fn integer(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
