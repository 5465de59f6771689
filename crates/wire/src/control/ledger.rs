//! Conversions of ledger claims, settlements, verdicts and records.

use std::sync::Arc;

use bytes::Bytes;
use citron_policy::ledger::{Claim, Key, Outcome, Record, Settle, State, Stored, Verdict};

use super::{Error, nanos_since_epoch, nothing, proto, require, time_from_nanos};

impl From<&Key> for proto::LedgerKey {
    fn from(it: &Key) -> Self {
        Self {
            account: it.account.clone(),
            name: it.name.clone(),
        }
    }
}

impl From<proto::LedgerKey> for Key {
    fn from(it: proto::LedgerKey) -> Self {
        Self {
            account: it.account,
            name: it.name,
        }
    }
}

impl From<&Claim> for proto::Claim {
    fn from(it: &Claim) -> Self {
        Self {
            key: Some((&it.key).into()),
            digest: it.digest,
            attempt: it.attempt,
            daemon: it.daemon.clone(),
            deadline: nanos_since_epoch(it.deadline),
            at: nanos_since_epoch(it.at),
        }
    }
}

impl TryFrom<proto::Claim> for Claim {
    type Error = Error;

    fn try_from(it: proto::Claim) -> Result<Self, Error> {
        Ok(Self {
            key: require(it.key, "claim.key")?.into(),
            digest: it.digest,
            attempt: it.attempt,
            daemon: it.daemon,
            deadline: time_from_nanos(it.deadline),
            at: time_from_nanos(it.at),
        })
    }
}

impl From<&Stored> for proto::Stored {
    fn from(it: &Stored) -> Self {
        Self {
            status: it.status.into(),
            content_type: it.content_type.clone(),
            body: Bytes::copy_from_slice(&it.body),
        }
    }
}

impl TryFrom<proto::Stored> for Stored {
    type Error = Error;

    fn try_from(it: proto::Stored) -> Result<Self, Error> {
        let field = "stored.status";
        Ok(Self {
            status: u16::try_from(it.status)
                .ok()
                .ok_or(Error::Range { field })?,
            content_type: it.content_type,
            body: it.body.into(),
        })
    }
}

impl From<&Settle> for proto::Settle {
    fn from(it: &Settle) -> Self {
        use proto::settle::Outcome as Wire;
        let outcome = match &it.outcome {
            Outcome::NotRun => Wire::NotRun(nothing()),
            Outcome::Done(stored) => Wire::Stored(stored.into()),
            Outcome::Unknown => Wire::Unknown(nothing()),
        };
        Self {
            key: Some((&it.key).into()),
            attempt: it.attempt,
            at: nanos_since_epoch(it.at),
            outcome: Some(outcome),
        }
    }
}

impl TryFrom<proto::Settle> for Settle {
    type Error = Error;

    fn try_from(it: proto::Settle) -> Result<Self, Error> {
        use proto::settle::Outcome as Wire;
        let outcome = match require(it.outcome, "settle.outcome")? {
            Wire::NotRun(_) => Outcome::NotRun,
            Wire::Stored(stored) => Outcome::Done(stored.try_into()?),
            Wire::Unknown(_) => Outcome::Unknown,
        };
        Ok(Self {
            key: require(it.key, "settle.key")?.into(),
            attempt: it.attempt,
            outcome,
            at: time_from_nanos(it.at),
        })
    }
}

impl From<&Verdict> for proto::Verdict {
    fn from(it: &Verdict) -> Self {
        use proto::verdict::Verdict as Wire;
        let verdict = match it {
            Verdict::Run => Wire::Run(nothing()),
            Verdict::Stored(stored) => Wire::Stored(stored.into()),
            Verdict::InProgress { deadline } => Wire::InProgress(nanos_since_epoch(*deadline)),
            Verdict::Unknown => Wire::Unknown(nothing()),
            Verdict::Mismatch => Wire::Mismatch(nothing()),
            Verdict::Full => Wire::Full(nothing()),
        };
        Self {
            verdict: Some(verdict),
        }
    }
}

impl TryFrom<proto::Verdict> for Verdict {
    type Error = Error;

    fn try_from(it: proto::Verdict) -> Result<Self, Error> {
        use proto::verdict::Verdict as Wire;
        Ok(match require(it.verdict, "verdict")? {
            Wire::Run(_) => Self::Run,
            Wire::Stored(stored) => Self::Stored(stored.try_into()?),
            Wire::InProgress(nanos) => Self::InProgress {
                deadline: time_from_nanos(nanos),
            },
            Wire::Unknown(_) => Self::Unknown,
            Wire::Mismatch(_) => Self::Mismatch,
            Wire::Full(_) => Self::Full,
        })
    }
}

impl From<(&Key, &Record)> for proto::Record {
    fn from((key, it): (&Key, &Record)) -> Self {
        use proto::record::State as Wire;
        let state = match &it.state {
            State::Open { attempt, deadline } => Wire::Open(proto::Open {
                attempt: *attempt,
                deadline: nanos_since_epoch(*deadline),
            }),
            State::Done { attempt, stored } => Wire::Ran(proto::Ran {
                attempt: *attempt,
                stored: Some(stored.as_ref().into()),
            }),
            State::Unknown { attempt } => Wire::Unknown(*attempt),
            State::Free => Wire::Free(nothing()),
        };
        Self {
            key: Some(key.into()),
            digest: it.digest,
            due: nanos_since_epoch(it.due),
            freed: it.freed.clone(),
            state: Some(state),
        }
    }
}

impl TryFrom<proto::Record> for (Key, Record) {
    type Error = Error;

    fn try_from(it: proto::Record) -> Result<Self, Error> {
        use proto::record::State as Wire;
        let state = match require(it.state, "record.state")? {
            Wire::Open(open) => State::Open {
                attempt: open.attempt,
                deadline: time_from_nanos(open.deadline),
            },
            Wire::Ran(ran) => State::Done {
                attempt: ran.attempt,
                stored: Arc::new(require(ran.stored, "ran.stored")?.try_into()?),
            },
            Wire::Unknown(attempt) => State::Unknown { attempt },
            Wire::Free(_) => State::Free,
        };
        let record = Record {
            digest: it.digest,
            state,
            due: time_from_nanos(it.due),
            freed: it.freed,
        };
        Ok((require(it.key, "record.key")?.into(), record))
    }
}
