//! This proxy's shares of the servers' connections: which it holds, lends or has to borrow.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clock::Clock;

use crate::lenders::{Duty, LENDER_COUNT, Lending, Neighbour, ranked, ranked_for_server};
use crate::process::Loop;
use crate::protocol::Protocol;
use crate::server::Server;

/// Connections of each server that are reserved for coordinators and for proxies that have just
/// started.
const RESERVED_CONNECTIONS: u32 = 4;
/// Minimum number of connections to a server that a proxy may have.
const MIN_SHARE: usize = 1;
/// If the equal share is below this number, proxies lend each other connections.
const MIN_EQUAL_SHARE: usize = 2;
/// How long a proxy lends in place of the lenders after the last request that made it do so.
const BACKUP_PERIOD: Duration = Duration::from_secs(4);

impl<P: Protocol, C: Clock> Loop<P, C> {
    /// Replaces the list of the proxies that may lend.
    pub(crate) fn on_neighbours(&mut self, list: &[wire::Neighbour]) {
        let neighbour = |raw: &wire::Neighbour| {
            Some(Neighbour {
                instance: raw.instance.clone(),
                domain: raw.domain.clone(),
                address: raw.address.parse().ok()?,
            })
        };
        self.lenders.neighbours = list.iter().filter_map(neighbour).collect();
        tracing::info!(
            entries = self.lenders.neighbours.len(),
            "received the list of proxies"
        );
        let neighbours = &self.lenders.neighbours;
        let listed =
            |address: &SocketAddr| neighbours.iter().any(|known| known.address == *address);
        self.lenders
            .streams
            .retain(|address, lender| listed(address) || !lender.loans.is_empty());
        self.update_all_lenders();
        self.registry_changed = true;
    }

    /// Chooses lenders for servers or for services, whichever the plan asks for.
    pub(crate) fn update_lending_mode(&mut self) {
        let by_server = !self.plan.tenants.is_empty();
        if std::mem::replace(&mut self.lenders.by_server, by_server) != by_server {
            self.update_all_lenders();
        }
    }

    fn update_all_lenders(&mut self) {
        for service in 0..self.services.len() {
            self.update_lenders(service);
        }
        for server in 0..self.servers.len() {
            self.update_server_lenders(server);
        }
    }

    /// Updates which proxies of this failure domain lend connections of a service.
    pub(crate) fn update_lenders(&mut self, index: usize) {
        let domain = self.settings.domain.as_str();
        let neighbours = self.lenders.neighbours.iter();
        let local = neighbours.filter(|neighbour| neighbour.domain == domain);
        let service = &mut self.services[index];
        let ranked = ranked(local, &service.name);
        let instance = self.settings.instance.as_str();
        service.lending.update(instance, ranked);
    }

    /// Updates which proxies lend connections of a server.
    pub(crate) fn update_server_lenders(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.no_lender_until = None;
        server.denied.clear();
        if self.lenders.by_server {
            let neighbours = &self.lenders.neighbours;
            let ranked = ranked_for_server(neighbours, server.domain.as_str(), &server.id);
            let instance = self.settings.instance.as_str();
            server.lending.update(instance, ranked);
        }
    }

    /// The lenders that count for a server.
    pub(crate) fn lending<'a>(&'a self, server: &'a Server) -> &'a Lending {
        if self.lenders.by_server {
            &server.lending
        } else {
            &self.services[server.service].lending
        }
    }

    /// Returns this proxy's share of the connections of a service's servers, the number of
    /// connections that all proxies share, and whether this proxy has to borrow them from lenders.
    fn share(&self, service: usize) -> (usize, usize, bool) {
        let service = &self.services[service];
        let shared_total = service.connections.saturating_sub(RESERVED_CONNECTIONS) as usize;
        let equal_share = shared_total / self.subscription.proxy_count() as usize;
        let known = service.lending.duty != Duty::Unknown;
        if !known || equal_share >= MIN_EQUAL_SHARE {
            (equal_share.max(MIN_SHARE), shared_total, false)
        } else if service.lending.lends() {
            let lender_share = shared_total / self.settings.domains / LENDER_COUNT;
            (lender_share.max(MIN_SHARE), shared_total, false)
        } else {
            let has_others = service.lending.has_others(self.settings.instance.as_str());
            (MIN_SHARE, shared_total, has_others)
        }
    }

    /// Updates the shares of a service's servers.
    pub(crate) fn update_shares(&mut self, now: Instant, service: usize) {
        if self.lenders.by_server {
            for index in self.services[service].servers.clone() {
                self.update_server_share(now, index);
            }
            return;
        }
        let (share, shared_total, borrows) = self.share(service);
        for index in &self.services[service].servers {
            let server = &mut self.servers[*index];
            server.set_share(share, shared_total);
            server.uses_lenders = borrows;
        }
    }

    /// Updates the share of a server whose lenders are chosen for itself. All other proxies hold no
    /// connection, so that the lenders' shares add up to what proxies may use.
    fn update_server_share(&mut self, now: Instant, index: usize) {
        let server = &mut self.servers[index];
        let connections = self.services[server.service].connections;
        let shared_total = connections.saturating_sub(RESERVED_CONNECTIONS) as usize;
        let lends = server.lending.lends();
        let share = (shared_total / LENDER_COUNT).max(MIN_SHARE);
        server.set_exact_share(if lends { share } else { 0 });
        let lent = !std::mem::replace(&mut server.uses_lenders, !lends);
        if lent && !lends {
            // They ask the other lenders.
            self.deny_waiters(now, index, false);
        }
    }

    /// Whether other proxies may borrow a server's connections from this one.
    pub(crate) fn may_lend(&self, index: usize) -> bool {
        let duty = self.servers[index].lending.duty;
        !self.lenders.by_server || matches!(duty, Duty::Lends | Duty::StandsIn)
    }

    /// Lends a server's connections in place of its lenders, as a borrower could get none from them.
    pub(crate) fn start_or_extend_backup(&mut self, now: Instant, index: usize) {
        let until = Some(now + BACKUP_PERIOD);
        let server = &mut self.servers[index];
        let service = server.service;
        if !self.lenders.by_server {
            if server.uses_lenders {
                tracing::info!(
                    service = self.services[service].name,
                    "lending connections in place of the lenders of a service"
                );
                self.services[service].lending.backup_until = until;
                self.update_shares(now, service);
            }
            return;
        }
        if server.lending.duty != Duty::StandsIn {
            return;
        }
        if server.lending.backup_until.is_none() {
            tracing::info!(
                id = server.id,
                "lending connections in place of the lenders of a server"
            );
        }
        server.lending.backup_until = until;
        self.update_server_share(now, index);
    }

    /// Stops lending in place of lenders that are available again.
    pub(crate) fn end_backup_lending(&mut self, now: Instant) {
        let over = |until: &mut Instant| *until <= now;
        for index in 0..self.services.len() {
            let lending = &mut self.services[index].lending;
            if lending.backup_until.take_if(over).is_some() {
                self.update_shares(now, index);
            }
        }
        for index in 0..self.servers.len() {
            let lending = &mut self.servers[index].lending;
            if lending.backup_until.take_if(over).is_some() && self.lenders.by_server {
                self.update_server_share(now, index);
            }
        }
    }
}
