//! Which proxies lend connections.
//!
//! If the proxies outnumber a server's connections, a few of them keep all connections and the
//! others borrow one for each use: opening a connection for each use would cost the server as much
//! as a short statement. With tenants in the plan, lenders are chosen for each server among the
//! proxies of its failure domain, and otherwise for each service in each domain.

use std::net::SocketAddr;
use std::time::Instant;

use sha2::{Digest as _, Sha256};

/// Number of lenders of a server, or of a service in a failure domain. The second one takes half of the load and
/// keeps the service going if the first one is lost.
pub const LENDER_COUNT: usize = 2;

/// Number of proxies that are asked next if no lender is available.
pub const BACKUP_LENDER_COUNT: usize = 2;

/// A proxy, which may be this proxy itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Neighbour {
    /// Instance name.
    pub instance: String,
    /// Failure domain.
    pub domain: String,
    /// Address for streams from other proxies.
    pub address: SocketAddr,
}

/// Orders proxies by their preference as lenders of a service or server. Proxies with the same list
/// agree on the order, and the loss of one moves only the connections that it had lent.
#[must_use]
pub fn ranked<'a>(
    neighbours: impl IntoIterator<Item = &'a Neighbour>,
    name: &str,
) -> Vec<&'a Neighbour> {
    let weight = |neighbour: &Neighbour| {
        let mut hash = Sha256::new();
        hash.update(name.as_bytes());
        hash.update([0]);
        hash.update(neighbour.instance.as_bytes());
        hash.finalize()
    };
    let mut weighted: Vec<_> = neighbours
        .into_iter()
        .map(|neighbour| (weight(neighbour), neighbour))
        .collect();
    weighted.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighted
        .into_iter()
        .map(|(_, neighbour)| neighbour)
        .collect()
}

/// Orders proxies by their preference as lenders of a server in `domain`: those of the domain first.
/// The others follow, so that a domain with few proxies or none has lenders and stand-ins as well.
#[must_use]
pub fn ranked_for_server<'a>(
    neighbours: &'a [Neighbour],
    domain: &str,
    server: &str,
) -> Vec<&'a Neighbour> {
    let mut all = ranked(neighbours, server);
    all.sort_by_key(|neighbour| neighbour.domain != domain);
    all
}

/// What this proxy does for the connections of a server or service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Duty {
    /// No proxies are known.
    #[default]
    Unknown,
    /// Holds a part of the connections and lends them.
    Lends,
    /// Borrows them, and lends if borrowers reach no lender.
    StandsIn,
    Borrows,
}

/// Lenders of a server or service, as this proxy sees them.
#[derive(Debug, Default)]
pub struct Lending {
    pub duty: Duty,
    /// Until when this proxy lends in place of the lenders.
    pub backup_until: Option<Instant>,
    /// Lenders and stand-ins by preference, which may include this proxy.
    preferred: Vec<Neighbour>,
}

impl Lending {
    /// Replaces the proxies, given in their order of preference.
    pub fn update(&mut self, instance: &str, ranked: Vec<&Neighbour>) {
        let is_self = |neighbour: &&Neighbour| neighbour.instance == instance;
        self.duty = match ranked.iter().position(is_self) {
            _ if ranked.is_empty() => Duty::Unknown,
            Some(rank) if rank < LENDER_COUNT => Duty::Lends,
            Some(rank) if rank < LENDER_COUNT + BACKUP_LENDER_COUNT => Duty::StandsIn,
            _ => Duty::Borrows,
        };
        let preferred = ranked.into_iter().take(LENDER_COUNT + BACKUP_LENDER_COUNT);
        self.preferred = preferred.cloned().collect();
    }

    /// Whether this proxy can ask another one for connections.
    #[must_use]
    pub fn has_others(&self, instance: &str) -> bool {
        self.preferred
            .iter()
            .any(|neighbour| neighbour.instance != instance)
    }

    /// Whether this proxy lends now, as a lender or in place of one.
    #[must_use]
    pub fn lends(&self) -> bool {
        self.duty == Duty::Lends || (self.duty != Duty::Unknown && self.backup_until.is_some())
    }

    /// The other proxies in the order in which `instance` asks them, and whether each is a lender
    /// rather than a stand-in.
    pub fn ask_order(
        &self,
        instance: &str,
        tenant: Option<&str>,
        name: &str,
    ) -> Vec<(SocketAddr, bool)> {
        let mut order: Vec<_> = self.preferred.iter().enumerate().collect();
        if order.len() >= LENDER_COUNT {
            order[..LENDER_COUNT].rotate_left(preferred(instance, tenant, name));
        }
        order
            .into_iter()
            .filter(|(_, neighbour)| neighbour.instance != instance)
            .map(|(rank, neighbour)| (neighbour.address, rank < LENDER_COUNT))
            .collect()
    }
}

/// Index of the lender that a proxy asks first. All proxies ask the same one for a tenant, so that the
/// tenant's connections are reused; without tenants each lender serves a part of the proxies.
#[must_use]
pub fn preferred(instance: &str, tenant: Option<&str>, name: &str) -> usize {
    let mut hash = Sha256::new();
    hash.update(tenant.unwrap_or(instance).as_bytes());
    hash.update([0]);
    hash.update(name.as_bytes());
    usize::from(hash.finalize()[0]) % LENDER_COUNT
}
