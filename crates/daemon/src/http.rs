//! HTTP server: an accept loop on the daemon's own thread.
//!
//! Connections are served through `actix-http` on one thread, so that handlers
//! may share state without locks. Each connection has a [`Watch`], because the
//! library does not notify a waiting handler when its caller disconnects.

mod transit;
mod watch;
pub mod written;

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    ConnectionType, HttpService, KeepAlive, Request, Response, Version,
    body::{BodySize, BoxBody, MessageBody as _},
};
use actix_rt::net::TcpListener;
use actix_service::{Service, ServiceFactory, fn_service};
use futures_util::future::LocalBoxFuture;
use tokio::sync::watch::Receiver;

use self::transit::{Sending, Stream};
pub use self::{transit::Transit, watch::Watch};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Longest idle time between two requests on one connection.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// Longest time for a caller to send a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for a connection to close.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Responds to one request.
pub type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// A listener and its request handler.
#[derive(derive_more::Debug)]
pub struct Server {
    /// Socket that accepts connections.
    pub listener: TcpListener,
    /// Responds to requests.
    #[debug(skip)]
    pub handler: Handler,
    /// Limit on open connections; further ones are closed immediately.
    pub max_connections: usize,
    /// Becomes true when the listener is to stop accepting connections.
    pub stopped: Receiver<bool>,
    /// Counts the answers that are still being sent.
    pub transit: Transit,
}

impl Server {
    /// Accepts connections until `stopped`, and then those that are already established;
    /// all are served until the process exits.
    pub async fn run(mut self) {
        let handler = Rc::clone(&self.handler);
        let factory = HttpService::<Stream, _, _>::build()
            .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
            .client_request_timeout(HEAD_TIMEOUT)
            .client_disconnect_timeout(DISCONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .on_connect_ext(|stream: &Stream, extensions| {
                if let Ok(watch) = Watch::of(stream.inner()) {
                    extensions.insert(watch);
                }
                extensions.insert(stream.sending());
            })
            .h1(fn_service(move |request: Request| {
                let sending = request.conn_data::<Sending>().cloned();
                let version = request.version();
                let answer = handler(request);
                async move {
                    let mut answer = answer.await;
                    if is_unframed(version, answer.body()) {
                        answer.head_mut().set_connection_type(ConnectionType::Close);
                    }
                    Ok::<_, Infallible>(match sending {
                        Some(sending) => answer.map_body(|_, body| sending.body(version, body)),
                        None => answer,
                    })
                }
            }));
        let Ok(service) = factory.new_service(()).await else {
            return;
        };
        let open = Rc::new(Cell::new(0));
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = self.listener.accept() => accepted,
                Ok(_) = self.stopped.wait_for(|stopped| *stopped) => return,
            };
            let (stream, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("CP0110 cannot accept connection: {error}");
                    actix_rt::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if open.get() >= self.max_connections {
                log::warn!(
                    "CP0111 connection closed: the limit of {} open connections is reached",
                    open.get()
                );
                continue;
            }
            let counted = OpenConnection::new(&open);
            let stream = Stream::new(stream, &self.transit);
            let connection = service.call((stream, Some(peer)));
            actix_rt::spawn(async move {
                if let Err(error) = connection.await {
                    log::debug!("CP0112 connection ended: {error}");
                }
                drop(counted);
            });
        }
    }
}

/// Binds a listener; returns it with its actual address, also where port zero was given.
///
/// # Errors
/// The system's error, such as an address in use.
pub async fn bind(address: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Whether only the end of the connection tells the end of a body.
fn is_unframed(version: Version, body: &BoxBody) -> bool {
    version < Version::HTTP_11 && matches!(body.size(), BodySize::Stream)
}

/// Counts one open connection until it is dropped.
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
