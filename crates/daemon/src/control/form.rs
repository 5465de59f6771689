//! Automatic formation of a new cluster on empty disks.
//!
//! On the first start every daemon is configured to form the cluster. Once no
//! new replica has appeared for a short time, the chosen voter with the lowest
//! instance name asks the others for their promises. The promises keep two
//! formations from both starting ([`citron_policy::raft::formation`]).

use std::time::{Duration, Instant};

use citron_policy::{id::ReplicaId, member::Members, raft::membership};
use tokio::sync::watch;

use super::Control;

/// Time without a new replica after which the known ones are assumed to be all.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// Time after which the cluster forms with fewer replicas than wanted.
const FULL_SIZE_TIMEOUT: Duration = Duration::from_secs(6);

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for the promises, and for the status of the replicas.
const INIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Forms a cluster of `wanted` replicas, unless it is already formed.
pub async fn form(
    control: Control,
    members: watch::Receiver<std::sync::Arc<Members>>,
    own: ReplicaId,
    wanted: usize,
) {
    let started = Instant::now();
    let (mut known, mut last_change) = (0, started);
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        if is_formed(&control, own).await {
            return;
        }
        let members = std::sync::Arc::clone(&members.borrow());
        let now = Instant::now();
        let count = members.values().filter(|it| it.replica.is_some()).count();
        if count != known {
            (known, last_change) = (count, now);
        }
        let settled = now.saturating_duration_since(last_change) >= SETTLE_TIME;
        let timed_out = now.saturating_duration_since(started) >= FULL_SIZE_TIMEOUT;
        let voters = membership::initial_voters(&members, wanted);
        let enough = voters.len() == wanted || timed_out;
        if !settled || !enough || voters.first() != Some(&own) {
            continue;
        }
        match control.init(voters.clone(), INIT_TIMEOUT).await {
            Ok(()) => {
                log::info!(event = "CP0411"; "cluster formed with voters {voters:016x?}");
                return;
            }
            Err(error) => log::warn!(event = "CP0412"; "cluster not formed yet: {error}"),
        }
    }
}

async fn is_formed(control: &Control, own: ReplicaId) -> bool {
    let known = control.status(INIT_TIMEOUT).await;
    known.iter().any(|(_, it)| it.replica == own && it.formed)
}
