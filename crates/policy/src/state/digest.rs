//! The digest that distinguishes two changes with the same id.
//!
//! It is stored in snapshots, so it is computed field by field and not by a
//! derived hash, which may differ between compilers.

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::{
    catalogue::{Backend, Change, Entry, Key, Kind, Service},
    route::{Repeat, Route},
};

/// Digest of all fields of a change except its id.
pub(super) fn of_change(change: &Change) -> u128 {
    let mut digest = Digest(Xxh3::new());
    digest.number(change.base);
    digest.text(&change.operator);
    digest.count(change.puts.len());
    for entry in &change.puts {
        digest.entry(entry);
    }
    digest.count(change.removes.len());
    for key in &change.removes {
        digest.key(key);
    }
    digest.0.digest128()
}

struct Digest(Xxh3);

impl Digest {
    fn number(&mut self, value: u64) {
        self.0.update(&value.to_le_bytes());
    }

    fn count(&mut self, value: usize) {
        self.number(value as u64);
    }

    fn text(&mut self, value: &str) {
        self.count(value.len());
        self.0.update(value.as_bytes());
    }

    fn key(&mut self, key: &Key) {
        let kind = match key.kind {
            Kind::Account => 1,
            Kind::Class => 2,
            Kind::Service => 3,
            Kind::Route => 4,
        };
        self.number(kind);
        self.text(&key.name);
    }

    fn time(&mut self, value: Duration) {
        self.number(u64::try_from(value.as_nanos()).unwrap_or(u64::MAX));
    }

    fn entry(&mut self, entry: &Entry) {
        self.key(&entry.key());
        self.text(entry.owner());
        match entry {
            Entry::Account(it) => {
                self.count(it.digests().count());
                for digest in it.digests() {
                    self.text(digest);
                }
                self.number(it.tier.map_or(u64::MAX, u64::from));
                self.text(&it.class);
                self.count(it.classes.len());
                for class in &it.classes {
                    self.text(class);
                }
                self.number(it.max_running.into());
                self.number(it.max_queued.into());
            }
            Entry::Class(it) => {
                self.number(it.tier.into());
                self.time(it.first_token);
                self.time(it.between_tokens);
                self.time(it.whole);
                self.time(it.wait_bound);
                self.number(it.queue_limit.into());
                self.number(it.preemptible.into());
            }
            Entry::Service(it) => self.service(it),
            Entry::Route(it) => self.route(it),
        }
    }

    fn route(&mut self, route: &Route) {
        self.text(&route.host);
        self.text(&route.prefix);
        self.text(&route.class);
        self.count(route.backends.len());
        for backend in &route.backends {
            self.text(&backend.service);
            self.number(backend.weight.into());
        }
        self.number(match route.repeat {
            Repeat::Never => 1,
            Repeat::Always => 2,
            Repeat::Resume => 3,
        });
        self.number(route.stream.into());
        self.number(route.attempts.into());
        self.time(route.timeout);
        self.number(route.public.into());
    }

    fn service(&mut self, service: &Service) {
        self.number(match service.backend {
            Backend::Model => 1,
            Backend::Plain => 2,
        });
        self.text(&service.class);
        self.count(service.once.len());
        for route in &service.once {
            self.text(&route.method);
            self.text(&route.path);
        }
        self.number(service.max_running_per_runner.into());
        self.number(service.retry_percent.into());
        self.count(service.refusal_statuses.len());
        for status in &service.refusal_statuses {
            self.number((*status).into());
        }
        self.time(service.timeout);
        self.number(service.max_body_bytes);
        self.number(service.memory_tokens.into());
        // Nothing for services without scaling, so that digests of older builds still match.
        if let Some(scaling) = &service.scaling {
            self.number(scaling.min.into());
            self.number(scaling.max.into());
            self.time(scaling.boot);
            self.number(scaling.reclaimable_price.map_or(u64::MAX, u64::from));
            self.count(scaling.prices.len());
            for (domain, price) in &scaling.prices {
                self.text(domain);
                self.number((*price).into());
            }
        }
    }
}
