//! Failure detection and gossip among the daemons, after SWIM.
//!
//! Every daemon probes one member at a time and, when it gets no answer, asks a
//! few others to probe that member too. Membership updates are piggybacked on
//! the probes.
//!
//! - A record is ordered by its incarnation, then by its state. Only the member
//!   itself raises its incarnation, so that it can refute a wrong suspicion.
//!   Incarnations start at the wall clock's milliseconds, so a restarted daemon
//!   supersedes its earlier records without persistent state.
//! - A missed probe is gossiped only if another reachable daemon reports a
//!   missed probe of the same member (a nack). Without a nack the fault may be
//!   this daemon's own, and the suspicion stays local. An isolated, paused or
//!   overloaded daemon thus does not get others evicted.
//! - A gap between two ticks means that this process was stopped: pending probes
//!   are dropped and suspicion timeouts are extended by the gap.
//! - The platform's list says which members to probe first and which ones may be
//!   admitted; the probes say which are reachable.
//! - Tables are compared bucket by bucket at intervals, so that updates lost
//!   during a network partition arrive after it.

mod listing;
mod message;
mod peer;
mod probe;
mod rumor;
mod settings;
mod sync;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::Rng;

use crate::{
    id::{Incarnation, InstanceId, Revision},
    member::{Member, Members, State},
    platform::List,
};

pub use message::{Kind, MAX_CONTENT_BYTES, Message, Vital, hash};
pub use settings::{MAX_AHEAD_MS, MAX_MEMBERS, Settings};

use listing::Listing;
use message::{MAX_VITAL_BYTES, max_encoded_len};
use peer::{Peer, state_rank};
use probe::{IndirectProbe, Probe};
use rumor::Rumors;

/// Minimum time between two unsolicited replies to one daemon.
const MIN_REPLY_INTERVAL: Duration = Duration::from_millis(100);

/// Status that this daemon advertises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalStatus {
    /// Whether it has stopped taking new work.
    pub leaving: bool,
    /// Catalogue revision in force here.
    pub revision: Revision,
    /// Requests in progress here.
    pub load: u32,
    /// Whether it holds proof that its catalogue is current.
    pub current: bool,
}

/// Action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Message to send.
        message: Message,
    },
    /// Log and count an event.
    Report(Event),
}

/// Event for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An instance was admitted, or came back after it was dead.
    Joined(InstanceId),
    /// An instance did not answer its probes.
    Suspected(InstanceId),
    /// A suspected instance refuted the suspicion.
    Refuted(InstanceId),
    /// An instance stopped taking new work.
    Leaving(InstanceId),
    /// An instance was declared dead, or announced its shutdown.
    Died(InstanceId),
    /// Another daemon suspected this one, which refuted it with this incarnation.
    SelfSuspected(Incarnation),
    /// This process did not run for this long.
    Stalled(Duration),
    /// The platform's list now says that this instance is leaving, or no longer does.
    ListedLeaving(bool),
    /// A message in the name of this instance came from an unexpected address.
    AddressMismatch(InstanceId),
}

/// Shutdown progress of this daemon; it only advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Exit {
    /// No shutdown requested.
    None,
    /// Shutdown requested; finishes the requests in progress.
    Leaving,
    /// Shutdown announced to the others.
    Departed,
}

/// Membership state machine of one daemon.
#[derive(Debug)]
pub struct Swim {
    settings: Settings,
    me: Member,
    status: LocalStatus,
    exit: Exit,
    stamp_base: u64,
    started: Instant,
    last_stamp: u64,
    stamped: Option<Instant>,
    peers: IndexMap<InstanceId, Peer>,
    hashes: IndexMap<u64, InstanceId>,
    listing: Listing,
    /// Addresses to probe as long as no known member has them.
    seeds: Vec<SocketAddr>,
    rumors: Rumors,
    probes: IndexMap<u32, Probe>,
    indirect_probes: IndexMap<u32, IndirectProbe>,
    probe_order: Vec<InstanceId>,
    next_seq: u32,
    health: u32,
    last_tick: Option<Instant>,
    last_heard: Option<Instant>,
    next_probe: Instant,
    next_rejoin: Instant,
    next_sync: Instant,
    syncs_served: (Instant, u32),
    /// When an unknown sender last got an unsolicited reply.
    last_unknown_reply: Option<Instant>,
    changed: bool,
    publish_now: bool,
    published_at: Option<Instant>,
}

impl Swim {
    /// A daemon that knows no other member.
    ///
    /// `started_ms` is the wall clock in milliseconds. `me.incarnation`,
    /// `me.state` and the fields of [`LocalStatus`] are overwritten.
    #[must_use]
    pub fn new(now: Instant, started_ms: u64, me: Member, settings: Settings) -> Self {
        let base = started_ms.max(1);
        let me = Member {
            incarnation: base,
            state: State::Alive,
            revision: 0,
            load: 0,
            current: false,
            ..me
        };
        let mut swim = Self {
            settings,
            me,
            status: LocalStatus::default(),
            exit: Exit::None,
            stamp_base: base,
            started: now,
            last_stamp: base,
            stamped: None,
            peers: IndexMap::new(),
            hashes: IndexMap::new(),
            listing: Listing::default(),
            seeds: Vec::new(),
            rumors: Rumors::default(),
            probes: IndexMap::new(),
            indirect_probes: IndexMap::new(),
            probe_order: Vec::new(),
            next_seq: 1,
            health: 0,
            last_tick: None,
            last_heard: None,
            next_probe: now,
            next_rejoin: now,
            next_sync: now,
            syncs_served: (now, 0),
            last_unknown_reply: None,
            changed: false,
            publish_now: true,
            published_at: None,
        };
        swim.rumors.add(&swim.me.id);
        swim
    }

    /// This daemon's own record.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All known daemons by name, including this one.
    #[must_use]
    pub fn members(&self, now: Instant) -> Members {
        let isolated = self.is_isolated(now);
        let mut members: Members = self
            .peers
            .values()
            .map(|peer| {
                let member = peer.with_state(self.visible_state(now, peer, isolated));
                (member.id.clone(), member)
            })
            .collect();
        members.insert(self.me.id.clone(), self.me.clone());
        members.sort_unstable_keys();
        members
    }

    /// One daemon, as in [`Self::members`].
    #[must_use]
    pub fn member(&self, now: Instant, id: &InstanceId) -> Option<Member> {
        if *id == self.me.id {
            return Some(self.me.clone());
        }
        let peer = self.peers.get(id)?;
        let state = self.visible_state(now, peer, self.is_isolated(now));
        Some(peer.with_state(state))
    }

    /// Whether the members should be published again; clears the flag.
    ///
    /// State changes are published at once. Loads and revisions are batched, since
    /// they change with every datagram.
    pub fn take_changed(&mut self, now: Instant) -> bool {
        let elapsed = self
            .published_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.settings.publish_interval);
        let due = self.publish_now || (self.changed && elapsed);
        if !due {
            return false;
        }
        self.publish_now = false;
        self.changed = false;
        self.published_at = Some(now);
        true
    }

    /// Whether members are known that are not dead, but none was heard from recently.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        let expected = self
            .peers
            .values()
            .any(|peer| peer.member.state != State::Dead);
        let silent = self
            .last_heard
            .is_none_or(|at| now.saturating_duration_since(at) > self.settings.isolation_timeout);
        expected && silent
    }

    /// Counts for the metrics: queued rumors, pending probes, listed instances.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize, usize) {
        (
            self.rumors.len(),
            self.probes.len() + self.indirect_probes.len(),
            self.listing.len(),
        )
    }

    /// Local health score; zero is healthy, and each point lengthens probe timeouts.
    #[must_use]
    pub fn health(&self) -> u32 {
        self.health
    }

    /// Updates the status that this daemon advertises.
    pub fn set_status<R>(&mut self, now: Instant, status: LocalStatus, rng: &mut R) -> Vec<Effect>
    where
        R: Rng,
    {
        if status == self.status {
            return Vec::new();
        }
        let proof_changed = status.current != self.status.current;
        self.status = status;
        self.changed = true;
        self.me.revision = status.revision;
        self.me.load = status.load;
        self.me.current = status.current;
        if proof_changed {
            self.publish_now = true;
            self.restamp(now);
        }
        self.update_own_state(now, rng)
    }

    /// Applies a reading of the platform's list.
    pub fn set_list<R>(&mut self, now: Instant, list: &List, rng: &mut R) -> Vec<Effect>
    where
        R: Rng,
    {
        self.listing.update(now, list, self.settings.list_grace);
        self.publish_now = true;
        if !self.has_live_peer() {
            self.next_rejoin = now;
        }
        self.update_own_state(now, rng)
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Whether this daemon takes no new work, by its own decision or the list's.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.me.state != State::Alive
    }

    /// Announces permanently that this daemon takes no new work.
    pub fn leave<R>(&mut self, now: Instant, rng: &mut R) -> Vec<Effect>
    where
        R: Rng,
    {
        self.exit = self.exit.max(Exit::Leaving);
        self.update_own_state(now, rng)
    }

    /// Announces that this daemon shuts down now.
    pub fn depart<R>(&mut self, rng: &mut R) -> Vec<Effect>
    where
        R: Rng,
    {
        self.exit = Exit::Departed;
        self.me.state = State::Dead;
        self.publish_now = true;
        self.rumors.add(&self.me.id);
        self.push_rumors(self.settings.leave_fanout, rng)
    }

    /// Runs the periodic work; must be called every [`Settings::tick`].
    pub fn tick<R>(&mut self, now: Instant, rng: &mut R) -> Vec<Effect>
    where
        R: Rng,
    {
        if self.exit == Exit::Departed {
            return Vec::new();
        }
        let mut effects = self.check_stall(now);
        effects.extend(self.update_own_state(now, rng));
        self.refresh_stamp(now);
        effects.extend(self.check_probes(now, rng));
        effects.extend(self.expire_indirect_probes(now));
        effects.extend(self.expire_suspicions(now));
        effects.extend(self.start_probe(now, rng));
        effects.extend(self.start_rejoin(now, rng));
        effects.extend(self.start_sync(now, rng));
        if self.rumors.has_fresh() {
            effects.extend(self.push_rumors(self.settings.fanout, rng));
        }
        self.forget_dead(now);
        effects
    }

    /// Handles a datagram.
    pub fn on_message<R>(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: Message,
        rng: &mut R,
    ) -> Vec<Effect>
    where
        R: Rng,
    {
        if self.exit == Exit::Departed || message.from == self.me.id {
            return Vec::new();
        }
        if !self.is_valid_source(&message.from, from) {
            return vec![Effect::Report(Event::AddressMismatch(message.from))];
        }
        self.last_heard = Some(now);
        let mut effects = Vec::new();
        let mut range_ids = Vec::new();
        for record in message.records {
            if matches!(message.kind, Kind::Range { .. }) {
                range_ids.push((record.id.clone(), record.incarnation, record.state));
            }
            effects.extend(self.merge(now, record));
        }
        for vital in message.vitals {
            self.merge_vital(now, &vital);
        }
        let answer = self.note_sender(now, &message.from, message.incarnation);
        match message.kind {
            Kind::Ping { seq } => {
                effects.push(self.send(from, Kind::Ack { seq }, answer.required, answer.want));
                self.send_wanted_record(from, message.want, &mut effects);
                return effects;
            }
            Kind::Ack { seq } => effects.extend(self.on_ack(now, seq)),
            Kind::Nack { seq } => self.on_nack(seq),
            Kind::Ask { seq, target } => effects.extend(self.on_ask(now, from, seq, &target)),
            Kind::Gossip => {}
            Kind::Digest { buckets } => effects.extend(self.on_digest(now, from, &buckets)),
            Kind::Range { low, high, reply } => {
                if reply {
                    effects.extend(self.on_range(from, low, high, &range_ids));
                }
            }
        }
        let has_reply = !answer.required.is_empty() || answer.want;
        if has_reply && self.may_reply(now, &message.from) {
            effects.push(self.send(from, Kind::Gossip, answer.required, answer.want));
        }
        self.send_wanted_record(from, message.want, &mut effects);
        let _ = rng;
        effects
    }

    /// Whether an unsolicited reply may be sent to this instance now.
    ///
    /// Without the rate limit, two daemons that disagree on a record would keep
    /// replying to each other's replies.
    fn may_reply(&mut self, now: Instant, id: &InstanceId) -> bool {
        let last = match self.peers.get_mut(id) {
            Some(peer) => &mut peer.last_unsolicited_reply,
            None => &mut self.last_unknown_reply,
        };
        let elapsed = last.is_none_or(|at| now.saturating_duration_since(at) >= MIN_REPLY_INTERVAL);
        if elapsed {
            *last = Some(now);
        }
        elapsed
    }

    /// Sends this daemon's record if the sender asked for it.
    fn send_wanted_record(&mut self, to: SocketAddr, want: bool, effects: &mut Vec<Effect>) {
        if want {
            effects.push(self.send(to, Kind::Gossip, vec![self.me.clone()], false));
        }
    }

    /// Whether messages of this instance may come from this address.
    fn is_valid_source(&self, id: &InstanceId, from: SocketAddr) -> bool {
        let known = self.peers.get(id).map(|peer| peer.member.peer.ip());
        let listed = self.listing.get(id).map(|listed| listed.peer.ip());
        match (known, listed) {
            (None, None) => !self.listing.is_read(),
            (known, listed) => known == Some(from.ip()) || listed == Some(from.ip()),
        }
    }

    /// State to publish: that of the record, unless a local suspicion, isolation of
    /// this daemon or the list overrides it.
    fn visible_state(&self, now: Instant, peer: &Peer, isolated: bool) -> State {
        match peer.member.state {
            State::Alive if isolated || peer.locally_suspected_since.is_some() => State::Suspect,
            State::Alive if self.listed_as_leaving(now, &peer.member.id) => State::Leaving,
            state => state,
        }
    }

    fn listed_as_leaving(&self, now: Instant, id: &InstanceId) -> bool {
        self.listing.is_leaving(now, id, self.settings.return_hold)
    }

    /// Derives this daemon's state from its shutdown progress, its status and the
    /// platform's list.
    fn update_own_state<R>(&mut self, now: Instant, rng: &mut R) -> Vec<Effect>
    where
        R: Rng,
    {
        let listed = self.listed_as_leaving(now, &self.me.id);
        let leaving = self.exit != Exit::None || self.status.leaving || listed;
        let state = if leaving {
            State::Leaving
        } else {
            State::Alive
        };
        if self.exit == Exit::Departed || state == self.me.state {
            return Vec::new();
        }
        self.me.state = state;
        self.raise_incarnation(now, self.me.incarnation);
        let mut effects = Vec::new();
        if self.exit == Exit::None && !self.status.leaving {
            effects.push(Effect::Report(Event::ListedLeaving(listed)));
        }
        effects.extend(self.push_rumors(self.settings.leave_fanout, rng));
        effects
    }

    /// Raises this daemon's incarnation above `seen`.
    fn raise_incarnation(&mut self, now: Instant, seen: Incarnation) {
        self.me.incarnation = seen.max(self.me.incarnation).saturating_add(1);
        self.rumors.add(&self.me.id);
        self.publish_now = true;
        self.restamp(now);
    }

    /// Gives this daemon's vitals a new timestamp.
    fn restamp(&mut self, now: Instant) {
        let due = self.wall_ms(now);
        let next = self.last_stamp.saturating_add(1);
        self.last_stamp = due.max(next).max(self.me.incarnation);
        self.stamped = Some(now);
    }

    /// Wall clock at the start plus the monotonic time since, in milliseconds.
    fn wall_ms(&self, now: Instant) -> u64 {
        let age = u64::try_from(now.saturating_duration_since(self.started).as_millis());
        self.stamp_base.saturating_add(age.unwrap_or(u64::MAX))
    }

    /// Whether an incarnation or timestamp is too far ahead to come from a clock.
    fn is_implausible(&self, now: Instant, number: u64) -> bool {
        number > self.wall_ms(now).saturating_add(MAX_AHEAD_MS)
    }

    fn refresh_stamp(&mut self, now: Instant) {
        let interval = self.settings.vitals_interval(self.peers.len());
        let due = self
            .stamped
            .is_none_or(|at| now.saturating_duration_since(at) >= interval);
        if due {
            self.restamp(now);
        }
    }

    /// Merges a record received from another daemon.
    fn merge(&mut self, now: Instant, record: Member) -> Vec<Effect> {
        if self.is_implausible(now, record.incarnation) {
            return Vec::new();
        }
        if record.id == self.me.id {
            return self.refute(now, &record);
        }
        let Some(peer) = self.peers.get_mut(&record.id) else {
            return self.admit(now, record);
        };
        let old = peer.member.state;
        if !peer.apply(now, &record) {
            return Vec::new();
        }
        self.rumors.add(&record.id);
        self.publish_now = true;
        transition(old, &record)
            .map(Effect::Report)
            .into_iter()
            .collect()
    }

    /// Adds an unknown instance, if the list allows it and there is room.
    fn admit(&mut self, now: Instant, record: Member) -> Vec<Effect> {
        let allowed = !self.listing.is_read()
            || self
                .listing
                .recently_listed(now, &record.id, self.settings.list_grace);
        if record.state == State::Dead || !allowed || !self.make_room() {
            return Vec::new();
        }
        let id = record.id.clone();
        self.hashes.insert(hash(&id), id.clone());
        self.peers.insert(id.clone(), Peer::new(now, record));
        self.rumors.add(&id);
        self.publish_now = true;
        vec![Effect::Report(Event::Joined(id))]
    }

    /// Makes room for one more instance by removing the one dead for longest.
    fn make_room(&mut self) -> bool {
        if self.peers.len() < MAX_MEMBERS {
            return true;
        }
        let oldest = self
            .peers
            .values()
            .filter(|peer| peer.member.state == State::Dead)
            .min_by_key(|peer| peer.state_since)
            .map(|peer| peer.member.id.clone());
        match oldest {
            Some(id) => {
                self.remove(&id);
                true
            }
            None => false,
        }
    }

    fn remove(&mut self, id: &InstanceId) {
        self.peers.swap_remove(id);
        self.hashes.swap_remove(&hash(id));
        self.rumors.remove(id);
        self.publish_now = true;
    }

    /// Refutes a record of this daemon that it did not issue.
    fn refute(&mut self, now: Instant, record: &Member) -> Vec<Effect> {
        let stale = record.incarnation < self.me.incarnation;
        let same = record.incarnation == self.me.incarnation && record.state == self.me.state;
        if stale || same {
            return Vec::new();
        }
        self.raise_incarnation(now, record.incarnation);
        vec![Effect::Report(Event::SelfSuspected(self.me.incarnation))]
    }

    fn merge_vital(&mut self, now: Instant, vital: &Vital) {
        if self.is_implausible(now, vital.stamp) {
            return;
        }
        if vital.subject == hash(&self.me.id) {
            if vital.stamp > self.last_stamp {
                self.last_stamp = vital.stamp;
                self.restamp(now);
            }
            return;
        }
        let id = self.hashes.get(&vital.subject);
        let Some(peer) = id.and_then(|id| self.peers.get_mut(id)) else {
            return;
        };
        let had_proof = peer.has_proof();
        self.changed |= peer.apply_vital(vital);
        self.publish_now |= peer.has_proof() != had_proof;
    }

    /// Records contact with the sender; returns what to send to it and request from it.
    fn note_sender(&mut self, now: Instant, id: &InstanceId, incarnation: Incarnation) -> Reply {
        let Some(peer) = self.peers.get_mut(id) else {
            return Reply {
                required: Vec::new(),
                want: true,
            };
        };
        peer.last_heard = Some(now);
        if peer.locally_suspected_since.take().is_some() {
            self.publish_now = true;
        }
        let accused = matches!(peer.member.state, State::Suspect | State::Dead);
        let outranked = incarnation < peer.member.incarnation;
        if peer.member.state == State::Leaving {
            peer.suspected_since = None;
        }
        Reply {
            required: if accused || outranked {
                vec![peer.member.clone()]
            } else {
                Vec::new()
            },
            want: incarnation > peer.member.incarnation,
        }
    }

    /// Gossips the pending rumors to a few random members at once.
    fn push_rumors<R>(&mut self, fanout: usize, rng: &mut R) -> Vec<Effect>
    where
        R: Rng,
    {
        let targets = self.sample_peers(fanout, rng, |_| true);
        self.rumors.clear_fresh();
        targets
            .into_iter()
            .map(|to| self.send(to, Kind::Gossip, Vec::new(), false))
            .collect()
    }

    /// Builds a datagram: the required records, then rumors, then vitals.
    fn send(&mut self, to: SocketAddr, kind: Kind, required: Vec<Member>, want: bool) -> Effect {
        let mut records = required;
        let mut room = MAX_CONTENT_BYTES.saturating_sub(kind.max_payload_len());
        let mut vitals = Vec::new();
        for record in &records {
            room = room.saturating_sub(max_encoded_len(record) + MAX_VITAL_BYTES);
            vitals.extend(
                self.peers
                    .get(&record.id)
                    .filter(|it| it.stamp > 0)
                    .map(Peer::vital),
            );
        }
        let limit = self.settings.transmissions(self.peers.len());
        for id in self.rumors.select(limit) {
            let record = match self.peers.get(&id) {
                Some(peer) => &peer.member,
                None if id == self.me.id => &self.me,
                None => continue,
            };
            if records.iter().any(|it| it.id == id) {
                continue;
            }
            let needed = max_encoded_len(record);
            if needed > room {
                break;
            }
            room -= needed;
            records.push(record.clone());
            self.rumors.mark_sent(&id);
        }
        vitals.extend(self.select_vitals(room / MAX_VITAL_BYTES));
        let message = Message {
            from: self.me.id.clone(),
            incarnation: self.me.incarnation,
            kind,
            want,
            records,
            vitals,
        };
        Effect::Send { to, message }
    }

    /// This daemon's vitals, then those sent least often.
    fn select_vitals(&mut self, room: usize) -> Vec<Vital> {
        let most = room.min(self.settings.max_vitals);
        if most == 0 {
            return Vec::new();
        }
        let mut vitals = vec![Vital {
            subject: hash(&self.me.id),
            stamp: self.last_stamp,
            revision: self.me.revision,
            load: self.me.load,
            current: self.me.current,
        }];
        let limit = self.settings.transmissions(self.peers.len());
        let mut due: Vec<_> = self
            .peers
            .values()
            .enumerate()
            .filter(|(_, peer)| peer.has_vital_to_send(limit))
            .map(|(at, peer)| (peer.send_order(), at))
            .collect();
        let take = (most - 1).min(due.len());
        if take < due.len() {
            due.select_nth_unstable(take);
        }
        for (_, at) in due.into_iter().take(take) {
            if let Some((_, peer)) = self.peers.get_index_mut(at) {
                vitals.push(peer.next_vital());
            }
        }
        vitals
    }

    /// Removes members that have been dead for [`Settings::forget_after`].
    fn forget_dead(&mut self, now: Instant) {
        let forget_after = self.settings.forget_after;
        let gone: Vec<InstanceId> = self
            .peers
            .values()
            .filter(|peer| peer.member.state == State::Dead)
            .filter(|peer| now.saturating_duration_since(peer.state_since) >= forget_after)
            .map(|peer| peer.member.id.clone())
            .collect();
        for id in gone {
            self.remove(&id);
        }
    }
}

/// What the sender of a message must be sent and asked for.
struct Reply {
    required: Vec<Member>,
    want: bool,
}

/// Event that reports a change of state, if any.
fn transition(old: State, record: &Member) -> Option<Event> {
    let id = record.id.clone();
    match (old, record.state) {
        (State::Dead, State::Alive) => Some(Event::Joined(id)),
        (State::Suspect, State::Alive) => Some(Event::Refuted(id)),
        (old, new) if state_rank(old) == state_rank(new) => None,
        (_, State::Suspect) => Some(Event::Suspected(id)),
        (_, State::Leaving) => Some(Event::Leaving(id)),
        (_, State::Dead) => Some(Event::Died(id)),
        (_, State::Alive) => None,
    }
}
