//! What a caller is told about whether its request ran.

use citron_policy::retry::Fate;
use derive_more::Display;

/// Value of the `Citron-Outcome` header.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It ran, and this is its answer.
    #[display("done")]
    Done,
    /// It certainly did not run.
    #[display("not-run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// The outcome after attempts that ended so.
    pub(super) fn of(fate: Fate) -> Self {
        match fate {
            Fate::NotRun => Self::NotRun,
            Fate::Ran => Self::Done,
            Fate::Unknown => Self::Unknown,
        }
    }
}
