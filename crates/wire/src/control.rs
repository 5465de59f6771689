//! Conversions between the control log's types and their encoding.
//!
//! The journal stores the same encoding that messages use, so one set of
//! conversions covers both. Times are whole nanoseconds, so that every replica
//! has exactly the timestamp that the leader assigned.

pub mod catalogue;
mod duties;
mod ledger;
mod machine;
mod raft;
mod state;

use std::time::{Duration, SystemTime};

use derive_more::{Display, Error, From};
use prost::Message as _;

use crate::generated::control as proto;

pub use duties::{decode_duties, encode_duties};
pub use machine::{decode_machine, encode_machine};
pub use raft::{decode_hard, decode_snapshot, encode_hard, encode_snapshot};

/// Why bytes or a message cannot be decoded.
#[derive(Clone, Debug, Display, Error, From, PartialEq)]
pub enum Error {
    /// The bytes are not a message.
    #[display("not a message of the control log: {_0}: check that all daemons run one version")]
    Decode(prost::DecodeError),
    /// A required field is missing.
    #[display("{field} is missing: check that all daemons run one version")]
    #[from(skip)]
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// A value is outside its range.
    #[display("{field} has an unknown value: check that all daemons run one version")]
    #[from(skip)]
    Range {
        /// Name of the field.
        field: &'static str,
    },
}

/// Encodes an entry for the journal.
#[must_use]
pub fn encode_entry(entry: &citron_policy::raft::Entry) -> Vec<u8> {
    proto::Entry::from(entry).encode_to_vec()
}

/// Decodes the output of [`encode_entry`].
///
/// # Errors
/// [`Error`] when the bytes are not an entry.
pub fn decode_entry(bytes: &[u8]) -> Result<citron_policy::raft::Entry, Error> {
    proto::Entry::decode(bytes)?.try_into()
}

/// Value of a required field.
fn require<T>(part: Option<T>, field: &'static str) -> Result<T, Error> {
    part.ok_or(Error::Missing { field })
}

fn nanos_of(value: Duration) -> u64 {
    u64::try_from(value.as_nanos()).unwrap_or(u64::MAX)
}

/// Nanoseconds since 1970; earlier times count as 1970.
fn nanos_since_epoch(value: SystemTime) -> u64 {
    nanos_of(
        value
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default(),
    )
}

fn time_from_nanos(nanos: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_nanos(nanos)
}

fn convert_all<A, B>(items: Vec<A>) -> Result<Vec<B>, Error>
where
    B: TryFrom<A, Error = Error>,
{
    items.into_iter().map(B::try_from).collect()
}

fn nothing() -> proto::Nothing {
    proto::Nothing {}
}
