//! Settings of a proxy process.

use std::net::SocketAddr;
use std::time::Duration;

use types::Name;

use crate::Log;
use crate::check::{Check, address, convert};
use crate::coordinator::seeds;
use crate::file::Kind;
use crate::generated::proxy as raw;
use crate::schema::Invalid;

/// Settings of a proxy process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proxy {
    /// Name of this instance.
    pub instance: Name,
    /// Failure domain of this instance.
    pub domain: Name,
    /// Number of failure domains of the system.
    pub domains: usize,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for streams from other proxies.
    pub link: SocketAddr,
    /// Address for readiness and metrics.
    pub http: SocketAddr,
    /// Link addresses of the coordinators through which the others are found.
    pub seeds: Vec<SocketAddr>,
    /// Open sessions; further connections are closed at once.
    pub max_callers: usize,
    /// Largest message of a caller or a server, in bytes.
    pub max_message: usize,
    /// Longest graceful stop.
    pub stop_timeout: Duration,
    /// The log.
    pub log: Log,
}

impl Kind for Proxy {
    type Raw = raw::Proxy;
    const SCHEMA: &'static str = include_str!("../../../schema/settings/proxy.json");

    fn check(check: &mut Check<'_, '_>) {
        let seeds = check.items("/seeds", "");
        check.addresses(&["/listen", "/link", "/http"]);
        check.addresses(&seeds);
        check.distinct(&["/listen", "/link", "/http"]);
        check.distinct(&seeds);
    }
}

impl TryFrom<raw::Proxy> for Proxy {
    type Error = Invalid;

    fn try_from(raw: raw::Proxy) -> Result<Self, Invalid> {
        let link_port = convert("/link_port", raw.link_port.get())?;
        Ok(Self {
            instance: convert("/instance", raw.instance.as_str())?,
            domain: convert("/domain", raw.domain.as_str())?,
            domains: raw.domains.len(),
            listen: address("/listen", &raw.listen)?,
            link: address("/link", &raw.link)?,
            http: address("/http", &raw.http)?,
            seeds: seeds(raw.seeds.iter().map(|seed| seed.as_str()), link_port)?,
            max_callers: convert("/max_callers", raw.max_callers.get())?,
            max_message: convert("/max_message_bytes", raw.max_message_bytes)?,
            stop_timeout: Duration::from_secs_f64(raw.stop_timeout_s),
            log: raw.log.into(),
        })
    }
}
