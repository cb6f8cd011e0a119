//! Checked configuration.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Result, ensure};
use types::Name;

/// Configuration of a stand-in target.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the target.
    pub target: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Database that it holds.
    pub database: Name,
    /// Group of targets that replicate from one primary.
    pub group: Name,
    /// Region.
    pub region: Name,
    /// Failure domain.
    pub domain: Name,
    /// Address of the PostgreSQL protocol; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Primary to replicate from; none makes this target the primary.
    pub primary: Option<SocketAddr>,
    /// HTTP addresses of the entries to announce to.
    pub announce: Vec<SocketAddr>,
    /// Bearer token of announcements.
    pub token: String,
    /// How long an announcement holds.
    pub ttl: Duration,
    /// Connections that it accepts. Invariant: at least 1.
    pub connections: u32,
    /// Statements that it runs at once. Invariant: at least 1.
    pub slots: u32,
    /// Time to open a connection.
    pub open: Duration,
    /// Time of a statement.
    pub statement: Duration,
    /// Delay of replication.
    pub lag: Duration,
}

impl Config {
    /// A target without simulated limits or announcements.
    #[must_use]
    pub fn new(target: Name, group: Name, listen: SocketAddr) -> Self {
        Self {
            service: group.clone(),
            database: group.clone(),
            region: group.clone(),
            domain: group.clone(),
            target,
            group,
            listen,
            primary: None,
            announce: Vec::new(),
            token: String::new(),
            ttl: Duration::from_secs(3),
            connections: 35,
            slots: 5,
            open: Duration::ZERO,
            statement: Duration::ZERO,
            lag: Duration::ZERO,
        }
    }

    /// Checks the invariants of the fields.
    ///
    /// # Errors
    /// When a limit is out of its range.
    pub fn check(&self) -> Result<()> {
        ensure!(self.connections > 0, "connections must be at least 1");
        ensure!(self.slots > 0, "slots must be at least 1");
        ensure!(
            self.ttl >= Duration::from_millis(100),
            "ttl_ms must be at least 100"
        );
        ensure!(
            self.announce.len() <= 16,
            "announce takes at most 16 addresses"
        );
        Ok(())
    }
}
