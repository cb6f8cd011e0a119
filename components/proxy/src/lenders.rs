//! Which entries of a failure domain lend connections. Where entries outnumber a server's connections
//! a few of them keep all, and the others borrow one for each use: opening a connection for its use
//! costs the server as much as a short statement.

use std::net::SocketAddr;

use sha2::{Digest as _, Sha256};

/// Lenders of a service in a failure domain. A second one keeps the service going while the first
/// one is lost, and takes half of the load.
pub const LENDERS: usize = 2;

/// Entries that are asked where no lender can be.
pub const STAND_INS: usize = 2;

/// An entry of the own failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Neighbour {
    /// Its name.
    pub instance: String,
    /// Where it takes streams from other entries.
    pub address: SocketAddr,
}

/// Entries in the order in which they lend connections of a service. All entries that know of the same
/// ones agree, and the loss of one moves only what it had lent.
#[must_use]
pub fn ranked<'a>(entries: &'a [Neighbour], service: &str) -> Vec<&'a Neighbour> {
    let weight = |entry: &Neighbour| {
        let mut hash = Sha256::new();
        hash.update(service.as_bytes());
        hash.update([0]);
        hash.update(entry.instance.as_bytes());
        hash.finalize()
    };
    let mut weighted: Vec<_> = entries.iter().map(|entry| (weight(entry), entry)).collect();
    weighted.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighted.into_iter().map(|(_, entry)| entry).collect()
}

/// Which of a service's lenders an entry asks first, so that each lends to a part of the entries.
#[must_use]
pub fn preferred(instance: &str, service: &str) -> usize {
    let mut hash = Sha256::new();
    hash.update(instance.as_bytes());
    hash.update([0]);
    hash.update(service.as_bytes());
    usize::from(hash.finalize()[0]) % LENDERS
}
