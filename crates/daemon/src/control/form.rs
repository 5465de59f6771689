//! Formation by setting: the cluster forms itself once, on empty disks.
//!
//! Every daemon of a first start is told to form. The replica with the lowest
//! name among the chosen ones asks the others for their promises, after nobody
//! new was heard of for a moment; the promise itself keeps two formations from
//! both beginning ([`citron_policy::raft::formation`]).

use std::time::{Duration, Instant};

use citron_policy::{id::ReplicaId, member::Members, raft::membership};
use tokio::sync::watch;

use super::Control;

/// Time without a new replica after which the known ones are taken for all.
const SETTLE: Duration = Duration::from_millis(1_200);

/// Time after which fewer replicas than wanted form the cluster.
const PATIENCE: Duration = Duration::from_secs(6);

/// Time between two looks.
const PAUSE: Duration = Duration::from_millis(200);

/// Longest wait for the promises.
const INIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Forms the cluster of `wanted` replicas, unless it is formed already.
pub async fn form(
    control: Control,
    members: watch::Receiver<std::sync::Arc<Members>>,
    own: ReplicaId,
    wanted: usize,
) {
    let started = Instant::now();
    let (mut known, mut since) = (0, started);
    loop {
        actix_rt::time::sleep(PAUSE).await;
        if is_formed(&control, own).await {
            return;
        }
        let members = std::sync::Arc::clone(&members.borrow());
        let now = Instant::now();
        let count = members.values().filter(|it| it.replica.is_some()).count();
        if count != known {
            (known, since) = (count, now);
        }
        let settled = now.saturating_duration_since(since) >= SETTLE;
        let late = now.saturating_duration_since(started) >= PATIENCE;
        let founders = membership::initial_voters(&members, wanted);
        let enough = founders.len() == wanted || late;
        if !settled || !enough || founders.first() != Some(&own) {
            continue;
        }
        match control.init(founders.clone(), INIT_TIMEOUT).await {
            Ok(()) => {
                log::info!(event = "CP0411"; "cluster formed of {founders:016x?}");
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
