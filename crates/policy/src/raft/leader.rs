//! The leader: heartbeats, quorum rounds and their proofs, reads, proposals and commits.

use std::{
    collections::VecDeque,
    mem,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::id::{Index, ReplicaId};

use super::{
    Effect, Entry, MAX_REPLICAS, Node, Payload, Proposal, Refusal, RoleState, Token,
    progress::Progress, replace::Request,
};

/// Maximum number of reads that wait for a quorum round to start.
const MAX_PENDING_READS: usize = 16_384;

/// One round of messages to every replica, which a quorum confirms by answering.
#[derive(Debug)]
struct Round {
    number: u64,
    at: Instant,
    /// Commit index at its start; none if no entry of the leader's term was committed yet.
    commit: Option<Index>,
    reads: Vec<Token>,
}

/// State that only a leader has.
#[derive(Debug)]
pub(super) struct Leader {
    /// When it became leader.
    pub(super) since: Instant,
    pub(super) progress: IndexMap<ReplicaId, Progress>,
    /// Rounds that no quorum has confirmed yet.
    rounds: VecDeque<Round>,
    /// Number of the latest round.
    pub(super) round: u64,
    /// Start of the latest round that a quorum confirmed.
    confirmed: Instant,
    /// Reads that wait for the next round.
    reads: Vec<Token>,
    /// Index of the first entry of its term.
    pub(super) first_index: Index,
    pub(super) replacement: Option<Request>,
    pub(super) next_heartbeat: Instant,
}

impl Leader {
    /// Time since a replica last answered, or since this node leads if it never did.
    pub(super) fn silence(&self, now: Instant, id: ReplicaId) -> Duration {
        let active = self.progress.get(&id).and_then(|it| it.active);
        now.saturating_duration_since(active.unwrap_or(self.since))
    }

    /// Tokens of all pending requests.
    pub(super) fn tokens(self) -> impl Iterator<Item = Token> {
        let rounds = self.rounds.into_iter().flat_map(|it| it.reads);
        let replacement = self.replacement.map(|it| it.token);
        rounds.chain(self.reads).chain(replacement)
    }
}

impl Node {
    /// Becomes leader of the current term.
    pub(super) fn become_leader(&mut self, now: Instant) {
        let last = self.log.last();
        self.role_state = RoleState::Leader(Box::new(Leader {
            since: now,
            progress: IndexMap::new(),
            rounds: VecDeque::new(),
            round: 0,
            confirmed: now,
            reads: Vec::new(),
            first_index: last + 1,
            replacement: None,
            next_heartbeat: now,
        }));
        self.update_progress(now);
        // Replicas that join later get the initial voters from the log.
        let first = if last == 0 {
            Payload::Voters(self.log.voters().clone())
        } else {
            Payload::Noop
        };
        self.append(first);
        self.send_heartbeats(now);
        self.advance_commit(now);
    }

    /// Steps down if no quorum has confirmed a round for an election timeout.
    pub(super) fn check_quorum(&mut self, now: Instant) {
        if let RoleState::Leader(leader) = &self.role_state
            && now.saturating_duration_since(leader.confirmed) >= self.settings.election_timeout
        {
            self.become_follower(now, self.hard.term, None);
        }
    }

    /// Starts and stops tracking replicas as voters and peers change.
    pub(super) fn update_progress(&mut self, now: Instant) {
        let voters = self.log.voters().clone();
        let last = self.log.last();
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let wanted = voters.ids().iter().chain(&self.peers).copied();
        let wanted: Vec<ReplicaId> = wanted.filter(|it| *it != self.id).collect();
        leader.progress.retain(|id, _| wanted.contains(id));
        for id in wanted {
            if leader.progress.len() < MAX_REPLICAS {
                leader
                    .progress
                    .entry(id)
                    .or_insert_with(|| Progress::new(last));
            }
        }
        leader.next_heartbeat = leader
            .next_heartbeat
            .min(now + self.settings.heartbeat_interval);
    }

    /// Starts a heartbeat round, which also resends what was lost.
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        leader.next_heartbeat = now + self.settings.heartbeat_interval;
        for progress in leader.progress.values_mut() {
            progress.on_heartbeat();
        }
        self.start_quorum_round(now);
    }

    /// Starts a quorum round and sends every replica a heartbeat or the entries it lacks.
    fn start_quorum_round(&mut self, now: Instant) {
        self.push_round(now);
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let ids: Vec<ReplicaId> = leader.progress.keys().copied().collect();
        for id in ids {
            self.send_heartbeat(now, id);
        }
        self.check_rounds(now);
    }

    fn push_round(&mut self, now: Instant) {
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let term_committed = self.commit >= leader.first_index;
        leader.round += 1;
        let reads = if term_committed {
            mem::take(&mut leader.reads)
        } else {
            Vec::new()
        };
        leader.rounds.push_back(Round {
            number: leader.round,
            at: now,
            commit: term_committed.then_some(self.commit),
            reads,
        });
    }

    /// Completes confirmed rounds: reports what the latest proves and answers their reads.
    pub(super) fn check_rounds(&mut self, now: Instant) {
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let (me, round) = (self.id, leader.round);
        let agreed = self.log.voters().quorum_value(|id| {
            if id == me {
                return round;
            }
            leader.progress.get(&id).map_or(0, |it| it.round)
        });
        let mut proved = None;
        let mut answered = Vec::new();
        while let Some(front) = leader.rounds.pop_front_if(|it| it.number <= agreed) {
            leader.confirmed = leader.confirmed.max(front.at);
            proved = front.commit.map(|index| (index, front.at)).or(proved);
            answered.extend(front.reads);
        }
        let more = leader.rounds.is_empty() && !leader.reads.is_empty();
        let term_committed = self.commit >= leader.first_index;
        if let Some((index, at)) = proved {
            self.effects.push(Effect::Proved { index, at });
        }
        for token in answered {
            self.answer(token, Ok(()));
        }
        if more && term_committed {
            self.start_quorum_round(now);
        }
    }

    /// Answers a read once a quorum round that starts now or later is confirmed.
    pub(super) fn read(&mut self, now: Instant, token: Token) {
        let refusal = self.not_leader();
        let RoleState::Leader(leader) = &mut self.role_state else {
            self.answer(token, Err(refusal));
            return;
        };
        if leader.reads.len() >= MAX_PENDING_READS {
            self.answer(token, Err(Refusal::Busy));
            return;
        }
        leader.reads.push(token);
        self.check_rounds(now);
    }

    pub(super) fn propose_all(&mut self, now: Instant, proposals: Vec<Proposal>) {
        for Proposal { token, command } in proposals {
            let bytes = command.bytes();
            let limit = self.settings.chunk_bytes;
            if !matches!(self.role_state, RoleState::Leader(_)) {
                let refusal = self.not_leader();
                self.answer(token, Err(refusal));
            } else if bytes > limit {
                self.answer(token, Err(Refusal::TooLarge { bytes, limit }));
            } else if self.log.bytes_after(self.commit) + bytes
                > self.settings.max_uncommitted_bytes
            {
                self.answer(token, Err(Refusal::Busy));
            } else {
                let index = self.append(Payload::Command(command));
                let term = self.hard.term;
                self.effects.push(Effect::Accepted { token, index, term });
            }
        }
        self.replicate_all(now);
        self.advance_commit(now);
    }

    /// Appends an entry to the leader's own log.
    pub(super) fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.last() + 1;
        let entry = Entry::new(index, self.hard.term, payload);
        let entry = Arc::new(entry);
        self.log.push(Arc::clone(&entry));
        self.effects.push(Effect::Append(vec![entry]));
        index
    }

    /// Commits what a majority holds, if the last such entry is of this term.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let (me, last) = (self.id, self.log.last());
        let agreed = self.log.voters().quorum_value(|id| {
            if id == me {
                return last;
            }
            leader.progress.get(&id).map_or(0, |it| it.matched)
        });
        if agreed > self.commit && self.log.term(agreed) == Some(self.hard.term) {
            self.commit_to(agreed);
        }
        self.advance_replacement(now);
    }
}
