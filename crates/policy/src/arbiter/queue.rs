//! The one queue: strict urgencies, fair between accounts, earliest target first.
//!
//! Of one urgency the account that was served least goes next; of one account,
//! the request whose target is nearest. While more waits than can be served in
//! time, requests whose target has passed come last, since serving them first
//! would make all of them late. An account at its running limit is skipped until it releases.

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
};

/// One request that waits.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub(super) key: Key,
    /// Its class, in the tier of its account if that has one.
    pub(super) class: Arc<Class>,
    pub(super) urgency: Urgency,
    pub(super) account: Arc<str>,
    pub(super) fingerprint: Fingerprint,
    pub(super) prefix: u64,
    /// When its class's target passes.
    pub(super) due: Instant,
    pub(super) deadline: Instant,
    /// When it began to wait, at whatever daemon.
    pub(super) since: Instant,
    /// When this arbiter took it in.
    pub(super) taken: Instant,
    pub(super) avoid: Vec<RunnerId>,
    pub(super) resume: bool,
    /// Parts of the prompt, in order.
    pub(super) prompt: Arc<[Part]>,
    /// Most tokens of the answer.
    pub(super) output: u32,
    /// What kept it from being granted when it was last looked at.
    pub(super) obstacle: Option<Obstacle>,
}

impl Item {
    /// Place of its urgency among all.
    pub(super) fn place_in_order(&self) -> usize {
        self.urgency.index()
    }

    /// What it asks of the runner that reads its prompt.
    pub(super) fn work(&self) -> Work<'_> {
        Work {
            prompt: &self.prompt,
            output: self.output,
            pause_sensitivity: prompt::pause_sensitivity(&self.class),
        }
    }

    fn place(&self) -> Place {
        (!self.resume, self.due, self.key)
    }
}

/// Order in a line: work to be resumed first, then by due time.
type Place = (bool, Instant, Key);

#[derive(Debug, Default)]
struct Line {
    /// Service that the account has had, in grants.
    served: u64,
    places: BTreeSet<Place>,
}

/// Requests of one urgency.
#[derive(Debug, Default)]
struct Rank {
    lines: IndexMap<Arc<str>, Line>,
    /// Accounts that may be granted, least served first.
    ready: BTreeSet<(u64, Arc<str>)>,
    /// By age, for shedding the newest.
    ages: BTreeSet<(Instant, Key)>,
    /// Service of the account granted last.
    level: u64,
    /// Whether more waits than can be served in time.
    overloaded: bool,
}

impl Rank {
    /// The next of a line, in the pass for timely or for late ones.
    fn first(&self, places: &BTreeSet<Place>, now: Instant, late: bool) -> Option<Key> {
        let (fresh, due, key) = places.first()?;
        let timely = !fresh || *due > now || !self.overloaded;
        if timely {
            return (!late).then_some(*key);
        }
        let next = places.range((true, now, Key::default())..).next();
        match (next, late) {
            (Some((.., next)), false) => Some(*next),
            (None, true) => Some(*key),
            _ => None,
        }
    }
}

/// Requests that wait.
#[derive(Debug)]
pub(super) struct Queue {
    items: IndexMap<Key, Item>,
    /// By urgency, the first to be served first.
    ranks: Vec<Rank>,
    classes: IndexMap<ClassId, BTreeSet<Place>>,
    deadlines: BTreeSet<(Instant, Key)>,
    queued: IndexMap<Arc<str>, u32>,
    blocked: IndexSet<Arc<str>>,
}

impl Default for Queue {
    fn default() -> Self {
        let ranks = (0..URGENCY_LEVELS).map(|_| Rank::default());
        Self {
            items: IndexMap::new(),
            ranks: ranks.collect(),
            classes: IndexMap::new(),
            deadlines: BTreeSet::new(),
            queued: IndexMap::new(),
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

    /// Notes what keeps an item from being granted.
    pub(super) fn set_obstacle(&mut self, key: Key, obstacle: Obstacle) {
        if let Some(item) = self.items.get_mut(&key) {
            item.obstacle = Some(obstacle);
        }
    }

    pub(super) fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Requests of the urgency at a place.
    pub(super) fn len_at(&self, place: usize) -> usize {
        self.ranks[place].ages.len()
    }

    /// Requests of each tier.
    pub(super) fn tier_lens(&self) -> Vec<usize> {
        let tiers = self
            .ranks
            .chunks(URGENCY_LEVELS / (usize::from(MAX_TIER) + 1));
        let len = |ranks: &[Rank]| ranks.iter().map(|it| it.ages.len()).sum();
        tiers.map(len).collect()
    }

    pub(super) fn class_len(&self, class: &ClassId) -> usize {
        self.classes.get(class).map_or(0, BTreeSet::len)
    }

    pub(super) fn account_len(&self, account: &str) -> u32 {
        self.queued.get(account).copied().unwrap_or(0)
    }

    /// Requests of the same urgency that go before a new one of `account`.
    pub(super) fn ahead_at(&self, place: usize, account: &str) -> usize {
        let rank = &self.ranks[place];
        let own = rank.lines.get(account).map_or(0, |line| line.places.len());
        let turns = (own + 1).saturating_mul(rank.lines.len().max(1));
        rank.ages.len().min(turns)
    }

    /// Names of classes with waiting requests.
    pub(super) fn waiting_classes(&self) -> impl Iterator<Item = &ClassId> {
        let waiting = self.classes.iter().filter(|(_, line)| !line.is_empty());
        waiting.map(|(class, _)| class)
    }

    /// Tells whether more waits of an urgency than can be served in time; then those
    /// whose target has passed come last.
    pub(super) fn set_overloaded(&mut self, place: usize, overloaded: bool) {
        self.ranks[place].overloaded = overloaded;
    }

    /// Whether the item is among the `count` oldest of its class.
    pub(super) fn in_front(&self, item: &Item, count: usize) -> bool {
        self.classes
            .get(&item.class.name)
            .is_some_and(|line| line.iter().take(count).any(|(.., key)| *key == item.key))
    }

    pub(super) fn push(&mut self, item: Item) {
        self.remove(item.key);
        let rank = &mut self.ranks[item.place_in_order()];
        let level = rank.level;
        let line = rank.lines.entry(Arc::clone(&item.account)).or_default();
        if line.places.is_empty() {
            line.served = line.served.max(level);
            if !self.blocked.contains(&item.account) {
                rank.ready.insert((line.served, Arc::clone(&item.account)));
            }
        }
        line.places.insert(item.place());
        rank.ages.insert((item.since, item.key));
        let class = self.classes.entry(item.class.name.clone()).or_default();
        class.insert(item.place());
        self.deadlines.insert((item.deadline, item.key));
        *self.queued.entry(Arc::clone(&item.account)).or_default() += 1;
        self.items.insert(item.key, item);
    }

    pub(super) fn remove(&mut self, key: Key) -> Option<Item> {
        let item = self.items.swap_remove(&key)?;
        let rank = &mut self.ranks[item.place_in_order()];
        if let Some(line) = rank.lines.get_mut(&item.account) {
            line.places.remove(&item.place());
            if line.places.is_empty() {
                rank.ready.remove(&(line.served, Arc::clone(&item.account)));
                rank.lines.swap_remove(&item.account);
            }
        }
        rank.ages.remove(&(item.since, key));
        if let Some(class) = self.classes.get_mut(&item.class.name) {
            class.remove(&item.place());
            if class.is_empty() {
                self.classes.swap_remove(&item.class.name);
            }
        }
        self.deadlines.remove(&(item.deadline, key));
        if let Some(count) = self.queued.get_mut(&item.account) {
            *count -= 1;
            if *count == 0 {
                self.queued.swap_remove(&item.account);
            }
        }
        Some(item)
    }

    /// Takes an item out for a grant and charges its account.
    pub(super) fn grant(&mut self, key: Key) -> Option<Item> {
        let item = self.items.get(&key)?;
        let (place, account) = (item.place_in_order(), Arc::clone(&item.account));
        let rank = &mut self.ranks[place];
        if let Some(line) = rank.lines.get_mut(&account) {
            let was_ready = rank.ready.remove(&(line.served, Arc::clone(&account)));
            rank.level = rank.level.max(line.served);
            line.served += 1;
            if was_ready {
                rank.ready.insert((line.served, account));
            }
        }
        self.remove(key)
    }

    /// Skips an account, or takes it up again.
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
        for rank in &mut self.ranks {
            let Some(line) = rank.lines.get(account) else {
                continue;
            };
            let entry = (line.served, Arc::clone(account));
            if blocked {
                rank.ready.remove(&entry);
            } else {
                rank.ready.insert(entry);
            }
        }
    }

    pub(super) fn is_blocked(&self, account: &str) -> bool {
        self.blocked.contains(account)
    }

    /// The next ones to be granted, at most `most`, of urgencies before `end`.
    pub(super) fn next(&self, now: Instant, end: usize, most: usize) -> Vec<Key> {
        let mut found = Vec::new();
        let ranks = self.ranks[..end.min(URGENCY_LEVELS)].iter();
        for rank in ranks.filter(|it| !it.ready.is_empty()) {
            for late in [false, true] {
                for (_, account) in &rank.ready {
                    if found.len() >= most {
                        return found;
                    }
                    let line = rank.lines.get(account);
                    found.extend(line.and_then(|line| rank.first(&line.places, now, late)));
                }
            }
        }
        found
    }

    /// The next one of a class, for its floor.
    pub(super) fn next_of_class(&self, class: &ClassId, now: Instant) -> Option<Key> {
        let line = self.classes.get(class)?;
        let timely = line.range((true, now, Key::default())..);
        let resumed = line.iter().take_while(|(fresh, ..)| !fresh);
        let mut places = resumed.chain(timely).chain(line.iter());
        places
            .find(|(.., key)| {
                self.items
                    .get(key)
                    .is_some_and(|item| !self.blocked.contains(&item.account))
            })
            .map(|(.., key)| *key)
    }

    /// The newest of the lowest urgency whose class has more than `reserve` waiting.
    pub(super) fn last(&self, reserve: usize) -> Option<Key> {
        let newest = self.ranks.iter().rev().flat_map(|it| it.ages.iter().rev());
        let mut keys = newest.map(|(_, key)| *key);
        keys.find(|key| {
            let item = self.items.get(key);
            item.is_some_and(|item| self.class_len(&item.class.name) > reserve)
        })
    }

    /// Requests beyond the `reserve` oldest of each class.
    pub(super) fn len_beyond(&self, reserve: usize) -> usize {
        let classes = self.classes.values();
        classes.map(|line| line.len().saturating_sub(reserve)).sum()
    }

    /// Those whose deadline has passed.
    pub(super) fn expired(&self, now: Instant) -> Vec<Key> {
        let expired = self.deadlines.iter().take_while(|(at, _)| *at <= now);
        expired.map(|(_, key)| *key).collect()
    }

    /// Those of one urgency whose target has passed.
    pub(super) fn overdue(&self, place: usize, now: Instant) -> Vec<Key> {
        let lines = self.ranks[place].lines.values();
        lines
            .flat_map(|line| line.places.iter().take_while(|(_, due, _)| *due <= now))
            .map(|(.., key)| *key)
            .collect()
    }
}
