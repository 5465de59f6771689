//! Conversions of reports of usage and of their answers.

use std::{iter, time::Duration};

use citron_policy::{
    id::{FencingToken, InstanceId, StartId},
    usage::{MAX_STARTS, Report, Start},
};
use derive_more::{Display, Error};

use crate::generated::duty as proto;

/// Why a message of the duties was refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The message is of another kind.
    #[display("no report of usage or answer to one: check that both daemons run the same release")]
    Kind,
    /// The lists of a report do not fit together.
    #[display("report of usage with inconsistent lists: upgrade the daemon that sent it")]
    Lists,
    /// A report has too many starts.
    #[display("report of usage with more than {MAX_STARTS} starts: upgrade the older daemon")]
    Length,
}

/// The answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Holder of the duties and its token, as far as the receiver knows.
    pub holder: Option<(InstanceId, FencingToken)>,
    /// Number of the next start that the receiver expects.
    pub next: StartId,
}

impl From<Report> for proto::Message {
    fn from(it: Report) -> Self {
        let age = |it: &Start| u32::try_from(it.age.as_millis()).unwrap_or(u32::MAX);
        let account = |it: &Start| u32::try_from(it.account).unwrap_or(u32::MAX);
        let report = proto::Report {
            incarnation: it.process,
            boot_ms: millis(it.clock),
            wall_ms: millis(it.wall),
            first: it.first,
            account: it.starts.iter().map(account).collect(),
            age_ms: it.starts.iter().map(age).collect(),
            accounts: it.accounts,
            oldest: it.oldest,
        };
        Self {
            body: Some(proto::message::Body::Report(report)),
        }
    }
}

impl TryFrom<proto::Message> for Report {
    type Error = Error;

    fn try_from(message: proto::Message) -> Result<Self, Error> {
        let Some(proto::message::Body::Report(it)) = message.body else {
            return Err(Error::Kind);
        };
        if it.account.len() > MAX_STARTS {
            return Err(Error::Length);
        }
        let names = it.accounts.len();
        let starts = iter::zip(&it.account, &it.age_ms).map(|(account, age)| Start {
            account: usize::try_from(*account).unwrap_or(usize::MAX),
            age: Duration::from_millis((*age).into()),
        });
        let starts: Vec<Start> = starts.collect();
        let is_consistent = it.account.len() == it.age_ms.len()
            && names <= starts.len()
            && starts.iter().all(|it| it.account < names);
        if !is_consistent {
            return Err(Error::Lists);
        }
        Ok(Self {
            process: it.incarnation,
            clock: Duration::from_millis(it.boot_ms),
            wall: Duration::from_millis(it.wall_ms),
            oldest: it.oldest,
            first: it.first,
            starts,
            accounts: it.accounts,
        })
    }
}

impl From<Received> for proto::Message {
    fn from(it: Received) -> Self {
        let (holder, token) = it.holder.unwrap_or_default();
        let received = proto::Received {
            holder,
            next: it.next,
            token,
        };
        Self {
            body: Some(proto::message::Body::Received(received)),
        }
    }
}

impl TryFrom<proto::Message> for Received {
    type Error = Error;

    fn try_from(message: proto::Message) -> Result<Self, Error> {
        let Some(proto::message::Body::Received(it)) = message.body else {
            return Err(Error::Kind);
        };
        let is_known = !it.holder.is_empty();
        Ok(Self {
            holder: is_known.then_some((it.holder, it.token)),
            next: it.next,
        })
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
