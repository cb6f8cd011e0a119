//! Conversions between the types of the API and the core types.

use std::net::SocketAddr;

use settings::Invalid;
use types::Name;
use types::target::{Announcement, Role, State};

use crate::api;

impl From<api::State> for State {
    fn from(raw: api::State) -> Self {
        match raw {
            api::State::Serving => Self::Serving,
            api::State::Draining => Self::Draining,
            api::State::Leaving => Self::Leaving,
        }
    }
}

impl From<State> for api::State {
    fn from(state: State) -> Self {
        match state {
            State::Serving => Self::Serving,
            State::Draining => Self::Draining,
            State::Leaving => Self::Leaving,
        }
    }
}

impl From<api::AnnouncementRole> for Role {
    fn from(raw: api::AnnouncementRole) -> Self {
        match raw {
            api::AnnouncementRole::Primary => Self::Primary,
            api::AnnouncementRole::Replica => Self::Replica,
        }
    }
}

impl From<Role> for api::Role {
    fn from(role: Role) -> Self {
        match role {
            Role::Primary => Self::Primary,
            Role::Replica => Self::Replica,
        }
    }
}

/// Collects findings about the fields of a request.
#[derive(Debug, Default)]
pub(crate) struct Findings(pub(crate) Vec<Invalid>);

impl Findings {
    pub(crate) fn push(&mut self, path: &str, text: impl ToString) {
        self.0.push(Invalid {
            path: path.to_owned(),
            text: text.to_string(),
        });
    }

    pub(crate) fn convert<R, T>(&mut self, path: &str, raw: R) -> Option<T>
    where
        T: TryFrom<R>,
        T::Error: ToString,
    {
        T::try_from(raw)
            .map_err(|error| self.push(path, error.to_string()))
            .ok()
    }

    pub(crate) fn parse_address(&mut self, path: &str, raw: &str) -> Option<SocketAddr> {
        match raw.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => Some(address),
            _ => {
                self.push(path, "is no IP address with a port");
                None
            }
        }
    }
}

/// Validates an announcement of `target`. Returns `None` only if it added a finding, or if `target`
/// is `None`.
pub(crate) fn parse_announcement(
    target: Option<Name>,
    raw: &api::Announcement,
    findings: &mut Findings,
) -> Option<Announcement> {
    let service = findings.convert("/service", raw.service.as_str());
    let database = findings.convert("/database", raw.database.as_str());
    let group = findings.convert("/group", raw.group.as_str());
    let region = findings.convert("/region", raw.region.as_str());
    let domain = findings.convert("/domain", raw.domain.as_str());
    let address = findings.parse_address("/address", &raw.address);
    let connections = findings.convert("/connections", raw.connections.get());
    let slots = findings.convert("/slots", raw.slots.get());
    Some(Announcement {
        target: target?,
        service: service?,
        database: database?,
        group: group?,
        region: region?,
        domain: domain?,
        address: address?,
        role: raw.role.into(),
        leaving: raw.leaving,
        connections: connections?,
        slots: slots?,
    })
}
