//! Lists of the running entries as they are sent to entries: of the own failure domain, or of all
//! domains if the plan has tenants, as entries then borrow connections across domains.

use std::time::Instant;

use registry::Plan;
use wire::{Neighbour, Publish};

use crate::api::Api;
use crate::process::Loop;
use crate::servers::Connection;

impl<A: Api, C: Connection> Loop<A, C> {
    /// The list for an entry in a failure domain; `None` before one is published.
    pub(crate) fn list_for(&self, domain: &str) -> Option<Vec<Neighbour>> {
        if self.plan.tenants.is_empty() {
            return self.neighbours.in_domain(domain).cloned();
        }
        Some(self.neighbours.all()).filter(|list| !list.is_empty())
    }

    /// Sends the list of the subscribed entries to the other instances, and changed lists to the
    /// entries.
    pub(crate) fn publish_entries(&mut self, now: Instant) {
        let own = self.subscribers.entries();
        if let Some(entries) = self.neighbours.next_message(now, &own) {
            let message = cluster::convert::entries(self.node.identity(), entries);
            self.peers.send_all(&message);
        }
        if !self.plan.tenants.is_empty() {
            if let Some(entries) = self.neighbours.update_all(now, own) {
                tracing::info!(entries = entries.len(), "list of all entries changed");
                self.subscribers.publish(&Publish::Entries(entries));
            }
            return;
        }
        for (domain, entries) in self.neighbours.update(now, own) {
            tracing::info!(domain, entries = entries.len(), "list of entries changed");
            self.subscribers.publish_to_domain(&domain, &entries);
        }
    }

    /// Replaces the plan. Before entries learn that it has its first tenant they get the list of all
    /// domains, which they need from then on; they get that of their own one after the last is gone.
    pub(crate) fn replace_plan(&mut self, next: Plan, publish: impl FnOnce(&mut Self, Plan)) {
        let had_tenants = !self.plan.tenants.is_empty();
        let has_tenants = !next.tenants.is_empty();
        let all = self.neighbours.all();
        if has_tenants && !had_tenants && !all.is_empty() {
            self.subscribers.publish(&Publish::Entries(all));
        }
        let earlier = std::mem::replace(&mut self.plan, next);
        publish(self, earlier);
        if had_tenants && !has_tenants {
            for (domain, entries) in self.neighbours.by_domain() {
                self.subscribers.publish_to_domain(domain, entries);
            }
        }
    }
}
