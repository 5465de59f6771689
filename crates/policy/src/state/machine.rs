//! The state machine that applies the commands of the log.

use std::{collections::VecDeque, sync::Arc};

use indexmap::IndexMap;

use super::{Answer, Author, Command, MAX_AUTHORS, Refusal, digest};
use crate::{
    catalogue::{Catalogue, Change},
    crash,
    declaration::Declaration,
    feed::{Step, Update},
    id::{ChangeId, Index, Revision},
    lease,
    ledger::{self, Ledger},
    usage,
};

/// Limits of the state; equal on every replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of stored answers to change ids; the oldest is dropped first.
    ///
    /// An accepted change that is resent after its answer was dropped conflicts,
    /// since its base is no longer the current revision.
    pub answers: usize,
    /// Maximum bytes of stored answers to change ids.
    pub answer_bytes: usize,
    /// Maximum number of changed entries whose author is stored for conflicts.
    pub authors: usize,
    /// Limits of the ledger.
    pub ledger: ledger::Limits,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            answers: 50_000,
            answer_bytes: 16 << 20,
            authors: 4_096,
            ledger: ledger::Limits::default(),
        }
    }
}

/// The stored answer to a change id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRecord {
    /// Digest of the change.
    pub digest: u128,
    /// Its answer.
    pub answer: Result<Revision, Refusal>,
}

impl ChangeRecord {
    /// Estimated bytes of a record without its id and authors.
    const FIXED_BYTES: usize = 96;

    fn bytes(&self, id: &str) -> usize {
        let authors = match &self.answer {
            Err(Refusal::Stale { authors, .. }) => authors
                .iter()
                .map(|it| {
                    Self::FIXED_BYTES + it.key.name.len() + it.operator.len() + it.change.len()
                })
                .sum(),
            Ok(_) | Err(_) => 0,
        };
        Self::FIXED_BYTES + id.len() + authors
    }
}

/// Result of applying one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Answer for whoever submitted it.
    pub answer: Answer,
    /// Update for every daemon, if the command changed what they follow.
    pub update: Option<Update>,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Machine {
    limits: Limits,
    index: Index,
    catalogue: Arc<Catalogue>,
    declaration: Option<Arc<Declaration>>,
    marks: Arc<crash::Table>,
    answer_order: VecDeque<ChangeId>,
    records: IndexMap<ChangeId, ChangeRecord>,
    answer_bytes: usize,
    authors: VecDeque<Author>,
    ledger: Ledger,
    lease: Option<lease::Record>,
    usage: usage::Fixed,
}

impl Machine {
    /// The state before the first command.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            ledger: Ledger::new(limits.ledger),
            limits,
            ..Self::default()
        }
    }

    /// Restores the state from a snapshot.
    #[must_use]
    pub fn restore(limits: Limits, snapshot: Snapshot) -> Self {
        let mut machine = Self {
            index: snapshot.index,
            catalogue: snapshot.catalogue,
            declaration: snapshot.declaration,
            marks: snapshot.marks,
            authors: snapshot.authors.into(),
            ledger: snapshot.ledger,
            lease: snapshot.lease,
            usage: snapshot.usage,
            ..Self::new(limits)
        };
        for (id, record) in snapshot.answers {
            machine.record_answer(id, record);
        }
        machine
    }

    /// Index of the last command applied.
    #[must_use]
    pub fn index(&self) -> Index {
        self.index
    }

    /// The catalogue.
    #[must_use]
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// The declaration in force, if the catalogue is declared as a whole.
    #[must_use]
    pub fn declaration(&self) -> Option<&Arc<Declaration>> {
        self.declaration.as_ref()
    }

    /// Requests known or suspected to crash runners.
    #[must_use]
    pub fn marks(&self) -> &Arc<crash::Table> {
        &self.marks
    }

    /// The at-most-once ledger.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The lease of the duties.
    #[must_use]
    pub fn lease(&self) -> Option<&lease::Record> {
        self.lease.as_ref()
    }

    /// Counts of windows of usage that are fixed.
    #[must_use]
    pub fn usage(&self) -> &usage::Fixed {
        &self.usage
    }

    /// Limits of the state.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Answers to change ids, oldest first.
    pub fn answers(&self) -> impl Iterator<Item = (&ChangeId, &ChangeRecord)> {
        self.answer_order
            .iter()
            .filter_map(|id| self.records.get_key_value(id))
    }

    /// Number of stored answers.
    #[must_use]
    pub fn answers_len(&self) -> usize {
        self.answer_order.len()
    }

    /// Latest changes of entries, oldest first.
    pub fn authors(&self) -> impl Iterator<Item = &Author> {
        self.authors.iter()
    }

    /// Applies the command at an index of the log.
    pub fn apply(&mut self, index: Index, command: &Command) -> Applied {
        self.index = index;
        let step = match command {
            Command::Noop => None,
            Command::Change { change, at } => {
                self.ledger.advance(*at);
                return self.change(index, change);
            }
            Command::Declare(declaration) => return self.declare(index, declaration),
            Command::Claim(claim) => {
                return Applied {
                    answer: Answer::Claim(self.ledger.claim(claim)),
                    update: None,
                };
            }
            Command::Settle(settle) => {
                self.ledger.settle(settle);
                None
            }
            Command::Crash(step) => {
                Arc::make_mut(&mut self.marks).apply(step);
                Some(Step::Crash(step.clone()))
            }
            Command::Lease(step) => {
                step.apply(index, &mut self.lease);
                return Applied {
                    answer: Answer::Lease(self.lease.clone()),
                    update: None,
                };
            }
            Command::Usage(window) => {
                let fixed = self.usage.fix(window).cloned();
                return Applied {
                    answer: Answer::Usage(fixed),
                    update: None,
                };
            }
        };
        Applied {
            answer: Answer::Done,
            update: step.map(|step| Update { index, step }),
        }
    }

    fn declare(&mut self, index: Index, declaration: &Arc<Declaration>) -> Applied {
        let newer = declaration.supersedes(self.declaration.as_deref());
        if newer {
            self.declaration = Some(Arc::clone(declaration));
        }
        let version = self.declaration.as_ref().map_or(0, |it| it.version);
        Applied {
            answer: Answer::Declared(version),
            update: newer.then(|| Update {
                index,
                step: Step::Declare(Arc::clone(declaration)),
            }),
        }
    }

    fn change(&mut self, index: Index, change: &Arc<Change>) -> Applied {
        let digest = digest::of_change(change);
        if let Some(record) = self.records.get(&change.id) {
            let answer = if record.digest == digest {
                record.answer.clone()
            } else {
                let first = record.answer.as_ref().ok().copied();
                Err(Refusal::Reused { first })
            };
            return Applied {
                answer: Answer::Change(answer),
                update: None,
            };
        }
        let answer = self.accept(change);
        let update = answer.is_ok().then(|| Update {
            index,
            step: Step::Change(Arc::clone(change)),
        });
        let record = ChangeRecord {
            digest,
            answer: answer.clone(),
        };
        self.record_answer(change.id.clone(), record);
        Applied {
            answer: Answer::Change(answer),
            update,
        }
    }

    /// Applies a change whose base is the current revision.
    fn accept(&mut self, change: &Change) -> Result<Revision, Refusal> {
        let current = self.catalogue.revision;
        if change.base != current {
            return Err(Refusal::Stale {
                current,
                authors: self.authors_since(change.base),
            });
        }
        let next = self.catalogue.apply(change).map_err(Refusal::Invalid)?;
        let revision = next.revision;
        self.catalogue = Arc::new(next);
        self.record_authors(change, revision);
        Ok(revision)
    }

    fn authors_since(&self, base: Revision) -> Vec<Author> {
        let newest = self.authors.iter().rev();
        newest
            .take_while(|it| it.revision > base)
            .take(MAX_AUTHORS)
            .cloned()
            .collect()
    }

    fn record_authors(&mut self, change: &Change, revision: Revision) {
        let puts = change.puts.iter().map(crate::catalogue::Entry::key);
        for key in puts.chain(change.removes.iter().cloned()) {
            if self.authors.len() >= self.limits.authors {
                self.authors.pop_front();
            }
            self.authors.push_back(Author {
                key,
                operator: change.operator.clone(),
                change: change.id.clone(),
                revision,
            });
        }
    }

    fn record_answer(&mut self, id: ChangeId, record: ChangeRecord) {
        self.answer_bytes += record.bytes(&id);
        self.answer_order.push_back(id.clone());
        self.records.insert(id, record);
        while self.answer_order.len() > self.limits.answers
            || self.answer_bytes > self.limits.answer_bytes
        {
            let Some(oldest) = self.answer_order.pop_front() else {
                break;
            };
            if let Some(record) = self.records.swap_remove(&oldest) {
                self.answer_bytes -= record.bytes(&oldest);
            }
        }
    }
}

/// The content of a [`Machine`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Index of the last command applied.
    pub index: Index,
    /// The catalogue.
    pub catalogue: Arc<Catalogue>,
    /// The declaration in force.
    pub declaration: Option<Arc<Declaration>>,
    /// Requests known or suspected to crash runners.
    pub marks: Arc<crash::Table>,
    /// Answers to change ids, oldest first.
    pub answers: Vec<(ChangeId, ChangeRecord)>,
    /// Latest changes of entries, oldest first.
    pub authors: Vec<Author>,
    /// The ledger.
    pub ledger: Ledger,
    /// The lease of the duties.
    pub lease: Option<lease::Record>,
    /// Counts of windows of usage that are fixed.
    pub usage: usage::Fixed,
}
