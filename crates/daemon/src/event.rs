//! Numbered events, kept for a while so that operators can find out what happened.
//!
//! Every event is logged with its number; those that concern a request or a
//! catalogue entry are also kept in a ring buffer of fixed size, which
//! `citronctl explain` reads. `docs/EVENTS.md` lists the numbers.

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    time::{Duration, SystemTime},
};

use citron_policy::{catalogue::Key, id::RequestId};
use serde::{Deserialize, Serialize};

/// Maximum number of events kept on one daemon.
pub const MAX_EVENTS: usize = 8_192;

/// An event that concerns a request or catalogue entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Event number, such as `CP0203`.
    pub code: String,
    /// Id of the request concerned, in hex.
    pub request: Option<String>,
    /// Catalogue entries concerned.
    pub entries: Vec<Key>,
    /// Description of what happened.
    pub text: String,
    /// Time of the event.
    pub at: SystemTime,
}

/// Ring buffer of this daemon's latest events; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    events: Rc<RefCell<VecDeque<Event>>>,
}

impl Ring {
    /// Logs an event and keeps it; the oldest is evicted when the buffer is full.
    pub fn record(&self, code: &str, request: Option<RequestId>, entries: &[Key], text: String) {
        let request = request.map(format_request_id);
        match &request {
            Some(id) => log::info!("{code} request {id}: {text}"),
            None => log::info!("{code} {text}"),
        }
        let mut events = self.events.borrow_mut();
        if events.len() >= MAX_EVENTS {
            events.pop_front();
        }
        let at = SystemTime::now();
        events.push_back(Event {
            code: code.to_owned(),
            request,
            entries: entries.to_vec(),
            text,
            at,
        });
    }

    /// Events of one request, oldest first.
    #[must_use]
    pub fn of_request(&self, request: &str) -> Vec<Event> {
        self.select(|event| event.request.as_deref() == Some(request))
    }

    /// Events that concern an entry, oldest first.
    #[must_use]
    pub fn of_entry(&self, key: &Key) -> Vec<Event> {
        self.select(|event| event.entries.contains(key))
    }

    fn select<F>(&self, wanted: F) -> Vec<Event>
    where
        F: Fn(&Event) -> bool,
    {
        self.events
            .borrow()
            .iter()
            .filter(|event| wanted(event))
            .cloned()
            .collect()
    }
}

/// A request id as shown to callers and operators.
#[must_use]
pub fn format_request_id(request: RequestId) -> String {
    format!("{request:016x}")
}

/// Whole milliseconds, for log lines.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
