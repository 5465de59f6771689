//! Where windows begin on the clock of each sender.
//!
//! Load pattern: requests start at any moment, and nearly every report corrects true time
//! by some milliseconds. A border keeps the place that it had when the window before it
//! was counted, so that a start next to it is counted once.

use indexmap::IndexMap;

use crate::id::{ProcessId, WindowId};

/// Windows that have begun, on the clock of each sender in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Borders {
    placed: IndexMap<(ProcessId, WindowId), i64>,
}

impl Borders {
    /// The begin of a window on the clock of a sender, which is about `at_ms`.
    ///
    /// A border that is more than half a window away was placed by a wrong time of day,
    /// and is placed anew.
    pub(super) fn place(
        &mut self,
        process: ProcessId,
        number: WindowId,
        at_ms: i64,
        length_ms: i64,
    ) -> i64 {
        let placed = self.placed.entry((process, number)).or_insert(at_ms);
        if placed.abs_diff(at_ms) > length_ms.unsigned_abs() / 2 {
            *placed = at_ms;
        }
        *placed
    }

    /// Drops the borders of windows before `first`.
    pub(super) fn drop_before(&mut self, first: WindowId) {
        self.placed.retain(|(_, number), _| *number >= first);
    }
}
