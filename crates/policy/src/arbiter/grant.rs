//! Grants slots: floor first, then by tier, then to suspects; preempts last.

use std::time::{Duration, Instant};

use super::{
    Arbiter, Effect, Key, Note, Reply,
    hold::{GrantKind, Running},
    outage::REST,
    pool::{Obstacle, Query},
    queue::Item,
    suspect::Alone,
};
use crate::{
    catalogue::{Backend, URGENCY_LEVELS},
    id::{ClassId, DomainId, RunnerId},
};

/// Requests tried for one grant when the first ones fit no free runner.
const LOOK_AHEAD: usize = 8;

/// Most preemptions under way for waiting requests.
const MAX_PREEMPTING: usize = 8;

impl Arbiter {
    /// Grants and preempts whatever is possible now.
    pub(super) fn schedule(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.collecting.is_some() {
            return;
        }
        self.drop_lost_reservation();
        self.probe(now, effects);
        while self.pool.is_free(now) && self.grant_next(now, effects) {}
        self.pool.clear_changes();
        self.run_alone(now, effects);
        self.preempt(now, effects);
        // Who did not become the probe would wait for one probe after the other.
        if self.pool.is_unusable() {
            self.refuse_without_runner(now, effects);
        }
    }

    fn grant_next(&mut self, now: Instant, effects: &mut Vec<Effect>) -> bool {
        if let Some(key) = self.next_for_floor(now)
            && self.try_grant(now, key, GrantKind::Floor, effects)
        {
            return true;
        }
        let next = self.queue.next(now, URGENCY_LEVELS, LOOK_AHEAD);
        next.into_iter()
            .any(|key| self.try_grant(now, key, GrantKind::Priority, effects))
    }

    /// The request that the next floor grant would serve, if there is credit for one.
    fn next_for_floor(&self, now: Instant) -> Option<Key> {
        if !self.floor.has_credit() {
            return None;
        }
        let overrun = |class: &ClassId| {
            let class = self.catalogue.classes.get(class)?;
            self.floor.overrun(now, class)
        };
        let class = self
            .queue
            .waiting_classes()
            .filter_map(|class| Some((overrun(class)?, class)))
            .max_by_key(|(overrun, _)| *overrun)?;
        self.queue.next_of_class(class.1, now)
    }

    /// Grants the request on the best free runner, if one fits it.
    fn try_grant(
        &mut self,
        now: Instant,
        key: Key,
        kind: GrantKind,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(item) = self.queue.get(key) else {
            return false;
        };
        let query = self.query(now, item);
        let still_blocks = |it: &Obstacle| !self.pool.is_outdated(now, &query, it);
        if item.obstacle.as_ref().is_some_and(still_blocks) {
            return false;
        }
        let picked = if item.prompt.is_empty() {
            let warm = self.affinity.get(item.prefix);
            self.pool.pick(now, &query, warm)
        } else {
            self.pool.pick_for_prompt(now, &query)
        };
        let runner = match picked {
            Ok(runner) => runner,
            Err(obstacle) => {
                if self
                    .queue
                    .set_obstacle(key, obstacle, self.pool.is_held_back(now))
                {
                    effects.push(Effect::Note(Note::HeldBack));
                }
                return false;
            }
        };
        let Some(item) = self.queue.grant(key) else {
            return false;
        };
        if kind == GrantKind::Floor {
            self.floor.spend();
        } else {
            self.floor.earn();
        }
        self.grant(now, &item, runner, kind, effects);
        true
    }

    /// What a request asks of a runner.
    fn query<'a>(&'a self, now: Instant, item: &'a Item) -> Query<'a> {
        Query {
            avoid: &item.avoid,
            build: item.build.as_deref(),
            domain: self.domain_of(item.key),
            may_wait: item.may_wait_for_slot(now),
            class: &item.class.name,
            work: item.work(self.pauses.weight(&item.class.name)),
        }
    }

    /// Failure domain of the asker, if known.
    fn domain_of(&self, key: Key) -> Option<&DomainId> {
        self.domains.get(self.instances.get(&key.asker)?)
    }

    pub(super) fn grant(
        &mut self,
        now: Instant,
        item: &Item,
        runner: RunnerId,
        kind: GrantKind,
        effects: &mut Vec<Effect>,
    ) {
        let class = &item.class.name;
        let more = self.queue.class_len(class) > 0;
        self.floor.on_grant(now, class, more);
        self.estimate.on_grant(item.urgency_index());
        self.affinity.put(item.prefix, &runner);
        let (mut address, mut usage) = (None, None);
        let pause_weight = self.pauses.weight(&item.class.name);
        let work = self.pool.usual_work(class);
        if let Some(runner) = self.pool.get_mut(&runner) {
            runner.on_grant(now);
            runner.work += work;
            address = runner.address;
            if !item.prompt.is_empty() {
                usage = Some(runner.prompts.begin(now, &item.work(pause_weight)));
            }
        }
        self.pool.touch(&runner);
        let build = self.build_of(&runner);
        let running = Running {
            address,
            build,
            usage,
            work,
            exposed: self.marks.is_exposed(item.fingerprint),
            ..Running::new(now, item, runner, kind)
        };
        effects.push(Effect::Note(Note::Granted {
            tier: item.class.tier,
            floor: kind == GrantKind::Floor,
        }));
        self.send(item.key, running.grant(item.key), effects);
        self.insert_running(item.key, running);
    }

    /// Probes runners that are out of use with one request each, of the lowest
    /// waiting tier.
    fn probe(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        while let Some(runner) = self.pool.probe(now) {
            let build = self.build_of(&runner);
            let paths = &self.pool.paths;
            // Who has just failed there may have lost its path, which another runner shows.
            let avoids = |it: &Item| {
                it.avoid.contains(&runner) && self.pool.has_others(now, &self.query(now, it))
            };
            let last = self.queue.newest_of_lowest(0, |it| {
                it.may_run_at(&build) && !paths.is_cut_off(now, it.key.asker) && !avoids(it)
            });
            let Some(item) = last.and_then(|key| self.queue.get(key)) else {
                return;
            };
            let none_usable = self.pool.is_unusable();
            // Otherwise a runner would never come back into use while the lowest
            // class has no requests.
            let overdue = self
                .pool
                .get(&runner)
                .is_some_and(|it| it.is_probe_overdue(now));
            if self.queue.is_blocked(&item.account)
                || !(none_usable || overdue || self.is_lowest_tier(item.class.tier))
            {
                return;
            }
            let Some(item) = self.queue.grant(item.key) else {
                return;
            };
            self.grant(now, &item, runner, GrantKind::Priority, effects);
        }
    }

    /// Whether the catalogue has no class of a lower tier.
    fn is_lowest_tier(&self, tier: u8) -> bool {
        let lowest = self.catalogue.classes.values().map(|it| it.tier).max();
        lowest.is_none_or(|lowest| tier >= lowest)
    }

    /// Runs one suspect on a runner with no other requests.
    fn run_alone(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.drop_lost_reservation();
        if self.suspects.alone.is_none() {
            self.reserve_for_suspect(now);
        }
        let Some(alone) = self.suspects.alone.clone() else {
            return;
        };
        let runner = self.pool.get(&alone.runner);
        let ready = runner.is_some_and(|it| it.held == 0 && !it.is_held_back(now));
        if !ready || self.running.contains_key(&alone.key) {
            return;
        }
        if let Some(item) = self.suspects.remove(alone.key) {
            self.grant(now, &item, alone.runner, GrantKind::Alone, effects);
        }
    }

    /// Ends the reservation if its request or runner is gone.
    fn drop_lost_reservation(&mut self) {
        let Some(alone) = &self.suspects.alone else {
            return;
        };
        let usable = self
            .pool
            .get(&alone.runner)
            .is_some_and(super::runner::Runner::is_usable);
        let waits = self.suspects.get(alone.key).is_some();
        if self.running.contains_key(&alone.key) || (waits && usable) {
            return;
        }
        self.end_alone();
    }

    pub(super) fn end_alone(&mut self) {
        if let Some(alone) = self.suspects.alone.take()
            && let Some(runner) = self.pool.get_mut(&alone.runner)
        {
            runner.reserved = false;
            self.pool.touch(&alone.runner);
        }
    }

    /// Reserves a runner for the next suspect.
    ///
    /// While more urgent requests wait, only after the suspect's wait bound.
    fn reserve_for_suspect(&mut self, now: Instant) {
        let Some(item) = self.suspects.next() else {
            return;
        };
        if self.outage.rests(now, item.fingerprint) {
            return;
        }
        let waited = now.saturating_duration_since(item.arrived);
        let higher = !self.queue.next(now, item.urgency_index(), 1).is_empty();
        let account_full = self.queue.is_blocked(&item.account);
        if account_full || (higher && waited < item.class.wait_bound) {
            return;
        }
        // If no runner is usable, the suspect serves as the probe of one out of use.
        let build = item.build.as_deref();
        let usable = self.pool.least_loaded(now, &item.avoid, build);
        let due_for = if self.outage.includes(item.fingerprint) {
            REST
        } else {
            Duration::ZERO
        };
        let Some(runner) = usable.or_else(|| self.pool.probe_of(now, due_for, build)) else {
            return;
        };
        let key = item.key;
        if let Some(runner) = self.pool.get_mut(&runner) {
            runner.reserved = true;
        }
        self.suspects.alone = Some(Alone { key, runner });
    }

    /// Preempts lower tiers for requests that are running out of time.
    fn preempt(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let idle = self.victims.is_empty() || self.queue.len() == 0;
        // A freed slot is of no use where limits hold the requests back.
        if self.backend != Backend::Model || idle || self.pool.capacity().slots == 0 {
            return;
        }
        let urgent = self.urgent_tiers(now);
        for waiting in urgent.into_iter().skip(self.preempting) {
            let Some(victim) = self.choose_victim(waiting) else {
                return;
            };
            self.preempt_running(victim, waiting, effects);
        }
    }

    /// Tiers of those next requests that have waited long enough to preempt.
    fn urgent_tiers(&self, now: Instant) -> Vec<u8> {
        let next = self.queue.next(now, URGENCY_LEVELS, MAX_PREEMPTING);
        let items = next.into_iter().filter_map(|key| self.queue.get(key));
        let urgent = items.filter(|item| {
            let waited = now.saturating_duration_since(item.arrived);
            waited
                > item
                    .class
                    .first_token
                    .mul_f64(self.settings.preempt_after_share)
        });
        urgent.map(|item| item.class.tier).collect()
    }

    /// The running request to preempt for one of `tier`: the newest of the lowest
    /// tier, which has the least work done.
    fn choose_victim(&self, tier: u8) -> Option<Key> {
        let lower = self.victims.iter().rev();
        let mut lower = lower.take_while(|(it, ..)| *it > tier);
        let usable = |key: &Key| {
            let runner = self.running.get(key).map(|it| &it.runner);
            let runner = runner.and_then(|it| self.pool.get(it));
            runner.is_some_and(super::runner::Runner::is_usable)
        };
        lower.find(|(.., key)| usable(key)).map(|(.., key)| *key)
    }

    fn preempt_running(&mut self, key: Key, waiting: u8, effects: &mut Vec<Effect>) {
        if let Some(victim) = self.mark_preempting(key) {
            effects.push(Effect::Note(Note::Preempted { victim, waiting }));
            self.send(key, Reply::Preempt(key.ticket), effects);
        }
    }

    /// Marks a running request as being preempted; returns its tier.
    fn mark_preempting(&mut self, key: Key) -> Option<u8> {
        let running = self.running.get_mut(&key)?;
        running.preempting = true;
        let tier = running.class.tier;
        self.preempting += 1;
        self.victims.remove(&(tier, running.since, key));
        Some(tier)
    }

    /// Preempts the streams on a runner set aside as slow, so that they resume on
    /// other runners.
    pub(super) fn move_streams_off(&mut self, runner: &RunnerId, effects: &mut Vec<Effect>) {
        if self.backend != Backend::Model || !self.settings.move_from_slow {
            return;
        }
        let there = self.running.iter().filter(|(_, it)| {
            it.runner == *runner
                && !it.preempting
                && it.kind != GrantKind::Alone
                && !it.resumed
                && self.pool.is_usable_for(&it.build)
        });
        let keys: Vec<Key> = there.map(|(key, _)| *key).collect();
        for key in keys {
            self.mark_preempting(key);
            self.send(key, Reply::Preempt(key.ticket), effects);
        }
    }
}
