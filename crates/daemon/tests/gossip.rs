//! Membership over UDP sockets on loopback.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_rt::{net::UdpSocket, time::sleep};
use citron_daemon::{
    gossip::{Gossip, LocalStatus, Settings},
    peers::Hub,
};
use citron_policy::{
    member::State,
    platform::{Instance, List, Standing},
    swim::{Kind, Message},
};
use citron_wire::{MAX_DATAGRAM_BYTES, member};
use googletest::prelude::*;
use tokio::sync::watch;

/// Deadline for conditions that normally hold in well under three seconds.
const TIMEOUT: Duration = Duration::from_secs(30);

struct Node {
    name: String,
    address: SocketAddr,
    gossip: Gossip,
    list: watch::Sender<Arc<List>>,
}

impl Node {
    fn state(&self, name: &str) -> Option<State> {
        let members = self.gossip.members();
        let members = members.borrow();
        members.get(name).map(|member| member.state)
    }

    fn gives_work_to(&self, name: &str) -> bool {
        let members = self.gossip.members();
        let members = members.borrow();
        members
            .get(name)
            .is_some_and(citron_policy::member::Member::takes_work)
    }
}

async fn cluster(count: usize) -> Vec<Node> {
    let mut sockets = Vec::new();
    for _ in 0..count {
        sockets.push(UdpSocket::bind("127.0.0.1:0").await.expect("a free port"));
    }
    let entry = |(number, socket): (usize, &UdpSocket)| Instance {
        id: format!("i-{number}"),
        domain: format!("fd-{}", number % 3),
        peer: socket.local_addr().expect("an address"),
        standing: Standing::Live,
    };
    let list = List {
        entries: sockets.iter().enumerate().map(entry).collect(),
        runners: Vec::new(),
    };
    let nodes = sockets.into_iter().enumerate().map(|(number, socket)| {
        let entry = list.entries[number].clone();
        let sender = watch::Sender::new(Arc::new(list.clone()));
        let settings = Settings {
            cluster: "test".to_owned(),
            me: entry.id.clone(),
            domain: entry.domain,
            peer: entry.peer,
            callers: entry.peer,
            capacity: 0,
            replica: None,
            seeds: Vec::new(),
        };
        let hub = Hub::new(&entry.id, "test");
        let gossip = Gossip::start(settings, socket, hub, sender.subscribe());
        gossip.set_self(LocalStatus {
            current: true,
            ..LocalStatus::default()
        });
        Node {
            name: entry.id,
            address: entry.peer,
            gossip,
            list: sender,
        }
    });
    nodes.collect()
}

async fn wait_until<F>(what: &str, holds: F)
where
    F: Fn() -> bool,
{
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "not within {TIMEOUT:?}: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

async fn wait_until_joined(nodes: &[Node]) {
    wait_until("every node gives work to every other", || {
        nodes
            .iter()
            .all(|by| nodes.iter().all(|of| by.gives_work_to(&of.name)))
    })
    .await;
}

#[gtest]
fn daemons_join_leave_and_end() {
    actix_rt::System::new().block_on(async {
        let nodes = cluster(5).await;
        wait_until_joined(&nodes).await;
        nodes[0].gossip.leave();
        expect_that!(nodes[0].gossip.leaving(), eq(true));
        wait_until("all nodes see i-0 as leaving", || {
            nodes
                .iter()
                .all(|by| by.state("i-0") == Some(State::Leaving))
        })
        .await;
        nodes[0].gossip.depart().await;
        wait_until("all other nodes see i-0 as dead", || {
            nodes[1..]
                .iter()
                .all(|by| by.state("i-0") == Some(State::Dead))
        })
        .await;
        let others = nodes[1..]
            .iter()
            .all(|by| nodes[1..].iter().all(|of| by.gives_work_to(&of.name)));
        expect_that!(others, eq(true));
    });
}

#[gtest]
fn the_platforms_list_makes_an_instance_leave() {
    actix_rt::System::new().block_on(async {
        let nodes = cluster(3).await;
        wait_until_joined(&nodes).await;
        let mut list = (**nodes[1].list.borrow()).clone();
        list.entries[1].standing = Standing::Leaving;
        nodes[1].list.send_replace(Arc::new(list));
        wait_until("i-1 is leaving", || nodes[1].gossip.leaving()).await;
        wait_until("no node gives work to i-1", || {
            nodes.iter().all(|by| !by.gives_work_to("i-1"))
        })
        .await;
    });
}

#[gtest]
fn garbage_and_foreign_datagrams_are_dropped_and_counted() {
    actix_rt::System::new().block_on(async {
        let nodes = cluster(2).await;
        wait_until_joined(&nodes).await;
        let unknown_sender = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let target = nodes[0].address;
        let foreign = Message {
            from: "i-1".to_owned(),
            incarnation: 1,
            kind: Kind::Ping { seq: 1 },
            want: false,
            records: Vec::new(),
            vitals: Vec::new(),
        };
        let datagrams = [
            ("garbage", vec![0xff; 40]),
            ("cluster", member::encode("other", foreign).to_vec()),
            ("length", vec![0; MAX_DATAGRAM_BYTES + 1]),
            ("version", vec![0x08, 0x09]),
        ];
        for (reason, bytes) in datagrams {
            unknown_sender.send_to(&bytes, target).await.expect("sent");
            let metrics = nodes[0].gossip.metrics().clone();
            wait_until(reason, || metrics.refused_for(reason) == 1).await;
        }
        expect_that!(nodes[0].gives_work_to("i-1"), eq(true));
    });
}
