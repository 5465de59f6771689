//! What a replica keeps on its disk.

use std::{fmt, sync::Arc};

use citron_journal::{Error as Fault, Files, Journal, Record};
use citron_policy::{
    raft::{Effect, Entry, Stored},
    state::{Limits, Machine},
};
use citron_wire::control;

use super::Error;

/// The journal of one replica, in the terms of the log.
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
    /// Opens a folder; gives what it held, and the state of its snapshot.
    ///
    /// # Errors
    /// When the folder is damaged or cannot be written; the text names the remedy.
    pub fn open(files: F, limits: Limits) -> Result<(Self, Stored, Machine), Error> {
        let settings = citron_journal::Settings::default();
        let (journal, recovered) =
            Journal::open(settings, files, rand::random()).map_err(refused)?;
        let hard = control::decode_hard(&recovered.hard).map_err(refused)?;
        let mut machine = Machine::new(limits);
        let mut snapshot = None;
        if let Some(kept) = recovered.snapshot {
            let kept = control::decode_snapshot(&kept.data).map_err(refused)?;
            machine = control::decode_machine(limits, &kept.data).map_err(refused)?;
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
            entries: entries.collect::<Result<_, _>>().map_err(refused)?,
        };
        Ok((Self { journal }, stored, machine))
    }

    /// Makes durable whatever of the effects persists, with one sync; false if nothing does.
    ///
    /// # Errors
    /// The disk failed: nothing that follows may be carried out.
    pub fn persist(&mut self, effects: &[Effect]) -> Result<bool, Fault> {
        let mut staged = false;
        for effect in effects {
            match effect {
                Effect::SaveHard(hard) => self.journal.save_hard(&control::encode_hard(hard))?,
                Effect::Append(entries) => self.journal.append(&records_of(entries))?,
                Effect::SaveSnapshot(snapshot) => {
                    let data = control::encode_snapshot(snapshot);
                    self.journal.snapshot(snapshot.index, &data)?;
                }
                Effect::Install(snapshot) => {
                    let data = control::encode_snapshot(snapshot);
                    self.journal.install(snapshot.index, &data)?;
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

fn refused<E>(error: E) -> Error
where
    E: fmt::Display,
{
    Error::Refused {
        reason: error.to_string(),
    }
}
