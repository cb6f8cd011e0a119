//! State, role and announcement of a target.

use std::net::SocketAddr;

use crate::Name;

/// Administrative state of a target.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum State {
    /// Accepts sessions and transactions.
    #[default]
    Serving,
    /// Accepts no new sessions or transactions; open ones may finish.
    Draining,
    /// Accepts no new sessions or transactions and will be removed.
    Leaving,
}

/// Replication role of a target in its group.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replays the write-ahead log of the primary.
    Replica,
}

/// Description that a target sends of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// Unique in the system.
    pub target: Name,
    /// Service that the database belongs to.
    pub service: Name,
    /// Database that the target stores.
    pub database: Name,
    /// Group of targets that replicate from one primary.
    pub group: Name,
    pub region: Name,
    /// Failure domain.
    pub domain: Name,
    /// Address that speaks the PostgreSQL protocol.
    pub address: SocketAddr,
    /// Role that the target reports; the catalog decides which target is primary.
    pub role: Role,
    /// The target asks for no new sessions or transactions.
    pub leaving: bool,
    /// Maximum number of connections from all entries together. Invariant: at least 1.
    pub connections: u32,
    /// Maximum number of statements that run at the same time. Invariant: at least 1.
    pub slots: u32,
}
