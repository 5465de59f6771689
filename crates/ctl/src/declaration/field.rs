//! The fields of one entry: their names, their values, and placeholders for
//! invalid values.

use std::{marker::PhantomData, ops::Range};

use serde::{
    de::{DeserializeOwned, Error as _, Visitor, value::Error as NoValue},
    forward_to_deserialize_any,
};
use toml::{
    Spanned,
    de::{DeTable, DeValue, Error, ValueDeserializer},
};

/// TOML values, at least one of which is valid for any field.
const PLACEHOLDERS: [&str; 5] = ["\"x\"", "1", "[]", "true", "\"plain\""];

/// Span of placeholders, which lies outside any file.
const NO_SPAN: Range<usize> = usize::MAX - 1..usize::MAX;

/// Names of the fields that a type passes to its deserializer.
pub(super) fn names<T>() -> &'static [&'static str]
where
    T: DeserializeOwned,
{
    let mut names = &[][..];
    // The probe yields no value, so this is always an error.
    drop(T::deserialize(Probe {
        names: &mut names,
        lifetime: PhantomData,
    }));
    names
}

/// Reads an entry from its fields.
pub(super) fn read<T>(table: &DeTable<'_>, span: Range<usize>) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let value = Spanned::new(span, DeValue::Table(table.clone()));
    T::deserialize(ValueDeserializer::from(value))
}

/// The missing field, if an error of [`read`] reports one.
pub(super) fn missing<T>(error: &Error) -> Option<&'static str>
where
    T: DeserializeOwned,
{
    let message = error.message();
    let name = message.strip_prefix("missing field `")?.strip_suffix('`')?;
    names::<T>().iter().copied().find(|known| *known == name)
}

/// The field whose value contains a range of byte offsets.
pub(super) fn containing(table: &DeTable<'_>, offsets: &Range<usize>) -> Option<String> {
    let holds = |span: Range<usize>| span.start <= offsets.start && offsets.end <= span.end;
    let field = table.iter().find(|(_, value)| holds(value.span()));
    field.map(|(key, _)| key.get_ref().to_string())
}

/// Replaces the value of a field by a valid placeholder; false if there is none.
pub(super) fn substitute<T>(table: &mut DeTable<'_>, name: &str, span: &Range<usize>) -> bool
where
    T: DeserializeOwned,
{
    for text in PLACEHOLDERS {
        let Ok(value) = DeValue::parse(text) else {
            continue;
        };
        let key = Spanned::new(NO_SPAN, name.to_owned().into());
        table.remove(name);
        table.insert(key, Spanned::new(NO_SPAN, value.into_inner()));
        match read::<T>(table, span.clone()) {
            Err(error) if error.span() == Some(NO_SPAN) => {}
            Ok(_) | Err(_) => return true,
        }
    }
    false
}

/// A deserializer that records the fields a type requests.
struct Probe<'a, 'de> {
    names: &'a mut &'static [&'static str],
    lifetime: PhantomData<&'de ()>,
}

impl<'de> serde::Deserializer<'de> for Probe<'_, 'de> {
    type Error = NoValue;

    fn deserialize_any<V>(self, _visitor: V) -> Result<V::Value, NoValue>
    where
        V: Visitor<'de>,
    {
        Err(NoValue::custom("a probe has no value"))
    }

    fn deserialize_struct<V>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, NoValue>
    where
        V: Visitor<'de>,
    {
        *self.names = fields;
        self.deserialize_any(visitor)
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string
        bytes byte_buf option unit unit_struct newtype_struct seq tuple
        tuple_struct map enum identifier ignored_any
    }
}
