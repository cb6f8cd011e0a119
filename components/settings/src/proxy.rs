//! Settings of a proxy process.

use std::net::SocketAddr;
use std::time::Duration;

use types::Name;

use crate::Log;
use crate::check::{Check, convert, parse_address};
use crate::coordinator::seed_link_addresses;
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
    /// Number of failure domains in the system.
    pub domains: usize,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for streams from other proxies.
    pub link: SocketAddr,
    /// Listen address for readiness and metrics.
    pub http: SocketAddr,
    /// Link addresses of coordinators from which the addresses of the others are learnt.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of open sessions; further connections are closed immediately.
    pub max_callers: usize,
    /// Maximum size of a message from a caller or a server, in bytes.
    pub max_message: usize,
    pub keys: Keys,
    /// Timeout of a graceful stop.
    pub stop_timeout: Duration,
    pub log: Log,
}

/// How long the keys of tenants hold without contact with a leader of the coordinators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Keys {
    /// Whether keys are served only while a leader has been in contact within `contact_timeout`.
    pub require_contact: bool,
    pub contact_timeout: Duration,
}

impl From<raw::Keys> for Keys {
    fn from(raw: raw::Keys) -> Self {
        Self {
            require_contact: raw.require_contact,
            contact_timeout: Duration::from_millis(raw.contact_timeout_ms.unsigned_abs()),
        }
    }
}

impl Default for Keys {
    fn default() -> Self {
        raw::Keys::default().into()
    }
}

impl Kind for Proxy {
    type Raw = raw::Proxy;
    const SCHEMA: &'static str = include_str!("../../../schema/settings/proxy.json");

    fn check(check: &mut Check<'_, '_>) {
        let seeds = check.item_paths("/seeds", "");
        check.require_addresses(&["/listen", "/link", "/http"]);
        check.require_addresses(&seeds);
        check.require_distinct(&["/listen", "/link", "/http"]);
        check.require_distinct(&seeds);
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
            listen: parse_address("/listen", &raw.listen)?,
            link: parse_address("/link", &raw.link)?,
            http: parse_address("/http", &raw.http)?,
            seeds: seed_link_addresses(raw.seeds.iter().map(|seed| seed.as_str()), link_port)?,
            max_callers: convert("/max_callers", raw.max_callers.get())?,
            max_message: convert("/max_message_bytes", raw.max_message_bytes)?,
            keys: raw.keys.map_or_else(Keys::default, Into::into),
            stop_timeout: Duration::from_secs_f64(raw.stop_timeout_s),
            log: raw.log.into(),
        })
    }
}
