//! Input of the choice of a target.

use std::time::{Duration, Instant};

use session::Needs;
use types::target::{Role, State};
use types::{Point, Term};

use crate::Positions;

/// Last position received from a target: a lower bound of its current position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Observed {
    pub point: Point,
    /// When the position was requested.
    pub at: Instant,
}

/// A target of the database. Contains no borrows, so that an entry can keep and update a list of
/// candidates instead of building one for each statement.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index of the target in the entry.
    pub target: usize,
    /// The target is in the entry's failure domain.
    pub same_domain: bool,
    /// The stricter of the states set by the operators and by the target's owner.
    pub state: State,
    /// Role in the last answer of the target.
    pub role: Role,
    pub observed: Option<Observed>,
    /// The target answered the entry recently.
    pub reachable: bool,
    /// The entry itself receives the announcements of the target.
    pub announced_directly: bool,
    /// Number of statements of this entry that run or wait on the target.
    pub load: u32,
    /// Number of connections to the target that the entry's quota allows.
    pub connections: u32,
}

/// State of the database with regard to a change of primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The primary takes writes under [`View::term`].
    Open {
        /// Index of the primary in the entry.
        primary: usize,
    },
    /// Fenced: no primary takes writes.
    Fenced {
        /// Until when writes wait for the new primary of a planned switch.
        hold: Option<Instant>,
    },
    /// The database is unknown, or has no primary yet.
    Absent,
}

/// State of one database as known to an entry.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    pub candidates: &'a [Candidate],
    /// Observed positions of the primary.
    pub primary_positions: &'a Positions,
    /// Latest term in the database's history.
    pub term: Term,
    pub phase: Phase,
    /// Whether the entry's lease is valid.
    pub has_lease: bool,
}

/// Kind of a statement, as far as the choice of a target depends on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A read outside a transaction.
    Read,
    /// Any statement that the primary must run.
    Write,
    /// The start of a transaction.
    Begin {
        /// The transaction is declared read-only and may run on a replica.
        read_only: bool,
    },
}

/// A statement to route.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub kind: Kind,
    /// Position that the session requires.
    pub needs: Needs,
    /// Largest age of the data that the caller accepts; `None` for no limit.
    pub max_age: Option<Duration>,
    /// Target of the open transaction.
    pub bound_target: Option<usize>,
    /// Until when a read may wait for a replica (arrival plus `read.wait_ms`).
    pub wait_until: Instant,
    /// Until when the statement may wait at all (arrival plus `queue.max_wait_ms`).
    pub deadline: Instant,
}

impl Request {
    /// Whether the statement may run on a replica.
    #[must_use]
    pub const fn may_use_replica(&self) -> bool {
        matches!(self.kind, Kind::Read | Kind::Begin { read_only: true })
    }
}
