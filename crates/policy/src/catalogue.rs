//! The declarations that operators apply: accounts, classes and services.
//!
//! A catalogue is immutable; applying a change yields the next one or a typed
//! fault that names the entry and the remedy. Entries are shared by reference
//! count, so that a change to one of many thousands stays cheap.

mod millis;

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{AccountId, ChangeId, ClassId, OperatorId, Revision, ServiceId};

/// Lowest tier that a class may name; zero is the highest.
pub const MAX_TIER: u8 = 7;

/// Longest name of an entry or owner, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Most entries that one change may touch.
pub const MAX_CHANGE_ENTRIES: usize = 16_384;

/// Hex digits of a SHA-256 digest.
const KEY_DIGEST_DIGITS: usize = 64;

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique name.
    pub name: AccountId,
    /// Team or person who answers for the account.
    pub owner: String,
    /// SHA-256 of the account's API key, in lower-case hex.
    pub key_sha256: String,
    /// Class of requests that name none, where the service's own is not open to it.
    pub class: ClassId,
    /// Further classes that the account may ask for.
    #[serde(default)]
    pub classes: Vec<ClassId>,
    /// Most requests running at once over all daemons.
    pub max_running: u32,
    /// Most requests waiting at once over all daemons.
    pub max_queued: u32,
}

/// A class of requests with its targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name.
    pub name: ClassId,
    /// Team or person who answers for the class.
    pub owner: String,
    /// Tier; zero is served first.
    pub tier: u8,
    /// Target time to the first token.
    #[serde(rename = "first_token_ms", with = "millis")]
    pub first_token: Duration,
    /// Target time between tokens.
    #[serde(rename = "between_tokens_ms", with = "millis")]
    pub between_tokens: Duration,
    /// Target time of the whole answer.
    #[serde(rename = "whole_ms", with = "millis")]
    pub whole: Duration,
    /// Longest wait before the class gets a share of its own.
    #[serde(rename = "wait_bound_ms", with = "millis")]
    pub wait_bound: Duration,
    /// Most requests of the class waiting for one service.
    pub queue_limit: u32,
    /// Whether running work may be paused for a higher tier.
    #[serde(default)]
    pub preemptible: bool,
}

/// What stands behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Backend {
    /// Model runners that stream tokens and can resume.
    Model,
    /// Plain HTTP service.
    Plain,
}

/// A route whose calls must not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Upper-case HTTP method.
    pub method: String,
    /// Path prefix below the service, with a leading slash.
    pub path: String,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name; for a model, the name that callers ask for.
    pub name: ServiceId,
    /// Team or person who answers for the service.
    pub owner: String,
    /// What stands behind it.
    pub backend: Backend,
    /// Class of requests that name none, if the account may use it.
    pub class: ClassId,
    /// Routes that must run at most once.
    #[serde(default)]
    pub once: Vec<Route>,
    /// Most requests that one runner is given at once.
    pub max_running_per_runner: u32,
    /// Retries allowed, in percent of requests.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Upstream statuses that prove that nothing ran.
    #[serde(default)]
    pub refusal_statuses: Vec<u16>,
    /// Longest time for one request, queueing included.
    #[serde(rename = "timeout_ms", with = "millis")]
    pub timeout: Duration,
    /// Largest request body in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
}

impl Service {
    /// Whether calls of `method` to `path` must run at most once.
    #[must_use]
    pub fn runs_once(&self, method: &str, path: &str) -> bool {
        self.once.iter().any(|route| {
            route.method == method
                && path
                    .strip_prefix(route.path.as_str())
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
}

/// Name of one entry.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{kind}/{name}")]
pub struct Key {
    /// Kind of the entry.
    pub kind: Kind,
    /// Its name.
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
}

impl Entry {
    /// Kind and name.
    #[must_use]
    pub fn key(&self) -> Key {
        let (kind, name) = match self {
            Self::Account(account) => (Kind::Account, &account.name),
            Self::Class(class) => (Kind::Class, &class.name),
            Self::Service(service) => (Kind::Service, &service.name),
        };
        Key {
            kind,
            name: name.clone(),
        }
    }

    /// Team or person who answers for the entry.
    #[must_use]
    pub fn owner(&self) -> &str {
        match self {
            Self::Account(account) => &account.owner,
            Self::Class(class) => &class.owner,
            Self::Service(service) => &service.owner,
        }
    }
}

/// A change that an operator asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identity, kept when the change is resent.
    pub id: ChangeId,
    /// Revision that the change was made against.
    pub base: Revision,
    /// Who asks.
    pub operator: OperatorId,
    /// Entries to create or replace.
    #[serde(default)]
    pub puts: Vec<Entry>,
    /// Entries to remove.
    #[serde(default)]
    pub removes: Vec<Key>,
}

/// Why a change does not fit the catalogue.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// A name or owner is empty, too long or has other characters.
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
        /// What it refers to.
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
    /// Two accounts share one API key.
    #[display("{key} has the API key of {other}: give each account a key of its own")]
    SameKey {
        /// Entry at fault.
        key: Key,
        /// The account that has the key already.
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
    /// Accounts by the digest of their API key.
    #[serde(skip)]
    keys: IndexMap<String, AccountId>,
}

impl Catalogue {
    /// The account that an API key digest belongs to.
    #[must_use]
    pub fn account_by_digest(&self, key_sha256: &str) -> Option<&Arc<Account>> {
        self.accounts.get(self.keys.get(key_sha256)?)
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
        }
    }

    /// Every entry: classes, then services, then accounts.
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
        classes.chain(services).chain(accounts)
    }

    /// Rebuilds a catalogue from its entries, as read from a snapshot.
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
    /// The base revision is not checked here: the control log does that.
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
            next.check_key(entry)?;
            next.put(entry.clone());
        }
        next.check(change)?;
        Ok(next)
    }

    fn put(&mut self, entry: Entry) {
        match entry {
            Entry::Account(account) => {
                if let Some(old) = self.accounts.get(&account.name) {
                    self.keys.swap_remove(&old.key_sha256);
                }
                self.keys
                    .insert(account.key_sha256.clone(), account.name.clone());
                self.accounts.insert(account.name.clone(), account);
            }
            Entry::Class(class) => {
                self.classes.insert(class.name.clone(), class);
            }
            Entry::Service(service) => {
                self.services.insert(service.name.clone(), service);
            }
        }
    }

    fn remove(&mut self, key: &Key) -> Result<(), Fault> {
        let found = match key.kind {
            Kind::Account => match self.accounts.shift_remove(&key.name) {
                Some(old) => self.keys.swap_remove(&old.key_sha256).is_some(),
                None => false,
            },
            Kind::Class => self.classes.shift_remove(&key.name).is_some(),
            Kind::Service => self.services.shift_remove(&key.name).is_some(),
        };
        if found {
            Ok(())
        } else {
            Err(Fault::Unknown { key: key.clone() })
        }
    }

    fn check_key(&self, entry: &Entry) -> Result<(), Fault> {
        let Entry::Account(account) = entry else {
            return Ok(());
        };
        match self.keys.get(&account.key_sha256) {
            Some(other) if *other != account.name => Err(Fault::SameKey {
                key: entry.key(),
                other: Key {
                    kind: Kind::Account,
                    name: other.clone(),
                },
            }),
            _ => Ok(()),
        }
    }

    /// Checks what a change may have broken: its own entries, and references
    /// to the classes that it removed.
    fn check(&self, change: &Change) -> Result<(), Fault> {
        for entry in &change.puts {
            self.check_entry(entry)?;
        }
        if change.removes.iter().any(|key| key.kind == Kind::Class) {
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
        }
    }

    fn check_references(&self, entry: &Entry) -> Result<(), Fault> {
        let key = entry.key();
        let named: Vec<&ClassId> = match entry {
            Entry::Account(account) => account.classes.iter().chain([&account.class]).collect(),
            Entry::Class(_) => Vec::new(),
            Entry::Service(service) => vec![&service.class],
        };
        match named
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

fn check_name(key: &Key, field: &str, value: &str) -> Result<(), Fault> {
    let fits = (1..=MAX_NAME_BYTES).contains(&value.len());
    let plain = value
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    if fits && plain {
        return Ok(());
    }
    Err(Fault::Name {
        key: key.clone(),
        field: field.to_owned(),
    })
}

fn check_range(key: &Key, field: &str, holds: bool, range: &str) -> Result<(), Fault> {
    if holds {
        return Ok(());
    }
    Err(Fault::Range {
        key: key.clone(),
        field: field.to_owned(),
        range: range.to_owned(),
    })
}

fn check_account(key: &Key, account: &Account) -> Result<(), Fault> {
    let hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    let digest =
        account.key_sha256.len() == KEY_DIGEST_DIGITS && account.key_sha256.chars().all(hex);
    check_range(key, "key_sha256", digest, "64 lower-case hex digits")?;
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
    for route in &service.once {
        let method =
            !route.method.is_empty() && route.method.chars().all(|c| c.is_ascii_uppercase());
        check_range(key, "once.method", method, "an upper-case HTTP method")?;
        check_range(
            key,
            "once.path",
            route.path.starts_with('/'),
            "a path with a leading '/'",
        )?;
    }
    let statuses = service
        .refusal_statuses
        .iter()
        .all(|status| (400..600).contains(status));
    check_range(
        key,
        "refusal_statuses",
        statuses,
        "statuses from 400 to 599",
    )
}
