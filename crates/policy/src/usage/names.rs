//! Names of accounts, each kept once and referred to by a number.

use indexmap::IndexSet;

use crate::id::AccountId;

/// Names kept before unused ones are dropped for the first time.
const MIN_LIMIT: usize = 256;

/// A table of names.
#[derive(Clone, Debug)]
pub(super) struct Names {
    names: IndexSet<AccountId>,
    /// Number of names above which unused ones are dropped.
    limit: usize,
}

impl Default for Names {
    fn default() -> Self {
        Self {
            names: IndexSet::new(),
            limit: MIN_LIMIT,
        }
    }
}

impl Names {
    /// Number of a name; allocates only for one that is not in the table.
    pub(super) fn intern(&mut self, name: &str) -> u32 {
        let place = match self.names.get_index_of(name) {
            Some(place) => place,
            None => self.names.insert_full(name.to_owned()).0,
        };
        u32::try_from(place).unwrap_or(u32::MAX)
    }

    /// Name of a number that [`Self::intern`] gave.
    pub(super) fn get(&self, number: u32) -> &str {
        let place = usize::try_from(number).unwrap_or(usize::MAX);
        self.names.get_index(place).map_or("", String::as_str)
    }

    /// Whether [`Self::compact`] is due.
    pub(super) fn is_full(&self) -> bool {
        self.names.len() > self.limit
    }

    /// Drops all names but those of the numbers in use, which are replaced by new ones.
    pub(super) fn compact<'a, I>(&mut self, used: I)
    where
        I: Iterator<Item = &'a mut u32>,
    {
        let old = std::mem::take(self);
        for number in used {
            *number = self.intern(old.get(*number));
        }
        self.limit = MIN_LIMIT.max(2 * self.names.len());
    }
}
