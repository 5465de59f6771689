//! Events of a request or of a catalogue entry, from all daemons.

use std::rc::Rc;

use actix_http::{Request, Response, body::BoxBody};
use citron_policy::catalogue::{Catalogue, Entry, Key, Kind};
use citron_wire::{
    admin::{Explanation, InstanceEvent, Lagging, OwnedEntry},
    status::Ask,
};

use super::{Ports, Problem, body::parameter, fanout, problem::json};

/// Maximum number of events in one explanation.
const MAX_EVENTS: usize = 2_048;

/// Maximum number of entries that an explanation lists as affected or involved.
const MAX_AFFECTED: usize = 256;

/// Collects the events of every live daemon.
pub(super) async fn answer(
    ports: &Rc<Ports>,
    request: &Request,
) -> Result<Response<BoxBody>, Problem> {
    let ask = subject(request)?;
    let mut explanation = Explanation {
        involved: Vec::new(),
        affected: Vec::new(),
        events: Vec::new(),
        omitted: 0,
        silent: Vec::new(),
    };
    for (instance, outcome) in fanout::query_all(ports, &ask).await {
        match outcome {
            Ok(report) => {
                explanation.omitted = explanation.omitted.saturating_add(report.omitted);
                let seen = report.events.into_iter().map(|event| InstanceEvent {
                    instance: instance.clone(),
                    event,
                });
                explanation.events.extend(seen);
            }
            Err(reason) => explanation.silent.push(Lagging {
                instance,
                revision: None,
                reason,
            }),
        }
    }
    keep_newest(&mut explanation);
    let catalogue = std::sync::Arc::clone(&ports.view.borrow().catalogue);
    name_entries(&mut explanation, &ask, &catalogue);
    Ok(json(&explanation))
}

fn subject(request: &Request) -> Result<Ask, Problem> {
    if let Some(request) = parameter(request, "request") {
        return Ok(Ask::Request(request.to_lowercase()));
    }
    let Some(text) = parameter(request, "entry") else {
        return Err(Problem::request(
            "nothing to explain: give request=ID or entry=KIND/NAME",
        ));
    };
    let kinds = [Kind::Account, Kind::Class, Kind::Service, Kind::Route];
    let parts = text.split_once('/');
    let key = parts.and_then(|(kind, name)| {
        let kind = kinds.into_iter().find(|it| it.to_string() == kind)?;
        let name = name.to_owned();
        Some(Key { kind, name })
    });
    key.map(Ask::Entry).ok_or_else(|| {
        Problem::request(format!(
            "{text:?} is no entry: write account/NAME, class/NAME or service/NAME"
        ))
    })
}

fn keep_newest(explanation: &mut Explanation) {
    explanation.events.sort_by_key(|seen| seen.event.at_ms);
    let surplus = explanation.events.len().saturating_sub(MAX_EVENTS);
    explanation.events.drain(..surplus);
    let surplus = u32::try_from(surplus).unwrap_or(u32::MAX);
    explanation.omitted = explanation.omitted.saturating_add(surplus);
}

/// Lists the entries involved with their owners, and the entries that refer to
/// the queried one.
fn name_entries(explanation: &mut Explanation, ask: &Ask, catalogue: &Catalogue) {
    let mut keys: Vec<Key> = Vec::new();
    if let Ask::Entry(key) = ask {
        keys.push(key.clone());
        let dependent = catalogue.entries().filter(|entry| refers_to(entry, key));
        let affected = dependent.map(|entry| involved(entry.key(), catalogue));
        explanation.affected = affected.take(MAX_AFFECTED).collect();
    }
    for seen in &explanation.events {
        for key in &seen.event.entries {
            if !keys.contains(key) && keys.len() < MAX_AFFECTED {
                keys.push(key.clone());
            }
        }
    }
    let all = keys.into_iter().map(|key| involved(key, catalogue));
    explanation.involved = all.collect();
}

fn involved(key: Key, catalogue: &Catalogue) -> OwnedEntry {
    let owner = catalogue.entry(&key).map(|it| it.owner().to_owned());
    OwnedEntry { key, owner }
}

fn refers_to(entry: &Entry, key: &Key) -> bool {
    match (entry, key.kind) {
        (Entry::Account(account), Kind::Class) => {
            account.class == key.name || account.classes.contains(&key.name)
        }
        (Entry::Service(service), Kind::Class) => service.class == key.name,
        (Entry::Route(route), Kind::Class) => route.class == key.name,
        (Entry::Route(route), Kind::Service) => {
            route.backends.iter().any(|it| it.service == key.name)
        }
        _ => false,
    }
}
