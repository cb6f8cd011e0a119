//! Settings of a stand-in target.

use std::net::SocketAddr;
use std::time::Duration;

use types::Name;

use crate::check::{Check, address, convert};
use crate::file::Kind;
use crate::generated::standin as raw;
use crate::schema::Invalid;
use crate::{Log, Secret};

/// Settings of a stand-in target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Standin {
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
    /// Address of the PostgreSQL protocol.
    pub listen: SocketAddr,
    /// Primary to replicate from; none makes this target the primary.
    pub primary: Option<SocketAddr>,
    /// HTTP addresses of the entries to announce to. Invariant: distinct.
    pub announce: Vec<SocketAddr>,
    /// Bearer token of announcements. Invariant: not empty if there is an address to announce to.
    pub token: Secret,
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
    /// The log.
    pub log: Log,
}

impl Kind for Standin {
    type Raw = raw::Standin;
    const SCHEMA: &'static str = include_str!("../../../schema/settings/standin.json");

    fn check(check: &mut Check<'_, '_>) {
        let announce = check.items("/announce", "");
        check.addresses(&["/listen", "/primary"]);
        check.addresses(&announce);
        check.distinct(&["/listen", "/primary"]);
        check.distinct(&announce);
        if !announce.is_empty() && check.text("/token").unwrap_or_default().is_empty() {
            check.push("/token", "is needed to announce");
        }
    }
}

impl TryFrom<raw::Standin> for Standin {
    type Error = Invalid;

    fn try_from(raw: raw::Standin) -> Result<Self, Invalid> {
        let announce = raw.announce.iter().map(|text| address("/announce", text));
        let primary = raw.primary.map(|text| address("/primary", &text));
        Ok(Self {
            target: convert("/target", raw.target.as_str())?,
            service: convert("/service", raw.service.as_str())?,
            database: convert("/database", raw.database.as_str())?,
            group: convert("/group", raw.group.as_str())?,
            region: convert("/region", raw.region.as_str())?,
            domain: convert("/domain", raw.domain.as_str())?,
            listen: address("/listen", &raw.listen)?,
            primary: primary.transpose()?,
            announce: announce.collect::<Result<_, _>>()?,
            token: Secret::new(raw.token),
            ttl: Duration::from_millis(convert("/ttl_ms", raw.ttl_ms)?),
            connections: convert("/connections", raw.connections.get())?,
            slots: convert("/slots", raw.slots.get())?,
            open: Duration::from_millis(convert("/open_ms", raw.open_ms)?),
            statement: Duration::from_micros(convert("/statement_us", raw.statement_us)?),
            lag: Duration::from_millis(convert("/lag_ms", raw.lag_ms)?),
            log: raw.log.into(),
        })
    }
}
