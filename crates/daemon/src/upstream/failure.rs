//! How an exchange fails, and what that says about the request.

use std::io;

use citron_policy::retry::{Ending, Fate};
use derive_more::{Display, Error};

/// Why an exchange with a runner did not end with a whole answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// The request cannot be written as HTTP.
    #[display("the request cannot be sent: {_0}; change its headers or path")]
    Invalid(#[error(not(source))] String),
    /// The runner refused the connection.
    #[display("no connection to the runner ({_0}): check that it is up")]
    Refused(#[error(not(source))] io::ErrorKind),
    /// The runner did not accept the connection in time.
    #[display("no connection to the runner in time: check that it is up and reachable")]
    Unreachable,
    /// Nothing of the request was handed to the connection.
    #[display("the connection failed before the request was written: try again")]
    Unwritten,
    /// Part of the request was handed to the connection.
    #[display("the connection failed while the request was written")]
    PartlyWritten,
    /// The connection ended before an answer.
    #[display("the runner closed the connection without an answer: see its log")]
    Unanswered,
    /// The answer, or more of it, did not come in time.
    #[display("the runner did not answer in the time that was left: see its load")]
    Late,
    /// Nothing of an answer came for so long that another runner is tried.
    #[display("the runner said nothing for too long, with time left for another: see its load")]
    Silent,
    /// The answer ended before it was whole.
    #[display("the answer ended before it was whole: see the runner's log")]
    Cut,
    /// The answer does not follow the protocol.
    #[display("the answer is not valid: {_0}; check the runner's version")]
    Garbled(#[error(not(source))] String),
    /// The answer carries no request id or another one.
    #[display("the answer belongs to another request: the runner must return X-Request-Id")]
    Crossed,
    /// The answer is larger than allowed.
    #[display("the answer is over the limit of {limit} bytes")]
    TooLarge {
        /// The limit.
        limit: u64,
    },
}

impl Failure {
    /// How the attempt ended, in the policy's terms.
    #[must_use]
    pub fn ending(&self) -> Ending {
        match self {
            Self::Invalid(_) | Self::Refused(_) | Self::Unreachable => Ending::Unconnected,
            Self::Unwritten => Ending::Unwritten,
            Self::PartlyWritten => Ending::PartlyWritten,
            Self::Unanswered => Ending::Unanswered,
            Self::Late | Self::Silent => Ending::Late,
            Self::Cut => Ending::Cut,
            Self::Garbled(_) => Ending::Garbled,
            Self::Crossed => Ending::Crossed,
            Self::TooLarge { .. } => Ending::TooLarge,
        }
    }

    /// Whether the request ran.
    #[must_use]
    pub fn fate(&self) -> Fate {
        self.ending().fate(&[])
    }

    /// Whether the runner's connection broke, as it does when the runner dies.
    #[must_use]
    pub fn is_disconnect(&self) -> bool {
        matches!(self, Self::PartlyWritten | Self::Unanswered | Self::Cut)
    }
}
