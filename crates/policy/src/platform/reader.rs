//! Which instances read the platform's list, and when.
//!
//! Load pattern: the calls of a fleet in which every instance reads the whole list grow as
//! instances times runners, and the platform's limit on calls is shared. So only hosts of
//! arbiters read it all the time; the instances that would take over from them read it now
//! and then, and all others never. Right after a start an instance knows few others and may
//! take itself for one that would take over, so it waits until it knows more, unless it is
//! one of the few that mostly do.

use std::time::{Duration, Instant};

/// Wait of a new standby before its first reading: a few rounds of the membership.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// What an instance needs the list for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Nothing.
    #[default]
    Other,
    /// It would host an arbiter if those before it were lost.
    Standby,
    /// It hosts an arbiter.
    Host,
}

/// Times between two readings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// For a host.
    pub host: Duration,
    /// For a standby.
    pub standby: Duration,
    /// Whether the list is read at the start already: arbiters that start here then have
    /// it without a wait.
    pub at_start: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            host: Duration::from_secs(1),
            standby: Duration::from_secs(10),
            at_start: false,
        }
    }
}

/// Decides when the list is read next.
#[derive(Clone, Debug)]
pub struct Schedule {
    settings: Settings,
    role: Role,
    since: Instant,
    /// When the last reading ended, whether it failed or not.
    last: Option<Instant>,
}

impl Schedule {
    /// An instance that has read nothing yet.
    #[must_use]
    pub fn new(now: Instant, settings: Settings, role: Role) -> Self {
        Self {
            settings,
            role,
            since: now,
            last: None,
        }
    }

    /// What this instance needs the list for.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Sets the role; true if the next reading may be earlier than before.
    pub fn set_role(&mut self, now: Instant, role: Role) -> bool {
        if self.role == role {
            return false;
        }
        let earlier = role > self.role;
        // A host that becomes a standby has just read the list.
        if earlier {
            self.since = now;
        }
        self.role = role;
        earlier
    }

    /// Records the end of a reading.
    pub fn on_read(&mut self, now: Instant) {
        self.last = Some(now);
    }

    /// When to read the list next; `None` if not at all.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        if self.last.is_none() && self.settings.at_start {
            return Some(self.since);
        }
        let after = |interval| self.last.map(|last| last + interval);
        match self.role {
            Role::Other => None,
            Role::Standby => {
                let settled = self.since + SETTLE_TIME;
                let next = after(self.settings.standby).unwrap_or(settled);
                Some(next.max(settled))
            }
            Role::Host => Some(after(self.settings.host).unwrap_or(self.since)),
        }
    }
}
