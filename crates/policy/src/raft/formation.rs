//! The one-time formation of a cluster.
//!
//! The replica that is asked to form a cluster draws a random formation id and
//! asks every named voter for a promise to join it. A promise is durable. Only
//! when all voters have promised may any of them campaign. A restart does not
//! start a formation, as an empty folder holds no promise.
//!
//! A folder that is lost before its promise would stop a formation for good. So a
//! data folder may leave a formation that has not started, for one that replaces it:
//!
//! - Formations have levels, which are part of their ids, and a folder leaves only for
//!   a higher one.
//! - A replacement keeps a majority of the voters of each formation that one of its
//!   own voters has left.
//! - A folder never leaves a formation that it has seen start.
//!
//! Two formations with a voter in common can therefore not both start: a majority that
//! elects a leader of the lower one shares a voter with the higher one, and that voter
//! never promises to join another formation.

use std::time::Instant;

use indexmap::IndexSet;

use crate::id::ReplicaId;

use super::{
    Node, Refusal, Token, Voters,
    message::{Body, Message},
};

/// Maximum number of voters in a formation.
pub const MAX_VOTERS: usize = 7;

/// Most sets of voters of formations that a folder has left.
const MAX_LEFT: usize = 16;

/// Highest level of a formation.
const MAX_LEVEL: u64 = 128;

/// The cluster that a data folder belongs to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Formation {
    /// Random id of the cluster; its lowest bits are the level.
    pub id: u64,
    /// Initial voters; empty on a replica that joined later.
    pub voters: Voters,
    /// Whether every voter is known to have promised.
    pub active: bool,
    /// Voters of the formations that the folder has left for this one.
    pub left: Vec<Voters>,
    /// Whether `left` is complete; a build without replacements drops it.
    pub left_known: bool,
}

impl Formation {
    /// A random id of this level: odd on the lowest, as builds without levels draw it.
    fn draw_id(random: u64, level: u64) -> u64 {
        if level == 0 {
            return random | 1;
        }
        let random = (random & !0xff).max(0x100);
        random | (level - 1) << 1
    }

    /// Its level, from 0 to [`MAX_LEVEL`].
    fn level(id: u64) -> u64 {
        if id.is_multiple_of(2) {
            1 + ((id & 0xff) >> 1)
        } else {
            0
        }
    }

    /// Whether the folder may leave it for a formation of these voters.
    fn may_be_replaced(&self, voters: &Voters) -> bool {
        let keeps_majority = |former: &Voters| {
            let former = former.ids();
            let kept = former.iter().filter(|it| voters.contains(**it)).count();
            kept > former.len() / 2
        };
        let knows_all = self.left_known || Self::level(self.id) == 0;
        let has_room = self.left.len() < MAX_LEFT;
        let mut former = self.left.iter().chain([&self.voters]);
        !self.active && knows_all && has_room && former.all(keeps_majority)
    }

    /// The formation of these voters that the folder leaves this one for.
    fn replaced_by(&self, id: u64, voters: Voters) -> Self {
        let mut left = self.left.clone();
        if !left.contains(&self.voters) {
            left.push(self.voters.clone());
        }
        Self {
            id,
            voters,
            active: false,
            left,
            left_known: true,
        }
    }
}

/// A formation that is still collecting promises.
#[derive(Debug)]
pub(super) struct Forming {
    /// Requests for it.
    tokens: Vec<Token>,
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
            Some(formation)
                if formation.may_be_replaced(&voters)
                    && Formation::level(formation.id) < MAX_LEVEL =>
            {
                let level = Formation::level(formation.id) + 1;
                let id = Formation::draw_id(self.random, level);
                self.bind(formation.replaced_by(id, voters));
            }
            Some(formation) if formation.voters == voters => {}
            Some(_) => {
                let replica = self.id;
                self.answer(token, Err(Refusal::Promised { replica }));
                return;
            }
            None => self.promise(Formation::draw_id(self.random, 0), voters),
        }
        let mut tokens = self.forming.take().map_or_else(Vec::new, |it| it.tokens);
        tokens.push(token);
        self.forming = Some(Forming {
            tokens,
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
            left_known: true,
            ..Formation::default()
        });
    }

    /// Binds the data folder to a formation, in one write.
    fn bind(&mut self, formation: Formation) {
        self.formation_refused = false;
        let replica = self.id;
        self.end_forming(&Err(Refusal::Promised { replica }));
        self.log.set_initial_voters(formation.voters.clone());
        self.hard.formation = Some(formation);
        self.save_hard();
    }

    /// Stops collecting promises, if it does, and answers the requests for that.
    fn end_forming(&mut self, outcome: &Result<(), Refusal>) {
        let tokens = self.forming.take().map_or_else(Vec::new, |it| it.tokens);
        for token in tokens {
            self.answer(token, outcome.clone());
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
        match &self.hard.formation {
            None => self.promise(id, voters.clone()),
            Some(formation)
                if Formation::level(id) > Formation::level(formation.id)
                    && formation.may_be_replaced(voters) =>
            {
                self.bind(formation.replaced_by(id, voters.clone()));
            }
            Some(_) => {}
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
        self.formation_refused = true;
        self.end_forming(&Err(Refusal::Promised { replica: from }));
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
        self.save_hard();
        self.end_forming(&Ok(()));
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
                    self.save_hard();
                    self.end_forming(&Ok(()));
                }
                true
            }
            Some(formation) if formation.active => false,
            Some(_) | None if joins => {
                self.bind(Formation {
                    id: message.formation,
                    active: true,
                    left_known: true,
                    ..Formation::default()
                });
                true
            }
            Some(_) | None => false,
        }
    }
}
