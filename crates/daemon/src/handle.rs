//! What an adapter's desk may ask of the daemon.

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
};

/// Time between two looks at the view while it catches up.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The daemon, as an adapter sees it.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The control log.
    pub control: Control,
    /// Proof that what is in force here is current.
    pub follow: Follow,
    /// Membership.
    pub gossip: Gossip,
    /// What is in force here.
    pub view: watch::Receiver<Arc<View>>,
    /// The daemons.
    pub members: watch::Receiver<Arc<Members>>,
    /// Becomes true when the daemon takes no new work.
    pub draining: watch::Receiver<bool>,
}

impl Handle {
    /// Whether callers should come here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let declared = self.view.borrow().declaration.is_some();
        declared && !*self.draining.borrow() && self.follow.may_take_work(clock::now())
    }

    /// Addresses that a caller should use, and for how long.
    ///
    /// # Errors
    /// When this daemon cannot tell.
    pub fn entries(&self, domain: Option<&str>) -> Result<(Vec<SocketAddr>, Duration), String> {
        let caller = Caller {
            domain,
            seed: rand::random(),
        };
        let current = self.follow.may_take_work(clock::now());
        let answer = discovery::list(&self.members.borrow(), current, &caller);
        let answer = answer.map_err(|refusal| refusal.to_string())?;
        let addresses = answer.choices.into_iter().map(|it| it.callers).collect();
        Ok((addresses, answer.ttl))
    }

    /// Puts a declaration into the log; gives the version in force afterwards.
    ///
    /// # Errors
    /// [`control::Error`]; only [`control::Error::Unsure`] leaves the outcome open.
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
