//! Persistence of one replica's Raft state.

use std::{fmt, sync::Arc};

use citron_journal::{Error as JournalError, Files, Journal, Record};
use citron_policy::{
    raft::{Effect, Entry, Stored},
    state::{Limits, Machine},
};
use citron_wire::control;

use super::Error;

/// The journal of one replica, which stores Raft entries and snapshots.
#[derive(Debug)]
pub struct Store<F>
where
    F: Files,
{
    journal: Journal<F>,
}

impl<F> Store<F>
where
    F: Files,
{
    /// Opens a data folder; returns what it holds, and the state of its snapshot.
    ///
    /// # Errors
    /// When the folder is damaged or cannot be written; the text names the remedy.
    pub fn open(files: F, limits: Limits) -> Result<(Self, Stored, Machine), Error> {
        let settings = citron_journal::Settings::default();
        let (journal, recovered) =
            Journal::open(settings, files, rand::random()).map_err(open_error)?;
        let hard = control::decode_hard(&recovered.hard).map_err(open_error)?;
        let mut machine = Machine::new(limits);
        let mut snapshot = None;
        if let Some(kept) = recovered.snapshot {
            let kept = control::decode_snapshot(&kept.data).map_err(open_error)?;
            machine = control::decode_machine(limits, &kept.data).map_err(open_error)?;
            snapshot = Some(Arc::new(kept));
        }
        let entries = recovered
            .records
            .iter()
            .map(|it| control::decode_entry(&it.data).map(Arc::new));
        let stored = Stored {
            id: recovered.id,
            hard,
            snapshot,
            entries: entries.collect::<Result<_, _>>().map_err(open_error)?,
        };
        Ok((Self { journal }, stored, machine))
    }

    /// Writes the effects that need persistence, with one sync; false if there are none.
    ///
    /// # Errors
    /// When the disk failed: the effects, and anything after them, must not be carried out.
    pub fn persist(&mut self, effects: &[Effect]) -> Result<bool, JournalError> {
        let mut staged = false;
        for effect in effects {
            match effect {
                Effect::SaveHard(hard) => self.journal.save_hard(&control::encode_hard(hard))?,
                Effect::Append(entries) => self.journal.append(&records_of(entries))?,
                Effect::SaveSnapshot(snapshot) => {
                    let data = control::encode_snapshot(snapshot);
                    self.journal.save_snapshot(snapshot.index, &data)?;
                }
                Effect::Install(snapshot) => {
                    let data = control::encode_snapshot(snapshot);
                    self.journal.install_snapshot(snapshot.index, &data)?;
                }
                _ => continue,
            }
            staged = true;
        }
        if staged {
            self.journal.sync()?;
        }
        Ok(staged)
    }
}

fn records_of(entries: &[Arc<Entry>]) -> Vec<Record> {
    let records = entries.iter().map(|entry| Record {
        index: entry.index,
        data: control::encode_entry(entry),
    });
    records.collect()
}

fn open_error<E>(error: E) -> Error
where
    E: fmt::Display,
{
    Error::Refused {
        reason: error.to_string(),
    }
}
