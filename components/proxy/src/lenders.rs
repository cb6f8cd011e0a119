//! Which proxies of a failure domain lend connections.
//!
//! If the proxies outnumber a server's connections, a few of them keep all connections and the
//! others borrow one for each use: opening a connection for each use would cost the server as much
//! as a short statement.

use std::net::SocketAddr;

use sha2::{Digest as _, Sha256};

/// Number of lenders of a service in a failure domain. The second one takes half of the load and
/// keeps the service going if the first one is lost.
pub const LENDER_COUNT: usize = 2;

/// Number of proxies that are asked next if no lender is available.
pub const BACKUP_LENDER_COUNT: usize = 2;

/// A proxy of this failure domain, which may be this proxy itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Neighbour {
    /// Instance name.
    pub instance: String,
    /// Address for streams from other proxies.
    pub address: SocketAddr,
}

/// Orders proxies by their preference as lenders of a service. Proxies with the same list agree on
/// the order, and the loss of one moves only the connections that it had lent.
#[must_use]
pub fn ranked<'a>(neighbours: &'a [Neighbour], service: &str) -> Vec<&'a Neighbour> {
    let weight = |neighbour: &Neighbour| {
        let mut hash = Sha256::new();
        hash.update(service.as_bytes());
        hash.update([0]);
        hash.update(neighbour.instance.as_bytes());
        hash.finalize()
    };
    let mut weighted: Vec<_> = neighbours
        .iter()
        .map(|neighbour| (weight(neighbour), neighbour))
        .collect();
    weighted.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighted
        .into_iter()
        .map(|(_, neighbour)| neighbour)
        .collect()
}

/// Index of the lender that a proxy asks first. All proxies ask the same one for a tenant, so that the
/// tenant's connections are reused; without tenants each lender serves a part of the proxies.
#[must_use]
pub fn preferred(instance: &str, tenant: Option<&str>, service: &str) -> usize {
    let mut hash = Sha256::new();
    hash.update(tenant.unwrap_or(instance).as_bytes());
    hash.update([0]);
    hash.update(service.as_bytes());
    usize::from(hash.finalize()[0]) % LENDER_COUNT
}
