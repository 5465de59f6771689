//! The parts that do not depend on callers or operators: peers, membership, the
//! control log, the feed and the slots.

use std::{rc::Rc, time::Duration};

use actix_rt::net::UdpSocket;
use citron_policy::{crash, state::Command};
use prometheus_client::registry::Registry;
use tokio::sync::oneshot;

use super::listeners::Addresses;
use crate::{
    control::{self, Control, Replica},
    edge::Declarations,
    event::Ring,
    follow::{self, Follow},
    gossip::{self, Gossip},
    peers::Hub,
    platform::{self, Platform},
    settings::Settings,
    shared_hosts::SharedHosts,
    slots::{self, Slots},
};

/// Timeout for recording a crash mark in the control log.
const CRASH_MARK_TIMEOUT: Duration = Duration::from_secs(5);

/// The running core parts.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) hub: Hub,
    pub(super) platform: Platform,
    pub(super) gossip: Gossip,
    pub(super) control: Control,
    pub(super) follow: Follow,
    pub(super) slots: Slots,
    pub(super) ring: Ring,
    pub(super) shared_hosts: SharedHosts,
}

impl Core {
    /// Starts the parts; the receiver resolves with the reason if the control
    /// replica stops.
    pub(super) fn start(
        settings: &Settings,
        addresses: Addresses,
        socket: UdpSocket,
        platform: platform::Settings,
        replica: Option<Replica>,
        reader: Option<Rc<dyn Declarations>>,
    ) -> (Self, oneshot::Receiver<String>) {
        let hub = Hub::new(&settings.instance, &settings.cluster);
        hub.set_source(addresses.peer.ip());
        actix_rt::spawn(hub.clone().log_traffic());
        let behind_adapter = reader.is_some();
        let platform = Platform::start(platform);
        let membership = membership(settings, addresses, replica.as_ref());
        let gossip = Gossip::start(membership, socket, hub.clone(), platform.list());
        let replicated = replica.is_some();
        let own_id = replica.as_ref().map(Replica::id);
        let started = Control::start(&hub, gossip.members(), replica);
        let local = replicated.then_some(started.feed);
        let follow = Follow::start(
            follow::Settings {
                reader,
                ..follow::Settings::default()
            },
            hub.clone(),
            gossip.members(),
            local,
        );
        let ring = Ring::default();
        let shared_hosts = SharedHosts::new(settings.shared_hosts);
        let inputs = slots::Inputs {
            members: gossip.members(),
            platform: platform.list(),
            need: platform.need(),
            shared_hosts: shared_hosts.clone(),
            view: follow.view(),
        };
        let control = started.control;
        if let Some(own_id) = own_id.filter(|_| settings.form > 0) {
            let members = gossip.members();
            actix_rt::spawn(control::form(
                control.clone(),
                members,
                own_id,
                settings.form,
            ));
        }
        let options = slots::Settings {
            poll: !behind_adapter,
            admit_unknown: behind_adapter,
        };
        let slots = Slots::new(
            options,
            hub.clone(),
            inputs,
            crash_proposer(&control),
            ring.clone(),
        );
        let task = slots.clone();
        actix_rt::spawn(async move { task.run().await });
        let core = Self {
            hub,
            platform,
            gossip,
            control,
            follow,
            slots,
            ring,
            shared_hosts,
        };
        (core, started.failed)
    }

    /// Adds the metrics of all parts to a registry.
    pub(super) fn register(&self, registry: &mut Registry) {
        self.hub.register(registry);
        self.control.register(registry);
        self.gossip.metrics().register(registry);
        self.platform.metrics().register(registry);
        self.follow.metrics().register(registry);
        self.slots.metrics().register(registry);
    }
}

fn membership(
    settings: &Settings,
    addresses: Addresses,
    replica: Option<&Replica>,
) -> gossip::Settings {
    gossip::Settings {
        cluster: settings.cluster.clone(),
        me: settings.instance.clone(),
        domain: settings.domain.clone(),
        peer: addresses.peer,
        callers: addresses.callers,
        capacity: settings.capacity,
        replica: replica.map(Replica::id),
        seeds: settings.seeds.clone(),
    }
}

/// Records crash marks in the control log. A mark that is lost is proposed again.
fn crash_proposer(control: &Control) -> slots::Propose {
    let control = control.clone();
    Rc::new(move |step: crash::Step| {
        let control = control.clone();
        actix_rt::spawn(async move {
            if let Err(error) = control
                .submit(Command::Crash(step), CRASH_MARK_TIMEOUT)
                .await
            {
                log::warn!("CP0104 crash mark not recorded: {error}");
            }
        });
    })
}
