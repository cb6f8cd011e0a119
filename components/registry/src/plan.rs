//! The operators' plan: the database names that callers may use, and how statements for them are
//! routed.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::tenant::Tenant;

/// How old the data may be that reads of a route see.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// No staleness: only the primary serves reads.
    Latest,
    /// Reads see at least all commits older than this.
    Aged(Duration),
    /// Like `Aged`, and in addition all commits of the own session.
    Session(Duration),
}

impl Freshness {
    /// Time after which a read must see the commits of other sessions.
    #[must_use]
    pub fn max_age(self) -> Duration {
        match self {
            Self::Latest => Duration::ZERO,
            Self::Aged(age) | Self::Session(age) => age,
        }
    }
}

/// How statements for one database name are routed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Service whose servers run the statements.
    pub service: String,
    pub freshness: Freshness,
    /// Time limit of one statement.
    pub timeout: Duration,
    /// Response time objective for statements.
    pub goal: Duration,
    /// Queue priority; 0 is served first.
    pub priority: u8,
    /// Sessions need no key of a tenant.
    pub public: bool,
}

/// A primary with its replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Service {
    /// Limit of the connections to each server, over all callers together.
    pub connections: u32,
    /// Number of replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// A validated plan.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// The highest version is in force.
    pub version: u64,
    /// Routes by the database name that callers give.
    pub routes: BTreeMap<String, Route>,
    /// Services by name. Invariant: contains every service that a route names.
    pub services: BTreeMap<String, Service>,
    /// Tenants by name. Invariant: no two share a key.
    pub tenants: BTreeMap<String, Tenant>,
    /// Time after which an idle transaction is ended; `None` for no limit.
    pub idle_limit: Option<Duration>,
}

/// An error in a plan document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Path in the document.
    pub place: String,
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.text)
    }
}

/// A document format of plans.
pub trait Format {
    /// Parses and validates a document.
    ///
    /// # Errors
    /// Returns all errors found in the document.
    fn read(body: &[u8]) -> Result<Plan, Vec<Finding>>;
}
