//! Central scheduler of a service: which request runs next, and on which runner.
//!
//! One arbiter serves one shard: a service and an index, with at most
//! [`MAX_RUNNERS`] runners. Daemons ask it for slots, stream directly from the
//! runner that it grants, and release the slot. Its state is soft: if it is lost,
//! the daemons report the slots they hold to the next arbiter and ask again.
//!
//! - Priority between tiers is strict, except that a bounded share of grants goes
//!   to the class longest past its wait bound, so that no class starves.
//! - A request that cannot be served in time is refused at once with a retry
//!   delay. When the queue is full, the newest request of the lowest tier is shed.
//! - Before its first grant, a new arbiter waits a bounded time for the daemons to
//!   report the slots they hold, so that slot limits and tiers survive a failover. So
//!   does one that stood still, as another one may have granted slots meanwhile.

mod admit;
mod affinity;
mod arrivals;
mod brittle;
mod collect;
mod continuity;
mod demand;
mod estimate;
mod excuse;
mod floor;
mod grant;
mod hold;
pub mod message;
mod outage;
mod pace;
mod part;
mod path;
mod pause;
mod pool;
mod prompt;
mod queue;
mod rendezvous;
mod runner;
mod search;
mod speed;
mod suspect;

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

pub use continuity::{Decision, Source};
pub use estimate::Lengths;
pub use message::{
    Ask, Asked, End, Heartbeat, Hold, Inventory, Load, Part, Progress, Refusal, Reply, Report,
    Request, Sample, Ticket,
};
pub use pace::Rate;
pub use pool::{MAX_RUNNERS, Transition};
pub use rendezvous::{host_order, standbys};
pub use search::Number;

use crate::{
    catalogue::{Backend, Catalogue, Class, Service},
    crash::{self, parts::Evidence},
    id::{AccountId, ClassId, DomainId, Epoch, InstanceId, PartId, RunnerId, ServiceId},
    platform,
    stream::Group,
};

/// Identifies one ask of one asker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Key {
    asker: u32,
    ticket: Ticket,
}

/// Limits and timeouts of an arbiter.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Most queued requests, not counting the reserve of each class.
    pub max_queue: usize,
    /// Most askers.
    pub max_askers: usize,
    /// Time without a message after which an asker's slots are freed.
    pub lease: Duration,
    /// Longest time a new arbiter waits for the daemons to report their slots.
    pub collect_timeout: Duration,
    /// Longest time a new arbiter waits for a runner list with a usable runner.
    pub runner_list_timeout: Duration,
    /// Whether asks with a class or account unknown here are served, without limits.
    /// The asker has checked them against a newer catalogue.
    pub admit_unknown: bool,
    /// Share of grants reserved for classes past their wait bound.
    pub floor_share: f64,
    /// Share of the latency target that a request may wait before it is shed.
    pub max_wait_share: f64,
    /// Oldest requests of each class that are not shed, since the floor serves them.
    pub reserve: usize,
    /// Share of the latency target after which a waiting request may preempt.
    pub preempt_after_share: f64,
    /// Whether streams on a runner set aside as slow are moved to other runners.
    pub move_from_slow: bool,
    /// Whether runners share their machines with others, so that their speed differs and
    /// changes; see also [`Event::SharedHosts`].
    pub shared_hosts: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_queue: 16_384,
            max_askers: 1_024,
            lease: Duration::from_secs(2),
            collect_timeout: Duration::from_millis(120),
            runner_list_timeout: Duration::ZERO,
            admit_unknown: false,
            floor_share: 0.05,
            max_wait_share: 0.8,
            reserve: 4,
            preempt_after_share: 0.25,
            move_from_slow: true,
            shared_hosts: false,
        }
    }
}

/// Input of an arbiter.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message from a daemon, including the one that hosts the arbiter.
    Asked {
        /// The sender.
        from: InstanceId,
        /// The message.
        asked: Asked,
    },
    /// The catalogue in force.
    Catalogue(Arc<Catalogue>),
    /// The committed crash marks.
    Marks(Arc<crash::Table>),
    /// The shard's runners, as the platform lists them.
    Runners(Vec<platform::Runner>),
    /// Daemons that the membership does not consider dead.
    Live(IndexSet<InstanceId>),
    /// Failure domains of the daemons.
    Domains(Arc<IndexMap<InstanceId, DomainId>>),
    /// Daemons that keep copies of what a new arbiter has to know about streams.
    Standbys(Vec<InstanceId>),
    /// A runner's report of its recent load.
    Load {
        /// The runner.
        runner: RunnerId,
        /// Requests running or queued on the runner.
        running: u32,
        /// Batch size of the runner, or zero if unknown.
        slots: u32,
    },
    /// Runners of the service that are ordered, as the holder of the duties told.
    Ordered(u32),
    /// Runners say that they share their machines with others.
    SharedHosts,
    /// Runs the timers; expected about every 100 ms.
    Tick,
}

/// An occurrence to count in metrics or record as an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A slot was granted.
    Granted {
        /// Tier of the request.
        tier: u8,
        /// Whether it was a floor grant.
        floor: bool,
    },
    /// A request was refused.
    Refused {
        /// Tier of the request.
        tier: u8,
        /// The reason.
        refusal: Refusal,
    },
    /// A running request was preempted for one of a higher tier.
    Preempted {
        /// Tier that loses the slot.
        victim: u8,
        /// Tier of the waiting request.
        waiting: u8,
    },
    /// The failures of a daemon's requests put a runner out of use.
    Accused {
        /// The runner.
        runner: RunnerId,
        /// The daemon.
        by: InstanceId,
        /// How its latest request there ended.
        end: End,
    },
    /// A runner's health changed.
    Health(Transition),
    /// A request waits though a runner has room, because of the runner's limit.
    HeldBack,
    /// A runner named another limit, or names none any more.
    Limit {
        /// The runner.
        runner: RunnerId,
        /// Requests per second from all daemons together.
        rate: Option<Rate>,
        /// The daemon that reported it; empty if the list of runners changed.
        by: InstanceId,
    },
    /// A runner says that it falls over if it turns more than this away in a second.
    Brittle {
        /// The runner.
        runner: RunnerId,
        /// Requests turned away in a second that it bears.
        most: u32,
        /// The daemon that reported it.
        by: InstanceId,
    },
    /// A stream that has begun goes on, or not.
    Continued(Decision),
    /// A part of prompts was found to crash runners.
    PartConvicted {
        /// The part.
        part: PartId,
        /// Crashes that it was seen at.
        crashes: usize,
        /// Requests beside it that are not suspected for these crashes any more.
        beside: usize,
    },
    /// A request tests whether a convicted part still crashes runners.
    PartProbed(PartId),
    /// An asker was lost and its slots were freed.
    AskerLost(InstanceId),
}

/// Action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send this reply to a daemon.
    Send(InstanceId, Reply),
    /// Propose this crash mark to the control log.
    Mark(crash::Step),
    /// Count or record this.
    Note(Note),
}

/// Table sizes and counters of an arbiter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Queued requests by tier.
    pub queued: Vec<usize>,
    /// Slots in use.
    pub running: usize,
    /// Suspected requests that wait to run alone.
    pub suspects: usize,
    /// Copies that wait for the first of their request to complete.
    pub parked: usize,
    /// Known askers.
    pub askers: usize,
    /// Runners set aside as slow.
    pub aside: usize,
    /// Runners that name a limit.
    pub limited: Vec<RunnerId>,
    /// Usable runners.
    pub usable: usize,
    /// Slots of the usable runners.
    pub slots: u32,
    /// Learned service times of the fastest and the slowest runner, in percent of the mean,
    /// where runners share their machines.
    pub speeds: Option<(u32, u32)>,
    /// Times that a runner was evaluated for a request, since the start.
    pub evaluations: u64,
}

/// The arbiter of one shard.
#[derive(Debug)]
pub struct Arbiter {
    service: ServiceId,
    settings: Settings,
    epoch: Epoch,
    backend: Backend,
    catalogue: Arc<Catalogue>,
    marks: crash::Overlay,
    /// Set until the daemons have reported their slots; no grants meanwhile.
    collecting: Option<collect::Collecting>,
    untold: collect::Untold,
    /// When all daemons were last asked.
    collected_at: Instant,
    askers: IndexMap<InstanceId, hold::Asker>,
    instances: IndexMap<u32, InstanceId>,
    domains: Arc<IndexMap<InstanceId, DomainId>>,
    next_asker: u32,
    queue: queue::Queue,
    running: IndexMap<Key, hold::Running>,
    /// Running requests that may be preempted, by tier and age.
    victims: BTreeSet<(u8, Instant, Key)>,
    /// Running requests with a preemption under way.
    preempting: usize,
    accounts: IndexMap<Arc<str>, u32>,
    pool: pool::Pool,
    pauses: pause::Pauses,
    floor: floor::Floor,
    estimate: estimate::Estimate,
    affinity: affinity::Affinity,
    continuity: continuity::Continuity,
    searches: search::Searches,
    suspects: suspect::Suspects,
    excused: excuse::Excused,
    outage: outage::Outage,
    /// Crashes that parts of prompts may have caused.
    evidence: Evidence,
    /// Load since the last report of demand; none before the first one is asked for.
    sampler: Option<demand::Sampler>,
    /// Runners that are ordered and do not serve yet.
    arrivals: arrivals::Arrivals,
    started: Instant,
    last_tick: Instant,
    last_event: Instant,
}

impl Arbiter {
    /// A new arbiter that asks the `live` daemons for the slots they hold.
    #[must_use]
    pub fn new(
        now: Instant,
        service: ServiceId,
        epoch: Epoch,
        live: IndexSet<InstanceId>,
        settings: Settings,
    ) -> (Self, Vec<Effect>) {
        let effects = live
            .iter()
            .map(|it| Effect::Send(it.clone(), Reply::RequestInventory))
            .collect();
        let searches = search::Searches::new(live.clone());
        let collecting = collect::Collecting {
            missing: live,
            until: now + settings.collect_timeout,
            list_until: now + settings.runner_list_timeout,
        };
        let arbiter = Self {
            service,
            epoch,
            backend: Backend::Model,
            catalogue: Arc::default(),
            marks: crash::Overlay::default(),
            collecting: Some(collecting),
            untold: collect::Untold::default(),
            collected_at: now,
            askers: IndexMap::new(),
            instances: IndexMap::new(),
            domains: Arc::default(),
            next_asker: 0,
            queue: queue::Queue::default(),
            running: IndexMap::new(),
            victims: BTreeSet::new(),
            preempting: 0,
            accounts: IndexMap::new(),
            pool: pool::Pool::new(settings.shared_hosts),
            pauses: pause::Pauses::default(),
            floor: floor::Floor::new(settings.floor_share),
            estimate: estimate::Estimate::default(),
            affinity: affinity::Affinity::default(),
            continuity: continuity::Continuity::default(),
            searches,
            suspects: suspect::Suspects::default(),
            excused: excuse::Excused::default(),
            outage: outage::Outage::default(),
            evidence: Evidence::default(),
            sampler: None,
            arrivals: arrivals::Arrivals::default(),
            started: now,
            last_tick: now,
            last_event: now,
            settings,
        };
        (arbiter, effects)
    }

    /// Generation of this arbiter; every reply carries it.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Sizes of the tables.
    #[must_use]
    pub fn stats(&self) -> Stats {
        Stats {
            queued: self.queue.tier_lens(),
            running: self.running.len(),
            suspects: self.suspects.suspected(),
            parked: self.suspects.parked(),
            askers: self.askers.len(),
            aside: self.pool.aside(),
            limited: self.pool.limits().map(|(id, _)| id).collect(),
            usable: self.pool.usable(),
            slots: self.pool.slots(),
            speeds: self.pool.speeds(self.last_tick),
            evaluations: self.pool.evaluations(),
        }
    }

    /// Recent output lengths of a class.
    #[must_use]
    pub fn lengths(&self, class: &ClassId) -> Option<&Lengths> {
        self.estimate.lengths(class)
    }

    /// Whether no daemon uses this arbiter any more.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.askers.is_empty() && self.collecting.is_none()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.collect_after_gap(now, &mut effects);
        match event {
            Event::Asked { from, asked } => self.on_asked(now, &from, asked, &mut effects),
            Event::Catalogue(catalogue) => self.on_catalogue(catalogue),
            Event::Marks(table) => self.on_marks(now, table, &mut effects),
            Event::Runners(listed) => self.on_runners(now, &listed, &mut effects),
            Event::Live(live) => self.on_live(now, &live, &mut effects),
            Event::Domains(domains) => self.domains = domains,
            Event::Standbys(standbys) => self.continuity.on_standbys(standbys),
            Event::Load {
                runner,
                running,
                slots,
            } => {
                if let Some(known) = self.pool.get_mut(&runner) {
                    known.on_load(now, running, slots);
                    self.pool.touch(&runner);
                }
            }
            Event::Ordered(runners) => self.arrivals.on_ordered(now, runners),
            Event::SharedHosts => self.pool.on_shared_hosts(),
            Event::Tick => self.on_tick(now, &mut effects),
        }
        self.end_collecting(now, &mut effects);
        self.end_searches(now, &mut effects);
        self.schedule(now, &mut effects);
        if let Some(sampler) = &mut self.sampler {
            sampler.on_effects(&effects);
        }
        effects
    }

    /// Builds that began streams, for the daemon to keep when this arbiter ends.
    #[must_use]
    pub fn records(&self, now: Instant) -> Vec<Group> {
        self.continuity.groups(now)
    }

    /// Ends this arbiter and redirects every asker to another one.
    #[must_use]
    pub fn retire(self, to: Option<&InstanceId>) -> Vec<Effect> {
        let moved = Reply::Moved { to: to.cloned() };
        let askers = self.askers.into_keys();
        askers.map(|it| Effect::Send(it, moved.clone())).collect()
    }

    fn on_asked(
        &mut self,
        now: Instant,
        from: &InstanceId,
        message: Asked,
        effects: &mut Vec<Effect>,
    ) {
        let Asked { least, request, .. } = message;
        if let Request::Found(search, groups) = &request {
            self.on_told(now, groups);
            self.searches.on_found(from, *search);
            return;
        }
        self.collect_beside_others(now, least, effects);
        self.epoch = self.epoch.max(least);
        let Some(asker) = self.register_asker(now, from) else {
            refuse_excess_asker(from, &request, effects);
            return;
        };
        match request {
            Request::Ask(ask) => self.on_ask(now, asker, &ask, effects),
            Request::Begun(ticket) => self.on_begun(now, Key { asker, ticket }),
            Request::Withdraw(ticket) => self.withdraw(now, Key { asker, ticket }, effects),
            Request::Release(ticket, sample) => {
                self.release(now, Key { asker, ticket }, &sample, effects);
            }
            Request::Limit(runner, rate) => self.on_limit(now, from, &runner, rate, effects),
            Request::Brittle(runner, most) => self.on_brittle(now, from, &runner, most, effects),
            Request::Heartbeat(beat) => self.on_heartbeat(now, from, asker, &beat, effects),
            Request::Inventory(list) => self.on_inventory(now, from, asker, list, effects),
            Request::Found(..) => {}
        }
    }

    fn on_catalogue(&mut self, catalogue: Arc<Catalogue>) {
        if let Some(service) = catalogue.services.get(&self.service) {
            self.backend = service.backend;
            self.pool.set_max(service.max_running_per_runner);
            self.pool.set_memory(service.memory_tokens);
            self.pool.invalidate_obstacles();
        }
        self.catalogue = catalogue;
        let accounts: Vec<Arc<str>> = self.accounts.keys().cloned().collect();
        for account in accounts {
            self.update_block(&account);
        }
    }

    fn on_runners(&mut self, now: Instant, listed: &[platform::Runner], effects: &mut Vec<Effect>) {
        let max = self
            .declared_service()
            .map_or(1, |service| service.max_running_per_runner);
        let before: IndexMap<RunnerId, Rate> = self.pool.limits().collect();
        self.pool.set(listed, max);
        self.continuity.on_listed(self.pool.builds());
        let after: IndexMap<RunnerId, Rate> = self.pool.limits().collect();
        let ids: IndexSet<&RunnerId> = before.keys().chain(after.keys()).collect();
        for runner in ids {
            if before.get(runner) != after.get(runner) {
                effects.push(Effect::Note(Note::Limit {
                    runner: runner.clone(),
                    rate: after.get(runner).copied(),
                    by: InstanceId::new(),
                }));
            }
        }
        let memory = self
            .declared_service()
            .map_or(0, |service| service.memory_tokens);
        self.pool.set_memory(memory);
        self.refuse_without_runner(now, effects);
    }

    fn on_tick(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let passed = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        self.estimate.decay(passed);
        self.searches.on_tick();
        self.sample_demand();
        if passed > self.settings.lease / 2 {
            self.extend_leases(passed);
        }
        self.expire_askers(now, effects);
        self.expire_items(now, effects);
        for transition in self.pool.detect_outliers(now) {
            self.on_health_change(now, transition, effects);
        }
        self.judge_crashes(now, effects);
        self.clear_excused(now, effects);
        self.copy_records(now, effects);
        self.ask_untold(now, effects);
    }

    /// Records the limit that a runner named in an answer to a daemon.
    fn on_limit(
        &mut self,
        now: Instant,
        by: &InstanceId,
        runner: &RunnerId,
        rate: Rate,
        effects: &mut Vec<Effect>,
    ) {
        if self.pool.on_limit(now, runner, rate) {
            effects.push(Effect::Note(Note::Limit {
                runner: runner.clone(),
                rate: Some(rate),
                by: by.clone(),
            }));
        }
    }

    /// Records that a runner says that it is brittle.
    fn on_brittle(
        &mut self,
        now: Instant,
        by: &InstanceId,
        runner: &RunnerId,
        most: u32,
        effects: &mut Vec<Effect>,
    ) {
        if self.pool.on_brittle(now, runner, most) {
            effects.push(Effect::Note(Note::Brittle {
                runner: runner.clone(),
                most,
                by: by.clone(),
            }));
        }
    }

    fn on_health_change(
        &mut self,
        now: Instant,
        transition: Transition,
        effects: &mut Vec<Effect>,
    ) {
        match &transition {
            Transition::Aside(runner) => {
                self.affinity.forget(runner);
                self.move_streams_off(runner, effects);
            }
            Transition::Down(runner) => self.affinity.forget(runner),
            Transition::Back(_) => {}
        }
        effects.push(Effect::Note(Note::Health(transition)));
        self.refuse_without_runner(now, effects);
    }

    fn declared_service(&self) -> Option<&Arc<Service>> {
        self.catalogue.services.get(&self.service)
    }

    /// Whether the service has slots, as far as known; without any it is out of use.
    fn has_slots(&self) -> bool {
        self.declared_service()
            .is_none_or(|it| it.max_running_per_runner > 0)
    }

    fn instance_of(&self, asker: u32) -> InstanceId {
        self.instances.get(&asker).cloned().unwrap_or_default()
    }

    /// The account's name, as a shared string where the account has running requests.
    fn account(&self, account: &AccountId) -> Arc<str> {
        match self.accounts.get_key_value(account.as_str()) {
            Some((known, _)) => Arc::clone(known),
            None => Arc::from(account.as_str()),
        }
    }

    /// Blocks an account in the queue while it is at its running limit.
    fn update_block(&mut self, account: &Arc<str>) {
        let running = self.accounts.get(account).copied().unwrap_or(0);
        let most = self
            .catalogue
            .accounts
            .get(account.as_ref())
            .map(|it| it.max_running);
        self.queue
            .set_blocked(account, most.is_some_and(|most| running >= most));
    }

    /// How long a request of the class may wait before it is shed.
    fn max_wait(&self, class: &Class) -> Duration {
        let target = match self.backend {
            Backend::Model => class.first_token,
            Backend::Plain => class.whole,
        };
        target.mul_f64(self.settings.max_wait_share)
    }
}

/// Refuses the ask of a daemon for which the table of askers has no room.
fn refuse_excess_asker(from: &InstanceId, request: &Request, effects: &mut Vec<Effect>) {
    if let Request::Ask(ask) = request {
        let refusal = Refusal::Unreachable {
            retry_after: Duration::from_secs(1),
        };
        effects.push(Effect::Send(
            from.clone(),
            Reply::Refused(ask.ticket, refusal),
        ));
    }
}
