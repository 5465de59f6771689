//! Replicas that reach one another over loopback.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use actix_rt::net::TcpListener;
use citron_daemon::{
    control::{Control, Error, Replica, Role, Settings, Source, Started, Status},
    peers::{Handler, Hub, listen},
};
use citron_policy::{
    id::{InstanceId, ReplicaId},
    ledger::{Claim, Key},
    member::{Member, Members, State},
    raft,
    state::Command,
};
use citron_wire::{Body, generated::control as proto};
use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;
use tokio::sync::watch;

use super::files::{Full, Room};

/// Time between two changes of a row.
const CHANGE_INTERVAL: Duration = Duration::from_millis(40);

/// Longest wait for the answer to a change of a row.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest row of changes.
const ROW_TIME: Duration = Duration::from_secs(12);

/// More messages than the queue of a replica holds.
const FLOOD_MESSAGES: usize = 10_000;

/// Size of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub replicas: usize,
    pub voters: usize,
    /// Entries between two snapshots.
    pub snapshot_entries: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            replicas: 3,
            voters: 3,
            snapshot_entries: 6,
        }
    }
}

/// Passes messages of peers to the control log of one daemon.
struct Router(RefCell<Option<Control>>);

impl Handler for Router {
    fn on_message(&self, from: &InstanceId, body: Body) {
        if let (Some(control), Body::Control(message)) = (&*self.0.borrow(), body) {
            control.on_message(from, message);
        }
    }

    fn on_call(
        &self,
        from: &InstanceId,
        body: Body,
    ) -> LocalBoxFuture<'static, Result<Body, String>> {
        let (Some(control), Body::Control(message)) = (&*self.0.borrow(), body) else {
            return Box::pin(std::future::ready(Err("not running".to_owned())));
        };
        let answer = control.on_call(from, message);
        Box::pin(async move { answer.await.map(Body::Control) })
    }
}

struct Daemon {
    hub: Hub,
    router: Rc<Router>,
    members: watch::Sender<Arc<Members>>,
    id: ReplicaId,
    settings: Settings,
    room: Room,
    /// Holds the ends of the channels of the control log.
    started: RefCell<Option<Started>>,
}

impl Daemon {
    fn source(settings: &Settings, room: &Room) -> Source<Full> {
        let (folder, room): (PathBuf, Room) = (settings.folder.clone(), room.clone());
        Arc::new(move || Full::open(&folder, room.clone()))
    }

    fn control(&self) -> Control {
        let control = self.router.0.borrow();
        control.as_ref().expect("a running daemon").clone()
    }

    fn start(&self, replica: Replica<Full>) {
        let started = Control::start(&self.hub, self.members.subscribe(), Some(replica));
        *self.router.0.borrow_mut() = Some(started.control.clone());
        *self.started.borrow_mut() = Some(started);
    }
}

/// Daemons with their replicas.
pub struct Cluster {
    daemons: Vec<Daemon>,
    addresses: Vec<SocketAddr>,
    introduced: RefCell<Vec<bool>>,
    voters: usize,
    next: Cell<u64>,
    _folder: tempfile::TempDir,
}

fn name(number: usize) -> InstanceId {
    format!("d{number}")
}

impl Cluster {
    /// A formed cluster in which all know each other.
    pub async fn form(plan: Plan) -> Self {
        Self::form_without(plan, usize::MAX).await
    }

    /// A formed cluster whose others do not know of one daemon yet.
    pub async fn form_without(plan: Plan, unknown: usize) -> Self {
        // In memory where that is possible, as opening a folder syncs the one around it.
        let memory = Path::new("/dev/shm");
        let folder = if memory.is_dir() {
            tempfile::tempdir_in(memory)
        } else {
            tempfile::tempdir()
        };
        let folder = folder.expect("a folder");
        let mut daemons = Vec::new();
        let mut addresses = Vec::new();
        for number in 0..plan.replicas {
            let hub = Hub::new(&name(number), "pond");
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
            addresses.push(listener.local_addr().expect("its address"));
            let router = Rc::new(Router(RefCell::default()));
            let handler = Rc::clone(&router);
            actix_rt::spawn(listen(hub.clone(), listener, handler));
            let settings = Settings {
                folder: folder.path().join(name(number)),
                raft: raft::Settings {
                    voters: plan.voters,
                    retained_bytes: 0,
                    ..raft::Settings::default()
                },
                snapshot_entries: plan.snapshot_entries,
                outlive_disk: true,
                ..Settings::default()
            };
            let room = Room::default();
            let source = Daemon::source(&settings, &room);
            let replica = Replica::open_from(&settings, source).expect("an empty folder");
            let daemon = Daemon {
                hub,
                router,
                members: watch::channel(Arc::default()).0,
                id: replica.id(),
                settings,
                room,
                started: RefCell::default(),
            };
            daemon.start(replica);
            daemons.push(daemon);
        }
        let book: IndexMap<InstanceId, SocketAddr> =
            (0..).map(name).zip(addresses.clone()).collect();
        for daemon in &daemons {
            daemon.hub.set_addresses(book.clone());
        }
        let cluster = Self {
            daemons,
            addresses,
            introduced: RefCell::new((0..plan.replicas).map(|it| it != unknown).collect()),
            voters: plan.voters,
            next: Cell::new(1),
            _folder: folder,
        };
        cluster.announce();
        let voters = (0..plan.voters).map(|it| cluster.id(it)).collect();
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let control = cluster.daemons[0].control();
        let formed = control.init(voters, Duration::from_secs(3)).await;
        formed.expect("the cluster forms");
        let settled = cluster.settled(Duration::from_secs(6)).await;
        settled.expect("a new cluster settles");
        cluster
    }

    /// Tells the daemons of all that are introduced.
    fn announce(&self) {
        let introduced = self.introduced.borrow();
        let members: Members = (0..self.daemons.len())
            .filter(|it| introduced[*it])
            .map(|number| (name(number), self.member(number)))
            .collect();
        let members = Arc::new(members);
        for daemon in &self.daemons {
            daemon.members.send_replace(Arc::clone(&members));
        }
    }

    fn member(&self, number: usize) -> Member {
        Member {
            id: name(number),
            domain: format!("zone-{number}"),
            peer: self.addresses[number],
            callers: self.addresses[number],
            capacity: 0,
            replica: Some(self.daemons[number].id),
            incarnation: 1,
            state: State::Alive,
            revision: 0,
            load: 0,
            current: true,
        }
    }

    pub fn introduce(&self, number: usize) {
        self.introduced.borrow_mut()[number] = true;
        self.announce();
    }

    /// Fills the queue of a replica whose thread does not take any input.
    pub fn flood(&self, number: usize) {
        let control = self.daemons[number].control();
        for _ in 0..FLOOD_MESSAGES {
            let message = proto::Message {
                group: 0,
                body: Some(proto::message::Body::Raft(proto::Raft::default())),
            };
            control.on_message(&name(number), message);
        }
    }

    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    pub fn id(&self, number: usize) -> ReplicaId {
        self.daemons[number].id
    }

    pub fn disk(&self, number: usize) -> Room {
        self.daemons[number].room.clone()
    }

    /// Ends a daemon's replica.
    fn stop(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        *daemon.router.0.borrow_mut() = None;
        *daemon.started.borrow_mut() = None;
        // Ends the tasks that hold the old replica's mailbox.
        let members = daemon.members.borrow().clone();
        daemon.members = watch::channel(members).0;
    }

    /// Ends a daemon's replica and starts it again on the same folder, once that opens.
    pub async fn restart(&mut self, number: usize) {
        self.stop(number);
        let daemon = &self.daemons[number];
        let source = Daemon::source(&daemon.settings, &daemon.room);
        let end = Instant::now() + Duration::from_secs(5);
        loop {
            match Replica::open_from(&daemon.settings, Arc::clone(&source)) {
                Ok(replica) => {
                    daemon.start(replica);
                    return;
                }
                Err(error) => assert!(Instant::now() < end, "not started again: {error}"),
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Ends a daemon's replica and starts it again though its folder does not open yet.
    pub fn restart_without(&mut self, number: usize) {
        self.stop(number);
        let daemon = &self.daemons[number];
        let source = Daemon::source(&daemon.settings, &daemon.room);
        let replica = Replica::wait_for(&daemon.settings, source);
        daemon.start(replica.expect("its identity").expect("a folder in use"));
    }

    async fn statuses(&self) -> Vec<Status> {
        let mut all = Vec::new();
        for daemon in &self.daemons {
            let control = daemon.control();
            let status = control.status(Duration::from_millis(300)).await;
            all.extend(status.into_iter().map(|it| it.1));
        }
        all.sort_by_key(|it| it.replica);
        all.dedup_by_key(|it| it.replica);
        all
    }

    /// The replica that leads, if one does.
    pub async fn leader(&self) -> Option<usize> {
        let all = self.statuses().await;
        let leaders = all.iter().filter(|it| it.role == Role::Leader);
        let leader = leaders.max_by_key(|it| it.term)?;
        self.daemons.iter().position(|it| it.id == leader.replica)
    }

    /// Waits for a state of the replicas; tells the last one if it does not come.
    pub async fn until<H>(&self, within: Duration, holds: H) -> Result<(), String>
    where
        H: Fn(&[Status]) -> bool,
    {
        let end = Instant::now() + within;
        loop {
            let all = self.statuses().await;
            if holds(&all) {
                return Ok(());
            }
            if Instant::now() >= end {
                let shown = all.iter().map(|it| {
                    format!(
                        "{:x} {:?} term {} leader {:x?} voters {:x?} last {} commit {}",
                        it.replica, it.role, it.term, it.leader, it.voters, it.last, it.commit
                    )
                });
                return Err(shown.collect::<Vec<_>>().join("; "));
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until all introduced replicas answer, follow one leader, hold and commit the
    /// same entries, and as many count as are wanted.
    pub async fn settled(&self, within: Duration) -> Result<(), String> {
        let present = self.introduced.borrow().iter().filter(|it| **it).count();
        let wanted = self.voters;
        let settled = self.until(within, |all| {
            let known: Vec<&Status> = all.iter().filter(|it| it.formed).collect();
            let Some(first) = known.first() else {
                return false;
            };
            known.len() == present
                && first.leader.is_some()
                && first.voters.len() == wanted
                && known.iter().all(|it| {
                    it.leader == first.leader
                        && it.voters == first.voters
                        && it.commit == it.last
                        && it.last == first.last
                })
        });
        settled.await
    }

    /// Sends one change through a daemon whose disk has room, until it is answered.
    pub async fn change(&self, within: Duration) -> Result<(), Error> {
        let number = self.next.replace(self.next.get() + 1);
        let now = SystemTime::now();
        let claim = Claim {
            key: Key {
                account: "windhoek".to_owned(),
                name: format!("k{number}"),
            },
            digest: 1,
            attempt: number,
            daemon: "d0".to_owned(),
            deadline: now + Duration::from_secs(30),
            at: now,
        };
        let through = usize::try_from(number).unwrap_or(0) % self.daemons.len();
        let control = self.daemons[through].control();
        let end = Instant::now() + within;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let command = Command::Claim(claim.clone());
            match control
                .submit(command, left.min(Duration::from_secs(1)))
                .await
            {
                Ok(_) => return Ok(()),
                Err(error) if Instant::now() >= end => return Err(error),
                Err(_) => actix_rt::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }

    /// Sends changes until a condition holds; false if it does not in time.
    pub async fn change_until<H>(&self, holds: H) -> bool
    where
        H: Fn() -> bool,
    {
        let end = Instant::now() + ROW_TIME;
        while !holds() {
            if Instant::now() >= end {
                return false;
            }
            drop(self.change(CHANGE_TIMEOUT).await);
            actix_rt::time::sleep(CHANGE_INTERVAL).await;
        }
        true
    }
}
