//! Forming the cluster and replacing a lost replica.

use std::{rc::Rc, time::Duration};

use actix_http::{Request, Response, body::BoxBody};
use citron_policy::id::{InstanceId, ReplicaId};
use citron_wire::admin::{Done, Init, Replace, replica_of};

use super::{Ports, Problem, body, problem::json};

/// Longest time to form the cluster or to replace a replica, which may first
/// have to take in everything committed.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(30);

/// Forms the cluster, once.
pub(super) async fn init(
    ports: &Rc<Ports>,
    request: &mut Request,
    operator: &str,
) -> Result<Response<BoxBody>, Problem> {
    let init: Init = body::read(request).await?;
    let voters = voters(ports, &init.instances)?;
    let outcome = ports.log.init(voters, REPLICA_TIMEOUT).await;
    let text = match &outcome {
        Ok(()) => format!("cluster formed by {operator}"),
        Err(error) => format!("cluster not known to be formed by {operator}: {error}"),
    };
    ports.ring.record("CP0804", None, &[], text);
    outcome.map_err(|error| Problem::control(&error))?;
    Ok(json(&Done {}))
}

/// The replicas on these instances. Every one must be known: forming with those
/// that happen to be known would make a cluster that one loss can end.
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

/// Lets a new replica count in place of a lost one.
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
    replica_of(text).map_err(|error| Problem::request(error.to_string()))
}
