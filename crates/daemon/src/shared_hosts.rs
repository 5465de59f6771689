//! Whether runners share their machines with others.
//!
//! Where they do, they name their present service time in each answer, and their speed
//! differs and changes. No declaration says so: the runners' own word switches on what
//! answers that load, and the settings can do so from the start.

use std::{cell::Cell, rc::Rc};

/// The answer; clones share it.
#[derive(Clone, Debug, Default)]
pub struct SharedHosts(Rc<Cell<bool>>);

impl SharedHosts {
    /// What the settings say.
    #[must_use]
    pub fn new(declared: bool) -> Self {
        Self(Rc::new(Cell::new(declared)))
    }

    /// Records that a runner named its present service time.
    pub fn note(&self) {
        if !self.0.replace(true) {
            log::info!(event = "CP1011"; "runners share their machines with others");
        }
    }

    /// Whether runners share their machines with others.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.get()
    }
}
