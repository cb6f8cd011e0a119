//! The replicated state: every instance applies the same orders in the same sequence.

use std::collections::BTreeMap;

use types::target::Role;

use crate::server::{Life, Server};

/// Lives that have ended and are remembered; the oldest are forgotten first.
const MAX_ENDED: usize = 2000;

/// A command of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// A plan; the highest version is in force.
    Plan {
        /// Its version.
        version: u64,
        /// The document as the operator sent it.
        body: Vec<u8>,
    },
    /// What a server says of itself.
    Register(Server),
    /// A server has left.
    Remove {
        /// Its identity.
        id: String,
        /// The life that has ended.
        life: Life,
    },
    /// A server is to lead a service; the order's index is the fencing token.
    Lead {
        /// The service.
        service: String,
        /// The server.
        id: String,
    },
    /// A promotion has taken effect.
    Confirm {
        /// The service.
        service: String,
        /// Token of the promotion.
        token: u64,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The state changed.
    Applied,
    /// A newer state was there already.
    Superseded,
}

/// The server that was chosen to lead a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Leader {
    /// Its identity.
    pub id: String,
    /// Fencing token of the promotion.
    pub token: u64,
    /// The promotion has taken effect.
    pub confirmed: bool,
}

/// The replicated state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Registry {
    pub(crate) revision: u64,
    pub(crate) version: u64,
    /// Empty before the first plan.
    pub(crate) body: Vec<u8>,
    pub(crate) servers: BTreeMap<String, Server>,
    /// Latest ended life by identity.
    pub(crate) ended: BTreeMap<String, Life>,
    pub(crate) leaders: BTreeMap<String, Leader>,
}

impl Registry {
    /// Index of the last order that was applied.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Version of the plan in force; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The plan in force as the operator sent it.
    #[must_use]
    pub fn body(&self) -> Option<&[u8]> {
        (!self.body.is_empty()).then_some(&self.body)
    }

    /// The same without the plan's document, which entries have no use for.
    #[must_use]
    pub fn without_document(&self) -> Self {
        Self {
            revision: self.revision,
            version: self.version,
            body: Vec::new(),
            servers: self.servers.clone(),
            ended: self.ended.clone(),
            leaders: self.leaders.clone(),
        }
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Servers of a service.
    pub fn members<'a, 'b: 'a>(
        &'a self,
        service: &'b str,
    ) -> impl Iterator<Item = &'a Server> + Clone + use<'a, 'b> {
        self.servers
            .values()
            .filter(move |server| server.service == service)
    }

    /// A server by its identity.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// The chosen leader of a service.
    #[must_use]
    pub fn leader(&self, service: &str) -> Option<&Leader> {
        self.leaders.get(service)
    }

    /// The primary of a service: the chosen leader, or before any choice the server that takes
    /// itself for the primary.
    #[must_use]
    pub fn primary<'a>(&'a self, service: &str) -> Option<&'a Server> {
        match self.leaders.get(service) {
            Some(leader) => self
                .servers
                .get(&leader.id)
                .filter(|server| server.service == service),
            None => self
                .servers
                .values()
                .filter(|server| server.service == service && server.role == Role::Primary)
                .max_by_key(|server| server.life),
        }
    }

    /// Whether a heartbeat says something that the state does not hold.
    #[must_use]
    pub fn is_news(&self, server: &Server) -> bool {
        if self.is_late(server) {
            return false;
        }
        match self.servers.get(&server.id) {
            Some(known) => known.differs(server),
            None => true,
        }
    }

    /// Whether a heartbeat is older than what is known of its sender or of its address.
    #[must_use]
    pub fn is_late(&self, server: &Server) -> bool {
        let ended = self.ended.get(&server.id);
        if ended.is_some_and(|life| server.life <= *life) {
            return true;
        }
        if let Some(known) = self.servers.get(&server.id) {
            let drained = known.draining && known.life.born == server.life.born && !server.draining;
            return server.life < known.life || drained;
        }
        // A server that started earlier can't have followed the one that is there now.
        self.at_address(server)
            .any(|other| server.life.born < other.life.born)
    }

    fn at_address<'a>(&'a self, server: &'a Server) -> impl Iterator<Item = &'a Server> {
        self.servers()
            .filter(|other| other.address == server.address && other.id != server.id)
    }

    /// Applies the order at an index of the log.
    pub fn apply(&mut self, index: u64, order: &Order) -> Outcome {
        self.revision = index;
        match order {
            Order::Plan { version, body } => {
                if *version <= self.version {
                    return Outcome::Superseded;
                }
                self.version = *version;
                self.body.clone_from(body);
                Outcome::Applied
            }
            Order::Register(server) => self.register(server),
            Order::Remove { id, life } => self.remove(id, *life),
            Order::Lead { service, id } => {
                let leader = Leader {
                    id: id.clone(),
                    token: index,
                    confirmed: false,
                };
                self.leaders.insert(service.clone(), leader);
                Outcome::Applied
            }
            Order::Confirm { service, token } => match self.leaders.get_mut(service) {
                Some(leader) if leader.token == *token => {
                    leader.confirmed = true;
                    Outcome::Applied
                }
                _ => Outcome::Superseded,
            },
        }
    }

    fn register(&mut self, server: &Server) -> Outcome {
        if self.is_late(server) {
            return Outcome::Superseded;
        }
        let replaced: Vec<(String, Life)> = self
            .at_address(server)
            .map(|other| (other.id.clone(), other.life))
            .collect();
        for (id, life) in replaced {
            self.end(&id, life);
        }
        self.servers.insert(server.id.clone(), server.clone());
        Outcome::Applied
    }

    fn remove(&mut self, id: &str, life: Life) -> Outcome {
        match self.servers.get(id) {
            Some(server) if server.life.born > life.born => Outcome::Superseded,
            Some(_) => {
                self.end(id, life);
                Outcome::Applied
            }
            None => Outcome::Superseded,
        }
    }

    fn end(&mut self, id: &str, life: Life) {
        self.servers.remove(id);
        // No later heartbeat of the same life counts, whatever its number.
        let life = Life {
            sequence: u64::MAX,
            ..life
        };
        let known = self.ended.entry(id.to_owned()).or_default();
        *known = life.max(*known);
        while self.ended.len() > MAX_ENDED {
            let oldest = self.ended.iter().min_by_key(|(_, life)| life.born);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                return;
            };
            self.ended.remove(&id);
        }
    }
}
