//! Forms the cluster and replaces lost replicas.

use std::{rc::Rc, time::Duration};

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use citron_policy::{
    id::{InstanceId, ReplicaId},
    member::State,
};
use citron_wire::admin::{Done, Init, Kind, Replace, parse_replica};

use super::{Ports, Problem, body, problem::json};
use crate::control;

/// Timeout for forming the cluster or replacing a replica. A new replica may
/// first have to receive all committed entries.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for the replicas to report whether they belong to a cluster.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which the voters' status is polled after forming.
const FORMED_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of polls of the voters' status.
const FORMED_MAX_POLLS: usize = 50;

/// Forms the cluster; refused if one exists or may exist.
pub(super) async fn init(
    ports: &Rc<Ports>,
    request: &mut Request,
    operator: &str,
) -> Result<Response<BoxBody>, Problem> {
    let init: Init = body::read(request).await?;
    let voters = voters(ports, &init.instances)?;
    check_unformed(ports).await?;
    let outcome = match ports.log.init(voters.clone(), REPLICA_TIMEOUT).await {
        Ok(()) => wait_formed(ports, &voters).await,
        Err(error) => Err(error),
    };
    let text = match &outcome {
        Ok(()) => format!("cluster formed by {operator}"),
        Err(error) => format!("cluster not known to be formed by {operator}: {error}"),
    };
    ports.ring.record("CP0804", None, &[], text);
    outcome.map_err(|error| Problem::control(&error))?;
    Ok(json(&Done {}))
}

/// The replicas on these instances. All must be known: a cluster formed from
/// only those known so far might not survive the loss of one replica.
fn voters(ports: &Ports, instances: &[InstanceId]) -> Result<Vec<ReplicaId>, Problem> {
    if instances.is_empty() {
        return Err(Problem::request(
            "name the instances whose data folders are to count".to_owned(),
        ));
    }
    let members = ports.members.borrow();
    let mut voters = Vec::new();
    for instance in instances {
        let replica = members.get(instance).and_then(|member| member.replica);
        let replica = replica.ok_or_else(|| {
            Problem::request(format!(
                "instance {instance} is not known as a control replica: start it with --data, and \
                 wait until `citronctl status` lists it"
            ))
        })?;
        voters.push(replica);
    }
    Ok(voters)
}

/// Waits until a majority of the voters have joined, so that the cluster
/// survives the loss of the replica that formed it.
async fn wait_formed(ports: &Ports, voters: &[ReplicaId]) -> Result<(), control::Error> {
    let majority = voters.len() / 2 + 1;
    for _ in 0..FORMED_MAX_POLLS {
        let statuses = ports.log.status(STATUS_TIMEOUT).await;
        let formed = statuses
            .iter()
            .filter(|(_, status)| status.formed && voters.contains(&status.replica));
        if formed.count() >= majority {
            return Ok(());
        }
        actix_rt::time::sleep(FORMED_POLL_INTERVAL).await;
    }
    Err(control::Error::Unsure)
}

/// Refuses if a cluster exists or may exist unseen. A replica that lost its
/// disk cannot be distinguished from one that was never used.
async fn check_unformed(ports: &Ports) -> Result<(), Problem> {
    let statuses = ports.log.status(STATUS_TIMEOUT).await;
    let formed = statuses.iter().find(|(_, status)| status.formed);
    if let Some((instance, _)) = formed {
        return Err(refused(format!(
            "the replica on {instance} belongs to a cluster already: to bring back a replica whose \
             disk is lost, use `citronctl replace-replica OLD NEW`"
        )));
    }
    check_list_joined(ports)?;
    let members = ports.members.borrow();
    let answered = |id: &InstanceId| statuses.iter().any(|(instance, _)| instance == id);
    for member in members.values() {
        if member.revision > 0 {
            return Err(refused(format!(
                "{} has revision {} in force, so a cluster exists: see `citronctl status`",
                member.id, member.revision
            )));
        }
        if member.replica.is_some() && member.state != State::Dead && !answered(&member.id) {
            return Err(refused(format!(
                "the replica on {} does not answer, so it is not known whether a cluster exists: \
                 wait until `citronctl status` shows it",
                member.id
            )));
        }
    }
    Ok(())
}

/// Refuses while an instance on the platform's list has not joined. Right after
/// its start, a daemon that lost its disk knows no other daemon that could report
/// an existing cluster to it.
fn check_list_joined(ports: &Ports) -> Result<(), Problem> {
    let list = ports.platform.borrow();
    let members = ports.members.borrow();
    if !list.entries.iter().any(|it| it.id == *ports.hub.me()) {
        return Err(refused(format!(
            "the platform's list does not name {}: wait until it does",
            ports.hub.me()
        )));
    }
    match list.entries.iter().find(|it| !members.contains_key(&it.id)) {
        None => Ok(()),
        Some(absent) => Err(refused(format!(
            "{} is on the platform's list and has not joined, so it is not known whether a cluster \
             exists: wait until `citronctl status` shows it, or until the list drops it",
            absent.id
        ))),
    }
}

fn refused(detail: String) -> Problem {
    Problem::new(StatusCode::CONFLICT, Kind::Refused, detail)
}

/// Makes a new replica a voter in place of a lost one.
pub(super) async fn replace(
    ports: &Rc<Ports>,
    request: &mut Request,
    operator: &str,
) -> Result<Response<BoxBody>, Problem> {
    let replace: Replace = body::read(request).await?;
    let (old, new) = (parse(&replace.old)?, parse(&replace.new)?);
    let outcome = ports.log.replace_replica(old, new, REPLICA_TIMEOUT).await;
    let names = format!("replica {} by {}", replace.old, replace.new);
    let text = match &outcome {
        Ok(()) => format!("{names}: replaced by {operator}"),
        Err(error) => format!("{names}: not known to be replaced by {operator}: {error}"),
    };
    ports.ring.record("CP0805", None, &[], text);
    outcome.map_err(|error| Problem::control(&error))?;
    Ok(json(&Done {}))
}

fn parse(text: &str) -> Result<ReplicaId, Problem> {
    parse_replica(text).map_err(|error| Problem::request(error.to_string()))
}
