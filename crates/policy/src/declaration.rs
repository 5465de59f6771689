//! A complete catalogue in its source text, with a version set by the operator.
//!
//! The control log stores the text without parsing it; each daemon parses it with
//! the parser of its format. The highest version is in force: a declaration whose
//! version is not higher than the stored one has no effect, whoever sends it.

use std::sync::Arc;

use crate::id::Version;

/// A declaration with its version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Declaration {
    /// Version number set by the operator.
    pub version: Version,
    /// Source text as submitted.
    pub source: Arc<[u8]>,
}

impl Declaration {
    /// Whether it replaces the declaration in force.
    #[must_use]
    pub fn supersedes(&self, current: Option<&Self>) -> bool {
        current.is_none_or(|it| self.version > it.version)
    }
}
