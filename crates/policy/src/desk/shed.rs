//! Which requests the arbiter would give up now, by what it just said.
//!
//! Load pattern: an account sends many times its usual and comes back at once when
//! it is told to come back later. Each such request costs the arbiter as much as
//! one that it grants, so that callers without patience take its time from all
//! others. What it gave up, it would give up a moment later as well: like requests
//! are answered here for that moment, and one after it asks again.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::{
    arbiter::{Ask, Refusal},
    id::{AccountId, ClassId},
};

/// Time for which an answer of the arbiter holds; its queue is looked through as
/// often.
const HOLD: Duration = Duration::from_millis(100);

/// Most lines that are remembered.
const MAX_LINES: usize = 1_024;

/// Requests that the arbiter treats alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Line {
    class: ClassId,
    account: AccountId,
    tier: Option<u8>,
}

impl Line {
    fn of(ask: &Ask) -> Self {
        Self {
            class: ask.class.clone(),
            account: ask.account.clone(),
            tier: ask.tier,
        }
    }
}

/// Lines of which requests were given up.
#[derive(Debug, Default)]
pub(super) struct Shed {
    lines: IndexMap<Line, (Instant, Refusal)>,
}

impl Shed {
    /// Takes in that the arbiter gave a request up.
    pub(super) fn note(&mut self, now: Instant, ask: &Ask, refusal: &Refusal) {
        let of_line = matches!(refusal, Refusal::Shed { .. } | Refusal::Account { .. });
        if !of_line || ask.resume {
            return;
        }
        if self.lines.len() >= MAX_LINES {
            self.lines.retain(|_, (until, _)| now < *until);
        }
        if self.lines.len() < MAX_LINES {
            self.lines
                .insert(Line::of(ask), (now + HOLD, refusal.clone()));
        }
    }

    /// What the arbiter would say to a request; none if it is to be asked.
    pub(super) fn refusal(&self, now: Instant, ask: &Ask) -> Option<Refusal> {
        // Work that was begun is not given up unasked.
        if self.lines.is_empty() || ask.resume || !ask.avoid.is_empty() {
            return None;
        }
        let (until, refusal) = self.lines.get(&Line::of(ask))?;
        (now < *until).then(|| refusal.clone())
    }
}
