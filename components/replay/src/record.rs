//! Results that a run records.

use std::collections::BTreeMap;

use history::Operation;

use crate::measure::Attempt;

/// Final status of a statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Status {
    /// It was acknowledged.
    Done,
    /// It did not run. Holds the SQLSTATE, `connect` if no entry accepted the connection, or `closed`
    /// if the connection was closed.
    NotRun(String),
    /// Its outcome is unknown.
    Unknown,
}

/// One statement of the trace. Times are microseconds from the start of the trace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sample {
    /// Index of the shape.
    pub shape: usize,
    /// Index of the database.
    pub database: usize,
    /// Number of the caller.
    pub caller: u64,
    /// Index of the entry that the caller was connected to.
    pub entry: usize,
    /// Intended start.
    pub due_us: u64,
    /// When it was sent to the entry; the caller sends one statement at a time.
    pub sent_us: u64,
    /// Arrival of the answer at the caller.
    pub answered_us: u64,
    pub status: Status,
}

impl Sample {
    /// Latency from the intended start, so that it includes the wait before sending.
    #[must_use]
    pub const fn latency_us(&self) -> u64 {
        self.answered_us.saturating_sub(self.due_us)
    }

    /// The part of the sample that gaps are computed from.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        Attempt {
            due_us: self.due_us,
            answered_us: self.answered_us,
            done: self.is_done(),
        }
    }

    #[must_use]
    pub fn is_done(&self) -> bool {
        self.status == Status::Done
    }
}

/// Values of the counter `batches_total` of one entry at one instant, by `reason`: the kind of
/// statement and where it ran.
pub type Counters = BTreeMap<String, u64>;

/// Counters of each entry; `None` for an entry that did not reply.
pub type Scrape = Vec<Option<Counters>>;

/// Callers that a fault or a change affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Callers of the database with this index.
    Database(usize),
    /// Callers that were connected to the entry with this index.
    Entry(usize),
    /// All callers.
    All,
}

/// A fault or a change that was signalled to the starting script.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// When it was signalled.
    pub at_us: u64,
    /// Action and name of the process.
    pub text: String,
    pub scope: Scope,
}

/// Everything recorded in one run.
#[derive(Debug, Default)]
pub struct Run {
    /// Statements in the order of their answers.
    pub samples: Vec<Sample>,
    /// Operations of each database.
    pub histories: Vec<Vec<Operation>>,
    /// Faults and changes, sorted by time.
    pub faults: Vec<Fault>,
    /// Counters of each entry at the start and the end of each window.
    pub counters: BTreeMap<String, (Scrape, Scrape)>,
    /// Statements without an answer when the run was ended.
    pub unanswered: u64,
    /// Problems of the player, not of the system.
    pub notes: Vec<String>,
}
