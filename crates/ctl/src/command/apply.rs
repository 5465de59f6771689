//! `apply`, `diff` and `wait`.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use citron_policy::{
    catalogue::Catalogue,
    id::{ChangeId, Revision},
};
use citron_wire::admin::{self, Propagation};
use serde_json::json;

use super::{
    Outcome,
    arguments::{Apply, Diff},
    render,
};
use crate::{
    client::{Client, Error},
    declaration::Declaration,
    exit::Exit,
    plan::Plan,
};

/// Pause between two polls for where a revision is in force.
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// Compares declarations with the catalogue and sends the difference.
pub(super) async fn run(
    client: &Client,
    arguments: Apply,
    timeout: Duration,
    now: Instant,
) -> Result<Outcome, Outcome> {
    let plan = plan(client, &arguments.file, arguments.prune).await?;
    if plan.steps.is_empty() {
        return nothing_to_do(client, &arguments, plan.base, timeout, now).await;
    }
    let id = arguments.change_id.unwrap_or_else(new_id);
    let base = arguments.base.unwrap_or(plan.base);
    let revision = send(client, &plan, &id, base, now).await?;
    let text = format!("{plan}accepted as revision {revision} (change {id})");
    let body = json!({
        "outcome": "done",
        "revision": revision,
        "change": id,
        "steps": plan.to_json(),
    });
    if arguments.wait {
        let waited = wait(client, revision, timeout, now).await;
        let waited = waited.unwrap_or_else(|outcome| outcome);
        return Ok(with_wait_outcome(&text, body, &waited));
    }
    Ok(Outcome::done(text, body))
}

/// Sends a plan, in parts if it is too large for one change, and returns the
/// last revision.
async fn send(
    client: &Client,
    plan: &Plan,
    id: &str,
    base: Revision,
    now: Instant,
) -> Result<Revision, Outcome> {
    let parts = plan.parts();
    let mut revision = base;
    for (number, part) in parts.iter().enumerate() {
        let id = match parts.len() {
            1 => id.to_owned(),
            _ => format!("{id}.{}", number + 1),
        };
        let accepted = client.change(&part.change(id.clone(), revision), now).await;
        match accepted {
            Ok(accepted) => revision = accepted.revision,
            Err(error) if number == 0 && parts.len() == 1 => {
                return Err(not_accepted(error, &id, revision));
            }
            Err(error) => return Err(partly_accepted(error, number, parts.len())),
        }
    }
    Ok(revision)
}

/// Shows what `apply` would send.
pub(super) async fn diff(client: &Client, arguments: Diff) -> Result<Outcome, Outcome> {
    let plan = plan(client, &arguments.file, arguments.prune).await?;
    let count = plan.steps.len();
    let text = format!("{plan}{count} changes against revision {}", plan.base);
    let body = json!({"outcome": "done", "base": plan.base, "steps": plan.to_json()});
    Ok(Outcome::done(text, body))
}

/// Waits until a revision is in force on every live daemon.
pub(super) async fn wait(
    client: &Client,
    revision: Revision,
    timeout: Duration,
    now: Instant,
) -> Result<Outcome, Outcome> {
    let path = format!("/v1/force?revision={revision}");
    loop {
        let answer = client.get::<Propagation>(&path).await;
        let over = now.elapsed() + POLL_PAUSE >= timeout;
        match answer {
            Ok(force) if force.lagging.is_empty() => return Ok(in_force(&force)),
            Ok(force) if over => return Ok(not_in_force(&force)),
            Err(error) if over || matches!(error, Error::Refused(_)) => return Err(error.into()),
            Ok(_) | Err(_) => actix_rt::time::sleep(POLL_PAUSE).await,
        }
    }
}

fn in_force(force: &Propagation) -> Outcome {
    let (revision, count) = (force.revision, force.in_force.len());
    let text = format!("revision {revision} is in force on all {count} live daemons");
    let body = json!({"outcome": "done", "revision": revision, "in_force": force.in_force});
    Outcome::done(text, body)
}

fn not_in_force(force: &Propagation) -> Outcome {
    Outcome {
        exit: Exit::NotInForce,
        text: render::lagging(force),
        body: json!({
            "outcome": "not-in-force",
            "revision": force.revision,
            "in_force": force.in_force,
            "lagging": force.lagging,
        }),
    }
}

async fn plan(client: &Client, file: &Path, prune: bool) -> Result<Plan, Outcome> {
    let declaration = Declaration::read(file)?;
    let answer: admin::Catalogue = client.get("/v1/catalogue").await?;
    let catalogue = Catalogue::from_entries(answer.revision, answer.entries);
    let plan = Plan::new(&declaration, &catalogue, prune);
    plan.check(&declaration, &catalogue)?;
    Ok(plan)
}

async fn nothing_to_do(
    client: &Client,
    arguments: &Apply,
    base: Revision,
    timeout: Duration,
    now: Instant,
) -> Result<Outcome, Outcome> {
    let text = format!("nothing to change: revision {base} has all of it");
    let body = json!({"outcome": "done", "revision": base, "steps": []});
    if arguments.wait {
        let waited = wait(client, base, timeout, now).await?;
        return Ok(with_wait_outcome(&text, body, &waited));
    }
    Ok(Outcome::done(text, body))
}

/// An error with the next step; if the outcome is unknown, the change to resend.
fn not_accepted(error: Error, id: &str, base: Revision) -> Outcome {
    let unknown = matches!(error, Error::Unknown { .. });
    let mut outcome = Outcome::from(error);
    outcome.body["change"] = json!(id);
    outcome.body["base"] = json!(base);
    if unknown {
        let hint = format!(
            "\nresend it with `citronctl apply --change-id {id} --base {base}` and the same \
             declarations: it is applied once"
        );
        outcome.text.push_str(&hint);
    }
    outcome
}

/// An error after some parts of a plan were accepted.
fn partly_accepted(error: Error, accepted: usize, parts: usize) -> Outcome {
    let mut outcome = Outcome::from(error);
    outcome.body["accepted_parts"] = json!(accepted);
    outcome.body["parts"] = json!(parts);
    let hint = format!(
        "\n{accepted} of {parts} parts were accepted before: run the same command again, without \
         --change-id and --base, to send what is left"
    );
    outcome.text.push_str(&hint);
    outcome
}

fn with_wait_outcome(text: &str, mut body: serde_json::Value, waited: &Outcome) -> Outcome {
    body["outcome"] = waited.body["outcome"].clone();
    for part in ["in_force", "lagging", "detail"] {
        if let Some(value) = waited.body.get(part) {
            body[part] = value.clone();
        }
    }
    Outcome {
        exit: waited.exit,
        text: format!("{text}\n{}", waited.text),
        body,
    }
}

fn new_id() -> ChangeId {
    format!("{:016x}", rand::random::<u64>())
}
