//! Choice of the initial voters, replacement of lost ones, and their spread.
//!
//! A replica whose disk was emptied returns as a learner, and a replica that is
//! gone for good never answers again. Until another replica becomes a voter in
//! its place, the next loss would stop the log. The leader therefore proposes the
//! replacement itself as soon as a learner holds every committed entry. A voter
//! that was only paused or cut off is a learner when it returns; no data is lost.
//!
//! The loss of a failure domain must cost as few voters as possible, at any time. A lost
//! voter's seat therefore goes to the failure domain that has the fewest, and once no
//! voter is lost, a seat moves from a crowded domain to one with two voters fewer.
//!
//! If the settings say how many voters there should be, one is added or removed at a time
//! until there are as many. A lost voter is replaced before any is added.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{Node, RoleState};
use crate::{
    id::{DomainId, InstanceId, ReplicaId},
    member::{Members, State},
};

/// Silence after which a learner replaces a voter.
///
/// Two election timeouts, so that a lost heartbeat or a short pause causes no change.
pub const VOTER_SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Voters by which two failure domains must differ for a seat to move between them.
const MIN_MOVE_GAIN: usize = 2;

/// The initial voters, spread over the failure domains.
///
/// The first one asks the others to form the cluster.
#[must_use]
pub fn initial_voters(members: &Members, wanted: usize) -> Vec<ReplicaId> {
    let alive = members.values().filter(|it| it.state == State::Alive);
    let mut domains: IndexMap<&DomainId, Vec<(&InstanceId, ReplicaId)>> = IndexMap::new();
    for member in alive {
        if let Some(replica) = member.replica {
            let domain = domains.entry(&member.domain).or_default();
            domain.push((&member.id, replica));
        }
    }
    domains.sort_unstable_keys();
    domains.values_mut().for_each(|it| it.sort_unstable());
    let longest = domains.values().map(Vec::len).max().unwrap_or(0);
    let turns = (0..longest).flat_map(|turn| {
        let domains = domains.values();
        domains.filter_map(move |it| it.get(turn).copied())
    });
    let mut chosen: Vec<_> = turns.take(wanted).collect();
    chosen.sort_unstable();
    chosen.into_iter().map(|(_, replica)| replica).collect()
}

/// The voters and learners as their leader sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seats {
    /// Number of voters.
    pub voters: usize,
    /// Voters that have been silent for [`VOTER_SILENCE_LIMIT`].
    pub silent: usize,
    /// Learners that respond and have synced every committed entry.
    pub ready_learners: usize,
    /// The replacement in progress.
    pub pending: Option<Pending>,
}

/// A replacement in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pending {
    /// What is replaced by what.
    pub replacement: Replacement,
    /// Time since it was asked for.
    pub age: Duration,
    /// Time since the new replica last answered.
    pub silence: Duration,
    /// Committed entries that the new replica has not synced.
    pub lag: u64,
}

/// A voter and the learner to replace it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replacement {
    /// Voter that loses its seat, or has lost it already.
    pub old: ReplicaId,
    /// Learner that gets the seat.
    pub new: ReplicaId,
}

/// A change of the number of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resize {
    /// Adds a learner that holds every committed entry.
    Add(ReplicaId),
    /// Removes a voter other than the leader.
    Remove(ReplicaId),
}

/// A change of the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// One voter is replaced.
    Replace(Replacement, Reason),
    /// There are too few voters, or too many.
    Resize(Resize),
}

/// Why a voter is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is silent or was already removed.
    Lost,
    /// Its failure domain has more voters than that of the learner.
    Crowded,
}

impl Node {
    /// The voters and learners; none on a node that is not the leader.
    #[must_use]
    pub fn seats(&self, now: Instant) -> Option<Seats> {
        let RoleState::Leader(leader) = &self.role_state else {
            return None;
        };
        let voters = self.log.voters();
        let others = voters.ids().iter().filter(|id| **id != self.id);
        let silent = others.filter(|id| leader.silence(now, **id) >= VOTER_SILENCE_LIMIT);
        let learners = leader.progress.keys().filter(|id| !voters.contains(**id));
        Some(Seats {
            voters: voters.ids().len(),
            silent: silent.count(),
            ready_learners: learners
                .filter(|id| self.is_caught_up(now, leader, **id))
                .count(),
            pending: leader.replacement.map(|it| Pending {
                replacement: it.replacement(),
                age: now.saturating_duration_since(it.since),
                silence: leader.silence(now, it.replacement().new),
                lag: self.lag(leader, it.replacement().new),
            }),
        })
    }

    /// The change of voters to propose now, if any; always none on a node that is not the
    /// leader.
    #[must_use]
    pub fn due_change(&self, now: Instant) -> Option<Change> {
        let RoleState::Leader(leader) = &self.role_state else {
            return None;
        };
        let ongoing = leader.replacement.as_ref();
        let is_ongoing = ongoing.is_some_and(|it| self.is_proceeding(now, leader, it));
        if is_ongoing || !self.voters_committed(leader) {
            return None;
        }
        let voters = self.log.voters();
        let silent = voters.ids().iter().copied().filter(|id| *id != self.id);
        let silent = silent.filter(|id| leader.silence(now, *id) >= VOTER_SILENCE_LIMIT);
        let silent = silent.max_by_key(|id| leader.silence(now, *id));
        let wanted = self.settings.voters;
        // A move that its leader did not finish leaves a voter too many.
        if wanted > 0 && voters.ids().len() > wanted {
            let old = silent.or_else(|| Some(self.most_crowded()?.0));
            return old.map(|old| Change::Resize(Resize::Remove(old)));
        }
        let learners = leader.progress.keys().copied();
        let learners =
            learners.filter(|id| !voters.contains(*id) && self.is_caught_up(now, leader, *id));
        let learners: Vec<ReplicaId> = learners.collect();
        if let Some(old) = voters.removed().or(silent) {
            let (new, _) = self.least_crowded(&learners, Some(old))?;
            return Some(Change::Replace(Replacement { old, new }, Reason::Lost));
        }
        if voters.ids().len() < wanted {
            let (new, _) = self.least_crowded(&learners, None)?;
            return Some(Change::Resize(Resize::Add(new)));
        }
        let replacement = self.due_move(&learners)?;
        Some(Change::Replace(replacement, Reason::Crowded))
    }

    /// Proposes one voter more or less.
    pub(super) fn resize(&mut self, now: Instant, resize: Resize) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        if !self.voters_committed(leader) {
            return;
        }
        let voters = self.log.voters();
        let next = match resize {
            Resize::Add(new) if !voters.contains(new) && self.is_caught_up(now, leader, new) => {
                voters.with(new)
            }
            Resize::Remove(old) if voters.contains(old) && old != self.id => {
                voters.without(old).with_removed(None)
            }
            Resize::Add(_) | Resize::Remove(_) => return,
        };
        self.propose_voters(now, next);
    }

    /// The move of a seat to the failure domain of a learner that has at least two voters
    /// fewer; the leader keeps its own.
    fn due_move(&self, learners: &[ReplicaId]) -> Option<Replacement> {
        let (old, crowd) = self.most_crowded()?;
        let (new, others) = self.least_crowded(learners, None)?;
        (crowd >= others + MIN_MOVE_GAIN).then_some(Replacement { old, new })
    }

    /// The voter whose failure domain has the most, and their number; never the leader.
    fn most_crowded(&self) -> Option<(ReplicaId, usize)> {
        let voters = self.log.voters().ids().iter().copied();
        let others = voters.filter(|id| *id != self.id);
        let counted = others.map(|id| (id, self.neighbors(id, None)));
        counted.max_by_key(|(_, crowd)| *crowd)
    }

    /// The learner whose failure domain has the fewest voters, and their number, not
    /// counting one voter.
    fn least_crowded(
        &self,
        learners: &[ReplicaId],
        except: Option<ReplicaId>,
    ) -> Option<(ReplicaId, usize)> {
        let learners = learners.iter().copied();
        let counted = learners.map(|id| (id, self.neighbors(id, except)));
        counted.min_by_key(|(_, others)| *others)
    }

    /// Voters in the failure domain of a replica, except one; zero if it is not known.
    fn neighbors(&self, id: ReplicaId, except: Option<ReplicaId>) -> usize {
        let Some(domain) = self.domains.get(&id) else {
            return 0;
        };
        let voters = self.log.voters().ids().iter();
        let counted = voters.filter(|it| Some(**it) != except);
        counted
            .filter(|it| self.domains.get(*it) == Some(domain))
            .count()
    }
}
