//! Catalogue changes.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime},
};

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use citron_policy::{
    catalogue::{Change, Entry, Key},
    id::Revision,
    state::{self, Answer, Command, Refusal},
};
use citron_wire::admin::{Accepted, Author, Kind};

use super::{Ports, Problem, body, problem::json};

/// Timeout of the control log for one change.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum wait for an accepted change to be in force on this daemon.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum length of a change id, in bytes.
const MAX_CHANGE_ID_BYTES: usize = 64;

/// Maximum number of entries that one event names.
const MAX_EVENT_ENTRIES: usize = 64;

/// Submits the change in the body under the name of the authenticated operator.
pub(super) async fn answer(
    ports: &Rc<Ports>,
    request: &mut Request,
    operator: String,
) -> Result<Response<BoxBody>, Problem> {
    let change: Change = body::read(request).await?;
    let change = Arc::new(Change { operator, ..change });
    check(&change)?;
    let command = Command::Change {
        change: Arc::clone(&change),
        at: SystemTime::now(),
    };
    match ports.log.submit(command, SUBMIT_TIMEOUT).await {
        Ok(Answer::Change(Ok(revision))) => {
            wait_in_force(ports, revision).await;
            record(
                ports,
                "CP0801",
                &change,
                &format!("accepted as revision {revision}"),
            );
            Ok(json(&Accepted { revision }))
        }
        Ok(Answer::Change(Err(refusal))) => Err(refused(ports, &change, refusal)),
        Ok(_) => Err(unknown(ports, &change)),
        Err(error) => {
            let problem = Problem::control(&error);
            record(ports, "CP0803", &change, &error.to_string());
            Err(problem)
        }
    }
}

/// Waits until the change is in force on this daemon, so that the operator's
/// next query here shows it. The change stays accepted if the wait times out.
async fn wait_in_force(ports: &Ports, revision: Revision) {
    let mut view = ports.view.clone();
    let in_force = view.wait_for(|view| view.catalogue.revision >= revision);
    drop(actix_rt::time::timeout(IN_FORCE_TIMEOUT, in_force).await);
}

/// Checks what the control log does not check itself.
fn check(change: &Change) -> Result<(), Problem> {
    let fits = (1..=MAX_CHANGE_ID_BYTES).contains(&change.id.len());
    if !fits || !change.id.chars().all(|it| it.is_ascii_graphic()) {
        return Err(Problem::request(format!(
            "the change id must be 1 to {MAX_CHANGE_ID_BYTES} printable characters without spaces"
        )));
    }
    if change.puts.is_empty() && change.removes.is_empty() {
        return Err(Problem::request(
            "the change names no entries: put or remove at least one",
        ));
    }
    Ok(())
}

fn refused(ports: &Ports, change: &Change, refusal: Refusal) -> Problem {
    let problem = match refusal {
        Refusal::Stale { current, authors } => stale(change, current, authors),
        Refusal::Reused { first } => {
            Problem::new(StatusCode::CONFLICT, Kind::ChangeId, reused(change, first))
        }
        Refusal::Invalid(fault) => Problem::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            Kind::Invalid,
            fault.to_string(),
        ),
    };
    record(
        ports,
        "CP0802",
        change,
        &format!("refused: {}", problem.detail()),
    );
    problem
}

fn stale(change: &Change, current: Revision, authors: Vec<state::Author>) -> Problem {
    let authors: Vec<Author> = authors.into_iter().map(author).collect();
    let newest = authors.first().map_or(String::new(), |it| {
        format!(
            " ({} changed {} in change {:?}, revision {})",
            it.operator, it.key, it.change, it.revision
        )
    });
    let detail = format!(
        "the change was made against revision {}, the current one is {current}{newest}: read the \
         catalogue, look at the difference and send the change anew under another change id",
        change.base
    );
    Problem::conflict(current, authors, detail)
}

fn reused(change: &Change, first: Option<Revision>) -> String {
    let id = &change.id;
    let before = match first {
        Some(revision) => format!("was accepted as revision {revision}"),
        None => "was refused".to_owned(),
    };
    format!(
        "change id {id:?} was used with another body, which {before}: send this change under an id \
         of its own"
    )
}

fn unknown(ports: &Ports, change: &Change) -> Problem {
    record(
        ports,
        "CP0803",
        change,
        "the control log gave no fitting answer",
    );
    Problem::control(&crate::control::Error::Unsure)
}

fn author(author: state::Author) -> Author {
    Author {
        key: author.key,
        operator: author.operator,
        change: author.change,
        revision: author.revision,
    }
}

fn record(ports: &Ports, code: &str, change: &Change, outcome: &str) {
    let put_keys = change.puts.iter().map(Entry::key);
    let entries: Vec<Key> = put_keys
        .chain(change.removes.iter().cloned())
        .take(MAX_EVENT_ENTRIES)
        .collect();
    let text = format!("change {:?} of {}: {outcome}", change.id, change.operator);
    ports.ring.record(code, None, &entries, text);
}
