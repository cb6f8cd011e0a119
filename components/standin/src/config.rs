//! Configuration.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Result, ensure};
use types::Name;

/// Configuration of a stand-in target.
#[derive(Clone, Debug)]
pub struct Config {
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
    /// Address that speaks the PostgreSQL protocol; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Primary to replicate from; `None` makes this target the primary.
    pub primary: Option<SocketAddr>,
    /// HTTP addresses of the entries to announce to; at most 16.
    pub announce: Vec<SocketAddr>,
    /// Bearer token of announcements.
    pub token: String,
    /// Time to live of an announcement; at least 100 ms.
    pub ttl: Duration,
    /// Maximum number of connections; at least 1.
    pub connections: u32,
    /// Maximum number of statements that run at the same time; at least 1.
    pub slots: u32,
    /// Simulated time to open a connection.
    pub open: Duration,
    /// Simulated execution time of a statement.
    pub statement: Duration,
    /// Simulated replication delay.
    pub lag: Duration,
}

impl Config {
    /// Configuration of a target without simulated delays and without announcements.
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

    /// Checks the ranges of the fields.
    ///
    /// # Errors
    /// When a field is out of its range.
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
