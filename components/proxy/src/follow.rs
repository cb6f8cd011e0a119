//! Services and servers follow the registry and the plan.

use std::time::Instant;

use registry::plan::Format;

use crate::event::ConnKey;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::server::{Server, Service};
use clock::Clock;

/// Connections of each server that are left to coordinators and to entries that have just started.
const RESERVE: u32 = 4;
/// Fewest connections to a server that an entry may have.
const FEWEST: u32 = 1;

impl<P: Protocol, F: Format, C: Clock> Loop<P, F, C> {
    pub(crate) fn on_registry(&mut self, now: Instant) {
        self.follow_plan();
        self.clear_confirmed(now);
        self.follow_servers(now);
        for index in 0..self.services.len() {
            self.follow_primary(now, index);
            self.due.push(index);
        }
        self.open_first(now);
    }

    fn follow_plan(&mut self) {
        if self.registry.version() <= self.plan.version {
            return;
        }
        let Some(body) = self.registry.body() else {
            return;
        };
        match F::read(body) {
            Ok(plan) => {
                tracing::info!(
                    version = plan.version,
                    routes = plan.routes.len(),
                    services = plan.services.len(),
                    "plan in force"
                );
                self.plan = plan;
            }
            // The coordinators have checked it, so that this build reads plans otherwise.
            Err(findings) => {
                tracing::error!(
                    version = self.registry.version(),
                    ?findings,
                    "plan not readable"
                );
            }
        }
    }

    /// A primary that was only chosen leads now: nothing that was held against it counts.
    fn clear_confirmed(&mut self, now: Instant) {
        for service in &mut self.services {
            let token = self.registry.leader(&service.name);
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
            let service = &self.services[self.servers[index].service];
            let shared = service.connections.saturating_sub(RESERVE);
            let share = (shared / self.subscription.entries()).max(FEWEST);
            let server = &mut self.servers[index];
            server.set_share(share as usize, shared as usize);
            if registered.draining && server.draining_since.is_none() {
                server.draining_since = Some(now);
                tracing::info!(id = server.id, "server drains");
            }
        }
        for (index, present) in present.into_iter().enumerate() {
            if !present && self.servers[index].listed {
                self.retire(index);
            }
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
                self.open(now, index);
            }
        }
    }
}
