//! Membership over UDP.
//!
//! The decisions are [`citron_policy::swim`]'s; this adapter owns the socket,
//! the clock and the random source, and tells the peer connections the
//! addresses that membership found. A datagram that is garbage, too long, of
//! another version or another cluster is dropped and counted.

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

/// Time for the last announcement to leave the socket.
const DEPART_PAUSE: Duration = Duration::from_millis(50);

/// Times that the last announcement is sent, against loss.
const DEPART_REPEATS: usize = 3;

/// Most datagrams taken in before the clock is looked at again.
const RECEIVE_BATCH: usize = 64;

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
    /// Processor that it may use, in thousandths of a core; zero if not declared.
    pub capacity: u32,
    /// Identity of its data folder, if it is a control replica.
    pub replica: Option<ReplicaId>,
    /// Addresses for peers of daemons that may be there.
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
    book: RefCell<IndexMap<InstanceId, SocketAddr>>,
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
    /// Starts membership on a bound socket, and keeps the hub's address book.
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
            wall_ms(),
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
            book: RefCell::default(),
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

    /// Every known daemon, this one included.
    #[must_use]
    pub fn members(&self) -> watch::Receiver<Arc<Members>> {
        self.inner.members.subscribe()
    }

    /// Whether this daemon should leave: asked to, or said so by the platform's list.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.inner.swim.borrow().leaving()
    }

    /// Whether others are known but none was heard for a while.
    #[must_use]
    pub fn cut_off(&self) -> bool {
        self.inner.swim.borrow().cut_off(Instant::now())
    }

    /// Replaces the addresses at which other daemons may be found.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.inner.swim.borrow_mut().set_seeds(seeds);
    }

    /// Says anew what others should know of this daemon.
    pub fn set_self(&self, own: LocalStatus) {
        let now = Instant::now();
        self.act(|swim| swim.set_status(now, own, &mut rand::rng()));
    }

    /// Announces at once, and for good, that this daemon takes no new work.
    pub fn leave(&self) {
        let now = Instant::now();
        self.act(|swim| swim.leave(now, &mut rand::rng()));
    }

    /// Announces that this daemon ends now; nothing is answered afterwards.
    pub async fn depart(&self) {
        for _ in 0..DEPART_REPEATS {
            self.act(|swim| swim.depart(&mut rand::rng()));
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
        self.take_list(&mut list);
        let mut ticks = actix_rt::time::interval(tick);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.on_tick(),
                changed = list.changed(), if changed_possible(&list) => {
                    if changed.is_ok() {
                        self.take_list(&mut list);
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

    fn take_list(&self, list: &mut watch::Receiver<Arc<List>>) {
        let list = Arc::clone(&list.borrow_and_update());
        let now = Instant::now();
        self.act(|swim| swim.set_list(now, &list, &mut rand::rng()));
    }

    fn on_tick(&self) {
        let now = Instant::now();
        self.act(|swim| swim.tick(now, &mut rand::rng()));
        self.inner.metrics.observe(&self.inner.swim.borrow());
    }

    /// Takes in what waits in the socket, up to a bound.
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
                self.act(|swim| swim.on_message(now, from, message, &mut rand::rng()));
            }
            Err(error) => {
                self.inner.metrics.refused(reason(&error));
                log::debug!("CP0510 datagram from {from} dropped: {error}");
            }
        }
    }

    /// Runs one step of the state machine and carries out what follows.
    fn act<F>(&self, step: F)
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
        let book = self.book(&members);
        if *self.inner.book.borrow() != book {
            self.inner.hub.set_addresses(book.clone());
            self.inner.book.replace(book);
        }
        if members != **self.inner.members.borrow() {
            self.inner.metrics.members(&members);
            self.inner.members.send_replace(Arc::new(members));
        }
    }

    /// Addresses of all known daemons, and of those that are only listed.
    fn book(&self, members: &Members) -> IndexMap<InstanceId, SocketAddr> {
        let list = self.inner.list.borrow();
        let listed = list.entries.iter().map(|it| (it.id.clone(), it.peer));
        let known = members.values().map(|it| (it.id.clone(), it.peer));
        let mut book: IndexMap<_, _> = listed.chain(known).collect();
        book.swap_remove(self.inner.hub.me());
        book
    }

    fn report(&self, event: &Event) {
        self.inner.metrics.event(event);
        match event {
            Event::Joined(id) => log::info!("CP0501 instance {id} joined"),
            Event::Suspected(id) => log::warn!("CP0502 instance {id} missed its probes"),
            Event::Refuted(id) => log::info!("CP0503 instance {id} answered again"),
            Event::Leaving(id) => log::info!("CP0504 instance {id} takes no new work"),
            Event::Died(id) => log::warn!("CP0505 instance {id} is given up or has ended"),
            Event::SelfSuspected(incarnation) => log::warn!(
                "CP0506 this instance was held unreachable, refuted with incarnation {incarnation}"
            ),
            Event::Stalled(gap) => log::warn!("CP0507 this process was stopped for {gap:?}"),
            Event::ListedLeaving(true) => {
                log::warn!("CP0508 the platform's list says that this instance leaves");
            }
            Event::ListedLeaving(false) => {
                log::warn!("CP0509 the platform's list no longer says that this instance leaves");
            }
            Event::AddressMismatch(id) => {
                log::debug!("CP0512 datagram under the name {id} came from an unknown address");
            }
        }
    }
}

/// Whether the list can still change; its sender may be gone in tests.
fn changed_possible(list: &watch::Receiver<Arc<List>>) -> bool {
    list.has_changed().is_ok()
}

fn reason(error: &member::Error) -> &'static str {
    match error {
        member::Error::Garbage(_) | member::Error::Field { .. } => "garbage",
        member::Error::Version { .. } => "version",
        member::Error::Cluster { .. } => "cluster",
    }
}

/// Milliseconds of the wall clock since 1970.
fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
