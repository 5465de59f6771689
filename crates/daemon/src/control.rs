//! Access to the replicated control log from any daemon.
//!
//! A daemon with a data folder runs a replica on its own thread. Every daemon
//! has a [`Control`], which finds the leader among the members and submits
//! commands to it. A retry can append a command to the log twice, so each
//! command carries an identity: a change id or an attempt id.

mod client;
mod driver;
mod form;
mod metrics;
mod outcome;
mod replica;
mod store;

use std::{cell::Cell, path::PathBuf, rc::Rc, sync::Arc, time::Duration};

use citron_journal::Files;
use citron_policy::{
    feed,
    id::{Fingerprint, Index, InstanceId, ReplicaId, Term, Version, WindowId},
    lease,
    ledger::{Key, Verdict},
    member::{Members, State},
    raft,
    state::{self, Answer, Command},
    usage,
};
use citron_wire::{Body, generated::control as proto};
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;
use prometheus_client::registry::Registry;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use crate::peers::Hub;

use self::{
    driver::{Mailbox, Outgoing, Peers},
    metrics::Metrics,
};
pub use self::{
    form::form,
    replica::{Replica, Source},
    store::Store,
};

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Data folder.
    pub folder: PathBuf,
    /// Timing and limits of the log.
    pub raft: raft::Settings,
    /// Limits of the replicated state; must be equal on every replica.
    pub limits: state::Limits,
    /// Entries since the last snapshot after which the next one is taken.
    pub snapshot_entries: u64,
    /// Bytes of entries since the last snapshot after which the next one is taken.
    pub snapshot_bytes: usize,
    /// Whether the daemon keeps running without its replica when the disk fails; the
    /// replica rejoins once a full disk has space again.
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
    /// No leader accepted the command; it is definitely not in the log.
    #[display("no leader of the control log was found: see `citronctl status` and try again")]
    NoLeader,
    /// The command may or may not be in the log.
    #[display("the control log did not answer in time: resend under the same id")]
    Unsure,
    /// Too many commands are queued; this one is definitely not in the log.
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
    /// The call is not valid in the current state of the replicas.
    #[display("{reason}")]
    Refused {
        /// Why, with the remedy.
        reason: String,
    },
}

/// Role of a replica in the control log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Decides the order of the entries.
    Leader,
    /// Follows a leader, or is a candidate.
    #[default]
    Follower,
    /// Receives the entries without a vote.
    Learner,
}

/// Status of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its identity.
    pub replica: ReplicaId,
    /// Whether it knows that the cluster has been formed.
    pub formed: bool,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// Leader that it follows.
    pub leader: Option<ReplicaId>,
    /// Voters that it knows of.
    pub voters: Vec<ReplicaId>,
    /// Index of its last entry.
    pub last: Index,
    /// Index of the last committed entry that it knows of.
    pub commit: Index,
    /// Whether its build applies changes of the lease of the duties.
    #[serde(default)]
    pub duties: bool,
    /// The lease of the duties that it knows of.
    #[serde(default)]
    pub lease: Option<lease::Record>,
    /// Latest window of usage whose counts it knows to be fixed.
    #[serde(default)]
    pub fixed: Option<WindowId>,
}

/// Result of [`Control::start`].
#[derive(Debug)]
pub struct Started {
    /// Handle for the other parts of this daemon.
    pub control: Control,
    /// What the replica on this instance commits; closed from the start without a replica.
    pub feed: mpsc::Receiver<feed::Local>,
    /// Resolves with the reason when the replica has failed; the process must then exit non-zero.
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
    mailbox: Option<Mailbox>,
    /// Replica that last answered as leader or was last asked as the presumed one.
    leader: Cell<Option<ReplicaId>>,
    metrics: Metrics,
    /// Kept on a daemon without a replica, so that [`Started::failed`] never resolves.
    _failure_sender: Option<oneshot::Sender<String>>,
}

impl Control {
    /// Starts the thread of the replica, if there is one.
    #[must_use]
    pub fn start<F>(
        hub: &Hub,
        members: watch::Receiver<Arc<Members>>,
        replica: Option<Replica<F>>,
    ) -> Started
    where
        F: Files + Send + 'static,
    {
        let metrics = Metrics::default();
        let (failure_sender, failed) = oneshot::channel();
        let (local, feed) = mpsc::channel(driver::FEED_QUEUE);
        let (mailbox, failure_sender) = match replica {
            None => (None, Some(failure_sender)),
            Some(replica) => {
                let (outgoing, messages) = mpsc::channel(driver::OUTGOING_QUEUE);
                let mailbox = replica.run(metrics.clone(), outgoing, local, failure_sender);
                actix_rt::spawn(send_messages(hub.clone(), members.clone(), messages));
                actix_rt::spawn(update_peers(members.clone(), mailbox.clone()));
                (Some(mailbox), None)
            }
        };
        let inner = Inner {
            hub: hub.clone(),
            members,
            mailbox,
            leader: Cell::new(None),
            metrics,
            _failure_sender: failure_sender,
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

    /// Appends a command to the log and returns its answer.
    ///
    /// # Errors
    /// [`Error`]; only after [`Error::Unsure`] is it unknown whether the command is in the log.
    pub async fn submit(&self, command: Command, within: Duration) -> Result<Answer, Error> {
        let request = proto::message::Body::Submit((&command).into());
        match self.call_leader(request, within).await? {
            proto::message::Body::Answer(answer) => {
                answer.try_into().map_err(|error| outcome::invalid(&error))
            }
            _ => Err(outcome::mismatched()),
        }
    }

    /// Looks an idempotency key up in the ledger, at the leader after a quorum round.
    ///
    /// # Errors
    /// [`Error`] when no leader confirmed the answer in time.
    pub async fn lookup(
        &self,
        key: Key,
        digest: Fingerprint,
        within: Duration,
    ) -> Result<Option<Verdict>, Error> {
        let request = proto::message::Body::Lookup(proto::Lookup {
            key: Some((&key).into()),
            digest,
        });
        match self.call_leader(request, within).await? {
            proto::message::Body::LookedUp(found) => {
                let verdict = found.verdict.map(Verdict::try_from).transpose();
                verdict.map_err(|error| outcome::invalid(&error))
            }
            _ => Err(outcome::mismatched()),
        }
    }

    /// The version of the declaration in force, after a quorum round.
    ///
    /// # Errors
    /// [`Error`] when no leader confirmed it in time.
    pub async fn version(&self, within: Duration) -> Result<Option<Version>, Error> {
        let request = proto::message::Body::Version(proto::Ask {});
        match self.call_leader(request, within).await? {
            proto::message::Body::Answer(proto::Answer {
                answer: Some(proto::answer::Answer::Declared(version)),
            }) => Ok(Some(version)),
            proto::message::Body::Done(_) => Ok(None),
            _ => Err(outcome::mismatched()),
        }
    }

    /// What the replica of this daemon knows of the duties, which may be out of date; none
    /// without a replica.
    ///
    /// Windows of usage in `known` come without their counts, which never change.
    pub async fn duties(
        &self,
        known: Vec<WindowId>,
        within: Duration,
    ) -> Option<(Option<lease::Record>, usage::Fixed)> {
        let mailbox = self.inner.mailbox.as_ref()?;
        let ask = proto::message::Body::Duties(proto::AskDuties { known });
        let answer = mailbox.request(ask);
        match actix_rt::time::timeout(within, answer).await {
            Ok(Ok(proto::message::Body::KnownDuties(duties))) => {
                citron_wire::control::decode_duties(duties).ok()
            }
            _ => None,
        }
    }

    /// Identity of this daemon's replica, if it has one.
    #[must_use]
    pub fn replica(&self) -> Option<ReplicaId> {
        self.inner.mailbox.as_ref().map(Mailbox::replica)
    }

    /// Status of the known replicas; those that do not answer are left out.
    pub async fn status(&self, within: Duration) -> Vec<(InstanceId, Status)> {
        let calls = self
            .replicas()
            .into_iter()
            .map(|(instance, replica)| async move {
                let request = proto::message::Body::Status(proto::Ask {});
                let answer = self
                    .call_replica(&instance, replica, request, within)
                    .await
                    .ok()?;
                match answer {
                    proto::message::Body::Standing(status) => Some((instance, status.into())),
                    _ => None,
                }
            });
        let answers = futures_util::future::join_all(calls).await;
        answers.into_iter().flatten().collect()
    }

    /// Forms the cluster from these replicas; possible only once.
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
        let request = proto::message::Body::Init(proto::Init { voters });
        let answer = self.call_replica(instance, *replica, request, within).await;
        match answer {
            Ok(body) => outcome::done(body),
            Err(error) => Err(Error::Refused {
                reason: error.to_string(),
            }),
        }
    }

    /// Makes `new` a voter in place of `old`; returns once that is committed.
    ///
    /// # Errors
    /// [`Error`] when `new` has not caught up yet, or no quorum agreed in time.
    pub async fn replace_replica(
        &self,
        old: ReplicaId,
        new: ReplicaId,
        within: Duration,
    ) -> Result<(), Error> {
        let request = proto::message::Body::Replace(proto::Replace { old, new });
        outcome::done(self.call_leader(request, within).await?)
    }

    /// Handles a one-way message from another daemon.
    pub fn on_message(&self, from: &InstanceId, message: proto::Message) {
        let Some(mailbox) = &self.inner.mailbox else {
            return;
        };
        match message.body {
            Some(proto::message::Body::Raft(raft)) if message.group == GROUP => mailbox.raft(raft),
            _ => log::debug!("CP0408 message from {from} is not for this replica"),
        }
    }

    /// Answers a call from another daemon.
    #[must_use]
    pub fn on_call(
        &self,
        from: &InstanceId,
        message: proto::Message,
    ) -> LocalBoxFuture<'static, Result<proto::Message, String>> {
        let request = message.body.filter(|_| message.group == GROUP);
        let (Some(mailbox), Some(request)) = (&self.inner.mailbox, request) else {
            log::debug!("CP0408 call from {from} is not for this replica");
            let failure = outcome::not_leader(None);
            return Box::pin(std::future::ready(Ok(to_message(failure))));
        };
        let answer = mailbox.request(request);
        Box::pin(async move {
            Ok(to_message(
                answer.await.unwrap_or_else(|_| outcome::unsure()),
            ))
        })
    }

    /// Instances with a replica, except those known to be dead.
    fn replicas(&self) -> Vec<(InstanceId, ReplicaId)> {
        let members = self.inner.members.borrow();
        let present = members.values().filter(|it| it.state != State::Dead);
        present
            .filter_map(|it| Some((it.id.clone(), it.replica?)))
            .collect()
    }
}

/// Time after which the known replicas are told again if the queue was full.
const PEERS_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Raft group that this daemon takes part in.
const GROUP: u32 = 0;

fn to_message(body: proto::message::Body) -> proto::Message {
    proto::Message {
        group: GROUP,
        body: Some(body),
    }
}

/// Sends the replica's messages to the instances of the addressed replicas.
async fn send_messages(
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
            hub.send_message(&instance, Body::Control(to_message(raft)));
        }
    }
}

/// Tells the replica which replicas are known, when that changes.
async fn update_peers(mut members: watch::Receiver<Arc<Members>>, mailbox: Mailbox) {
    let mut told = Peers::new();
    loop {
        let known: Peers = {
            let members = members.borrow_and_update();
            let present = members.values().filter(|it| it.state != State::Dead);
            let replicas = present.filter_map(|it| Some((it.replica?, it.domain.clone())));
            replicas.collect()
        };
        if known != told && !mailbox.peers(known.clone()) {
            let changed = actix_rt::time::timeout(PEERS_RETRY_INTERVAL, members.changed());
            if matches!(changed.await, Ok(Err(_))) {
                return;
            }
            continue;
        }
        told = known;
        if members.changed().await.is_err() {
            return;
        }
    }
}
