//! The control log, as the operators' interface sees it.

use std::time::Duration;

use citron_policy::{
    id::{InstanceId, ReplicaId},
    state::{Answer, Command},
};
use futures_util::future::LocalBoxFuture;

use crate::control::{Control, Error, Status};

/// What operators ask of the control log, which runs on other daemons too.
pub trait Log {
    /// Puts a command into the log; see [`Control::submit`].
    fn submit(
        &self,
        command: Command,
        within: Duration,
    ) -> LocalBoxFuture<'static, Result<Answer, Error>>;

    /// How the replicas stand; see [`Control::status`].
    fn status(&self, within: Duration) -> LocalBoxFuture<'static, Vec<(InstanceId, Status)>>;

    /// Forms the cluster; see [`Control::init`].
    fn init(
        &self,
        voters: Vec<ReplicaId>,
        within: Duration,
    ) -> LocalBoxFuture<'static, Result<(), Error>>;

    /// Replaces a replica; see [`Control::replace_replica`].
    fn replace_replica(
        &self,
        old: ReplicaId,
        new: ReplicaId,
        within: Duration,
    ) -> LocalBoxFuture<'static, Result<(), Error>>;
}

impl Log for Control {
    fn submit(
        &self,
        command: Command,
        within: Duration,
    ) -> LocalBoxFuture<'static, Result<Answer, Error>> {
        let control = self.clone();
        Box::pin(async move { control.submit(command, within).await })
    }

    fn status(&self, within: Duration) -> LocalBoxFuture<'static, Vec<(InstanceId, Status)>> {
        let control = self.clone();
        Box::pin(async move { control.status(within).await })
    }

    fn init(
        &self,
        voters: Vec<ReplicaId>,
        within: Duration,
    ) -> LocalBoxFuture<'static, Result<(), Error>> {
        let control = self.clone();
        Box::pin(async move { control.init(voters, within).await })
    }

    fn replace_replica(
        &self,
        old: ReplicaId,
        new: ReplicaId,
        within: Duration,
    ) -> LocalBoxFuture<'static, Result<(), Error>> {
        let control = self.clone();
        Box::pin(async move { control.replace_replica(old, new, within).await })
    }
}
