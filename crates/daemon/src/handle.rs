//! Operations of the daemon that an adapter's management endpoint may use.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    declaration::Declaration,
    discovery::{self, Caller},
    feed::View,
    id::Version,
    member::Members,
    state::{Answer, Command},
};
use tokio::sync::watch;

use crate::{
    clock,
    control::{self, Control},
    follow::Follow,
    gossip::Gossip,
    shared_hosts::SharedHosts,
};

/// Polling interval of the local view while it catches up with the log.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An adapter's access to the daemon.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The control log.
    pub control: Control,
    /// Proof that the local view is current.
    pub follow: Follow,
    /// Membership.
    pub gossip: Gossip,
    /// Catalogue and declaration in force on this instance.
    pub view: watch::Receiver<Arc<View>>,
    /// Daemons of the cluster.
    pub members: watch::Receiver<Arc<Members>>,
    /// Becomes true when the daemon stops accepting new work.
    pub draining: watch::Receiver<bool>,
    /// Whether daemons share their machines with others, so that callers are spread by
    /// capacity.
    pub shared_hosts: SharedHosts,
}

impl Handle {
    /// Whether callers should be sent to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let declared = self.view.borrow().declaration.is_some();
        declared && !*self.draining.borrow() && self.follow.may_take_work(clock::now())
    }

    /// Addresses that a caller should use, and how long they are valid.
    ///
    /// # Errors
    /// The reason why this daemon cannot name any.
    pub fn entries(&self, domain: Option<&str>) -> Result<(Vec<SocketAddr>, Duration), String> {
        let caller = Caller {
            domain,
            seed: rand::random(),
            by_capacity: self.shared_hosts.get(),
        };
        let current = self.follow.may_take_work(clock::now());
        let answer = discovery::list(&self.members.borrow(), current, &caller);
        let answer = answer.map_err(|refusal| refusal.to_string())?;
        let addresses = answer.choices.into_iter().map(|it| it.callers).collect();
        Ok((addresses, answer.ttl))
    }

    /// Appends a declaration to the control log; returns the version in force afterwards.
    ///
    /// # Errors
    /// [`control::Error`]; the outcome is undetermined only for [`control::Error::Unsure`].
    pub async fn declare(
        &self,
        declaration: Declaration,
        within: Duration,
    ) -> Result<Version, control::Error> {
        let command = Command::Declare(Arc::new(declaration));
        match self.control.submit(command, within).await? {
            Answer::Declared(version) => Ok(version),
            _ => Err(control::Error::Unsure),
        }
    }

    /// The declaration in force, confirmed by a quorum after the call began.
    ///
    /// # Errors
    /// [`control::Error`] when no leader confirmed it in time.
    pub async fn declaration(
        &self,
        within: Duration,
    ) -> Result<Option<Arc<Declaration>>, control::Error> {
        let end = Instant::now() + within;
        let version = self.control.version(within).await?;
        loop {
            let held = self.view.borrow().declaration.clone();
            if held.as_ref().map(|it| it.version) >= version {
                return Ok(held);
            }
            if Instant::now() >= end {
                return Err(control::Error::NoLeader);
            }
            actix_rt::time::sleep(VIEW_POLL_INTERVAL).await;
        }
    }
}
