//! The replicated state: every instance applies the same orders in log order.

use std::collections::BTreeMap;

use types::Point;
use types::target::Role;

use crate::history::{History, Lifetime};
use crate::server::{Life, Server};

/// Limit of the remembered ended lives; the oldest are dropped first.
const MAX_ENDED_LIVES: usize = 2000;
/// Limit of the encoded size of all servers. With the largest plan and the ended lives, a registry
/// then fits into one message ([`wire::MAX_BYTES`]).
const MAX_SERVERS_BYTES: usize = 3 << 20;
/// Upper bound of what a server takes in a message beside its names.
const SERVER_OVERHEAD_BYTES: usize = 100;

/// A command in the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Installs a plan; the highest version is in force.
    Plan {
        version: u64,
        /// The document as the operator sent it.
        body: Vec<u8>,
    },
    /// Registers a server or updates its registration.
    Register(Server),
    /// Removes a server that has left.
    Remove {
        id: String,
        /// The life that has ended.
        life: Life,
    },
    /// Chooses the primary of a service; the log index of the order is the fencing token.
    Lead { service: String, id: String },
    /// Records that a promotion has taken effect.
    Confirm {
        service: String,
        /// Fencing token of the promotion.
        token: u64,
    },
    /// Records that every commit acknowledged so far is at `point` or before it.
    Cover {
        service: String,
        /// Log index up to which departures of servers are covered as well.
        until: u64,
        point: Point,
        /// No server has led or will lead a later term before the next choice.
        term: u64,
    },
    /// Records the leave request of a server, whose process ends soon.
    Leave {
        id: String,
        /// The life that ends.
        life: Life,
    },
}

/// Result of applying an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The state changed.
    Applied,
    /// Ignored, as the state is already newer.
    Superseded,
    /// Ignored, as the registry holds as many servers as fit into a message.
    Full,
}

/// The server that was chosen as primary of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Primary {
    pub id: String,
    /// Fencing token of the promotion.
    pub token: u64,
    /// Whether the promotion has taken effect.
    pub confirmed: bool,
}

/// Replicated state of the coordinators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Registry {
    pub(crate) revision: u64,
    pub(crate) plan_version: u64,
    /// Empty before the first plan.
    pub(crate) plan_document: Vec<u8>,
    /// Invariant: [`Self::servers_bytes`] is the sum of their sizes. Changed by
    /// [`Self::insert`] and [`Self::end_life`] only.
    pub(crate) servers: BTreeMap<String, Server>,
    pub(crate) servers_bytes: usize,
    /// Latest ended life by server id.
    pub(crate) ended_lives: BTreeMap<String, Life>,
    pub(crate) chosen_primaries: BTreeMap<String, Primary>,
    /// Acknowledged commits by service.
    pub(crate) histories: BTreeMap<String, History>,
    /// Starts of the lives that have sent a leave request, by server id. Invariant: holds registered
    /// lives only.
    pub(crate) leaving: BTreeMap<String, u64>,
}

impl Registry {
    /// Log index of the last order that was applied.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Version of the plan in force; 0 before the first one.
    #[must_use]
    pub fn plan_version(&self) -> u64 {
        self.plan_version
    }

    /// The plan in force as the operator sent it.
    #[must_use]
    pub fn plan_document(&self) -> Option<&[u8]> {
        (!self.plan_document.is_empty()).then_some(&self.plan_document)
    }

    /// A copy without the plan document, which entries do not use.
    #[must_use]
    pub fn without_plan_document(&self) -> Self {
        Self {
            revision: self.revision,
            plan_version: self.plan_version,
            plan_document: Vec::new(),
            servers: self.servers.clone(),
            servers_bytes: self.servers_bytes,
            ended_lives: self.ended_lives.clone(),
            chosen_primaries: self.chosen_primaries.clone(),
            histories: self.histories.clone(),
            leaving: self.leaving.clone(),
        }
    }

    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    pub fn servers_of<'a, 'b: 'a>(
        &'a self,
        service: &'b str,
    ) -> impl Iterator<Item = &'a Server> + Clone + use<'a, 'b> {
        self.servers
            .values()
            .filter(move |server| server.service == service)
    }

    #[must_use]
    pub fn server(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// What is known of the acknowledged commits of a service; `None` if nothing was recorded yet.
    #[must_use]
    pub fn history(&self, service: &str) -> Option<&History> {
        self.histories.get(service)
    }

    /// Whether the registered life of a server has sent a leave request.
    #[must_use]
    pub fn is_leaving(&self, id: &str) -> bool {
        self.leaving.contains_key(id)
    }

    /// The server that was last chosen as primary of a service.
    #[must_use]
    pub fn chosen_primary(&self, service: &str) -> Option<&Primary> {
        self.chosen_primaries.get(service)
    }

    /// The primary of a service: the chosen server, or before the first choice the most recently
    /// started server that reports itself as primary.
    #[must_use]
    pub fn primary<'a>(&'a self, service: &str) -> Option<&'a Server> {
        match self.chosen_primaries.get(service) {
            Some(chosen) => self
                .servers
                .get(&chosen.id)
                .filter(|server| server.service == service),
            None => self
                .servers
                .values()
                .filter(|server| server.service == service && server.role == Role::Primary)
                .max_by_key(|server| server.life),
        }
    }

    /// The primary of a service, or before the first choice the server that last reported to be it.
    #[must_use]
    pub fn last_primary<'a>(&'a self, service: &str) -> Option<&'a Server> {
        if self.chosen_primaries.contains_key(service) {
            return self.primary(service);
        }
        let reported = || {
            let id = self.histories.get(service)?.leaders.first()?;
            self.servers.get(id)
        };
        self.primary(service).or_else(reported)
    }

    /// Whether registering a heartbeat would change more than the heartbeat number.
    #[must_use]
    pub fn would_change(&self, server: &Server) -> bool {
        if self.is_outdated(server) {
            return false;
        }
        match self.servers.get(&server.id) {
            Some(known) => known.differs(server),
            None => true,
        }
    }

    /// Whether a heartbeat is older than the known state of its sender or of its address.
    #[must_use]
    pub fn is_outdated(&self, server: &Server) -> bool {
        let ended = self.ended_lives.get(&server.id);
        if ended.is_some_and(|life| server.life <= *life) {
            return true;
        }
        if let Some(known) = self.servers.get(&server.id) {
            let revokes_draining =
                known.draining && known.life.born == server.life.born && !server.draining;
            return server.life < known.life || revokes_draining;
        }
        // A server that started earlier can't have taken over the address from the present one.
        self.others_at_address(server)
            .any(|other| server.life.born < other.life.born)
    }

    fn others_at_address<'a>(&'a self, server: &'a Server) -> impl Iterator<Item = &'a Server> {
        self.servers()
            .filter(|other| other.address == server.address && other.id != server.id)
    }

    /// Applies the order at a log index.
    pub fn apply(&mut self, index: u64, order: &Order) -> Outcome {
        self.revision = index;
        match order {
            Order::Plan { version, body } => {
                if *version <= self.plan_version {
                    return Outcome::Superseded;
                }
                self.plan_version = *version;
                self.plan_document.clone_from(body);
                Outcome::Applied
            }
            Order::Register(server) => self.register(server),
            Order::Remove { id, life } => self.remove(id, *life),
            Order::Lead { service, id } => {
                let history = self.histories.entry(service.clone()).or_default();
                history.leaders.insert(id.clone());
                let chosen = Primary {
                    id: id.clone(),
                    token: index,
                    confirmed: false,
                };
                self.chosen_primaries.insert(service.clone(), chosen);
                Outcome::Applied
            }
            Order::Confirm { service, token } => match self.chosen_primaries.get_mut(service) {
                Some(chosen) if chosen.token == *token => {
                    chosen.confirmed = true;
                    let history = self.histories.entry(service.clone()).or_default();
                    history.leaders = [chosen.id.clone()].into();
                    Outcome::Applied
                }
                _ => Outcome::Superseded,
            },
            Order::Cover {
                service,
                until,
                point,
                term,
            } => {
                let history = self.histories.entry(service.clone()).or_default();
                history.cover(*until, *point, *term);
                Outcome::Applied
            }
            Order::Leave { id, life } => self.leave(id, *life),
        }
    }

    fn register(&mut self, server: &Server) -> Outcome {
        if self.is_outdated(server) {
            return Outcome::Superseded;
        }
        let is_known = self.servers.contains_key(&server.id);
        if !is_known && self.servers_bytes + size(server) > MAX_SERVERS_BYTES {
            return Outcome::Full;
        }
        let replaced: Vec<(String, Life)> = self
            .others_at_address(server)
            .map(|other| (other.id.clone(), other.life))
            .collect();
        for (id, life) in replaced {
            self.end_life(&id, life);
        }
        let ended = self
            .servers
            .get(&server.id)
            .filter(|known| known.life.born != server.life.born || known.service != server.service);
        if let Some(ended) = ended.cloned() {
            self.record_departure(&ended);
            self.leaving.remove(&ended.id);
        }
        if server.role == Role::Primary && !self.chosen_primaries.contains_key(&server.service) {
            let history = self.histories.entry(server.service.clone()).or_default();
            history.leaders = [server.id.clone()].into();
        }
        self.insert(server.clone());
        Outcome::Applied
    }

    fn leave(&mut self, id: &str, life: Life) -> Outcome {
        let known = self.servers.get(id);
        let Some(server) = known.filter(|server| server.life.born == life.born) else {
            return Outcome::Superseded;
        };
        let server = server.leaving(life);
        self.insert(server);
        self.leaving.insert(id.to_owned(), life.born);
        Outcome::Applied
    }

    /// Records that a registered life has ended. The log of the primary is no receipt for commits,
    /// as a replica has acknowledged each of them.
    fn record_departure(&mut self, ended: &Server) {
        let primary = self.last_primary(&ended.service);
        if primary.is_some_and(|primary| primary.id == ended.id) {
            return;
        }
        let history = self.histories.entry(ended.service.clone()).or_default();
        history.record_departure(Lifetime::of(ended), self.revision);
    }

    pub(crate) fn insert(&mut self, server: Server) {
        self.servers_bytes += size(&server);
        if let Some(replaced) = self.servers.insert(server.id.clone(), server) {
            self.servers_bytes -= size(&replaced);
        }
    }

    fn remove(&mut self, id: &str, life: Life) -> Outcome {
        match self.servers.get(id) {
            Some(server) if server.life.born > life.born => Outcome::Superseded,
            Some(_) => {
                self.end_life(id, life);
                Outcome::Applied
            }
            None => Outcome::Superseded,
        }
    }

    fn end_life(&mut self, id: &str, life: Life) {
        if let Some(ended) = self.servers.get(id).cloned() {
            self.record_departure(&ended);
        }
        self.leaving.remove(id);
        if let Some(server) = self.servers.remove(id) {
            self.servers_bytes -= size(&server);
        }
        // Any later heartbeat of the same life is outdated, whatever its number.
        let life = Life {
            sequence: u64::MAX,
            ..life
        };
        let known = self.ended_lives.entry(id.to_owned()).or_default();
        *known = life.max(*known);
        while self.ended_lives.len() > MAX_ENDED_LIVES {
            let oldest = self.ended_lives.iter().min_by_key(|(_, life)| life.born);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                return;
            };
            self.ended_lives.remove(&id);
        }
    }
}

/// Upper bound of the size of a server in a message, in bytes.
fn size(server: &Server) -> usize {
    SERVER_OVERHEAD_BYTES + server.id.len() + server.service.len() + server.domain.as_str().len()
}
