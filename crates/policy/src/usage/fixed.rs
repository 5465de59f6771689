//! Counts that the control log has fixed, so that every report of a window is the same.

use std::{collections::VecDeque, mem, sync::Arc};

use super::Window;
use crate::id::WindowId;

/// Windows whose counts are kept; a report of an older one is overdue anyway.
pub const MAX_FIXED: usize = 8;

/// The latest windows whose counts are fixed, in the order of their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fixed {
    windows: VecDeque<Arc<Window>>,
    /// Highest number that was dropped.
    dropped: Option<WindowId>,
}

impl Fixed {
    /// Fixes the counts of a window, unless they are fixed already.
    ///
    /// Returns the counts in force; `None` if the window is older than those kept, so
    /// that its counts are not known any more.
    pub fn fix(&mut self, window: &Arc<Window>) -> Option<&Arc<Window>> {
        if self.dropped.is_some_and(|dropped| window.number <= dropped) {
            return None;
        }
        let place = self.windows.partition_point(|it| it.number < window.number);
        let known = self.windows.get(place).map(|it| it.number);
        if known != Some(window.number) {
            self.windows.insert(place, Arc::clone(window));
        }
        if self.windows.len() > MAX_FIXED {
            self.dropped = self.windows.pop_front().map(|it| it.number);
        }
        self.get(window.number)
    }

    /// The counts of a window, if they are fixed and kept.
    #[must_use]
    pub fn get(&self, number: WindowId) -> Option<&Arc<Window>> {
        self.windows.iter().find(|it| it.number == number)
    }

    /// The windows kept, oldest first.
    pub fn windows(&self) -> impl Iterator<Item = &Window> {
        self.windows.iter().map(Arc::as_ref)
    }

    /// Highest number that was dropped.
    #[must_use]
    pub fn dropped(&self) -> Option<WindowId> {
        self.dropped
    }

    /// Takes over a newer state, in which windows that are known here may lack their counts.
    pub fn update(&mut self, newer: Self) {
        let mut known = mem::take(&mut self.windows);
        let take = |window: Arc<Window>| {
            let place = known.iter().position(|it| it.number == window.number);
            place.and_then(|it| known.remove(it)).unwrap_or(window)
        };
        self.windows = newer.windows.into_iter().map(take).collect();
        self.dropped = newer.dropped;
    }

    /// Restores the state from a snapshot.
    #[must_use]
    pub fn restore(dropped: Option<WindowId>, windows: Vec<Window>) -> Self {
        Self {
            windows: windows.into_iter().map(Arc::new).collect(),
            dropped,
        }
    }
}
