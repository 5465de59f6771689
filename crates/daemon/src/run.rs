//! Puts the parts of the daemon together and runs them until it ends.

mod core;
mod leave;
mod listeners;
mod router;

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::net::TcpListener;
use derive_more::{Display, Error, From};
use prometheus_client::registry::Registry;
use tokio::sync::{oneshot, watch};

use crate::{
    admin::{self, Admin, Tokens},
    callers::{self, Callers},
    control::{self, Replica},
    gossip::Own,
    http::{Handler, Server},
    metrics::{Metrics, Reading},
    operators, peers,
    settings::Settings,
    trace::Tracer,
    upstream,
};
use core::Core;
use leave::Leave;
use listeners::Listeners;
use router::Router;

/// Time between two readings of the daemon's own state.
const TICK: Duration = Duration::from_millis(200);

/// Most operator connections.
const MAX_ADMIN_CONNECTIONS: usize = 256;

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
    parts.core.gossip.depart().await;
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

/// What the parts need from outside.
#[derive(Debug)]
struct Outside {
    platform: SocketAddr,
    replica: Option<Replica>,
    tracer: Tracer,
    tokens: Tokens,
}

/// The running daemon.
#[derive(Debug)]
struct Parts {
    core: Core,
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
        let Outside {
            platform,
            replica,
            tracer,
            tokens,
        } = outside;
        let Listeners {
            callers: callers_in,
            peer: peer_in,
            gossip,
            admin: admin_in,
            addresses,
        } = listeners;
        let (core, failed) = Core::start(settings, addresses, gossip, platform, replica);
        let (draining, drained) = watch::channel(false);
        let upstream = upstream::Metrics::default();
        let callers = callers(settings, &core, drained, &tracer, &upstream);
        let metrics = Metrics::default();
        let mut registry = Registry::default();
        metrics.register(&mut registry);
        callers.register(&mut registry);
        upstream.register(&mut registry);
        core.register(&mut registry);
        let admin = admin(&core, tokens, registry);
        serve_peers(&core, &admin, peer_in);
        serve_http(callers_in, callers.handler(), settings.max_connections);
        serve_http(admin_in, admin.handler(), MAX_ADMIN_CONNECTIONS);
        let metrics = RefCell::new(metrics);
        let told = Cell::new(false);
        let parts = Rc::new(Self {
            core,
            callers,
            tracer,
            metrics,
            draining,
            told,
        });
        actix_rt::spawn(Rc::clone(&parts).tick());
        (parts, failed)
    }

    /// Tells the others and the metrics how this daemon stands, for ever.
    async fn tick(self: Rc<Self>) {
        loop {
            let reading = self.reading(Instant::now());
            self.core.gossip.set_self(Own {
                leaving: self.told.get(),
                revision: reading.revision,
                load: reading.in_flight,
                current: reading.current,
            });
            self.metrics.borrow_mut().update(&reading, &self.core.hub);
            actix_rt::time::sleep(TICK).await;
        }
    }

    fn reading(&self, now: Instant) -> Reading {
        Reading {
            in_flight: self.callers.in_flight(),
            revision: self.core.follow.view().borrow().catalogue.revision,
            current: self.core.follow.may_take_work(now),
        }
    }
}

fn callers(
    settings: &Settings,
    core: &Core,
    draining: watch::Receiver<bool>,
    tracer: &Tracer,
    upstream: &upstream::Metrics,
) -> Callers {
    Callers::new(callers::Ports {
        me: settings.instance.clone(),
        max_body_bytes: settings.max_body_bytes,
        view: core.follow.view(),
        members: core.gossip.members(),
        draining,
        follow: core.follow.clone(),
        slots: core.slots.clone(),
        control: core.control.clone(),
        ring: core.ring.clone(),
        tracer: tracer.clone(),
        upstream: upstream.clone(),
    })
}

fn admin(core: &Core, tokens: Tokens, mut registry: Registry) -> Admin {
    let metrics = admin::Metrics::default();
    metrics.register(&mut registry);
    Admin::new(admin::Ports {
        tokens,
        log: Rc::new(core.control.clone()),
        hub: core.hub.clone(),
        members: core.gossip.members(),
        platform: core.platform.list(),
        view: core.follow.view(),
        ring: core.ring.clone(),
        registry: Rc::new(registry),
        metrics,
    })
}

fn serve_peers(core: &Core, admin: &Admin, listener: TcpListener) {
    let router = Router {
        admin: admin.clone(),
        control: core.control.clone(),
        follow: core.follow.clone(),
        slots: core.slots.clone(),
    };
    actix_rt::spawn(peers::listen(core.hub.clone(), listener, Rc::new(router)));
}

fn serve_http(listener: TcpListener, handler: Handler, max_connections: usize) {
    actix_rt::spawn(
        Server {
            listener,
            handler,
            max_connections,
        }
        .run(),
    );
}
