//! Conversions from and to the wire types.

use anyhow::{Error, Result};
use types::{Lsn, Point, Term};

use crate::history::{History, Lifetime};
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
            Order::Cover {
                service,
                until,
                point,
                term,
            } => Self::Cover {
                service: service.clone(),
                until: *until,
                point: encode_point(*point),
                term: *term,
            },
            Order::Leave { id, life } => Self::Leave {
                id: id.clone(),
                born: life.born,
            },
        }
    }
}

fn encode_point(point: Point) -> wire::Point {
    wire::Point {
        term: point.term.0,
        lsn: point.lsn.0,
    }
}

fn decode_point(raw: &wire::Point) -> Point {
    Point {
        term: Term(raw.term),
        lsn: Lsn(raw.lsn),
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
            wire::Order::Cover {
                service,
                until,
                point,
                term,
            } => Self::Cover {
                service,
                until,
                point: decode_point(&point),
                term,
            },
            wire::Order::Leave { id, born } => Self::Leave {
                id,
                life: Life { born, sequence: 0 },
            },
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
        let departure = |(departure, index): (&Lifetime, &u64)| wire::Departure {
            id: departure.id.clone(),
            born: departure.born,
            index: *index,
        };
        let leader = |(service, chosen): (&String, &Primary)| wire::Leader {
            service: service.clone(),
            id: chosen.id.clone(),
            token: chosen.token,
            confirmed: chosen.confirmed,
        };
        let history = |(service, history): (&String, &History)| wire::History {
            service: service.clone(),
            floor: encode_point(history.floor),
            term: history.term,
            leaders: history.leaders.iter().cloned().collect(),
            departures: history.departures.iter().map(departure).collect(),
        };
        let leaving = |(id, born): (&String, &u64)| wire::Leaving {
            id: id.clone(),
            born: *born,
        };
        Self {
            revision: registry.revision,
            version: registry.plan_version,
            body: registry.plan_document.clone().into(),
            servers: registry.servers.values().map(Into::into).collect(),
            ended: registry.ended_lives.iter().map(ended).collect(),
            leaders: registry.chosen_primaries.iter().map(leader).collect(),
            histories: registry.histories.iter().map(history).collect(),
            leaving: registry.leaving.iter().map(leaving).collect(),
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
        for raw in raw.histories {
            let history = History {
                floor: decode_point(&raw.floor),
                term: raw.term,
                leaders: raw.leaders.into_iter().collect(),
                departures: raw.departures.into_iter().map(decode_departure).collect(),
            };
            registry.histories.insert(raw.service, history);
        }
        let leaving = raw.leaving.into_iter().map(|raw| (raw.id, raw.born));
        registry.leaving.extend(leaving);
        registry
    }
}

fn decode_departure(raw: wire::Departure) -> (Lifetime, u64) {
    let departure = Lifetime {
        id: raw.id,
        born: raw.born,
    };
    (departure, raw.index)
}

/// Decodes the registry of a snapshot; an empty one if there are no bytes.
///
/// # Errors
/// Fails if the bytes are no registry of this build or of an earlier one.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Registry> {
    if bytes.is_empty() {
        return Ok(Registry::default());
    }
    let raw: Result<wire::Registry> = wire::decode(bytes);
    let raw = raw.or_else(|error| {
        // A snapshot of an earlier build ends before the histories and the leave requests. The
        // encoding of an empty list is a zero byte.
        let extended = [bytes, &[0, 0]].concat();
        wire::decode(&extended).map_err(|_| error)
    })?;
    Ok(Registry::from(raw))
}
