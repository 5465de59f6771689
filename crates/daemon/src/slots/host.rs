//! Desks and hosted arbiters, and what their effects lead to.
//!
//! Effects for this same daemon are carried out in turn, without the network;
//! those for others leave as one message per receiver and shard.

use std::{
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    arbiter::{self, Arbiter, Asked, Note, Reply, Request, Ticket, Transition, host_order},
    catalogue::{Key, Kind},
    id::{DomainId, Epoch, InstanceId, ServiceId},
    member::State,
    platform,
    requester::{self, Requester},
};
use citron_wire::{Body, slot as form};
use indexmap::{IndexMap, IndexSet};

use super::{Grant, Inner, Waiter, metrics, progress};

/// Longest wait of a new arbiter for the list of runners, which is read once
/// more as it starts.
const LIST_PATIENCE: Duration = Duration::from_millis(300);

/// Time after which an arbiter goes by an old list that is not read again: a few
/// round trips to the platform, and before the longest wait ends.
const OLD_LIST_AFTER: Duration = Duration::from_millis(150);

/// Time without any work here after which the arbiters are given up: the leases of
/// slots, so that others have granted meanwhile what they still count as held.
const STOOD_STILL: Duration = Duration::from_secs(2);

/// Least time between two readings of the gauges; a tenth of the time within which
/// a caller's leaving must show.
const STATS_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two lines about the work of arbiters.
const EFFORT_INTERVAL: Duration = Duration::from_secs(1);

/// Ranks that may host an arbiter when those before do not answer.
const MAX_RANKS: usize = 3;

/// An event for one of the state machines here.
#[derive(Debug)]
pub(super) enum Work {
    Desk(ServiceId, requester::Event),
    Arbiter(ServiceId, arbiter::Event),
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
        Self::Desk(
            service.clone(),
            requester::Event::Reply { from, epoch, reply },
        )
    }
}

/// What the arbiters here have cost since the last line about it.
#[derive(Debug)]
struct Effort {
    since: Instant,
    events: u64,
    busy: Duration,
    longest: Duration,
}

impl Effort {
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

/// The state machines of this daemon.
#[derive(Debug)]
pub(super) struct Host {
    me: InstanceId,
    pub(super) desks: IndexMap<ServiceId, Requester>,
    pub(super) arbiters: IndexMap<ServiceId, Hosted>,
    queue: VecDeque<Work>,
    asks: IndexMap<(InstanceId, ServiceId), Vec<Asked>>,
    replies: IndexMap<(InstanceId, ServiceId), (Epoch, Vec<Reply>)>,
    /// Rendezvous orders by the present members.
    ranks: IndexMap<ServiceId, Rc<[InstanceId]>>,
    effort: Effort,
}

/// An arbiter hosted here.
#[derive(Debug)]
pub(super) struct Hosted {
    pub(super) arbiter: Arbiter,
    /// Whether it stands in for one that askers did not reach.
    fallback: bool,
    /// Since when it waits for the list of runners to be read again.
    unlisted: Option<Instant>,
}

impl Host {
    pub(super) fn new(me: InstanceId) -> Self {
        Self {
            me,
            desks: IndexMap::new(),
            arbiters: IndexMap::new(),
            queue: VecDeque::new(),
            asks: IndexMap::new(),
            replies: IndexMap::new(),
            ranks: IndexMap::new(),
            effort: Effort::new(Instant::now()),
        }
    }
}

impl Inner {
    /// Carries out events and all that they lead to, then sends what is for others.
    pub(super) fn drive(&self, works: Vec<Work>) {
        self.host.borrow_mut().queue.extend(works);
        if self.busy.replace(true) {
            return;
        }
        let now = Instant::now();
        self.drop_outdated(now);
        let mut events = 0;
        loop {
            let work = self.host.borrow_mut().queue.pop_front();
            match work {
                Some(Work::Desk(service, event)) => self.on_desk(now, &service, event),
                Some(Work::Arbiter(service, event)) => {
                    events += 1;
                    self.on_arbiter(now, &service, event);
                }
                None => break,
            }
        }
        if events > 0 {
            self.host.borrow_mut().effort.add(events, now.elapsed());
            self.stale.notify_one();
        }
        self.busy.set(false);
        self.send_all();
    }

    /// Keeps the gauges of the arbiters here up to date, for ever.
    pub(super) async fn show_stats(&self) {
        loop {
            self.stale.notified().await;
            for (service, hosted) in &self.host.borrow().arbiters {
                self.metrics.on_stats(service, &hosted.arbiter.stats());
            }
            actix_rt::time::sleep(STATS_INTERVAL).await;
        }
    }

    /// Tells from time to time what the arbiters here cost.
    fn tell_effort(&self, now: Instant) {
        let mut host = self.host.borrow_mut();
        if now.saturating_duration_since(host.effort.since) < EFFORT_INTERVAL {
            return;
        }
        let effort = std::mem::replace(&mut host.effort, Effort::new(now));
        let stats: Vec<_> = host
            .arbiters
            .values()
            .map(|it| it.arbiter.stats())
            .collect();
        let sum = |count: fn(&arbiter::Stats) -> usize| stats.iter().map(count).sum::<usize>();
        self.metrics.on_effort(effort.events, effort.busy);
        if !stats.is_empty() {
            log::info!(
                event = "CP0310", events = effort.events, busy_ms = effort.busy.as_millis(),
                longest_ms = effort.longest.as_millis(), queued = sum(|it| it.queued.iter().sum()),
                running = sum(|it| it.running), askers = sum(|it| it.askers);
                "work of the arbiters here"
            );
        }
    }

    /// Drops the arbiters of a process that stood still; the next ask starts new
    /// ones, which ask everybody what they hold.
    fn drop_outdated(&self, now: Instant) {
        let pause = now.saturating_duration_since(self.driven.replace(now));
        if pause < STOOD_STILL {
            return;
        }
        let dropped = std::mem::take(&mut self.host.borrow_mut().arbiters);
        for service in dropped.keys() {
            self.metrics.on_retired(service);
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
        let (asks, replies) = {
            let mut host = self.host.borrow_mut();
            (
                std::mem::take(&mut host.asks),
                std::mem::take(&mut host.replies),
            )
        };
        for ((to, service), asked) in asks {
            let message = form::of_asked(&service, 0, asked);
            self.hub.tell(&to, Body::Slot(message));
        }
        for ((to, service), (epoch, replies)) in replies {
            let message = form::of_replies(&service, 0, epoch, replies);
            self.hub.tell(&to, Body::Slot(message));
        }
    }

    fn on_desk(&self, now: Instant, service: &ServiceId, event: requester::Event) {
        let effects = {
            let mut host = self.host.borrow_mut();
            let Some(desk) = host.desks.get_mut(service) else {
                return;
            };
            desk.on_event(now, event)
        };
        for effect in effects {
            match effect {
                requester::Effect::Send(to, asked) => self.send_asked(service, to, asked),
                requester::Effect::Granted {
                    ticket,
                    runner,
                    alone,
                    address,
                    waited,
                } => {
                    let grant = Grant {
                        runner,
                        alone,
                        address,
                        waited,
                    };
                    self.on_granted(service, ticket, grant);
                }
                requester::Effect::Refused(ticket, refusal) => {
                    self.metrics.on_refusal(&refusal);
                    if let Some(waiter) = self.waiting.borrow_mut().swap_remove(&ticket) {
                        self.record_refusal(service, &waiter, &refusal);
                        drop(waiter.tell.send(Err(refusal)));
                    }
                }
                requester::Effect::Preempted(ticket) => {
                    if let Some(stream) = self.streams.borrow().get(&ticket) {
                        stream.preempt();
                    }
                }
                requester::Effect::Mark(step) => {
                    log::warn!("CP0307 crash mark of service {service}: {step:?}");
                    (self.propose)(step);
                }
            }
        }
    }

    fn send_asked(&self, service: &ServiceId, to: InstanceId, asked: Asked) {
        let mut host = self.host.borrow_mut();
        if to == host.me {
            host.queue.push_back(Work::asked(service, &to, asked));
        } else {
            let key = (to, service.clone());
            host.asks.entry(key).or_default().push(asked);
        }
    }

    fn on_granted(&self, service: &ServiceId, ticket: Ticket, grant: Grant) {
        let waiter = self.waiting.borrow_mut().swap_remove(&ticket);
        let delivered = waiter.is_some_and(|waiter| {
            let view = self.inputs.view.borrow();
            if let Some(class) = view.catalogue.classes.get(&waiter.class) {
                self.metrics.on_wait(class.tier, grant.waited.as_secs_f64());
            }
            waiter.tell.send(Ok(grant)).is_ok()
        });
        if !delivered {
            let cancel = Work::Desk(service.clone(), requester::Event::Cancel(ticket));
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
            && !self.is_hosting(now, service, from, asked)
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
        self.carry_out(service, epoch, effects);
    }

    /// Whether an arbiter is here, or takes up its work now; else says who is.
    fn is_hosting(
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
            Request::Ask(_) | Request::Beat(_) | Request::Recital(_)
        );
        if !wanted {
            return false;
        }
        let ranks = self.ranks(service);
        let me = self.hub.me();
        let first = ranks.first() == Some(me);
        let near = ranks.iter().take(MAX_RANKS).any(|it| it == me);
        if first || (near && asked.fallback) {
            self.start_arbiter(now, service, !first);
            return true;
        }
        let to = ranks.first().cloned();
        self.reply(service, from.clone(), 0, Reply::Moved { to });
        false
    }

    fn start_arbiter(&self, now: Instant, service: &ServiceId, fallback: bool) {
        // It is read while the askers are still listened to.
        let is_fresh = self.inputs.need.is_fresh(now);
        if is_fresh {
            self.inputs.need.set(true);
        } else {
            self.inputs.need.refresh();
        }
        let live = self.live();
        let settings = arbiter::Settings {
            runner_list_timeout: LIST_PATIENCE,
            admit_unknown: self.settings.admit_unknown,
            ..arbiter::Settings::default()
        };
        let (mut arbiter, mut effects) = Arbiter::new(now, service.clone(), 1, live, settings);
        let view = self.inputs.view.borrow().clone();
        for event in [
            arbiter::Event::Catalogue(Arc::clone(&view.catalogue)),
            arbiter::Event::Marks(Arc::clone(&view.marks)),
            arbiter::Event::Domains(self.domains()),
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
                unlisted: (!is_fresh).then_some(now),
            };
            host.arbiters.insert(service.clone(), hosted);
            host.arbiters.len()
        };
        self.metrics.set_arbiters(count);
        self.carry_out(service, epoch, effects);
    }

    fn retire(&self, service: &ServiceId, to: Option<&InstanceId>) {
        let (hosted, count) = {
            let mut host = self.host.borrow_mut();
            let hosted = host.arbiters.swap_remove(service);
            (hosted, host.arbiters.len())
        };
        let Some(hosted) = hosted else { return };
        self.metrics.set_arbiters(count);
        self.metrics.on_retired(service);
        self.ring.record(
            "CP0304",
            None,
            &[service_key(service)],
            format!("arbiter of service {service} moves to {to:?}"),
        );
        let epoch = hosted.arbiter.epoch();
        self.carry_out(service, epoch, hosted.arbiter.retire(to));
    }

    fn carry_out(&self, service: &ServiceId, epoch: Epoch, effects: Vec<arbiter::Effect>) {
        for effect in effects {
            match effect {
                arbiter::Effect::Send(to, reply) => self.reply(service, to, epoch, reply),
                arbiter::Effect::Mark(step) => {
                    log::warn!("CP0307 crash mark of service {service}: {step:?}");
                    (self.propose)(step);
                }
                arbiter::Effect::Note(note) => self.note(service, &note),
            }
        }
    }

    fn reply(&self, service: &ServiceId, to: InstanceId, epoch: Epoch, reply: Reply) {
        let mut host = self.host.borrow_mut();
        if to == host.me {
            host.queue
                .push_back(Work::reply(service, &to, epoch, reply));
        } else {
            let key = (to, service.clone());
            let waiting = host.replies.entry(key).or_default();
            waiting.0 = waiting.0.max(epoch);
            waiting.1.push(reply);
        }
    }

    fn note(&self, service: &ServiceId, note: &Note) {
        match note {
            Note::Granted { tier, floor } => {
                let tier = metrics::Tier { tier: *tier };
                self.metrics.grants.get_or_create(&tier).inc();
                if *floor {
                    self.metrics.floor_grants.inc();
                }
            }
            Note::Refused { .. } => {}
            Note::Preempted { victim, .. } => {
                let tier = metrics::Tier { tier: *victim };
                self.metrics.preemptions.get_or_create(&tier).inc();
            }
            Note::Health(turn) => {
                self.metrics.on_turn(turn);
                let text = match turn {
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
            Note::AskerLost(asker) => {
                self.metrics.lost_askers.inc();
                let text = format!("slots of {asker} at service {service} are free again");
                self.ring
                    .record("CP0306", None, &[service_key(service)], text);
            }
        }
    }

    pub(super) fn follow_all(&self) {
        self.follow_view();
        self.follow_platform();
        self.follow_members();
    }

    /// The rendezvous order of a service, ranked once for each change of the members.
    pub(super) fn ranks(&self, service: &ServiceId) -> Rc<[InstanceId]> {
        let mut host = self.host.borrow_mut();
        if let Some(known) = host.ranks.get(service) {
            return Rc::clone(known);
        }
        let ranks: Rc<[InstanceId]> = host_order(service, 0, &self.inputs.members.borrow()).into();
        host.ranks.insert(service.clone(), Rc::clone(&ranks));
        ranks
    }

    pub(super) fn follow_members(&self) {
        self.host.borrow_mut().ranks.clear();
        let (live, domains) = (self.live(), self.domains());
        let mut works = Vec::new();
        for service in self.desk_services() {
            let ranks = self.ranks(&service).to_vec();
            works.push(Work::Desk(service, requester::Event::Ranks(ranks)));
        }
        for (service, fallback) in self.hosted_services() {
            let first = self.ranks(&service).first().cloned();
            if !fallback && first.as_ref() != Some(self.hub.me()) {
                self.retire(&service, first.as_ref());
            } else {
                let domains = arbiter::Event::Domains(Arc::clone(&domains));
                works.push(Work::Arbiter(service.clone(), domains));
                works.push(Work::Arbiter(service, arbiter::Event::Live(live.clone())));
            }
        }
        self.drive(works);
    }

    pub(super) fn follow_platform(&self) {
        let hosted = self.hosted_services().into_iter();
        let works = hosted.map(|(service, _)| self.show_list(service));
        self.drive(works.collect());
    }

    /// Shows the list of runners to an arbiter here.
    fn show_list(&self, service: ServiceId) -> Work {
        if let Some(hosted) = self.host.borrow_mut().arbiters.get_mut(&service) {
            hosted.unlisted = None;
        }
        let runners = self.runners(&service);
        Work::Arbiter(service, arbiter::Event::Runners(runners))
    }

    /// Whether an arbiter has waited long enough for a new list.
    fn takes_old_list(&self, now: Instant, service: &ServiceId) -> bool {
        let host = self.host.borrow();
        let since = host.arbiters.get(service).and_then(|it| it.unlisted);
        since.is_some_and(|at| now.saturating_duration_since(at) >= OLD_LIST_AFTER)
    }

    pub(super) fn follow_view(&self) {
        let view = self.inputs.view.borrow().clone();
        let mut works = Vec::new();
        for service in self.desk_services() {
            let marks = Arc::clone(&view.marks);
            works.push(Work::Desk(service, requester::Event::Marks(marks)));
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
        for service in self.desk_services() {
            let due = self
                .host
                .borrow()
                .desks
                .get(&service)
                .is_some_and(|desk| desk.is_heartbeat_due(now));
            if due {
                let progress = self.progress(now, &service);
                works.push(Work::Desk(
                    service.clone(),
                    requester::Event::Progress(progress),
                ));
            }
            works.push(Work::Desk(service, requester::Event::Tick));
        }
        for (service, _) in self.hosted_services() {
            if self.takes_old_list(now, &service) {
                works.push(self.show_list(service.clone()));
            }
            works.push(Work::Arbiter(service, arbiter::Event::Tick));
        }
        self.drive(works);
        self.tell_effort(now);
    }

    pub(super) fn propose_again(&self) {
        let host = self.host.borrow();
        let steps = host.desks.values().flat_map(Requester::unconfirmed);
        let steps: Vec<_> = steps.collect();
        drop(host);
        for step in steps {
            (self.propose)(step);
        }
    }

    /// What this daemon's streams of a service see of its runners.
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

    fn desk_services(&self) -> Vec<ServiceId> {
        self.host.borrow().desks.keys().cloned().collect()
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

    fn live(&self) -> IndexSet<InstanceId> {
        let members = self.inputs.members.borrow();
        let live = members.values().filter(|it| it.state != State::Dead);
        let mut live: IndexSet<InstanceId> = live.map(|it| it.id.clone()).collect();
        live.insert(self.hub.me().clone());
        live
    }
}

fn service_key(service: &ServiceId) -> Key {
    Key {
        kind: Kind::Service,
        name: service.clone(),
    }
}
