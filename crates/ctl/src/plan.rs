//! The difference between declarations and the catalogue.

use std::fmt;

use citron_policy::{
    catalogue::{self, Catalogue, Change, Entry, Key, Kind},
    id::{ChangeId, Revision},
};
use serde_json::Value;

use crate::declaration::{Declaration, Fault, Faults, Location, Reason};

/// Most faults that a check reports.
const MAX_FAULTS: usize = 100;

/// Most bytes of entries in one change; the control log accepts twice as much.
const MAX_PART_BYTES: usize = 256 << 10;

/// What a change of one entry does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The entry is new.
    Create(Entry),
    /// The entry changes.
    Update {
        /// The entry before.
        old: Entry,
        /// The entry after.
        new: Entry,
    },
    /// The entry is removed.
    Remove(Entry),
}

/// All steps from a catalogue revision to the declarations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Revision that it starts from.
    pub base: Revision,
    /// The steps.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Compares declarations with the catalogue. Undeclared entries are kept
    /// unless `prune` is set.
    #[must_use]
    pub fn new(declaration: &Declaration, catalogue: &Catalogue, prune: bool) -> Self {
        let mut steps = Vec::new();
        for (key, declared) in &declaration.entries {
            let new = declared.entry.clone();
            match catalogue.entry(key) {
                None => steps.push(Step::Create(new)),
                Some(old) if old != new => steps.push(Step::Update { old, new }),
                Some(_) => {}
            }
        }
        if prune {
            let stale = catalogue.entries();
            let stale = stale.filter(|it| !declaration.entries.contains_key(&it.key()));
            steps.extend(stale.map(Step::Remove));
        }
        Self {
            base: catalogue.revision,
            steps,
        }
    }

    /// The change that applies the whole plan.
    #[must_use]
    pub fn change(&self, id: ChangeId, base: Revision) -> Change {
        let mut change = Change {
            id,
            base,
            ..Change::default()
        };
        for step in &self.steps {
            step.add_to(&mut change);
        }
        change
    }

    /// Splits the plan into parts, each small enough for one change and valid
    /// once the parts before it are in force.
    #[must_use]
    pub fn parts(&self) -> Vec<Self> {
        let size: usize = self.steps.iter().map(Step::bytes).sum();
        if size <= MAX_PART_BYTES {
            return vec![self.clone()];
        }
        let mut steps = self.steps.clone();
        steps.sort_by_key(Step::order);
        let mut parts = vec![Self::default()];
        let mut used = 0;
        for step in steps {
            let bytes = step.bytes();
            if used + bytes > MAX_PART_BYTES && used > 0 {
                parts.push(Self::default());
                used = 0;
            }
            used += bytes;
            if let Some(part) = parts.last_mut() {
                part.steps.push(step);
            }
        }
        parts
    }

    /// Checks that the plan fits the catalogue.
    ///
    /// # Errors
    /// Every fault, with the location of the declaration.
    pub fn check(&self, declaration: &Declaration, catalogue: &Catalogue) -> Result<(), Faults> {
        let mut change = self.change(ChangeId::new(), self.base);
        let mut faults = Vec::new();
        let mut removed: Vec<Key> = Vec::new();
        while faults.len() < MAX_FAULTS {
            let Err(fault) = catalogue.apply(&change) else {
                break;
            };
            // A reference to an entry that is itself invalid is not a second fault.
            let consequential = matches!(&fault, catalogue::Fault::Missing { missing, .. }
                if removed.contains(missing));
            let key = key_of(&fault).cloned();
            if !consequential {
                faults.push(describe(&fault, key.as_ref(), declaration));
            }
            let Some(key) = key else { break };
            if !remove_from(&mut change, &key) {
                break;
            }
            removed.push(key);
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(faults))
        }
    }

    /// The steps as JSON.
    #[must_use]
    pub fn to_json(&self) -> Value {
        self.steps.iter().map(Step::to_json).collect()
    }
}

/// Removes an entry from a change; false if the change does not contain it.
fn remove_from(change: &mut Change, key: &Key) -> bool {
    let before = change.puts.len() + change.removes.len();
    change.puts.retain(|it| it.key() != *key);
    change.removes.retain(|it| it != key);
    change.puts.len() + change.removes.len() < before
}

fn key_of(fault: &catalogue::Fault) -> Option<&Key> {
    match fault {
        catalogue::Fault::Name { key, .. }
        | catalogue::Fault::Missing { key, .. }
        | catalogue::Fault::Range { key, .. }
        | catalogue::Fault::SameKey { key, .. }
        | catalogue::Fault::SamePlace { key, .. }
        | catalogue::Fault::Unknown { key } => Some(key),
        catalogue::Fault::TooLarge { .. } => None,
    }
}

fn describe(fault: &catalogue::Fault, key: Option<&Key>, declaration: &Declaration) -> Fault {
    let declared = key.and_then(|key| declaration.entries.get(key));
    let not_declared = Location {
        file: "(catalogue)".into(),
        line: 0,
    };
    Fault {
        location: declared.map_or(not_declared, |it| it.location.clone()),
        entry: None,
        reason: Reason::Catalogue {
            fault: fault.to_string(),
        },
    }
}

impl Step {
    fn add_to(&self, change: &mut Change) {
        match self {
            Self::Create(new) | Self::Update { new, .. } => change.puts.push(new.clone()),
            Self::Remove(old) => change.removes.push(old.key()),
        }
    }

    /// Position in the parts: API keys and route paths are released before they are
    /// reused, and an entry exists for as long as others refer to it.
    fn order(&self) -> u8 {
        match (self, self.entry().key().kind) {
            (Self::Remove(_), Kind::Account | Kind::Route) => 0,
            (Self::Create(_) | Self::Update { .. }, Kind::Class) => 1,
            (Self::Create(_) | Self::Update { .. }, Kind::Service) => 2,
            (Self::Create(_) | Self::Update { .. }, Kind::Account | Kind::Route) => 3,
            (Self::Remove(_), Kind::Service) => 4,
            (Self::Remove(_), Kind::Class) => 5,
        }
    }

    fn entry(&self) -> &Entry {
        match self {
            Self::Create(entry) | Self::Remove(entry) | Self::Update { new: entry, .. } => entry,
        }
    }

    /// Size of the entry in a change, in bytes of JSON.
    fn bytes(&self) -> usize {
        serde_json::to_string(self.entry()).map_or(0, |text| text.len())
    }

    fn to_json(&self) -> Value {
        let action = match self {
            Self::Create(_) => "create",
            Self::Update { .. } => "update",
            Self::Remove(_) => "remove",
        };
        let entry = self.entry();
        serde_json::json!({"action": action, "entry": entry.key().to_string(), "owner": entry.owner()})
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            write!(f, "{step}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Create(new) => writeln!(f, "+ {} (owner {})", new.key(), new.owner()),
            Self::Remove(old) => writeln!(f, "- {} (owner {})", old.key(), old.owner()),
            Self::Update { old, new } => {
                writeln!(f, "~ {} (owner {})", new.key(), new.owner())?;
                for (field, before, after) in differences(old, new) {
                    writeln!(f, "    {field}: {before} -> {after}")?;
                }
                Ok(())
            }
        }
    }
}

/// Fields that differ, with both values.
fn differences(old: &Entry, new: &Entry) -> Vec<(String, Value, Value)> {
    let fields = |entry: &Entry| match serde_json::to_value(entry) {
        Ok(Value::Object(fields)) => fields,
        Ok(_) | Err(_) => serde_json::Map::new(),
    };
    let before = fields(old);
    let changed = fields(new).into_iter().filter_map(|(field, after)| {
        let before = before.get(&field).cloned().unwrap_or_default();
        (before != after).then_some((field, before, after))
    });
    changed.collect()
}
