//! Lists the crash marks, and lifts one.

use std::{rc::Rc, time::Duration};

use actix_http::{Request, Response, body::BoxBody};
use citron_policy::{
    crash::{Mark, Step},
    id::Fingerprint,
    state::Command,
};
use citron_wire::admin::{Done, Marks, Release};

use super::{Ports, Problem, body, problem::json};
use crate::fingerprint;

/// Timeout for recording the step in the control log.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// The marks in force on this daemon.
pub(super) fn list(ports: &Ports) -> Response<BoxBody> {
    let view = ports.view.borrow();
    let of = |wanted: Mark| {
        let marks = view.marks.marks.iter();
        let found = marks.filter(move |(_, mark)| **mark == wanted);
        found.map(|(it, _)| fingerprint::format(*it)).collect()
    };
    json(&Marks {
        suspected: of(Mark::Suspected),
        quarantined: of(Mark::Quarantined),
    })
}

/// Lifts a mark, so that what it names runs again.
pub(super) async fn release(
    ports: &Rc<Ports>,
    request: &mut Request,
    operator: &str,
) -> Result<Response<BoxBody>, Problem> {
    let release: Release = body::read(request).await?;
    let mark = parse(&release.mark)?;
    if ports.view.borrow().marks.get(mark).is_none() {
        return Err(Problem::request(format!(
            "{} is not marked: see `citronctl marks`",
            release.mark
        )));
    }
    let step = Command::Crash(Step::Cleared(mark));
    let outcome = ports.log.submit(step, RELEASE_TIMEOUT).await;
    let text = match &outcome {
        Ok(_) => format!("mark {} lifted by {operator}", release.mark),
        Err(error) => format!(
            "mark {} not known to be lifted by {operator}: {error}",
            release.mark
        ),
    };
    ports.ring.record("CP0808", None, &[], text);
    outcome.map_err(|error| Problem::control(&error))?;
    Ok(json(&Done {}))
}

fn parse(text: &str) -> Result<Fingerprint, Problem> {
    Fingerprint::from_str_radix(text, 16).map_err(|error| {
        Problem::request(format!("{text:?}: {error}: give the hex digits of a mark"))
    })
}
