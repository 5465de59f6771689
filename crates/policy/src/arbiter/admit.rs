//! Admission control: which asks are queued, and which are refused at once.
//!
//! An ask is refused on arrival when an account or class limit is reached, when
//! no runner is usable, or when its estimated wait exceeds what its class's target
//! allows. The estimate counts only requests of its own tier and above. The oldest
//! few requests of each class are exempt, since the floor will serve them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Arbiter, Ask, Effect, Key, Note, Refusal, Reply, continuity::Verdict, estimate::Capacity,
    outage::REST, queue::Item,
};
use crate::{
    catalogue::{Account, Class, MAX_TIER, URGENCY_LEVELS},
    crash::{Mark, NO_FINGERPRINT, Step},
    id::Fingerprint,
    stream::{self, NO_STREAM, Origin, Stream},
};

/// Retry delay when the catalogue here lacks the class or account.
const STALE_CATALOGUE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time to a deadline; longer ones are cut to it.
const MAX_REMAINING: Duration = Duration::from_hours(24);

impl Arbiter {
    pub(super) fn on_ask(
        &mut self,
        now: Instant,
        asker: u32,
        ask: &Ask,
        effects: &mut Vec<Effect>,
    ) {
        let key = Key {
            asker,
            ticket: ask.ticket,
        };
        if self.answer_repeated_ask(key, effects) {
            return;
        }
        let class = self.class_of(ask).or_else(|| self.placeholder_class(ask));
        let account = self.catalogue.accounts.get(&ask.account).cloned();
        let account = account.or_else(|| self.placeholder_account(ask));
        let (Some(class), Some(account)) = (class, account) else {
            let retry_after = STALE_CATALOGUE_RETRY_AFTER;
            self.send(
                key,
                Reply::Refused(ask.ticket, Refusal::Shed { retry_after }),
                effects,
            );
            return;
        };
        self.add_to_digest(key);
        self.floor.on_demand(now, &class.name);
        let mut item = self.new_item(now, key, ask, Arc::clone(&class));
        if ask.suspected
            && item.fingerprint != NO_FINGERPRINT
            && self.marks.get(item.fingerprint).is_none()
        {
            if self.excused.covers(now, item.fingerprint, Mark::Suspected) {
                self.send_cleared(key.asker, item.fingerprint, effects);
            } else {
                self.mark(Step::Suspected(vec![item.fingerprint]), effects);
            }
        }
        let admitted = self.admit(now, ask, &class, &account, &item, effects);
        let decided = admitted.and_then(|()| self.decide_build(now, &mut item, effects));
        match decided {
            Err(refusal) => {
                self.refuse_item(&item, refusal, effects);
                return;
            }
            Ok(Verdict::Search) => self.searches.push(item),
            Ok(Verdict::Ready) if self.must_run_alone(item.fingerprint) => {
                self.suspects.push(item);
            }
            Ok(Verdict::Ready) => self.push_copy(item),
        }
        self.schedule(now, effects);
        if !self.running.contains_key(&key) {
            self.send(key, Reply::Queued(ask.ticket), effects);
        }
    }

    /// Replacement for a class that only a newer catalogue has.
    fn placeholder_class(&self, ask: &Ask) -> Option<Arc<Class>> {
        self.settings.admit_unknown.then(|| {
            Arc::new(Class {
                name: ask.class.clone(),
                owner: String::new(),
                tier: ask.tier.unwrap_or(MAX_TIER).min(MAX_TIER),
                first_token: ask.remaining,
                between_tokens: ask.remaining,
                whole: ask.remaining,
                wait_bound: ask.remaining,
                queue_limit: u32::MAX,
                preemptible: false,
            })
        })
    }

    /// Replacement for an account that only a newer catalogue has.
    fn placeholder_account(&self, ask: &Ask) -> Option<Arc<Account>> {
        self.settings.admit_unknown.then(|| {
            Arc::new(Account {
                name: ask.account.clone(),
                max_running: u32::MAX,
                max_queued: u32::MAX,
                ..Account::default()
            })
        })
    }

    /// The class of an ask, with the tier of its account if that has one.
    pub(super) fn class_of(&self, ask: &Ask) -> Option<Arc<Class>> {
        let class = self.catalogue.classes.get(&ask.class)?;
        Some(match ask.tier {
            Some(tier) if tier != class.tier => Arc::new(Class {
                tier: tier.min(MAX_TIER),
                ..class.as_ref().clone()
            }),
            _ => Arc::clone(class),
        })
    }

    /// Answers an ask that is already queued or granted; false if it is new.
    fn answer_repeated_ask(&self, key: Key, effects: &mut Vec<Effect>) -> bool {
        if let Some(running) = self.running.get(&key) {
            self.send(key, running.grant(key), effects);
            return true;
        }
        let waits = self.is_waiting(key);
        if waits {
            self.send(key, Reply::Queued(key.ticket), effects);
        }
        waits
    }

    fn new_item(&self, now: Instant, key: Key, ask: &Ask, class: Arc<Class>) -> Item {
        let waiting_since = now.checked_sub(ask.waited).unwrap_or(now);
        let target = self.max_wait(&class);
        Item {
            key,
            urgency: self.catalogue.urgency(class.tier, &class.name),
            account: self.account(&ask.account),
            fingerprint: ask.fingerprint,
            prefix: ask.prefix,
            due: waiting_since + target,
            deadline: now + ask.remaining.min(MAX_REMAINING),
            waiting_since,
            arrived: now,
            avoid: ask.avoid.clone(),
            resume: ask.resume,
            prompt: ask.prompt.as_slice().into(),
            output: ask.output,
            stream: ask.stream.as_ref().map(|it| named(it, ask.fingerprint)),
            build: None,
            obstacle: None,
            held_back: false,
            class,
        }
    }

    fn admit(
        &mut self,
        now: Instant,
        ask: &Ask,
        class: &Class,
        account: &Account,
        item: &Item,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        if self.marks.get(item.fingerprint) == Some(Mark::Quarantined) {
            return Err(Refusal::Quarantined);
        }
        if self.outage.rests(now, item.fingerprint) {
            return Err(Refusal::NoRunner { retry_after: REST });
        }
        self.admit_parts(now, &item.prompt, effects)?;
        if ask.remaining.is_zero() {
            return Err(Refusal::Late);
        }
        if self.collecting.is_none() && self.pool.is_unusable() && self.pool.probe(now).is_none() {
            let retry_after = self.without_runner(now);
            return Err(Refusal::NoRunner { retry_after });
        }
        if self.suspects.waiting() >= self.settings.max_queue {
            let retry_after = self.retry_after(item);
            return Err(Refusal::Shed { retry_after });
        }
        if ask.resume {
            return self.make_room(item, effects);
        }
        if self.can_grant_now(now, &item.account) {
            return self.make_room(item, effects);
        }
        if self.waiting_of(&item.account) >= account.max_queued {
            let retry_after = self.retry_after(item);
            return Err(Refusal::Account { retry_after });
        }
        let queued = self.queue.class_len(&class.name);
        let full = queued >= class.queue_limit as usize;
        let exempt = queued < self.settings.reserve;
        if full || (!exempt && self.estimated_wait(item) > self.max_wait(class)) {
            let retry_after = self.retry_after(item);
            return Err(Refusal::Shed { retry_after });
        }
        self.make_room(item, effects)
    }

    /// Waiting requests of an account, including those outside the common queue.
    fn waiting_of(&self, account: &str) -> u32 {
        self.queue.account_len(account)
            + self.suspects.waiting_of(account)
            + self.searches.waiting_of(account)
    }

    /// Whether a request of the account would be granted at once.
    fn can_grant_now(&self, now: Instant, account: &str) -> bool {
        self.collecting.is_none()
            && self.queue.len() == 0
            && !self.queue.is_blocked(account)
            && self.pool.is_free(now)
    }

    /// Sheds the newest request of the lowest urgency when the queue is full.
    ///
    /// The oldest few requests of each class do not count against the limit, and
    /// nothing is shed for them: the floor can serve a class only while it has
    /// waiting requests.
    fn make_room(&mut self, item: &Item, effects: &mut Vec<Effect>) -> Result<(), Refusal> {
        let reserve = self.settings.reserve;
        let full = self.queue.len_beyond_reserve(reserve) >= self.settings.max_queue;
        if !full || self.queue.class_len(&item.class.name) < reserve {
            return Ok(());
        }
        let last = self.queue.newest_of_lowest(reserve, |_| true);
        let lower = last.filter(|key| {
            let last = self.queue.get(*key);
            last.is_some_and(|last| last.urgency > item.urgency)
        });
        let Some(victim) = lower.and_then(|key| self.take_waiting(key)) else {
            let retry_after = self.retry_after(item);
            return Err(Refusal::Shed { retry_after });
        };
        let retry_after = self.retry_after(&victim);
        self.refuse_item(&victim, Refusal::Shed { retry_after }, effects);
        Ok(())
    }

    /// Estimated wait of a new request like this.
    fn estimated_wait(&self, item: &Item) -> Duration {
        self.estimated_wait_with(self.pool.capacity(), item)
    }

    /// Estimated wait of a new request like this with the given capacity.
    fn estimated_wait_with(&self, capacity: Capacity, item: &Item) -> Duration {
        let urgency = item.urgency_index();
        let higher = (0..urgency).map(|it| self.queue.len_of(it)).sum();
        let own = self.queue.ahead_of(urgency, &item.account) + 1;
        self.estimate
            .wait(capacity, urgency, higher, own, self.settings.floor_share)
    }

    pub(super) fn retry_after(&self, item: &Item) -> Duration {
        self.with_arrivals(self.estimated_wait(item))
    }

    /// Refuses requests whose deadline has passed or that can't meet their target.
    pub(super) fn expire_items(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let mut expired = self.queue.expired(now);
        expired.extend(self.suspects.expired(now));
        let searched = self.searches.items().filter(|it| it.deadline <= now);
        expired.extend(searched.map(|it| it.key));
        for key in expired {
            if let Some(item) = self.take_waiting(key) {
                self.refuse_item(&item, Refusal::Late, effects);
            }
        }
        if self.collecting.is_some() {
            return;
        }
        let capacity = self.pool.capacity();
        for urgency in (0..URGENCY_LEVELS).rev() {
            self.shed_overdue(now, urgency, capacity, effects);
        }
    }

    /// Sheds requests whose target has passed while more requests of their urgency
    /// wait than can be served in time.
    fn shed_overdue(
        &mut self,
        now: Instant,
        urgency: usize,
        capacity: Capacity,
        effects: &mut Vec<Effect>,
    ) {
        let overdue = self.queue.overdue(urgency, now);
        let first = overdue.first().and_then(|key| self.queue.get(*key));
        let overloaded = first
            .is_some_and(|it| self.estimated_wait_with(capacity, it) > self.max_wait(&it.class));
        self.queue.set_overloaded(urgency, overloaded);
        if !overloaded {
            return;
        }
        for key in overdue {
            let Some(item) = self.queue.get(key).filter(|it| !self.is_exempt(it)) else {
                continue;
            };
            let retry_after = self.with_arrivals(self.estimated_wait_with(capacity, item));
            if let Some(item) = self.take_waiting(key) {
                self.refuse_item(&item, Refusal::Shed { retry_after }, effects);
            }
        }
    }

    /// Whether an overdue request is kept: resumed work, and, for the floor to serve,
    /// the oldest requests of a class that has had no grant since they arrived.
    fn is_exempt(&self, item: &Item) -> bool {
        let starved = self.floor.is_starved_since(&item.class.name, item.arrived);
        item.resume || (starved && self.queue.is_among_oldest(item, self.settings.reserve))
    }

    /// Refuses every waiting request when no runner is usable.
    pub(super) fn refuse_without_runner(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.collecting.is_some() || !self.pool.is_unusable() {
            self.refuse_without_build(now, effects);
            return;
        }
        let retry_after = self.without_runner(now);
        let mut keys: Vec<Key> = self.queue.items().map(|it| it.key).collect();
        keys.extend(self.suspects.keys().chain(self.searches.keys()));
        for key in keys {
            if let Some(item) = self.take_waiting(key) {
                self.refuse_item(&item, Refusal::NoRunner { retry_after }, effects);
            }
        }
    }

    /// Refuses what waits and has to rest in an outage: waits would add up, as one runs
    /// at a time.
    pub(super) fn refuse_resting(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let waiting = self.queue.items().chain(self.suspects.items());
        let resting = waiting
            .chain(self.searches.items())
            .filter(|it| self.outage.rests(now, it.fingerprint));
        let keys: Vec<Key> = resting.map(|it| it.key).collect();
        for key in keys {
            if let Some(item) = self.take_waiting(key) {
                let refusal = Refusal::NoRunner { retry_after: REST };
                self.refuse_item(&item, refusal, effects);
            }
        }
    }

    /// Whether a request waits here.
    pub(super) fn is_waiting(&self, key: Key) -> bool {
        self.queue.get(key).is_some()
            || self.suspects.contains(key)
            || self.searches.get(key).is_some()
    }

    /// Removes a waiting request.
    pub(super) fn take_waiting(&mut self, key: Key) -> Option<Item> {
        // It is no copy yet.
        if let Some(item) = self.searches.remove(key) {
            return Some(item);
        }
        let item = match self.queue.remove(key) {
            Some(item) => item,
            None => self.suspects.remove(key)?,
        };
        self.end_copy(item.fingerprint);
        Some(item)
    }

    /// Queues a copy of a request, or parks it while enough others wait or run.
    pub(super) fn push_copy(&mut self, item: Item) {
        let exposed = self.marks.is_exposed(item.fingerprint);
        if let Some(item) = self.suspects.admit_copy(item, exposed) {
            self.queue.push(item);
        }
    }

    /// Parks waiting copies of a request, as fewer may run since it is exposed.
    pub(super) fn park_copies(&mut self, fingerprint: Fingerprint) {
        let copies = self.queue.items();
        let copies = copies.filter(|it| it.fingerprint == fingerprint);
        let keys: Vec<Key> = copies.map(|it| it.key).collect();
        let items: Vec<Item> = keys
            .into_iter()
            .filter_map(|it| self.queue.remove(it))
            .collect();
        self.suspects.remove_copies(fingerprint, items.len());
        for item in items {
            self.push_copy(item);
        }
    }

    /// Ends a copy that did not complete; parked ones may take its place.
    pub(super) fn end_copy(&mut self, fingerprint: Fingerprint) {
        let exposed = self.marks.is_exposed(fingerprint);
        for copy in self.suspects.end_copy(fingerprint, exposed) {
            self.queue.push(copy);
        }
    }

    pub(super) fn refuse_item(&mut self, item: &Item, refusal: Refusal, effects: &mut Vec<Effect>) {
        self.remove_from_digest(item.key);
        let tier = item.class.tier;
        effects.push(Effect::Note(Note::Refused {
            tier,
            refusal: refusal.clone(),
        }));
        self.send(item.key, Reply::Refused(item.key.ticket, refusal), effects);
    }

    pub(super) fn send(&self, key: Key, reply: Reply, effects: &mut Vec<Effect>) {
        effects.push(Effect::Send(self.instance_of(key.asker), reply));
    }
}

/// The stream with the id that its request explains, which older daemons leave out.
fn named(stream: &Stream, request: Fingerprint) -> Stream {
    let is_unnamed = stream.id == NO_STREAM && stream.origin != Origin::New;
    Stream {
        id: if is_unnamed {
            stream::unnamed(request)
        } else {
            stream.id
        },
        ..stream.clone()
    }
}
