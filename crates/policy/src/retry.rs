//! What an upstream failure says about whether the request ran.

/// Whether a request ran upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It certainly did not run.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}
