//! Membership over UDP.
//!
//! The protocol itself is [`citron_policy::swim`]; this adapter owns the socket,
//! the clock and the random source, and passes the addresses that membership
//! found to the peer connections. A datagram that is garbage, too long, or of
//! another version or cluster is dropped and counted.

mod metrics;

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use actix_rt::net::UdpSocket;
use citron_policy::{
    id::{DomainId, InstanceId, ReplicaId},
    member::{Member, Members, State},
    platform::List,
    swim::{self, Effect, Event, Swim},
};
use citron_wire::{MAX_DATAGRAM_BYTES, member};
use indexmap::IndexMap;
use tokio::sync::watch;

use crate::peers::Hub;

pub use citron_policy::swim::LocalStatus;
pub use metrics::Metrics;

/// Pause after each final announcement, so that it leaves the socket.
const DEPART_PAUSE: Duration = Duration::from_millis(50);

/// Times that the final announcement is sent, to cover datagram loss.
const DEPART_REPEATS: usize = 3;

/// Most datagrams received in a row before the timers are checked again.
const RECEIVE_BATCH: usize = 64;

/// Identity and addresses of this daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Cluster name.
    pub cluster: String,
    /// This instance.
    pub me: InstanceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address for peers, TCP and UDP, at which others reach it.
    pub peer: SocketAddr,
    /// Address for callers, at which they reach it.
    pub callers: SocketAddr,
    /// Processor capacity that it may use, in thousandths of a core; zero if not declared.
    pub capacity: u32,
    /// Identity of its data folder, if it is a control replica.
    pub replica: Option<ReplicaId>,
    /// Peer addresses of daemons that may be running.
    pub seeds: Vec<SocketAddr>,
}

impl Settings {
    fn member(&self) -> Member {
        Member {
            id: self.me.clone(),
            domain: self.domain.clone(),
            peer: self.peer,
            callers: self.callers,
            capacity: self.capacity,
            replica: self.replica,
            incarnation: 0,
            state: State::Alive,
            revision: 0,
            load: 0,
            current: false,
        }
    }
}

/// Membership of this daemon; clones share it.
#[derive(Clone)]
pub struct Gossip {
    inner: Rc<Inner>,
}

struct Inner {
    cluster: String,
    swim: RefCell<Swim>,
    socket: UdpSocket,
    hub: Hub,
    addresses: RefCell<IndexMap<InstanceId, SocketAddr>>,
    list: watch::Receiver<Arc<List>>,
    members: watch::Sender<Arc<Members>>,
    metrics: Metrics,
}

impl std::fmt::Debug for Gossip {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gossip")
            .field("me", self.inner.hub.me())
            .finish_non_exhaustive()
    }
}

impl Gossip {
    /// Starts membership on a bound socket, and keeps the addresses of the hub current.
    #[must_use]
    pub fn start(
        settings: Settings,
        socket: UdpSocket,
        hub: Hub,
        list: watch::Receiver<Arc<List>>,
    ) -> Self {
        let tick = swim::Settings::default().tick;
        let mut swim = Swim::new(
            Instant::now(),
            unix_ms(),
            settings.member(),
            swim::Settings::default(),
        );
        swim.set_seeds(settings.seeds);
        let members = watch::Sender::new(Arc::new(swim.members(Instant::now())));
        let inner = Inner {
            cluster: settings.cluster,
            swim: RefCell::new(swim),
            socket,
            hub,
            addresses: RefCell::default(),
            list,
            members,
            metrics: Metrics::default(),
        };
        let gossip = Self {
            inner: Rc::new(inner),
        };
        actix_rt::spawn(gossip.clone().run(tick));
        gossip
    }

    /// All known daemons, this one included.
    #[must_use]
    pub fn members(&self) -> watch::Receiver<Arc<Members>> {
        self.inner.members.subscribe()
    }

    /// Whether this daemon should leave, by its own decision or by the platform's list.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.inner.swim.borrow().leaving()
    }

    /// Whether others are known but none has been heard from for a while.
    #[must_use]
    pub fn cut_off(&self) -> bool {
        self.inner.swim.borrow().is_isolated(Instant::now())
    }

    /// Replaces the addresses at which other daemons may be found.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.inner.swim.borrow_mut().set_seeds(seeds);
    }

    /// Replaces the status that this daemon announces to others.
    pub fn set_self(&self, status: LocalStatus) {
        let now = Instant::now();
        self.run_step(|swim| swim.set_status(now, status, &mut rand::rng()));
    }

    /// Announces at once, and permanently, that this daemon takes no new work.
    pub fn leave(&self) {
        let now = Instant::now();
        self.run_step(|swim| swim.leave(now, &mut rand::rng()));
    }

    /// Announces that this daemon is shutting down; nothing is answered afterwards.
    pub async fn depart(&self) {
        for _ in 0..DEPART_REPEATS {
            self.run_step(|swim| swim.depart(&mut rand::rng()));
            actix_rt::time::sleep(DEPART_PAUSE).await;
        }
    }

    /// Counters of membership.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    async fn run(self, tick: Duration) {
        let mut list = self.inner.list.clone();
        self.apply_list(&mut list);
        let mut ticks = actix_rt::time::interval(tick);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.on_tick(),
                changed = list.changed(), if can_change(&list) => {
                    if changed.is_ok() {
                        self.apply_list(&mut list);
                    }
                }
                ready = self.inner.socket.readable() => match ready {
                    Ok(()) => self.receive(),
                    Err(error) => {
                        log::warn!("CP0511 membership socket: {error}");
                        actix_rt::time::sleep(tick).await;
                    }
                },
            }
        }
    }

    fn apply_list(&self, list: &mut watch::Receiver<Arc<List>>) {
        let list = Arc::clone(&list.borrow_and_update());
        let now = Instant::now();
        self.run_step(|swim| swim.set_list(now, &list, &mut rand::rng()));
    }

    fn on_tick(&self) {
        let now = Instant::now();
        self.run_step(|swim| swim.tick(now, &mut rand::rng()));
        self.inner.metrics.observe(&self.inner.swim.borrow());
    }

    /// Receives the datagrams waiting in the socket, at most [`RECEIVE_BATCH`].
    fn receive(&self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..RECEIVE_BATCH {
            match self.inner.socket.try_recv_from(&mut buffer) {
                Ok((length, from)) => self.on_datagram(&buffer[..length], from),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::debug!("CP0511 membership socket: {error}");
                    return;
                }
            }
        }
    }

    fn on_datagram(&self, bytes: &[u8], from: SocketAddr) {
        self.inner.metrics.received(bytes.len());
        if bytes.len() > MAX_DATAGRAM_BYTES {
            self.inner.metrics.refused("length");
            return;
        }
        match member::decode(&self.inner.cluster, bytes) {
            Ok(message) => {
                let now = Instant::now();
                self.run_step(|swim| swim.on_message(now, from, message, &mut rand::rng()));
            }
            Err(error) => {
                self.inner.metrics.refused(reason(&error));
                log::debug!("CP0510 datagram from {from} dropped: {error}");
            }
        }
    }

    /// Runs one step of the state machine and carries out its effects.
    fn run_step<F>(&self, step: F)
    where
        F: FnOnce(&mut Swim) -> Vec<Effect>,
    {
        let effects = step(&mut self.inner.swim.borrow_mut());
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(to, message),
                Effect::Report(event) => self.report(&event),
            }
        }
        if self.inner.swim.borrow_mut().take_changed(Instant::now()) {
            self.publish();
        }
    }

    fn send(&self, to: SocketAddr, message: swim::Message) {
        let bytes = member::encode(&self.inner.cluster, message);
        match self.inner.socket.try_send_to(&bytes, to) {
            Ok(length) => self.inner.metrics.sent(length),
            Err(error) => {
                self.inner.metrics.unsent();
                log::debug!("CP0511 datagram to {to} not sent: {error}");
            }
        }
    }

    fn publish(&self) {
        let members = self.inner.swim.borrow().members(Instant::now());
        let addresses = self.addresses(&members);
        if *self.inner.addresses.borrow() != addresses {
            self.inner.hub.set_addresses(addresses.clone());
            self.inner.addresses.replace(addresses);
        }
        if members != **self.inner.members.borrow() {
            self.inner.metrics.members(&members);
            self.inner.members.send_replace(Arc::new(members));
        }
    }

    /// Addresses of all known daemons, and of those known only from the platform's list.
    fn addresses(&self, members: &Members) -> IndexMap<InstanceId, SocketAddr> {
        let list = self.inner.list.borrow();
        let listed = list.entries.iter().map(|it| (it.id.clone(), it.peer));
        let known = members.values().map(|it| (it.id.clone(), it.peer));
        let mut addresses: IndexMap<_, _> = listed.chain(known).collect();
        addresses.swap_remove(self.inner.hub.me());
        addresses
    }

    fn report(&self, event: &Event) {
        self.inner.metrics.event(event);
        match event {
            Event::Joined(id) => log::info!("CP0501 instance {id} joined"),
            Event::Suspected(id) => log::warn!("CP0502 instance {id} did not answer its probes"),
            Event::Refuted(id) => log::info!("CP0503 instance {id} is alive again"),
            Event::Leaving(id) => log::info!("CP0504 instance {id} takes no new work"),
            Event::Died(id) => log::warn!("CP0505 instance {id} is dead or has shut down"),
            Event::SelfSuspected(incarnation) => log::warn!(
                "CP0506 this instance was suspected; refuted with incarnation {incarnation}"
            ),
            Event::Stalled(gap) => log::warn!("CP0507 this process did not run for {gap:?}"),
            Event::ListedLeaving(true) => {
                log::warn!("CP0508 the platform's list marks this instance as leaving");
            }
            Event::ListedLeaving(false) => {
                log::warn!("CP0509 the platform's list no longer marks this instance as leaving");
            }
            Event::AddressMismatch(id) => {
                log::debug!(
                    "CP0512 datagram in the name of instance {id} came from an unknown address"
                );
            }
        }
    }
}

/// Whether the list can still change; tests may have dropped its sender.
fn can_change(list: &watch::Receiver<Arc<List>>) -> bool {
    list.has_changed().is_ok()
}

fn reason(error: &member::Error) -> &'static str {
    match error {
        member::Error::Decode(_) | member::Error::Field { .. } => "garbage",
        member::Error::Version { .. } => "version",
        member::Error::Cluster { .. } => "cluster",
    }
}

/// Milliseconds since 1970, by the wall clock.
fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
