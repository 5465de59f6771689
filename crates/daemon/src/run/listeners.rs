//! The daemon's listening sockets.

use std::{io, net::SocketAddr};

use actix_rt::net::{TcpListener, UdpSocket};

use super::Failure;
use crate::{http, settings::Settings};

/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const MAX_BIND_ATTEMPTS: u32 = 16;

/// Every listening socket.
#[derive(Debug)]
pub(super) struct Listeners {
    pub(super) callers: TcpListener,
    pub(super) peer: TcpListener,
    pub(super) gossip: UdpSocket,
    pub(super) admin: TcpListener,
    pub(super) metrics: Option<TcpListener>,
    /// An adapter's control addresses.
    pub(super) management: Vec<TcpListener>,
    pub(super) addresses: Addresses,
}

/// Bound addresses of the listeners.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addresses {
    pub(super) callers: SocketAddr,
    pub(super) peer: SocketAddr,
    pub(super) admin: SocketAddr,
}

impl Listeners {
    /// Binds all listeners; an error names the setting.
    pub(super) async fn bind(
        settings: &Settings,
        management_addresses: &[SocketAddr],
    ) -> Result<Self, Failure> {
        let failed = |flag, address| {
            move |source| Failure::Bind {
                flag,
                address,
                source,
            }
        };
        let callers = http::bind(settings.callers).await;
        let (callers, callers_address) = callers.map_err(failed("--callers", settings.callers))?;
        let admin = http::bind(settings.admin).await;
        let (admin, admin_address) = admin.map_err(failed("--admin", settings.admin))?;
        let (peer, gossip, peer_address) = bind_peer(settings.peer)
            .await
            .map_err(failed("--peer", settings.peer))?;
        let metrics = match settings.metrics {
            Some(address) => {
                let bound = http::bind(address).await;
                Some(bound.map_err(failed("--metrics", address))?.0)
            }
            None => None,
        };
        let mut management = Vec::with_capacity(management_addresses.len());
        for address in management_addresses {
            let bound = http::bind(*address).await;
            management.push(bound.map_err(failed("desk", *address))?.0);
        }
        let addresses = Addresses {
            callers: callers_address,
            peer: peer_address,
            admin: admin_address,
        };
        Ok(Self {
            callers,
            peer,
            gossip,
            admin,
            metrics,
            management,
            addresses,
        })
    }

    /// The line on standard output that announces the bound addresses.
    pub(super) fn announcement(&self) -> String {
        let Addresses {
            callers,
            peer,
            admin,
        } = self.addresses;
        format!("listening callers={callers} peer={peer} admin={admin}")
    }
}

/// Binds TCP and UDP to the same port.
async fn bind_peer(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket, SocketAddr)> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let (listener, bound) = http::bind(address).await?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket, bound)),
            Err(_) if address.port() == 0 && attempts < MAX_BIND_ATTEMPTS => {}
            Err(error) => return Err(error),
        }
    }
}
