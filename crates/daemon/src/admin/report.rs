//! Answers status queries of other daemons about this one.

use std::time::{SystemTime, UNIX_EPOCH};

use citron_wire::{
    admin::Event,
    generated::status as proto,
    status::{Ask, MAX_EVENTS, Report},
};

use super::Ports;
use crate::event;

/// Answers a message of another daemon.
pub(super) fn answer(ports: &Ports, message: proto::Message) -> Result<proto::Message, String> {
    let ask = Ask::try_from(message).map_err(|error| error.to_string())?;
    Ok(of(ports, &ask).into())
}

/// This daemon's report.
pub(super) fn of(ports: &Ports, ask: &Ask) -> Report {
    let events = match ask {
        Ask::Nothing => Vec::new(),
        Ask::Request(request) => ports.ring.of_request(request),
        Ask::Entry(key) => ports.ring.of_entry(key),
    };
    let omitted = events.len().saturating_sub(MAX_EVENTS);
    let events = events.into_iter().skip(omitted).map(convert);
    Report {
        revision: ports.view.borrow().catalogue.revision,
        events: events.collect(),
        omitted: u32::try_from(omitted).unwrap_or(u32::MAX),
    }
}

fn convert(event: event::Event) -> Event {
    Event {
        code: event.code,
        request: event.request,
        entries: event.entries,
        text: event.text,
        at_ms: milliseconds(event.at),
    }
}

fn milliseconds(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
