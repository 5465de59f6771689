//! Catalogue and cluster status, as seen by this daemon.

use std::{rc::Rc, time::Duration};

use actix_http::{Response, body::BoxBody};
use citron_policy::{id::InstanceId, member};
use citron_wire::admin::{Catalogue, Duties, Member, Replica, Status, format_replica};

use super::{Ports, problem::json};
use crate::control::{self, Role};

/// Timeout for replicas that do not answer.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(2);

/// The catalogue in force on this daemon.
pub(super) fn catalogue(ports: &Rc<Ports>) -> Response<BoxBody> {
    let catalogue = std::sync::Arc::clone(&ports.view.borrow().catalogue);
    json(&Catalogue {
        revision: catalogue.revision,
        entries: catalogue.entries().collect(),
    })
}

/// Members, replicas and the leader.
pub(super) async fn status(ports: &Rc<Ports>) -> Response<BoxBody> {
    let replicas = ports.log.status(REPLICA_TIMEOUT).await;
    let newest = replicas.iter().max_by_key(|(_, status)| status.term);
    let voters = newest.map_or(&[][..], |(_, status)| &status.voters);
    let members = ports.members.borrow();
    json(&Status {
        instance: ports.hub.me().clone(),
        revision: ports.view.borrow().catalogue.revision,
        leader: leader(&replicas),
        members: members.values().map(describe).collect(),
        replicas: replicas.iter().map(replica).collect(),
        voters: voters.iter().map(|id| format_replica(*id)).collect(),
        duties: duties(&replicas),
    })
}

/// The lease that was renewed last, as far as any replica knows.
fn duties(replicas: &[(InstanceId, control::Status)]) -> Option<Duties> {
    let leases = replicas.iter().filter_map(|(_, it)| it.lease.as_ref());
    let lease = leases.max_by_key(|it| (it.token, it.renewed))?;
    Some(Duties {
        holder: lease.instance.clone(),
        token: lease.token,
        renewed: lease.renewed,
        fixed: replicas.iter().filter_map(|(_, it)| it.fixed).max(),
    })
}

/// The instance whose replica claims leadership in the highest term.
fn leader(replicas: &[(InstanceId, control::Status)]) -> Option<InstanceId> {
    let leaders = replicas
        .iter()
        .filter(|(_, status)| status.role == Role::Leader);
    let newest = leaders.max_by_key(|(_, status)| status.term)?;
    Some(newest.0.clone())
}

fn describe(member: &member::Member) -> Member {
    Member {
        instance: member.id.clone(),
        domain: member.domain.clone(),
        callers: member.callers,
        state: member.state,
        revision: member.revision,
        load: member.load,
        current: member.current,
        replica: member.replica.map(format_replica),
    }
}

fn replica((instance, status): &(InstanceId, control::Status)) -> Replica {
    let role = match status.role {
        Role::Leader => "leader",
        Role::Follower => "follower",
        Role::Learner => "learner",
    };
    Replica {
        instance: instance.clone(),
        replica: format_replica(status.replica),
        formed: status.formed,
        role: role.to_owned(),
        voter: status.voters.contains(&status.replica),
        term: status.term,
        last: status.last,
        commit: status.commit,
    }
}
