//! Settings of a control process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use types::Name;

use crate::check::{Check, address, convert};
use crate::file::Kind;
use crate::generated::control as raw;
use crate::schema::Invalid;
use crate::{Log, Secret};

/// Settings of a control process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Control {
    /// Name of this instance.
    pub instance: Name,
    /// First name of every path of the settings tree.
    pub organisation: Name,
    /// Failure domain of this instance.
    pub domain: Name,
    /// Folder of the log and the snapshots.
    pub data: PathBuf,
    /// Address for entries and other control instances.
    pub link: SocketAddr,
    /// Address of the administration API and of the metrics.
    pub http: SocketAddr,
    /// Bearer token of the administration API.
    pub token: Secret,
    /// Instances of a new cluster. Invariant: names and addresses are distinct, and this instance is
    /// among them.
    pub members: Vec<Member>,
    /// User for commands to targets.
    pub target_user: String,
    /// Longest graceful stop.
    pub stop_timeout: Duration,
    /// The log.
    pub log: Log,
}

/// A control instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Its name.
    pub instance: Name,
    /// Its link address.
    pub address: SocketAddr,
}

impl Kind for Control {
    type Raw = raw::Control;
    const SCHEMA: &'static str = include_str!("../../../schema/settings/control.json");

    fn check(check: &mut Check<'_, '_>) {
        let names = check.items("/members", "/instance");
        let addresses = check.items("/members", "/address");
        check.addresses(&["/link", "/http"]);
        check.addresses(&addresses);
        check.distinct(&["/link", "/http"]);
        check.distinct(&names);
        check.distinct(&addresses);
        own(check, &names);
    }
}

/// This instance is a member. Its address there may differ from `/link`, which can be a wildcard.
fn own(check: &mut Check<'_, '_>, names: &[String]) {
    let (Some(instance), false) = (check.text("/instance"), names.is_empty()) else {
        return;
    };
    if !names.iter().any(|path| check.text(path) == Some(instance)) {
        check.push("/members", "does not name this instance");
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
            link: address("/link", &raw.link)?,
            http: address("/http", &raw.http)?,
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
            address: address("/members", &raw.address)?,
        })
    }
}
