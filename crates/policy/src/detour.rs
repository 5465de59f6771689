//! Attempts by way of a peer, while this instance has lost its paths to the runners.
//!
//! Load pattern: some instances, perhaps most, reach no runner for seconds, while callers
//! and the other instances still reach them. One runner that cannot be reached may be
//! dead; several in a row, without an answer in between, show that the path is. Requests
//! then go to a peer that has a path, which makes the attempt in all respects, and a
//! runner is tested now and then. A connection that is opened need not let a request
//! through, so the detour ends only with the answer to one request that may run again.
//!
//! A peer may have a newer declaration in force. What it does for this instance must not be
//! followed by an older one's effects, so this instance takes no work below that version.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    id::{InstanceId, RunnerId, Version},
    member::{Member, Members},
};

/// Limits and times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Different runners in a row that must fail.
    pub min_unreached: usize,
    /// Time for which a failure counts.
    pub memory: Duration,
    /// Time between two tests of a runner.
    pub test_interval: Duration,
    /// Time for which a peer that cannot help is not asked.
    pub peer_pause: Duration,
    /// Time for which the outcome of a trial is awaited.
    pub trial_time: Duration,
    /// Time for which a peer's version binds; a proof of the catalogue that is newer than
    /// this covers it, so it is longer than the lease of the catalogue.
    pub version_memory: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_unreached: 2,
            memory: Duration::from_secs(10),
            test_interval: Duration::from_millis(500),
            peer_pause: Duration::from_secs(2),
            trial_time: Duration::from_secs(2),
            version_memory: Duration::from_secs(5),
        }
    }
}

/// Most runners remembered for tests.
const MAX_RUNNERS: usize = 32;

/// Requests in hand by which a peer in another failure domain may have fewer before it
/// is preferred.
const REMOTE_COST: u32 = 2;

/// Paths from this instance, and the peers that make its attempts.
#[derive(Debug, Default)]
pub struct Detour {
    settings: Settings,
    /// Runners that failed, with the time of the attempt; later answers remove them.
    unreached: IndexMap<RunnerId, Instant>,
    /// Addresses of the runners that were used last, the next one to test first.
    runners: IndexMap<RunnerId, SocketAddr>,
    tested_at: Option<Instant>,
    trial: Trial,
    peers: IndexMap<InstanceId, Peer>,
    /// Newest version that a peer named, and when.
    newest: Option<(Version, Instant)>,
}

/// The request that shows whether the path is back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Trial {
    /// No runner could be connected to since the last one.
    #[default]
    Closed,
    /// The next request that may run again is sent to a runner.
    Open,
    /// One was sent then.
    Sent(Instant),
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    in_hand: u32,
    paused_until: Option<Instant>,
}

impl Detour {
    /// A detour without failures.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records an attempt at a runner.
    pub fn on_attempt(&mut self, runner: &RunnerId, address: SocketAddr) {
        if self.runners.len() >= MAX_RUNNERS && !self.runners.contains_key(runner) {
            self.runners.shift_remove_index(0);
        }
        self.runners.insert(runner.clone(), address);
    }

    /// Records that an attempt made `at` did not reach a runner, or lost its connection.
    pub fn on_unreached(&mut self, at: Instant, runner: &RunnerId) {
        if self.unreached.len() >= MAX_RUNNERS {
            self.unreached.shift_remove_index(0);
        }
        self.unreached.insert(runner.clone(), at);
        self.trial = Trial::Closed;
    }

    /// Records that a runner answered an attempt that began at `began`.
    pub fn on_answer(&mut self, began: Instant) {
        self.unreached.retain(|_, at| *at >= began);
    }

    /// Whether this instance has lost its paths.
    #[must_use]
    pub fn is_cut_off(&self, now: Instant) -> bool {
        self.unreached(now).count() >= self.settings.min_unreached
    }

    /// Runners that failed lately, with no answer to a later attempt.
    ///
    /// The next attempts avoid them: another runner shows whether the path is lost.
    pub fn unreached(&self, now: Instant) -> impl Iterator<Item = &RunnerId> {
        let memory = self.settings.memory;
        let recent = move |at: &Instant| now.saturating_duration_since(*at) <= memory;
        let recent = self.unreached.iter().filter(move |(_, at)| recent(at));
        recent.map(|(runner, _)| runner)
    }

    /// The runner to test now, if one is due.
    pub fn test(&mut self, now: Instant) -> Option<SocketAddr> {
        let interval = self.settings.test_interval;
        let waits = |at: Instant| now.saturating_duration_since(at) < interval;
        if !self.is_cut_off(now) || self.tested_at.is_some_and(waits) {
            return None;
        }
        let (runner, address) = self.runners.shift_remove_index(0)?;
        self.runners.insert(runner, address);
        self.tested_at = Some(now);
        Some(address)
    }

    /// Records that a connection to the runner of a test was opened.
    pub fn on_test_passed(&mut self, now: Instant) {
        let awaited = match self.trial {
            Trial::Sent(at) => now.saturating_duration_since(at) < self.settings.trial_time,
            Trial::Closed | Trial::Open => false,
        };
        if !awaited {
            self.trial = Trial::Open;
        }
    }

    /// Whether a request that may run again is to be sent to a runner, as a trial.
    pub fn take_trial(&mut self, now: Instant) -> bool {
        let open = self.trial == Trial::Open;
        if open {
            self.trial = Trial::Sent(now);
        }
        open
    }

    /// The peer to make an attempt: of those that take work, the one with the fewest in
    /// hand, in the own failure domain first.
    ///
    /// `chance` decides among equals, so that instances do not all choose the same one.
    #[must_use]
    pub fn choose(
        &self,
        now: Instant,
        me: &InstanceId,
        members: &Members,
        tried: &[InstanceId],
        chance: usize,
    ) -> Option<(InstanceId, SocketAddr)> {
        let domain = members.get(me).map(|it| &it.domain);
        let able = |it: &&Member| {
            it.takes_work() && it.id != *me && !tried.contains(&it.id) && !self.is_paused(now, it)
        };
        let cost = |it: &Member| {
            let in_hand = self.peers.get(&it.id).map_or(0, |peer| peer.in_hand);
            let remote = domain.is_some_and(|domain| it.domain != *domain);
            in_hand + if remote { REMOTE_COST } else { 0 }
        };
        let candidates: Vec<&Member> = members.values().filter(able).collect();
        let least = candidates.iter().map(|it| cost(it)).min()?;
        let equal = candidates.into_iter().filter(|it| cost(it) == least);
        let equal: Vec<&Member> = equal.collect();
        let chosen = equal[chance % equal.len()];
        Some((chosen.id.clone(), chosen.callers))
    }

    /// Records that a peer has an attempt in hand.
    pub fn begin(&mut self, peer: &InstanceId) {
        self.peers.entry(peer.clone()).or_default().in_hand += 1;
    }

    /// Records that it has not any more.
    pub fn end(&mut self, peer: &InstanceId) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.in_hand = peer.in_hand.saturating_sub(1);
        }
    }

    /// Records that a peer has no path itself, takes no work, or cannot be reached.
    pub fn on_unable(&mut self, now: Instant, peer: &InstanceId) {
        let peer = self.peers.entry(peer.clone()).or_default();
        peer.paused_until = Some(now + self.settings.peer_pause);
    }

    /// Records the version of the declaration that a peer has in force.
    pub fn on_version(&mut self, now: Instant, version: Version) {
        if version > self.least_version(now) {
            self.newest = Some((version, now));
        }
    }

    /// Version below which this instance takes no work; zero if no peer named one lately.
    #[must_use]
    pub fn least_version(&self, now: Instant) -> Version {
        let memory = self.settings.version_memory;
        let binds = |at: Instant| now.saturating_duration_since(at) <= memory;
        let newest = self.newest.filter(|(_, at)| binds(*at));
        newest.map_or(0, |(version, _)| version)
    }

    /// Forgets peers that are no members any more.
    pub fn retain_peers(&mut self, members: &Members) {
        self.peers.retain(|peer, _| members.contains_key(peer));
    }

    fn is_paused(&self, now: Instant, member: &Member) -> bool {
        let until = self.peers.get(&member.id).and_then(|it| it.paused_until);
        until.is_some_and(|until| now < until)
    }
}
