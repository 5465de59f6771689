//! Sends one query to every live daemon.

use std::time::Duration;

use citron_policy::{
    id::InstanceId,
    member::{Member, State},
};
use citron_wire::{
    Body,
    status::{Ask, Report},
};
use futures_util::{StreamExt, stream};

use super::{Ports, report};

/// Timeout for the answer of one daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of daemons queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// Report of one daemon, or the reason why there is none.
pub(super) type Outcome = (InstanceId, Result<Report, String>);

/// Queries every daemon that is not dead, including this one; sorted by instance.
pub(super) async fn query_all(ports: &Ports, ask: &Ask) -> Vec<Outcome> {
    let members = ports.members.borrow().clone();
    let me = ports.hub.me();
    let live = |member: &&Member| member.state != State::Dead && member.id != *me;
    let others: Vec<InstanceId> = members
        .values()
        .filter(live)
        .map(|member| member.id.clone())
        .collect();
    let own = (me.clone(), Ok(report::of(ports, ask)));
    let answers = stream::iter(others)
        .map(|instance| query_one(ports, instance, ask))
        .buffer_unordered(MAX_CONCURRENT_QUERIES);
    let mut outcomes: Vec<Outcome> = answers.collect().await;
    outcomes.push(own);
    outcomes.sort_by(|(left, _), (right, _)| left.cmp(right));
    outcomes
}

async fn query_one(ports: &Ports, instance: InstanceId, ask: &Ask) -> Outcome {
    let body = Body::Status(ask.clone().into());
    let answer = ports.hub.call(&instance, body, ANSWER_TIMEOUT).await;
    let outcome = match answer {
        Ok(Body::Status(message)) => Report::try_from(message).map_err(|error| error.to_string()),
        Ok(_) => Err("answered with another kind of message: upgrade the older daemon".to_owned()),
        Err(error) => Err(error.to_string()),
    };
    (instance, outcome)
}
