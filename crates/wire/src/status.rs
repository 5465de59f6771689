//! Conversions of status queries to one daemon, and of its reports.

use citron_policy::{
    catalogue::{Key, Kind},
    id::Revision,
};
use derive_more::{Display, Error};

use crate::{admin::Event, generated::status as proto};

/// Most events in one report.
pub const MAX_EVENTS: usize = 512;

/// Why a status message was refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// A required part is missing.
    #[display("status message without {part}: upgrade the older daemon")]
    Missing {
        /// The part.
        part: &'static str,
    },
    /// The kind of an entry is unknown.
    #[display("status message with kind {kind} of a catalogue entry: upgrade the older daemon")]
    Kind {
        /// Number of the kind.
        kind: i32,
    },
}

/// A status query to one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Only the fields that every report has.
    Nothing,
    /// Events of one request, by its id in hex.
    Request(String),
    /// Events of one catalogue entry.
    Entry(Key),
}

/// Status report of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Catalogue revision in force there.
    pub revision: Revision,
    /// Requested events, oldest first.
    pub events: Vec<Event>,
    /// Number of older events left out.
    pub omitted: u32,
}

impl From<Ask> for proto::Message {
    fn from(ask: Ask) -> Self {
        let about = match ask {
            Ask::Nothing => proto::ask::About::Nothing(proto::Nothing {}),
            Ask::Request(request) => proto::ask::About::Request(request),
            Ask::Entry(key) => proto::ask::About::Entry(key.into()),
        };
        Self {
            body: Some(proto::message::Body::Ask(proto::Ask { about: Some(about) })),
        }
    }
}

impl TryFrom<proto::Message> for Ask {
    type Error = Error;

    fn try_from(message: proto::Message) -> Result<Self, Error> {
        let Some(proto::message::Body::Ask(ask)) = message.body else {
            return Err(Error::Missing { part: "a question" });
        };
        match ask.about {
            Some(proto::ask::About::Nothing(_)) => Ok(Self::Nothing),
            Some(proto::ask::About::Request(request)) => Ok(Self::Request(request)),
            Some(proto::ask::About::Entry(entry)) => entry.try_into().map(Self::Entry),
            None => Err(Error::Missing { part: "a subject" }),
        }
    }
}

impl From<Report> for proto::Message {
    fn from(report: Report) -> Self {
        let report = proto::Report {
            revision: report.revision,
            events: report.events.into_iter().map(Into::into).collect(),
            omitted: report.omitted,
        };
        Self {
            body: Some(proto::message::Body::Report(report)),
        }
    }
}

impl TryFrom<proto::Message> for Report {
    type Error = Error;

    fn try_from(message: proto::Message) -> Result<Self, Error> {
        let Some(proto::message::Body::Report(report)) = message.body else {
            return Err(Error::Missing { part: "a report" });
        };
        let events = report.events.into_iter().map(TryInto::try_into);
        Ok(Self {
            revision: report.revision,
            events: events.collect::<Result<_, _>>()?,
            omitted: report.omitted,
        })
    }
}

impl From<Key> for proto::Entry {
    fn from(key: Key) -> Self {
        let kind = match key.kind {
            Kind::Account => proto::Kind::Account,
            Kind::Class => proto::Kind::Class,
            Kind::Service => proto::Kind::Service,
            Kind::Route => proto::Kind::Route,
        };
        Self {
            kind: kind.into(),
            name: key.name,
        }
    }
}

impl TryFrom<proto::Entry> for Key {
    type Error = Error;

    fn try_from(entry: proto::Entry) -> Result<Self, Error> {
        let kind = match entry.kind() {
            proto::Kind::Account => Kind::Account,
            proto::Kind::Class => Kind::Class,
            proto::Kind::Service => Kind::Service,
            proto::Kind::Route => Kind::Route,
            proto::Kind::Unspecified => return Err(Error::Kind { kind: entry.kind }),
        };
        Ok(Self {
            kind,
            name: entry.name,
        })
    }
}

impl From<Event> for proto::Event {
    fn from(event: Event) -> Self {
        Self {
            code: event.code,
            request: event.request.unwrap_or_default(),
            entries: event.entries.into_iter().map(Into::into).collect(),
            text: event.text,
            at_ms: event.at_ms,
        }
    }
}

impl TryFrom<proto::Event> for Event {
    type Error = Error;

    fn try_from(event: proto::Event) -> Result<Self, Error> {
        let entries = event.entries.into_iter().map(TryInto::try_into);
        Ok(Self {
            code: event.code,
            request: Some(event.request).filter(|it| !it.is_empty()),
            entries: entries.collect::<Result<_, _>>()?,
            text: event.text,
            at_ms: event.at_ms,
        })
    }
}
