//! Events of a trace after repetitions are unfolded.

use crate::format::{Action, State, Weight};

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Intended start, in microseconds from the start of the trace.
    pub at_us: u64,
    /// What happens.
    pub what: What,
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A caller connects.
    Arrive {
        /// Number of the caller.
        caller: u64,
        /// Index of the entry.
        entry: usize,
        /// Index of the database.
        database: usize,
    },
    /// A caller goes on at another entry.
    Move {
        /// Number of the caller.
        caller: u64,
        /// Index of the entry.
        entry: usize,
    },
    /// A caller sends a statement.
    Statement(Job),
    /// A process fails or returns.
    Fault {
        /// What is done to it.
        action: Action,
        /// Its name.
        process: String,
    },
    /// An operator sets the state of a target.
    Change {
        /// Its name.
        target: String,
        /// Its new state.
        state: State,
    },
}

/// A statement of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Number of the caller.
    pub caller: u64,
    /// Index of the shape.
    pub shape: usize,
    /// Key.
    pub key: u64,
    /// Weight.
    pub weight: Weight,
    /// Age that the caller accepts.
    pub max_age_ms: Option<u64>,
}
