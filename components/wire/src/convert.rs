//! Conversions between wire types and the core types of the crate `types`.

use anyhow::{Context, Error, ensure};
use types::target::{self, Role, State};
use types::{Lsn, Name, Term};

impl From<State> for crate::State {
    fn from(state: State) -> Self {
        match state {
            State::Serving => Self::Serving,
            State::Draining => Self::Draining,
            State::Leaving => Self::Leaving,
        }
    }
}

impl From<crate::State> for State {
    fn from(state: crate::State) -> Self {
        match state {
            crate::State::Serving => Self::Serving,
            crate::State::Draining => Self::Draining,
            crate::State::Leaving => Self::Leaving,
        }
    }
}

impl From<Role> for crate::Role {
    fn from(role: Role) -> Self {
        match role {
            Role::Primary => Self::Primary,
            Role::Replica => Self::Replica,
        }
    }
}

impl From<crate::Role> for Role {
    fn from(role: crate::Role) -> Self {
        match role {
            crate::Role::Primary => Self::Primary,
            crate::Role::Replica => Self::Replica,
        }
    }
}

impl From<types::Point> for crate::Point {
    fn from(point: types::Point) -> Self {
        Self {
            term: point.term.0,
            lsn: point.lsn.0,
        }
    }
}

impl From<crate::Point> for types::Point {
    fn from(point: crate::Point) -> Self {
        Self {
            term: Term(point.term),
            lsn: Lsn(point.lsn),
        }
    }
}

impl From<&target::Announcement> for crate::Announcement {
    fn from(announcement: &target::Announcement) -> Self {
        Self {
            target: announcement.target.to_string(),
            service: announcement.service.to_string(),
            database: announcement.database.to_string(),
            group: announcement.group.to_string(),
            region: announcement.region.to_string(),
            domain: announcement.domain.to_string(),
            address: announcement.address.to_string(),
            role: announcement.role.into(),
            leaving: announcement.leaving,
            connections: announcement.connections,
            slots: announcement.slots,
        }
    }
}

impl TryFrom<crate::Announcement> for target::Announcement {
    type Error = Error;

    fn try_from(raw: crate::Announcement) -> Result<Self, Error> {
        ensure!(raw.connections > 0, "a target without connections");
        ensure!(raw.slots > 0, "a target without slots");
        Ok(Self {
            target: Name::try_from(raw.target).context("target")?,
            service: Name::try_from(raw.service).context("service")?,
            database: Name::try_from(raw.database).context("database")?,
            group: Name::try_from(raw.group).context("group")?,
            region: Name::try_from(raw.region).context("region")?,
            domain: Name::try_from(raw.domain).context("domain")?,
            address: raw.address.parse().context("address")?,
            role: raw.role.into(),
            leaving: raw.leaving,
            connections: raw.connections,
            slots: raw.slots,
        })
    }
}
