//! Selection of an entry instance from the router's list, cached for its TTL.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_http::Method;
use bytes::Bytes;
use serde::Deserialize;

use super::client::Connections;

/// How long an instance is avoided after a failed connection.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Timeout of one request for the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// The known entry instances.
#[derive(Debug)]
pub(super) struct Entries {
    seeds: Vec<SocketAddr>,
    direct: bool,
    known: RefCell<Vec<SocketAddr>>,
    expires: Cell<Option<Instant>>,
    next: Cell<usize>,
    avoided: RefCell<Vec<(SocketAddr, Instant)>>,
}

#[derive(Debug, Deserialize)]
struct List {
    entries: Vec<Listed>,
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Listed {
    address: SocketAddr,
}

impl Entries {
    pub(super) fn new(seeds: &[SocketAddr], direct: bool) -> Self {
        Self {
            seeds: seeds.to_vec(),
            direct,
            known: RefCell::default(),
            expires: Cell::new(None),
            next: Cell::new(0),
            avoided: RefCell::default(),
        }
    }

    /// The address for one request, round-robin over the listed instances.
    pub(super) async fn choose(&self, connections: &Connections) -> Option<SocketAddr> {
        if self.direct {
            return Some(self.seeds[self.next_turn() % self.seeds.len()]);
        }
        if self.expires.get().is_none_or(|at| at <= Instant::now()) {
            self.refresh(connections).await;
        }
        let now = Instant::now();
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|(_, until)| *until > now);
        let known = self.known.borrow();
        let usable = |it: &&SocketAddr| {
            it.ip().is_loopback() && !avoided.iter().any(|(failed, _)| failed == *it)
        };
        let usable: Vec<&SocketAddr> = known.iter().filter(usable).collect();
        if usable.is_empty() {
            return known.first().copied();
        }
        Some(*usable[self.next_turn() % usable.len()])
    }

    /// Avoids an instance for [`AVOID_TIME`] and refreshes the list before the next use.
    pub(super) fn avoid(&self, address: SocketAddr) {
        let until = Instant::now() + AVOID_TIME;
        self.avoided.borrow_mut().push((address, until));
        self.expires.set(None);
    }

    fn next_turn(&self) -> usize {
        let turn = self.next.get();
        self.next.set(turn + 1);
        turn
    }

    /// Requests the list from one instance after another until one returns it.
    async fn refresh(&self, connections: &Connections) {
        // Concurrent requests use the old list in the meantime.
        self.expires.set(Some(Instant::now() + LIST_TIMEOUT));
        let candidates: Vec<SocketAddr> = {
            let known = self.known.borrow();
            known.iter().chain(&self.seeds).copied().collect()
        };
        let first = self.next_turn();
        for place in 0..candidates.len() {
            let address = candidates[(first + place) % candidates.len()];
            let listed =
                actix_rt::time::timeout(LIST_TIMEOUT, fetch_list(connections, address)).await;
            let Ok(Some(list)) = listed else { continue };
            let addresses = list.entries.iter().map(|it| it.address).collect();
            self.known.replace(addresses);
            let ttl = Duration::from_millis(list.ttl_ms);
            self.expires.set(Some(Instant::now() + ttl));
            return;
        }
    }
}

async fn fetch_list(connections: &Connections, address: SocketAddr) -> Option<List> {
    let sent = connections.send(address, Method::GET, "/v1/entries", &[], Bytes::new());
    let mut response = sent.await.ok()?;
    let body = response.read_body().await.ok()?;
    connections.release(response);
    serde_json::from_slice(&body).ok()
}
