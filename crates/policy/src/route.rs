//! Routes: which service a request is sent to, and whether it may be repeated.
//!
//! A route is selected by the host and the longest path prefix of a request. The
//! request itself is opaque: whether it may be repeated depends on the route alone.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    catalogue::millis,
    id::{ClassId, RouteId, ServiceId},
};

/// Which part of a request may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Nothing: the request runs at most once.
    #[default]
    Never,
    /// The whole request, at any time.
    Always,
    /// Its stream may be resumed after the last event received.
    Resume,
}

/// A service that a route sends requests to, with its weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight relative to the other backends of the route.
    pub weight: u32,
}

/// Requests to one host under one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: RouteId,
    /// Team or person responsible for the route.
    pub owner: String,
    /// Value of the `Host` header, without a port.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Class of its requests.
    pub class: ClassId,
    /// Services that its requests are sent to.
    pub backends: Vec<Backend>,
    /// Whether its requests may be repeated.
    #[serde(default)]
    pub repeat: Repeat,
    /// Whether responses are event streams.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of runners that one request is sent to.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Timeout of one request, including time in the queue.
    #[serde(rename = "timeout_ms", with = "millis")]
    pub timeout: Duration,
    /// Whether requests need no API key.
    #[serde(default)]
    pub public: bool,
}

impl Route {
    /// Whether `path` starts with the route's prefix.
    #[must_use]
    pub fn covers(&self, path: &str) -> bool {
        path.starts_with(&self.prefix)
    }

    /// Whether the whole request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.repeat != Repeat::Never
    }

    /// The backend for a request, chosen by weight with a uniform random `chance`.
    #[must_use]
    pub fn backend(&self, chance: u64) -> Option<&ServiceId> {
        let total: u64 = self.backends.iter().map(|it| u64::from(it.weight)).sum();
        let mut remainder = chance.checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if remainder < weight {
                return Some(&backend.service);
            }
            remainder -= weight;
        }
        None
    }

    /// Whether requests of the route may go to `service`.
    #[must_use]
    pub fn allows(&self, service: &str) -> bool {
        self.backends
            .iter()
            .any(|it| it.service == service && it.weight > 0)
    }
}

fn default_attempts() -> u32 {
    1
}
