//! The one-time formation of a cluster.
//!
//! The replica that is asked to form a cluster draws a random formation id and
//! asks every named voter for a promise to join it. A promise is durable. Only
//! when all voters have promised may any of them campaign. A restart does not
//! start a formation, as an empty folder holds no promise.
//!
//! A folder that is lost before its promise would stop a formation for good. So a
//! data folder may leave one formation that has not started, for one that replaces
//! it. The parity of the id tells them apart: odd for a first formation, even for a
//! replacement, and a folder never leaves a replacement for another formation that
//! has not started. A replacement leaves out less than a majority of the voters of
//! each formation that its own voters leave. Two formations with a voter in common
//! can therefore not both start: a majority that elects a leader of the first
//! shares a voter with the replacement, and that voter never leaves a formation in
//! which it voted.

use std::time::Instant;

use indexmap::IndexSet;

use crate::id::ReplicaId;

use super::{
    Node, Refusal, Token, Voters,
    message::{Body, Message},
};

/// Maximum number of voters in a formation.
pub const MAX_VOTERS: usize = 7;

/// The cluster that a data folder belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Formation {
    /// Random id of the cluster.
    pub id: u64,
    /// Initial voters; empty on a replica that joined later.
    pub voters: Voters,
    /// Whether every voter is known to have promised.
    pub active: bool,
}

impl Formation {
    /// Whether a formation with this id replaces another.
    fn is_replacement(id: u64) -> bool {
        id.is_multiple_of(2)
    }

    /// Whether a folder that has promised to join may leave for a replacement.
    fn may_be_replaced(&self, voters: &Voters) -> bool {
        let named = self.voters.ids();
        let left_out = named.iter().filter(|it| !voters.contains(**it)).count();
        let majority = named.len() / 2 + 1;
        !self.active && !Self::is_replacement(self.id) && left_out < majority
    }
}

/// A formation that is still collecting promises.
#[derive(Debug)]
pub(super) struct Forming {
    token: Token,
    accepted: IndexSet<ReplicaId>,
    /// When to repeat the requests.
    pub(super) resend: Instant,
}

impl Node {
    pub(super) fn init(&mut self, now: Instant, token: Token, voters: Vec<ReplicaId>) {
        let named = voters.len();
        let voters = Voters::new(voters);
        let distinct = voters.ids().len() == named && named <= MAX_VOTERS;
        if !distinct || !voters.contains(self.id) {
            self.answer(token, Err(Refusal::InvalidVoters));
            return;
        }
        match &self.hard.formation {
            Some(formation) if formation.active => {
                self.answer(token, Err(Refusal::AlreadyFormed));
                return;
            }
            Some(formation) if formation.voters == voters && !self.formation_refused => {}
            Some(formation) if formation.may_be_replaced(&voters) => {
                // Zero is no id.
                let id = (self.random & !1).max(2);
                self.promise(id, voters);
            }
            Some(formation) if formation.voters == voters => {}
            Some(_) => {
                let replica = self.id;
                self.answer(token, Err(Refusal::Promised { replica }));
                return;
            }
            None => self.promise(self.random | 1, voters),
        }
        self.forming = Some(Forming {
            token,
            accepted: IndexSet::from([self.id]),
            resend: now,
        });
        self.resend_form_requests(now);
        self.check_promises(now);
    }

    fn promise(&mut self, id: u64, voters: Voters) {
        self.bind(Formation {
            id,
            voters,
            active: false,
        });
    }

    /// Binds the data folder to a formation, in one write.
    fn bind(&mut self, formation: Formation) {
        self.stop_forming();
        self.log.set_initial_voters(formation.voters.clone());
        self.hard.formation = Some(formation);
        self.save_hard();
    }

    /// Gives up the formation that this replica collects promises for, if any.
    fn stop_forming(&mut self) {
        self.formation_refused = false;
        if let Some(forming) = self.forming.take() {
            let replica = self.id;
            self.answer(forming.token, Err(Refusal::Promised { replica }));
        }
    }

    pub(super) fn resend_form_requests(&mut self, now: Instant) {
        let (Some(forming), Some(formation)) = (&mut self.forming, &self.hard.formation) else {
            return;
        };
        if now < forming.resend {
            return;
        }
        forming.resend = now + self.settings.heartbeat_interval;
        let voters = formation.voters.clone();
        let missing: Vec<ReplicaId> = voters
            .ids()
            .iter()
            .copied()
            .filter(|it| !forming.accepted.contains(it))
            .collect();
        for to in missing {
            let voters = voters.clone();
            self.send(to, Body::Form { voters });
        }
    }

    pub(super) fn on_form(&mut self, from: ReplicaId, id: u64, voters: &Voters) {
        if !voters.contains(self.id) || !voters.contains(from) || id == 0 {
            return;
        }
        let may_promise = match &self.hard.formation {
            None => true,
            Some(formation) => Formation::is_replacement(id) && formation.may_be_replaced(voters),
        };
        if may_promise {
            self.promise(id, voters.clone());
        }
        let promised = self.hard.formation.as_ref();
        let accepted = promised.is_some_and(|it| it.id == id && it.voters == *voters);
        self.effects.push(super::Effect::Send(Message {
            formation: id,
            from: self.id,
            to: from,
            term: self.hard.term,
            body: Body::FormAnswer { accepted },
        }));
    }

    pub(super) fn on_form_answer(
        &mut self,
        now: Instant,
        from: ReplicaId,
        id: u64,
        accepted: bool,
    ) {
        let ours = self.hard.formation.as_ref().is_some_and(|it| it.id == id);
        let Some(forming) = &mut self.forming else {
            return;
        };
        if !ours {
            return;
        }
        if accepted {
            forming.accepted.insert(from);
            self.check_promises(now);
            return;
        }
        let token = forming.token;
        self.forming = None;
        self.formation_refused = true;
        self.answer(token, Err(Refusal::Promised { replica: from }));
    }

    /// Activates the formation and campaigns once every voter has promised.
    fn check_promises(&mut self, now: Instant) {
        let (Some(forming), Some(formation)) = (&self.forming, &mut self.hard.formation) else {
            return;
        };
        let voters = formation.voters.ids();
        if !voters.iter().all(|it| forming.accepted.contains(it)) {
            return;
        }
        formation.active = true;
        let token = forming.token;
        self.forming = None;
        self.save_hard();
        self.answer(token, Ok(()));
        self.campaign(now);
    }

    /// Whether a message belongs to this replica's formation.
    ///
    /// A replica without a formation, or with one that has not started, joins that of a
    /// leader which sends it entries or a snapshot. A message of a promised formation shows
    /// that it is active.
    pub(super) fn accept_formation(&mut self, message: &Message) -> bool {
        let from_leader = matches!(message.body, Body::Append(_) | Body::Chunk(_));
        let joins = from_leader && message.formation != 0;
        match &mut self.hard.formation {
            Some(formation) if formation.id == message.formation => {
                if !formation.active {
                    formation.active = true;
                    self.forming = None;
                    self.save_hard();
                }
                true
            }
            Some(formation) if formation.active => false,
            Some(_) | None if joins => {
                self.bind(Formation {
                    id: message.formation,
                    voters: Voters::default(),
                    active: true,
                });
                true
            }
            Some(_) | None => false,
        }
    }
}
