//! What is known of one other instance.

use std::{cmp::Reverse, time::Instant};

use crate::member::{Member, State};

use super::message::{Vital, hash};

/// How often a proof that came or went is passed on before other fields.
const PRIORITY_SENDS: u32 = 10;

/// One other instance.
#[derive(Debug)]
pub(super) struct Peer {
    /// Its newest record, with the newest changing fields.
    pub(super) member: Member,
    /// When it took its present state here.
    pub(super) state_since: Instant,
    /// Since when it is suspected by the records, or silent while it leaves.
    pub(super) suspected_since: Option<Instant>,
    /// Since when this daemon alone does not reach it.
    pub(super) locally_suspected_since: Option<Instant>,
    /// When it was last heard directly.
    pub(super) last_heard: Option<Instant>,
    /// When it was last answered out of turn.
    pub(super) last_unsolicited_reply: Option<Instant>,
    /// When its changing fields were said, by its own clock.
    pub(super) stamp: u64,
    /// How often its changing fields were passed on since.
    pub(super) times_sent: u32,
    /// How often it is still told first, since its proof came or went.
    priority_sends: u32,
}

impl Peer {
    /// An instance that was not known before.
    pub(super) fn new(now: Instant, record: Member) -> Self {
        let suspected_since = (record.state == State::Suspect).then_some(now);
        let member = Member {
            revision: 0,
            load: 0,
            current: false,
            ..record
        };
        Self {
            member,
            state_since: now,
            suspected_since,
            locally_suspected_since: None,
            last_heard: None,
            last_unsolicited_reply: None,
            stamp: 0,
            times_sent: 0,
            priority_sends: 0,
        }
    }

    /// Takes a record that outranks the present one; false if it does not.
    pub(super) fn apply(&mut self, now: Instant, record: &Member) -> bool {
        if precedence(record) <= precedence(&self.member) {
            return false;
        }
        if record.state != self.member.state {
            self.state_since = now;
        }
        self.suspected_since = (record.state == State::Suspect).then_some(now);
        if record.incarnation > self.member.incarnation {
            // The subject spoke to somebody after the probe that it missed.
            self.locally_suspected_since = None;
        }
        let had_proof = self.has_proof();
        self.member = Member {
            revision: self.member.revision,
            load: self.member.load,
            current: self.member.current,
            ..record.clone()
        };
        self.note_proof_change(had_proof);
        true
    }

    /// Takes newer changing fields; true if they say something new.
    pub(super) fn apply_vital(&mut self, vital: &Vital) -> bool {
        if vital.stamp <= self.stamp {
            return false;
        }
        let had_proof = self.has_proof();
        let old = (self.member.revision, self.member.load);
        self.stamp = vital.stamp;
        self.times_sent = 0;
        self.member.revision = vital.revision;
        self.member.load = vital.load;
        self.member.current = vital.current;
        self.note_proof_change(had_proof);
        old != (self.member.revision, self.member.load) || had_proof != self.has_proof()
    }

    /// Notes whether the proof came or went.
    fn note_proof_change(&mut self, had_proof: bool) {
        if had_proof != self.has_proof() {
            self.priority_sends = PRIORITY_SENDS;
            self.times_sent = 0;
        }
    }

    /// Whether it says that its catalogue is current.
    ///
    /// What a former process said does not count: its dates are below the
    /// incarnation of the present one.
    pub(super) fn has_proof(&self) -> bool {
        let by_present_process = self.stamp >= self.member.incarnation;
        self.member.current && by_present_process && self.member.state != State::Dead
    }

    /// Its record as others may see it.
    pub(super) fn with_state(&self, state: State) -> Member {
        Member {
            state,
            current: self.has_proof(),
            ..self.member.clone()
        }
    }

    /// Place among those to be passed on; the lowest goes first.
    pub(super) fn send_order(&self) -> (bool, u32, Reverse<u64>) {
        (
            self.priority_sends == 0,
            self.times_sent,
            Reverse(self.stamp),
        )
    }

    /// Its changing fields, to be passed on now.
    pub(super) fn next_vital(&mut self) -> Vital {
        self.times_sent += 1;
        self.priority_sends = self.priority_sends.saturating_sub(1);
        self.vital()
    }

    /// Whether its changing fields are worth passing on.
    pub(super) fn has_vital_to_send(&self, limit: u32) -> bool {
        self.stamp > 0 && self.times_sent < limit && self.member.state != State::Dead
    }

    /// Its changing fields.
    pub(super) fn vital(&self) -> Vital {
        Vital {
            subject: hash(&self.member.id),
            stamp: self.stamp,
            revision: self.member.revision,
            load: self.member.load,
            current: self.member.current,
        }
    }
}

/// Place of a record among those of its subject; the higher one counts.
pub(super) fn precedence(member: &Member) -> (u64, u8) {
    (member.incarnation, state_rank(member.state))
}

/// Rank of a state at one incarnation.
pub(super) fn state_rank(state: State) -> u8 {
    match state {
        State::Alive => 0,
        State::Suspect => 1,
        State::Leaving => 2,
        State::Dead => 3,
    }
}
