//! A whole catalogue as an operator sent it, ordered by a version of its own.
//!
//! The control log keeps the text and does not look into it: the daemons read
//! it with the reader of its format. The highest version is in force; one that
//! is not higher than the version held changes nothing, whoever sends it.

use std::sync::Arc;

use crate::id::Version;

/// A declaration under its version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Declaration {
    /// Number that its operator gave it.
    pub version: Version,
    /// Text as it was sent.
    pub source: Arc<[u8]>,
}

impl Declaration {
    /// Whether it takes the place of what is in force.
    #[must_use]
    pub fn supersedes(&self, current: Option<&Self>) -> bool {
        current.is_none_or(|it| self.version > it.version)
    }
}
