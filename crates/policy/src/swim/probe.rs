//! Direct and indirect probes, and the suspicions that follow from missed ones.

use std::{net::SocketAddr, time::Instant};

use rand::{
    Rng, RngExt,
    seq::{IndexedRandom, SliceRandom},
};

use crate::{
    id::InstanceId,
    member::{Member, State},
};

use super::{Effect, Event, Swim, message::Kind};

/// Upper bound of the local health score, which lengthens probe timeouts.
const MAX_HEALTH: u32 = 4;

/// Maximum pending probes on behalf of other daemons.
const MAX_INDIRECT_PROBES: usize = 64;

/// A pending probe.
#[derive(Debug)]
pub(super) struct Probe {
    target: InstanceId,
    started: Instant,
    /// Proxies that were asked to probe too; none before the direct timeout.
    proxies: Option<usize>,
    /// Proxies that reached this daemon, but not the target.
    nacks: usize,
}

/// A pending probe on behalf of another daemon.
#[derive(Debug)]
pub(super) struct IndirectProbe {
    asker: SocketAddr,
    seq: u32,
    started: Instant,
}

impl Swim {
    /// Detects that this process was stopped, and excludes the gap from suspicions.
    pub(super) fn check_stall(&mut self, now: Instant) -> Vec<Effect> {
        let last = self.last_tick.replace(now);
        let gap = last.map_or(self.settings.tick, |last| {
            now.saturating_duration_since(last)
        });
        if gap <= self.settings.stall_threshold {
            return Vec::new();
        }
        self.probes.clear();
        self.indirect_probes.clear();
        self.health = (self.health + 1).min(MAX_HEALTH);
        for peer in self.peers.values_mut() {
            peer.suspected_since = peer.suspected_since.map(|at| at + gap);
        }
        self.last_heard = Some(now);
        vec![Effect::Report(Event::Stalled(gap))]
    }

    /// Starts the next probe when it is due.
    pub(super) fn start_probe<R>(&mut self, now: Instant, rng: &mut R) -> Vec<Effect>
    where
        R: Rng,
    {
        if now < self.next_probe {
            return Vec::new();
        }
        let interval = self.settings.probe_interval(self.peers.len());
        self.next_probe = now + interval.mul_f64(rng.random_range(0.9..1.1));
        let Some(target) = self.next_target(rng) else {
            return Vec::new();
        };
        vec![self.probe(now, target)]
    }

    fn probe(&mut self, now: Instant, target: Member) -> Effect {
        let seq = self.take_seq();
        let probe = Probe {
            target: target.id.clone(),
            started: now,
            proxies: None,
            nacks: 0,
        };
        self.probes.insert(seq, probe);
        let to = target.peer;
        let required = if target.state == State::Suspect {
            vec![target]
        } else {
            Vec::new()
        };
        self.send(to, Kind::Ping { seq }, required, false)
    }

    /// Next instance of the round; each round visits all in a new random order.
    fn next_target<R>(&mut self, rng: &mut R) -> Option<Member>
    where
        R: Rng,
    {
        for _ in 0..2 {
            while let Some(id) = self.probe_order.pop() {
                let peer = self.peers.get(&id);
                if let Some(peer) = peer.filter(|peer| peer.member.state != State::Dead) {
                    return Some(peer.member.clone());
                }
            }
            self.probe_order = self.peers.keys().cloned().collect();
            self.probe_order.shuffle(rng);
        }
        None
    }

    fn take_seq(&mut self) -> u32 {
        let seq = self.next_seq;
        self.next_seq = self.next_seq.wrapping_add(1);
        seq
    }

    /// Starts indirect probes after the direct timeout, and ends overdue probes.
    pub(super) fn check_probes<R>(&mut self, now: Instant, rng: &mut R) -> Vec<Effect>
    where
        R: Rng,
    {
        let timeout = self.settings.total_probe_timeout + self.settings.probe_timeout * self.health;
        let mut effects = Vec::new();
        let (mut late, mut silent) = (Vec::new(), Vec::new());
        for (seq, probe) in &self.probes {
            let waited = now.saturating_duration_since(probe.started);
            if waited >= timeout {
                late.push(*seq);
            } else if waited >= self.settings.probe_timeout && probe.proxies.is_none() {
                silent.push(*seq);
            }
        }
        for seq in silent {
            effects.extend(self.probe_indirectly(seq, rng));
        }
        for seq in late {
            if let Some(probe) = self.probes.shift_remove(&seq) {
                effects.extend(self.on_missed_probe(now, &probe));
            }
        }
        effects
    }

    fn probe_indirectly<R>(&mut self, seq: u32, rng: &mut R) -> Vec<Effect>
    where
        R: Rng,
    {
        let Some(target) = self.probes.get(&seq).map(|probe| probe.target.clone()) else {
            return Vec::new();
        };
        let proxies = self.sample_peers(self.settings.proxies, rng, |member| member.id != target);
        if let Some(probe) = self.probes.get_mut(&seq) {
            probe.proxies = Some(proxies.len());
        }
        proxies
            .into_iter()
            .map(|to| {
                let target = target.clone();
                self.send(to, Kind::Ask { seq, target }, Vec::new(), false)
            })
            .collect()
    }

    /// Handles a probe that stayed without an answer.
    fn on_missed_probe(&mut self, now: Instant, probe: &Probe) -> Vec<Effect> {
        if probe.nacks > 0 {
            return self.suspect(now, &probe.target);
        }
        if probe.proxies.is_some_and(|count| count > 0) {
            self.health = (self.health + 1).min(MAX_HEALTH);
        }
        if let Some(peer) = self.peers.get_mut(&probe.target)
            && peer.locally_suspected_since.is_none()
            && peer.member.state != State::Dead
        {
            peer.locally_suspected_since = Some(now);
            self.publish_now = true;
            // The next probe goes to the same target, to get a confirming nack soon.
            self.probe_order.push(probe.target.clone());
        }
        Vec::new()
    }

    /// Suspects an instance that did not answer another daemon either.
    fn suspect(&mut self, now: Instant, id: &InstanceId) -> Vec<Effect> {
        let Some(peer) = self.peers.get_mut(id) else {
            return Vec::new();
        };
        if peer.suspected_since.is_none() {
            peer.suspected_since = Some(now);
        }
        if peer.member.state != State::Alive {
            return Vec::new();
        }
        peer.member.state = State::Suspect;
        peer.state_since = now;
        self.rumors.add(id);
        self.publish_now = true;
        vec![Effect::Report(Event::Suspected(id.clone()))]
    }

    /// Declares members dead whose suspicion timed out.
    pub(super) fn expire_suspicions(&mut self, now: Instant) -> Vec<Effect> {
        let isolated = self.is_isolated(now);
        let living = self
            .peers
            .values()
            .filter(|it| it.member.state != State::Dead);
        let (members, suspected) = living.fold((1, 0), |(members, suspected), peer| {
            (
                members + 1,
                suspected + usize::from(peer.suspected_since.is_some()),
            )
        });
        let timeout = self.settings.scaled_suspicion_timeout(suspected, members);
        let mut dead = Vec::new();
        for (id, peer) in &mut self.peers {
            let Some(since) = peer.suspected_since else {
                continue;
            };
            let reached = peer.last_heard.is_some_and(|heard| heard > since);
            if isolated || reached {
                peer.suspected_since = Some(now);
            } else if now.saturating_duration_since(since) >= timeout {
                dead.push(id.clone());
            }
        }
        dead.iter().map(|id| self.declare_dead(now, id)).collect()
    }

    fn declare_dead(&mut self, now: Instant, id: &InstanceId) -> Effect {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.member.state = State::Dead;
            peer.suspected_since = None;
            peer.locally_suspected_since = None;
            peer.state_since = now;
        }
        self.rumors.add(id);
        self.publish_now = true;
        Effect::Report(Event::Died(id.clone()))
    }

    /// Probes instances that are listed or known, but not reachable.
    pub(super) fn start_rejoin<R>(&mut self, now: Instant, rng: &mut R) -> Vec<Effect>
    where
        R: Rng,
    {
        if now < self.next_rejoin {
            return Vec::new();
        }
        let alone = !self.has_live_peer();
        let interval = if alone {
            self.settings.rejoin_interval / 4
        } else {
            self.settings.rejoin_interval
        };
        self.next_rejoin = now + interval.mul_f64(rng.random_range(0.8..1.2));
        // A hold time of the platform's list may have ended, which changes a state.
        self.changed = true;
        let unreachable = self.unreachable();
        let most = if alone { self.settings.fanout } else { 1 };
        let chosen: Vec<_> = unreachable.sample(rng, most).cloned().collect();
        chosen
            .into_iter()
            .map(|(to, record)| {
                let seq = self.take_seq();
                let mut required = vec![self.me.clone()];
                required.extend(record);
                self.send(to, Kind::Ping { seq }, required, false)
            })
            .collect()
    }

    /// Addresses of unreachable instances, with their last records.
    fn unreachable(&self) -> Vec<(SocketAddr, Option<Member>)> {
        let dead = self
            .peers
            .values()
            .filter(|it| it.member.state == State::Dead || it.locally_suspected_since.is_some())
            .map(|peer| (peer.member.peer, Some(peer.member.clone())));
        let unknown = self
            .listing
            .present()
            .filter(|(id, _)| **id != self.me.id && !self.peers.contains_key(*id))
            .map(|(_, address)| (address, None));
        let known = |address: SocketAddr| {
            let mut peers = self.peers.values();
            address == self.me.peer || peers.any(|peer| peer.member.peer == address)
        };
        let seeds = self.seeds.iter().filter(|it| !known(**it));
        dead.chain(unknown)
            .chain(seeds.map(|address| (*address, None)))
            .collect()
    }

    /// Whether any other known instance is not dead.
    pub(super) fn has_live_peer(&self) -> bool {
        self.peers
            .values()
            .any(|peer| peer.member.state != State::Dead)
    }

    /// Addresses of up to `most` random reachable members that satisfy `fits`.
    pub(super) fn sample_peers<R, F>(&self, most: usize, rng: &mut R, fits: F) -> Vec<SocketAddr>
    where
        R: Rng,
        F: Fn(&Member) -> bool,
    {
        let reachable: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|peer| matches!(peer.member.state, State::Alive | State::Leaving))
            .filter(|peer| peer.locally_suspected_since.is_none() && peer.suspected_since.is_none())
            .filter(|peer| fits(&peer.member))
            .map(|peer| peer.member.peer)
            .collect();
        reachable.sample(rng, most).copied().collect()
    }

    /// Handles an answer to a probe of this daemon, or to one on behalf of another.
    pub(super) fn on_ack(&mut self, now: Instant, seq: u32) -> Vec<Effect> {
        if let Some(probe) = self.probes.shift_remove(&seq) {
            self.health = self.health.saturating_sub(1);
            if let Some(peer) = self.peers.get_mut(&probe.target) {
                peer.last_heard = Some(now);
                self.publish_now |= peer.locally_suspected_since.take().is_some();
            }
            return Vec::new();
        }
        let Some(indirect) = self.indirect_probes.shift_remove(&seq) else {
            return Vec::new();
        };
        let kind = Kind::Ack { seq: indirect.seq };
        vec![self.send(indirect.asker, kind, Vec::new(), false)]
    }

    /// Handles a proxy's report that the target did not answer.
    pub(super) fn on_nack(&mut self, seq: u32) {
        if let Some(probe) = self.probes.get_mut(&seq) {
            probe.nacks += 1;
        }
    }

    /// Handles a request for an indirect probe.
    pub(super) fn on_ask(
        &mut self,
        now: Instant,
        asker: SocketAddr,
        seq: u32,
        target: &InstanceId,
    ) -> Vec<Effect> {
        let address = self.peers.get(target).map(|peer| peer.member.peer);
        let Some(address) = address.filter(|_| self.indirect_probes.len() < MAX_INDIRECT_PROBES)
        else {
            return Vec::new();
        };
        let own_seq = self.take_seq();
        let indirect = IndirectProbe {
            asker,
            seq,
            started: now,
        };
        self.indirect_probes.insert(own_seq, indirect);
        vec![self.send(address, Kind::Ping { seq: own_seq }, Vec::new(), false)]
    }

    /// Sends a nack for each probe on behalf of others that timed out.
    pub(super) fn expire_indirect_probes(&mut self, now: Instant) -> Vec<Effect> {
        let timeout = self.settings.probe_timeout;
        let late: Vec<u32> = self
            .indirect_probes
            .iter()
            .filter(|(_, indirect)| now.saturating_duration_since(indirect.started) >= timeout)
            .map(|(seq, _)| *seq)
            .collect();
        let mut effects = Vec::new();
        for seq in late {
            if let Some(indirect) = self.indirect_probes.shift_remove(&seq) {
                let kind = Kind::Nack { seq: indirect.seq };
                effects.push(self.send(indirect.asker, kind, Vec::new(), false));
            }
        }
        effects
    }
}
