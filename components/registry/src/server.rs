//! Servers as they describe themselves in heartbeats.

use std::net::SocketAddr;

use types::Name;
use types::target::Role;

/// Position of a heartbeat in a server's history, ordered by process start, then by heartbeat.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Life {
    /// Process start in Unix milliseconds; 0 if the server did not send it.
    pub born: u64,
    /// Number of the heartbeat since the process start.
    pub sequence: u64,
}

/// A database server of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Kept over restarts.
    pub id: String,
    pub service: String,
    /// Address for connections. Another server may use it later.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Number of statements that it runs concurrently.
    pub slots: u32,
    /// About to leave: accepts no new work.
    pub draining: bool,
    /// Role that the server reports for itself.
    pub role: Role,
    /// Heartbeat that carried these values.
    pub life: Life,
}

impl Server {
    /// Whether `other` differs in more than the heartbeat number.
    #[must_use]
    pub fn differs(&self, other: &Self) -> bool {
        let mut aligned = other.clone();
        aligned.life.sequence = self.life.sequence;
        aligned != *self
    }
}
