//! Drives this daemon's requesters and hosted arbiters and applies their effects.
//!
//! Messages to this daemon itself are queued and processed without the network;
//! those to others are batched into one message per receiver and shard.
//!
//! A panic costs the requester or arbiter that it came from, as if that were lost with its
//! daemon, and nothing of another service.

use std::{
    any::Any,
    collections::VecDeque,
    panic::{self, AssertUnwindSafe},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    arbiter::{
        self, Arbiter, Asked, Note, Rate, Reply, Request, Ticket, Transition, host_order, standbys,
    },
    autoscale::Demand,
    catalogue::{Catalogue, Key, Kind},
    crash,
    id::{DomainId, Epoch, InstanceId, ServiceId},
    member::State,
    platform::{self, reader::Role},
    requester::{self, Requester},
};
use citron_wire::{Body, slot as form};
use derive_more::Display;
use indexmap::{IndexMap, IndexSet};

use super::{Grant, Inner, Waiter, metrics, progress};
use crate::{clock, fingerprint};

/// Longest wait of a new arbiter for the list of runners, where none was read before.
/// Without the list all requests would be refused, so it covers a reading of many pages.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which an arbiter uses the old list of runners if no new one could be
/// read: a few round trips to the platform, and less than [`LIST_TIMEOUT`].
const STALE_LIST_AFTER: Duration = Duration::from_millis(150);

/// Minimum time between two updates of the gauges; a tenth of the time within which
/// a caller's disconnection must be visible.
const STATS_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two log lines about the cost of the arbiters.
const COST_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Fingerprints named in the log line of a crash mark.
const MAX_NAMED_MARKS: usize = 16;

/// Number of ranks that may host an arbiter if those before do not respond.
const MAX_CANDIDATES: usize = 3;

/// Retry delay for requests whose requester was lost: the next one knows nothing yet.
const LOST_RETRY_AFTER: Duration = Duration::from_millis(250);

/// An event for a requester or a hosted arbiter.
#[derive(Debug)]
pub(super) enum Work {
    Requester(ServiceId, requester::Event),
    Arbiter(ServiceId, arbiter::Event),
    /// Starts an arbiter here, unless it is hosted here already.
    Host(ServiceId),
}

/// What holds the state of a service here.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Part {
    #[display("requester")]
    Requester,
    #[display("arbiter")]
    Arbiter,
}

impl Work {
    pub(super) fn asked(service: &ServiceId, from: &InstanceId, asked: Asked) -> Self {
        let from = from.clone();
        Self::Arbiter(service.clone(), arbiter::Event::Asked { from, asked })
    }

    pub(super) fn reply(
        service: &ServiceId,
        from: &InstanceId,
        epoch: Epoch,
        reply: Reply,
    ) -> Self {
        let from = from.clone();
        Self::Requester(
            service.clone(),
            requester::Event::Reply { from, epoch, reply },
        )
    }
}

/// Time spent on the hosted arbiters since the last log line about it.
#[derive(Debug)]
struct Cost {
    since: Instant,
    events: u64,
    busy: Duration,
    longest: Duration,
}

impl Cost {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            events: 0,
            busy: Duration::ZERO,
            longest: Duration::ZERO,
        }
    }

    fn add(&mut self, events: u64, took: Duration) {
        self.events += events;
        self.busy += took;
        self.longest = self.longest.max(took);
    }
}

/// The requesters and arbiters of this daemon.
#[derive(Debug)]
pub(super) struct Host {
    me: InstanceId,
    pub(super) requesters: IndexMap<ServiceId, Requester>,
    pub(super) arbiters: IndexMap<ServiceId, Hosted>,
    queue: VecDeque<Work>,
    requests: IndexMap<(InstanceId, ServiceId), Vec<Asked>>,
    replies: IndexMap<(InstanceId, ServiceId), (Epoch, Vec<Reply>)>,
    /// Rendezvous order of each service for the current members.
    ranks: IndexMap<ServiceId, Rc<[InstanceId]>>,
    cost: Cost,
}

/// An arbiter hosted here.
#[derive(Debug)]
pub(super) struct Hosted {
    pub(super) arbiter: Arbiter,
    /// Whether it replaces an arbiter that askers could not reach.
    fallback: bool,
    /// Since when it has waited for a new list of runners.
    awaiting_list: Option<Instant>,
}

impl Host {
    pub(super) fn new(me: InstanceId) -> Self {
        Self {
            me,
            requesters: IndexMap::new(),
            arbiters: IndexMap::new(),
            queue: VecDeque::new(),
            requests: IndexMap::new(),
            replies: IndexMap::new(),
            ranks: IndexMap::new(),
            cost: Cost::new(Instant::now()),
        }
    }
}

impl Inner {
    /// Processes events and those that they cause, then sends messages to other daemons.
    pub(super) fn drive(&self, works: Vec<Work>) {
        self.host.borrow_mut().queue.extend(works);
        if self.driving.replace(true) {
            return;
        }
        let now = Instant::now();
        self.drop_after_pause(now);
        let mut events = 0;
        loop {
            let work = self.host.borrow_mut().queue.pop_front();
            match work {
                Some(Work::Requester(service, event)) => {
                    self.contain(&service, Part::Requester, || {
                        self.on_requester(now, &service, event);
                    });
                }
                Some(Work::Arbiter(service, event)) => {
                    events += 1;
                    self.contain(&service, Part::Arbiter, || {
                        self.on_arbiter(now, &service, event);
                    });
                }
                Some(Work::Host(service)) => self.contain(&service, Part::Arbiter, || {
                    if !self.host.borrow().arbiters.contains_key(&service) {
                        self.start_arbiter(now, &service, false);
                    }
                }),
                None => break,
            }
        }
        if events > 0 {
            self.host.borrow_mut().cost.add(events, now.elapsed());
            self.stats_changed.notify_one();
        }
        self.driving.set(false);
        self.send_all();
    }

    /// Does work for a service; a panic ends the part of the service that it is for.
    fn contain<F>(&self, service: &ServiceId, part: Part, work: F)
    where
        F: FnOnce(),
    {
        // What the panic leaves half changed is dropped.
        if let Err(cause) = panic::catch_unwind(AssertUnwindSafe(work)) {
            self.on_panic(service, part, cause.as_ref());
        }
    }

    fn on_panic(&self, service: &ServiceId, part: Part, cause: &(dyn Any + Send)) {
        self.metrics.panics.inc();
        log::error!(
            event = "CP0317", service = service.as_str(), part:% = part, cause = text_of(cause);
            "state of a service is dropped after a panic"
        );
        match part {
            Part::Arbiter => {
                let count = {
                    let mut host = self.host.borrow_mut();
                    host.arbiters.swap_remove(service);
                    host.arbiters.len()
                };
                self.metrics.set_arbiters(count);
                self.metrics.on_retired(service, &arbiter::Stats::default());
            }
            Part::Requester => {
                self.host.borrow_mut().requesters.swap_remove(service);
                let is_lost = |_: &Ticket, it: &mut Waiter| it.service == *service;
                let lost: Vec<_> = {
                    let mut waiting = self.waiting.borrow_mut();
                    waiting.extract_if(.., is_lost).collect()
                };
                for (_, waiter) in lost {
                    // Without a grant, the request was not sent.
                    let refusal = arbiter::Refusal::Unreachable {
                        retry_after: LOST_RETRY_AFTER,
                    };
                    drop(waiter.sender.send(Err(refusal)));
                }
            }
        }
    }

    /// Keeps the gauges of the hosted arbiters up to date; never returns.
    pub(super) async fn export_stats(&self) {
        loop {
            self.stats_changed.notified().await;
            for (service, hosted) in &self.host.borrow().arbiters {
                self.metrics.on_stats(service, &hosted.arbiter.stats());
            }
            actix_rt::time::sleep(STATS_INTERVAL).await;
        }
    }

    /// Logs the cost of the hosted arbiters at intervals.
    fn log_cost(&self, now: Instant) {
        let mut host = self.host.borrow_mut();
        if now.saturating_duration_since(host.cost.since) < COST_LOG_INTERVAL {
            return;
        }
        let cost = std::mem::replace(&mut host.cost, Cost::new(now));
        let stats: Vec<_> = host
            .arbiters
            .values()
            .map(|it| it.arbiter.stats())
            .collect();
        let sum = |count: fn(&arbiter::Stats) -> usize| stats.iter().map(count).sum::<usize>();
        self.metrics.add_cost(cost.events, cost.busy);
        if !stats.is_empty() {
            log::info!(
                event = "CP0310", events = cost.events, busy_ms = cost.busy.as_millis(),
                longest_ms = cost.longest.as_millis(), queued = sum(|it| it.queued.iter().sum()),
                running = sum(|it| it.running), askers = sum(|it| it.askers);
                "cost of the hosted arbiters"
            );
        }
    }

    /// Drops the arbiters after a long pause of this process; the next request starts new
    /// ones, which collect the held slots from all askers.
    fn drop_after_pause(&self, now: Instant) {
        let Some(pause) = self.standstill.borrow_mut().on_work(now, clock::now()) else {
            return;
        };
        let dropped = std::mem::take(&mut self.host.borrow_mut().arbiters);
        for (service, hosted) in &dropped {
            self.metrics.on_retired(service, &hosted.arbiter.stats());
            self.keep_records(now, service, &hosted.arbiter);
            self.ring.record(
                "CP0309",
                None,
                &[service_key(service)],
                format!("arbiter of service {service} is given up: this process stood still for {pause:?}"),
            );
        }
        self.metrics.set_arbiters(0);
    }

    fn send_all(&self) {
        let (requests, replies) = {
            let mut host = self.host.borrow_mut();
            (
                std::mem::take(&mut host.requests),
                std::mem::take(&mut host.replies),
            )
        };
        for ((to, service), asked) in requests {
            let message = form::requests_to_proto(&service, 0, asked);
            self.hub.send_message(&to, Body::Slot(message));
        }
        for ((to, service), (epoch, replies)) in replies {
            let message = form::replies_to_proto(&service, 0, epoch, replies);
            self.hub.send_message(&to, Body::Slot(message));
        }
    }

    fn on_requester(&self, now: Instant, service: &ServiceId, event: requester::Event) {
        if let requester::Event::Reply { reply, .. } = &event
            && matches!(
                reply,
                Reply::RequestInventory | Reply::FindStreams { .. } | Reply::Streams(_)
            )
        {
            // What a daemon knows, or keeps for others, does not depend on its own requests.
            self.ensure_requester(now, service);
        }
        let effects = {
            let mut host = self.host.borrow_mut();
            let Some(requester) = host.requesters.get_mut(service) else {
                return;
            };
            requester.on_event(now, event)
        };
        for effect in effects {
            match effect {
                requester::Effect::Send(to, asked) => self.send_asked(service, to, asked),
                requester::Effect::Granted {
                    ticket,
                    runner,
                    alone,
                    address,
                    build,
                    waited,
                } => {
                    let grant = Grant {
                        runner,
                        alone,
                        address,
                        build,
                        waited,
                    };
                    self.on_granted(service, ticket, grant);
                }
                requester::Effect::Refused(ticket, refusal) => {
                    self.metrics.on_refusal(&refusal);
                    if let Some(waiter) = self.waiting.borrow_mut().swap_remove(&ticket) {
                        self.record_refusal(service, &waiter, &refusal);
                        drop(waiter.sender.send(Err(refusal)));
                    }
                }
                requester::Effect::Preempted(ticket) => {
                    if let Some(stream) = self.streams.borrow().get(&ticket) {
                        stream.preempt();
                    }
                }
                requester::Effect::Mark(step) => self.propose_mark(service, "asker", step),
            }
        }
    }

    fn send_asked(&self, service: &ServiceId, to: InstanceId, asked: Asked) {
        let mut host = self.host.borrow_mut();
        if to == host.me {
            host.queue.push_back(Work::asked(service, &to, asked));
        } else {
            let key = (to, service.clone());
            host.requests.entry(key).or_default().push(asked);
        }
    }

    fn on_granted(&self, service: &ServiceId, ticket: Ticket, grant: Grant) {
        let waiter = self.waiting.borrow_mut().swap_remove(&ticket);
        let delivered = waiter.is_some_and(|waiter| {
            let view = self.inputs.view.borrow();
            if let Some(class) = view.catalogue.classes.get(&waiter.class) {
                self.metrics.on_wait(class.tier, grant.waited.as_secs_f64());
            }
            waiter.sender.send(Ok(grant)).is_ok()
        });
        if !delivered {
            let cancel = Work::Requester(service.clone(), requester::Event::Cancel(ticket));
            self.host.borrow_mut().queue.push_back(cancel);
        }
    }

    fn record_refusal(&self, service: &ServiceId, waiter: &Waiter, refusal: &arbiter::Refusal) {
        let key = |kind, name: &str| Key {
            kind,
            name: name.to_owned(),
        };
        let entries = [key(Kind::Service, service), key(Kind::Class, &waiter.class)];
        let text = format!(
            "given up at service {service} ({}): {refusal}",
            metrics::reason(refusal)
        );
        self.ring
            .record("CP0302", Some(waiter.request), &entries, text);
    }

    fn on_arbiter(&self, now: Instant, service: &ServiceId, event: arbiter::Event) {
        if let arbiter::Event::Asked { from, asked } = &event
            && !self.ensure_hosting(now, service, from, asked)
        {
            return;
        }
        let (epoch, effects) = {
            let mut host = self.host.borrow_mut();
            let Some(hosted) = host.arbiters.get_mut(service) else {
                return;
            };
            let effects = hosted.arbiter.on_event(now, event);
            (hosted.arbiter.epoch(), effects)
        };
        self.apply_effects(service, epoch, effects);
    }

    /// Whether this daemon hosts the arbiter, which is started if it should; if not,
    /// the asker is redirected to the first rank.
    fn ensure_hosting(
        &self,
        now: Instant,
        service: &ServiceId,
        from: &InstanceId,
        asked: &Asked,
    ) -> bool {
        if self.host.borrow().arbiters.contains_key(service) {
            return true;
        }
        let wanted = matches!(
            asked.request,
            Request::Ask(_) | Request::Heartbeat(_) | Request::Inventory(_)
        );
        if !wanted {
            return false;
        }
        let ranks = self.ranks(service);
        let me = self.hub.me();
        let first = ranks.first() == Some(me);
        let is_candidate = ranks.iter().take(MAX_CANDIDATES).any(|it| it == me);
        if first || (is_candidate && asked.fallback) {
            self.start_arbiter(now, service, !first);
            return true;
        }
        let to = ranks.first().cloned();
        self.reply(service, from.clone(), 0, Reply::Moved { to });
        false
    }

    /// Starts the arbiters of scaled services that this daemon is to host, so that their
    /// runners are known before the first request comes.
    fn host_scaled(&self, catalogue: &Catalogue) {
        let services = catalogue.services.values();
        let scaled = services.filter(|it| it.scaling.is_some());
        let own = scaled.filter(|it| self.ranks(&it.name).first() == Some(self.hub.me()));
        self.drive(own.map(|it| Work::Host(it.name.clone())).collect());
    }

    fn start_arbiter(&self, now: Instant, service: &ServiceId, fallback: bool) {
        // The list is read while the arbiter collects the slots that askers hold.
        let is_fresh = self.inputs.need.is_fresh(now);
        if is_fresh {
            self.inputs.need.set(now, Role::Host);
        } else {
            self.inputs.need.refresh(now);
        }
        let live = self.live();
        let settings = arbiter::Settings {
            runner_list_timeout: LIST_TIMEOUT,
            admit_unknown: self.settings.admit_unknown,
            shared_hosts: self.inputs.shared_hosts.get(),
            ..arbiter::Settings::default()
        };
        let (mut arbiter, mut effects) = Arbiter::new(now, service.clone(), 1, live, settings);
        let view = self.inputs.view.borrow().clone();
        for event in [
            arbiter::Event::Catalogue(Arc::clone(&view.catalogue)),
            arbiter::Event::Marks(Arc::clone(&view.marks)),
            arbiter::Event::Domains(self.domains()),
            self.standbys_event(service),
        ] {
            effects.extend(arbiter.on_event(now, event));
        }
        if is_fresh {
            let runners = arbiter::Event::Runners(self.runners(service));
            effects.extend(arbiter.on_event(now, runners));
        }
        let epoch = arbiter.epoch();
        self.ring.record(
            "CP0303",
            None,
            &[service_key(service)],
            format!("arbiter of service {service} starts here"),
        );
        let count = {
            let mut host = self.host.borrow_mut();
            let hosted = Hosted {
                arbiter,
                fallback,
                awaiting_list: (!is_fresh).then_some(now),
            };
            host.arbiters.insert(service.clone(), hosted);
            host.arbiters.len()
        };
        self.metrics.set_arbiters(count);
        self.apply_effects(service, epoch, effects);
    }

    fn retire(&self, service: &ServiceId, to: Option<&InstanceId>) {
        let (hosted, count) = {
            let mut host = self.host.borrow_mut();
            let hosted = host.arbiters.swap_remove(service);
            (hosted, host.arbiters.len())
        };
        let Some(hosted) = hosted else { return };
        self.metrics.set_arbiters(count);
        self.metrics.on_retired(service, &hosted.arbiter.stats());
        self.ring.record(
            "CP0304",
            None,
            &[service_key(service)],
            format!("arbiter of service {service} moves to {to:?}"),
        );
        self.keep_records(Instant::now(), service, &hosted.arbiter);
        let epoch = hosted.arbiter.epoch();
        self.apply_effects(service, epoch, hosted.arbiter.retire(to));
    }

    /// Keeps what an arbiter that ends here knows of streams, to tell the next one.
    fn keep_records(&self, now: Instant, service: &ServiceId, arbiter: &Arbiter) {
        let me = self.hub.me();
        let records = Reply::Streams(arbiter.records(now));
        let keep = Work::reply(service, me, arbiter.epoch(), records);
        self.host.borrow_mut().queue.push_back(keep);
    }

    fn apply_effects(&self, service: &ServiceId, epoch: Epoch, effects: Vec<arbiter::Effect>) {
        for effect in effects {
            match effect {
                arbiter::Effect::Send(to, reply) => self.reply(service, to, epoch, reply),
                arbiter::Effect::Mark(step) => self.propose_mark(service, "arbiter", step),
                arbiter::Effect::Note(note) => self.record_note(service, &note),
            }
        }
    }

    /// Proposes a crash mark to the control log; `by` is the side that saw its reason.
    fn propose_mark(&self, service: &ServiceId, by: &'static str, step: crash::Step) {
        let mark = step.name();
        let fingerprints = step.fingerprints();
        self.metrics.on_marks(mark, by, fingerprints.len());
        let named = fingerprints.iter().take(MAX_NAMED_MARKS);
        let named: Vec<String> = named.map(|it| fingerprint::format(*it)).collect();
        log::warn!(
            event = "CP0307", service = service.as_str(), mark, by, count = fingerprints.len(),
            fingerprints = named.join(",");
            "crash mark"
        );
        (self.propose)(step);
    }

    fn reply(&self, service: &ServiceId, to: InstanceId, epoch: Epoch, reply: Reply) {
        let mut host = self.host.borrow_mut();
        if to == host.me {
            host.queue
                .push_back(Work::reply(service, &to, epoch, reply));
        } else {
            let key = (to, service.clone());
            let pending = host.replies.entry(key).or_default();
            pending.0 = pending.0.max(epoch);
            pending.1.push(reply);
        }
    }

    fn record_note(&self, service: &ServiceId, note: &Note) {
        match note {
            Note::Granted { tier, floor } => {
                let tier = metrics::TierLabel { tier: *tier };
                self.metrics.grants.get_or_create(&tier).inc();
                if *floor {
                    self.metrics.floor_grants.inc();
                }
            }
            Note::Refused { .. } => {}
            Note::Preempted { victim, .. } => {
                let tier = metrics::TierLabel { tier: *victim };
                self.metrics.preemptions.get_or_create(&tier).inc();
            }
            Note::Health(transition) => {
                self.metrics.on_transition(transition);
                let text = match transition {
                    Transition::Aside(it) => {
                        format!("runner {it} of service {service} set aside as slow")
                    }
                    Transition::Down(it) => format!("runner {it} of service {service} broke"),
                    Transition::Back(it) => {
                        format!("runner {it} of service {service} is back in use")
                    }
                };
                self.ring
                    .record("CP0305", None, &[service_key(service)], text);
            }
            Note::Accused { runner, by, end } => log::info!(
                event = "CP0314", service = service.as_str(), runner = runner.as_str(),
                by = by.as_str(), end:? = end;
                "runner is put out of use"
            ),
            Note::Brittle { runner, most, by } => log::info!(
                event = "CP0315", service = service.as_str(), runner = runner.as_str(), most,
                by = by.as_str();
                "runner is brittle"
            ),
            Note::HeldBack => self.metrics.on_held_back(service),
            Note::Continued(decision) => {
                self.metrics.on_continued(decision.source);
                log::info!(
                    event = "CP0316", service = service.as_str(),
                    stream = fingerprint::format(decision.stream), build = decision.build.as_str(),
                    evidence = metrics::evidence(decision.source),
                    waited_ms = decision.waited.as_millis();
                    "build of a stream that goes on"
                );
            }
            Note::Limit { runner, rate, by } => {
                self.metrics.on_limit(service, runner, *rate);
                log::info!(
                    event = "CP0311", service = service.as_str(), runner = runner.as_str(),
                    limit = rate.map(Rate::per_second), by = by.as_str();
                    "limit of a runner"
                );
            }
            Note::PartConvicted {
                part,
                crashes,
                beside,
            } => log::warn!(
                event = "CP0312", service = service.as_str(), part = fingerprint::format(*part),
                mark = fingerprint::format(crash::parts::mark_of(service, *part)), crashes, beside;
                "part of prompts crashes runners"
            ),
            Note::PartProbed(part) => log::info!(
                event = "CP0313", service = service.as_str(), part = fingerprint::format(*part);
                "request admitted to test a convicted part"
            ),
            Note::AskerLost(asker) => {
                self.metrics.lost_askers.inc();
                let text = format!("slots of {asker} at service {service} are free again");
                self.ring
                    .record("CP0306", None, &[service_key(service)], text);
            }
        }
    }

    pub(super) fn apply_inputs(&self) {
        self.apply_view();
        self.apply_platform();
        self.apply_members();
    }

    /// The rendezvous order of a service, computed once per change of the members.
    pub(super) fn ranks(&self, service: &ServiceId) -> Rc<[InstanceId]> {
        let mut host = self.host.borrow_mut();
        if let Some(known) = host.ranks.get(service) {
            return Rc::clone(known);
        }
        let ranks: Rc<[InstanceId]> = host_order(service, 0, &self.inputs.members.borrow()).into();
        host.ranks.insert(service.clone(), Rc::clone(&ranks));
        ranks
    }

    /// What the list of runners is needed for: arbiters that are hosted here, or those
    /// that would start here if the hosts before this daemon were lost.
    pub(super) fn list_role(&self) -> Role {
        if !self.host.borrow().arbiters.is_empty() {
            return Role::Host;
        }
        let view = self.inputs.view.borrow().clone();
        let mut services = view.catalogue.services.keys();
        let is_candidate = services.any(|service| {
            let ranks = self.ranks(service);
            ranks
                .iter()
                .take(MAX_CANDIDATES)
                .any(|it| it == self.hub.me())
        });
        if is_candidate {
            Role::Standby
        } else {
            Role::Other
        }
    }

    pub(super) fn apply_members(&self) {
        self.host.borrow_mut().ranks.clear();
        let (live, domains) = (self.live(), self.domains());
        let mut works = Vec::new();
        for service in self.requester_services() {
            let ranks = self.ranks(&service).to_vec();
            works.push(Work::Requester(service, requester::Event::Ranks(ranks)));
        }
        for (service, fallback) in self.hosted_services() {
            let first = self.ranks(&service).first().cloned();
            if !fallback && first.as_ref() != Some(self.hub.me()) {
                self.retire(&service, first.as_ref());
            } else {
                let domains = arbiter::Event::Domains(Arc::clone(&domains));
                works.push(Work::Arbiter(service.clone(), domains));
                works.push(Work::Arbiter(
                    service.clone(),
                    self.standbys_event(&service),
                ));
                works.push(Work::Arbiter(service, arbiter::Event::Live(live.clone())));
            }
        }
        self.drive(works);
    }

    pub(super) fn apply_platform(&self) {
        let hosted = self.hosted_services().into_iter();
        let works = hosted.map(|(service, _)| self.list_work(service));
        self.drive(works.collect());
    }

    /// The event that gives the list of runners to a hosted arbiter.
    fn list_work(&self, service: ServiceId) -> Work {
        if let Some(hosted) = self.host.borrow_mut().arbiters.get_mut(&service) {
            hosted.awaiting_list = None;
        }
        let runners = self.runners(&service);
        Work::Arbiter(service, arbiter::Event::Runners(runners))
    }

    /// Whether an arbiter has waited long enough for a new list of runners, and there is
    /// an old one.
    fn accepts_stale_list(&self, now: Instant, service: &ServiceId) -> bool {
        if self.inputs.need.read_at().is_none() {
            return false;
        }
        let host = self.host.borrow();
        let since = host.arbiters.get(service).and_then(|it| it.awaiting_list);
        since.is_some_and(|at| now.saturating_duration_since(at) >= STALE_LIST_AFTER)
    }

    pub(super) fn apply_view(&self) {
        let view = self.inputs.view.borrow().clone();
        let mut works = Vec::new();
        for service in self.requester_services() {
            let marks = Arc::clone(&view.marks);
            works.push(Work::Requester(service, requester::Event::Marks(marks)));
        }
        for (service, _) in self.hosted_services() {
            let catalogue = arbiter::Event::Catalogue(Arc::clone(&view.catalogue));
            let marks = arbiter::Event::Marks(Arc::clone(&view.marks));
            works.push(Work::Arbiter(service.clone(), catalogue));
            works.push(Work::Arbiter(service, marks));
        }
        self.drive(works);
    }

    pub(super) fn tick(&self) {
        self.drop_idle_fallbacks();
        let now = Instant::now();
        let mut works = Vec::new();
        for service in self.requester_services() {
            let due = self
                .host
                .borrow()
                .requesters
                .get(&service)
                .is_some_and(|requester| requester.is_heartbeat_due(now));
            if due {
                let progress = self.progress(now, &service);
                works.push(Work::Requester(
                    service.clone(),
                    requester::Event::Progress(progress),
                ));
            }
            works.push(Work::Requester(service, requester::Event::Tick));
        }
        for (service, _) in self.hosted_services() {
            if self.accepts_stale_list(now, &service) {
                works.push(self.list_work(service.clone()));
            }
            if self.inputs.shared_hosts.get() {
                works.push(Work::Arbiter(service.clone(), arbiter::Event::SharedHosts));
            }
            works.push(Work::Arbiter(service, arbiter::Event::Tick));
        }
        self.drive(works);
        self.log_cost(now);
    }

    /// Demand for runners of the hosted services whose runners are ordered.
    pub(super) fn demands(&self) -> Vec<Demand> {
        let view = self.inputs.view.borrow().clone();
        let is_scaled = |service: &ServiceId| {
            let service = view.catalogue.services.get(service);
            service.is_some_and(|it| it.scaling.is_some())
        };
        self.host_scaled(&view.catalogue);
        let mut host = self.host.borrow_mut();
        let hosted = host.arbiters.iter_mut();
        let scaled = hosted.filter(|(service, _)| is_scaled(service));
        scaled.filter_map(|(_, it)| it.arbiter.demand()).collect()
    }

    pub(super) fn repropose_marks(&self) {
        let host = self.host.borrow();
        let steps = host.requesters.values().flat_map(Requester::unconfirmed);
        let steps: Vec<_> = steps.collect();
        drop(host);
        for step in steps {
            (self.propose)(step);
        }
    }

    /// Progress of a service's runners, as seen by the streams of this daemon.
    fn progress(&self, now: Instant, service: &ServiceId) -> Vec<arbiter::Progress> {
        let streams = self.streams.borrow();
        let of_service = streams
            .values()
            .filter(|it| it.service == *service)
            .map(AsRef::as_ref);
        progress::sum(now, of_service)
    }

    fn drop_idle_fallbacks(&self) {
        let idle: Vec<ServiceId> = {
            let host = self.host.borrow();
            let idle = host
                .arbiters
                .iter()
                .filter(|(_, it)| it.fallback && it.arbiter.is_unused());
            idle.map(|(service, _)| service.clone()).collect()
        };
        for service in idle {
            let first = self.ranks(&service).first().cloned();
            if first.as_ref() != Some(self.hub.me()) {
                self.retire(&service, first.as_ref());
            }
        }
    }

    fn requester_services(&self) -> Vec<ServiceId> {
        self.host.borrow().requesters.keys().cloned().collect()
    }

    pub(super) fn hosted_services(&self) -> Vec<(ServiceId, bool)> {
        let host = self.host.borrow();
        let hosted = host.arbiters.iter();
        hosted
            .map(|(it, hosted)| (it.clone(), hosted.fallback))
            .collect()
    }

    pub(super) fn runners(&self, service: &ServiceId) -> Vec<platform::Runner> {
        let list = self.inputs.platform.borrow();
        let of_service = list.runners.iter().filter(|it| it.service == *service);
        of_service.cloned().collect()
    }

    /// Failure domains of the daemons.
    fn domains(&self) -> Arc<IndexMap<InstanceId, DomainId>> {
        let members = self.inputs.members.borrow();
        let domains = members
            .values()
            .map(|it| (it.id.clone(), it.domain.clone()));
        Arc::new(domains.collect())
    }

    /// The daemons that keep copies for a hosted arbiter.
    fn standbys_event(&self, service: &ServiceId) -> arbiter::Event {
        let ranks = self.ranks(service);
        arbiter::Event::Standbys(standbys(self.hub.me(), &ranks, &self.domains()))
    }

    fn live(&self) -> IndexSet<InstanceId> {
        let members = self.inputs.members.borrow();
        let live = members.values().filter(|it| it.state != State::Dead);
        let mut live: IndexSet<InstanceId> = live.map(|it| it.id.clone()).collect();
        live.insert(self.hub.me().clone());
        live
    }
}

/// Message of a panic.
fn text_of(cause: &(dyn Any + Send)) -> &str {
    let text = cause.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| cause.downcast_ref::<&str>().copied())
        .unwrap_or("unknown")
}

fn service_key(service: &ServiceId) -> Key {
    Key {
        kind: Kind::Service,
        name: service.clone(),
    }
}
