//! Settings of a coordinator process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use types::Name;

use crate::Log;
use crate::check::{Check, address, convert};
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
    /// Number of failure domains of the system.
    pub domains: usize,
    /// Folder of the log and the snapshots.
    pub data: PathBuf,
    /// Address for entries and other coordinators.
    pub link: SocketAddr,
    /// Address for servers, operators and metrics.
    pub http: SocketAddr,
    /// Link addresses of the coordinators through which the others are found.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time.
    pub founding: bool,
    /// Disks that may be lost at the same time.
    pub tolerated: usize,
    /// Address that takes promotions.
    pub promoter: SocketAddr,
    /// Longest graceful stop.
    pub stop_timeout: Duration,
    /// The log.
    pub log: Log,
}

impl Kind for Coordinator {
    type Raw = raw::Coordinator;
    const SCHEMA: &'static str = include_str!("../../../schema/settings/coordinator.json");

    fn check(check: &mut Check<'_, '_>) {
        let seeds = check.items("/seeds", "");
        check.addresses(&["/link", "/http", "/promoter"]);
        check.addresses(&seeds);
        check.distinct(&["/link", "/http"]);
        check.distinct(&seeds);
    }
}

impl TryFrom<raw::Coordinator> for Coordinator {
    type Error = Invalid;

    fn try_from(raw: raw::Coordinator) -> Result<Self, Invalid> {
        let link = address("/link", &raw.link)?;
        Ok(Self {
            instance: convert("/instance", raw.instance.as_str())?,
            domain: convert("/domain", raw.domain.as_str())?,
            domains: raw.domains.len(),
            data: String::from(raw.data).into(),
            link,
            http: address("/http", &raw.http)?,
            seeds: seeds(raw.seeds.iter().map(|seed| seed.as_str()), link.port())?,
            founding: raw.founding,
            tolerated: convert("/tolerated", raw.tolerated)?,
            promoter: address("/promoter", &raw.promoter)?,
            stop_timeout: Duration::from_secs_f64(raw.stop_timeout_s),
            log: raw.log.into(),
        })
    }
}

/// Link addresses of seeds, which are given by their HTTP addresses.
pub(crate) fn seeds<'a>(
    raw: impl Iterator<Item = &'a str>,
    link_port: u16,
) -> Result<Vec<SocketAddr>, Invalid> {
    let link = |raw: &str| {
        let mut seed = address("/seeds", raw)?;
        seed.set_port(link_port);
        Ok(seed)
    };
    raw.map(link).collect()
}
