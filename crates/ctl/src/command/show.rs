//! Commands that show the cluster, and those that form and repair it.

use std::path::PathBuf;

use citron_policy::catalogue::Entry;
use citron_wire::admin::{self, Done, Explanation, Init, Marks, Release, Replace, Status};
use serde_json::{Value, json};

use super::{
    Outcome,
    arguments::{self, Explain, Get, ReplaceReplica},
    render,
};
use crate::{
    client::Client,
    trail::{self, Line, Trail},
};

/// Prints the catalogue or one entry as declarations.
pub(super) async fn get(client: &Client, arguments: Get) -> Result<Outcome, Outcome> {
    let mut catalogue: admin::Catalogue = client.get("/v1/catalogue").await?;
    if let Some(wanted) = arguments.entry {
        catalogue
            .entries
            .retain(|it| it.key().to_string() == wanted);
        if catalogue.entries.is_empty() {
            return Err(Outcome::failed(format!(
                "{wanted:?} does not exist: write account/NAME, class/NAME or service/NAME, see \
                 `citronctl get`"
            )));
        }
    }
    let text = declarations(&catalogue).map_err(|error| Outcome::failed(error.to_string()))?;
    Ok(Outcome::done(text, json!(catalogue)))
}

fn declarations(catalogue: &admin::Catalogue) -> Result<String, toml::ser::Error> {
    let mut text = format!("# revision {}\n", catalogue.revision);
    for entry in &catalogue.entries {
        let (kind, fields) = match entry {
            Entry::Account(account) => ("account", toml::to_string(account)?),
            Entry::Class(class) => ("class", toml::to_string(class)?),
            Entry::Service(service) => ("service", toml::to_string(service)?),
            Entry::Route(route) => ("route", toml::to_string(route)?),
        };
        let entry = format!("\n[[{kind}]]\n{}", nested(kind, &fields));
        text.push_str(&entry);
    }
    Ok(text.trim_end().to_owned())
}

/// Qualifies the subtables of an entry with its kind, so that they belong to it.
fn nested(kind: &str, fields: &str) -> String {
    fields.replace("[[once]]", &format!("[[{kind}.once]]"))
}

/// Shows daemons, replicas and leader.
pub(super) async fn status(client: &Client) -> Result<Outcome, Outcome> {
    let status: Status = client.get("/v1/status").await?;
    Ok(Outcome::done(render::status(&status), json!(status)))
}

/// Shows what happened to a request or around an entry.
pub(super) async fn explain(client: &Client, arguments: Explain) -> Result<Outcome, Outcome> {
    let subject = &arguments.subject;
    let plain = subject
        .chars()
        .all(|it| it.is_ascii_alphanumeric() || "-_./".contains(it));
    if !plain {
        return Err(Outcome::failed(format!(
            "{subject:?} is no request and no entry: give the value of a Citron-Request header, \
             or KIND/NAME"
        )));
    }
    if !arguments.log.is_empty() {
        return from_logs(&arguments.log, subject);
    }
    let kind = if subject.contains('/') {
        "entry"
    } else {
        "request"
    };
    let answer: Explanation = client.get(&format!("/v1/explain?{kind}={subject}")).await?;
    Ok(Outcome::done(render::explanation(&answer), json!(answer)))
}

/// Shows a request from log files.
fn from_logs(files: &[PathBuf], request: &str) -> Result<Outcome, Outcome> {
    let trail = Trail::read(files, request).map_err(|it| Outcome::failed(it.to_string()))?;
    let cause = trail::cause(&trail);
    if trail.lines.is_empty() {
        return Err(Outcome::failed(cause));
    }
    let fields = |lines: &[Line]| -> Vec<Value> {
        let objects = lines
            .iter()
            .map(|it| json!({"origin": it.origin, "fields": it.fields}));
        objects.collect()
    };
    let body = json!({
        "cause": cause, "lines": fields(&trail.lines), "around": fields(&trail.context),
    });
    Ok(Outcome::done(render::trail(&trail, &cause), body))
}

/// Forms the cluster.
pub(super) async fn init(client: &Client, arguments: arguments::Init) -> Result<Outcome, Outcome> {
    let init = Init {
        instances: arguments.instances,
    };
    let Done {} = client.post_once("/v1/init", &init).await?;
    let text = "the cluster is formed: see `citronctl status`".to_owned();
    let body = json!({"outcome": "done"});
    Ok(Outcome::done(text, body))
}

/// Lists the marks for crashing runners.
pub(super) async fn marks(client: &Client) -> Result<Outcome, Outcome> {
    let marks: Marks = client.get("/v1/marks").await?;
    Ok(Outcome::done(render::marks(&marks), json!(marks)))
}

/// Lifts a mark.
pub(super) async fn release(
    client: &Client,
    arguments: arguments::Release,
) -> Result<Outcome, Outcome> {
    let release = Release {
        mark: arguments.mark,
    };
    let Done {} = client.post_once("/v1/marks/release", &release).await?;
    let text = format!("mark {} is lifted: what it names runs again", release.mark);
    Ok(Outcome::done(text, json!({"outcome": "done"})))
}

/// Replaces a voting replica by another.
pub(super) async fn replace(
    client: &Client,
    arguments: ReplaceReplica,
) -> Result<Outcome, Outcome> {
    let replace = Replace {
        old: arguments.old,
        new: arguments.new,
    };
    let Done {} = client.post_once("/v1/replicas/replace", &replace).await?;
    let text = format!(
        "replica {} counts in place of {}: repaired",
        replace.new, replace.old
    );
    Ok(Outcome::done(text, json!({"outcome": "done"})))
}
