//! Serde adapter for durations in whole milliseconds.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Serializes a duration as milliseconds.
pub(crate) fn serialize<S>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
}

/// Deserializes a duration from milliseconds.
pub(crate) fn deserialize<'de, D>(deserializer: D) -> Result<Duration, D::Error>
where
    D: Deserializer<'de>,
{
    u64::deserialize(deserializer).map(Duration::from_millis)
}
