//! Conversions of catalogue entries and changes.

use std::{sync::Arc, time::Duration};

use citron_policy::{
    catalogue::{Account, Backend, Call, Change, Class, Entry, Key, Kind, Scaling, Service},
    route::{self, Repeat, Route},
};

use super::{Error, convert_all, nanos_of, proto, require};

impl From<&Key> for proto::Key {
    fn from(key: &Key) -> Self {
        let kind = match key.kind {
            Kind::Account => 1,
            Kind::Class => 2,
            Kind::Service => 3,
            Kind::Route => 4,
        };
        Self {
            kind,
            name: key.name.clone(),
        }
    }
}

impl TryFrom<proto::Key> for Key {
    type Error = Error;

    fn try_from(key: proto::Key) -> Result<Self, Error> {
        let kind = match key.kind {
            1 => Kind::Account,
            2 => Kind::Class,
            3 => Kind::Service,
            4 => Kind::Route,
            _ => return Err(Error::Range { field: "key.kind" }),
        };
        Ok(Self {
            kind,
            name: key.name,
        })
    }
}

impl From<&Entry> for proto::CatalogueEntry {
    fn from(entry: &Entry) -> Self {
        use proto::catalogue_entry::Entry as Wire;
        let entry = match entry {
            Entry::Account(it) => Wire::Account(it.as_ref().into()),
            Entry::Class(it) => Wire::Class(it.as_ref().into()),
            Entry::Service(it) => Wire::Service(it.as_ref().into()),
            Entry::Route(it) => Wire::Route(it.as_ref().into()),
        };
        Self { entry: Some(entry) }
    }
}

impl TryFrom<proto::CatalogueEntry> for Entry {
    type Error = Error;

    fn try_from(entry: proto::CatalogueEntry) -> Result<Self, Error> {
        use proto::catalogue_entry::Entry as Wire;
        Ok(match require(entry.entry, "entry")? {
            Wire::Account(it) => Self::Account(Arc::new(it.try_into()?)),
            Wire::Class(it) => Self::Class(Arc::new(it.try_into()?)),
            Wire::Service(it) => Self::Service(Arc::new(it.try_into()?)),
            Wire::Route(it) => Self::Route(Arc::new(it.try_into()?)),
        })
    }
}

impl From<&Account> for proto::Account {
    fn from(it: &Account) -> Self {
        Self {
            name: it.name.clone(),
            owner: it.owner.clone(),
            key_sha256: it.key_sha256.clone(),
            class: it.class.clone(),
            classes: it.classes.clone(),
            max_running: it.max_running,
            max_queued: it.max_queued,
            further_keys_sha256: it.further_keys_sha256.clone(),
            tier: it.tier.map(u32::from),
        }
    }
}

impl TryFrom<proto::Account> for Account {
    type Error = Error;

    fn try_from(it: proto::Account) -> Result<Self, Error> {
        let tier = it.tier.map(u8::try_from).transpose();
        let field = "account.tier";
        Ok(Self {
            name: it.name,
            owner: it.owner,
            key_sha256: it.key_sha256,
            class: it.class,
            classes: it.classes,
            max_running: it.max_running,
            max_queued: it.max_queued,
            further_keys_sha256: it.further_keys_sha256,
            tier: tier.ok().ok_or(Error::Range { field })?,
        })
    }
}

impl From<&Class> for proto::Class {
    fn from(it: &Class) -> Self {
        Self {
            name: it.name.clone(),
            owner: it.owner.clone(),
            tier: it.tier.into(),
            first_token: nanos_of(it.first_token),
            between_tokens: nanos_of(it.between_tokens),
            whole: nanos_of(it.whole),
            wait_bound: nanos_of(it.wait_bound),
            queue_limit: it.queue_limit,
            preemptible: it.preemptible,
        }
    }
}

impl TryFrom<proto::Class> for Class {
    type Error = Error;

    fn try_from(it: proto::Class) -> Result<Self, Error> {
        let field = "class.tier";
        Ok(Self {
            name: it.name,
            owner: it.owner,
            tier: u8::try_from(it.tier).ok().ok_or(Error::Range { field })?,
            first_token: Duration::from_nanos(it.first_token),
            between_tokens: Duration::from_nanos(it.between_tokens),
            whole: Duration::from_nanos(it.whole),
            wait_bound: Duration::from_nanos(it.wait_bound),
            queue_limit: it.queue_limit,
            preemptible: it.preemptible,
        })
    }
}

impl From<&Call> for proto::Call {
    fn from(it: &Call) -> Self {
        Self {
            method: it.method.clone(),
            path: it.path.clone(),
        }
    }
}

impl From<proto::Call> for Call {
    fn from(it: proto::Call) -> Self {
        Self {
            method: it.method,
            path: it.path,
        }
    }
}

impl From<&Service> for proto::Service {
    fn from(it: &Service) -> Self {
        let backend = match it.backend {
            Backend::Model => 1,
            Backend::Plain => 2,
        };
        Self {
            name: it.name.clone(),
            owner: it.owner.clone(),
            backend,
            class: it.class.clone(),
            once: it.once.iter().map(proto::Call::from).collect(),
            max_running_per_runner: it.max_running_per_runner,
            retry_percent: it.retry_percent,
            refusal_statuses: it
                .refusal_statuses
                .iter()
                .map(|it| u32::from(*it))
                .collect(),
            timeout: nanos_of(it.timeout),
            max_body_bytes: it.max_body_bytes,
            memory_tokens: it.memory_tokens,
            scaling: it.scaling.as_ref().map(proto::Scaling::from),
        }
    }
}

impl TryFrom<proto::Service> for Service {
    type Error = Error;

    fn try_from(it: proto::Service) -> Result<Self, Error> {
        let backend = match it.backend {
            1 => Backend::Model,
            2 => Backend::Plain,
            _ => {
                let field = "service.backend";
                return Err(Error::Range { field });
            }
        };
        let field = "service.refusal_statuses";
        let statuses = it.refusal_statuses.into_iter().map(u16::try_from);
        Ok(Self {
            name: it.name,
            owner: it.owner,
            backend,
            class: it.class,
            once: it.once.into_iter().map(Call::from).collect(),
            max_running_per_runner: it.max_running_per_runner,
            retry_percent: it.retry_percent,
            refusal_statuses: statuses
                .collect::<Result<_, _>>()
                .ok()
                .ok_or(Error::Range { field })?,
            timeout: Duration::from_nanos(it.timeout),
            max_body_bytes: it.max_body_bytes,
            memory_tokens: it.memory_tokens,
            scaling: it.scaling.map(Scaling::from),
        })
    }
}

impl From<&Scaling> for proto::Scaling {
    fn from(it: &Scaling) -> Self {
        let prices = it.prices.iter().map(|(domain, price)| proto::Price {
            domain: domain.clone(),
            price: *price,
        });
        Self {
            min: it.min,
            max: it.max,
            boot: nanos_of(it.boot),
            reclaimable_price: it.reclaimable_price,
            prices: prices.collect(),
        }
    }
}

impl From<proto::Scaling> for Scaling {
    fn from(it: proto::Scaling) -> Self {
        let prices = it.prices.into_iter().map(|it| (it.domain, it.price));
        Self {
            min: it.min,
            max: it.max,
            boot: Duration::from_nanos(it.boot),
            reclaimable_price: it.reclaimable_price,
            prices: prices.collect(),
        }
    }
}

impl From<&Route> for proto::Route {
    fn from(it: &Route) -> Self {
        let backends = it.backends.iter().map(|it| proto::Backend {
            service: it.service.clone(),
            weight: it.weight,
        });
        Self {
            name: it.name.clone(),
            owner: it.owner.clone(),
            host: it.host.clone(),
            prefix: it.prefix.clone(),
            class: it.class.clone(),
            backends: backends.collect(),
            repeat: match it.repeat {
                Repeat::Never => 1,
                Repeat::Always => 2,
                Repeat::Resume => 3,
            },
            stream: it.stream,
            attempts: it.attempts,
            timeout: nanos_of(it.timeout),
            public: it.public,
        }
    }
}

impl TryFrom<proto::Route> for Route {
    type Error = Error;

    fn try_from(it: proto::Route) -> Result<Self, Error> {
        let backends = it.backends.into_iter().map(|it| route::Backend {
            service: it.service,
            weight: it.weight,
        });
        Ok(Self {
            name: it.name,
            owner: it.owner,
            host: it.host,
            prefix: it.prefix,
            class: it.class,
            backends: backends.collect(),
            repeat: match it.repeat {
                1 => Repeat::Never,
                2 => Repeat::Always,
                3 => Repeat::Resume,
                _ => {
                    let field = "route.repeat";
                    return Err(Error::Range { field });
                }
            },
            stream: it.stream,
            attempts: it.attempts,
            timeout: Duration::from_nanos(it.timeout),
            public: it.public,
        })
    }
}

impl From<&Change> for proto::Change {
    fn from(it: &Change) -> Self {
        Self {
            id: it.id.clone(),
            base: it.base,
            operator: it.operator.clone(),
            puts: it.puts.iter().map(proto::CatalogueEntry::from).collect(),
            removes: it.removes.iter().map(proto::Key::from).collect(),
        }
    }
}

impl TryFrom<proto::Change> for Change {
    type Error = Error;

    fn try_from(it: proto::Change) -> Result<Self, Error> {
        Ok(Self {
            id: it.id,
            base: it.base,
            operator: it.operator,
            puts: convert_all(it.puts)?,
            removes: convert_all(it.removes)?,
        })
    }
}
