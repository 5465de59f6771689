//! Parses the text of one file into entries and faults.

use std::{ops::Range, path::Path, sync::Arc};

use citron_policy::{
    catalogue::{Account, Class, Entry, Kind, Service},
    route::Route,
};
use serde::de::DeserializeOwned;
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use super::{Declared, Fault, Location, Reason, field};

/// Most faults that one entry reports.
const MAX_ENTRY_FAULTS: usize = 64;

/// Reads the entries of one file; faults are added to `faults`.
#[must_use]
pub fn parse(file: &Path, text: &str, faults: &mut Vec<Fault>) -> Vec<Declared> {
    let mut reader = Reader {
        file,
        lines: Lines::of(text),
        faults,
        declared: Vec::new(),
    };
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let reason = Reason::Syntax {
            error: error.message().to_owned(),
        };
        reader.fault(error.span(), None, reason);
    }
    // Entries recovered around a syntax error would report faults that do not
    // exist.
    if reader
        .faults
        .iter()
        .any(|it| matches!(it.reason, Reason::Syntax { .. }) && it.location.file == file)
    {
        return Vec::new();
    }
    for (name, value) in table.into_inner() {
        reader.read_kind(&name, value);
    }
    let mut declared = reader.declared;
    declared.sort_by_key(|it| it.location.line);
    declared
}

struct Reader<'a> {
    file: &'a Path,
    lines: Lines,
    faults: &'a mut Vec<Fault>,
    declared: Vec<Declared>,
}

impl Reader<'_> {
    fn read_kind(&mut self, name: &Spanned<toml::de::DeString<'_>>, value: Spanned<DeValue<'_>>) {
        let kinds = [Kind::Account, Kind::Class, Kind::Service, Kind::Route];
        let text = name.get_ref().to_string();
        let Some(kind) = kinds.into_iter().find(|it| it.to_string() == text) else {
            return self.fault(Some(name.span()), None, Reason::UnknownKind { name: text });
        };
        let DeValue::Array(entries) = value.into_inner() else {
            return self.fault(Some(name.span()), None, Reason::NotArray { name: text });
        };
        for entry in entries {
            match kind {
                Kind::Account => self.read_entry::<Account>(kind, entry),
                Kind::Class => self.read_entry::<Class>(kind, entry),
                Kind::Service => self.read_entry::<Service>(kind, entry),
                Kind::Route => self.read_entry::<Route>(kind, entry),
            }
        }
    }

    fn read_entry<T>(&mut self, kind: Kind, value: Spanned<DeValue<'_>>)
    where
        T: DeserializeOwned + Declarable,
    {
        let span = value.span();
        let DeValue::Table(mut table) = value.into_inner() else {
            let name = kind.to_string();
            return self.fault(Some(span), None, Reason::NotArray { name });
        };
        let name = table.get("name").and_then(|it| it.get_ref().as_str());
        let entry = match name {
            Some(name) => format!("{kind}/{name}"),
            None => kind.to_string(),
        };
        let before = self.faults.len();
        self.drop_unknown::<T>(&mut table, &entry);
        if let Some(parsed) = self.read_fields::<T>(table, span.clone(), &entry)
            && self.faults.len() == before
        {
            let location = self.location(Some(span));
            let entry = parsed.into_entry();
            self.declared.push(Declared { entry, location });
        }
    }

    /// Reports and removes unknown fields.
    fn drop_unknown<T>(&mut self, table: &mut DeTable<'_>, entry: &str)
    where
        T: DeserializeOwned,
    {
        let known = field::names::<T>();
        let unknown: Vec<_> = table
            .keys()
            .filter(|key| !known.contains(&key.get_ref().as_ref()))
            .map(|key| (key.get_ref().to_string(), key.span()))
            .collect();
        for (field, span) in unknown {
            table.remove(field.as_str());
            let known = known.to_vec();
            let reason = Reason::UnknownField { field, known };
            self.fault(Some(span), Some(entry), reason);
        }
    }

    /// Reads the fields. An invalid field is reported and replaced by a valid
    /// placeholder, so that later faults are reported too.
    fn read_fields<T>(
        &mut self,
        mut table: DeTable<'_>,
        span: Range<usize>,
        entry: &str,
    ) -> Option<T>
    where
        T: DeserializeOwned,
    {
        for _ in 0..MAX_ENTRY_FAULTS {
            let error = match field::read::<T>(&table, span.clone()) {
                Ok(parsed) => return Some(parsed),
                Err(error) => error,
            };
            let name = if let Some(field) = field::missing::<T>(&error) {
                let field = field.to_owned();
                let reason = Reason::MissingField {
                    field: field.clone(),
                };
                self.fault(Some(span.clone()), Some(entry), reason);
                field
            } else {
                let offsets = error.span().unwrap_or_else(|| span.clone());
                let field = field::containing(&table, &offsets);
                let reason = Reason::Value {
                    field: field.clone().unwrap_or_default(),
                    error: error.message().to_owned(),
                };
                self.fault(Some(offsets), Some(entry), reason);
                field?
            };
            if !field::substitute::<T>(&mut table, &name, &span) {
                return None;
            }
        }
        None
    }

    fn fault(&mut self, span: Option<Range<usize>>, entry: Option<&str>, reason: Reason) {
        let location = self.location(span);
        self.faults.push(Fault {
            location,
            entry: entry.map(ToOwned::to_owned),
            reason,
        });
    }

    fn location(&self, span: Option<Range<usize>>) -> Location {
        Location {
            file: self.file.to_owned(),
            line: span.map_or(1, |it| self.lines.at(it.start)),
        }
    }
}

/// A type that can be declared as an entry.
trait Declarable {
    fn into_entry(self) -> Entry;
}

impl Declarable for Account {
    fn into_entry(self) -> Entry {
        Entry::Account(Arc::new(self))
    }
}

impl Declarable for Class {
    fn into_entry(self) -> Entry {
        Entry::Class(Arc::new(self))
    }
}

impl Declarable for Service {
    fn into_entry(self) -> Entry {
        Entry::Service(Arc::new(self))
    }
}

impl Declarable for Route {
    fn into_entry(self) -> Entry {
        Entry::Route(Arc::new(self))
    }
}

/// Offsets at which lines start.
struct Lines(Vec<usize>);

impl Lines {
    fn of(text: &str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self(ends.map(|(at, _)| at + 1).collect())
    }

    fn at(&self, offset: usize) -> usize {
        self.0.partition_point(|start| *start <= offset) + 1
    }
}
