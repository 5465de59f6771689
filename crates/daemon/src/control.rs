//! The control log as every daemon sees it.
//!
//! A daemon with a data folder runs a replica on a thread of its own; every
//! daemon has a [`Control`], which finds the leader among the members and
//! submits commands to it. A command may reach the log twice by such retries,
//! so commands carry an identity: a change id or an attempt id.

use std::{path::PathBuf, rc::Rc, sync::Arc, time::Duration};

use citron_policy::{
    feed,
    id::{Fingerprint, Index, InstanceId, ReplicaId, Term},
    ledger::{Key, Verdict},
    member::Members,
    state::{Answer, Command},
};
use citron_wire::generated::control as proto;
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use crate::peers::Hub;

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Data folder.
    pub folder: PathBuf,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            folder: PathBuf::from("."),
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

/// An opened data folder, not yet taking part.
#[derive(Debug)]
pub struct Replica {
    id: ReplicaId,
}

impl Replica {
    /// Opens the journal in the data folder.
    ///
    /// # Errors
    /// When the folder is damaged or cannot be written; the text names the remedy.
    pub fn open(settings: &Settings) -> Result<Self, Error> {
        Err(Error::Refused {
            reason: format!("not built: {}", settings.folder.display()),
        })
    }

    /// Random identity of the data folder.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.id
    }
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
    #[expect(dead_code, reason = "the replica thread follows")]
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    #[expect(dead_code, reason = "the replica thread follows")]
    members: watch::Receiver<Arc<Members>>,
}

impl Control {
    /// Starts the replica's thread, if there is one, and gives the handle.
    #[must_use]
    pub fn start(
        hub: &Hub,
        members: watch::Receiver<Arc<Members>>,
        replica: Option<Replica>,
    ) -> Started {
        let (_, feed) = mpsc::channel(1);
        let (_, failed) = oneshot::channel();
        drop((hub.clone(), replica));
        Started {
            control: Self {
                inner: Rc::new(Inner { members }),
            },
            feed,
            failed,
        }
    }

    /// Puts a command into the log and gives its answer.
    ///
    /// # Errors
    /// [`Error`]; only [`Error::Unsure`] leaves open whether the command is in the log.
    pub async fn submit(&self, command: Command, within: Duration) -> Result<Answer, Error> {
        drop((command, within));
        std::future::ready(Err(Error::NoLeader)).await
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
        drop((key, digest, within));
        std::future::ready(Err(Error::NoLeader)).await
    }

    /// How the known replicas stand; those that do not answer are left out.
    pub async fn status(&self, within: Duration) -> Vec<(InstanceId, Status)> {
        std::future::ready((Vec::new(), within)).await.0
    }

    /// Forms the cluster, once, of these replicas; of all known ones if none are named.
    ///
    /// # Errors
    /// [`Error`] when one of them belongs to a cluster already or cannot be reached.
    pub async fn init(&self, voters: Vec<ReplicaId>, within: Duration) -> Result<(), Error> {
        drop((voters, within));
        std::future::ready(Err(Error::NoLeader)).await
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
        std::future::ready((Err(Error::NoLeader), (old, new, within)))
            .await
            .0
    }

    /// Takes in a message from another daemon.
    pub fn on_tell(&self, from: &InstanceId, message: proto::Message) {
        drop((from.clone(), message));
    }

    /// Answers a call from another daemon.
    #[must_use]
    pub fn on_call(
        &self,
        from: &InstanceId,
        message: proto::Message,
    ) -> LocalBoxFuture<'static, Result<proto::Message, String>> {
        drop((from.clone(), message));
        Box::pin(std::future::ready(Err("not built".to_owned())))
    }
}
