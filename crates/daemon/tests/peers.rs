//! Peer connections over loopback: which peers are admitted, and how calls end.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::net::TcpListener;
use citron_daemon::peers::{Error, Handler, Hub, listen};
use citron_policy::id::InstanceId;
use citron_wire::{Body, generated::status::Message};
use futures_util::future::LocalBoxFuture;
use googletest::prelude::*;
use indexmap::IndexMap;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Echoes a status message and refuses any other call, naming the sender.
struct Echo;

impl Handler for Echo {
    fn on_message(&self, _from: &InstanceId, _body: Body) {}

    fn on_call(
        &self,
        from: &InstanceId,
        body: Body,
    ) -> LocalBoxFuture<'static, std::result::Result<Body, String>> {
        let from = from.clone();
        Box::pin(async move {
            match body {
                Body::Status(_) => Ok(body),
                _ => Err(format!("no answer for {from}")),
            }
        })
    }
}

async fn server(me: &str, cluster: &str, known: &[(&str, SocketAddr)]) -> (Hub, SocketAddr) {
    let hub = Hub::new(me, cluster);
    hub.set_addresses(book(known));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    actix_rt::spawn(listen(hub.clone(), listener, Rc::new(Echo)));
    (hub, address)
}

fn book(known: &[(&str, SocketAddr)]) -> IndexMap<InstanceId, SocketAddr> {
    known
        .iter()
        .map(|(name, address)| ((*name).to_owned(), *address))
        .collect()
}

fn client(me: &str, cluster: &str, server: SocketAddr) -> Hub {
    let hub = Hub::new(me, cluster);
    hub.set_addresses(book(&[("b", server)]));
    hub
}

fn loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn status() -> Body {
    Body::Status(Message::default())
}

#[gtest]
fn a_known_peer_gets_its_answer_and_its_refusal() {
    actix_rt::System::new().block_on(async {
        let (_server, address) = server("b", "one", &[("a", loopback_address())]).await;
        let hub = client("a", "one", address);
        expect_that!(
            hub.call(&"b".to_owned(), status(), CALL_TIMEOUT).await,
            ok(anything())
        );
        let refused = hub
            .call(&"b".to_owned(), Body::Refusal(String::new()), CALL_TIMEOUT)
            .await;
        expect_that!(
            refused,
            err(matches_pattern!(Error::Refused {
                reason: eq("no answer for a"),
                ..
            }))
        );
    });
}

/// The system would connect from 127.0.0.1, under which no peer knows the instance.
#[gtest]
fn a_peer_with_several_addresses_connects_from_the_one_that_is_known() {
    actix_rt::System::new().block_on(async {
        let known = SocketAddr::from(([127, 0, 0, 2], 1));
        let (_server, address) = server("b", "one", &[("a", known)]).await;
        let hub = client("a", "one", address);
        hub.set_source(known.ip());
        expect_that!(
            hub.call(&"b".to_owned(), status(), CALL_TIMEOUT).await,
            ok(anything())
        );
    });
}

#[gtest]
fn another_cluster_and_an_unknown_instance_are_refused_and_counted() {
    actix_rt::System::new().block_on(async {
        let (server, address) = server("b", "one", &[("a", loopback_address())]).await;
        for (name, cluster) in [("a", "two"), ("stranger", "one")] {
            let hub = client(name, cluster, address);
            let outcome = hub.call(&"b".to_owned(), status(), CALL_TIMEOUT).await;
            expect_that!(outcome, err(matches_pattern!(Error::Lost { .. })));
        }
        expect_that!(server.counts().refused, eq(2));
    });
}

#[gtest]
fn a_call_to_a_peer_without_an_address_fails_as_unknown() {
    actix_rt::System::new().block_on(async {
        let hub = Hub::new("a", "one");
        let outcome = hub.call(&"b".to_owned(), status(), CALL_TIMEOUT).await;
        expect_that!(outcome, err(matches_pattern!(Error::Unknown { .. })));
    });
}

#[gtest]
fn a_peer_that_does_not_read_costs_bounded_memory() {
    actix_rt::System::new().block_on(async {
        // Accepts the connection and never reads from it.
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let hub = client("a", "one", address);
        let (_stream, ()) = tokio::join!(
            async { listener.accept().await.expect("a connection") },
            async {
                for _ in 0..10_000 {
                    hub.send_message(&"b".to_owned(), Body::Refusal("x".repeat(4_096)));
                }
            }
        );
        expect_that!(hub.queued(), le(1_024));
        expect_that!(hub.counts().dropped, ge(1));
    });
}
