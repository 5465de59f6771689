//! The feed over real connections: updates, expiring proofs, snapshots in parts,
//! the replacement of a lost parent and the catch-up over slow links.

#[path = "common/link.rs"]
mod link;

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_rt::{net::TcpListener, task::JoinHandle, time::sleep};
use citron_daemon::{
    follow::{self, Follow},
    peers::{self, Handler, Hub},
};
use citron_policy::{
    catalogue::{Account, Catalogue, Change, Class, Entry},
    declaration::Declaration,
    feed::{self, Local, Step, Update},
    id::{Index, InstanceId},
    member::{Member, Members, State},
};
use citron_wire::{Body, feed as codec, generated::feed as proto};
use futures_util::future::LocalBoxFuture;
use googletest::prelude::*;
use link::{Link, Rate};
use tokio::sync::{mpsc, watch};

/// Deadline for conditions that normally hold in well under a second.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The feed of one daemon, with its listener.
struct Node {
    follow: Follow,
    hub: Hub,
    address: SocketAddr,
    listener: JoinHandle<()>,
    local: Option<mpsc::Sender<Local>>,
    members: watch::Sender<Arc<Members>>,
}

struct Router(Follow);

impl Handler for Router {
    fn on_message(&self, _: &InstanceId, _: Body) {}

    fn on_call(
        &self,
        from: &InstanceId,
        body: Body,
    ) -> LocalBoxFuture<'static, std::result::Result<Body, String>> {
        let Body::Feed(message) = body else {
            return Box::pin(std::future::ready(Err("not a feed message".to_owned())));
        };
        let answer = self.0.on_call(from, message);
        Box::pin(async move { answer.await.map(Body::Feed) })
    }
}

/// How a parent gives up a snapshot after its first part.
#[derive(Clone, Copy, Debug)]
enum GiveUp {
    /// It refuses the next part.
    Refused,
    /// It says that there is nothing more.
    Empty,
    /// It has another snapshot by then.
    Other,
}

/// A parent that gives up snapshots.
struct Quitter {
    follow: Follow,
    how: GiveUp,
    given_up: Rc<Cell<u32>>,
}

impl Handler for Quitter {
    fn on_message(&self, _: &InstanceId, _: Body) {}

    fn on_call(
        &self,
        from: &InstanceId,
        body: Body,
    ) -> LocalBoxFuture<'static, std::result::Result<Body, String>> {
        let (how, given_up) = (self.how, Rc::clone(&self.given_up));
        let answer = Router(self.follow.clone()).on_call(from, body);
        Box::pin(async move {
            let mut answer = answer.await?;
            let Body::Feed(proto::Message {
                body: Some(proto::message::Body::Part(part)),
                ..
            }) = &mut answer
            else {
                return Ok(answer);
            };
            if part.offset == 0 {
                // The first part is by itself a snapshot, with less in it.
                while codec::decode_snapshot(part.bytes.clone()).is_err() {
                    part.bytes.truncate(part.bytes.len() - 1);
                }
                return Ok(answer);
            }
            given_up.set(given_up.get() + 1);
            match how {
                GiveUp::Refused => return Err("no more".to_owned()),
                GiveUp::Empty => part.bytes.clear(),
                GiveUp::Other => part.index += 1,
            }
            Ok(answer)
        })
    }
}

async fn node(name: &str, replica: bool) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let hub = Hub::new(name, "test");
    let members = watch::Sender::new(Arc::default());
    let (local, receiver) = mpsc::channel(1_024);
    let follow = Follow::start(
        follow::Settings::default(),
        hub.clone(),
        members.subscribe(),
        replica.then_some(receiver),
    );
    let handler = Rc::new(Router(follow.clone()));
    Node {
        follow,
        hub: hub.clone(),
        address,
        listener: actix_rt::spawn(peers::listen(hub, listener, handler)),
        local: replica.then_some(local),
        members,
    }
}

/// Makes all nodes known to one another, as alive.
fn make_all_known(nodes: &[&Node]) {
    for node in nodes {
        set_known(node, nodes);
    }
}

/// Makes exactly these nodes known to `node`, as alive.
fn set_known(node: &Node, nodes: &[&Node]) {
    let member = |node: &Node| Member {
        id: node.hub.me().clone(),
        domain: "fd-1".to_owned(),
        peer: node.address,
        callers: node.address,
        capacity: 0,
        replica: node.local.is_some().then_some(7),
        incarnation: 1,
        state: State::Alive,
        revision: 0,
        load: 0,
        current: true,
    };
    let members: Members = nodes
        .iter()
        .map(|it| (it.hub.me().clone(), member(it)))
        .collect();
    let book = members
        .iter()
        .map(|(id, it)| (id.clone(), it.peer))
        .collect();
    node.hub.set_addresses(book);
    node.members.send_replace(Arc::new(members));
}

/// Sends proofs of an index to a node, as a leading replica does, until aborted.
fn send_proofs(node: &Node, index: watch::Receiver<Index>) -> JoinHandle<()> {
    let local = node.local.clone().expect("a replica");
    actix_rt::spawn(async move {
        loop {
            let proved = Local::Proved {
                index: *index.borrow(),
                at: Instant::now(),
            };
            if local.send(proved).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    })
}

fn class(name: &str) -> Entry {
    let text = format!(
        r#"{{"name":"{name}","owner":"desk","tier":0,"first_token_ms":1500,"between_tokens_ms":34,
            "whole_ms":30000,"wait_bound_ms":5000,"queue_limit":100}}"#
    );
    let class: Class = serde_json::from_str(&text).expect("a class");
    Entry::Class(Arc::new(class))
}

fn account(number: usize) -> Entry {
    Entry::Account(Arc::new(Account {
        name: format!("account-{number:05}"),
        owner: "desk-team".to_owned(),
        key_sha256: format!("{number:064x}"),
        class: "repair".to_owned(),
        classes: Vec::new(),
        max_running: 4,
        max_queued: 8,
        ..Account::default()
    }))
}

fn update(index: Index, puts: Vec<Entry>) -> Local {
    let change = Change {
        id: format!("c{index}"),
        base: 0,
        operator: "ann".to_owned(),
        puts,
        removes: Vec::new(),
    };
    Local::Update(Update {
        index,
        step: Step::Change(Arc::new(change)),
    })
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

#[gtest]
fn updates_reach_followers_and_the_lease_runs_out_with_the_leader() {
    actix_rt::System::new().block_on(async {
        let (a, b, c) = (
            node("a", true).await,
            node("b", false).await,
            node("c", false).await,
        );
        make_all_known(&[&a, &b, &c]);
        assert!(
            !b.follow.may_take_work(Instant::now()),
            "takes work without a proof"
        );
        let index = watch::Sender::new(0);
        let leader = send_proofs(&a, index.subscribe());
        wait_until("all nodes have a proof", || {
            [&a, &b, &c]
                .iter()
                .all(|it| it.follow.may_take_work(Instant::now()))
        })
        .await;
        let local = a.local.clone().expect("a replica");
        for number in 1..=20 {
            local
                .send(update(number * 3, vec![class(&format!("k{number}"))]))
                .await
                .expect("room");
            index.send_replace(number * 3);
        }
        wait_until("the followers have all updates", || {
            [&b, &c]
                .iter()
                .all(|it| it.follow.view().borrow().catalogue.revision == 20)
        })
        .await;
        leader.abort();
        let stopped = Instant::now();
        wait_until("b takes no work without a proof", || {
            !b.follow.may_take_work(Instant::now())
        })
        .await;
        let expired = stopped + feed::LEASE + Duration::from_millis(10);
        expect_that!(b.follow.may_take_work(expired), eq(false));
        expect_that!(c.follow.may_take_work(expired), eq(false));
        expect_that!(c.follow.view().borrow().catalogue.revision, eq(20));
    });
}

#[gtest]
fn a_new_follower_gets_a_large_snapshot_in_parts() {
    actix_rt::System::new().block_on(async {
        let (a, b) = (node("a", true).await, node("b", false).await);
        let entries = std::iter::once(class("repair")).chain((0..12_000).map(account));
        let catalogue = Arc::new(Catalogue::from_entries(9, entries));
        let local = a.local.clone().expect("a replica");
        let snapshot = Local::Snapshot {
            declaration: None,
            index: 50,
            catalogue: Arc::clone(&catalogue),
            marks: Arc::default(),
        };
        local.send(snapshot).await.expect("room");
        let _leader = send_proofs(&a, watch::Sender::new(50).subscribe());
        make_all_known(&[&a, &b]);
        wait_until("the snapshot is in force", || {
            b.follow.may_take_work(Instant::now()) && b.follow.index() == 50
        })
        .await;
        expect_that!(*b.follow.view().borrow().catalogue, eq(&*catalogue));
    });
}

/// What had arrived of a snapshot would have lacked most accounts.
#[gtest]
fn a_snapshot_that_its_parent_gives_up_is_not_in_force() {
    actix_rt::System::new().block_on(async {
        for how in [GiveUp::Refused, GiveUp::Empty, GiveUp::Other] {
            let (mut a, b) = (node("a", true).await, node("b", false).await);
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            a.address = listener.local_addr().expect("an address");
            a.listener.abort();
            let given_up = Rc::new(Cell::new(0));
            let handler = Rc::new(Quitter {
                follow: a.follow.clone(),
                how,
                given_up: Rc::clone(&given_up),
            });
            a.listener = actix_rt::spawn(peers::listen(a.hub.clone(), listener, handler));
            let entries = std::iter::once(class("repair")).chain((0..12_000).map(account));
            let local = a.local.clone().expect("a replica");
            let snapshot = Local::Snapshot {
                declaration: None,
                index: 50,
                catalogue: Arc::new(Catalogue::from_entries(9, entries)),
                marks: Arc::default(),
            };
            local.send(snapshot).await.expect("room");
            let _leader = send_proofs(&a, watch::Sender::new(50).subscribe());
            make_all_known(&[&a, &b]);
            wait_until("snapshots were given up", || {
                given_up.get() >= 3 || b.follow.index() > 0
            })
            .await;
            expect_that!(b.follow.index(), eq(0), "{how:?}");
            let now = Instant::now();
            expect_that!(b.follow.may_take_work(now), eq(false), "{how:?}");
        }
    });
}

#[gtest]
fn a_lost_parent_is_replaced_within_the_lease() {
    actix_rt::System::new().block_on(async {
        let (a, b, c) = (
            node("a", true).await,
            node("b", true).await,
            node("c", false).await,
        );
        make_all_known(&[&a, &b, &c]);
        let index = watch::Sender::new(0);
        let _leader = send_proofs(&a, index.subscribe());
        wait_until("all nodes have a proof", || {
            [&a, &b, &c]
                .iter()
                .all(|it| it.follow.may_take_work(Instant::now()))
        })
        .await;
        // The non-leading replica stops answering, so only the leader is left as a parent.
        b.listener.abort();
        let mut interruptions = 0;
        for _ in 0..60 {
            sleep(Duration::from_millis(100)).await;
            interruptions += usize::from(!c.follow.may_take_work(Instant::now()));
        }
        expect_that!(interruptions, eq(0));
    });
}

/// Longest time until an accepted change is in force on a node that reaches a replica.
const IN_FORCE: Duration = Duration::from_millis(1_500);

/// A leader that is cut off from the other replicas but not from its followers: they
/// must switch to a replica that still gets proofs.
#[gtest]
fn a_parent_without_updates_of_its_own_is_replaced_in_time() {
    actix_rt::System::new().block_on(async {
        let (a, b, c) = (
            node("a", true).await,
            node("b", true).await,
            node("c", false).await,
        );
        set_known(&a, &[&a, &c]);
        set_known(&b, &[&b, &c]);
        set_known(&c, &[&a, &b, &c]);
        let (first, second) = (watch::Sender::new(0), watch::Sender::new(0));
        // Each is cut off in turn, so the test does not depend on which one c follows first.
        for (cut, other) in [(&a, &b), (&b, &a)] {
            let leads = send_proofs(cut, first.subscribe());
            let also = send_proofs(other, second.subscribe());
            wait_until("c has a proof", || c.follow.may_take_work(Instant::now())).await;
            sleep(Duration::from_millis(500)).await;
            leads.abort();
            sleep(Duration::from_millis(300)).await;
            let local = other.local.clone().expect("a replica");
            let number = c.follow.index() + 3;
            local
                .send(update(number, vec![class(&format!("k{number}"))]))
                .await
                .expect("room");
            second.send_replace(number);
            let accepted = Instant::now();
            wait_until("the change is in force", || c.follow.index() >= number).await;
            expect_that!(accepted.elapsed(), lt(IN_FORCE), "cut {}", cut.hub.me());
            also.abort();
        }
    });
}

/// Followers of the replica that was restarted with them.
const RESTARTED: usize = 17;

/// Versions in the control log since its snapshot; fewer than the updates kept.
const VERSIONS: u64 = 60;

/// Bytes of a declaration.
const DECLARATION_BYTES: usize = 37_000;

/// Link of a replica, in bytes per second: 100 Mbit/s.
const REPLICA_LINK: usize = 12_500_000;

/// Link of an instance without a disk, in bytes per second: 10 Mbit/s.
const FOLLOWER_LINK: usize = 1_250_000;

/// Longest time until all followers take work.
const CATCH_UP: Duration = Duration::from_secs(5);

fn declared(version: u64, bytes: usize) -> Local {
    let text = format!("{version:08}").repeat(bytes / 8);
    Local::Update(Update {
        index: version,
        step: Step::Declare(Arc::new(Declaration {
            version,
            source: text.as_bytes().into(),
        })),
    })
}

/// Starts followers of `replica` whose links to it are slow, and waits until all take
/// work; returns the time and the bytes that it took.
async fn restart_followers(replica: &Node, count: usize, index: Index) -> (Duration, u64) {
    let shared = Rate::new(REPLICA_LINK);
    let mut followers = Vec::new();
    let mut links = Vec::new();
    for number in 0..count {
        let follower = node(&format!("f{number:02}"), false).await;
        let link = Link::start(replica.address, &[&shared, &Rate::new(FOLLOWER_LINK)]).await;
        set_known(replica, &[replica, &follower]);
        set_known(&follower, &[replica, &follower]);
        let name = replica.hub.me().clone();
        let book = [(name, link.address)].into_iter().collect();
        follower.hub.set_addresses(book);
        followers.push(follower);
        links.push(link);
    }
    let all: Vec<&Node> = followers.iter().chain([replica]).collect();
    set_known(replica, &all);
    let begun = Instant::now();
    wait_until("all followers take work at the newest version", || {
        let now = Instant::now();
        let current = |it: &Node| it.follow.index() == index && it.follow.may_take_work(now);
        followers.iter().all(current)
    })
    .await;
    let bytes = links.iter().map(Link::bytes).sum();
    (begun.elapsed(), bytes)
}

/// Answers that did not fit into the wait for them were sent again and again, so that no
/// follower ever got the newest version.
#[gtest]
fn followers_on_slow_links_are_current_soon_after_a_restart() {
    actix_rt::System::new().block_on(async {
        let replica = node("a", true).await;
        let local = replica.local.clone().expect("a replica");
        for version in 1..=VERSIONS {
            let update = declared(version, DECLARATION_BYTES);
            local.send(update).await.expect("room");
        }
        let _leader = send_proofs(&replica, watch::Sender::new(VERSIONS).subscribe());
        let (took, bytes) = restart_followers(&replica, RESTARTED, VERSIONS).await;
        expect_that!(took, lt(CATCH_UP));
        let two_each = 2 * RESTARTED * DECLARATION_BYTES;
        expect_that!(bytes, lt(two_each as u64));
    });
}

/// Bytes of a declaration larger than a follower's link passes in the wait for one answer.
const LARGE_DECLARATION_BYTES: usize = 1 << 20;

/// Time between two versions of a series.
const SERIES_INTERVAL: Duration = Duration::from_millis(330);

/// A part of a snapshot was longer on its way than a follower waited for it.
#[gtest]
fn a_large_declaration_reaches_followers_on_slow_links() {
    actix_rt::System::new().block_on(async {
        let replica = node("a", true).await;
        let local = replica.local.clone().expect("a replica");
        let update = declared(1, LARGE_DECLARATION_BYTES);
        local.send(update).await.expect("room");
        let _leader = send_proofs(&replica, watch::Sender::new(1).subscribe());
        let (took, bytes) = restart_followers(&replica, 4, 1).await;
        expect_that!(took, lt(CATCH_UP));
        expect_that!(bytes, lt(2 * 4 * LARGE_DECLARATION_BYTES as u64));
    });
}

/// A follower that has not fetched a snapshot before the next version must not begin anew.
#[gtest]
fn a_series_of_large_declarations_keeps_no_follower_from_the_first_one() {
    actix_rt::System::new().block_on(async {
        let replica = node("a", true).await;
        let local = replica.local.clone().expect("a replica");
        local
            .send(declared(1, LARGE_DECLARATION_BYTES))
            .await
            .expect("room");
        let index = watch::Sender::new(1);
        let _leader = send_proofs(&replica, index.subscribe());
        let follower = node("f", false).await;
        let link = Link::start(replica.address, &[&Rate::new(FOLLOWER_LINK)]).await;
        make_all_known(&[&replica, &follower]);
        let book = [("a".to_owned(), link.address)].into_iter().collect();
        follower.hub.set_addresses(book);
        let begun = Instant::now();
        for version in 2.. {
            if follower.follow.index() > 0 || begun.elapsed() >= CATCH_UP {
                break;
            }
            sleep(SERIES_INTERVAL).await;
            let update = declared(version, LARGE_DECLARATION_BYTES);
            local.send(update).await.expect("room");
            index.send_replace(version);
        }
        expect_that!(begun.elapsed(), lt(CATCH_UP));
    });
}
