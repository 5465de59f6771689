//! What is known of one other instance.

use std::{cmp::Reverse, time::Instant};

use crate::member::{Member, State};

use super::message::{Vital, hash};

/// How often a proof that came or went is passed on before other fields.
const TURN_TELLS: u32 = 10;

/// One other instance.
#[derive(Debug)]
pub(super) struct Peer {
    /// Its newest record, with the newest changing fields.
    pub(super) member: Member,
    /// When it took its present state here.
    pub(super) since: Instant,
    /// Since when it is suspected by the records, or silent while it leaves.
    pub(super) suspected: Option<Instant>,
    /// Since when this daemon alone does not reach it.
    pub(super) doubted: Option<Instant>,
    /// When it was last heard directly.
    pub(super) heard: Option<Instant>,
    /// When it was last answered out of turn.
    pub(super) answered: Option<Instant>,
    /// When its changing fields were said, by its own clock.
    pub(super) stamp: u64,
    /// How often its changing fields were passed on since.
    pub(super) told: u32,
    /// How often it is still told first, since its proof came or went.
    turn_tells: u32,
}

impl Peer {
    /// An instance that was not known before.
    pub(super) fn new(now: Instant, record: Member) -> Self {
        let suspected = (record.state == State::Suspect).then_some(now);
        let member = Member {
            revision: 0,
            load: 0,
            current: false,
            ..record
        };
        Self {
            member,
            since: now,
            suspected,
            doubted: None,
            heard: None,
            answered: None,
            stamp: 0,
            told: 0,
            turn_tells: 0,
        }
    }

    /// Takes a record that outranks the present one; false if it does not.
    pub(super) fn take(&mut self, now: Instant, record: &Member) -> bool {
        if order(record) <= order(&self.member) {
            return false;
        }
        if record.state != self.member.state {
            self.since = now;
        }
        self.suspected = (record.state == State::Suspect).then_some(now);
        if record.incarnation > self.member.incarnation {
            // The subject spoke to somebody after the probe that it missed.
            self.doubted = None;
        }
        let proven = self.proven();
        self.member = Member {
            revision: self.member.revision,
            load: self.member.load,
            current: self.member.current,
            ..record.clone()
        };
        self.turn(proven);
        true
    }

    /// Takes newer changing fields; true if they say something new.
    pub(super) fn take_vital(&mut self, vital: &Vital) -> bool {
        if vital.stamp <= self.stamp {
            return false;
        }
        let proven = self.proven();
        let old = (self.member.revision, self.member.load);
        self.stamp = vital.stamp;
        self.told = 0;
        self.member.revision = vital.revision;
        self.member.load = vital.load;
        self.member.current = vital.current;
        self.turn(proven);
        old != (self.member.revision, self.member.load) || proven != self.proven()
    }

    /// Notes whether the proof came or went.
    fn turn(&mut self, proven: bool) {
        if proven != self.proven() {
            self.turn_tells = TURN_TELLS;
            self.told = 0;
        }
    }

    /// Whether it says that its catalogue is current.
    ///
    /// What a former process said does not count: its dates are below the
    /// incarnation of the present one.
    pub(super) fn proven(&self) -> bool {
        let present = self.stamp >= self.member.incarnation;
        self.member.current && present && self.member.state != State::Dead
    }

    /// Its record as others may see it.
    pub(super) fn shown(&self, state: State) -> Member {
        Member {
            state,
            current: self.proven(),
            ..self.member.clone()
        }
    }

    /// Place among those to be passed on; the lowest goes first.
    pub(super) fn urgency(&self) -> (bool, u32, Reverse<u64>) {
        (self.turn_tells == 0, self.told, Reverse(self.stamp))
    }

    /// Its changing fields, to be passed on now.
    pub(super) fn tell(&mut self) -> Vital {
        self.told += 1;
        self.turn_tells = self.turn_tells.saturating_sub(1);
        self.vital()
    }

    /// Whether its changing fields are worth passing on.
    pub(super) fn tellable(&self, limit: u32) -> bool {
        self.stamp > 0 && self.told < limit && self.member.state != State::Dead
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
pub(super) fn order(member: &Member) -> (u64, u8) {
    (member.incarnation, rank(member.state))
}

/// Rank of a state at one incarnation.
pub(super) fn rank(state: State) -> u8 {
    match state {
        State::Alive => 0,
        State::Suspect => 1,
        State::Leaving => 2,
        State::Dead => 3,
    }
}
