//! What the choice of a target is based on.

use std::time::{Duration, Instant};

use session::Needs;
use types::target::{Role, State};
use types::{Point, Term};

use crate::Track;

/// Last position heard from a target: a lower bound of where it is now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Observed {
    /// The position.
    pub point: Point,
    /// When it was observed.
    pub at: Instant,
}

/// A target of the database. Free of borrows, so that an entry can keep a list of them up to date
/// instead of building one for each statement.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The entry's index of the target.
    pub target: usize,
    /// The target is in the entry's own failure domain.
    pub local: bool,
    /// What operators and the target's owner let it do; the stricter of the two.
    pub state: State,
    /// Role that the target announces.
    pub role: Role,
    /// Last position heard from it.
    pub observed: Option<Observed>,
    /// It answers, as far as the entry knows.
    pub up: bool,
    /// The entry itself hears its announcements.
    pub heard: bool,
    /// Statements of this entry that run or wait there.
    pub load: u32,
    /// Connections that the entry's quota allows there.
    pub connections: u32,
}

/// Where the database stands in a change of primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The primary takes writes under [`View::term`].
    Open {
        /// The entry's index of the primary.
        primary: usize,
    },
    /// Fenced; with a hold, writes wait for the new primary until this instant.
    Fenced {
        /// End of the hold of a planned switch.
        hold: Option<Instant>,
    },
    /// There is no primary.
    Absent,
}

/// State of one database as an entry sees it.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Targets of the database.
    pub candidates: &'a [Candidate],
    /// Observations of the primary.
    pub track: &'a Track,
    /// The last term in the database's history.
    pub term: Term,
    /// Phase of a change of primary.
    pub phase: Phase,
    /// The entry's lease is valid now.
    pub lease: bool,
}

/// Kind of work, as far as the choice of a target depends on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A read outside a transaction.
    Read,
    /// Anything that the primary must run.
    Write,
    /// The start of a transaction.
    Begin {
        /// The transaction is declared read-only and may run on a replica.
        read_only: bool,
    },
}

/// One statement to place.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Kind of work.
    pub kind: Kind,
    /// What the session needs.
    pub needs: Needs,
    /// Age that the caller accepts; `None`: only the session rule applies.
    pub max_age: Option<Duration>,
    /// Target of the open transaction.
    pub bound: Option<usize>,
    /// Until when a read may wait for a replica (arrival plus `read.wait_ms`).
    pub wait_until: Instant,
    /// Until when the statement may wait at all (arrival plus `queue.max_wait_ms`).
    pub deadline: Instant,
}

impl Request {
    /// The statement may run on a replica.
    #[must_use]
    pub const fn reads(&self) -> bool {
        matches!(self.kind, Kind::Read | Kind::Begin { read_only: true })
    }
}
