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

/// Collects what is wrong with the fields of a body.
#[derive(Debug, Default)]
pub(crate) struct Fields(pub(crate) Vec<Invalid>);

impl Fields {
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

    pub(crate) fn address(&mut self, path: &str, raw: &str) -> Option<SocketAddr> {
        match raw.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => Some(address),
            _ => {
                self.push(path, "is no IP address with a port");
                None
            }
        }
    }
}

/// Checks an announcement of `target`; none only if `fields` holds a finding.
pub(crate) fn announcement(
    target: Option<Name>,
    raw: &api::Announcement,
    fields: &mut Fields,
) -> Option<Announcement> {
    let service = fields.convert("/service", raw.service.as_str());
    let database = fields.convert("/database", raw.database.as_str());
    let group = fields.convert("/group", raw.group.as_str());
    let region = fields.convert("/region", raw.region.as_str());
    let domain = fields.convert("/domain", raw.domain.as_str());
    let address = fields.address("/address", &raw.address);
    let connections = fields.convert("/connections", raw.connections.get());
    let slots = fields.convert("/slots", raw.slots.get());
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
