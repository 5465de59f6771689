//! Elections: terms, votes and pre-votes.

use std::time::Instant;

use indexmap::IndexSet;

use crate::id::{ReplicaId, Term};

use super::{
    Node, RoleState,
    leader::Leader,
    message::{Body, LogPosition, Message},
};

/// Votes received in a campaign.
#[derive(Debug)]
pub(super) struct Ballot {
    /// Whether these are pre-votes.
    pre_vote: bool,
    granted: IndexSet<ReplicaId>,
}

impl Node {
    /// Asks for pre-votes, and then for votes if a majority grants the pre-votes.
    pub(super) fn campaign(&mut self, now: Instant) {
        if self.last_heard.is_none() {
            // The other replicas may still be starting, so retry soon.
            self.election_deadline = now + self.first_election_wait();
        } else {
            self.reset_election_deadline(now);
        }
        if !self.is_voter() || !self.formed() {
            return;
        }
        let term = self.hard.term + 1;
        self.request_votes(now, true, term);
    }

    /// Asks every voter; a pre-vote changes no term.
    fn request_votes(&mut self, now: Instant, pre_vote: bool, term: Term) {
        self.role_state = RoleState::Candidate(Ballot {
            pre_vote,
            granted: IndexSet::from([self.id]),
        });
        let last = self.log.end();
        for voter in self.other_voters() {
            let body = if pre_vote {
                Body::PreVote(last)
            } else {
                Body::Vote(last)
            };
            self.send_at(voter, term, body);
        }
        self.count_votes(now);
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let ids = self.log.voters().ids().iter().copied();
        ids.filter(|it| *it != self.id).collect()
    }

    /// Moves from pre-votes to votes, or from votes to leadership, on a majority.
    fn count_votes(&mut self, now: Instant) {
        let RoleState::Candidate(ballot) = &self.role_state else {
            return;
        };
        let voters = self.log.voters();
        let granted = ballot
            .granted
            .iter()
            .filter(|it| voters.contains(**it))
            .count();
        if granted < voters.majority() {
            return;
        }
        if !ballot.pre_vote {
            self.become_leader(now);
            return;
        }
        self.hard.term += 1;
        self.hard.vote = Some(self.id);
        self.save_hard();
        self.request_votes(now, false, self.hard.term);
    }

    /// Becomes a follower in `term`, of `leader` if it is known.
    pub(super) fn become_follower(&mut self, now: Instant, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.save_hard();
        }
        if let RoleState::Leader(old) =
            std::mem::replace(&mut self.role_state, RoleState::Follower { leader })
        {
            self.refuse_pending(*old);
        }
        if leader.is_some() {
            self.last_heard = Some(now);
        }
        self.reset_election_deadline(now);
    }

    /// Refuses the pending requests of a leader that has stepped down.
    fn refuse_pending(&mut self, leader: Leader) {
        let refusal = self.not_leader();
        for token in leader.tokens() {
            self.answer(token, Err(refusal.clone()));
        }
    }

    /// Whether a leader was active within an election timeout, so that no election is needed.
    fn has_leader(&self, now: Instant) -> bool {
        match &self.role_state {
            RoleState::Leader(_) => true,
            RoleState::Follower { .. } | RoleState::Candidate(_) => {
                self.last_heard.is_some_and(|at| {
                    now.saturating_duration_since(at) < self.settings.election_timeout
                })
            }
        }
    }

    pub(super) fn on_message(&mut self, now: Instant, message: Message) {
        if message.to != self.id {
            return;
        }
        match message.body {
            Body::Form { voters } => {
                self.on_form(message.from, message.formation, &voters);
                return;
            }
            Body::FormAnswer { accepted } => {
                self.on_form_answer(now, message.from, message.formation, accepted);
                return;
            }
            _ => {}
        }
        if !self.accept_formation(&message) {
            return;
        }
        match message.body {
            Body::PreVote(last) => self.on_pre_vote(now, message.from, message.term, last),
            Body::PreVoteAnswer { granted: true } if message.term == self.hard.term + 1 => {
                self.on_vote_answer(now, message.from, true);
            }
            _ => self.on_term(now, message),
        }
    }

    /// Handles a message that is valid only in the sender's term.
    fn on_term(&mut self, now: Instant, message: Message) {
        if message.term > self.hard.term {
            self.become_follower(now, message.term, None);
        }
        if message.term < self.hard.term {
            self.reject_stale(message.from, &message.body);
            return;
        }
        let from = message.from;
        match message.body {
            Body::Vote(last) => self.on_vote(now, from, last),
            Body::VoteAnswer { granted: true } => self.on_vote_answer(now, from, false),
            Body::Append(append) => self.on_append(now, from, &append),
            Body::AppendAnswer { round, result } => self.on_append_answer(now, from, round, result),
            Body::Chunk(chunk) => self.on_chunk(now, from, chunk),
            Body::ChunkAnswer {
                round,
                index,
                offset,
            } => self.on_chunk_answer(now, from, round, index, offset),
            Body::VoteAnswer { granted: false }
            | Body::PreVote(_)
            | Body::PreVoteAnswer { .. }
            | Body::Form { .. }
            | Body::FormAnswer { .. } => {}
        }
    }

    /// Tells a sender with an older term the current one.
    fn reject_stale(&mut self, from: ReplicaId, body: &Body) {
        if matches!(body, Body::Vote(_) | Body::Append(_) | Body::Chunk(_)) {
            self.send(from, Body::VoteAnswer { granted: false });
        }
    }

    fn on_pre_vote(&mut self, now: Instant, from: ReplicaId, term: Term, last: LogPosition) {
        let granted = term > self.hard.term && !self.has_leader(now) && last >= self.log.end();
        let answer_term = if granted { term } else { self.hard.term };
        self.send_at(from, answer_term, Body::PreVoteAnswer { granted });
    }

    fn on_vote(&mut self, now: Instant, from: ReplicaId, last: LogPosition) {
        let free = self.hard.vote.is_none_or(|it| it == from);
        let granted = free && last >= self.log.end();
        if granted {
            self.hard.vote = Some(from);
            self.save_hard();
            self.reset_election_deadline(now);
        }
        self.send(from, Body::VoteAnswer { granted });
    }

    fn on_vote_answer(&mut self, now: Instant, from: ReplicaId, pre_vote: bool) {
        if let RoleState::Candidate(ballot) = &mut self.role_state
            && ballot.pre_vote == pre_vote
        {
            ballot.granted.insert(from);
            self.count_votes(now);
        }
    }
}
