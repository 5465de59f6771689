//! Interface of the control log for the operators' API.

use std::time::Duration;

use citron_policy::{
    id::{InstanceId, ReplicaId},
    state::{Answer, Command},
};
use futures_util::future::LocalBoxFuture;

use crate::control::{Control, Error, Status};

/// Operations on the control log, whose replicas also run on other daemons.
pub trait Log {
    /// Appends a command to the log; see [`Control::submit`].
    fn submit(
        &self,
        command: Command,
        within: Duration,
    ) -> LocalBoxFuture<'static, Result<Answer, Error>>;

    /// Status of the replicas; see [`Control::status`].
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
