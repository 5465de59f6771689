//! Declarations of catalogue entries in TOML files.
//!
//! A file holds any number of `[[account]]`, `[[class]]` and `[[service]]`
//! tables with the fields of `citron_policy::catalogue`. Reading does not stop at
//! the first fault: every fault is reported with its file, line, entry and remedy.

mod fault;
mod field;
mod files;
mod parse;

use std::path::{Path, PathBuf};

use citron_policy::catalogue::{Entry, Key};
use indexmap::IndexMap;

pub use fault::{Fault, Faults, Reason};
pub use parse::parse;

/// File and line of an entry or a fault.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
#[display("{}:{line}", file.display())]
pub struct Location {
    /// The file.
    pub file: PathBuf,
    /// The line, counted from 1.
    pub line: usize,
}

/// An entry with the location of its declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Declared {
    /// The entry.
    pub entry: Entry,
    /// Where it is declared.
    pub location: Location,
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

    /// Collects entries; a second declaration of a key is a fault.
    pub fn collect<I>(declared: I, faults: &mut Vec<Fault>) -> Self
    where
        I: IntoIterator<Item = Declared>,
    {
        let mut declaration = Self::default();
        for declared in declared {
            let key = declared.entry.key();
            match declaration.entries.get(&key) {
                Some(first) => faults.push(Fault {
                    location: declared.location,
                    entry: Some(key.to_string()),
                    reason: Reason::Duplicate {
                        first: first.location.clone(),
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
