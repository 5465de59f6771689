//! Failures of an exchange, and whether the request may have run.

use std::io;

use citron_policy::retry::{Ending, Fate};
use derive_more::{Display, Error};

/// Why an exchange with a runner did not end with a complete response.
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
    /// The connection failed before any byte of the request was written.
    #[display("the connection failed before the request was written: try again")]
    Unwritten,
    /// The connection failed while the request was being written.
    #[display("the connection failed while the request was written")]
    PartlyWritten,
    /// The connection ended before the response head.
    #[display("the runner closed the connection without an answer: see its log")]
    Unanswered,
    /// The response, or the rest of it, timed out.
    #[display("the runner did not answer in the time that was left: see its load")]
    Late,
    /// The runner was silent for so long that another one is tried.
    #[display("the runner said nothing for too long, with time left for another: see its load")]
    Silent,
    /// The response was truncated.
    #[display("the answer ended before it was whole: see the runner's log")]
    Cut,
    /// The response ended with its connection, and the runner with it.
    #[display("the runner is gone, so its answer may lack a part: see its log")]
    Gone,
    /// The response violates the protocol.
    #[display("the answer is not valid: {_0}; check the runner's version")]
    Garbled(#[error(not(source))] String),
    /// The response carries no request id, or that of another request.
    #[display("the answer belongs to another request: the runner must return X-Request-Id")]
    Crossed,
    /// The response exceeds a limit.
    #[display("the answer is over the limit of {limit} bytes")]
    TooLarge {
        /// Limit in bytes.
        limit: u64,
    },
    /// No memory is left to buffer the response.
    #[display("no memory is left for the answer: see citron_buffered_bytes")]
    NoMemory,
}

impl Failure {
    /// The ending of the attempt, for the retry policy.
    #[must_use]
    pub fn ending(&self) -> Ending {
        match self {
            Self::Invalid(_) | Self::Refused(_) | Self::Unreachable => Ending::Unconnected,
            Self::Unwritten => Ending::Unwritten,
            Self::PartlyWritten => Ending::PartlyWritten,
            Self::Unanswered => Ending::Unanswered,
            Self::Late | Self::Silent => Ending::Late,
            Self::Cut | Self::Gone => Ending::Cut,
            Self::Garbled(_) => Ending::Garbled,
            Self::Crossed => Ending::Crossed,
            Self::TooLarge { .. } | Self::NoMemory => Ending::TooLarge,
        }
    }

    /// Whether the request ran or may have run.
    #[must_use]
    pub fn fate(&self) -> Fate {
        self.ending().fate(&[])
    }

    /// Whether nothing of the request can have reached the runner.
    #[must_use]
    pub fn is_unconnected(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::Unreachable | Self::Unwritten)
    }

    /// Whether the connection was lost, as happens when the runner crashes.
    #[must_use]
    pub fn is_disconnect(&self) -> bool {
        matches!(self, Self::PartlyWritten | Self::Unanswered | Self::Cut)
    }
}
