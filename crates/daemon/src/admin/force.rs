//! Lists the instances on which a revision is in force.

use std::rc::Rc;

use actix_http::{Request, Response, body::BoxBody};
use citron_policy::id::Revision;
use citron_wire::{
    admin::{Lagging, Propagation},
    status::Ask,
};

use super::{Ports, Problem, body::parameter, fanout, problem::json};

/// Queries every live daemon for its revision.
pub(super) async fn answer(
    ports: &Rc<Ports>,
    request: &Request,
) -> Result<Response<BoxBody>, Problem> {
    let text = parameter(request, "revision").unwrap_or_default();
    let revision: Revision = text.parse().map_err(|error| {
        Problem::request(format!(
            "revision={text:?}: {error}: give a number of a revision"
        ))
    })?;
    let mut force = Propagation {
        revision,
        in_force: Vec::new(),
        lagging: Vec::new(),
    };
    for (instance, outcome) in fanout::query_all(ports, &Ask::Nothing).await {
        match outcome {
            Ok(report) if report.revision >= revision => force.in_force.push(instance),
            Ok(report) => force.lagging.push(Lagging {
                instance,
                revision: Some(report.revision),
                reason: format!("has revision {} in force: wait", report.revision),
            }),
            Err(reason) => force.lagging.push(Lagging {
                instance,
                revision: None,
                reason,
            }),
        }
    }
    Ok(json(&force))
}
