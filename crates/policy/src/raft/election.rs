//! Terms, votes and pre-votes.

use std::time::Instant;

use indexmap::IndexSet;

use crate::id::{ReplicaId, Term};

use super::{
    Node, Seat,
    leader::Leader,
    message::{Body, Last, Message},
};

/// Votes for a campaign.
#[derive(Debug)]
pub(super) struct Ballot {
    /// Whether votes are only sounded out so far.
    trial: bool,
    granted: IndexSet<ReplicaId>,
}

impl Node {
    /// Sounds out the voters, and asks for their votes if a majority would give them.
    pub(super) fn campaign(&mut self, now: Instant) {
        if self.heard.is_none() {
            // The others may have started later, and answer the next try.
            self.deadline = now + self.first_wait();
        } else {
            self.reset_deadline(now);
        }
        if !self.is_voter() || !self.formed() {
            return;
        }
        let term = self.hard.term + 1;
        self.poll(now, true, term);
    }

    /// Asks every voter; `trial` leaves terms as they are.
    fn poll(&mut self, now: Instant, trial: bool, term: Term) {
        self.seat = Seat::Candidate(Ballot {
            trial,
            granted: IndexSet::from([self.id]),
        });
        let last = self.log.end();
        for voter in self.other_voters() {
            let body = if trial {
                Body::PreVote(last)
            } else {
                Body::Vote(last)
            };
            self.send_at(voter, term, body);
        }
        self.count(now);
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let ids = self.log.voters().ids().iter().copied();
        ids.filter(|it| *it != self.id).collect()
    }

    /// Goes on once a majority has granted.
    fn count(&mut self, now: Instant) {
        let Seat::Candidate(ballot) = &self.seat else {
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
        if !ballot.trial {
            self.lead(now);
            return;
        }
        self.hard.term += 1;
        self.hard.vote = Some(self.id);
        self.save_hard();
        self.poll(now, false, self.hard.term);
    }

    /// Follows `leader`, if known, in `term`.
    pub(super) fn follow(&mut self, now: Instant, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.save_hard();
        }
        if let Seat::Leader(old) = std::mem::replace(&mut self.seat, Seat::Follower { leader }) {
            self.retire(*old);
        }
        if leader.is_some() {
            self.heard = Some(now);
        }
        self.reset_deadline(now);
    }

    /// Refuses what waits for a leader that has stepped down.
    fn retire(&mut self, leader: Leader) {
        let refusal = self.not_leader();
        for token in leader.tokens() {
            self.answer(token, Err(refusal.clone()));
        }
    }

    /// Whether a leader was heard of so lately that a campaign would only disturb.
    fn has_leader(&self, now: Instant) -> bool {
        match &self.seat {
            Seat::Leader(_) => true,
            Seat::Follower { .. } | Seat::Candidate(_) => self
                .heard
                .is_some_and(|at| now.saturating_duration_since(at) < self.settings.election),
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
        if !self.belongs(&message) {
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

    /// Handles what is bound to the sender's term.
    fn on_term(&mut self, now: Instant, message: Message) {
        if message.term > self.hard.term {
            self.follow(now, message.term, None);
        }
        if message.term < self.hard.term {
            self.refuse_old(message.from, &message.body);
            return;
        }
        let from = message.from;
        match message.body {
            Body::Vote(last) => self.on_vote(now, from, last),
            Body::VoteAnswer { granted: true } => self.on_vote_answer(now, from, false),
            Body::Append(append) => self.on_append(now, from, &append),
            Body::AppendAnswer { round, fit } => self.on_append_answer(now, from, round, fit),
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

    /// Tells a sender of an older term which term it is.
    fn refuse_old(&mut self, from: ReplicaId, body: &Body) {
        if matches!(body, Body::Vote(_) | Body::Append(_) | Body::Chunk(_)) {
            self.send(from, Body::VoteAnswer { granted: false });
        }
    }

    fn on_pre_vote(&mut self, now: Instant, from: ReplicaId, term: Term, last: Last) {
        let granted = term > self.hard.term && !self.has_leader(now) && last >= self.log.end();
        let told = if granted { term } else { self.hard.term };
        self.send_at(from, told, Body::PreVoteAnswer { granted });
    }

    fn on_vote(&mut self, now: Instant, from: ReplicaId, last: Last) {
        let free = self.hard.vote.is_none_or(|it| it == from);
        let granted = free && last >= self.log.end();
        if granted {
            self.hard.vote = Some(from);
            self.save_hard();
            self.reset_deadline(now);
        }
        self.send(from, Body::VoteAnswer { granted });
    }

    fn on_vote_answer(&mut self, now: Instant, from: ReplicaId, trial: bool) {
        if let Seat::Candidate(ballot) = &mut self.seat
            && ballot.trial == trial
        {
            ballot.granted.insert(from);
            self.count(now);
        }
    }
}
