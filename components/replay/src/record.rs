//! What a run records.

use std::collections::BTreeMap;

use history::Operation;

use crate::measure::Attempt;

/// What became of a statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It is done.
    Done,
    /// It did not run; the SQLSTATE, or `connect` if no entry took the caller.
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
    /// Index of the entry that it was at.
    pub entry: usize,
    /// Intended start.
    pub due_us: u64,
    /// When the caller was free to send it.
    pub sent_us: u64,
    /// Arrival of the answer at the caller.
    pub answered_us: u64,
    /// What became of it.
    pub answer: Answer,
}

impl Sample {
    /// Latency from the intended start, so that waiting before the sending counts.
    #[must_use]
    pub const fn latency_us(&self) -> u64 {
        self.answered_us.saturating_sub(self.due_us)
    }

    /// What a gap depends on.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        Attempt {
            due_us: self.due_us,
            answered_us: self.answered_us,
            done: self.is_done(),
        }
    }

    /// It is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.answer == Answer::Done
    }
}

/// Counters of an entry at one instant, by what was answered and where it ran.
pub type Counters = BTreeMap<String, u64>;

/// Counters of each entry; none from one that did not reply.
pub type Scrape = Vec<Option<Counters>>;

/// Whose callers a fault or a change concerns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// Those of the database with this index.
    Database(usize),
    /// Those that were at the entry with this index.
    Entry(usize),
    /// All.
    All,
}

/// A fault or a change as it was passed on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// When that was.
    pub at_us: u64,
    /// What was done to which process.
    pub text: String,
    /// Whom it concerns.
    pub place: Place,
}

/// Everything recorded in one run.
#[derive(Debug, Default)]
pub struct Run {
    /// Statements by the order of their answers.
    pub samples: Vec<Sample>,
    /// Operations of each database.
    pub history: Vec<Vec<Operation>>,
    /// Faults and changes by rising time.
    pub faults: Vec<Fault>,
    /// Counters of each entry at the start and the end of each window.
    pub counters: BTreeMap<String, (Scrape, Scrape)>,
    /// Statements without an answer when the run was ended.
    pub unanswered: u64,
    /// Problems of the player itself.
    pub notes: Vec<String>,
}
