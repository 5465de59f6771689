//! Exit codes, which scripts may rely on.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed: the declarations, the change or the answer is at fault.
    Failed,
    /// The command line or a setting is at fault.
    Usage,
    /// Another change came first, or the change id is already in use.
    Conflict,
    /// The revision is not in force on every live daemon.
    NotInForce,
    /// No daemon answered, or the command may have been carried out.
    Unknown,
}

impl Exit {
    /// The number of the code.
    #[must_use]
    pub fn number(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::NotInForce => 4,
            Self::Unknown => 5,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.number())
    }
}
