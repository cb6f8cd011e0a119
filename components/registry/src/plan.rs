//! The operators' plan: which databases callers may name, and how their statements are placed.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// What reads of a route may see.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// Everything committed: only the primary serves.
    Latest,
    /// Everything that was committed longer than this ago.
    Aged(Duration),
    /// Like `Aged`, and everything that the session committed.
    Session(Duration),
}

impl Freshness {
    /// Age that a read accepts of others' commits.
    #[must_use]
    pub fn max_age(self) -> Duration {
        match self {
            Self::Latest => Duration::ZERO,
            Self::Aged(age) | Self::Session(age) => age,
        }
    }
}

/// How statements for one database name are served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Service whose servers run them.
    pub service: String,
    /// What reads may see.
    pub freshness: Freshness,
    /// Longest time for one statement.
    pub timeout: Duration,
    /// Response time that callers aim for.
    pub goal: Duration,
    /// Rank among waiting statements; 0 goes first.
    pub priority: u8,
}

/// A group of a primary and its replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Service {
    /// Connections that each server takes from all callers together.
    pub connections: u32,
    /// Replicas that have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// A checked plan.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Number of the plan; the highest one is in force.
    pub version: u64,
    /// Routes by the database name that callers give.
    pub routes: BTreeMap<String, Route>,
    /// Services by name. Invariant: holds every service that a route names.
    pub services: BTreeMap<String, Service>,
    /// How long a transaction may rest before it is ended; none if it may for ever.
    pub idle_limit: Option<Duration>,
}

/// Something wrong in a plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Where, as a path in the document.
    pub place: String,
    /// What is wrong.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.text)
    }
}

/// Reads plans from documents.
pub trait Format {
    /// Reads and checks a document.
    ///
    /// # Errors
    /// Returns everything that is wrong with it.
    fn read(body: &[u8]) -> Result<Plan, Vec<Finding>>;
}
