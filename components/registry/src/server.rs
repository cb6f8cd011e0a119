//! Servers as they describe themselves.

use std::net::SocketAddr;

use types::Name;
use types::target::Role;

/// A moment in the lives of a server. Ordered: a later start, then a later heartbeat.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Life {
    /// Unix milliseconds of its start; 0 if it did not say.
    pub born: u64,
    /// Counts the heartbeats of this life.
    pub sequence: u64,
}

/// A server of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Its identity, which it keeps over a restart.
    pub id: String,
    /// Service whose data it holds.
    pub service: String,
    /// Where it takes connections. Another server may have it later.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Statements that it runs at a time.
    pub slots: u32,
    /// It is about to leave: it takes no new work.
    pub draining: bool,
    /// What it takes itself for.
    pub role: Role,
    /// Heartbeat that this was taken from.
    pub life: Life,
}

impl Server {
    /// Whether `other` differs in more than its sequence.
    #[must_use]
    pub fn differs(&self, other: &Self) -> bool {
        let mut same = other.clone();
        same.life.sequence = self.life.sequence;
        same != *self
    }
}
