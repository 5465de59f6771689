//! Conversions of the lease of the duties and of fixed usage.

use std::iter;

use citron_policy::{
    id::WindowId,
    lease::{Record, Step},
    state::Machine,
    usage::{Fixed, Window},
};

use super::{Error, convert_all, proto, require};

/// Encodes what a replica knows of the duties; nothing if they were never used.
///
/// Windows in `known` are encoded without their counts, which never change.
#[must_use]
pub fn encode_duties(machine: &Machine, known: &[WindowId]) -> Option<proto::Duties> {
    let usage = machine.usage().windows().map(|it| {
        if known.contains(&it.number) {
            let window = it.number;
            return proto::Usage {
                window,
                ..proto::Usage::default()
            };
        }
        it.into()
    });
    let duties = proto::Duties {
        lease: machine.lease().map(proto::Lease::from),
        usage: usage.collect(),
        dropped: machine.usage().dropped(),
    };
    (duties != proto::Duties::default()).then_some(duties)
}

/// Decodes the output of [`encode_duties`].
///
/// # Errors
/// [`Error`] when the counts of a window are incomplete.
pub fn decode_duties(duties: proto::Duties) -> Result<(Option<Record>, Fixed), Error> {
    let usage = Fixed::restore(duties.dropped, convert_all(duties.usage)?);
    Ok((duties.lease.map(Record::from), usage))
}

impl From<&Record> for proto::Lease {
    fn from(it: &Record) -> Self {
        Self {
            holder: it.holder,
            instance: it.instance.clone(),
            token: it.token,
            renewed: it.renewed,
        }
    }
}

impl From<proto::Lease> for Record {
    fn from(it: proto::Lease) -> Self {
        Self {
            holder: it.holder,
            instance: it.instance,
            token: it.token,
            renewed: it.renewed,
        }
    }
}

impl From<&Step> for proto::LeaseStep {
    fn from(it: &Step) -> Self {
        use proto::lease_step::Step as Wire;
        let (holder, instance, step) = match it {
            Step::Take {
                holder,
                instance,
                after,
            } => {
                let take = proto::Take { after: *after };
                (*holder, instance, Wire::Take(take))
            }
            Step::Renew {
                holder,
                instance,
                token,
            } => (*holder, instance, Wire::Renew(*token)),
        };
        Self {
            holder,
            instance: instance.clone(),
            step: Some(step),
        }
    }
}

impl TryFrom<proto::LeaseStep> for Step {
    type Error = Error;

    fn try_from(it: proto::LeaseStep) -> Result<Self, Error> {
        use proto::lease_step::Step as Wire;
        let (holder, instance) = (it.holder, it.instance);
        Ok(match require(it.step, "lease.step")? {
            Wire::Take(take) => Self::Take {
                holder,
                instance,
                after: take.after,
            },
            Wire::Renew(token) => Self::Renew {
                holder,
                instance,
                token,
            },
        })
    }
}

impl From<&Window> for proto::Usage {
    fn from(it: &Window) -> Self {
        Self {
            window: it.number,
            accounts: it.counts.keys().cloned().collect(),
            counts: it.counts.values().copied().collect(),
        }
    }
}

impl TryFrom<proto::Usage> for Window {
    type Error = Error;

    fn try_from(it: proto::Usage) -> Result<Self, Error> {
        if it.accounts.len() != it.counts.len() {
            let field = "usage.counts";
            return Err(Error::Range { field });
        }
        Ok(Self {
            number: it.window,
            counts: iter::zip(it.accounts, it.counts).collect(),
        })
    }
}
