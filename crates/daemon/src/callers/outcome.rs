//! Reports to a caller whether its request ran.

use citron_policy::retry::Fate;
use derive_more::Display;

/// Value of the `Citron-Outcome` header.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The request ran, and this is its answer.
    #[display("done")]
    Done,
    /// The request certainly did not run.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Outcome for the fate of an attempt.
    pub(super) fn of(fate: Fate) -> Self {
        match fate {
            Fate::NotRun => Self::NotRun,
            Fate::Ran => Self::Done,
            Fate::Unknown => Self::Unknown,
        }
    }
}
