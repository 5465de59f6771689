//! The records of the ledger and their expiry times.

use std::{collections::BTreeMap, sync::Arc, time::SystemTime};

use indexmap::IndexMap;

use super::{Claim, Key, Limits, MAX_ATTEMPT, MAX_STORED_BYTES, Outcome, Settle, Stored, Verdict};
use crate::id::{AttemptId, Fingerprint};

/// Bytes reserved for the answer of an open claim: the largest body and content type.
const OPEN_BYTES: usize = MAX_STORED_BYTES + MAX_CONTENT_TYPE_BYTES;

/// Maximum length of a stored content type in bytes.
const MAX_CONTENT_TYPE_BYTES: usize = 256;

/// Estimated bytes of a record without key and answer, including allocator overhead.
const RECORD_BYTES: usize = 400;

/// Maximum number of attempts that a record lists as not run.
const MAX_FREED_ATTEMPTS: usize = 8;

/// State of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// An attempt may be running.
    Open {
        /// That attempt.
        attempt: AttemptId,
        /// Latest end of the attempt.
        deadline: SystemTime,
    },
    /// The call ran, with this answer.
    Done {
        /// The attempt that ran.
        attempt: AttemptId,
        /// Its answer.
        stored: Arc<Stored>,
    },
    /// The call may have run.
    Unknown {
        /// The attempt that may have run.
        attempt: AttemptId,
    },
    /// No attempt ran; the key may be claimed.
    Free,
}

/// The record of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Digest that the key is bound to.
    pub digest: Fingerprint,
    /// State of the key.
    pub state: State,
    /// Time at which an open claim becomes unknown, or any other record is dropped.
    pub due: SystemTime,
    /// Attempts that were settled as not run, the latest last.
    pub freed: Vec<AttemptId>,
}

/// The records of all known keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    limits: Limits,
    records: IndexMap<Arc<Key>, Record>,
    /// Keys by expiry time; the number distinguishes equal times.
    due: BTreeMap<(SystemTime, u64), Arc<Key>>,
    next_due_number: u64,
    bytes: usize,
    clock: Option<SystemTime>,
}

impl Ledger {
    /// An empty ledger.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Rebuilds a ledger from a snapshot.
    #[must_use]
    pub fn from_records<I>(limits: Limits, clock: Option<SystemTime>, records: I) -> Self
    where
        I: IntoIterator<Item = (Key, Record)>,
    {
        let mut ledger = Self {
            clock,
            ..Self::new(limits)
        };
        for (key, record) in records {
            ledger.insert(Arc::new(key), record);
        }
        ledger
    }

    /// All records in order of expiry.
    pub fn records(&self) -> impl Iterator<Item = (&Key, &Record)> {
        self.due
            .values()
            .filter_map(|key| self.records.get(key).map(|record| (key.as_ref(), record)))
    }

    /// Latest stamp of any command.
    #[must_use]
    pub fn clock(&self) -> Option<SystemTime> {
        self.clock
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the ledger has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Estimated bytes, including space reserved for the answers of open claims.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Advances the clock, never back, and processes the records that are due.
    pub fn advance(&mut self, at: SystemTime) {
        let clock = self.clock.map_or(at, |clock| clock.max(at));
        self.clock = Some(clock);
        while let Some(entry) = self.due.first_entry()
            && entry.key().0 <= clock
        {
            let key = entry.remove();
            self.on_expiry(key);
        }
    }

    /// Applies a claim.
    pub fn claim(&mut self, claim: &Claim) -> Verdict {
        self.advance(claim.at);
        let known = self.records.get(&claim.key);
        if let Some(record) = known
            && let Some(verdict) = verdict_of(record, claim)
        {
            return verdict;
        }
        let freed = known.map(|it| it.freed.clone()).unwrap_or_default();
        if !self.has_room(&claim.key) {
            return Verdict::Full;
        }
        let latest = self.clock_at(claim.at) + MAX_ATTEMPT;
        let deadline = claim.deadline.min(latest);
        let record = Record {
            digest: claim.digest,
            state: State::Open {
                attempt: claim.attempt,
                deadline,
            },
            due: deadline,
            freed,
        };
        self.insert(Arc::new(claim.key.clone()), record);
        // A claim whose deadline has passed expires before the claimant can run anything.
        self.advance(claim.at);
        match self.records.get(&claim.key).map(|it| &it.state) {
            Some(State::Open { .. }) => Verdict::Run,
            _ => Verdict::Unknown,
        }
    }

    /// Applies the end of an attempt; an end that contradicts the record is ignored.
    pub fn settle(&mut self, settle: &Settle) {
        self.advance(settle.at);
        let clock = self.clock_at(settle.at);
        let kept = clock + self.limits.retention;
        let attempt = settle.attempt;
        let Some(record) = self.records.get_mut(&settle.key) else {
            if settle.outcome == Outcome::NotRun {
                self.record_early_release(settle, clock);
            }
            return;
        };
        let state = match (&record.state, &settle.outcome) {
            (State::Open { attempt: open, .. }, outcome) if *open != attempt => {
                if *outcome == Outcome::NotRun {
                    add_freed_attempt(&mut record.freed, attempt);
                }
                return;
            }
            (State::Open { .. } | State::Free, Outcome::NotRun) => State::Free,
            (State::Open { .. }, Outcome::Unknown) => State::Unknown { attempt },
            (State::Open { .. }, Outcome::Done(stored)) => done_state(attempt, stored),
            (State::Unknown { attempt: unknown }, Outcome::Done(stored))
                if *unknown == attempt && self.bytes + stored.bytes() <= self.limits.bytes =>
            {
                done_state(attempt, stored)
            }
            (State::Unknown { .. } | State::Done { .. } | State::Free, _) => return,
        };
        let free = state == State::Free;
        let mut record = record.clone();
        record.state = state;
        record.due = if free {
            clock + self.limits.freed_retention
        } else {
            kept
        };
        if free {
            add_freed_attempt(&mut record.freed, attempt);
        }
        self.insert(Arc::new(settle.key.clone()), record);
    }

    /// The verdict that a claim of this key would get; none if the key may be claimed.
    #[must_use]
    pub fn lookup(&self, now: SystemTime, key: &Key, digest: Fingerprint) -> Option<Verdict> {
        let record = self.records.get(key)?;
        match &record.state {
            State::Free => None,
            _ if record.digest != digest => Some(Verdict::Mismatch),
            State::Open { deadline, .. } if *deadline <= self.clock_at(now) => {
                Some(Verdict::Unknown)
            }
            State::Open { deadline, .. } => Some(Verdict::InProgress {
                deadline: *deadline,
            }),
            State::Done { stored, .. } => Some(Verdict::Stored(stored.as_ref().clone())),
            State::Unknown { .. } => Some(Verdict::Unknown),
        }
    }

    fn clock_at(&self, at: SystemTime) -> SystemTime {
        self.clock.map_or(at, |clock| clock.max(at))
    }

    /// Records an attempt that was given up before its claim reached the log.
    ///
    /// Its claim may still arrive and must not run.
    fn record_early_release(&mut self, settle: &Settle, clock: SystemTime) {
        if !self.has_room(&settle.key) {
            return;
        }
        let record = Record {
            digest: 0,
            state: State::Free,
            due: clock + self.limits.freed_retention,
            freed: vec![settle.attempt],
        };
        self.insert(Arc::new(settle.key.clone()), record);
    }

    /// Whether a claim of this key fits the limits.
    fn has_room(&self, key: &Key) -> bool {
        let known = self.records.contains_key(key);
        let records = known || self.records.len() < self.limits.records;
        records && self.has_bytes(OPEN_BYTES + RECORD_BYTES + 2 * key_bytes(key))
    }

    fn has_bytes(&self, more: usize) -> bool {
        self.bytes + more <= self.limits.bytes
    }

    fn insert(&mut self, key: Arc<Key>, record: Record) {
        self.remove(&key);
        self.bytes += bytes_of(&key, &record);
        self.due
            .insert((record.due, self.next_due_number), Arc::clone(&key));
        self.next_due_number += 1;
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: &Key) -> Option<Record> {
        let (key, record) = self.records.swap_remove_entry(key)?;
        self.bytes -= bytes_of(&key, &record);
        let due = self
            .due
            .range((record.due, 0)..=(record.due, u64::MAX))
            .find(|(_, it)| **it == key)
            .map(|(due, _)| *due);
        if let Some(due) = due {
            self.due.remove(&due);
        }
        Some(record)
    }

    /// Makes an open claim unknown; drops any other record.
    fn on_expiry(&mut self, key: Arc<Key>) {
        let Some(mut record) = self.remove(&key) else {
            return;
        };
        if let State::Open { attempt, .. } = record.state {
            record.state = State::Unknown { attempt };
            record.due += self.limits.retention;
            self.insert(key, record);
        }
    }
}

/// The verdict on a claim of a known key; none if it may be claimed.
fn verdict_of(record: &Record, claim: &Claim) -> Option<Verdict> {
    let freed = record.freed.contains(&claim.attempt);
    match &record.state {
        // A delayed copy of a claim whose attempt was given up must not run.
        State::Free if freed => Some(Verdict::Unknown),
        State::Free => None,
        _ if record.digest != claim.digest => Some(Verdict::Mismatch),
        State::Open { attempt, .. } if *attempt == claim.attempt => Some(Verdict::Run),
        State::Open { deadline, .. } => Some(Verdict::InProgress {
            deadline: *deadline,
        }),
        State::Done { stored, .. } => Some(Verdict::Stored(stored.as_ref().clone())),
        State::Unknown { .. } => Some(Verdict::Unknown),
    }
}

fn done_state(attempt: AttemptId, stored: &Stored) -> State {
    let fits = stored.body.len() <= MAX_STORED_BYTES
        && stored.content_type.len() <= MAX_CONTENT_TYPE_BYTES;
    if !fits {
        return State::Unknown { attempt };
    }
    State::Done {
        attempt,
        stored: Arc::new(stored.clone()),
    }
}

fn add_freed_attempt(freed: &mut Vec<AttemptId>, attempt: AttemptId) {
    if freed.contains(&attempt) {
        return;
    }
    if freed.len() >= MAX_FREED_ATTEMPTS {
        freed.remove(0);
    }
    freed.push(attempt);
}

fn key_bytes(key: &Key) -> usize {
    key.account.len() + key.name.len()
}

fn bytes_of(key: &Key, record: &Record) -> usize {
    let answer = match &record.state {
        State::Open { .. } => OPEN_BYTES,
        State::Done { stored, .. } => stored.bytes(),
        State::Unknown { .. } | State::Free => 0,
    };
    RECORD_BYTES + key_bytes(key) + answer
}
