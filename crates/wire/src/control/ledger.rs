//! Claims, their ends and the records of the ledger.

use std::sync::Arc;

use bytes::Bytes;
use citron_policy::ledger::{Claim, Key, Outcome, Record, Settle, State, Stored, Verdict};

use super::{Error, nanos_since, need, nothing, proto, time_of};

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
            deadline: nanos_since(it.deadline),
            at: nanos_since(it.at),
        }
    }
}

impl TryFrom<proto::Claim> for Claim {
    type Error = Error;

    fn try_from(it: proto::Claim) -> Result<Self, Error> {
        Ok(Self {
            key: need(it.key, "claim.key")?.into(),
            digest: it.digest,
            attempt: it.attempt,
            daemon: it.daemon,
            deadline: time_of(it.deadline),
            at: time_of(it.at),
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
            at: nanos_since(it.at),
            outcome: Some(outcome),
        }
    }
}

impl TryFrom<proto::Settle> for Settle {
    type Error = Error;

    fn try_from(it: proto::Settle) -> Result<Self, Error> {
        use proto::settle::Outcome as Wire;
        let outcome = match need(it.outcome, "settle.outcome")? {
            Wire::NotRun(_) => Outcome::NotRun,
            Wire::Stored(stored) => Outcome::Done(stored.try_into()?),
            Wire::Unknown(_) => Outcome::Unknown,
        };
        Ok(Self {
            key: need(it.key, "settle.key")?.into(),
            attempt: it.attempt,
            outcome,
            at: time_of(it.at),
        })
    }
}

impl From<&Verdict> for proto::Verdict {
    fn from(it: &Verdict) -> Self {
        use proto::verdict::Verdict as Wire;
        let verdict = match it {
            Verdict::Run => Wire::Run(nothing()),
            Verdict::Stored(stored) => Wire::Stored(stored.into()),
            Verdict::InProgress { deadline } => Wire::InProgress(nanos_since(*deadline)),
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
        Ok(match need(it.verdict, "verdict")? {
            Wire::Run(_) => Self::Run,
            Wire::Stored(stored) => Self::Stored(stored.try_into()?),
            Wire::InProgress(nanos) => Self::InProgress {
                deadline: time_of(nanos),
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
                deadline: nanos_since(*deadline),
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
            due: nanos_since(it.due),
            freed: it.freed.clone(),
            state: Some(state),
        }
    }
}

impl TryFrom<proto::Record> for (Key, Record) {
    type Error = Error;

    fn try_from(it: proto::Record) -> Result<Self, Error> {
        use proto::record::State as Wire;
        let state = match need(it.state, "record.state")? {
            Wire::Open(open) => State::Open {
                attempt: open.attempt,
                deadline: time_of(open.deadline),
            },
            Wire::Ran(ran) => State::Done {
                attempt: ran.attempt,
                stored: Arc::new(need(ran.stored, "ran.stored")?.try_into()?),
            },
            Wire::Unknown(attempt) => State::Unknown { attempt },
            Wire::Free(_) => State::Free,
        };
        let record = Record {
            digest: it.digest,
            state,
            due: time_of(it.due),
            freed: it.freed,
        };
        Ok((need(it.key, "record.key")?.into(), record))
    }
}
