//! Routes: which requests go to which service, and what may be done with them.
//!
//! A route is found by the host and the longest path prefix of a request. The
//! request itself is opaque: what may be repeated follows from the route alone.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    catalogue::millis,
    id::{ClassId, RouteId, ServiceId},
};

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Nothing: it runs at most once.
    #[default]
    Never,
    /// The whole request, at any time.
    Always,
    /// Its stream goes on after the last event that arrived.
    Resume,
}

/// A service behind a route, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name of the service.
    pub service: ServiceId,
    /// Share, relative to the other backends of the route.
    pub weight: u32,
}

/// Requests to one host under one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: RouteId,
    /// Team or person who answers for the route.
    pub owner: String,
    /// Value of the `Host` header, without a port.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// Class of its requests.
    pub class: ClassId,
    /// Services that take its requests.
    pub backends: Vec<Backend>,
    /// What may be done again.
    #[serde(default)]
    pub repeat: Repeat,
    /// Whether answers are event streams.
    #[serde(default)]
    pub stream: bool,
    /// Most runners that one request is sent to.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Longest time for one request, waiting included.
    #[serde(rename = "timeout_ms", with = "millis")]
    pub timeout: Duration,
    /// Whether requests need no API key.
    #[serde(default)]
    pub public: bool,
}

impl Route {
    /// Whether `path` belongs to the route.
    #[must_use]
    pub fn covers(&self, path: &str) -> bool {
        path.starts_with(&self.prefix)
    }

    /// Whether the whole request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.repeat != Repeat::Never
    }

    /// The backend for a request, drawn by weight with a uniform `chance`.
    #[must_use]
    pub fn backend(&self, chance: u64) -> Option<&ServiceId> {
        let total: u64 = self.backends.iter().map(|it| u64::from(it.weight)).sum();
        let mut place = chance.checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if place < weight {
                return Some(&backend.service);
            }
            place -= weight;
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
