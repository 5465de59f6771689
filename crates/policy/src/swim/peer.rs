//! State kept for one other instance.

use std::{cmp::Reverse, time::Instant};

use crate::member::{Member, State};

use super::message::{Vital, hash};

/// Transmissions of a gained or lost proof that go before other vitals.
const PRIORITY_SENDS: u32 = 10;

/// One other instance.
#[derive(Debug)]
pub(super) struct Peer {
    /// Its newest record, with the newest vitals.
    pub(super) member: Member,
    /// When this daemon recorded its present state.
    pub(super) state_since: Instant,
    /// Since when it is suspected by the records, or unreachable while leaving.
    pub(super) suspected_since: Option<Instant>,
    /// Since when it misses this daemon's probes without a confirming nack.
    pub(super) locally_suspected_since: Option<Instant>,
    /// When its last datagram arrived here.
    pub(super) last_heard: Option<Instant>,
    /// When it last got an unsolicited reply.
    pub(super) last_unsolicited_reply: Option<Instant>,
    /// Timestamp of its vitals, by its own clock in milliseconds; zero without any.
    pub(super) stamp: u64,
    /// Transmissions of its present vitals by this daemon.
    pub(super) times_sent: u32,
    /// Transmissions left that go before others, after its proof was gained or lost.
    priority_sends: u32,
}

impl Peer {
    /// A newly admitted instance.
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

    /// Applies a record that supersedes the present one; false if it does not.
    pub(super) fn apply(&mut self, now: Instant, record: &Member) -> bool {
        if precedence(record) <= precedence(&self.member) {
            return false;
        }
        if record.state != self.member.state {
            self.state_since = now;
        }
        self.suspected_since = (record.state == State::Suspect).then_some(now);
        if record.incarnation > self.member.incarnation {
            // The instance has been in contact with a daemon since it missed the probe.
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

    /// Applies newer vitals; true if a value changed.
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

    /// Schedules priority transmissions if the proof was gained or lost.
    fn note_proof_change(&mut self, had_proof: bool) {
        if had_proof != self.has_proof() {
            self.priority_sends = PRIORITY_SENDS;
            self.times_sent = 0;
        }
    }

    /// Whether it claims proof that its catalogue is current.
    ///
    /// Claims of an earlier process are ignored: their timestamps are below the
    /// incarnation of the present one.
    pub(super) fn has_proof(&self) -> bool {
        let by_present_process = self.stamp >= self.member.incarnation;
        self.member.current && by_present_process && self.member.state != State::Dead
    }

    /// Its record with this state, as published to the rest of the daemon.
    pub(super) fn with_state(&self, state: State) -> Member {
        Member {
            state,
            current: self.has_proof(),
            ..self.member.clone()
        }
    }

    /// Sort key for transmission; the lowest goes first.
    pub(super) fn send_order(&self) -> (bool, u32, Reverse<u64>) {
        (
            self.priority_sends == 0,
            self.times_sent,
            Reverse(self.stamp),
        )
    }

    /// Its vitals, counted as sent once more.
    pub(super) fn next_vital(&mut self) -> Vital {
        self.times_sent += 1;
        self.priority_sends = self.priority_sends.saturating_sub(1);
        self.vital()
    }

    /// Whether its vitals should still be sent, up to `limit` times.
    pub(super) fn has_vital_to_send(&self, limit: u32) -> bool {
        self.stamp > 0 && self.times_sent < limit && self.member.state != State::Dead
    }

    /// Its vitals.
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

/// Precedence of a record among those of its subject; the highest wins.
pub(super) fn precedence(member: &Member) -> (u64, u8) {
    (member.incarnation, state_rank(member.state))
}

/// Precedence of a state within one incarnation.
pub(super) fn state_rank(state: State) -> u8 {
    match state {
        State::Alive => 0,
        State::Suspect => 1,
        State::Leaving => 2,
        State::Dead => 3,
    }
}
