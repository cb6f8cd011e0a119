//! What a run records.

use std::collections::BTreeMap;

use history::Operation;

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
    /// Intended start.
    pub due_us: u64,
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

    /// It is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.answer == Answer::Done
    }
}

/// Counters of the entries at one instant, by what was answered and where it ran.
pub type Counters = BTreeMap<String, u64>;

/// Everything recorded in one run.
#[derive(Debug, Default)]
pub struct Run {
    /// Statements by the order of their answers.
    pub samples: Vec<Sample>,
    /// Operations of each database.
    pub history: Vec<Vec<Operation>>,
    /// Faults and changes as they were passed on: time, text, and the target's database if one.
    pub faults: Vec<(u64, String, Option<usize>)>,
    /// Counters at the start and the end of each window.
    pub counters: BTreeMap<String, (Counters, Counters)>,
    /// Statements without an answer when the run was ended.
    pub unanswered: u64,
    /// Problems of the player itself.
    pub notes: Vec<String>,
}
