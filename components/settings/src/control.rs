//! Settings of a control process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use types::Name;

use crate::check::{Check, convert, parse_address};
use crate::file::Kind;
use crate::generated::control as raw;
use crate::schema::Invalid;
use crate::{Log, Secret};

/// Settings of a control process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Control {
    /// Name of this instance.
    pub instance: Name,
    /// First segment of every path in the settings tree.
    pub organisation: Name,
    /// Failure domain of this instance.
    pub domain: Name,
    /// Directory of the replicated log and its snapshots.
    pub data: PathBuf,
    /// Listen address for streams of entries and other control instances.
    pub link: SocketAddr,
    /// Listen address of the administration API and the metrics.
    pub http: SocketAddr,
    /// Bearer token of the administration API.
    pub token: Secret,
    /// Members of a new cluster. Invariant: names and addresses are distinct, and this instance is
    /// one of the members.
    pub members: Vec<Member>,
    /// PostgreSQL user of connections that send commands to targets.
    pub target_user: String,
    /// Timeout of a graceful stop.
    pub stop_timeout: Duration,
    pub log: Log,
}

/// A control instance of the cluster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    pub instance: Name,
    /// Address for streams.
    pub address: SocketAddr,
}

impl Kind for Control {
    type Raw = raw::Control;
    const SCHEMA: &'static str = include_str!("../../../schema/settings/control.json");

    fn check(check: &mut Check<'_, '_>) {
        let names = check.item_paths("/members", "/instance");
        let addresses = check.item_paths("/members", "/address");
        check.require_addresses(&["/link", "/http"]);
        check.require_addresses(&addresses);
        check.require_distinct(&["/link", "/http"]);
        check.require_distinct(&names);
        check.require_distinct(&addresses);
        require_own_membership(check, &names);
    }
}

/// Reports if this instance is not a member. The addresses are not compared, since `/link` can be a
/// wildcard.
fn require_own_membership(check: &mut Check<'_, '_>, names: &[String]) {
    let (Some(instance), false) = (check.text("/instance"), names.is_empty()) else {
        return;
    };
    if !names.iter().any(|path| check.text(path) == Some(instance)) {
        check.push("/members", "does not include this instance");
    }
}

impl TryFrom<raw::Control> for Control {
    type Error = Invalid;

    fn try_from(raw: raw::Control) -> Result<Self, Invalid> {
        Ok(Self {
            instance: convert("/instance", raw.instance.as_str())?,
            organisation: convert("/organisation", raw.organisation.as_str())?,
            domain: convert("/domain", raw.domain.as_str())?,
            data: String::from(raw.data).into(),
            link: parse_address("/link", &raw.link)?,
            http: parse_address("/http", &raw.http)?,
            token: Secret::new(raw.token.into()),
            members: raw
                .members
                .into_iter()
                .map(Member::try_from)
                .collect::<Result<_, _>>()?,
            target_user: raw.target_user.into(),
            stop_timeout: Duration::from_millis(convert("/stop_timeout_ms", raw.stop_timeout_ms)?),
            log: raw.log.into(),
        })
    }
}

impl TryFrom<raw::Member> for Member {
    type Error = Invalid;

    fn try_from(raw: raw::Member) -> Result<Self, Invalid> {
        Ok(Self {
            instance: convert("/members", raw.instance.as_str())?,
            address: parse_address("/members", &raw.address)?,
        })
    }
}
