//! What may be buffered for callers and runners, within one bound.
//!
//! Load pattern: many answers grow at the same time, as when most runners of a service
//! fail with bodies that never end, or many callers send large requests at once. Each
//! is within its own limit, and their sum ends the process.
//!
//! The more can be saved by giving something up, the sooner it is given up. The body
//! of a failure is worth least: the caller can be told without it. A request that has
//! not been read yet can go to another daemon. A success has cost a runner's work, and
//! may be the only answer that there will ever be; of these, the large ones go first,
//! since one of them takes the room of thousands of small ones.

/// Part of the bound that failures may fill.
const FAILURE_SHARE: u64 = 4;

/// Part of the bound that is kept free of requests, for the answers to those that are
/// buffered already.
const ANSWER_SHARE: u64 = 4;

/// Part of the bound that is kept free of large answers, for the small ones.
const SMALL_ANSWER_SHARE: u64 = 8;

/// Largest of the small answers, in bytes.
const SMALL_ANSWER: u64 = 64 << 10;

/// What is buffered, in the order in which it is given up.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
pub enum Kind {
    /// Body of a runner's failure.
    Failure,
    /// Body of a caller's request.
    Request,
    /// A runner's success, or a part of it.
    Answer,
}

/// Bytes that are buffered, by kind, and their bound.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: u64,
    failures: u64,
    requests: u64,
    answers: u64,
}

impl Budget {
    /// An empty budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            failures: 0,
            requests: 0,
            answers: 0,
        }
    }

    /// Takes room for more bytes beside those that the same buffer holds already; false
    /// if there is none for this kind.
    #[must_use]
    pub fn take(&mut self, kind: Kind, held: u64, more: u64) -> bool {
        let is_small = held.saturating_add(more) <= SMALL_ANSWER;
        let kept_free = match kind {
            Kind::Request => self.limit / ANSWER_SHARE,
            Kind::Answer if !is_small => self.limit / SMALL_ANSWER_SHARE,
            Kind::Failure | Kind::Answer => 0,
        };
        let failures = self.failures.saturating_add(more);
        let fits = self.total().saturating_add(more) <= self.limit - kept_free
            && (kind != Kind::Failure || failures <= self.limit / FAILURE_SHARE);
        if fits {
            *self.used(kind) += more;
        }
        fits
    }

    /// Gives back room that was taken.
    pub fn give_back(&mut self, kind: Kind, bytes: u64) {
        let used = self.used(kind);
        debug_assert!(*used >= bytes, "room that was taken");
        *used = used.saturating_sub(bytes);
    }

    /// Bytes of a kind.
    #[must_use]
    pub fn bytes(&self, kind: Kind) -> u64 {
        match kind {
            Kind::Failure => self.failures,
            Kind::Request => self.requests,
            Kind::Answer => self.answers,
        }
    }

    /// Bytes of all kinds.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.failures + self.requests + self.answers
    }

    fn used(&mut self, kind: Kind) -> &mut u64 {
        match kind {
            Kind::Failure => &mut self.failures,
            Kind::Request => &mut self.requests,
            Kind::Answer => &mut self.answers,
        }
    }
}
