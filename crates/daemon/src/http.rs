//! The server side of HTTP: an accept loop on the daemon's own thread.
//!
//! Connections are served one by one through `actix-http`, so that handlers
//! may share state without locks. Each connection keeps a [`Watch`], since the
//! library does not tell a waiting handler that its caller has left.

mod watch;

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpService, KeepAlive, Request, Response, body::BoxBody};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory, fn_service};
use futures_util::future::LocalBoxFuture;
use tokio::sync::watch::Receiver;

pub use watch::Watch;

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Longest time between two requests of one connection.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// Longest time to send a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for a connection to close.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers one request.
pub type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// A listener and what serves it.
#[derive(derive_more::Debug)]
pub struct Server {
    /// Where connections come in.
    pub listener: TcpListener,
    /// What answers requests.
    #[debug(skip)]
    pub handler: Handler,
    /// Most connections at once; more are closed at once.
    pub max_connections: usize,
    /// Becomes true when no more connections are accepted.
    pub closing: Receiver<bool>,
}

impl Server {
    /// Serves until the process ends; accepts until it is told to close.
    pub async fn run(mut self) {
        let handler = Rc::clone(&self.handler);
        let factory = HttpService::<TcpStream, _, _>::build()
            .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
            .client_request_timeout(HEAD_TIMEOUT)
            .client_disconnect_timeout(DISCONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .on_connect_ext(|stream: &TcpStream, extensions| {
                if let Ok(watch) = Watch::of(stream) {
                    extensions.insert(watch);
                }
            })
            .h1(fn_service(move |request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            }))
            .tcp();
        let Ok(service) = factory.new_service(()).await else {
            return;
        };
        let open = Rc::new(Cell::new(0));
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                Ok(_) = self.closing.wait_for(|closing| *closing) => return,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("CP0110 connection not accepted: {error}");
                    actix_rt::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if open.get() >= self.max_connections {
                log::warn!(
                    "CP0111 connection closed: {} are open, the most allowed",
                    open.get()
                );
                continue;
            }
            let counted = OpenConnection::new(&open);
            let connection = service.call(stream);
            actix_rt::spawn(async move {
                if let Err(error) = connection.await {
                    log::debug!("CP0112 connection ended: {error}");
                }
                drop(counted);
            });
        }
    }
}

/// Binds a listener; the address with port zero is replaced by the real one.
///
/// # Errors
/// The system's error, such as an address in use.
pub async fn bind(address: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Counts one open connection until dropped.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
