//! Starts the parts of the daemon and runs them until it exits.

mod core;
mod listeners;
mod router;
mod shutdown;

use std::{
    cell::{Cell, RefCell},
    io::{self, Write},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::net::TcpListener;
use citron_policy::{discovery, platform::reader, raft};
use derive_more::{Display, Error, From};
use prometheus_client::registry::Registry;
use tokio::sync::{oneshot, watch};

use crate::{
    admin::{self, Admin, Tokens},
    buffers::Buffers,
    callers::{self, Callers},
    clock,
    control::{self, Replica},
    duty::{
        self, Duty, Usage,
        scale::{self, Scale},
    },
    edge::Adapter,
    exchange::{self, Exchange},
    gossip::LocalStatus,
    handle::Handle,
    http::{Handler, Server, Transit},
    loop_lag,
    metrics::{self, Metrics, Sample},
    operators, peers, platform,
    settings::Settings,
    trace::Tracer,
    upstream,
};
use core::Core;
use listeners::Listeners;
use router::Router;
use shutdown::Shutdown;

/// Maximum wait for the last requests after the listeners stop accepting.
const FINISH_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which they are polled; also the time for the last response to
/// leave the socket.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between updates of the daemon's own status.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum wait at startup for a disk that is not usable yet.
const DISK_TIMEOUT: Duration = Duration::from_secs(6);

/// Interval between attempts to open the data folder.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of connections to each control address of an adapter.
const MAX_ADAPTER_CONNECTIONS: usize = 256;

/// Maximum number of connections to the operators' listener, and to the metrics
/// listener.
const MAX_ADMIN_CONNECTIONS: usize = 256;

/// Reason why the daemon did not start or had to stop.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// A listener could not be bound.
    #[display(
        "{flag} {address}: {source}: choose another address or stop the process that uses it"
    )]
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
        /// The address as given.
        address: String,
    },
    /// The control replica stopped.
    #[display("control replica stopped: {reason}")]
    #[from(skip)]
    Stopped {
        /// Cause and remedy.
        reason: String,
    },
    /// The wait for requests in flight timed out, or a second signal ended it.
    #[display("stopped with requests in flight: allow more time with --drain-timeout")]
    #[from(skip)]
    CutShort,
}

/// Checks the settings as far as possible without running the daemon.
///
/// # Errors
/// [`Failure`] with the remedy.
pub fn check(settings: &Settings) -> Result<(), Failure> {
    operators::read(settings)?;
    platform_address(settings)?;
    Ok(())
}

/// Runs the daemon until it has left the cluster; behind an adapter if one is given.
///
/// # Errors
/// [`Failure`] if it cannot start or has to stop.
pub fn run(settings: Settings, adapter: Option<Adapter>) -> Result<(), Failure> {
    actix_rt::System::new().block_on(Box::pin(serve(settings, adapter)))
}

async fn serve(settings: Settings, adapter: Option<Adapter>) -> Result<(), Failure> {
    let named = settings.operator_token_file.is_some() || settings.operator_tokens.is_some();
    // Without operator tokens, operators use the adapter's own control addresses.
    let tokens = match &adapter {
        Some(_) if !named => Tokens::default(),
        _ => operators::read(&settings)?,
    };
    let platform = platform(&settings, adapter.as_ref())?;
    let tracer = match &settings.trace_file {
        Some(file) => Tracer::to_file(file)?,
        None => Tracer::default(),
    };
    let management_addresses = adapter
        .as_ref()
        .map_or(&[][..], |it| &it.management_addresses);
    let listeners = Listeners::bind(&settings, management_addresses).await?;
    let replica = open_replica(&settings, adapter.is_some()).await?;
    let announcement = listeners.announcement();
    let resources = Resources {
        platform,
        adapter,
        replica,
        tracer,
        tokens,
    };
    let (parts, failed) = Parts::start(&settings, listeners, resources);
    // The next line logs it as well, and the output may be a file on a full disk.
    drop(writeln!(io::stdout(), "{announcement}"));
    log::info!(
        "CP0101 instance {} is up: {announcement}",
        settings.instance
    );
    let left = Shutdown::new(&parts, &settings).wait(failed).await;
    parts.stopped.send_replace(true);
    parts.core.gossip.depart().await;
    parts.finish().await;
    if let Some(usage) = &parts.usage {
        usage.flush().await;
    }
    parts.tracer.flush();
    log::info!("CP0103 instance {} has left", settings.instance);
    left
}

/// Opens the data folder, if one is configured.
///
/// A daemon that can run without its disk retries until [`DISK_TIMEOUT`] and then
/// starts; its control replica takes part once the folder can be opened.
async fn open_replica(
    settings: &Settings,
    outlive_disk: bool,
) -> Result<Option<Replica>, control::Error> {
    let Some(folder) = &settings.data else {
        return Ok(None);
    };
    let settings = control::Settings {
        folder: folder.clone(),
        outlive_disk,
        raft: raft::Settings {
            voters: settings.voters,
            ..raft::Settings::default()
        },
        ..control::Settings::default()
    };
    let end = Instant::now() + DISK_TIMEOUT;
    loop {
        match Replica::open(&settings) {
            Ok(replica) => return Ok(Some(replica)),
            Err(error) if !outlive_disk => return Err(error),
            Err(error) if Instant::now() >= end => {
                log::error!(event = "CP0413"; "started without a control replica: {error}");
                // An unused folder has no identity yet that others could be told.
                return Ok(Replica::wait(&settings).unwrap_or_default());
            }
            Err(_) => actix_rt::time::sleep(DISK_RETRY_INTERVAL).await,
        }
    }
}

/// Settings for reading the platform's list.
fn platform(settings: &Settings, adapter: Option<&Adapter>) -> Result<platform::Settings, Failure> {
    let Some(adapter) = adapter else {
        return Ok(platform::Settings {
            address: platform_address(settings)?,
            ..platform::Settings::default()
        });
    };
    Ok(platform::Settings {
        needed_by_all: false,
        schedule: reader::Settings {
            // Few instances have a data folder, and arbiters mostly start on these.
            at_start: settings.data.is_some(),
            ..reader::Settings::default()
        },
        listing: Some(Rc::clone(&adapter.listing)),
        ..platform::Settings::default()
    })
}

fn platform_address(settings: &Settings) -> Result<SocketAddr, Failure> {
    let host = settings.platform.trim_start_matches("http://");
    host.parse().map_err(|_error| Failure::Platform {
        address: settings.platform.clone(),
    })
}

/// Inputs for starting the parts.
#[derive(Debug)]
struct Resources {
    platform: platform::Settings,
    adapter: Option<Adapter>,
    replica: Option<Replica>,
    tracer: Tracer,
    tokens: Tokens,
}

/// The running daemon.
#[derive(Debug)]
struct Parts {
    core: Core,
    front: Front,
    /// Reports of usage; none unless this is a duty.
    usage: Option<Usage>,
    /// Answers to callers that are still being sent.
    transit: Transit,
    tracer: Tracer,
    metrics: RefCell<Metrics>,
    draining: watch::Sender<bool>,
    /// Becomes true when new requests might not finish before the process must end.
    closing: watch::Sender<bool>,
    /// When the last request must be answered; none while the daemon stays.
    end: watch::Sender<Option<Instant>>,
    /// Becomes true just before the process ends, when listeners stop accepting.
    stopped: watch::Sender<bool>,
    /// Whether a signal told the daemon to leave. A leave requested by the
    /// platform's list reaches membership on its own and can be withdrawn there.
    signalled: Cell<bool>,
    /// Delays of the event loop.
    lag: loop_lag::Metrics,
}

impl Parts {
    /// Starts every part; the receiver resolves with the reason if the control
    /// replica stops.
    fn start(
        settings: &Settings,
        listeners: Listeners,
        resources: Resources,
    ) -> (Rc<Self>, oneshot::Receiver<String>) {
        let Resources {
            platform,
            adapter,
            replica,
            tracer,
            tokens,
        } = resources;
        let Listeners {
            callers: callers_listener,
            peer: peer_listener,
            gossip,
            admin: admin_listener,
            metrics: metrics_listener,
            management: management_listeners,
            addresses,
        } = listeners;
        let reader = adapter.as_ref().map(|it| Rc::clone(&it.declarations));
        let (core, failed) = Core::start(settings, addresses, gossip, platform, replica, reader);
        let (draining, drained) = watch::channel(false);
        let (closing, closed) = watch::channel(false);
        let (end, ends_at) = watch::channel(None);
        let (stopped, ended) = watch::channel(false);
        let upstream = upstream::Metrics::default();
        let buffers = Buffers::new(settings.memory_bytes);
        let handle = handle(&core, drained.clone());
        let duty = duty(settings, &core, &drained, adapter.as_ref());
        let scale = scale(&core, duty.as_ref());
        let usage = duty.as_ref();
        let usage = usage.and_then(|it| Usage::start(it, core.hub.clone()));
        let front = match &adapter {
            Some(adapter) => {
                let stop = StopSignals {
                    draining: drained,
                    closing: closed.clone(),
                    end: ends_at,
                };
                let inputs = (adapter, usage.clone());
                Front::Adapter(exchange(settings, &core, stop, inputs, &upstream, &buffers))
            }
            None => Front::Native(callers(
                settings, &core, drained, &tracer, &upstream, &buffers,
            )),
        };
        let metrics = Metrics::default();
        let mut registry = Registry::default();
        metrics.register(&mut registry);
        let lag = loop_lag::Metrics::default();
        lag.register(&mut registry);
        actix_rt::spawn(loop_lag::measure(lag.clone()));
        front.register(&mut registry);
        upstream.register(&mut registry);
        buffers.register(&mut registry);
        core.register(&mut registry);
        register_duties(&mut registry, duty.as_ref(), usage.as_ref(), scale.as_ref());
        let admin_metrics = admin::Metrics::default();
        admin_metrics.register(&mut registry);
        let registry = Rc::new(registry);
        let admin = admin(&core, tokens, admin_metrics, Rc::clone(&registry));
        serve_peers(&core, &admin, usage.clone(), scale, peer_listener);
        let transit = Transit::default();
        serve_http(
            callers_listener,
            front.handler(),
            settings.max_connections,
            if front.names_others() {
                &ended
            } else {
                &closed
            },
            &transit,
        );
        if let Some(listener) = metrics_listener {
            serve_control(listener, metrics::handler(registry), &ended);
        }
        if let Some(adapter) = adapter {
            serve_adapter(&adapter, &handle, management_listeners, &ended);
        }
        serve_control(admin_listener, admin.handler(), &ended);
        let metrics = RefCell::new(metrics);
        let signalled = Cell::new(false);
        let parts = Rc::new(Self {
            core,
            front,
            usage,
            transit,
            tracer,
            metrics,
            draining,
            closing,
            end,
            stopped,
            signalled,
            lag,
        });
        actix_rt::spawn(Rc::clone(&parts).run_updates());
        (parts, failed)
    }

    /// Whether a request is in flight, or an answer still being sent.
    fn is_busy(&self) -> bool {
        self.front.in_flight() > 0 || self.transit.answers() > 0
    }

    /// Waits briefly for requests that arrived while the daemon announced its end.
    async fn finish(&self) {
        let end = Instant::now() + FINISH_TIMEOUT;
        while self.is_busy() && Instant::now() < end {
            actix_rt::time::sleep(FINISH_POLL_INTERVAL).await;
        }
        actix_rt::time::sleep(FINISH_POLL_INTERVAL).await;
    }

    /// Publishes this daemon's status to membership and metrics, until the process ends.
    async fn run_updates(self: Rc<Self>) {
        loop {
            let sample = self.sample(clock::now());
            let role = self.core.slots.list_role();
            self.core.platform.need().set(Instant::now(), role);
            self.core.gossip.set_self(LocalStatus {
                leaving: self.signalled.get(),
                revision: sample.revision,
                load: self.reported_load(sample.in_flight),
                current: sample.current,
            });
            self.metrics.borrow_mut().update(&sample, &self.core.hub);
            actix_rt::time::sleep(UPDATE_INTERVAL).await;
        }
    }

    /// Load that the other daemons order callers' addresses by.
    fn reported_load(&self, in_flight: u32) -> u32 {
        if self.core.shared_hosts.get() {
            discovery::delayed_load(in_flight, self.lag.mean())
        } else {
            in_flight
        }
    }

    /// Whether this daemon accepts requests of callers.
    fn accepts_work(&self, now: Instant) -> bool {
        let declared = self.core.follow.view().borrow().declaration.is_some();
        let known = matches!(self.front, Front::Native(_)) || declared;
        known && self.core.follow.may_take_work(now)
    }

    fn sample(&self, now: Instant) -> Sample {
        Sample {
            in_flight: self.front.in_flight(),
            sending: self.transit.answers(),
            unsent_bytes: self.transit.bytes(),
            revision: self.core.follow.view().borrow().catalogue.revision,
            current: self.accepts_work(now),
        }
    }
}

/// The interface for callers.
#[derive(Debug)]
enum Front {
    /// Citronpond's own interface.
    Native(Callers),
    /// An adapter's protocol.
    Adapter(Exchange),
}

impl Front {
    fn handler(&self) -> Handler {
        match self {
            Self::Native(callers) => callers.handler(),
            Self::Adapter(exchange) => exchange.handler(),
        }
    }

    /// Whether a refusal tells the caller other addresses.
    fn names_others(&self) -> bool {
        matches!(self, Self::Native(_))
    }

    fn in_flight(&self) -> u32 {
        match self {
            Self::Native(callers) => callers.in_flight(),
            Self::Adapter(exchange) => exchange.in_flight(),
        }
    }

    fn register(&self, registry: &mut Registry) {
        match self {
            Self::Native(callers) => callers.register(registry),
            Self::Adapter(exchange) => exchange.register(registry),
        }
    }
}

fn handle(core: &Core, draining: watch::Receiver<bool>) -> Handle {
    Handle {
        control: core.control.clone(),
        follow: core.follow.clone(),
        gossip: core.gossip.clone(),
        view: core.follow.view(),
        members: core.gossip.members(),
        draining,
        shared_hosts: core.shared_hosts.clone(),
    }
}

/// Starts the duties, if there are any.
fn duty(
    settings: &Settings,
    core: &Core,
    draining: &watch::Receiver<bool>,
    adapter: Option<&Adapter>,
) -> Option<Duty> {
    let (address, calls) = adapter?.duties.clone()?;
    settings.duties.is_enabled().then(|| {
        let ports = duty::Ports {
            me: settings.instance.clone(),
            control: core.control.clone(),
            members: core.gossip.members(),
            draining: draining.clone(),
            address,
            calls,
        };
        Duty::start(settings.duties.clone(), ports)
    })
}

/// Starts the orders of runners, if these are a duty.
fn scale(core: &Core, duty: Option<&Duty>) -> Option<Scale> {
    let duty = duty.filter(|it| it.settings().scaling)?;
    let ports = scale::Ports {
        duty: duty.clone(),
        hub: core.hub.clone(),
        members: core.gossip.members(),
        slots: core.slots.clone(),
        view: core.follow.view(),
    };
    Some(Scale::start(ports))
}

/// Adds the metrics of the duties to a registry, as far as there are any.
fn register_duties(
    registry: &mut Registry,
    duty: Option<&Duty>,
    usage: Option<&Usage>,
    scale: Option<&Scale>,
) {
    if let Some(duty) = duty {
        duty.register(registry);
    }
    if let Some(usage) = usage {
        usage.register(registry);
    }
    if let Some(scale) = scale {
        scale.register(registry);
    }
}

/// Channels that tell the parts that the daemon is stopping.
struct StopSignals {
    draining: watch::Receiver<bool>,
    closing: watch::Receiver<bool>,
    end: watch::Receiver<Option<Instant>>,
}

fn exchange(
    settings: &Settings,
    core: &Core,
    stop: StopSignals,
    (adapter, usage): (&Adapter, Option<Usage>),
    upstream: &upstream::Metrics,
    buffers: &Buffers,
) -> Exchange {
    Exchange::new(exchange::Ports {
        max_body_bytes: settings.max_body_bytes,
        buffers: buffers.clone(),
        log_rate: settings.log_rate,
        retry_slack: settings.retry_slack,
        shared_hosts: core.shared_hosts.clone(),
        me: settings.instance.clone(),
        members: core.gossip.members(),
        view: core.follow.view(),
        follow: core.follow.clone(),
        draining: stop.draining,
        closing: stop.closing,
        end: stop.end,
        slots: core.slots.clone(),
        adapter: adapter.clone(),
        usage,
        upstream: upstream.clone(),
    })
}

fn serve_adapter(
    adapter: &Adapter,
    handle: &Handle,
    listeners: Vec<TcpListener>,
    stopped: &watch::Receiver<bool>,
) {
    adapter.management.started(handle.clone());
    for listener in listeners {
        let (management, handle) = (Rc::clone(&adapter.management), handle.clone());
        let handler: Handler = Rc::new(move |request| management.answer(handle.clone(), request));
        let transit = Transit::default();
        serve_http(
            listener,
            handler,
            MAX_ADAPTER_CONNECTIONS,
            stopped,
            &transit,
        );
    }
}

fn callers(
    settings: &Settings,
    core: &Core,
    draining: watch::Receiver<bool>,
    tracer: &Tracer,
    upstream: &upstream::Metrics,
    buffers: &Buffers,
) -> Callers {
    Callers::new(callers::Ports {
        me: settings.instance.clone(),
        max_body_bytes: settings.max_body_bytes,
        buffers: buffers.clone(),
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

fn admin(core: &Core, tokens: Tokens, metrics: admin::Metrics, registry: Rc<Registry>) -> Admin {
    Admin::new(admin::Ports {
        tokens,
        log: Rc::new(core.control.clone()),
        hub: core.hub.clone(),
        members: core.gossip.members(),
        platform: core.platform.list(),
        view: core.follow.view(),
        ring: core.ring.clone(),
        registry,
        metrics,
    })
}

fn serve_peers(
    core: &Core,
    admin: &Admin,
    usage: Option<Usage>,
    scale: Option<Scale>,
    listener: TcpListener,
) {
    let router = Router {
        admin: admin.clone(),
        control: core.control.clone(),
        follow: core.follow.clone(),
        slots: core.slots.clone(),
        scale,
        usage,
    };
    actix_rt::spawn(peers::listen(core.hub.clone(), listener, Rc::new(router)));
}

/// Serves the operators' listener or the metrics listener.
fn serve_control(listener: TcpListener, handler: Handler, stopped: &watch::Receiver<bool>) {
    let transit = Transit::default();
    serve_http(listener, handler, MAX_ADMIN_CONNECTIONS, stopped, &transit);
}

fn serve_http(
    listener: TcpListener,
    handler: Handler,
    max_connections: usize,
    stopped: &watch::Receiver<bool>,
    transit: &Transit,
) {
    actix_rt::spawn(
        Server {
            listener,
            handler,
            max_connections,
            stopped: stopped.clone(),
            transit: transit.clone(),
        }
        .run(),
    );
}
