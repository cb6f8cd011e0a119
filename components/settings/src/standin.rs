//! Settings of a stand-in target.

use std::net::SocketAddr;
use std::time::Duration;

use types::Name;

use crate::check::{Check, convert, parse_address};
use crate::file::Kind;
use crate::generated::standin as raw;
use crate::schema::Invalid;
use crate::{Log, Secret};

/// Settings of a stand-in target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Standin {
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
    pub listen: SocketAddr,
    /// Primary to replicate from; `None` makes this target the primary.
    pub primary: Option<SocketAddr>,
    /// HTTP addresses of the entries to announce to. Invariant: distinct.
    pub announce: Vec<SocketAddr>,
    /// Bearer token of announcements. Invariant: not empty if `announce` is not empty.
    pub token: Secret,
    /// Time to live of an announcement.
    pub ttl: Duration,
    /// Maximum number of connections. Invariant: at least 1.
    pub connections: u32,
    /// Maximum number of statements that run at the same time. Invariant: at least 1.
    pub slots: u32,
    /// Simulated time to open a connection.
    pub open: Duration,
    /// Simulated execution time of a statement.
    pub statement: Duration,
    /// Simulated replication delay.
    pub lag: Duration,
    pub log: Log,
}

impl Kind for Standin {
    type Raw = raw::Standin;
    const SCHEMA: &'static str = include_str!("../../../schema/settings/standin.json");

    fn check(check: &mut Check<'_, '_>) {
        let announce = check.item_paths("/announce", "");
        check.require_addresses(&["/listen", "/primary"]);
        check.require_addresses(&announce);
        check.require_distinct(&["/listen", "/primary"]);
        check.require_distinct(&announce);
        if !announce.is_empty() && check.text("/token").unwrap_or_default().is_empty() {
            check.push("/token", "is required if /announce is not empty");
        }
    }
}

impl TryFrom<raw::Standin> for Standin {
    type Error = Invalid;

    fn try_from(raw: raw::Standin) -> Result<Self, Invalid> {
        let announce = raw
            .announce
            .iter()
            .map(|text| parse_address("/announce", text));
        let primary = raw.primary.map(|text| parse_address("/primary", &text));
        Ok(Self {
            target: convert("/target", raw.target.as_str())?,
            service: convert("/service", raw.service.as_str())?,
            database: convert("/database", raw.database.as_str())?,
            group: convert("/group", raw.group.as_str())?,
            region: convert("/region", raw.region.as_str())?,
            domain: convert("/domain", raw.domain.as_str())?,
            listen: parse_address("/listen", &raw.listen)?,
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
