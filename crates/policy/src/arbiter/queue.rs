//! Queue with strict urgencies, fair shares for accounts, and earliest target first.
//!
//! Within an urgency, the account that was served least goes next; within an
//! account, the request whose target is nearest. When more requests wait than can
//! be served in time, those whose target has passed go last, since serving them
//! first would make all of them late. An account at its running limit is skipped
//! until it releases a slot.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use indexmap::{IndexMap, IndexSet};

use super::{
    Key,
    message::Part,
    pool::Obstacle,
    prompt::{self, Work},
};
use crate::{
    catalogue::{Class, MAX_TIER, URGENCY_LEVELS, Urgency},
    id::{ClassId, Fingerprint, RunnerId},
    stream::{Origin, Stream},
};

/// Share of the wait that its target allows for which a request waits for a slot on the
/// runner that suits it best; then any free one has to do.
const SLOT_WAIT_SHARE: f64 = 0.75;

/// A waiting request.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub(super) key: Key,
    /// Its class, with the tier of its account if that has one.
    pub(super) class: Arc<Class>,
    pub(super) urgency: Urgency,
    pub(super) account: Arc<str>,
    pub(super) fingerprint: Fingerprint,
    pub(super) prefix: u64,
    /// End of the wait that its class's target allows.
    pub(super) due: Instant,
    pub(super) deadline: Instant,
    /// When it began to wait, at any daemon.
    pub(super) waiting_since: Instant,
    /// When it arrived at this arbiter.
    pub(super) arrived: Instant,
    pub(super) avoid: Vec<RunnerId>,
    pub(super) resume: bool,
    /// Parts of the prompt, in order.
    pub(super) prompt: Arc<[Part]>,
    /// Most tokens of the answer.
    pub(super) output: u32,
    /// The stream that it begins or goes on with.
    pub(super) stream: Option<Stream>,
    /// Build that the stream must go on at.
    pub(super) build: Option<Arc<str>>,
    /// Why it could not be granted when it was last tried.
    pub(super) obstacle: Option<Obstacle>,
    /// Whether a runner's limit has held it back.
    pub(super) held_back: bool,
}

impl Item {
    /// Index of its urgency, zero for the most urgent.
    pub(super) fn urgency_index(&self) -> usize {
        self.urgency.index()
    }

    /// Whether it goes on with a stream.
    pub(super) fn is_begun(&self) -> bool {
        let stream = self.stream.as_ref();
        stream.is_some_and(|it| it.origin != Origin::New)
    }

    /// Whether runners of a build can serve it.
    pub(super) fn may_run_at(&self, build: &str) -> bool {
        self.build.as_deref().is_none_or(|it| it == build)
    }

    /// The work of reading its prompt, for the choice of a runner; `pause_weight` is the
    /// factor on the pause sensitivity of its class.
    pub(super) fn work(&self, pause_weight: f64) -> Work<'_> {
        Work {
            prompt: &self.prompt,
            output: self.output,
            pause_sensitivity: pause_weight * prompt::pause_sensitivity(&self.class),
        }
    }

    /// Whether it has time to wait for a slot on the runner that suits it best.
    pub(super) fn may_wait_for_slot(&self, now: Instant) -> bool {
        let allowed = self.due.saturating_duration_since(self.waiting_since);
        now.saturating_duration_since(self.waiting_since) < allowed.mul_f64(SLOT_WAIT_SHARE)
    }

    fn sort_key(&self) -> SortKey {
        (!self.resume, self.due, self.key)
    }
}

/// Order within an account or class: resumed work first, then by due time.
///
/// The first field is false for resumed work.
type SortKey = (bool, Instant, Key);

/// Waiting requests of one account and urgency.
#[derive(Debug, Default)]
struct AccountQueue {
    /// Grants to the account, counted from the virtual time at which it joined.
    served: u64,
    requests: BTreeSet<SortKey>,
}

/// Waiting requests of one urgency.
#[derive(Debug, Default)]
struct UrgencyQueue {
    accounts: IndexMap<Arc<str>, AccountQueue>,
    /// Accounts that may be granted a slot, least served first.
    ready: BTreeSet<(u64, Arc<str>)>,
    /// Requests by age, for shedding the newest.
    by_age: BTreeSet<(Instant, Key)>,
    /// Highest `served` at a grant so far; an account that joins starts from here.
    virtual_time: u64,
    /// Whether more requests wait than can be served in time.
    overloaded: bool,
}

impl UrgencyQueue {
    /// The next request of an account, in the pass for timely or for late ones.
    fn next_request(&self, requests: &BTreeSet<SortKey>, now: Instant, late: bool) -> Option<Key> {
        let (fresh, due, key) = requests.first()?;
        let timely = !fresh || *due > now || !self.overloaded;
        if timely {
            return (!late).then_some(*key);
        }
        let next = requests.range((true, now, Key::default())..).next();
        match (next, late) {
            (Some((.., next)), false) => Some(*next),
            (None, true) => Some(*key),
            _ => None,
        }
    }
}

/// All waiting requests outside the suspects.
#[derive(Debug)]
pub(super) struct Queue {
    items: IndexMap<Key, Item>,
    /// By urgency, the most urgent first.
    urgencies: Vec<UrgencyQueue>,
    classes: IndexMap<ClassId, BTreeSet<SortKey>>,
    deadlines: BTreeSet<(Instant, Key)>,
    account_lens: IndexMap<Arc<str>, u32>,
    blocked: IndexSet<Arc<str>>,
}

impl Default for Queue {
    fn default() -> Self {
        let urgencies = (0..URGENCY_LEVELS).map(|_| UrgencyQueue::default());
        Self {
            items: IndexMap::new(),
            urgencies: urgencies.collect(),
            classes: IndexMap::new(),
            deadlines: BTreeSet::new(),
            account_lens: IndexMap::new(),
            blocked: IndexSet::new(),
        }
    }
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    pub(super) fn get(&self, key: Key) -> Option<&Item> {
        self.items.get(&key)
    }

    /// Records why an item could not be granted, and whether runners' limits hold
    /// requests back; true if that is new for the item.
    pub(super) fn set_obstacle(&mut self, key: Key, obstacle: Obstacle, held_back: bool) -> bool {
        let Some(item) = self.items.get_mut(&key) else {
            return false;
        };
        item.obstacle = Some(obstacle);
        held_back && !std::mem::replace(&mut item.held_back, true)
    }

    pub(super) fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Number of requests of an urgency.
    pub(super) fn len_of(&self, urgency: usize) -> usize {
        self.urgencies[urgency].by_age.len()
    }

    /// Number of requests of each tier.
    pub(super) fn tier_lens(&self) -> Vec<usize> {
        let tiers = self
            .urgencies
            .chunks(URGENCY_LEVELS / (usize::from(MAX_TIER) + 1));
        let len = |urgencies: &[UrgencyQueue]| urgencies.iter().map(|it| it.by_age.len()).sum();
        tiers.map(len).collect()
    }

    pub(super) fn class_len(&self, class: &ClassId) -> usize {
        self.classes.get(class).map_or(0, BTreeSet::len)
    }

    pub(super) fn account_len(&self, account: &str) -> u32 {
        self.account_lens.get(account).copied().unwrap_or(0)
    }

    /// Number of requests of an urgency that go before a new one of `account`.
    pub(super) fn ahead_of(&self, urgency: usize, account: &str) -> usize {
        let queue = &self.urgencies[urgency];
        let own = queue
            .accounts
            .get(account)
            .map_or(0, |it| it.requests.len());
        let turns = (own + 1).saturating_mul(queue.accounts.len().max(1));
        queue.by_age.len().min(turns)
    }

    /// Names of classes with waiting requests.
    pub(super) fn waiting_classes(&self) -> impl Iterator<Item = &ClassId> {
        let waiting = self
            .classes
            .iter()
            .filter(|(_, requests)| !requests.is_empty());
        waiting.map(|(class, _)| class)
    }

    /// Sets whether more requests of an urgency wait than can be served in time; if so,
    /// those whose target has passed go last.
    pub(super) fn set_overloaded(&mut self, urgency: usize, overloaded: bool) {
        self.urgencies[urgency].overloaded = overloaded;
    }

    /// Whether the item is among the first `count` of its class.
    pub(super) fn is_among_oldest(&self, item: &Item, count: usize) -> bool {
        self.classes
            .get(&item.class.name)
            .is_some_and(|it| it.iter().take(count).any(|(.., key)| *key == item.key))
    }

    pub(super) fn push(&mut self, item: Item) {
        self.remove(item.key);
        let queue = &mut self.urgencies[item.urgency_index()];
        let virtual_time = queue.virtual_time;
        let account_queue = queue.accounts.entry(Arc::clone(&item.account)).or_default();
        if account_queue.requests.is_empty() {
            account_queue.served = account_queue.served.max(virtual_time);
            if !self.blocked.contains(&item.account) {
                queue
                    .ready
                    .insert((account_queue.served, Arc::clone(&item.account)));
            }
        }
        account_queue.requests.insert(item.sort_key());
        queue.by_age.insert((item.waiting_since, item.key));
        let class = self.classes.entry(item.class.name.clone()).or_default();
        class.insert(item.sort_key());
        self.deadlines.insert((item.deadline, item.key));
        *self
            .account_lens
            .entry(Arc::clone(&item.account))
            .or_default() += 1;
        self.items.insert(item.key, item);
    }

    pub(super) fn remove(&mut self, key: Key) -> Option<Item> {
        let item = self.items.swap_remove(&key)?;
        let queue = &mut self.urgencies[item.urgency_index()];
        if let Some(account_queue) = queue.accounts.get_mut(&item.account) {
            account_queue.requests.remove(&item.sort_key());
            if account_queue.requests.is_empty() {
                queue
                    .ready
                    .remove(&(account_queue.served, Arc::clone(&item.account)));
                queue.accounts.swap_remove(&item.account);
            }
        }
        queue.by_age.remove(&(item.waiting_since, key));
        if let Some(class) = self.classes.get_mut(&item.class.name) {
            class.remove(&item.sort_key());
            if class.is_empty() {
                self.classes.swap_remove(&item.class.name);
            }
        }
        self.deadlines.remove(&(item.deadline, key));
        if let Some(count) = self.account_lens.get_mut(&item.account) {
            *count -= 1;
            if *count == 0 {
                self.account_lens.swap_remove(&item.account);
            }
        }
        Some(item)
    }

    /// Removes an item to grant it, and charges its account.
    pub(super) fn grant(&mut self, key: Key) -> Option<Item> {
        let item = self.items.get(&key)?;
        let (urgency, account) = (item.urgency_index(), Arc::clone(&item.account));
        let queue = &mut self.urgencies[urgency];
        if let Some(account_queue) = queue.accounts.get_mut(&account) {
            let was_ready = queue
                .ready
                .remove(&(account_queue.served, Arc::clone(&account)));
            queue.virtual_time = queue.virtual_time.max(account_queue.served);
            account_queue.served += 1;
            if was_ready {
                queue.ready.insert((account_queue.served, account));
            }
        }
        self.remove(key)
    }

    /// Sets whether an account is skipped.
    pub(super) fn set_blocked(&mut self, account: &Arc<str>, blocked: bool) {
        let was = self.blocked.contains(account);
        if was == blocked {
            return;
        }
        if blocked {
            self.blocked.insert(Arc::clone(account));
        } else {
            self.blocked.swap_remove(account);
        }
        for queue in &mut self.urgencies {
            let Some(account_queue) = queue.accounts.get(account) else {
                continue;
            };
            let entry = (account_queue.served, Arc::clone(account));
            if blocked {
                queue.ready.remove(&entry);
            } else {
                queue.ready.insert(entry);
            }
        }
    }

    pub(super) fn is_blocked(&self, account: &str) -> bool {
        self.blocked.contains(account)
    }

    /// The next requests to grant, at most `most`, of urgencies before `end`.
    pub(super) fn next(&self, now: Instant, end: usize, most: usize) -> Vec<Key> {
        let mut found = Vec::new();
        let urgencies = self.urgencies[..end.min(URGENCY_LEVELS)].iter();
        for queue in urgencies.filter(|it| !it.ready.is_empty()) {
            for late in [false, true] {
                for (_, account) in &queue.ready {
                    if found.len() >= most {
                        return found;
                    }
                    let account_queue = queue.accounts.get(account);
                    found.extend(
                        account_queue.and_then(|it| queue.next_request(&it.requests, now, late)),
                    );
                }
            }
        }
        found
    }

    /// The next request of a class, for a floor grant.
    pub(super) fn next_of_class(&self, class: &ClassId, now: Instant) -> Option<Key> {
        let requests = self.classes.get(class)?;
        let timely = requests.range((true, now, Key::default())..);
        let resumed = requests.iter().take_while(|(fresh, ..)| !fresh);
        let mut candidates = resumed.chain(timely).chain(requests.iter());
        candidates
            .find(|(.., key)| {
                self.items
                    .get(key)
                    .is_some_and(|item| !self.blocked.contains(&item.account))
            })
            .map(|(.., key)| *key)
    }

    /// The newest request of the lowest urgency that fits and whose class has more than
    /// `reserve` requests.
    pub(super) fn newest_of_lowest<F>(&self, reserve: usize, fits: F) -> Option<Key>
    where
        F: Fn(&Item) -> bool,
    {
        let newest = self
            .urgencies
            .iter()
            .rev()
            .flat_map(|it| it.by_age.iter().rev());
        let mut keys = newest.map(|(_, key)| *key);
        keys.find(|key| {
            let item = self.items.get(key);
            item.is_some_and(|item| self.class_len(&item.class.name) > reserve && fits(item))
        })
    }

    /// Number of requests, without the `reserve` oldest of each class.
    pub(super) fn len_beyond_reserve(&self, reserve: usize) -> usize {
        let classes = self.classes.values();
        classes
            .map(|requests| requests.len().saturating_sub(reserve))
            .sum()
    }

    /// Requests whose deadline has passed.
    pub(super) fn expired(&self, now: Instant) -> Vec<Key> {
        let expired = self.deadlines.iter().take_while(|(at, _)| *at <= now);
        expired.map(|(_, key)| *key).collect()
    }

    /// Requests of an urgency whose target has passed.
    pub(super) fn overdue(&self, urgency: usize, now: Instant) -> Vec<Key> {
        let accounts = self.urgencies[urgency].accounts.values();
        accounts
            .flat_map(|it| it.requests.iter().take_while(|(_, due, _)| *due <= now))
            .map(|(.., key)| *key)
            .collect()
    }
}
