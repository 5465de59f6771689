//! The command line.

use std::path::PathBuf;

use citron_policy::id::Revision;
use gumdrop::Options;

/// Arguments besides the settings.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Show this help.
    pub help: bool,
    /// Show the version.
    #[options(short = "V")]
    pub version: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub enum Command {
    /// Form the cluster, once.
    Init(Init),
    /// Make the catalogue what the declarations say.
    Apply(Apply),
    /// Show what apply would change.
    Diff(Diff),
    /// Print the catalogue, or one entry, as declarations.
    Get(Get),
    /// Show daemons, control replicas and the leader.
    Status(Status),
    /// Show what happened to a request or around an entry.
    Explain(Explain),
    /// Wait until a revision is in force on every live daemon.
    Wait(Wait),
    /// Let a new replica count in place of one whose disk is lost.
    ReplaceReplica(ReplaceReplica),
    /// List the requests and parts of prompts marked for crashing runners.
    Marks(Marks),
    /// Lift a mark, so that what it names runs again.
    Release(Release),
    /// Print the digest of an API key read from standard input.
    Key(Key),
}

impl Command {
    /// Whether it needs a daemon, and so a token.
    #[must_use]
    pub fn asks_daemons(&self) -> bool {
        match self {
            Self::Key(_) => false,
            Self::Explain(explain) => explain.log.is_empty(),
            _ => true,
        }
    }
}

/// Arguments of `init`.
#[derive(Debug, Options)]
pub struct Init {
    /// Show this help.
    pub help: bool,
    /// Instances whose data folders count from the start.
    #[options(
        free,
        required,
        help = "INSTANCE… whose data folders count from the start"
    )]
    pub instances: Vec<String>,
}

/// Arguments of `apply`.
#[derive(Debug, Options)]
pub struct Apply {
    /// Show this help.
    pub help: bool,
    /// File or folder of declarations.
    #[options(short = "f", meta = "FILE|DIR", required)]
    pub file: PathBuf,
    /// Wait until the change is in force on every live daemon.
    #[options(no_short)]
    pub wait: bool,
    /// Remove entries that are not declared.
    #[options(no_short)]
    pub prune: bool,
    /// Identity of the change, to resend one.
    #[options(no_short, meta = "ID")]
    pub change_id: Option<String>,
    /// Revision that the change is made against.
    #[options(no_short, meta = "REVISION")]
    pub base: Option<Revision>,
}

/// Arguments of `diff`.
#[derive(Debug, Options)]
pub struct Diff {
    /// Show this help.
    pub help: bool,
    /// File or folder of declarations.
    #[options(short = "f", meta = "FILE|DIR", required)]
    pub file: PathBuf,
    /// Remove entries that are not declared.
    #[options(no_short)]
    pub prune: bool,
}

/// Arguments of `get`.
#[derive(Debug, Options)]
pub struct Get {
    /// Show this help.
    pub help: bool,
    /// Entry as KIND/NAME; all entries if it is left out.
    #[options(free)]
    pub entry: Option<String>,
}

/// Arguments of `status`.
#[derive(Debug, Options)]
pub struct Status {
    /// Show this help.
    pub help: bool,
}

/// Arguments of `explain`.
#[derive(Debug, Options)]
pub struct Explain {
    /// Show this help.
    pub help: bool,
    /// Request in hex, or entry as KIND/NAME.
    #[options(free, required)]
    pub subject: String,
    /// File of logs to read instead of asking the daemons; may be repeated.
    #[options(no_short, meta = "FILE")]
    pub log: Vec<PathBuf>,
}

/// Arguments of `wait`.
#[derive(Debug, Options)]
pub struct Wait {
    /// Show this help.
    pub help: bool,
    /// The revision.
    #[options(free, required)]
    pub revision: Revision,
}

/// Arguments of `replace-replica`.
#[derive(Debug, Options)]
pub struct ReplaceReplica {
    /// Show this help.
    pub help: bool,
    /// Replica whose disk is lost.
    #[options(free, required)]
    pub old: String,
    /// Replica of the new data folder.
    #[options(free, required)]
    pub new: String,
}

/// Arguments of `marks`.
#[derive(Debug, Options)]
pub struct Marks {
    /// Show this help.
    pub help: bool,
}

/// Arguments of `release`.
#[derive(Debug, Options)]
pub struct Release {
    /// Show this help.
    pub help: bool,
    /// Mark in hex, as `marks` and the logs show it.
    #[options(free, required)]
    pub mark: String,
}

/// Arguments of `key`.
#[derive(Debug, Options)]
pub struct Key {
    /// Show this help.
    pub help: bool,
}
