//! Services and servers follow the registry and the plan.

use std::time::Instant;

use crate::event::ConnKey;
use crate::lenders::LENDERS;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::server::{Server, Service};
use clock::Clock;

/// Connections of each server that are left to coordinators and to entries that have just started.
const RESERVE: u32 = 4;
/// Fewest connections to a server that an entry may have.
const FEWEST: usize = 1;
/// Equal share below which entries lend each other connections.
const SPARSE: usize = 2;

impl<P: Protocol, C: Clock> Loop<P, C> {
    pub(crate) fn on_registry(&mut self, now: Instant) {
        self.clear_confirmed(now);
        self.follow_servers(now);
        for index in 0..self.services.len() {
            self.follow_primary(now, index);
            self.due.push(index);
        }
        self.open_first(now);
    }

    /// A primary that was only chosen leads now: nothing that was held against it counts.
    fn clear_confirmed(&mut self, now: Instant) {
        for service in &mut self.services {
            let token = self.registry.chosen_primary(&service.name);
            let token = token.filter(|it| it.confirmed).map_or(0, |it| it.token);
            if token > service.confirmed {
                service.confirmed = token;
                service.confirmed_at = Some(now);
                service.slow_since = None;
                service.missed_since = None;
            }
        }
    }

    fn service(&mut self, name: &str) -> usize {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let index = self.services.len();
        self.services.push(Service::new(name));
        self.find_lenders(index);
        self.names.insert(name.to_owned(), index);
        index
    }

    fn follow_servers(&mut self, now: Instant) {
        let names: Vec<String> = self.plan.services.keys().cloned().collect();
        for name in names {
            let index = self.service(&name);
            self.services[index].connections = self.plan.services[&name].connections;
        }
        let listed: Vec<registry::Server> = self.registry.servers().cloned().collect();
        let mut present = vec![false; self.servers.len()];
        for registered in &listed {
            let index = self.server(registered);
            if index >= present.len() {
                present.resize(index + 1, false);
            }
            present[index] = true;
            let server = &mut self.servers[index];
            if registered.draining && server.draining_since.is_none() {
                server.draining_since = Some(now);
                tracing::info!(id = server.id, "server drains");
            }
        }
        for service in 0..self.services.len() {
            self.share_out(service);
        }
        for (index, present) in present.into_iter().enumerate() {
            if !present && self.servers[index].listed {
                self.retire(index);
                self.deny_asked(now, index, true);
            }
        }
    }

    /// This entry's share of the connections of a service's servers, what all share, and whether other
    /// entries keep them. An equal share below this many is kept by a few entries for all.
    fn share(&self, service: usize) -> (usize, usize, bool) {
        let service = &self.services[service];
        let shared = service.connections.saturating_sub(RESERVE) as usize;
        let equal = shared / self.subscription.entries() as usize;
        let lends = service
            .lends
            .map(|it| it || service.stands_in_until.is_some());
        match lends.filter(|_| equal < SPARSE) {
            None => (equal.max(FEWEST), shared, false),
            Some(true) => {
                let lent = shared / self.settings.domains / LENDERS;
                (lent.max(FEWEST), shared, false)
            }
            Some(false) => (FEWEST, shared, !service.lenders.is_empty()),
        }
    }

    /// Sets the shares of a service's servers.
    pub(crate) fn share_out(&mut self, service: usize) {
        let (share, shared, borrows) = self.share(service);
        for index in &self.services[service].servers {
            let server = &mut self.servers[*index];
            server.set_share(share, shared);
            server.borrows = borrows;
        }
    }

    /// The server of a registry's entry; a new life or another address is another server.
    fn server(&mut self, registered: &registry::Server) -> usize {
        if let Some(index) = self.indices.get(&registered.id).copied() {
            let known = &self.servers[index];
            let same = known.listed
                && known.life.born == registered.life.born
                && known.address == registered.address
                && self.services[known.service].name == registered.service;
            if same {
                return index;
            }
            self.retire(index);
        }
        let service = self.service(&registered.service);
        let local = registered.domain == self.settings.domain;
        let index = self.servers.len();
        self.servers.push(Server::new(registered, service, local));
        self.services[service].servers.push(index);
        self.indices.insert(registered.id.clone(), index);
        index
    }

    /// A server has left: nothing new goes there, and what runs may end.
    fn retire(&mut self, index: usize) {
        let server = &mut self.servers[index];
        tracing::info!(id = server.id, "server gone");
        server.listed = false;
        let service = &mut self.services[server.service];
        service.servers.retain(|other| *other != index);
        let idle: Vec<ConnKey> = std::mem::take(&mut server.idle);
        for key in idle {
            self.close_conn(key);
        }
    }

    fn follow_primary(&mut self, now: Instant, index: usize) {
        let service = &self.services[index];
        let primary = self.registry.primary(&service.name);
        let primary = primary.and_then(|server| self.indices.get(&server.id).copied());
        if primary == service.primary {
            return;
        }
        let id = primary.map(|primary| self.servers[primary].id.as_str());
        tracing::info!(service = service.name, primary = id, "primary");
        let service = &mut self.services[index];
        service.primary = primary;
        service.missed_since = None;
        if let Some(primary) = primary {
            // What was held against it may have been that it did not lead yet.
            self.servers[primary].forgive(now);
        }
    }

    /// Opens a first connection to servers that have none, so that the first statement needs not
    /// wait for it.
    fn open_first(&mut self, now: Instant) {
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            let wanted = server.listed && server.draining_since.is_none() && !server.is_crowded();
            if wanted && server.conns.is_empty() && server.has_room(now) {
                self.open(now, index, 0);
            }
        }
    }
}
