//! Snapshot encoding of the state machine.

use std::sync::Arc;

use bytes::Bytes;
use citron_policy::{
    catalogue::Catalogue,
    crash::{Mark, Table},
    ledger::Ledger,
    state::{ChangeRecord, Limits, Machine, Snapshot},
};
use prost::Message as _;

use super::{
    Error, convert_all,
    duties::{decode_duties, encode_duties},
    nanos_since_epoch, proto, require, time_from_nanos,
};

/// Encodes a state machine.
#[must_use]
pub fn encode_machine(machine: &Machine) -> Vec<u8> {
    let catalogue = machine.catalogue();
    let marks = machine
        .marks()
        .marks
        .iter()
        .map(|(fingerprint, mark)| proto::Mark {
            fingerprint: *fingerprint,
            quarantined: *mark == Mark::Quarantined,
        });
    let answers = machine.answers().map(|(id, kept)| proto::Kept {
        id: id.clone(),
        digest: Bytes::copy_from_slice(&kept.digest.to_le_bytes()),
        answer: Some((&kept.answer).into()),
    });
    let ledger = machine.ledger();
    let message = proto::Machine {
        index: machine.index(),
        revision: catalogue.revision,
        entries: catalogue.entries().map(|it| (&it).into()).collect(),
        marks: marks.collect(),
        answers: answers.collect(),
        authors: machine.authors().map(proto::Author::from).collect(),
        clock: ledger.clock().map(nanos_since_epoch),
        records: ledger.records().map(proto::Record::from).collect(),
        declaration: machine.declaration().map(|it| it.as_ref().into()),
        duties: encode_duties(machine, &[]),
    };
    message.encode_to_vec()
}

/// Decodes the output of [`encode_machine`].
///
/// # Errors
/// [`Error`] when the bytes are not a state machine.
pub fn decode_machine(limits: Limits, bytes: &[u8]) -> Result<Machine, Error> {
    let message = proto::Machine::decode(bytes)?;
    let entries = convert_all(message.entries)?;
    let catalogue = Catalogue::from_entries(message.revision, entries);
    let marks = message.marks.into_iter().map(|it| {
        let mark = if it.quarantined {
            Mark::Quarantined
        } else {
            Mark::Suspected
        };
        (it.fingerprint, mark)
    });
    let clock = message.clock.map(time_from_nanos);
    let (lease, usage) = decode_duties(message.duties.unwrap_or_default())?;
    let ledger = Ledger::from_records(limits.ledger, clock, convert_all(message.records)?);
    let snapshot = Snapshot {
        index: message.index,
        catalogue: Arc::new(catalogue),
        declaration: message.declaration.map(|it| Arc::new(it.into())),
        marks: Arc::new(Table {
            marks: marks.collect(),
        }),
        answers: convert_all(message.answers)?,
        authors: convert_all(message.authors)?,
        ledger,
        lease,
        usage,
    };
    Ok(Machine::restore(limits, snapshot))
}

impl TryFrom<proto::Kept> for (String, ChangeRecord) {
    type Error = Error;

    fn try_from(it: proto::Kept) -> Result<Self, Error> {
        let field = "kept.digest";
        let digest = it.digest.as_ref().try_into().ok();
        let kept = ChangeRecord {
            digest: u128::from_le_bytes(digest.ok_or(Error::Range { field })?),
            answer: require(it.answer, "kept.answer")?.try_into()?,
        };
        Ok((it.id, kept))
    }
}
