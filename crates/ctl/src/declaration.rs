//! Declarations of catalogue entries in TOML files.
//!
//! A file holds any number of `[[account]]`, `[[class]]` and `[[service]]`
//! tables with the fields of `citron_policy::catalogue`. Reading never stops at
//! the first fault: each one is reported with its file, line, entry and remedy.

mod fault;
mod field;
mod files;
mod parse;

use std::path::{Path, PathBuf};

use citron_policy::catalogue::{Entry, Key};
use indexmap::IndexMap;

pub use fault::{Fault, Faults, Reason};
pub use parse::parse;

/// Where an entry or a fault stands.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
#[display("{}:{line}", file.display())]
pub struct Place {
    /// The file.
    pub file: PathBuf,
    /// The line, from one.
    pub line: usize,
}

/// An entry with the place where it is declared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Declared {
    /// The entry.
    pub entry: Entry,
    /// Where it stands.
    pub place: Place,
}

/// All declared entries by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Declaration {
    /// Entries in the order of the files.
    pub entries: IndexMap<Key, Declared>,
}

impl Declaration {
    /// Reads a file, or every `.toml` file of a folder and its subfolders.
    ///
    /// # Errors
    /// Every fault of all files.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        let mut faults = Vec::new();
        let mut declared = Vec::new();
        for file in files::list(path, &mut faults) {
            if let Some(text) = files::read(&file, &mut faults) {
                declared.extend(parse(&file, &text, &mut faults));
            }
        }
        let declaration = Self::collect(declared, &mut faults);
        if faults.is_empty() {
            Ok(declaration)
        } else {
            Err(Faults(faults))
        }
    }

    /// Gathers entries; a name that stands twice is a fault.
    pub fn collect<I>(declared: I, faults: &mut Vec<Fault>) -> Self
    where
        I: IntoIterator<Item = Declared>,
    {
        let mut declaration = Self::default();
        for declared in declared {
            let key = declared.entry.key();
            match declaration.entries.get(&key) {
                Some(first) => faults.push(Fault {
                    place: declared.place,
                    entry: Some(key.to_string()),
                    reason: Reason::Twice {
                        first: first.place.clone(),
                    },
                }),
                None => {
                    declaration.entries.insert(key, declared);
                }
            }
        }
        declaration
    }
}
