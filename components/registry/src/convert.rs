//! Conversions from and to the wire types.

use anyhow::{Error, Result};

use crate::server::{Life, Server};
use crate::state::{Order, Primary, Registry};

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

impl From<wire::Registry> for Registry {
    /// Servers that this build refuses are left out, as coordinators skip their orders: a registry
    /// that an earlier build has saved must not keep a process from starting.
    fn from(raw: wire::Registry) -> Self {
        let mut registry = Self {
            revision: raw.revision,
            plan_version: raw.version,
            plan_document: raw.body.into_vec(),
            ..Self::default()
        };
        for server in raw.servers {
            let id = server.id.clone();
            match Server::try_from(server) {
                Ok(server) => registry.insert(server),
                Err(error) => tracing::error!(
                    id,
                    error = %format!("{error:#}"),
                    "invalid server in a registry; leaving it out"
                ),
            }
        }
        for raw in raw.ended {
            let life = Life {
                born: raw.born,
                sequence: raw.sequence,
            };
            registry.ended_lives.insert(raw.id, life);
        }
        for raw in raw.leaders {
            let chosen = Primary {
                id: raw.id,
                token: raw.token,
                confirmed: raw.confirmed,
            };
            registry.chosen_primaries.insert(raw.service, chosen);
        }
        registry
    }
}
