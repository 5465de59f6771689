//! Output for humans.

use std::time::{Duration, UNIX_EPOCH};

use citron_policy::member::State;
use citron_wire::admin::{Explanation, Kind, Marks, OwnedEntry, Propagation, Status};

use crate::{
    client::Error,
    trail::{Line, Trail},
};

/// An error, with the conflicting changes if it has any.
pub(super) fn refusal(error: &Error) -> String {
    let mut text = error.to_string();
    let Error::Refused(problem) = error else {
        return text;
    };
    if problem.kind == Kind::Conflict {
        for it in &problem.authors {
            let line = format!(
                "\n  revision {}: {} changed {} (change {})",
                it.revision, it.operator, it.key, it.change
            );
            text.push_str(&line);
        }
    }
    text
}

/// The daemons where a revision is not in force.
pub(super) fn lagging(force: &Propagation) -> String {
    let mut text = format!(
        "revision {} is in force on {} live daemons, and not known to be on {}:",
        force.revision,
        force.in_force.len(),
        force.lagging.len()
    );
    for it in &force.lagging {
        let line = format!("\n  {}: {}", it.instance, it.reason);
        text.push_str(&line);
    }
    text
}

/// The marks as a table, quarantined ones first.
pub(super) fn marks(marks: &Marks) -> String {
    let mut rows = vec![row(&["MARK", "STATE"])];
    rows.extend(marks.quarantined.iter().map(|it| row(&[it, "quarantined"])));
    rows.extend(marks.suspected.iter().map(|it| row(&[it, "suspected"])));
    table(&rows)
}

/// Tables of daemons and replicas.
pub(super) fn status(status: &Status) -> String {
    let leader = status.leader.as_deref().unwrap_or("none known");
    let mut rows = vec![row(&[
        "INSTANCE", "DOMAIN", "STATE", "REVISION", "CURRENT", "IN HAND", "CALLERS",
    ])];
    for it in &status.members {
        rows.push(vec![
            it.instance.clone(),
            it.domain.clone(),
            state(it.state).to_owned(),
            it.revision.to_string(),
            if it.current { "yes" } else { "no" }.to_owned(),
            it.load.to_string(),
            it.callers.to_string(),
        ]);
    }
    let mut replicas = vec![row(&[
        "REPLICA", "INSTANCE", "ROLE", "COUNTS", "TERM", "COMMIT", "LAST",
    ])];
    for it in &status.replicas {
        replicas.push(vec![
            it.replica.clone(),
            it.instance.clone(),
            it.role.clone(),
            if it.voter { "yes" } else { "no" }.to_owned(),
            it.term.to_string(),
            it.commit.to_string(),
            it.last.to_string(),
        ]);
    }
    let mut text = format!(
        "revision {} on {}, leader {leader}\n\n{}\n{}",
        status.revision,
        status.instance,
        table(&rows),
        table(&replicas)
    );
    for voter in &status.voters {
        if !status.replicas.iter().any(|it| it.replica == *voter) {
            let line = format!("replica {voter} counts and does not answer\n");
            text.push_str(&line);
        }
    }
    if let Some(it) = &status.duties {
        let usage = |fixed| format!(", usage fixed up to window {fixed}");
        let line = format!(
            "duties held by {} under token {}, renewed at {}{}",
            it.holder,
            it.token,
            it.renewed,
            it.fixed.map(usage).unwrap_or_default()
        );
        text.push_str(&line);
    }
    text.trim_end().to_owned()
}

/// Entries, owners and events.
pub(super) fn explanation(explanation: &Explanation) -> String {
    let mut text = String::new();
    section(&mut text, "Entries:", &explanation.involved);
    section(&mut text, "Affected:", &explanation.affected);
    text.push_str("Events:\n");
    if explanation.events.is_empty() {
        text.push_str("  none is kept: daemons keep the latest ones only\n");
    }
    for seen in &explanation.events {
        let at = UNIX_EPOCH + Duration::from_millis(seen.event.at_ms);
        let at = humantime::format_rfc3339_millis(at);
        let (code, what) = (&seen.event.code, &seen.event.text);
        line(&mut text, &format!("{at} {} {code} {what}", seen.instance));
    }
    if explanation.omitted > 0 {
        line(
            &mut text,
            &format!("{} older ones are left out", explanation.omitted),
        );
    }
    for it in &explanation.silent {
        line(
            &mut text,
            &format!("{} did not answer: {}", it.instance, it.reason),
        );
    }
    text.trim_end().to_owned()
}

/// The cause of a failed request, its lines, and cluster events around it.
pub(super) fn trail(trail: &Trail, cause: &str) -> String {
    let mut text = format!("Cause: {cause}\n\nRequest:\n");
    for it in &trail.lines {
        line(&mut text, &logged(it));
    }
    if !trail.context.is_empty() {
        text.push_str("\nAround it:\n");
        for it in &trail.context {
            line(&mut text, &logged(it));
        }
    }
    text.trim_end().to_owned()
}

fn logged(line: &Line) -> String {
    let at = humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(line.at_ms));
    let omitted = ["at_ms", "event", "level", "message", "request"];
    let rest = line
        .fields
        .iter()
        .filter(|(name, _)| !omitted.contains(&name.as_str()));
    let rest: Vec<String> = rest
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let (origin, event, message) = (&line.origin, &line.event, line.text("message"));
    format!("{at} {origin} {event} {message} {}", rest.join(" "))
        .trim_end()
        .to_owned()
}

fn section(text: &mut String, title: &str, entries: &[OwnedEntry]) {
    if entries.is_empty() {
        return;
    }
    text.push_str(title);
    text.push('\n');
    for it in entries {
        match &it.owner {
            Some(owner) => line(text, &format!("{}, owner {owner}", it.key)),
            None => line(text, &format!("{}, not in the catalogue now", it.key)),
        }
    }
}

fn line(text: &mut String, content: &str) {
    let line = format!("  {content}\n");
    text.push_str(&line);
}

fn state(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Leaving => "leaving",
        State::Dead => "dead",
    }
}

fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|&cell| cell.to_owned()).collect()
}

/// Columns as wide as their widest cell.
fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
