//! Tenants of the plan, as this proxy refers to them.

use ahash::HashMap;
use registry::Plan;
use registry::tenant::{Digest, Tenant};

/// Identifies a tenant within this process. It stays valid after the tenant has left the plan.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(usize);

/// Tenants by the keys that their callers present.
#[derive(Debug, Default)]
pub struct Directory {
    /// Names, indexed by id.
    names: Vec<String>,
    ids: HashMap<String, Id>,
    /// Digests of all keys of the plan with their tenants, by prefix of the digest.
    keys: HashMap<[u8; 8], Vec<(Digest, Id)>>,
    /// Tenant with the highest rate.
    largest: Option<Id>,
}

impl Directory {
    /// Replaces the tenants with those of a plan.
    pub fn update(&mut self, plan: &Plan) {
        self.keys.clear();
        for (name, tenant) in &plan.tenants {
            let id = self.id(name);
            for digest in &tenant.keys {
                let holders = self.keys.entry(digest.prefix()).or_default();
                holders.push((*digest, id));
            }
        }
        let rate = |tenant: &Tenant| tenant.rate.map_or(0, |rate| rate.per_second_milli);
        let largest = plan.tenants.iter().max_by_key(|(_, tenant)| rate(tenant));
        self.largest = largest.map(|(name, _)| self.id(name));
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
        let holders = self.keys.get(&digest.prefix())?;
        let holder = holders.iter().find(|(other, _)| other.matches(digest));
        holder.map(|(_, id)| *id)
    }

    /// The tenant with the highest rate, which most likely has the next caller; `None` without
    /// tenants.
    #[must_use]
    pub fn largest(&self) -> Option<Id> {
        self.largest
    }
}
