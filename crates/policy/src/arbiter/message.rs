//! What daemons and an arbiter say to each other about slots.
//!
//! Requests of one daemon to one arbiter keep their order; replies may be lost
//! or come late. Whatever gets lost is mended by the heartbeat: it carries a
//! digest of all tickets, and a mismatch makes the arbiter ask for the list.

use std::{net::SocketAddr, time::Duration};

use derive_more::{Display, Error};

use crate::{
    crash,
    id::{AccountId, ClassId, Epoch, Fingerprint, InstanceId, RunnerId},
};

/// Number of one ask at the daemon that asks.
pub type Ticket = u64;

/// One request that needs a slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// Its number at the asker.
    pub ticket: Ticket,
    /// Its class.
    pub class: ClassId,
    /// Account that pays for it.
    pub account: AccountId,
    /// Digest of account and body.
    pub fingerprint: Fingerprint,
    /// Digest of the prompt's beginning, or zero.
    pub prefix: u64,
    /// Time left until its deadline.
    pub remaining: Duration,
    /// Time that it has waited already.
    pub waited: Duration,
    /// Runners that failed it already.
    pub avoid: Vec<RunnerId>,
    /// Whether it goes on where an earlier slot left off.
    pub resume: bool,
    /// Whether its asker suspects it of crashing runners.
    pub suspected: bool,
    /// Tier in place of the class's.
    pub tier: Option<u8>,
    /// Parts of the prompt, in order; empty where there is none.
    pub prompt: Vec<Part>,
    /// Most tokens that the answer may have.
    pub output: u32,
}

/// One part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Identity of its content.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// A slot in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The ask that it answered.
    pub ask: Ask,
    /// Runner in use.
    pub runner: RunnerId,
    /// Whether the request must be the only one there.
    pub alone: bool,
    /// Time since the grant.
    pub age: Duration,
}

/// How the work of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer came.
    Done,
    /// The caller left.
    Cancelled,
    /// The runner refused before running.
    Refused,
    /// The runner's connection broke mid-exchange.
    Broken,
    /// The deadline passed on the runner.
    Late,
    /// The arbiter wanted the slot back.
    Preempted,
}

/// What was seen while a slot was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// How it ended.
    pub end: End,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub between_tokens: Option<Duration>,
    /// Time of the whole exchange.
    pub whole: Duration,
    /// Tokens received.
    pub tokens: u32,
}

impl Sample {
    /// A slot that was not used.
    #[must_use]
    pub fn unused() -> Self {
        Self {
            end: End::Cancelled,
            first_token: None,
            between_tokens: None,
            whole: Duration::ZERO,
            tokens: 0,
        }
    }
}

/// What one asker's running streams see of one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The runner.
    pub runner: RunnerId,
    /// Longest time that a stream there has waited for its first token.
    pub silent: Duration,
    /// Mean time between tokens since the last heartbeat.
    pub between_tokens: Option<Duration>,
}

/// Renews an asker's tickets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Beat {
    /// Number of tickets that wait or hold a slot.
    pub count: u32,
    /// Exclusive or of their mixed numbers.
    pub digest: u64,
    /// What the running streams see.
    pub progress: Vec<Progress>,
}

/// Everything that an asker waits for and holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recital {
    /// Tickets that wait.
    pub waiting: Vec<Ticket>,
    /// Slots in use.
    pub held: Vec<Hold>,
    /// Requests suspected by what this asker saw.
    pub suspected: Vec<Fingerprint>,
    /// Requests quarantined by what this asker saw.
    pub quarantined: Vec<Fingerprint>,
}

/// What an asker says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Needs a slot.
    Ask(Ask),
    /// Needs it no more.
    Withdraw(Ticket),
    /// Tells that the answer has begun, so that the prompt was read.
    Begun(Ticket),
    /// Gives a slot back.
    Release(Ticket, Sample),
    /// Is alive.
    Beat(Beat),
    /// Lists what it waits for and holds.
    Recital(Recital),
}

/// Why no slot was given; final, and given at once.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Refusal {
    /// Higher tiers or older requests need the capacity.
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
    /// The request crashed runners and will not run again.
    #[display("this request crashed runners and is quarantined: change it, or ask its operator")]
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
    /// No arbiter could be reached.
    #[display("no arbiter answers for the service: come back in {retry_after:?}")]
    Unreachable {
        /// When to come back.
        retry_after: Duration,
    },
}

/// What an arbiter says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The ask waits in the queue.
    Queued(Ticket),
    /// The ask may run.
    Grant {
        /// The ask.
        ticket: Ticket,
        /// Runner to use.
        runner: RunnerId,
        /// Whether the request must be the only one there.
        alone: bool,
        /// Address of the runner, as the arbiter knows it.
        address: Option<SocketAddr>,
    },
    /// The ask is given up.
    Refused(Ticket, Refusal),
    /// The slot is wanted back.
    Preempt(Ticket),
    /// The heartbeat was taken in.
    Beat,
    /// The asker must list what it waits for and holds.
    Recite,
    /// These waiting tickets are not known: ask again.
    Unknown(Vec<Ticket>),
    /// A crash mark that is on its way to the control log.
    Mark(crash::Step),
    /// This daemon is not the arbiter.
    Moved {
        /// Who is, as far as it knows.
        to: Option<InstanceId>,
    },
}

/// A request with its envelope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Lowest epoch whose grants the asker takes.
    pub least: Epoch,
    /// Whether the daemons ranked before this one did not answer.
    pub fallback: bool,
    /// What it says.
    pub request: Request,
}

/// Mixes a ticket for the digest of a heartbeat.
#[must_use]
pub fn ticket_hash(ticket: Ticket) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&ticket.to_le_bytes())
}
