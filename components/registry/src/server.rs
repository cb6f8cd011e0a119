//! Servers as they describe themselves in heartbeats.

use std::net::{IpAddr, SocketAddr};

use anyhow::{Context, Error, Result, ensure};
use types::Name;
use types::target::Role;

/// Limit of server ids and service names, which must not be empty nor hold blanks or control
/// characters: connections to servers name them as fields of a line.
pub const MAX_NAME_BYTES: usize = 200;
/// Latest accepted start of a process, in Unix milliseconds: the end of the year 9999. A later one
/// would make every other life of the address or of the service an earlier one.
const MAX_BORN_MS: u64 = 253_402_300_799_999;

/// Position of a heartbeat in a server's history, ordered by process start, then by heartbeat.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Life {
    /// Process start in Unix milliseconds; 0 if the server did not send it.
    pub born: u64,
    /// Number of the heartbeat since the process start.
    pub sequence: u64,
}

/// A database server of a service.
///
/// Other crates create it from a [`wire::Server`] only, so that a description which the log
/// refuses can't be proposed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub struct Server {
    /// Kept over restarts. Invariant: see [`MAX_NAME_BYTES`].
    pub id: String,
    /// Invariant: see [`MAX_NAME_BYTES`].
    pub service: String,
    /// Address for connections. Another server may use it later. Invariant: can be dialed.
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
    /// This server once it has announced, in the given life, that it leaves.
    #[must_use]
    pub fn leaving(&self, life: Life) -> Self {
        Self {
            draining: true,
            life: life.max(self.life),
            ..self.clone()
        }
    }

    /// Whether `other` differs in more than the heartbeat number.
    #[must_use]
    pub fn differs(&self, other: &Self) -> bool {
        let mut aligned = other.clone();
        aligned.life.sequence = self.life.sequence;
        aligned != *self
    }
}

impl TryFrom<wire::Server> for Server {
    type Error = Error;

    fn try_from(raw: wire::Server) -> Result<Self> {
        ensure_name("server id", &raw.id)?;
        ensure_name("service name", &raw.service)?;
        ensure!(raw.born <= MAX_BORN_MS, "invalid start: {}", raw.born);
        let address: SocketAddr = raw.address.parse().context("invalid server address")?;
        ensure!(is_dialable(address), "no server can listen on {address}");
        Ok(Self {
            id: raw.id,
            service: raw.service,
            address,
            domain: Name::try_from(raw.domain).context("invalid failure domain")?,
            slots: raw.slots,
            draining: raw.draining,
            role: raw.role.into(),
            life: Life {
                born: raw.born,
                sequence: raw.sequence,
            },
        })
    }
}

/// Whether a text can be the id of a server or the name of a service, as [`MAX_NAME_BYTES`] tells.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| !c.is_control() && !c.is_whitespace();
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(is_allowed)
}

fn ensure_name(what: &str, name: &str) -> Result<()> {
    ensure!(
        is_name(name),
        "{what} must have 1 to {MAX_NAME_BYTES} bytes and no blanks or control characters"
    );
    Ok(())
}

fn is_dialable(address: SocketAddr) -> bool {
    let ip = address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}
