//! The control log as every daemon sees it.
//!
//! A daemon with a data folder runs a replica on a thread of its own; every
//! daemon has a [`Control`], which finds the leader among the members and
//! submits commands to it. A command may reach the log twice by such retries,
//! so commands carry an identity: a change id or an attempt id.

mod client;
mod driver;
mod form;
mod metrics;
mod outcome;
mod replica;
mod store;

use std::{cell::Cell, path::PathBuf, rc::Rc, sync::Arc, time::Duration};

use citron_policy::{
    feed,
    id::{Fingerprint, Index, InstanceId, ReplicaId, Term, Version},
    ledger::{Key, Verdict},
    member::{Members, State},
    raft,
    state::{self, Answer, Command},
};
use citron_wire::{Body, generated::control as proto};
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;
use prometheus_client::registry::Registry;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use crate::peers::Hub;

use self::{
    driver::{Outgoing, Port},
    metrics::Metrics,
};
pub use self::{form::form, replica::Replica, store::Store};

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Data folder.
    pub folder: PathBuf,
    /// Timing and bounds of the log.
    pub raft: raft::Settings,
    /// Bounds of the replicated state; equal on every replica.
    pub limits: state::Limits,
    /// Entries after which the state is kept as a snapshot.
    pub snapshot_entries: u64,
    /// Bytes of entries after which the state is kept as a snapshot.
    pub snapshot_bytes: usize,
    /// Whether the daemon goes on without its replica when the disk fails; the
    /// replica takes part again once a full disk has room.
    pub outlive_disk: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            folder: PathBuf::from("."),
            raft: raft::Settings::default(),
            limits: state::Limits::default(),
            snapshot_entries: 8_192,
            snapshot_bytes: 16 << 20,
            outlive_disk: false,
        }
    }
}

/// Why a call to the control log failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// No leader took the command; it is certainly not in the log.
    #[display("no leader of the control log was found: see `citronctl status` and try again")]
    NoLeader,
    /// The command may or may not be in the log.
    #[display("the control log did not answer in time: resend under the same id")]
    Unsure,
    /// Too many commands wait; it is certainly not in the log.
    #[display("the control log is busy: try again later")]
    Busy,
    /// The command is too large for one entry.
    #[display("the change is {bytes} bytes; split it into parts of at most {limit}")]
    TooLarge {
        /// Size of the command.
        bytes: usize,
        /// Largest size.
        limit: usize,
    },
    /// The call does not fit the state of the replicas.
    #[display("{reason}")]
    Refused {
        /// Why, with the remedy.
        reason: String,
    },
}

/// A replica's part in the control log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Decides the order of the entries.
    Leader,
    /// Follows a leader, or asks to become one.
    #[default]
    Follower,
    /// Receives the entries, and does not count.
    Learner,
}

/// How one replica stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its identity.
    pub replica: ReplicaId,
    /// Whether the cluster has been formed, as far as it knows.
    pub formed: bool,
    /// Its part.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// Leader it follows.
    pub leader: Option<ReplicaId>,
    /// Replicas that count, as far as it knows.
    pub voters: Vec<ReplicaId>,
    /// Index of its last entry.
    pub last: Index,
    /// Index of the last committed entry that it knows of.
    pub commit: Index,
}

/// What [`Control::start`] gives.
#[derive(Debug)]
pub struct Started {
    /// Handle for everything on this daemon.
    pub control: Control,
    /// What the replica on this instance commits; ends at once without one.
    pub feed: mpsc::Receiver<feed::Local>,
    /// Resolves with the reason when the replica stopped: the process must exit non-zero.
    pub failed: oneshot::Receiver<String>,
}

/// Handle on the control log; clones share it.
#[derive(Clone, Debug)]
pub struct Control {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    hub: Hub,
    members: watch::Receiver<Arc<Members>>,
    port: Option<Port>,
    /// Leader that last answered or was last named.
    leader: Cell<Option<ReplicaId>>,
    metrics: Metrics,
    /// Held on a daemon without a replica, so that its failure never resolves.
    _alarm: Option<oneshot::Sender<String>>,
}

impl Control {
    /// Starts the replica's thread, if there is one, and gives the handle.
    #[must_use]
    pub fn start(
        hub: &Hub,
        members: watch::Receiver<Arc<Members>>,
        replica: Option<Replica>,
    ) -> Started {
        let metrics = Metrics::default();
        let (alarm, failed) = oneshot::channel();
        let (local, feed) = mpsc::channel(driver::FEED_QUEUE);
        let (port, alarm) = match replica {
            None => (None, Some(alarm)),
            Some(replica) => {
                let (outgoing, messages) = mpsc::channel(driver::OUTGOING_QUEUE);
                let port = replica.run(metrics.clone(), outgoing, local, alarm);
                actix_rt::spawn(deliver(hub.clone(), members.clone(), messages));
                actix_rt::spawn(tell_peers(members.clone(), port.clone()));
                (Some(port), None)
            }
        };
        let inner = Inner {
            hub: hub.clone(),
            members,
            port,
            leader: Cell::new(None),
            metrics,
            _alarm: alarm,
        };
        Started {
            control: Self {
                inner: Rc::new(inner),
            },
            feed,
            failed,
        }
    }

    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        self.inner.metrics.register(registry);
    }

    /// Puts a command into the log and gives its answer.
    ///
    /// # Errors
    /// [`Error`]; only [`Error::Unsure`] leaves open whether the command is in the log.
    pub async fn submit(&self, command: Command, within: Duration) -> Result<Answer, Error> {
        let question = proto::message::Body::Submit((&command).into());
        match self.ask_leader(question, within).await? {
            proto::message::Body::Answer(answer) => {
                answer.try_into().map_err(|error| outcome::unfit(&error))
            }
            _ => Err(outcome::crossed()),
        }
    }

    /// What a caller with this key would get, read at the leader after a quorum round.
    ///
    /// # Errors
    /// [`Error`] when no leader confirmed the answer in time.
    pub async fn lookup(
        &self,
        key: Key,
        digest: Fingerprint,
        within: Duration,
    ) -> Result<Option<Verdict>, Error> {
        let question = proto::message::Body::Lookup(proto::Lookup {
            key: Some((&key).into()),
            digest,
        });
        match self.ask_leader(question, within).await? {
            proto::message::Body::LookedUp(found) => {
                let verdict = found.verdict.map(Verdict::try_from).transpose();
                verdict.map_err(|error| outcome::unfit(&error))
            }
            _ => Err(outcome::crossed()),
        }
    }

    /// The version of the declaration in force, after a quorum round.
    ///
    /// # Errors
    /// [`Error`] when no leader confirmed it in time.
    pub async fn version(&self, within: Duration) -> Result<Option<Version>, Error> {
        let question = proto::message::Body::Version(proto::Ask {});
        match self.ask_leader(question, within).await? {
            proto::message::Body::Answer(proto::Answer {
                answer: Some(proto::answer::Answer::Declared(version)),
            }) => Ok(Some(version)),
            proto::message::Body::Done(_) => Ok(None),
            _ => Err(outcome::crossed()),
        }
    }

    /// How the known replicas stand; those that do not answer are left out.
    pub async fn status(&self, within: Duration) -> Vec<(InstanceId, Status)> {
        let asked = self
            .replicas()
            .into_iter()
            .map(|(instance, replica)| async move {
                let question = proto::message::Body::Status(proto::Ask {});
                let answer = self.ask(&instance, replica, question, within).await.ok()?;
                match answer {
                    proto::message::Body::Standing(status) => Some((instance, status.into())),
                    _ => None,
                }
            });
        let answers = futures_util::future::join_all(asked).await;
        answers.into_iter().flatten().collect()
    }

    /// Forms the cluster, once, of these replicas.
    ///
    /// # Errors
    /// [`Error`] when one of them belongs to a cluster already or cannot be reached.
    pub async fn init(&self, voters: Vec<ReplicaId>, within: Duration) -> Result<(), Error> {
        let known = self.replicas();
        let first = known
            .iter()
            .filter(|(_, replica)| voters.contains(replica))
            .min_by_key(|(instance, _)| instance != self.inner.hub.me());
        let Some((instance, replica)) = first else {
            return Err(Error::Refused {
                reason: "none of the voters is a known replica: start them with --data and wait"
                    .to_owned(),
            });
        };
        let question = proto::message::Body::Init(proto::Init { voters });
        let answer = self.ask(instance, *replica, question, within).await;
        match answer {
            Ok(body) => outcome::done(body),
            Err(error) => Err(Error::Refused {
                reason: error.to_string(),
            }),
        }
    }

    /// Makes `new` count in place of `old`; returns once that is committed.
    ///
    /// # Errors
    /// [`Error`] when `new` has not caught up yet, or no quorum agreed in time.
    pub async fn replace_replica(
        &self,
        old: ReplicaId,
        new: ReplicaId,
        within: Duration,
    ) -> Result<(), Error> {
        let question = proto::message::Body::Replace(proto::Replace { old, new });
        outcome::done(self.ask_leader(question, within).await?)
    }

    /// Takes in a message from another daemon.
    pub fn on_tell(&self, from: &InstanceId, message: proto::Message) {
        let Some(port) = &self.inner.port else {
            return;
        };
        match message.body {
            Some(proto::message::Body::Raft(raft)) if message.group == GROUP => port.raft(raft),
            _ => log::debug!("CP0408 message of {from} is not for this replica"),
        }
    }

    /// Answers a call from another daemon.
    #[must_use]
    pub fn on_call(
        &self,
        from: &InstanceId,
        message: proto::Message,
    ) -> LocalBoxFuture<'static, Result<proto::Message, String>> {
        let question = message.body.filter(|_| message.group == GROUP);
        let (Some(port), Some(question)) = (&self.inner.port, question) else {
            log::debug!("CP0408 call of {from} is not for this replica");
            let failure = outcome::not_leader(None);
            return Box::pin(std::future::ready(Ok(wrap(failure))));
        };
        let answer = port.ask(question);
        Box::pin(async move { Ok(wrap(answer.await.unwrap_or_else(|_| outcome::unsure()))) })
    }

    /// Instances with a replica that may be reached.
    fn replicas(&self) -> Vec<(InstanceId, ReplicaId)> {
        let members = self.inner.members.borrow();
        let present = members.values().filter(|it| it.state != State::Dead);
        present
            .filter_map(|it| Some((it.id.clone(), it.replica?)))
            .collect()
    }
}

/// Group of the log that this daemon takes part in.
const GROUP: u32 = 0;

fn wrap(body: proto::message::Body) -> proto::Message {
    proto::Message {
        group: GROUP,
        body: Some(body),
    }
}

/// Sends the replica's messages to the instances that hold the named folders.
async fn deliver(
    hub: Hub,
    members: watch::Receiver<Arc<Members>>,
    mut messages: mpsc::Receiver<Outgoing>,
) {
    while let Some(Outgoing { to, message }) = messages.recv().await {
        let instance = {
            let members = members.borrow();
            let holder = members.values().find(|it| it.replica == Some(to));
            holder.map(|it| it.id.clone())
        };
        if let Some(instance) = instance {
            let raft = proto::message::Body::Raft(message);
            hub.tell(&instance, Body::Control(wrap(raft)));
        }
    }
}

/// Tells the replica which others are known.
async fn tell_peers(mut members: watch::Receiver<Arc<Members>>, port: Port) {
    loop {
        let known = {
            let members = members.borrow_and_update();
            let present = members.values().filter(|it| it.state != State::Dead);
            present.filter_map(|it| it.replica).collect()
        };
        port.peers(known);
        if members.changed().await.is_err() {
            return;
        }
    }
}
