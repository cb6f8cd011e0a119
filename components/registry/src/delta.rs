//! Plan deltas as sent to entries: a plan contains every route, but most changes touch only one.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::{Result, ensure};

use crate::plan::{Freshness, Plan, Route, Service};
use crate::tenant::{Digest, Rate, Tenant};

impl Plan {
    /// The delta that turns `base` into this plan.
    #[must_use]
    pub fn change_from(&self, base: &Self) -> wire::PlanChange {
        let route = |(name, route): (&String, &Route)| {
            let changed = base.routes.get(name) != Some(route);
            changed.then(|| encode_route(name, route))
        };
        let service = |(name, service): (&String, &Service)| {
            let changed = base.services.get(name) != Some(service);
            changed.then(|| wire::Service {
                name: name.clone(),
                connections: service.connections,
                sync_replicas: service.sync_replicas,
            })
        };
        let tenant = |(name, tenant): (&String, &Tenant)| {
            let changed = base.tenants.get(name) != Some(tenant);
            changed.then(|| encode_tenant(name, tenant))
        };
        wire::PlanChange {
            base: base.version,
            version: self.version,
            routes: self.routes.iter().filter_map(route).collect(),
            services: self.services.iter().filter_map(service).collect(),
            removed_routes: removed_keys(&base.routes, &self.routes),
            removed_services: removed_keys(&base.services, &self.services),
            idle_limit_ms: self.idle_limit.map(millis),
            tenants: self.tenants.iter().filter_map(tenant).collect(),
            removed_tenants: removed_keys(&base.tenants, &self.tenants),
        }
    }

    /// Applies a delta. Returns false if this plan is already as new.
    ///
    /// # Errors
    /// Fails if the delta has another base version, a route names an unknown service or a digest of
    /// a key is invalid.
    pub fn apply(&mut self, change: wire::PlanChange) -> Result<bool> {
        if change.version <= self.version {
            return Ok(false);
        }
        let mut next = if change.base == 0 {
            Self::default()
        } else {
            ensure!(
                change.base == self.version,
                "plan delta has base version {}, but the plan in force has version {}",
                change.base,
                self.version
            );
            self.clone()
        };
        for name in &change.removed_routes {
            next.routes.remove(name);
        }
        for name in &change.removed_services {
            next.services.remove(name);
        }
        for name in &change.removed_tenants {
            next.tenants.remove(name);
        }
        for raw in change.tenants {
            let (name, tenant) = decode_tenant(raw)?;
            next.tenants.insert(name, tenant);
        }
        for raw in change.services {
            let service = Service {
                connections: raw.connections,
                sync_replicas: raw.sync_replicas,
            };
            next.services.insert(raw.name, service);
        }
        for raw in change.routes {
            let (name, route) = decode_route(raw);
            next.routes.insert(name, route);
        }
        for (name, route) in &next.routes {
            let known = next.services.contains_key(&route.service);
            ensure!(
                known,
                "route {name} refers to the unknown service {}",
                route.service
            );
        }
        next.version = change.version;
        next.idle_limit = change.idle_limit_ms.map(Duration::from_millis);
        *self = next;
        Ok(true)
    }
}

fn removed_keys<T>(base: &BTreeMap<String, T>, next: &BTreeMap<String, T>) -> Vec<String> {
    let removed = base.keys().filter(|name| !next.contains_key(*name));
    removed.cloned().collect()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn encode_route(name: &str, route: &Route) -> wire::Route {
    wire::Route {
        name: name.to_owned(),
        service: route.service.clone(),
        freshness: match route.freshness {
            Freshness::Latest => wire::Freshness::Latest,
            Freshness::Aged(age) => wire::Freshness::Aged(millis(age)),
            Freshness::Session(age) => wire::Freshness::Session(millis(age)),
        },
        timeout_ms: millis(route.timeout),
        goal_ms: millis(route.goal),
        priority: route.priority,
        public: route.public,
    }
}

fn decode_route(raw: wire::Route) -> (String, Route) {
    let route = Route {
        service: raw.service,
        freshness: match raw.freshness {
            wire::Freshness::Latest => Freshness::Latest,
            wire::Freshness::Aged(ms) => Freshness::Aged(Duration::from_millis(ms)),
            wire::Freshness::Session(ms) => Freshness::Session(Duration::from_millis(ms)),
        },
        timeout: Duration::from_millis(raw.timeout_ms),
        goal: Duration::from_millis(raw.goal_ms),
        priority: raw.priority,
        public: raw.public,
    };
    (raw.name, route)
}

fn encode_tenant(name: &str, tenant: &Tenant) -> wire::Tenant {
    let digest = |digest: &Digest| digest.as_bytes().to_vec().into();
    wire::Tenant {
        name: name.to_owned(),
        digests: tenant.keys.iter().map(digest).collect(),
        rate: tenant.rate.map(|rate| wire::Rate {
            per_second_milli: rate.per_second_milli,
            burst_milli: rate.burst_milli,
        }),
    }
}

fn decode_tenant(raw: wire::Tenant) -> Result<(String, Tenant)> {
    let digests = raw.digests.iter();
    let keys: Result<_> = digests
        .map(|digest| Digest::try_from(digest.as_slice()))
        .collect();
    let tenant = Tenant {
        keys: keys?,
        rate: raw.rate.map(|rate| Rate {
            per_second_milli: rate.per_second_milli,
            burst_milli: rate.burst_milli,
        }),
    };
    Ok((raw.name, tenant))
}
