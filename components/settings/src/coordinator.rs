//! Settings of a coordinator process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use types::Name;

use crate::Log;
use crate::check::{Check, convert, parse_address};
use crate::file::Kind;
use crate::generated::coordinator as raw;
use crate::schema::Invalid;

/// Settings of a coordinator process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Coordinator {
    /// Name of this instance.
    pub instance: Name,
    /// Failure domain of this instance.
    pub domain: Name,
    /// Number of failure domains in the system.
    pub domains: usize,
    /// Directory of the replicated log and its snapshots.
    pub data: PathBuf,
    /// Listen address for streams of entries and other coordinators.
    pub link: SocketAddr,
    /// Listen address for requests of servers and operators and for metrics.
    pub http: SocketAddr,
    /// Link addresses of coordinators from which the addresses of the others are learnt.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub founding: bool,
    /// Number of disks that may be lost at the same time without losing data.
    pub tolerated: usize,
    /// Address that receives promotion commands.
    pub promoter: SocketAddr,
    pub rate_limit: RateLimit,
    /// Timeout of a graceful stop.
    pub stop_timeout: Duration,
    pub log: Log,
}

/// How rate limits of tenants are shared between entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimit {
    /// How long the issuer counts tokens as held by entries, at least 5 s.
    pub window: Duration,
    /// Operations beyond a tenant's burst that are tolerated.
    pub slack: u64,
}

impl From<raw::RateLimit> for RateLimit {
    fn from(raw: raw::RateLimit) -> Self {
        Self {
            window: Duration::from_secs_f64(raw.window_s),
            slack: raw.slack.unsigned_abs(),
        }
    }
}

impl Default for RateLimit {
    fn default() -> Self {
        raw::RateLimit::default().into()
    }
}

impl Kind for Coordinator {
    type Raw = raw::Coordinator;
    const SCHEMA: &'static str = include_str!("../../../schema/settings/coordinator.json");

    fn check(check: &mut Check<'_, '_>) {
        let seeds = check.item_paths("/seeds", "");
        check.require_addresses(&["/link", "/http", "/promoter"]);
        check.require_addresses(&seeds);
        check.require_distinct(&["/link", "/http"]);
        check.require_distinct(&seeds);
    }
}

impl TryFrom<raw::Coordinator> for Coordinator {
    type Error = Invalid;

    fn try_from(raw: raw::Coordinator) -> Result<Self, Invalid> {
        let link = parse_address("/link", &raw.link)?;
        Ok(Self {
            instance: convert("/instance", raw.instance.as_str())?,
            domain: convert("/domain", raw.domain.as_str())?,
            domains: raw.domains.len(),
            data: String::from(raw.data).into(),
            link,
            http: parse_address("/http", &raw.http)?,
            seeds: seed_link_addresses(raw.seeds.iter().map(|seed| seed.as_str()), link.port())?,
            founding: raw.founding,
            tolerated: convert("/tolerated", raw.tolerated)?,
            promoter: parse_address("/promoter", &raw.promoter)?,
            rate_limit: raw.rate_limit.map_or_else(RateLimit::default, Into::into),
            stop_timeout: Duration::from_secs_f64(raw.stop_timeout_s),
            log: raw.log.into(),
        })
    }
}

/// Link addresses of the seeds, which the settings give by their HTTP addresses.
pub(crate) fn seed_link_addresses<'a>(
    raw: impl Iterator<Item = &'a str>,
    link_port: u16,
) -> Result<Vec<SocketAddr>, Invalid> {
    let link_address = |raw: &str| {
        let mut seed = parse_address("/seeds", raw)?;
        seed.set_port(link_port);
        Ok(seed)
    };
    raw.map(link_address).collect()
}
