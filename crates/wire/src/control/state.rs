//! Conversions of commands and their answers.

use std::sync::Arc;

use bytes::Bytes;
use citron_policy::{
    crash::Step,
    declaration::Declaration,
    lease,
    state::{Answer, Author, Command, Refusal},
    usage,
};

use super::{Error, convert_all, nanos_since_epoch, nothing, proto, require, time_from_nanos};

impl From<&Command> for proto::Command {
    fn from(it: &Command) -> Self {
        use proto::command::Command as Wire;
        let command = match it {
            Command::Noop => Wire::Nothing(nothing()),
            Command::Change { change, at } => Wire::Change(proto::StampedChange {
                change: Some(change.as_ref().into()),
                at: nanos_since_epoch(*at),
            }),
            Command::Claim(claim) => Wire::Claim(claim.into()),
            Command::Settle(settle) => Wire::Settle(settle.into()),
            Command::Crash(step) => Wire::Crash(step.into()),
            Command::Declare(it) => Wire::Declare(it.as_ref().into()),
            Command::Lease(step) => {
                return Self {
                    command: Some(Wire::Nothing(nothing())),
                    lease: Some(step.into()),
                    usage: None,
                };
            }
            Command::Usage(window) => {
                return Self {
                    command: Some(Wire::Nothing(nothing())),
                    lease: None,
                    usage: Some(window.as_ref().into()),
                };
            }
        };
        Self {
            command: Some(command),
            lease: None,
            usage: None,
        }
    }
}

impl TryFrom<proto::Command> for Command {
    type Error = Error;

    fn try_from(it: proto::Command) -> Result<Self, Error> {
        use proto::command::Command as Wire;
        if let Some(step) = it.lease {
            return Ok(Self::Lease(step.try_into()?));
        }
        if let Some(usage) = it.usage {
            return Ok(Self::Usage(Arc::new(usage.try_into()?)));
        }
        Ok(match require(it.command, "command")? {
            Wire::Nothing(_) => Self::Noop,
            Wire::Change(stamped) => Self::Change {
                change: Arc::new(require(stamped.change, "change")?.try_into()?),
                at: time_from_nanos(stamped.at),
            },
            Wire::Claim(claim) => Self::Claim(claim.try_into()?),
            Wire::Settle(settle) => Self::Settle(settle.try_into()?),
            Wire::Crash(step) => Self::Crash(step.try_into()?),
            Wire::Declare(it) => Self::Declare(Arc::new(it.into())),
        })
    }
}

impl From<&Declaration> for proto::Declaration {
    fn from(it: &Declaration) -> Self {
        Self {
            version: it.version,
            source: Bytes::copy_from_slice(&it.source),
        }
    }
}

impl From<proto::Declaration> for Declaration {
    fn from(it: proto::Declaration) -> Self {
        Self {
            version: it.version,
            source: it.source.as_ref().into(),
        }
    }
}

impl From<&Step> for proto::CrashStep {
    fn from(it: &Step) -> Self {
        use proto::crash_step::Step as Wire;
        let step = match it {
            Step::Suspected(fingerprints) => Wire::Suspected(proto::Suspected {
                fingerprints: fingerprints.clone(),
            }),
            Step::Quarantined(fingerprint) => Wire::Quarantined(*fingerprint),
            Step::Cleared(fingerprint) => Wire::Cleared(*fingerprint),
        };
        Self { step: Some(step) }
    }
}

impl TryFrom<proto::CrashStep> for Step {
    type Error = Error;

    fn try_from(it: proto::CrashStep) -> Result<Self, Error> {
        use proto::crash_step::Step as Wire;
        Ok(match require(it.step, "crash.step")? {
            Wire::Suspected(suspected) => Self::Suspected(suspected.fingerprints),
            Wire::Quarantined(fingerprint) => Self::Quarantined(fingerprint),
            Wire::Cleared(fingerprint) => Self::Cleared(fingerprint),
        })
    }
}

impl From<&Author> for proto::Author {
    fn from(it: &Author) -> Self {
        Self {
            key: Some((&it.key).into()),
            operator: it.operator.clone(),
            change: it.change.clone(),
            revision: it.revision,
        }
    }
}

impl TryFrom<proto::Author> for Author {
    type Error = Error;

    fn try_from(it: proto::Author) -> Result<Self, Error> {
        Ok(Self {
            key: require(it.key, "author.key")?.try_into()?,
            operator: it.operator,
            change: it.change,
            revision: it.revision,
        })
    }
}

impl From<&Result<u64, Refusal>> for proto::ChangeAnswer {
    fn from(it: &Result<u64, Refusal>) -> Self {
        use proto::change_answer::Answer as Wire;
        let answer = match it {
            Ok(revision) => Wire::Revision(*revision),
            Err(Refusal::Stale { current, authors }) => Wire::Stale(proto::Stale {
                current: *current,
                authors: authors.iter().map(proto::Author::from).collect(),
            }),
            Err(Refusal::Reused { first }) => Wire::Reused(proto::Reused { first: *first }),
            // A fault is plain data, so its conversion to JSON cannot fail.
            Err(Refusal::Invalid(fault)) => {
                Wire::Invalid(serde_json::to_string(fault).unwrap_or_default())
            }
        };
        Self {
            answer: Some(answer),
        }
    }
}

impl TryFrom<proto::ChangeAnswer> for Result<u64, Refusal> {
    type Error = Error;

    fn try_from(it: proto::ChangeAnswer) -> Result<Self, Error> {
        use proto::change_answer::Answer as Wire;
        Ok(match require(it.answer, "change.answer")? {
            Wire::Revision(revision) => Ok(revision),
            Wire::Stale(stale) => Err(Refusal::Stale {
                current: stale.current,
                authors: convert_all(stale.authors)?,
            }),
            Wire::Reused(reused) => Err(Refusal::Reused {
                first: reused.first,
            }),
            Wire::Invalid(json) => {
                let field = "change.invalid";
                let fault = serde_json::from_str(&json).ok();
                Err(Refusal::Invalid(fault.ok_or(Error::Range { field })?))
            }
        })
    }
}

impl From<&Answer> for proto::Answer {
    fn from(it: &Answer) -> Self {
        use proto::answer::Answer as Wire;
        let answer = match it {
            Answer::Done => Wire::Nothing(nothing()),
            Answer::Change(change) => Wire::Change(change.into()),
            Answer::Claim(verdict) => Wire::Claim(verdict.into()),
            Answer::Declared(version) => Wire::Declared(*version),
            Answer::Lease(record) => Wire::Leased(proto::Leased {
                lease: record.as_ref().map(proto::Lease::from),
            }),
            Answer::Usage(window) => Wire::Usage(proto::FixedUsage {
                usage: window.as_deref().map(proto::Usage::from),
            }),
        };
        Self {
            answer: Some(answer),
        }
    }
}

impl TryFrom<proto::Answer> for Answer {
    type Error = Error;

    fn try_from(it: proto::Answer) -> Result<Self, Error> {
        use proto::answer::Answer as Wire;
        Ok(match require(it.answer, "answer")? {
            Wire::Nothing(_) => Self::Done,
            Wire::Change(change) => Self::Change(change.try_into()?),
            Wire::Claim(verdict) => Self::Claim(verdict.try_into()?),
            Wire::Declared(version) => Self::Declared(version),
            Wire::Leased(leased) => Self::Lease(leased.lease.map(lease::Record::from)),
            Wire::Usage(fixed) => {
                let window = fixed.usage.map(usage::Window::try_from).transpose()?;
                Self::Usage(window.map(Arc::new))
            }
        })
    }
}
