//! Replacement of one voter by another replica, in two single-voter changes.
//!
//! Changing both in one entry is unsafe: of the voter sets {A, B, C} and
//! {A, B, D} the majorities {A, C} and {B, D} are disjoint. Two changes of one
//! voter each are safe, since any majority before and any majority after such a
//! change overlap. Their order depends on whether the old voter still responds:
//!
//! - If it responds, the new replica is added first. For a while there are four
//!   voters, any three of which are a majority, so one loss meanwhile is tolerated.
//! - If it is lost, it is removed first. All remaining voters were needed before
//!   and are needed after. Adding first would let the loss of the new replica
//!   stop the log.
//!
//! A replacement whose new replica falls silent before it votes gives way to any other
//! that is due; an emptied folder returns under another id, so waiting for it could
//! last forever. If none is due and the replica returns, the replacement goes on.
//!
//! In both cases the new replica must hold every committed entry when the change
//! that makes it a voter is proposed. The caller gets a success only when both
//! changes are committed.

use std::time::Instant;

use crate::id::ReplicaId;

use super::{
    Node, Payload, Refusal, RoleState, Token, Voters,
    leader::Leader,
    membership::{Replacement, VOTER_SILENCE_LIMIT},
};

/// Committed entries that a new replica may lack when a replacement starts.
///
/// It must lack none when it becomes a voter.
const MAX_LAG_ENTRIES: u64 = 1_024;

/// A replacement in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) token: Token,
    old: ReplicaId,
    new: ReplicaId,
    pub(super) since: Instant,
}

impl Request {
    pub(super) fn replacement(&self) -> Replacement {
        let Self { old, new, .. } = *self;
        Replacement { old, new }
    }
}

impl Node {
    pub(super) fn replace(&mut self, now: Instant, token: Token, old: ReplicaId, new: ReplicaId) {
        if let Err(refusal) = self.check_replacement(old, new) {
            self.answer(token, Err(refusal));
            return;
        }
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let request = Request {
            token,
            old,
            new,
            since: now,
        };
        if let Some(superseded) = leader.replacement.replace(request) {
            self.answer(superseded.token, Err(Refusal::Busy));
        }
        self.advance_replacement(now);
    }

    fn check_replacement(&self, old: ReplicaId, new: ReplicaId) -> Result<(), Refusal> {
        let RoleState::Leader(leader) = &self.role_state else {
            return Err(self.not_leader());
        };
        if !self.voters_committed(leader) {
            return Err(Refusal::Busy);
        }
        let voters = self.log.voters();
        // A removed voter may return to its own seat.
        if old == new && voters.removed() != Some(old) {
            return Err(Refusal::NotVoter { replica: old });
        }
        if voters.contains(new) {
            return Ok(());
        }
        if !voters.contains(old) && voters.removed() != Some(old) {
            return Err(Refusal::NotVoter { replica: old });
        }
        match self.lag(leader, new) {
            0..=MAX_LAG_ENTRIES => Ok(()),
            entries => Err(Refusal::Behind {
                replica: new,
                entries,
            }),
        }
    }

    /// Whether the latest change of voters and an entry of this term are committed.
    pub(super) fn voters_committed(&self, leader: &Leader) -> bool {
        self.commit >= leader.first_index && self.commit >= self.log.voters_index()
    }

    /// Number of committed entries that a replica has not synced.
    pub(super) fn lag(&self, leader: &Leader, id: ReplicaId) -> u64 {
        let matched = leader.progress.get(&id).map_or(0, |it| it.matched);
        self.commit.saturating_sub(matched)
    }

    /// Proposes the next change of a replacement once the previous one is committed.
    pub(super) fn advance_replacement(&mut self, now: Instant) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        if !self.voters_committed(leader) {
            return;
        }
        if let Some(replacement) = leader.replacement {
            match self.next_voters(now, leader, replacement) {
                Step::Wait => {}
                Step::Propose(voters) => {
                    self.propose_voters(now, voters);
                    return;
                }
                Step::Done => self.finish_replacement(replacement.token),
            }
        }
        // The change that removed this leader from the voters is committed: step down.
        if !self.is_voter() && matches!(self.role_state, RoleState::Leader(_)) {
            self.become_follower(now, self.hard.term, None);
        }
    }

    /// Appends a change of voters, which applies at once and is not yet committed.
    pub(super) fn propose_voters(&mut self, now: Instant, voters: Voters) {
        self.append(Payload::Voters(voters));
        self.update_progress(now);
        self.replicate_all(now);
        self.advance_commit(now);
    }

    fn next_voters(&self, now: Instant, leader: &Leader, replacement: Request) -> Step {
        let Request { old, new, .. } = replacement;
        let voters = self.log.voters();
        match (voters.contains(old), voters.contains(new)) {
            (false, true) => Step::Done,
            (true, true) if old == new => Step::Done,
            (true, true) => Step::Propose(voters.without(old).with_removed(None)),
            (_, false) if self.lag(leader, new) > 0 => Step::Wait,
            (true, false) if !self.is_responding(now, leader, old) => {
                Step::Propose(voters.without(old))
            }
            (_, false) => Step::Propose(voters.with(new)),
        }
    }

    /// Whether a replacement can go on: its new replica votes already or is heard from.
    pub(super) fn is_proceeding(&self, now: Instant, leader: &Leader, request: &Request) -> bool {
        self.log.voters().contains(request.new)
            || leader.silence(now, request.new) < VOTER_SILENCE_LIMIT
    }

    fn is_responding(&self, now: Instant, leader: &Leader, id: ReplicaId) -> bool {
        let active = leader.progress.get(&id).and_then(|it| it.active);
        id == self.id
            || active.is_some_and(|at| {
                now.saturating_duration_since(at) < self.settings.election_timeout
            })
    }

    /// Whether a replica responds and has synced every committed entry.
    pub(super) fn is_caught_up(&self, now: Instant, leader: &Leader, id: ReplicaId) -> bool {
        self.is_responding(now, leader, id) && self.lag(leader, id) == 0
    }

    fn finish_replacement(&mut self, token: Token) {
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.replacement = None;
        }
        self.answer(token, Ok(()));
    }
}

/// Next step of a replacement.
enum Step {
    Wait,
    Propose(Voters),
    Done,
}
