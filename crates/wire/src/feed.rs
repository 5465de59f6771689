//! Conversions between the policy's feed types and feed messages.

use std::sync::Arc;

use bytes::Bytes;
use citron_policy::{
    catalogue::{Catalogue, Change, Entry},
    crash::{self, Mark},
    declaration::Declaration,
    feed::{News, Snapshot, Step, Update},
};
use derive_more::{Display, Error, From};
use prost::Message as _;

use crate::generated::feed as proto;

/// Largest part of a snapshot in one message, in bytes: 50 ms of a link of 10 Mbit/s.
pub const PART_BYTES: usize = 64 << 10;

/// Largest encoded snapshot accepted, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 128 << 20;

/// Why a message of the feed was refused.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The bytes are not a message.
    #[display("not a feed message: {_0}: check that both daemons run the same release")]
    Decode(prost::DecodeError),
    /// A catalogue entry or change cannot be decoded.
    #[display("catalogue data not understood: {_0}: upgrade the older daemon")]
    Json(serde_json::Error),
    /// A field is missing.
    #[display("feed message without {field}: check that both daemons run the same release")]
    #[from(skip)]
    Field {
        /// Field at fault.
        field: &'static str,
    },
}

/// Wraps a body in a message.
#[must_use]
pub fn message(body: proto::message::Body) -> proto::Message {
    proto::Message { body: Some(body) }
}

/// Converts news to a message body.
///
/// # Errors
/// [`Error::Json`] when a change cannot be serialized.
pub fn news_to_proto(news: &News) -> Result<proto::News, Error> {
    let updates = news.updates.iter().map(update_to_proto);
    Ok(proto::News {
        updates: updates.collect::<Result<_, _>>()?,
        through: news.through,
        proved_ms: news.proved_ms,
    })
}

/// Converts a message body to news.
///
/// # Errors
/// [`Error`] when an update cannot be decoded.
pub fn news_from_proto(news: proto::News) -> Result<News, Error> {
    let updates = news.updates.into_iter().map(update_from_proto);
    Ok(News {
        updates: updates.collect::<Result<_, _>>()?,
        through: news.through,
        proved_ms: news.proved_ms,
    })
}

fn update_to_proto(update: &Update) -> Result<proto::Update, Error> {
    use proto::update::Step as Wire;
    let step = match &update.step {
        Step::Change(change) => Wire::Change(serde_json::to_vec(&**change)?.into()),
        Step::Declare(it) => Wire::Declare(declaration_to_proto(it)),
        Step::Crash(crash::Step::Suspected(marks)) => Wire::Suspected(proto::Marks {
            fingerprints: marks.clone(),
        }),
        Step::Crash(crash::Step::Quarantined(mark)) => Wire::Quarantined(*mark),
        Step::Crash(crash::Step::Cleared(mark)) => Wire::Cleared(*mark),
    };
    Ok(proto::Update {
        index: update.index,
        step: Some(step),
    })
}

fn update_from_proto(update: proto::Update) -> Result<Update, Error> {
    use proto::update::Step as Wire;
    let step = match update.step.ok_or(Error::Field { field: "step" })? {
        Wire::Change(bytes) => Step::Change(Arc::new(serde_json::from_slice::<Change>(&bytes)?)),
        Wire::Declare(it) => Step::Declare(Arc::new(declaration_from_proto(&it))),
        Wire::Suspected(marks) => Step::Crash(crash::Step::Suspected(marks.fingerprints)),
        Wire::Quarantined(mark) => Step::Crash(crash::Step::Quarantined(mark)),
        Wire::Cleared(mark) => Step::Crash(crash::Step::Cleared(mark)),
    };
    Ok(Update {
        index: update.index,
        step,
    })
}

fn declaration_to_proto(it: &Declaration) -> proto::Declaration {
    proto::Declaration {
        version: it.version,
        source: Bytes::copy_from_slice(&it.source),
    }
}

fn declaration_from_proto(it: &proto::Declaration) -> Declaration {
    Declaration {
        version: it.version,
        source: it.source.as_ref().into(),
    }
}

/// Encodes a snapshot.
///
/// # Errors
/// [`Error::Json`] when an entry cannot be serialized.
pub fn encode_snapshot(snapshot: &Snapshot) -> Result<Bytes, Error> {
    let entries = snapshot.catalogue.entries();
    let entries = entries.map(|entry| serde_json::to_vec(&entry).map(Bytes::from));
    let marked = |wanted: Mark| {
        let marks = snapshot.marks.marks.iter();
        let fits = marks.filter(move |(_, mark)| **mark == wanted);
        fits.map(|(fingerprint, _)| *fingerprint).collect()
    };
    let snapshot = proto::Snapshot {
        index: snapshot.index,
        revision: snapshot.catalogue.revision,
        entries: entries.collect::<Result<_, _>>()?,
        suspected: marked(Mark::Suspected),
        quarantined: marked(Mark::Quarantined),
        declaration: snapshot.declaration.as_deref().map(declaration_to_proto),
    };
    Ok(snapshot.encode_to_vec().into())
}

/// Decodes a snapshot.
///
/// # Errors
/// [`Error`] when the bytes are not a snapshot or an entry cannot be decoded.
pub fn decode_snapshot(bytes: Bytes) -> Result<Snapshot, Error> {
    let snapshot = proto::Snapshot::decode(bytes)?;
    let entries = snapshot.entries.iter().map(|it| serde_json::from_slice(it));
    let entries: Vec<Entry> = entries.collect::<Result<_, _>>()?;
    let mut marks = crash::Table::default();
    marks.apply(&crash::Step::Suspected(snapshot.suspected));
    for fingerprint in snapshot.quarantined {
        marks.apply(&crash::Step::Quarantined(fingerprint));
    }
    let declaration = snapshot.declaration.as_ref().map(declaration_from_proto);
    Ok(Snapshot {
        index: snapshot.index,
        declaration: declaration.map(Arc::new),
        catalogue: Arc::new(Catalogue::from_entries(snapshot.revision, entries)),
        marks: Arc::new(marks),
    })
}
