//! State machine that keeps one daemon's view current.
//!
//! Updates come from the local replica, from a parent, or from both. Each source
//! has no gaps of its own, so applying every update above the last index yields
//! the complete log. The index never decreases.
//!
//! A proof states that every update accepted before some instant has been applied.
//! At the leader, that instant is the start of a quorum round. A parent sends it as
//! an offset from the arrival of the request, and the child adds the offset to the
//! time at which it sent the request, which is earlier. A proof can therefore only
//! get older on the way, never newer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{catalogue::Catalogue, crash, declaration::Declaration, id::Index};

use super::{
    Local, Step, Update, View,
    ring::{ENTRY_BYTES, MARK_BYTES, Ring},
};

/// Time after a proof during which new work is accepted.
pub const LEASE: Duration = Duration::from_secs(4);

/// Limits and timeouts of the feed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time after a proof during which new work is accepted.
    pub lease: Duration,
    /// Additional time during which a catalogue is used without a proof.
    ///
    /// Zero guarantees that an accepted change is in force everywhere within
    /// seconds. A larger value weakens the guarantee by as much, to accept work
    /// while no quorum answers.
    pub max_staleness: Duration,
    /// Maximum updates kept for followers.
    ///
    /// Each update is applied to a copy of the whole catalogue, so beyond a few
    /// dozen a snapshot is faster.
    pub ring_updates: usize,
    /// Approximate maximum size of the kept updates, in bytes.
    pub ring_bytes: usize,
    /// Approximate maximum size of the updates in one answer, in bytes: 50 ms of a link
    /// of 10 Mbit/s.
    pub answer_bytes: usize,
    /// Minimum time to hold a request before answering it with only a newer proof.
    pub min_hold: Duration,
    /// Maximum time to hold a request.
    pub max_hold: Duration,
    /// Age of this daemon's proof from which requests are answered at once: the
    /// follower should switch to another parent, since changes may not arrive here.
    pub max_proof_age: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: LEASE,
            max_staleness: Duration::ZERO,
            ring_updates: 64,
            ring_bytes: 8 << 20,
            answer_bytes: 64 << 10,
            min_hold: Duration::from_millis(400),
            max_hold: Duration::from_millis(800),
            max_proof_age: Duration::from_millis(900),
        }
    }
}

/// Complete state at an index, for a follower too far behind for updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Index in the control log.
    pub index: Index,
    /// Catalogue at that index.
    pub catalogue: Arc<Catalogue>,
    /// Declaration at that index.
    pub declaration: Option<Arc<Declaration>>,
    /// Crash marks at that index.
    pub marks: Arc<crash::Table>,
}

/// Answer to a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Updates above the requested index, with a proof of currency.
    News(News),
    /// Snapshot, because the updates are no longer kept, or are larger.
    Snapshot(Snapshot),
}

/// Updates with a proof of currency.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// Updates above the requested index, oldest first.
    pub updates: Vec<Update>,
    /// Index up to which the requested index and these updates cover the log.
    pub through: Index,
    /// Instant of the proof, in milliseconds after the arrival of the request;
    /// mostly negative; none without a proof or if updates were left out.
    pub proved_ms: Option<i64>,
}

/// One daemon's copy of the control state.
#[derive(Debug, Default)]
pub struct Feed {
    settings: Settings,
    view: View,
    through: Index,
    ring: Ring,
    damaged: bool,
    /// Newest update skipped because the copy is damaged.
    skipped: Index,
}

impl Feed {
    /// An empty feed without a proof.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Control state in force.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Limits and timeouts.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Index up to which the log is covered; updates above it are requested.
    #[must_use]
    pub fn covered_index(&self) -> Index {
        self.through.max(self.view.index)
    }

    /// Whether the last proof is recent enough to accept new work.
    #[must_use]
    pub fn may_take_work(&self, now: Instant) -> bool {
        let allowed = self.settings.lease + self.settings.max_staleness;
        self.proof_age(now).is_some_and(|age| age < allowed)
    }

    /// Age of the newest proof.
    #[must_use]
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        let proved = self.view.proved?;
        Some(now.saturating_duration_since(proved))
    }

    /// Number of kept updates, and their approximate size in bytes.
    #[must_use]
    pub fn ring_size(&self) -> (usize, usize) {
        self.ring.size()
    }

    /// Applies input from the local replica; true if the view changed.
    pub fn apply_local(&mut self, local: Local) -> bool {
        match local {
            Local::Update(update) => self.apply_update(update),
            Local::Snapshot {
                index,
                catalogue,
                declaration,
                marks,
            } => self.apply_snapshot(Snapshot {
                index,
                catalogue,
                declaration,
                marks,
            }),
            Local::Proved { index, at } => {
                if !self.damaged {
                    self.through = self.through.max(index);
                }
                self.apply_proof(at)
            }
        }
    }

    /// Applies a parent's answer to a request sent at `sent`; true if the view changed.
    pub fn apply_news(&mut self, now: Instant, sent: Instant, news: News) -> bool {
        let mut changed = false;
        for update in news.updates {
            changed |= self.apply_update(update);
        }
        if self.damaged {
            return changed;
        }
        self.through = self.through.max(news.through);
        let proof = news.proved_ms.and_then(|ms| add_signed_ms(sent, ms));
        match proof {
            Some(proved) => self.apply_proof(proved.min(now)) || changed,
            None => changed,
        }
    }

    /// Applies a snapshot if it is newer than the view; true if it was.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let newer = if self.damaged {
            snapshot.index >= self.skipped
        } else {
            snapshot.index > self.covered_index()
        };
        let version = |it: &Option<Arc<Declaration>>| it.as_ref().map(|it| it.version);
        let reverts = snapshot.catalogue.revision < self.view.catalogue.revision
            || version(&snapshot.declaration) < version(&self.view.declaration);
        if !newer || reverts {
            return false;
        }
        self.damaged = false;
        self.through = self.through.max(snapshot.index);
        self.ring.reset(snapshot.index);
        self.view = View {
            index: snapshot.index,
            catalogue: snapshot.catalogue,
            declaration: snapshot.declaration,
            marks: snapshot.marks,
            proved: self.view.proved,
        };
        true
    }

    fn apply_update(&mut self, update: Update) -> bool {
        if self.damaged {
            self.skipped = self.skipped.max(update.index);
            return false;
        }
        if update.index <= self.view.index {
            return false;
        }
        match &update.step {
            Step::Change(change) => {
                let Ok(next) = self.view.catalogue.apply(change) else {
                    // An accepted change always applies to its base, so this copy is damaged.
                    self.damaged = true;
                    self.skipped = update.index;
                    self.view.proved = None;
                    return true;
                };
                self.view.catalogue = Arc::new(next);
            }
            Step::Declare(declaration) => {
                if declaration.supersedes(self.view.declaration.as_deref()) {
                    self.view.declaration = Some(Arc::clone(declaration));
                }
            }
            Step::Crash(step) => Arc::make_mut(&mut self.view.marks).apply(step),
        }
        self.view.index = update.index;
        self.through = self.through.max(update.index);
        let settings = &self.settings;
        self.ring
            .push(update, settings.ring_updates, settings.ring_bytes);
        true
    }

    fn apply_proof(&mut self, proved: Instant) -> bool {
        if self.damaged || self.view.proved.is_some_and(|old| old >= proved) {
            return false;
        }
        self.view.proved = Some(proved);
        true
    }

    /// Whether the copy was found damaged; it must not be used until a snapshot.
    #[must_use]
    pub fn is_damaged(&self) -> bool {
        self.damaged
    }

    /// Whether to answer now a request for updates above `index` that arrived at
    /// `arrived` and may be held for at most `most`.
    #[must_use]
    pub fn is_due(&self, now: Instant, arrived: Instant, index: Index, most: Duration) -> bool {
        let held = now.saturating_duration_since(arrived);
        if held >= most.min(self.settings.max_hold) || self.has_news(index) {
            return true;
        }
        let age = self.proof_age(now);
        if age.is_none_or(|age| age >= self.settings.max_proof_age) {
            return true;
        }
        let refreshed = age.is_some_and(|age| age < self.settings.min_hold / 2);
        held >= self.settings.min_hold && refreshed
    }

    fn has_news(&self, index: Index) -> bool {
        self.ring
            .newest()
            .map_or(self.view.index > index, |newest| newest > index)
    }

    /// Maximum wait before [`Self::is_due`] must be called again.
    #[must_use]
    pub fn until_due(&self, now: Instant, most: Duration) -> Duration {
        let limit = most.min(self.settings.max_hold);
        let left = self.proof_age(now).map_or(Duration::ZERO, |age| {
            self.settings.max_proof_age.saturating_sub(age)
        });
        limit.min(left)
    }

    /// Answers a request for updates above `index` that arrived at `arrived`.
    #[must_use]
    pub fn answer(&self, arrived: Instant, index: Index) -> Answer {
        let updates = self.ring.after(index, self.settings.answer_bytes);
        let Some(updates) = updates.filter(|_| !self.prefers_snapshot(index)) else {
            return Answer::Snapshot(self.snapshot());
        };
        let last = updates.last().map(|update| update.index);
        let newest = self.ring.newest();
        let complete = last.is_none() || last == newest;
        let proved = self.view.proved.filter(|_| complete && !self.damaged);
        Answer::News(News {
            updates,
            through: if complete {
                self.through
            } else {
                last.unwrap_or(index)
            },
            proved_ms: proved.map(|proved| signed_ms(arrived, proved)),
        })
    }

    /// Whether a snapshot brings a follower at `index` up to date with fewer bytes than
    /// updates would, or the next update does not fit into an answer; a snapshot is sent
    /// in parts.
    fn prefers_snapshot(&self, index: Index) -> bool {
        let Some(mut sizes) = self.ring.sizes_after(index) else {
            return true;
        };
        let most = self.settings.answer_bytes;
        let first = sizes.next().unwrap_or_default();
        let total = first + sizes.sum::<usize>();
        first > most || (total > most && self.snapshot_bytes() < total)
    }

    /// Approximate size of a snapshot, in bytes.
    fn snapshot_bytes(&self) -> usize {
        let view = &self.view;
        let declaration = view.declaration.as_ref().map_or(0, |it| it.source.len());
        declaration
            + view.catalogue.entries().count() * ENTRY_BYTES
            + view.marks.marks.len() * MARK_BYTES
    }

    /// Complete state at the present index.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            index: self.view.index,
            catalogue: Arc::clone(&self.view.catalogue),
            declaration: self.view.declaration.clone(),
            marks: Arc::clone(&self.view.marks),
        }
    }
}

/// Milliseconds from `from` to `to`, rounded down, so that a proof never gets newer.
fn signed_ms(from: Instant, to: Instant) -> i64 {
    let later = to.saturating_duration_since(from).as_millis();
    let earlier = from
        .saturating_duration_since(to)
        .as_nanos()
        .div_ceil(1_000_000);
    let clamp = |ms: u128| i64::try_from(ms).unwrap_or(i64::MAX);
    clamp(later) - clamp(earlier)
}

fn add_signed_ms(from: Instant, ms: i64) -> Option<Instant> {
    let distance = Duration::from_millis(ms.unsigned_abs());
    if ms < 0 {
        from.checked_sub(distance)
    } else {
        from.checked_add(distance)
    }
}
