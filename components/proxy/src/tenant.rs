//! Tenants of the plan, as this proxy refers to them.

use std::collections::BTreeSet;

use ahash::HashMap;
use registry::Plan;
use registry::server::is_name;
use registry::tenant::{Digest, Tenant};

/// Number of names after which none is learned from other proxies. Names are never forgotten, so a
/// faulty peer could otherwise exhaust the memory.
const MAX_NAMES: usize = 10_000;

/// Identifies a tenant within this process. It stays valid after the tenant has left the plan.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(usize);

/// Who may use which route, by the keys of one plan.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct Keys {
    /// Digests of all keys with their tenants, by prefix of the digest.
    holders: HashMap<[u8; 8], Vec<(Digest, Id)>>,
    /// Names of the routes that require a key.
    private_routes: BTreeSet<String>,
}

impl Keys {
    fn new(plan: &Plan, mut id: impl FnMut(&str) -> Id) -> Self {
        let mut keys = Self::default();
        for (name, tenant) in &plan.tenants {
            let id = id(name);
            for digest in &tenant.keys {
                let holders = keys.holders.entry(digest.prefix()).or_default();
                holders.push((*digest, id));
            }
        }
        let private = plan.routes.iter().filter(|(_, route)| !route.public);
        keys.private_routes = private.map(|(name, _)| name.clone()).collect();
        keys
    }

    /// The tenant that holds a key.
    #[must_use]
    pub fn holder(&self, digest: &Digest) -> Option<Id> {
        let holders = self.holders.get(&digest.prefix())?;
        let holder = holders.iter().find(|(other, _)| other.matches(digest));
        holder.map(|(_, id)| *id)
    }

    /// Whether a tenant holds the key of a session, or its route requires none.
    #[must_use]
    pub fn admit(&self, route: &str, digest: Option<&Digest>) -> bool {
        let holder = digest.and_then(|digest| self.holder(digest));
        holder.is_some() || !self.private_routes.contains(route)
    }
}

/// Tenants by the keys that their callers present.
#[derive(Debug, Default)]
pub struct Directory {
    /// Names, indexed by id.
    names: Vec<String>,
    ids: HashMap<String, Id>,
    /// Keys of the plan.
    keys: Keys,
    /// Tenant with the highest rate.
    largest: Option<Id>,
}

impl Directory {
    /// Replaces the tenants with those of a plan. Returns the earlier keys if they differ.
    pub fn update(&mut self, plan: &Plan) -> Option<Keys> {
        let keys = Keys::new(plan, |name| self.id(name));
        let rate = |tenant: &Tenant| tenant.rate.map_or(0, |rate| rate.per_second_milli);
        let largest = plan.tenants.iter().max_by_key(|(_, tenant)| rate(tenant));
        self.largest = largest.map(|(name, _)| self.id(name));
        (keys != self.keys).then(|| std::mem::replace(&mut self.keys, keys))
    }

    /// The id of a tenant, which may be missing from the plan.
    pub fn id(&mut self, name: &str) -> Id {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = Id(self.names.len());
        self.names.push(name.to_owned());
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// The id of a tenant that another proxy has named; `None` if there are too many names, or if it
    /// cannot be a name of the plan.
    pub fn named_by_peer(&mut self, name: &str) -> Option<Id> {
        let known = self.ids.contains_key(name);
        let fits = || is_name(name) && self.names.len() < MAX_NAMES;
        (known || fits()).then(|| self.id(name))
    }

    /// The id of a tenant of the plan or of an earlier one.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<Id> {
        self.ids.get(name).copied()
    }

    #[must_use]
    pub fn name(&self, id: Id) -> &str {
        &self.names[id.0]
    }

    /// The tenant that holds a key, if there is one in the plan.
    #[must_use]
    pub fn holder(&self, digest: &Digest) -> Option<Id> {
        self.keys.holder(digest)
    }

    #[must_use]
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// The tenant with the highest rate, which most likely has the next caller; `None` without
    /// tenants.
    #[must_use]
    pub fn largest(&self) -> Option<Id> {
        self.largest
    }
}
