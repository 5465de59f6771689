//! Shutdown of the daemon.
//!
//! A daemon leaves when it receives a signal, or when the platform's list marks
//! its instance as leaving. It first stops taking new work and tells the other
//! daemons, then finishes the requests in flight, then ends. The list can
//! withdraw the mark until the end. A signal is final, and a second one ends
//! the wait.
//!
//! Callers may have cached the address of a leaving instance. Until the end those of
//! the native interface are refused with the addresses of others. Those of an adapter
//! are not told any: they find the port closed, and try another address.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::oneshot;

use super::{Failure, Parts, UPDATE_INTERVAL};
use crate::settings::Settings;

/// Minimum time between the start of leaving and the end. The daemon keeps
/// answering with the addresses of others, so that callers that cached its
/// address are redirected, and still takes new work. Slightly longer than an
/// entry list may be cached.
const MIN_LEAVE_TIME: Duration = Duration::from_millis(2_800);

/// Time without a request in flight before the process ends. Callers that were waiting
/// for the last answers send their next request meanwhile, and are sent elsewhere.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// Time for which the platform's list must mark this instance as leaving before
/// the process ends.
const MIN_LISTED_TIME: Duration = Duration::from_mins(1);

/// State of the shutdown.
pub(super) struct Shutdown {
    parts: Rc<Parts>,
    drain_timeout: Duration,
    signalled_at: Option<Instant>,
    listed_at: Option<Instant>,
    /// Since when no request has been in flight, once new ones are refused.
    quiet_since: Option<Instant>,
}

impl Shutdown {
    pub(super) fn new(parts: &Rc<Parts>, settings: &Settings) -> Self {
        Self {
            parts: Rc::clone(parts),
            drain_timeout: settings.drain_timeout,
            signalled_at: None,
            listed_at: None,
            quiet_since: None,
        }
    }

    /// Resolves when the daemon may end.
    pub(super) async fn wait(mut self, failed: oneshot::Receiver<String>) -> Result<(), Failure> {
        let (Ok(mut terminate), Ok(mut interrupt)) = (
            signal(SignalKind::terminate()),
            signal(SignalKind::interrupt()),
        ) else {
            return Err(Failure::Stopped {
                reason: "no signal handler could be installed".to_owned(),
            });
        };
        let failed = replica_failure(failed);
        tokio::pin!(failed);
        loop {
            tokio::select! {
                reason = &mut failed => return Err(Failure::Stopped { reason }),
                () = recv_any(&mut terminate, &mut interrupt) => {
                    if self.signalled_at.is_some() {
                        return Err(Failure::CutShort);
                    }
                    log::info!("CP0102 leaving: received a signal");
                    self.signalled_at = Some(Instant::now());
                    self.parts.signalled.set(true);
                }
                () = actix_rt::time::sleep(UPDATE_INTERVAL) => {}
            }
            if self.update(Instant::now())? {
                return Ok(());
            }
        }
    }

    /// Reevaluates all conditions; true when the daemon may end.
    fn update(&mut self, now: Instant) -> Result<bool, Failure> {
        self.update_from_list(now);
        let since = self.signalled_at.or(self.listed_at);
        let leaving = since.is_some();
        if self
            .parts
            .draining
            .send_if_modified(|draining| std::mem::replace(draining, leaving) != leaving)
        {
            self.announce(leaving);
        }
        let end = since.and_then(|it| it.checked_add(self.drain_timeout));
        self.parts
            .end
            .send_if_modified(|it| std::mem::replace(it, end) != end);
        let Some(since) = since else { return Ok(false) };
        let waited = now.saturating_duration_since(since);
        let confirmed = self.signalled_at.is_some() || waited >= MIN_LISTED_TIME;
        if waited >= MIN_LEAVE_TIME && confirmed {
            // A request accepted later might not finish before the process must end.
            self.parts
                .closing
                .send_if_modified(|it| !std::mem::replace(it, true));
            if self.is_quiet(now) {
                return Ok(true);
            }
        }
        if waited >= self.drain_timeout {
            log::warn!(
                event = "CP0115", in_flight = self.parts.front.in_flight(),
                sending = self.parts.transit.answers(), unsent_bytes = self.parts.transit.bytes();
                "leaving before every request is finished"
            );
            Err(Failure::CutShort)
        } else {
            Ok(false)
        }
    }

    /// Whether every answer was sent and no request has been in flight for [`QUIET_TIME`],
    /// where one would be sent elsewhere.
    fn is_quiet(&mut self, now: Instant) -> bool {
        if self.parts.is_busy() {
            self.quiet_since = None;
            return false;
        }
        let since = *self.quiet_since.get_or_insert(now);
        !self.parts.front.names_others() || now.saturating_duration_since(since) >= QUIET_TIME
    }

    fn update_from_list(&mut self, now: Instant) {
        match (self.parts.core.gossip.leaving(), self.listed_at) {
            (true, None) if self.signalled_at.is_none() => {
                log::info!("CP0102 leaving: the platform's list marks this instance as leaving");
                self.listed_at = Some(now);
            }
            (false, Some(_)) => {
                log::info!(
                    "CP0105 staying: the platform's list no longer marks this instance as leaving"
                );
                self.listed_at = None;
            }
            _ => {}
        }
    }

    fn announce(&self, leaving: bool) {
        if leaving && self.signalled_at.is_some() {
            self.parts.core.gossip.leave();
        }
    }
}

async fn recv_any(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// The reason why the control replica stopped; never resolves on a daemon without one.
async fn replica_failure(failed: oneshot::Receiver<String>) -> String {
    match failed.await {
        Ok(reason) => reason,
        Err(_) => std::future::pending().await,
    }
}
