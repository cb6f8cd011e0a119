//! Updates services and servers from the registry and the plan.

use std::time::Instant;

use crate::event::ConnKey;
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::server::Server;
use crate::service::Service;
use crate::session::Urgency;
use clock::Clock;

impl<P: Protocol, C: Clock> Loop<P, C> {
    pub(crate) fn on_registry(&mut self, now: Instant) {
        self.on_promotions_confirmed(now);
        self.update_servers(now);
        for index in 0..self.services.len() {
            self.update_primary(now, index);
            self.due_services.push(index);
        }
        self.open_first_conns(now);
    }

    /// Resets the records about a primary once its promotion is confirmed, as they stem from the
    /// time before it led.
    fn on_promotions_confirmed(&mut self, now: Instant) {
        for service in &mut self.services {
            let token = self.registry.chosen_primary(&service.name);
            let token = token
                .filter(|promotion| promotion.confirmed)
                .map_or(0, |promotion| promotion.token);
            if token > service.confirmed_token {
                service.confirmed_token = token;
                service.confirmed_at = Some(now);
                service.slow_since = None;
                service.unusable_since = None;
            }
        }
    }

    fn service_index(&mut self, name: &str) -> usize {
        if let Some(index) = self.service_indices.get(name) {
            return *index;
        }
        let index = self.services.len();
        self.services.push(Service::new(name));
        self.update_lenders(index);
        self.service_indices.insert(name.to_owned(), index);
        index
    }

    fn update_servers(&mut self, now: Instant) {
        self.update_lending_mode();
        let names: Vec<String> = self.plan.services.keys().cloned().collect();
        for name in names {
            let index = self.service_index(&name);
            self.services[index].connections = self.plan.services[&name].connections;
        }
        let listed: Vec<registry::Server> = self.registry.servers().cloned().collect();
        let mut present = vec![false; self.servers.len()];
        for registered in &listed {
            let index = self.server_index(registered);
            if index >= present.len() {
                present.resize(index + 1, false);
            }
            present[index] = true;
            let server = &mut self.servers[index];
            if registered.draining && server.draining_since.is_none() {
                server.draining_since = Some(now);
                tracing::info!(id = server.id, "server is draining");
            }
        }
        for service in 0..self.services.len() {
            self.update_shares(now, service);
        }
        for (index, present) in present.into_iter().enumerate() {
            if !present && self.servers[index].listed {
                self.remove_server(index);
                self.deny_waiters(now, index, true);
            }
        }
    }

    /// The index of a registered server. A new life or another address makes it another server.
    fn server_index(&mut self, registered: &registry::Server) -> usize {
        if let Some(index) = self.server_indices.get(&registered.id).copied() {
            let server = &self.servers[index];
            let unchanged = server.listed
                && server.life.born == registered.life.born
                && server.address == registered.address
                && self.services[server.service].name == registered.service;
            if unchanged {
                return index;
            }
            self.remove_server(index);
        }
        let service = self.service_index(&registered.service);
        let local = registered.domain == self.settings.domain;
        let index = self.servers.len();
        self.servers.push(Server::new(registered, service, local));
        self.services[service].servers.push(index);
        self.server_indices.insert(registered.id.clone(), index);
        self.update_server_lenders(index);
        index
    }

    /// Removes a server: it gets no new statements, and those that run may finish.
    fn remove_server(&mut self, index: usize) {
        let server = &mut self.servers[index];
        tracing::info!(id = server.id, "server removed");
        server.listed = false;
        let service = &mut self.services[server.service];
        service.servers.retain(|other| *other != index);
        let idle: Vec<ConnKey> = std::mem::take(&mut server.idle);
        for key in idle {
            self.close_conn(key);
        }
    }

    fn update_primary(&mut self, now: Instant, index: usize) {
        let service = &self.services[index];
        let primary = self.registry.primary(&service.name);
        let primary = primary.and_then(|server| self.server_indices.get(&server.id).copied());
        if primary == service.primary {
            return;
        }
        let id = primary.map(|primary| self.servers[primary].id.as_str());
        tracing::info!(
            service = service.name,
            primary = id,
            "primary of a service changed"
        );
        if primary.is_some() {
            self.report_commits_beyond_choice(index);
        }
        let service = &mut self.services[index];
        service.primary = primary;
        service.unusable_since = None;
        if let Some(primary) = primary {
            // Its failures may only show that it did not lead yet.
            self.servers[primary].clear_failures(now);
        }
    }

    /// Opens a connection to each server that has none, so that the first statement need not wait
    /// for it. The tenant with the highest rate can most likely use it.
    fn open_first_conns(&mut self, now: Instant) {
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            let wanted =
                server.listed && server.draining_since.is_none() && !server.is_oversubscribed();
            if wanted && server.conns.is_empty() && server.has_room(now) {
                let tenant = self.directory.largest();
                self.open(now, index, tenant, Urgency::first(now));
            }
        }
    }
}
