//! Replication of entries from the leader's log to the other replicas.

use std::time::Instant;

use crate::id::{Index, ReplicaId};

use super::{
    Effect, Node, RoleState,
    message::{Append, AppendResult, Body},
    progress::Progress,
};

impl Node {
    pub(super) fn replicate_all(&mut self, now: Instant) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let ids: Vec<ReplicaId> = leader.progress.keys().copied().collect();
        for id in ids {
            self.replicate(now, id);
        }
    }

    /// Sends batches until the replica's flow control stops it or nothing is left.
    pub(super) fn replicate(&mut self, now: Instant, to: ReplicaId) {
        while self.wants_entries(to) {
            self.send_entries(now, to);
        }
    }

    fn wants_entries(&self, to: ReplicaId) -> bool {
        let RoleState::Leader(leader) = &self.role_state else {
            return false;
        };
        leader
            .progress
            .get(&to)
            .is_some_and(|it| it.can_send(self.settings.max_inflight) && it.next <= self.log.last())
    }

    /// Sends the heartbeat of a round: entries if any may be sent, else an empty append.
    ///
    /// First resends a part of a snapshot if it is overdue.
    pub(super) fn send_heartbeat(&mut self, now: Instant, to: ReplicaId) {
        self.resend_chunk(now, to);
        if self.wants_entries(to) {
            self.replicate(now, to);
            return;
        }
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let known = leader.progress.get(&to).map_or(0, Progress::presumed_match);
        // Entries no longer held are committed, so there is nothing to compare: index 0
        // always matches, and the answer only confirms the round.
        let prev_index = if known < self.log.base() { 0 } else { known };
        self.send_append(to, prev_index, 0);
    }

    fn send_entries(&mut self, now: Instant, to: ReplicaId) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let Some(next) = leader.progress.get(&to).map(|it| it.next) else {
            return;
        };
        if next <= self.log.base() {
            self.start_install(now, to);
            return;
        }
        let last = self.send_append(to, next - 1, self.settings.max_batch_bytes);
        if let RoleState::Leader(leader) = &mut self.role_state
            && let Some(progress) = leader.progress.get_mut(&to)
        {
            progress.sent(last);
        }
    }

    /// Sends the entries after an index, none if `max_bytes` is zero.
    ///
    /// Returns the index of the last entry sent.
    fn send_append(&mut self, to: ReplicaId, prev_index: Index, max_bytes: usize) -> Index {
        let RoleState::Leader(leader) = &self.role_state else {
            return prev_index;
        };
        let entries = if max_bytes == 0 {
            Vec::new()
        } else {
            self.log.batch(prev_index + 1, max_bytes)
        };
        let last = entries.last().map_or(prev_index, |it| it.index);
        let append = Append {
            round: leader.round,
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            entries,
            commit: self.commit,
        };
        self.send(to, Body::Append(append));
        last
    }

    pub(super) fn on_append(&mut self, now: Instant, from: ReplicaId, append: &Append) {
        self.become_follower(now, self.hard.term, Some(from));
        let round = append.round;
        if !self.log.matches_prev(append) {
            let result = AppendResult::Mismatch {
                prev_index: append.prev_index,
                hint: self.log.conflict_hint(append),
            };
            self.send(from, Body::AppendAnswer { round, result });
            return;
        }
        let fresh = self.log.merge(self.commit, &append.entries);
        if !fresh.is_empty() {
            self.effects.push(Effect::Append(fresh));
        }
        let matched = append
            .entries
            .last()
            .map_or(append.prev_index, |it| it.index);
        let result = AppendResult::Matched(matched);
        self.send(from, Body::AppendAnswer { round, result });
        self.commit_to(append.commit.min(matched));
    }

    pub(super) fn on_append_answer(
        &mut self,
        now: Instant,
        from: ReplicaId,
        round: u64,
        result: AppendResult,
    ) {
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.active = Some(now);
        progress.round = progress.round.max(round);
        match result {
            AppendResult::Matched(index) => progress.matched(index.min(self.log.last())),
            AppendResult::Mismatch { prev_index, hint } => progress.mismatched(prev_index, hint),
        }
        self.replicate(now, from);
        self.advance_commit(now);
        self.check_rounds(now);
    }
}
