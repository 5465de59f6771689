//! Faults of declarations.

use std::fmt;

use derive_more::{Display, Error};

use super::Location;

/// Why a declaration is refused.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// A file or folder could not be read.
    #[display("cannot be read: {error}: check the path and its permissions")]
    Unreadable {
        /// Error of the operating system.
        error: String,
    },
    /// A folder without declaration files.
    #[display("no .toml file is here: give a file, or a folder that holds declarations")]
    Empty,
    /// A file, or the number of files, is over its limit.
    #[display("{what} is over the limit of {limit}: split the declarations")]
    TooLarge {
        /// What is too large.
        what: &'static str,
        /// The limit.
        limit: usize,
    },
    /// The file is not TOML.
    #[display("not valid TOML: {error}")]
    Syntax {
        /// Error of the parser.
        error: String,
    },
    /// A table has an unknown name.
    #[display("{name:?} is no kind of entry: use [[account]], [[class]] or [[service]]")]
    UnknownKind {
        /// The name found.
        name: String,
    },
    /// A kind is not written as an array of tables.
    #[display("write each entry as a [[{name}]] table")]
    NotArray {
        /// The kind.
        name: String,
    },
    /// A field is unknown.
    #[display("unknown field {field:?}: remove it, or use one of {}", known.join(", "))]
    UnknownField {
        /// The field found.
        field: String,
        /// Fields that exist.
        known: Vec<&'static str>,
    },
    /// A required field is missing.
    #[display("field {field:?} is missing: add it")]
    MissingField {
        /// The field.
        field: String,
    },
    /// A value does not fit its field.
    #[display("field {field:?}: {error}: correct the value")]
    Value {
        /// The field.
        field: String,
        /// What does not fit.
        error: String,
    },
    /// The entry is declared twice.
    #[display("is declared at {first} already: remove one of the two")]
    Duplicate {
        /// Its first declaration.
        first: Location,
    },
    /// The entry does not fit the catalogue.
    #[display("{fault}")]
    Catalogue {
        /// Fault that the catalogue reports.
        fault: String,
    },
}

/// One fault with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// File and line.
    pub location: Location,
    /// Entry that contains it, if known.
    pub entry: Option<String>,
    /// What is wrong.
    pub reason: Reason,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.entry {
            Some(entry) => write!(f, "{}: {entry}: {}", self.location, self.reason),
            None => write!(f, "{}: {}", self.location, self.reason),
        }
    }
}

/// Every fault found.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Faults(#[error(ignore)] pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, fault) in self.0.iter().enumerate() {
            if number > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
