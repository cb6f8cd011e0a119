//! Targets: their state, role and what they announce.

use std::net::SocketAddr;

use crate::Name;

/// What operators let a target do.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum State {
    /// Takes any work.
    #[default]
    Serving,
    /// Takes no new sessions or transactions; open ones finish.
    Draining,
    /// Takes no new work and is about to go.
    Leaving,
}

/// Part that a target plays in its database group.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Replays the writes of the primary.
    Replica,
}

/// What a target says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// Name of the target, unique in the system.
    pub target: Name,
    /// Service that the database belongs to.
    pub service: Name,
    /// Database that the target holds.
    pub database: Name,
    /// Group of targets that replicate from one primary.
    pub group: Name,
    /// Region of the target.
    pub region: Name,
    /// Failure domain of the target.
    pub domain: Name,
    /// Address of the PostgreSQL protocol.
    pub address: SocketAddr,
    /// Role that the target sees itself in; the catalog decides who is primary.
    pub role: Role,
    /// The target's owner wants no new work on it.
    pub leaving: bool,
    /// Connections that the target accepts from all entries together. Invariant: at least 1.
    pub connections: u32,
    /// Statements that the target runs at once. Invariant: at least 1.
    pub slots: u32,
}
