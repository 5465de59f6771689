//! An operators' interface on loopback, with a scripted control log.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use citron_daemon::{
    admin::{Admin, Log, Metrics, Ports, Tokens},
    control::{Error, Role, Status},
    event::Ring,
    http,
    peers::{self, Hub},
};
use citron_policy::{
    catalogue::{Catalogue, Change, Class, Entry},
    crash,
    feed::View,
    id::{InstanceId, ReplicaId, Revision, WindowId},
    lease,
    member::{Member, Members, State},
    platform::{self, List},
    state::{Answer, Command},
};
use citron_wire::Body;
use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;
use prometheus_client::registry::Registry;
use tokio::sync::watch;

/// Token of the operator `ann`.
pub const TOKEN: &str = "ann-obviously-fake-token";

/// Replica id of every test daemon.
pub const REPLICA: ReplicaId = 0xabc;

/// Name of the test cluster.
const CLUSTER: &str = "pond";

/// A control log that gives scripted answers and records the calls.
#[derive(Debug, Default)]
pub struct Script {
    /// Next answer to a command.
    pub answer: RefCell<Option<Result<Answer, Error>>>,
    /// Next outcome of forming the cluster or replacing a replica.
    pub outcome: RefCell<Option<Result<(), Error>>>,
    /// Changes submitted.
    pub changes: RefCell<Vec<Change>>,
    /// Crash marks submitted.
    pub marks: RefCell<Vec<crash::Step>>,
    /// Instances whose replica answers, each with whether it belongs to a cluster.
    pub standing: RefCell<Vec<(&'static str, bool)>>,
    /// Lease of the duties, and latest fixed window of usage, that the replicas know of.
    pub duties: RefCell<(Option<lease::Record>, Option<WindowId>)>,
    /// Whether the replicas join once the cluster is formed.
    pub joins: Cell<bool>,
    /// Replicas named when forming or replacing.
    pub replicas: RefCell<Vec<ReplicaId>>,
}

impl Log for Script {
    fn submit(
        &self,
        command: Command,
        _within: Duration,
    ) -> LocalBoxFuture<'static, Result<Answer, Error>> {
        match command {
            Command::Change { change, .. } => self.changes.borrow_mut().push((*change).clone()),
            Command::Crash(step) => self.marks.borrow_mut().push(step),
            _ => {}
        }
        let answer = self.answer.borrow_mut().take();
        Box::pin(std::future::ready(answer.unwrap_or(Err(Error::NoLeader))))
    }

    fn status(&self, _within: Duration) -> LocalBoxFuture<'static, Vec<(InstanceId, Status)>> {
        let standing = self.standing.borrow();
        let (lease, fixed) = self.duties.borrow().clone();
        let all = standing.iter().map(|(instance, formed)| {
            let status = Status {
                lease: lease.clone(),
                fixed,
                replica: REPLICA,
                formed: *formed,
                role: Role::Leader,
                term: 3,
                voters: vec![REPLICA],
                ..Status::default()
            };
            ((*instance).to_owned(), status)
        });
        Box::pin(std::future::ready(all.collect()))
    }

    fn init(
        &self,
        voters: Vec<ReplicaId>,
        _within: Duration,
    ) -> LocalBoxFuture<'static, Result<(), Error>> {
        self.replicas.borrow_mut().extend(voters);
        let outcome = self.outcome.borrow_mut().take();
        let joined = self.joins.get();
        for (_, formed) in self.standing.borrow_mut().iter_mut() {
            *formed = joined;
        }
        Box::pin(std::future::ready(outcome.unwrap_or(Ok(()))))
    }

    fn replace_replica(
        &self,
        old: ReplicaId,
        new: ReplicaId,
        within: Duration,
    ) -> LocalBoxFuture<'static, Result<(), Error>> {
        self.init(vec![old, new], within)
    }
}

/// One daemon's interface.
pub struct Daemon {
    /// Address of its operators' listener.
    pub address: SocketAddr,
    /// Address of its peers' listener.
    pub peer: SocketAddr,
    /// Its control log.
    pub script: Rc<Script>,
    /// Its events.
    pub ring: Ring,
    /// Its connections to peers.
    pub hub: Hub,
    /// Its members.
    pub members: watch::Sender<Arc<Members>>,
    /// Its platform list.
    pub platform: watch::Sender<Arc<List>>,
    /// Its view with the catalogue.
    pub view: watch::Sender<Arc<View>>,
}

impl Daemon {
    /// Starts the interface for instance `me`.
    pub async fn start(me: &str) -> Self {
        let script = Rc::new(Script::default());
        let (hub, ring) = (Hub::new(me, CLUSTER), Ring::default());
        let (members, members_seen) = watch::channel(Arc::default());
        let (platform, platform_seen) = watch::channel(Arc::default());
        let (view, view_seen) = watch::channel(Arc::default());
        let metrics = Metrics::default();
        let mut registry = Registry::default();
        metrics.register(&mut registry);
        let log: Rc<dyn Log> = Rc::clone(&script) as Rc<dyn Log>;
        let admin = Admin::new(Ports {
            tokens: Tokens::parse(&format!("ann {TOKEN}")).expect("tokens"),
            log,
            hub: hub.clone(),
            members: members_seen,
            platform: platform_seen,
            view: view_seen,
            ring: ring.clone(),
            registry: Rc::new(registry),
            metrics,
        });
        let (listener, address) = http::bind(loopback()).await.expect("a port");
        let server = http::Server {
            listener,
            handler: admin.handler(),
            max_connections: 64,
            stopped: tokio::sync::watch::channel(false).1,
            transit: http::Transit::default(),
        };
        actix_rt::spawn(server.run());
        let (listener, peer) = http::bind(loopback()).await.expect("a port");
        actix_rt::spawn(peers::listen(hub.clone(), listener, Rc::new(Router(admin))));
        Self {
            address,
            peer,
            script,
            ring,
            hub,
            members,
            platform,
            view,
        }
    }

    /// Sets the platform's list to these daemons.
    pub fn list<'a, I>(&self, members: I)
    where
        I: IntoIterator<Item = &'a Member>,
    {
        let entries = members.into_iter().map(|it| platform::Instance {
            id: it.id.clone(),
            domain: it.domain.clone(),
            peer: it.peer,
            standing: platform::Standing::Live,
        });
        self.platform.send_replace(Arc::new(List {
            entries: entries.collect(),
            runners: Vec::new(),
        }));
    }

    /// Puts a catalogue with this revision in force.
    pub fn set_revision(&self, revision: Revision) {
        let catalogue = Catalogue::from_entries(revision, [class("repair")]);
        self.view.send_replace(Arc::new(View {
            catalogue: Arc::new(catalogue),
            ..View::default()
        }));
    }

    /// Puts crash marks in force.
    pub fn set_marks(&self, marks: crash::Table) {
        self.view.send_replace(Arc::new(View {
            marks: Arc::new(marks),
            ..View::default()
        }));
    }
}

/// Makes the daemons known to each other and lists them on the platform.
pub fn join(daemons: &[&Daemon]) {
    let members: Members = daemons.iter().map(|it| member(it)).collect();
    let book: IndexMap<InstanceId, SocketAddr> = members
        .iter()
        .map(|(id, member)| (id.clone(), member.peer))
        .collect();
    for daemon in daemons {
        daemon.hub.set_addresses(book.clone());
        daemon.members.send_replace(Arc::new(members.clone()));
        daemon.list(members.values());
    }
}

/// A class with this name.
pub fn class(name: &str) -> Entry {
    let text = format!(
        r#"{{"name":"{name}","owner":"desk-team","tier":0,"first_token_ms":1500,
            "between_tokens_ms":34,"whole_ms":30000,"wait_bound_ms":5000,"queue_limit":100}}"#
    );
    let class: Class = serde_json::from_str(&text).expect("a class");
    Entry::Class(Arc::new(class))
}

struct Router(Admin);

impl peers::Handler for Router {
    fn on_message(&self, _from: &InstanceId, _body: Body) {}

    fn on_call(
        &self,
        from: &InstanceId,
        body: Body,
    ) -> LocalBoxFuture<'static, Result<Body, String>> {
        let Body::Status(message) = body else {
            return Box::pin(std::future::ready(Err("another kind".to_owned())));
        };
        let answer = self.0.on_call(from, message);
        Box::pin(async move { answer.await.map(Body::Status) })
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn member(daemon: &Daemon) -> (InstanceId, Member) {
    let id = daemon.hub.me().clone();
    let member = Member {
        id: id.clone(),
        domain: "windhoek".to_owned(),
        peer: daemon.peer,
        callers: daemon.address,
        capacity: 0,
        replica: Some(REPLICA),
        incarnation: 1,
        state: State::Alive,
        revision: 0,
        load: 0,
        current: true,
    };
    (id, member)
}
