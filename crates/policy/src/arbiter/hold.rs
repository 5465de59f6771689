//! Slots in use: their owners, their release, and the crash marks that follow.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexSet;

use super::{
    Arbiter, Effect, End, Heartbeat, Hold, Inventory, Key, Note, Part, Refusal, Reply, Sample,
    Ticket, Transition,
    message::ticket_hash,
    prompt::{self, Usage, Work},
    queue::Item,
    suspect::Alone,
};
use crate::{
    catalogue::Class,
    crash::{InFlight, Mark, NO_FINGERPRINT, Step, Table},
    id::{Fingerprint, InstanceId, RunnerId},
    stream::Stream,
};

/// Consecutive heartbeats with a differing digest before the full list is requested.
const MAX_MISMATCHES: u8 = 2;

/// Most tickets read from one inventory.
const MAX_LISTED: usize = 65_536;

/// A daemon that requests slots.
#[derive(Debug)]
pub(super) struct Asker {
    id: u32,
    last_heard: Instant,
    mismatches: u8,
    count: u32,
    digest: u64,
}

/// The rule by which a slot was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantKind {
    /// In queue order, by tier.
    Priority,
    /// By the guaranteed minimum share of its class.
    Floor,
    /// To a suspected request, which must run alone.
    Alone,
}

/// One slot in use.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) class: Arc<Class>,
    pub(super) account: Arc<str>,
    pub(super) fingerprint: Fingerprint,
    pub(super) runner: RunnerId,
    pub(super) address: Option<SocketAddr>,
    /// Version of the runner's software when the slot was granted.
    pub(super) build: Arc<str>,
    pub(super) since: Instant,
    pub(super) kind: GrantKind,
    pub(super) preempting: bool,
    /// Parts of its prompt, in order.
    pub(super) prompt: Arc<[Part]>,
    /// Its use of the runner's prompt capacity; `None` without a prompt.
    pub(super) usage: Option<Usage>,
    /// Its usual service time in seconds, where runners share their machines.
    pub(super) work: f64,
    /// Whether it resumes work from an earlier slot; it is not preempted again.
    pub(super) resumed: bool,
    /// Whether it was exposed to a crash when it was granted.
    pub(super) exposed: bool,
    /// The stream that it serves.
    pub(super) stream: Option<Stream>,
}

impl Running {
    pub(super) fn new(now: Instant, item: &Item, runner: RunnerId, kind: GrantKind) -> Self {
        Self {
            address: None,
            build: Arc::from(""),
            class: Arc::clone(&item.class),
            account: Arc::clone(&item.account),
            fingerprint: item.fingerprint,
            runner,
            since: now,
            kind,
            preempting: false,
            prompt: Arc::clone(&item.prompt),
            usage: None,
            work: 0.0,
            resumed: item.resume,
            exposed: false,
            stream: item.stream.clone(),
        }
    }

    fn is_alone(&self) -> bool {
        self.kind == GrantKind::Alone
    }

    pub(super) fn grant(&self, key: Key) -> Reply {
        Reply::Grant {
            ticket: key.ticket,
            runner: self.runner.clone(),
            alone: self.is_alone(),
            address: self.address,
            build: self.build.to_string(),
        }
    }
}

impl Arbiter {
    /// Finds or adds the asker and renews its lease; `None` if the table is full.
    pub(super) fn register_asker(&mut self, now: Instant, from: &InstanceId) -> Option<u32> {
        if let Some(asker) = self.askers.get_mut(from) {
            asker.last_heard = now;
            return Some(asker.id);
        }
        if self.askers.len() >= self.settings.max_askers {
            return None;
        }
        let id = self.next_asker;
        self.next_asker += 1;
        let asker = Asker {
            id,
            last_heard: now,
            mismatches: 0,
            count: 0,
            digest: 0,
        };
        self.askers.insert(from.clone(), asker);
        self.instances.insert(id, from.clone());
        Some(id)
    }

    /// Adds a ticket to the asker's count and digest.
    pub(super) fn add_to_digest(&mut self, key: Key) {
        self.update_digest(key, 1);
    }

    /// Removes a ticket from the asker's count and digest.
    pub(super) fn remove_from_digest(&mut self, key: Key) {
        self.update_digest(key, u32::MAX);
    }

    fn update_digest(&mut self, key: Key, change: u32) {
        let asker = self
            .instances
            .get(&key.asker)
            .and_then(|name| self.askers.get_mut(name));
        if let Some(asker) = asker {
            asker.count = asker.count.wrapping_add(change);
            asker.digest ^= ticket_hash(key.ticket);
        }
    }

    pub(super) fn insert_running(&mut self, key: Key, running: Running) {
        let account = Arc::clone(&running.account);
        *self.accounts.entry(Arc::clone(&account)).or_default() += 1;
        if running.class.preemptible && running.kind == GrantKind::Priority && !running.resumed {
            self.victims
                .insert((running.class.tier, running.since, key));
        }
        self.running.insert(key, running);
        self.update_block(&account);
    }

    fn remove_running(&mut self, now: Instant, key: Key) -> Option<Running> {
        let running = self.running.swap_remove(&key)?;
        self.remove_from_digest(key);
        self.preempting -= usize::from(running.preempting);
        self.victims
            .remove(&(running.class.tier, running.since, key));
        if let Some(runner) = self.pool.get_mut(&running.runner) {
            runner.on_free(now);
            runner.work = (runner.work - running.work).max(0.0);
            if let Some(usage) = running.usage {
                runner.prompts.end(usage);
            }
        }
        self.pool.touch(&running.runner);
        if let Some(count) = self.accounts.get_mut(&running.account) {
            *count -= 1;
            if *count == 0 {
                self.accounts.swap_remove(&running.account);
            }
        }
        self.update_block(&running.account);
        Some(running)
    }

    /// Ends a request that is no longer needed, whether it waits or was granted meanwhile.
    pub(super) fn withdraw(&mut self, now: Instant, key: Key, effects: &mut Vec<Effect>) {
        if self.take_waiting(key).is_some() {
            self.remove_from_digest(key);
        } else {
            self.release(now, key, &Sample::unused(), effects);
        }
    }

    /// Records that an answer has started, so that its prompt has been prefilled.
    pub(super) fn on_begun(&mut self, now: Instant, key: Key) {
        let Some(running) = self.running.get_mut(&key) else {
            return;
        };
        if let Some(stream) = &running.stream {
            // A slot that another arbiter granted may be at a runner that is not listed here.
            let build = match &*running.build {
                "" => self.pool.get(&running.runner).map(|it| &it.build),
                _ => Some(&running.build),
            };
            if let Some(build) = build {
                self.continuity
                    .on_begun(now, stream, running.fingerprint, build);
            }
        }
        self.outage.on_answer();
        self.pool.on_answer(now, key.asker, &running.runner);
        let Some(runner) = self.pool.get_mut(&running.runner) else {
            return;
        };
        runner.on_taken(running.since);
        if let Some(usage) = running.usage.as_mut().filter(|it| !it.answer_started) {
            runner.prompts.finish_prefill(usage);
            if usage.timed {
                runner.on_prefill(now.saturating_duration_since(running.since), usage.ahead);
            }
            self.pool.touch(&running.runner);
        }
    }

    /// Frees a slot and evaluates how its work ended.
    pub(super) fn release(
        &mut self,
        now: Instant,
        key: Key,
        sample: &Sample,
        effects: &mut Vec<Effect>,
    ) {
        let Some(running) = self.remove_running(now, key) else {
            return;
        };
        if sample.unlimited && self.pool.end_limit(&running.runner, running.since) {
            effects.push(Effect::Note(Note::Limit {
                runner: running.runner.clone(),
                rate: None,
                by: self.instance_of(key.asker),
            }));
        }
        if let Some(runner) = self.pool.get_mut(&running.runner) {
            runner.on_brittle_end(now, running.since, sample.end);
        }
        let usage = running.usage.as_ref();
        let class = &running.class.name;
        self.pool
            .on_speed(now, &running.runner, class, usage, sample);
        let read = running.usage.is_some();
        if let Some(longest) = sample
            .longest_pause
            .filter(|_| self.pool.has_shared_hosts())
        {
            self.pauses.on_stream(&running.class, longest);
        }
        let transition = self.pool.on_end(
            now,
            (key.asker, &running.runner),
            &running.class,
            sample,
            read,
        );
        if running.is_alone() {
            self.end_alone();
        }
        let explained = self.on_parts_end(now, &running, sample, effects);
        match sample.end {
            End::Done => {
                self.on_done(&running, sample, effects);
                self.clear_survived(now, &running, effects);
            }
            End::Broken if explained => {
                self.clear_suspicion(now, running.fingerprint, effects);
                self.send_cleared(key.asker, running.fingerprint, effects);
                self.end_copy(running.fingerprint);
            }
            End::Broken => self.on_broken(now, &running, effects),
            End::Cancelled | End::Refused | End::Unreachable | End::Late | End::Preempted => {
                self.end_copy(running.fingerprint);
            }
        }
        if let Some(transition) = transition {
            if let Transition::Down(runner) = &transition {
                effects.push(Effect::Note(Note::Accused {
                    runner: runner.clone(),
                    by: self.instance_of(key.asker),
                    end: sample.end,
                }));
            }
            self.on_health_change(now, transition, effects);
        }
    }

    fn on_done(&mut self, running: &Running, sample: &Sample, effects: &mut Vec<Effect>) {
        self.outage.on_answer();
        self.outage.on_done(running.fingerprint);
        let class = &running.class.name;
        self.estimate.on_done(class, sample.whole, sample.tokens);
        if let Some(step) = self.marks.on_innocent(running.fingerprint) {
            self.mark(step, effects);
        }
        let parked = self.suspects.on_completed(running.fingerprint);
        for item in parked {
            self.queue.push(item);
        }
    }

    /// Clears the suspects whose answers a runner lost without having crashed.
    fn clear_survived(&mut self, now: Instant, running: &Running, effects: &mut Vec<Effect>) {
        let runner = self.pool.get_mut(&running.runner);
        let survived = runner.map_or_else(Vec::new, |it| it.take_survived(now, running.since));
        for fingerprint in survived {
            if let Some(step) = self.marks.on_innocent(fingerprint) {
                self.mark(step, effects);
            }
        }
    }

    /// Exposes or marks a request whose runner's connection broke.
    ///
    /// Others that hold a slot there may have been granted it after the crash; those in
    /// flight lose their own connections.
    fn on_broken(&mut self, now: Instant, running: &Running, effects: &mut Vec<Effect>) {
        if let Some(runner) = self
            .pool
            .get_mut(&running.runner)
            .filter(|it| it.is_usable() && !running.is_alone())
        {
            runner.on_lost_answer(now, running.fingerprint);
        }
        let fingerprint = running.fingerprint;
        let mut others = self.running.values();
        let in_flight = InFlight {
            fingerprint,
            alone: running.is_alone(),
            exposed: running.exposed,
            has_copy: others.any(|it| it.fingerprint == fingerprint && it.runner != running.runner),
        };
        self.suspects.on_crash(fingerprint);
        self.excused.remove(fingerprint, Mark::Suspected);
        let excused = if running.is_alone() {
            self.outage.on_broken_alone(now, fingerprint)
        } else {
            Vec::new()
        };
        if excused.contains(&fingerprint) {
            for request in excused {
                self.lift(now, request, effects);
            }
            self.refuse_resting(now, effects);
        } else if let Some(step) = self.marks.on_crash(in_flight) {
            if running.is_alone() {
                self.excused.remove(fingerprint, Mark::Quarantined);
            }
            self.mark(step, effects);
        }
        self.end_copy(fingerprint);
    }

    /// Applies a mark here, sends it to the askers and proposes it to the control log.
    pub(super) fn mark(&mut self, step: Step, effects: &mut Vec<Effect>) {
        if matches!(&step, Step::Suspected(none) if none.is_empty()) {
            return;
        }
        self.marks.apply(&step);
        for asker in self.askers.keys() {
            effects.push(Effect::Send(asker.clone(), Reply::Mark(step.clone())));
        }
        effects.push(Effect::Mark(step));
        self.requeue_marked(effects);
    }

    pub(super) fn on_marks(&mut self, now: Instant, table: Arc<Table>, effects: &mut Vec<Effect>) {
        self.marks.commit(table);
        self.clear_excused(now, effects);
        self.requeue_marked(effects);
        self.on_part_marks(effects);
    }

    /// Moves waiting requests between the queues, as their marks require.
    fn requeue_marked(&mut self, effects: &mut Vec<Effect>) {
        let marked = self.queue.items().filter(|it| {
            self.marks.get(it.fingerprint).is_some() || self.outage.includes(it.fingerprint)
        });
        let keys: Vec<Key> = marked.map(|it| it.key).collect();
        for key in keys {
            let Some(item) = self.queue.remove(key) else {
                continue;
            };
            let parked = self.suspects.on_suspected(item.fingerprint);
            for item in std::iter::once(item).chain(parked) {
                self.requeue_item(item, effects);
            }
        }
        for fingerprint in self.suspects.parked_fingerprints() {
            if self.marks.get(fingerprint).is_some() {
                for item in self.suspects.on_suspected(fingerprint) {
                    self.requeue_item(item, effects);
                }
            }
        }
        for fingerprint in self.suspects.fingerprints() {
            if !self.must_run_alone(fingerprint) {
                let waiting = self.suspects.take_waiting(fingerprint);
                for item in waiting {
                    self.requeue_item(item, effects);
                }
            }
        }
    }

    pub(super) fn must_run_alone(&self, request: Fingerprint) -> bool {
        self.marks.get(request) == Some(Mark::Suspected) || self.outage.includes(request)
    }

    pub(super) fn requeue_item(&mut self, item: Item, effects: &mut Vec<Effect>) {
        match self.marks.get(item.fingerprint) {
            Some(Mark::Quarantined) => self.refuse_item(&item, Refusal::Quarantined, effects),
            _ if self.must_run_alone(item.fingerprint) => self.suspects.push(item),
            _ => self.push_copy(item),
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Instant,
        from: &InstanceId,
        asker: u32,
        heartbeat: &Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let age = now.saturating_duration_since(self.started);
        for progress in &heartbeat.progress {
            // A wait older than this arbiter may be due to its predecessor's grants.
            let silent = if progress.silent <= age {
                progress.silent
            } else {
                Duration::ZERO
            };
            self.pool
                .on_progress(&progress.runner, silent, progress.between_tokens);
        }
        debug_assert!(self.instances.contains_key(&asker), "a known asker");
        let Some(known) = self.askers.get_mut(from) else {
            return;
        };
        if known.count == heartbeat.count && known.digest == heartbeat.digest {
            known.mismatches = 0;
        } else {
            known.mismatches += 1;
        }
        let reply = if known.mismatches >= MAX_MISMATCHES {
            known.mismatches = 0;
            Reply::RequestInventory
        } else {
            Reply::Ack
        };
        effects.push(Effect::Send(from.clone(), reply));
    }

    pub(super) fn on_inventory(
        &mut self,
        now: Instant,
        from: &InstanceId,
        asker: u32,
        inventory: Inventory,
        effects: &mut Vec<Effect>,
    ) {
        let listed: IndexSet<Ticket> = inventory
            .waiting
            .iter()
            .copied()
            .chain(inventory.held.iter().map(|hold| hold.ask.ticket))
            .take(MAX_LISTED)
            .collect();
        self.apply_marks(now, asker, &inventory, effects);
        self.on_told(now, &inventory.streams);
        for (runner, rate) in &inventory.limits {
            self.on_limit(now, from, runner, *rate, effects);
        }
        for (runner, most) in &inventory.brittle {
            self.on_brittle(now, from, runner, *most, effects);
        }
        for hold in inventory.held {
            self.adopt(now, asker, hold);
        }
        self.reconcile_waiting(from, asker, &inventory.waiting, effects);
        for key in self.keys_of(asker) {
            if !listed.contains(&key.ticket) {
                self.withdraw(now, key, effects);
            }
        }
        self.on_reported(from);
    }

    fn apply_marks(
        &mut self,
        now: Instant,
        asker: u32,
        inventory: &Inventory,
        effects: &mut Vec<Effect>,
    ) {
        for it in &inventory.exposed {
            if !self.marks.is_exposed(*it) {
                self.marks.expose(*it);
                self.park_copies(*it);
            }
        }
        let new = inventory.suspected.iter().copied();
        let new = new.filter(|it| *it != NO_FINGERPRINT && self.marks.get(*it).is_none());
        let is_excused = |it: &Fingerprint| self.excused.covers(now, *it, Mark::Suspected);
        let (excused, new): (Vec<_>, Vec<_>) = new.partition(is_excused);
        for it in excused {
            self.send_cleared(asker, it, effects);
        }
        self.mark(Step::Suspected(new), effects);
        for it in &inventory.quarantined {
            if self.excused.covers(now, *it, Mark::Quarantined) {
                self.send_cleared(asker, *it, effects);
            } else if *it != NO_FINGERPRINT && self.marks.get(*it) != Some(Mark::Quarantined) {
                self.mark(Step::Quarantined(*it), effects);
            }
        }
    }

    /// Resends lost grants, and requests the asks that never arrived.
    fn reconcile_waiting(
        &mut self,
        from: &InstanceId,
        asker: u32,
        waiting: &[Ticket],
        effects: &mut Vec<Effect>,
    ) {
        let mut unknown = Vec::new();
        for ticket in waiting {
            let key = Key {
                asker,
                ticket: *ticket,
            };
            if let Some(running) = self.running.get(&key) {
                effects.push(Effect::Send(from.clone(), running.grant(key)));
            } else if !self.is_waiting(key) {
                unknown.push(*ticket);
            }
        }
        if !unknown.is_empty() {
            effects.push(Effect::Send(from.clone(), Reply::Unknown(unknown)));
        }
    }

    /// Takes over a slot granted by another arbiter.
    fn adopt(&mut self, now: Instant, asker: u32, hold: Hold) {
        let key = Key {
            asker,
            ticket: hold.ask.ticket,
        };
        let class = self.class_of(&hold.ask);
        let Some(class) = class.filter(|_| !self.running.contains_key(&key)) else {
            return;
        };
        if self.take_waiting(key).is_none() {
            self.add_to_digest(key);
        }
        let work = Work {
            prompt: &hold.ask.prompt,
            output: hold.ask.output,
            pause_sensitivity: self.pauses.weight(&class.name) * prompt::pause_sensitivity(&class),
        };
        let build = match hold.build.as_str() {
            "" => self.build_of(&hold.runner),
            build => Arc::from(build),
        };
        if let Some(stream) = &hold.ask.stream {
            self.continuity.on_held(now, stream, hold.ask.fingerprint);
        }
        let runner = self.pool.get_mut(&hold.runner);
        let mut usage = runner.map(|it| it.prompts.begin(now, &work));
        if let Some(usage) = usage.as_mut() {
            // Only the other arbiter knew the prefill queued ahead of it.
            usage.timed = false;
        }
        let work = self.pool.usual_work(&class.name);
        let running = Running {
            work,
            usage: usage.filter(|_| !hold.ask.prompt.is_empty()),
            class,
            account: self.account(&hold.ask.account),
            fingerprint: hold.ask.fingerprint,
            address: self.pool.get(&hold.runner).and_then(|it| it.address),
            build,
            runner: hold.runner,
            since: now.checked_sub(hold.age).unwrap_or(now),
            kind: if hold.alone {
                GrantKind::Alone
            } else {
                GrantKind::Priority
            },
            preempting: false,
            prompt: hold.ask.prompt.as_slice().into(),
            resumed: hold.ask.resume,
            exposed: self.marks.is_exposed(hold.ask.fingerprint),
            stream: hold.ask.stream,
        };
        if let Some(runner) = self.pool.get_mut(&running.runner) {
            runner.on_hold(now);
            runner.work += work;
            runner.reserved |= hold.alone;
        }
        self.pool.touch(&running.runner);
        if hold.alone {
            self.suspects.alone = Some(Alone {
                key,
                runner: running.runner.clone(),
            });
        } else {
            self.suspects.adopt_copy(running.fingerprint);
        }
        self.insert_running(key, running);
    }

    /// Version of a runner's software, empty if the runner is not listed.
    pub(super) fn build_of(&self, runner: &RunnerId) -> Arc<str> {
        let runner = self.pool.get(runner);
        runner.map_or_else(|| Arc::from(""), |it| Arc::clone(&it.build))
    }

    fn keys_of(&self, asker: u32) -> Vec<Key> {
        let waiting = self.queue.items().map(|it| it.key);
        let all = waiting
            .chain(self.suspects.keys())
            .chain(self.searches.keys())
            .chain(self.running.keys().copied());
        all.filter(|key| key.asker == asker).collect()
    }

    /// Frees the slots of askers whose lease has expired.
    pub(super) fn expire_askers(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let lease = self.settings.lease;
        let silent = self
            .askers
            .iter()
            .filter(|(_, it)| now.saturating_duration_since(it.last_heard) > lease);
        let lost: Vec<InstanceId> = silent.map(|(name, _)| name.clone()).collect();
        for name in lost {
            self.remove_asker(now, &name, effects);
        }
    }

    /// Frees the slots of askers that the membership declared dead.
    pub(super) fn on_live(
        &mut self,
        now: Instant,
        live: &IndexSet<InstanceId>,
        effects: &mut Vec<Effect>,
    ) {
        self.searches.on_live(live);
        let gone = self.askers.keys().filter(|name| !live.contains(*name));
        let lost: Vec<InstanceId> = gone.cloned().collect();
        for name in lost {
            self.remove_asker(now, &name, effects);
        }
        if let Some(collecting) = &mut self.collecting {
            collecting.missing.retain(|name| live.contains(name));
        }
    }

    /// Extends all leases by a pause in which this process did not run.
    pub(super) fn extend_leases(&mut self, pause: Duration) {
        for asker in self.askers.values_mut() {
            asker.last_heard += pause;
        }
    }

    fn remove_asker(&mut self, now: Instant, name: &InstanceId, effects: &mut Vec<Effect>) {
        let Some(asker) = self.askers.get(name) else {
            return;
        };
        let keys = self.keys_of(asker.id);
        for key in &keys {
            self.withdraw(now, *key, effects);
        }
        if let Some(asker) = self.askers.swap_remove(name) {
            self.instances.swap_remove(&asker.id);
            self.pool.paths.forget(asker.id);
        }
        if !keys.is_empty() {
            effects.push(Effect::Note(Note::AskerLost(name.clone())));
        }
    }
}
