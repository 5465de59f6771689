//! Messages between daemons and an arbiter about slots.
//!
//! Requests from one daemon to one arbiter arrive in order; replies may be lost
//! or delayed. The heartbeat repairs any loss: it carries a digest of all tickets,
//! and on a mismatch the arbiter asks for the full list.

use std::{net::SocketAddr, time::Duration};

use derive_more::{Display, Error};

use super::{Rate, search};
use crate::{
    crash,
    id::{AccountId, BuildId, ClassId, Epoch, Fingerprint, InstanceId, PartId, RunnerId, StreamId},
    stream::{Group, Stream},
};

/// Number of an ask, unique at the daemon that sends it.
pub type Ticket = u64;

/// One request that needs a slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// Its number at the asker.
    pub ticket: Ticket,
    /// Its class.
    pub class: ClassId,
    /// Account that it is charged to.
    pub account: AccountId,
    /// Digest of account and body.
    pub fingerprint: Fingerprint,
    /// Digest of the prompt's prefix, or zero.
    pub prefix: u64,
    /// Time left until its deadline.
    pub remaining: Duration,
    /// Time that it has already waited.
    pub waited: Duration,
    /// Runners on which it has already failed.
    pub avoid: Vec<RunnerId>,
    /// Whether it resumes work that an earlier slot began.
    pub resume: bool,
    /// Whether its asker suspects it of crashing runners.
    pub suspected: bool,
    /// Tier that overrides the one of its class.
    pub tier: Option<u8>,
    /// Parts of the prompt, in order; empty if there is no prompt.
    pub prompt: Vec<Part>,
    /// Most tokens that the answer may have.
    pub output: u32,
    /// The stream that it begins or goes on with, if its answer is one.
    pub stream: Option<Stream>,
}

/// One part of a prompt; other requests may contain the same part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Identity of its content.
    pub id: PartId,
    /// Its length.
    pub tokens: u32,
}

/// A slot in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The ask that it was granted for.
    pub ask: Ask,
    /// Its runner.
    pub runner: RunnerId,
    /// Version of the runner's software, empty if the asker does not tell it.
    pub build: BuildId,
    /// Whether the request must be the only one on the runner.
    pub alone: bool,
    /// Time since the grant.
    pub age: Duration,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer was received.
    Done,
    /// The caller cancelled or disconnected.
    Cancelled,
    /// The runner refused the request before running it.
    Refused,
    /// No connection to the runner was established.
    Unreachable,
    /// The runner's connection broke mid-exchange.
    Broken,
    /// The deadline passed while the runner worked.
    Late,
    /// The arbiter preempted it.
    Preempted,
}

/// Measurements of one use of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// How it ended.
    pub end: End,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub between_tokens: Option<Duration>,
    /// Duration of the whole exchange.
    pub whole: Duration,
    /// Tokens received.
    pub tokens: u32,
    /// Whether the runner answered without naming a limit on requests per second.
    pub unlimited: bool,
    /// Longest time between two events of a stream.
    pub longest_pause: Option<Duration>,
    /// Load that the runner named in its answer.
    pub report: Option<Report>,
}

/// Load of a runner, as it names it itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests that wait for a slot there.
    pub waiting: u32,
    /// Its slots.
    pub slots: u32,
    /// Service time in percent of the usual one of that machine, if it names it.
    pub percent: Option<u32>,
}

/// Load of a runner and the time since it was received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The load.
    pub load: Load,
    /// Time since it was received.
    pub age: Duration,
}

impl Sample {
    /// The sample of a slot that was not used.
    #[must_use]
    pub fn unused() -> Self {
        Self {
            end: End::Cancelled,
            first_token: None,
            between_tokens: None,
            whole: Duration::ZERO,
            tokens: 0,
            unlimited: false,
            longest_pause: None,
            report: None,
        }
    }
}

/// Progress of one asker's streams on one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The runner.
    pub runner: RunnerId,
    /// Longest time that a stream has waited for its first token.
    pub silent: Duration,
    /// Mean time between tokens since the last heartbeat.
    pub between_tokens: Option<Duration>,
}

/// Heartbeat that renews an asker's lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Number of tickets that are queued or hold a slot.
    pub count: u32,
    /// Exclusive or of their [`ticket_hash`]es.
    pub digest: u64,
    /// Progress of the running streams, by runner.
    pub progress: Vec<Progress>,
}

/// Full list of an asker's queued tickets and held slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    /// Queued tickets.
    pub waiting: Vec<Ticket>,
    /// Held slots.
    pub held: Vec<Hold>,
    /// Requests that this asker saw in flight at one crash.
    pub exposed: Vec<Fingerprint>,
    /// Requests that this asker's observations made suspects.
    pub suspected: Vec<Fingerprint>,
    /// Requests that this asker's observations put in quarantine.
    pub quarantined: Vec<Fingerprint>,
    /// Limits that runners named to this asker lately.
    pub limits: Vec<(RunnerId, Rate)>,
    /// Runners that said lately that they are brittle.
    pub brittle: Vec<(RunnerId, u32)>,
    /// Builds that began the streams of this asker.
    pub streams: Vec<Group>,
}

/// Request of an asker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Asks for a slot.
    Ask(Ask),
    /// Withdraws an ask, whether it is queued or granted.
    Withdraw(Ticket),
    /// Reports that the answer has begun, so the runner has read the prompt.
    Begun(Ticket),
    /// Releases a slot.
    Release(Ticket, Sample),
    /// Reports the limit that a runner names in an answer.
    Limit(RunnerId, Rate),
    /// Reports how many requests in a second a runner says it can turn away.
    Brittle(RunnerId, u32),
    /// Heartbeat.
    Heartbeat(Heartbeat),
    /// Lists all queued tickets and held slots.
    Inventory(Inventory),
    /// Builds that began the streams of a search, as far as they are known here.
    Found(search::Number, Vec<Group>),
}

/// Why an ask was refused; final, and sent without delay.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Refusal {
    /// Higher tiers or older requests take the capacity.
    #[display("no capacity for this class now: come back in {retry_after:?}")]
    Shed {
        /// When to come back.
        retry_after: Duration,
    },
    /// The service has no usable runner.
    #[display("no runner of the service can take the request: come back in {retry_after:?}")]
    NoRunner {
        /// When to come back.
        retry_after: Duration,
    },
    /// The request crashed runners and is not run again.
    #[display(
        "this request, or a part of its prompt, crashed runners and is quarantined: change it, \
         or ask its operator"
    )]
    Quarantined,
    /// The account is at its limit.
    #[display("the account is at its limit: come back in {retry_after:?}")]
    Account {
        /// When to come back.
        retry_after: Duration,
    },
    /// The deadline passed.
    #[display("the deadline passed while the request waited: allow it more time")]
    Late,
    /// The build that began the stream is not known.
    #[display(
        "it is not known which version of the runners began the stream: start it anew, or come \
         back in {retry_after:?}"
    )]
    UnknownBuild {
        /// When it may be known.
        retry_after: Duration,
    },
    /// No runner of the build that began the stream is left.
    #[display("no runner of version {build:?}, which began the stream, is left: start it anew")]
    NoBuild {
        /// The build.
        build: BuildId,
    },
    /// No arbiter could be reached, or it has no room for another asker.
    #[display("no arbiter answers for the service: come back in {retry_after:?}")]
    Unreachable {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Reply of an arbiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The ask is queued.
    Queued(Ticket),
    /// A slot is granted.
    Grant {
        /// The ask.
        ticket: Ticket,
        /// Runner to use.
        runner: RunnerId,
        /// Whether the request must be the only one on the runner.
        alone: bool,
        /// Address of the runner, if the arbiter knows it.
        address: Option<SocketAddr>,
        /// Version of the runner's software.
        build: BuildId,
    },
    /// The ask is refused.
    Refused(Ticket, Refusal),
    /// The slot is preempted; its holder must release it.
    Preempt(Ticket),
    /// Acknowledges a heartbeat.
    Ack,
    /// The asker must send its [`Inventory`].
    RequestInventory,
    /// The daemon must tell which builds began these streams, as far as it knows.
    FindStreams {
        /// Number of the search.
        search: search::Number,
        /// The streams.
        streams: Vec<StreamId>,
    },
    /// These queued tickets are unknown here; ask again.
    Unknown(Vec<Ticket>),
    /// A crash mark that is being proposed to the control log.
    Mark(crash::Step),
    /// Records for this daemon to keep for the next arbiter.
    Streams(Vec<Group>),
    /// This daemon is not the arbiter.
    Moved {
        /// The daemon that hosts it, if known.
        to: Option<InstanceId>,
    },
}

/// A request with its envelope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Lowest epoch whose grants the asker accepts.
    pub least: Epoch,
    /// Whether the daemons ranked before this one did not answer.
    pub fallback: bool,
    /// The request.
    pub request: Request,
}

/// Hash of a ticket, for the digest of a heartbeat.
#[must_use]
pub fn ticket_hash(ticket: Ticket) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&ticket.to_le_bytes())
}
