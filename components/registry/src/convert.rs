//! Conversions from and to the wire types.

use anyhow::{Context, Error, Result, ensure};
use types::Name;

use crate::server::{Life, Server};
use crate::state::{Order, Primary, Registry};

/// Limit of server ids and service names.
const MAX_NAME_BYTES: usize = 200;

impl From<&Server> for wire::Server {
    fn from(server: &Server) -> Self {
        Self {
            id: server.id.clone(),
            service: server.service.clone(),
            address: server.address.to_string(),
            domain: server.domain.to_string(),
            slots: server.slots,
            draining: server.draining,
            role: server.role.into(),
            born: server.life.born,
            sequence: server.life.sequence,
        }
    }
}

impl TryFrom<wire::Server> for Server {
    type Error = Error;

    fn try_from(raw: wire::Server) -> Result<Self> {
        ensure!(
            (1..=MAX_NAME_BYTES).contains(&raw.id.len()),
            "server id must have 1 to {MAX_NAME_BYTES} bytes"
        );
        ensure!(
            (1..=MAX_NAME_BYTES).contains(&raw.service.len()),
            "service name must have 1 to {MAX_NAME_BYTES} bytes"
        );
        Ok(Self {
            id: raw.id,
            service: raw.service,
            address: raw.address.parse().context("invalid server address")?,
            domain: Name::try_from(raw.domain).context("invalid failure domain")?,
            slots: raw.slots,
            draining: raw.draining,
            role: raw.role.into(),
            life: Life {
                born: raw.born,
                sequence: raw.sequence,
            },
        })
    }
}

impl From<&Order> for wire::Order {
    fn from(order: &Order) -> Self {
        match order {
            Order::Plan { version, body } => Self::Plan {
                version: *version,
                body: body.clone().into(),
            },
            Order::Register(server) => Self::Register(server.into()),
            Order::Remove { id, life } => Self::Remove {
                id: id.clone(),
                born: life.born,
                sequence: life.sequence,
            },
            Order::Lead { service, id } => Self::Lead {
                service: service.clone(),
                id: id.clone(),
            },
            Order::Confirm { service, token } => Self::Confirm {
                service: service.clone(),
                token: *token,
            },
        }
    }
}

impl TryFrom<wire::Order> for Order {
    type Error = Error;

    fn try_from(raw: wire::Order) -> Result<Self> {
        Ok(match raw {
            wire::Order::Plan { version, body } => Self::Plan {
                version,
                body: body.into_vec(),
            },
            wire::Order::Register(server) => Self::Register(Server::try_from(server)?),
            wire::Order::Remove { id, born, sequence } => Self::Remove {
                id,
                life: Life { born, sequence },
            },
            wire::Order::Lead { service, id } => Self::Lead { service, id },
            wire::Order::Confirm { service, token } => Self::Confirm { service, token },
        })
    }
}

impl From<&Registry> for wire::Registry {
    fn from(registry: &Registry) -> Self {
        let ended = |(id, life): (&String, &Life)| wire::Ended {
            id: id.clone(),
            born: life.born,
            sequence: life.sequence,
        };
        let leader = |(service, chosen): (&String, &Primary)| wire::Leader {
            service: service.clone(),
            id: chosen.id.clone(),
            token: chosen.token,
            confirmed: chosen.confirmed,
        };
        Self {
            revision: registry.revision,
            version: registry.plan_version,
            body: registry.plan_document.clone().into(),
            servers: registry.servers.values().map(Into::into).collect(),
            ended: registry.ended_lives.iter().map(ended).collect(),
            leaders: registry.chosen_primaries.iter().map(leader).collect(),
        }
    }
}

impl TryFrom<wire::Registry> for Registry {
    type Error = Error;

    fn try_from(raw: wire::Registry) -> Result<Self> {
        let server = |raw: wire::Server| {
            let server = Server::try_from(raw)?;
            Ok((server.id.clone(), server))
        };
        let ended = |raw: wire::Ended| {
            let life = Life {
                born: raw.born,
                sequence: raw.sequence,
            };
            (raw.id, life)
        };
        let leader = |raw: wire::Leader| {
            let chosen = Primary {
                id: raw.id,
                token: raw.token,
                confirmed: raw.confirmed,
            };
            (raw.service, chosen)
        };
        Ok(Self {
            revision: raw.revision,
            plan_version: raw.version,
            plan_document: raw.body.into_vec(),
            servers: raw.servers.into_iter().map(server).collect::<Result<_>>()?,
            ended_lives: raw.ended.into_iter().map(ended).collect(),
            chosen_primaries: raw.leaders.into_iter().map(leader).collect(),
        })
    }
}
