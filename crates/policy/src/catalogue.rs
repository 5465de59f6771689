//! Configuration that operators apply: accounts, classes, services and routes.
//!
//! A catalogue is immutable; applying a change returns the next revision or a
//! typed fault that names the entry and the remedy. Entries are reference
//! counted, so changing one of many thousands is cheap.

pub(crate) mod millis;
mod urgency;

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

pub use urgency::{URGENCY_LEVELS, Urgency};

use crate::{
    id::{AccountId, ChangeId, ClassId, DomainId, OperatorId, Revision, RouteId, ServiceId},
    route,
};

/// Lowest tier that a class may have; tier 0 is the highest.
pub const MAX_TIER: u8 = 7;

/// Maximum length of an entry or owner name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum number of entries in one change.
pub const MAX_CHANGE_ENTRIES: usize = 16_384;

/// Hex digits of a SHA-256 digest.
const KEY_DIGEST_DIGITS: usize = 64;

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: AccountId,
    /// Team or person responsible for the account.
    pub owner: String,
    /// SHA-256 of the account's API key, in lower-case hex.
    pub key_sha256: String,
    /// SHA-256 of each additional API key of the account.
    #[serde(default)]
    pub further_keys_sha256: Vec<String>,
    /// Tier of the account's requests; overrides the tier of their class.
    #[serde(default)]
    pub tier: Option<u8>,
    /// Class of requests that name none, if the account may not use the service's default class.
    pub class: ClassId,
    /// Additional classes that the account may request.
    #[serde(default)]
    pub classes: Vec<ClassId>,
    /// Maximum number of running requests, over all daemons.
    pub max_running: u32,
    /// Maximum number of queued requests, over all daemons.
    pub max_queued: u32,
}

impl Account {
    /// SHA-256 digests of all API keys of the account.
    pub fn digests(&self) -> impl Iterator<Item = &String> {
        [&self.key_sha256]
            .into_iter()
            .chain(&self.further_keys_sha256)
    }
}

/// A request class with its latency targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name.
    pub name: ClassId,
    /// Team or person responsible for the class.
    pub owner: String,
    /// Tier; tier 0 is served first.
    pub tier: u8,
    /// Target time to the first token.
    #[serde(rename = "first_token_ms", with = "millis")]
    pub first_token: Duration,
    /// Target time between tokens.
    #[serde(rename = "between_tokens_ms", with = "millis")]
    pub between_tokens: Duration,
    /// Target time to the complete response.
    #[serde(rename = "whole_ms", with = "millis")]
    pub whole: Duration,
    /// Longest wait before the class gets a guaranteed share of slots.
    #[serde(rename = "wait_bound_ms", with = "millis")]
    pub wait_bound: Duration,
    /// Maximum number of queued requests of the class for one service.
    pub queue_limit: u32,
    /// Whether running requests may be preempted by a higher tier.
    #[serde(default)]
    pub preemptible: bool,
}

/// Kind of backend behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Backend {
    /// Model runners that stream tokens and can resume a stream.
    Model,
    /// Plain HTTP service.
    Plain,
}

/// Calls that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Upper-case HTTP method.
    pub method: String,
    /// Path prefix relative to the service, with a leading slash.
    pub path: String,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name; for a model, the name that callers request.
    pub name: ServiceId,
    /// Team or person responsible for the service.
    pub owner: String,
    /// Kind of backend.
    pub backend: Backend,
    /// Default class of requests that name none, if the account may use it.
    pub class: ClassId,
    /// Calls that must run at most once.
    #[serde(default)]
    pub once: Vec<Call>,
    /// Maximum number of concurrent requests on one runner. Zero, which an adapter's
    /// declaration may hold, takes the service out of use.
    pub max_running_per_runner: u32,
    /// Retry budget, in percent of requests.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Upstream status codes which guarantee that the request was not executed.
    #[serde(default)]
    pub refusal_statuses: Vec<u16>,
    /// Timeout of one request, including time in the queue.
    #[serde(rename = "timeout_ms", with = "millis")]
    pub timeout: Duration,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Memory of one model runner for prompts and outputs, in tokens; zero if unknown.
    #[serde(default)]
    pub memory_tokens: u32,
    /// Runners that may be ordered; none if their number is not the router's to decide.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scaling: Option<Scaling>,
}

/// How many runners of a service may be ordered, and what they cost.
///
/// Prices are in thousandths of the price of a runner that is not reclaimable, in a
/// failure domain without a price of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scaling {
    /// Fewest runners in each failure domain, of both kinds together.
    pub min: u32,
    /// Most runners in each failure domain, of both kinds together.
    pub max: u32,
    /// Time from an order until the new runner serves.
    #[serde(rename = "boot_ms", with = "millis")]
    pub boot: Duration,
    /// Price of a reclaimable runner relative to another one; none if there are none.
    #[serde(default)]
    pub reclaimable_price: Option<u32>,
    /// Price in each failure domain.
    #[serde(default)]
    pub prices: IndexMap<DomainId, u32>,
}

impl Service {
    /// Whether calls of `method` to `path` must run at most once.
    #[must_use]
    pub fn runs_once(&self, method: &str, path: &str) -> bool {
        self.once.iter().any(|call| {
            call.method == method
                && path
                    .strip_prefix(call.path.as_str())
                    .is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
        })
    }
}

fn default_retry_percent() -> u32 {
    10
}

fn default_max_body_bytes() -> u64 {
    1 << 20
}

/// Kind of a catalogue entry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Client account.
    #[display("account")]
    Account,
    /// Request class.
    #[display("class")]
    Class,
    /// Service.
    #[display("service")]
    Service,
    /// Route.
    #[display("route")]
    Route,
}

/// Unique key of one entry.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{kind}/{name}")]
pub struct Key {
    /// Kind of the entry.
    pub kind: Kind,
    /// Name of the entry, unique within its kind.
    pub name: String,
}

/// One catalogue entry of any kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Entry {
    /// Client account.
    Account(Arc<Account>),
    /// Request class.
    Class(Arc<Class>),
    /// Service.
    Service(Arc<Service>),
    /// Route.
    Route(Arc<route::Route>),
}

impl Entry {
    /// Kind and name.
    #[must_use]
    pub fn key(&self) -> Key {
        let (kind, name) = match self {
            Self::Account(account) => (Kind::Account, &account.name),
            Self::Class(class) => (Kind::Class, &class.name),
            Self::Service(service) => (Kind::Service, &service.name),
            Self::Route(route) => (Kind::Route, &route.name),
        };
        Key {
            kind,
            name: name.clone(),
        }
    }

    /// Team or person responsible for the entry.
    #[must_use]
    pub fn owner(&self) -> &str {
        match self {
            Self::Account(account) => &account.owner,
            Self::Class(class) => &class.owner,
            Self::Service(service) => &service.owner,
            Self::Route(route) => &route.owner,
        }
    }
}

/// A change requested by an operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifier, reused when the change is resent.
    pub id: ChangeId,
    /// Revision that the change is based on.
    pub base: Revision,
    /// Operator who requests the change.
    pub operator: OperatorId,
    /// Entries to create or replace.
    #[serde(default)]
    pub puts: Vec<Entry>,
    /// Entries to remove.
    #[serde(default)]
    pub removes: Vec<Key>,
}

/// Why a change was rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// A name or owner is empty, too long or has characters that are not allowed.
    #[display("{key}: {field} must be 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'")]
    Name {
        /// Entry at fault.
        key: Key,
        /// Field at fault.
        field: String,
    },
    /// A referenced entry does not exist.
    #[display(
        "{key} refers to {missing}, which does not exist: declare it or change the reference"
    )]
    Missing {
        /// Entry at fault.
        key: Key,
        /// Entry that does not exist.
        missing: Key,
    },
    /// A value is outside its range.
    #[display("{key}: {field} must be {range}")]
    Range {
        /// Entry at fault.
        key: Key,
        /// Field at fault.
        field: String,
        /// Allowed values.
        range: String,
    },
    /// Two routes have the same host and prefix.
    #[display("{key} has the host and prefix of {other}: change one of them")]
    SamePlace {
        /// Entry at fault.
        key: Key,
        /// Existing route with this host and prefix.
        other: Key,
    },
    /// Two accounts share one API key.
    #[display("{key} has the API key of {other}: give each account a key of its own")]
    SameKey {
        /// Entry at fault.
        key: Key,
        /// Existing account with this API key.
        other: Key,
    },
    /// A removed entry does not exist.
    #[display("{key} cannot be removed since it does not exist: leave it out of the change")]
    Unknown {
        /// Entry at fault.
        key: Key,
    },
    /// The change touches too many entries.
    #[display(
        "the change touches {entries} entries; split it into parts of at most {MAX_CHANGE_ENTRIES}"
    )]
    TooLarge {
        /// Number of entries touched.
        entries: usize,
    },
}

/// All entries at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Revision of this catalogue.
    pub revision: Revision,
    /// Client accounts by name.
    pub accounts: IndexMap<AccountId, Arc<Account>>,
    /// Request classes by name.
    pub classes: IndexMap<ClassId, Arc<Class>>,
    /// Services by name.
    pub services: IndexMap<ServiceId, Arc<Service>>,
    /// Routes by name.
    #[serde(default)]
    pub routes: IndexMap<RouteId, Arc<route::Route>>,
    /// Whether routes admit requests without a key, since the declaration knows no accounts.
    #[serde(default)]
    pub keyless: bool,
    /// Account name by SHA-256 digest of each API key.
    #[serde(skip)]
    accounts_by_key: IndexMap<String, AccountId>,
    /// Routes by host, longest prefix first.
    #[serde(skip)]
    routes_by_host: IndexMap<String, Vec<Arc<route::Route>>>,
    /// Tiers in use.
    #[serde(skip)]
    tiers: Tiers,
}

/// Number of accounts and of classes at each tier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tiers {
    accounts: [u32; MAX_TIER as usize + 1],
    classes: [u32; MAX_TIER as usize + 1],
}

impl Tiers {
    fn update_account(&mut self, old: Option<&Account>, new: Option<&Account>) {
        let tier = |it: Option<&Account>| it.and_then(|it| it.tier);
        move_count(&mut self.accounts, tier(old), tier(new));
    }

    fn update_class(&mut self, old: Option<&Class>, new: Option<&Class>) {
        move_count(
            &mut self.classes,
            old.map(|it| it.tier),
            new.map(|it| it.tier),
        );
    }
}

/// Updates the count of each tier for an item whose tier changed from `old` to `new`.
fn move_count(counts: &mut [u32], old: Option<u8>, new: Option<u8>) {
    let index = |tier: u8| usize::from(tier.min(MAX_TIER));
    if let Some(old) = old {
        counts[index(old)] -= 1;
    }
    if let Some(new) = new {
        counts[index(new)] += 1;
    }
}

impl Catalogue {
    /// The account that an API key digest belongs to.
    #[must_use]
    pub fn account_by_digest(&self, key_sha256: &str) -> Option<&Arc<Account>> {
        self.accounts.get(self.accounts_by_key.get(key_sha256)?)
    }

    /// Urgency of a request with the given tier and class.
    #[must_use]
    pub fn urgency(&self, tier: u8, class: &ClassId) -> Urgency {
        let class = self.classes.get(class);
        Urgency::new(tier, class.map_or(tier, |it| it.tier))
    }

    /// Number of higher urgency levels that this catalogue has in use.
    #[must_use]
    pub fn rank(&self, urgency: Urgency) -> u8 {
        urgency.rank(&self.tiers)
    }

    /// The route of a request, by longest prefix match on its path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<route::Route>> {
        let routes = self.routes_by_host.get(host)?;
        routes.iter().find(|route| route.covers(path))
    }

    /// One entry by kind and name.
    #[must_use]
    pub fn entry(&self, key: &Key) -> Option<Entry> {
        match key.kind {
            Kind::Account => self
                .accounts
                .get(&key.name)
                .map(|it| Entry::Account(Arc::clone(it))),
            Kind::Class => self
                .classes
                .get(&key.name)
                .map(|it| Entry::Class(Arc::clone(it))),
            Kind::Service => self
                .services
                .get(&key.name)
                .map(|it| Entry::Service(Arc::clone(it))),
            Kind::Route => self
                .routes
                .get(&key.name)
                .map(|it| Entry::Route(Arc::clone(it))),
        }
    }

    /// All entries, ordered by kind: classes, services, routes, accounts.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        let classes = self.classes.values().map(|it| Entry::Class(Arc::clone(it)));
        let services = self
            .services
            .values()
            .map(|it| Entry::Service(Arc::clone(it)));
        let accounts = self
            .accounts
            .values()
            .map(|it| Entry::Account(Arc::clone(it)));
        let routes = self.routes.values().map(|it| Entry::Route(Arc::clone(it)));
        classes.chain(services).chain(routes).chain(accounts)
    }

    /// Rebuilds a catalogue from the entries of a snapshot.
    #[must_use]
    pub fn from_entries<I>(revision: Revision, entries: I) -> Self
    where
        I: IntoIterator<Item = Entry>,
    {
        let mut catalogue = Self {
            revision,
            ..Self::default()
        };
        for entry in entries {
            catalogue.put(entry);
        }
        catalogue
    }

    /// The catalogue after `change`, one revision later.
    ///
    /// The base revision is not checked here; the control log checks it.
    ///
    /// # Errors
    /// The first [`Fault`] found; the catalogue itself is unchanged.
    pub fn apply(&self, change: &Change) -> Result<Self, Fault> {
        let entries = change.puts.len() + change.removes.len();
        if entries > MAX_CHANGE_ENTRIES {
            return Err(Fault::TooLarge { entries });
        }
        let mut next = self.clone();
        next.revision += 1;
        for key in &change.removes {
            next.remove(key)?;
        }
        for entry in &change.puts {
            next.check_conflicts(entry)?;
            next.put(entry.clone());
        }
        next.check_change(change)?;
        Ok(next)
    }

    fn put(&mut self, entry: Entry) {
        match entry {
            Entry::Account(account) => {
                if let Some(old) = self.accounts.get(&account.name).cloned() {
                    self.remove_keys(&old);
                }
                for digest in account.digests().filter(|it| !it.is_empty()) {
                    self.accounts_by_key
                        .insert(digest.clone(), account.name.clone());
                }
                let old = self
                    .accounts
                    .insert(account.name.clone(), Arc::clone(&account));
                self.tiers.update_account(old.as_deref(), Some(&account));
            }
            Entry::Class(class) => {
                let old = self.classes.insert(class.name.clone(), Arc::clone(&class));
                self.tiers.update_class(old.as_deref(), Some(&class));
            }
            Entry::Service(service) => {
                self.services.insert(service.name.clone(), service);
            }
            Entry::Route(route) => {
                if let Some(old) = self.routes.insert(route.name.clone(), Arc::clone(&route)) {
                    self.remove_from_host(&old);
                }
                let routes = self.routes_by_host.entry(route.host.clone()).or_default();
                let index = routes.partition_point(|it| it.prefix.len() >= route.prefix.len());
                routes.insert(index, route);
            }
        }
    }

    fn remove_keys(&mut self, account: &Account) {
        for digest in account.digests() {
            self.accounts_by_key.swap_remove(digest);
        }
    }

    fn remove_from_host(&mut self, route: &route::Route) {
        if let Some(routes) = self.routes_by_host.get_mut(&route.host) {
            routes.retain(|it| it.name != route.name);
        }
    }

    fn remove(&mut self, key: &Key) -> Result<(), Fault> {
        let found = match key.kind {
            Kind::Account => match self.accounts.shift_remove(&key.name) {
                Some(old) => {
                    self.remove_keys(&old);
                    self.tiers.update_account(Some(&old), None);
                    true
                }
                None => false,
            },
            Kind::Route => match self.routes.shift_remove(&key.name) {
                Some(old) => {
                    self.remove_from_host(&old);
                    true
                }
                None => false,
            },
            Kind::Class => match self.classes.shift_remove(&key.name) {
                Some(old) => {
                    self.tiers.update_class(Some(&old), None);
                    true
                }
                None => false,
            },
            Kind::Service => self.services.shift_remove(&key.name).is_some(),
        };
        if found {
            Ok(())
        } else {
            Err(Fault::Unknown { key: key.clone() })
        }
    }

    fn check_conflicts(&self, entry: &Entry) -> Result<(), Fault> {
        match entry {
            Entry::Account(account) => {
                let mut owners = account
                    .digests()
                    .filter_map(|it| self.accounts_by_key.get(it));
                owners.find(|it| **it != account.name).map_or(Ok(()), |it| {
                    Err(Fault::SameKey {
                        key: entry.key(),
                        other: Key {
                            kind: Kind::Account,
                            name: it.clone(),
                        },
                    })
                })
            }
            Entry::Route(route) => {
                let routes = self.routes_by_host.get(&route.host).into_iter().flatten();
                let mut same = routes.filter(|it| it.prefix == route.prefix);
                same.find(|it| it.name != route.name).map_or(Ok(()), |it| {
                    Err(Fault::SamePlace {
                        key: entry.key(),
                        other: Key {
                            kind: Kind::Route,
                            name: it.name.clone(),
                        },
                    })
                })
            }
            Entry::Class(_) | Entry::Service(_) => Ok(()),
        }
    }

    /// Validates the entries of a change and the references to classes and
    /// services that it removed.
    fn check_change(&self, change: &Change) -> Result<(), Fault> {
        for entry in &change.puts {
            self.check_entry(entry)?;
        }
        let is_referable = |key: &Key| matches!(key.kind, Kind::Class | Kind::Service);
        if change.removes.iter().any(is_referable) {
            for entry in self.entries() {
                self.check_references(&entry)?;
            }
        }
        Ok(())
    }

    fn check_entry(&self, entry: &Entry) -> Result<(), Fault> {
        let key = entry.key();
        check_name(&key, "name", &key.name)?;
        check_name(&key, "owner", entry.owner())?;
        self.check_references(entry)?;
        match entry {
            Entry::Account(account) => check_account(&key, account),
            Entry::Class(class) => check_class(&key, class),
            Entry::Service(service) => check_service(&key, service),
            Entry::Route(route) => check_route(&key, route),
        }
    }

    fn check_backends(&self, key: &Key, route: &route::Route) -> Result<(), Fault> {
        let mut services = route.backends.iter().map(|it| &it.service);
        match services.find(|service| !self.services.contains_key(*service)) {
            None => Ok(()),
            Some(service) => Err(Fault::Missing {
                key: key.clone(),
                missing: Key {
                    kind: Kind::Service,
                    name: service.clone(),
                },
            }),
        }
    }

    fn check_references(&self, entry: &Entry) -> Result<(), Fault> {
        let key = entry.key();
        let classes: Vec<&ClassId> = match entry {
            Entry::Account(account) => account.classes.iter().chain([&account.class]).collect(),
            Entry::Class(_) => Vec::new(),
            Entry::Service(service) => vec![&service.class],
            Entry::Route(route) => {
                self.check_backends(&key, route)?;
                vec![&route.class]
            }
        };
        match classes
            .into_iter()
            .find(|class| !self.classes.contains_key(*class))
        {
            None => Ok(()),
            Some(class) => {
                let missing = Key {
                    kind: Kind::Class,
                    name: class.clone(),
                };
                Err(Fault::Missing { key, missing })
            }
        }
    }
}

fn check_route(key: &Key, route: &route::Route) -> Result<(), Fault> {
    let has_slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    check_range(
        key,
        "prefix",
        has_slashes,
        "a path with a slash at both ends",
    )?;
    check_range(key, "host", !route.host.is_empty(), "a host name")?;
    let weight: u64 = route.backends.iter().map(|it| u64::from(it.weight)).sum();
    check_range(key, "backends", weight > 0, "services with a weight over 0")?;
    check_range(key, "attempts", route.attempts > 0, "at least 1")?;
    check_range(key, "timeout_ms", !route.timeout.is_zero(), "at least 1")
}

fn check_name(key: &Key, field: &str, value: &str) -> Result<(), Fault> {
    let has_valid_length = (1..=MAX_NAME_BYTES).contains(&value.len());
    let has_valid_characters = value
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    if has_valid_length && has_valid_characters {
        return Ok(());
    }
    Err(Fault::Name {
        key: key.clone(),
        field: field.to_owned(),
    })
}

fn check_range(key: &Key, field: &str, valid: bool, range: &str) -> Result<(), Fault> {
    if valid {
        return Ok(());
    }
    Err(Fault::Range {
        key: key.clone(),
        field: field.to_owned(),
        range: range.to_owned(),
    })
}

fn check_account(key: &Key, account: &Account) -> Result<(), Fault> {
    let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    let is_digest = |it: &String| it.len() == KEY_DIGEST_DIGITS && it.chars().all(is_hex);
    let digests_ok = account.digests().all(is_digest);
    check_range(key, "key_sha256", digests_ok, "64 lower-case hex digits")?;
    let tier_ok = account.tier.is_none_or(|tier| tier <= MAX_TIER);
    check_range(key, "tier", tier_ok, "0 to 7")?;
    check_range(key, "max_running", account.max_running > 0, "at least 1")
}

fn check_class(key: &Key, class: &Class) -> Result<(), Fault> {
    check_range(key, "tier", class.tier <= MAX_TIER, "0 to 7")?;
    check_range(
        key,
        "first_token_ms",
        !class.first_token.is_zero(),
        "at least 1",
    )?;
    check_range(
        key,
        "between_tokens_ms",
        !class.between_tokens.is_zero(),
        "at least 1",
    )?;
    check_range(key, "whole_ms", !class.whole.is_zero(), "at least 1")?;
    check_range(
        key,
        "wait_bound_ms",
        !class.wait_bound.is_zero(),
        "at least 1",
    )
}

fn check_service(key: &Key, service: &Service) -> Result<(), Fault> {
    check_range(
        key,
        "max_running_per_runner",
        service.max_running_per_runner > 0,
        "at least 1",
    )?;
    check_range(
        key,
        "retry_percent",
        service.retry_percent <= 100,
        "0 to 100",
    )?;
    check_range(key, "timeout_ms", !service.timeout.is_zero(), "at least 1")?;
    for call in &service.once {
        let method_ok =
            !call.method.is_empty() && call.method.chars().all(|c| c.is_ascii_uppercase());
        check_range(key, "once.method", method_ok, "an upper-case HTTP method")?;
        check_range(
            key,
            "once.path",
            call.path.starts_with('/'),
            "a path with a leading '/'",
        )?;
    }
    let statuses_ok = service
        .refusal_statuses
        .iter()
        .all(|status| (400..600).contains(status));
    check_range(
        key,
        "refusal_statuses",
        statuses_ok,
        "statuses from 400 to 599",
    )
}
