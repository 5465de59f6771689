//! Puts the parts of the daemon together and runs them until it ends.

mod leave;
mod router;

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::net::{TcpListener, UdpSocket};
use citron_policy::{crash, state::Command};
use derive_more::{Display, Error, From};
use prometheus_client::registry::Registry;
use tokio::sync::{oneshot, watch};

use crate::{
    admin::{self, Admin, Tokens},
    callers::{self, Callers},
    control::{self, Control, Replica},
    event::Ring,
    follow::{self, Follow},
    gossip::{self, Gossip, Own},
    http::{self, Server},
    metrics::{Metrics, Reading},
    operators,
    peers::{self, Hub},
    platform::{self, Platform},
    settings::Settings,
    slots::{self, Slots},
    trace::Tracer,
    upstream,
};
use leave::Leave;
use router::Router;

/// Time between two readings of the daemon's own state.
const TICK: Duration = Duration::from_millis(200);

/// Longest wait for a crash mark to be recorded.
const MARK_TIMEOUT: Duration = Duration::from_secs(5);

/// Most operator connections.
const MAX_ADMIN_CONNECTIONS: usize = 256;

/// Tries to find a port that is free for TCP and UDP.
const BIND_TRIES: u32 = 16;

/// Why the daemon ended.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// A listener could not be opened.
    #[display("{flag} {address}: {source}: choose another address or end the process that has it")]
    #[from(skip)]
    Bind {
        /// Setting that names the address.
        flag: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The operators' tokens cannot be used.
    Operators(operators::Fault),
    /// The data folder cannot be used.
    Replica(control::Error),
    /// The trace file cannot be opened.
    #[display("trace file: {_0}: check --trace-file")]
    Trace(io::Error),
    /// The platform's address cannot be resolved.
    #[display("platform {address}: write --platform as http://IP:PORT")]
    #[from(skip)]
    Platform {
        /// The address as set.
        address: String,
    },
    /// The control replica stopped.
    #[display("control replica stopped: {reason}")]
    #[from(skip)]
    Stopped {
        /// Why, with the remedy.
        reason: String,
    },
    /// The wait for requests in flight was too long, or was cut short.
    #[display("left with requests in flight: allow more with --drain-timeout")]
    #[from(skip)]
    CutShort,
}

/// Checks what can be checked without running.
///
/// # Errors
/// [`Failure`] with the remedy.
pub fn check(settings: &Settings) -> Result<(), Failure> {
    operators::read(settings)?;
    platform_address(settings)?;
    Ok(())
}

/// Runs the daemon until it has left.
///
/// # Errors
/// [`Failure`] when it could not start or had to stop.
pub fn run(settings: Settings) -> Result<(), Failure> {
    actix_rt::System::new().block_on(Box::pin(serve(settings)))
}

async fn serve(settings: Settings) -> Result<(), Failure> {
    let tokens = operators::read(&settings)?;
    let platform = platform_address(&settings)?;
    let tracer = match &settings.trace_file {
        Some(file) => Tracer::to_file(file)?,
        None => Tracer::default(),
    };
    let listeners = Listeners::bind(&settings).await?;
    let replica = settings.data.as_ref().map(|folder| {
        Replica::open(&control::Settings {
            folder: folder.clone(),
            ..control::Settings::default()
        })
    });
    let replica = replica.transpose()?;
    let announcement = listeners.announcement();
    let outside = Outside {
        platform,
        replica,
        tracer,
        tokens,
    };
    let (parts, failed) = Parts::start(&settings, listeners, outside);
    println!("{announcement}");
    log::info!(
        "CP0101 instance {} is up: {announcement}",
        settings.instance
    );
    let left = Leave::new(&parts, &settings).watch(failed).await;
    parts.gossip.depart().await;
    parts.tracer.flush();
    log::info!("CP0103 instance {} has left", settings.instance);
    left
}

fn platform_address(settings: &Settings) -> Result<SocketAddr, Failure> {
    let host = settings.platform.trim_start_matches("http://");
    host.parse().map_err(|_error| Failure::Platform {
        address: settings.platform.clone(),
    })
}

/// Every listening socket.
#[derive(Debug)]
struct Listeners {
    callers: TcpListener,
    peer: TcpListener,
    gossip: UdpSocket,
    admin: TcpListener,
    addresses: Addresses,
}

/// Where the listeners are.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    callers: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self, Failure> {
        let failed = |flag, address| {
            move |source| Failure::Bind {
                flag,
                address,
                source,
            }
        };
        let callers = http::bind(settings.callers).await;
        let (callers, callers_at) = callers.map_err(failed("--callers", settings.callers))?;
        let admin = http::bind(settings.admin).await;
        let (admin, admin_at) = admin.map_err(failed("--admin", settings.admin))?;
        let (peer, gossip, peer_at) = bind_peer(settings.peer)
            .await
            .map_err(failed("--peer", settings.peer))?;
        let addresses = Addresses {
            callers: callers_at,
            peer: peer_at,
            admin: admin_at,
        };
        Ok(Self {
            callers,
            peer,
            gossip,
            admin,
            addresses,
        })
    }

    /// The line on standard output that says where to connect.
    fn announcement(&self) -> String {
        let Addresses {
            callers,
            peer,
            admin,
        } = self.addresses;
        format!("listening callers={callers} peer={peer} admin={admin}")
    }
}

/// Binds TCP and UDP to one port.
async fn bind_peer(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket, SocketAddr)> {
    let mut tries = 0;
    loop {
        tries += 1;
        let (listener, bound) = http::bind(address).await?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket, bound)),
            Err(_) if address.port() == 0 && tries < BIND_TRIES => {}
            Err(error) => return Err(error),
        }
    }
}

/// What the parts need from outside.
#[derive(Debug)]
struct Outside {
    platform: SocketAddr,
    replica: Option<Replica>,
    tracer: Tracer,
    tokens: Tokens,
}

/// The running parts.
#[derive(Debug)]
struct Parts {
    hub: Hub,
    gossip: Gossip,
    follow: Follow,
    callers: Callers,
    tracer: Tracer,
    metrics: RefCell<Metrics>,
    draining: watch::Sender<bool>,
    /// Whether a signal told the daemon to leave. What the platform's list says
    /// reaches membership by itself, and can be taken back there.
    told: Cell<bool>,
}

impl Parts {
    /// Starts every part; the receiver tells when the control replica stopped.
    fn start(
        settings: &Settings,
        listeners: Listeners,
        outside: Outside,
    ) -> (Rc<Self>, oneshot::Receiver<String>) {
        let hub = Hub::new(&settings.instance, &settings.cluster);
        let platform = Platform::start(platform::Settings {
            address: outside.platform,
            ..platform::Settings::default()
        });
        let membership = membership(settings, listeners.addresses, outside.replica.as_ref());
        let gossip = Gossip::start(membership, listeners.gossip, hub.clone(), platform.list());
        let replicated = outside.replica.is_some();
        let started = Control::start(&hub, gossip.members(), outside.replica);
        let local = replicated.then_some(started.feed);
        let follow = Follow::start(
            follow::Settings::default(),
            hub.clone(),
            gossip.members(),
            local,
        );
        let ring = Ring::default();
        let inputs = slots::Inputs {
            members: gossip.members(),
            platform: platform.list(),
            view: follow.view(),
        };
        let slots = Slots::new(hub.clone(), inputs, propose(&started.control), ring.clone());
        let (draining, drained) = watch::channel(false);
        let upstream = upstream::Metrics::default();
        let callers = Callers::new(callers::Ports {
            me: settings.instance.clone(),
            max_body_bytes: settings.max_body_bytes,
            view: follow.view(),
            members: gossip.members(),
            draining: drained,
            follow: follow.clone(),
            slots: slots.clone(),
            control: started.control.clone(),
            ring: ring.clone(),
            tracer: outside.tracer.clone(),
            upstream: upstream.clone(),
        });
        let metrics = Metrics::default();
        let mut registry = Registry::default();
        metrics.register(&mut registry);
        callers.register(&mut registry);
        started.control.register(&mut registry);
        upstream.register(&mut registry);
        gossip.metrics().register(&mut registry);
        platform.metrics().register(&mut registry);
        follow.metrics().register(&mut registry);
        slots.metrics().register(&mut registry);
        let counters = admin::Metrics::default();
        counters.register(&mut registry);
        let admin = Admin::new(admin::Ports {
            tokens: outside.tokens,
            log: Rc::new(started.control.clone()),
            hub: hub.clone(),
            members: gossip.members(),
            platform: platform.list(),
            view: follow.view(),
            ring,
            registry: Rc::new(registry),
            metrics: counters,
        });
        let router = Router {
            admin: admin.clone(),
            control: started.control,
            follow: follow.clone(),
            slots: slots.clone(),
        };
        actix_rt::spawn(peers::listen(hub.clone(), listeners.peer, Rc::new(router)));
        actix_rt::spawn(async move { slots.run().await });
        let server = Server {
            listener: listeners.callers,
            handler: callers.handler(),
            max_connections: settings.max_connections,
        };
        actix_rt::spawn(server.run());
        let operators = Server {
            listener: listeners.admin,
            handler: admin.handler(),
            max_connections: MAX_ADMIN_CONNECTIONS,
        };
        actix_rt::spawn(operators.run());
        let tracer = outside.tracer;
        let metrics = RefCell::new(metrics);
        let parts = Rc::new(Self {
            hub,
            gossip,
            follow,
            callers,
            tracer,
            metrics,
            draining,
            told: Cell::new(false),
        });
        actix_rt::spawn(Rc::clone(&parts).tick());
        (parts, started.failed)
    }

    /// Tells the others and the metrics how this daemon stands, for ever.
    async fn tick(self: Rc<Self>) {
        loop {
            let reading = self.reading(Instant::now());
            self.gossip.set_self(Own {
                leaving: self.told.get(),
                revision: reading.revision,
                load: reading.in_flight,
                current: reading.current,
            });
            self.metrics.borrow_mut().update(&reading, &self.hub);
            actix_rt::time::sleep(TICK).await;
        }
    }

    fn reading(&self, now: Instant) -> Reading {
        Reading {
            in_flight: self.callers.in_flight(),
            revision: self.follow.view().borrow().catalogue.revision,
            current: self.follow.may_take_work(now),
        }
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
        replica: replica.map(Replica::id),
    }
}

/// Records crash marks in the control log; one that is lost is proposed again.
fn propose(control: &Control) -> slots::Propose {
    let control = control.clone();
    Rc::new(move |step: crash::Step| {
        let control = control.clone();
        actix_rt::spawn(async move {
            if let Err(error) = control.submit(Command::Crash(step), MARK_TIMEOUT).await {
                log::warn!("CP0104 crash mark not recorded: {error}");
            }
        });
    })
}
