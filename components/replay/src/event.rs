//! Events of a trace, with repetitions expanded.

use crate::format::{Action, State, Weight};

#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Intended start, in microseconds from the start of the trace.
    pub at_us: u64,
    pub payload: Payload,
}

/// Content of an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// A caller connects.
    Arrive {
        /// Number of the caller.
        caller: u64,
        /// Index of the entry.
        entry: usize,
        /// Index of the database.
        database: usize,
    },
    /// A caller reconnects to another entry.
    Move {
        /// Number of the caller.
        caller: u64,
        /// Index of the entry.
        entry: usize,
    },
    /// A caller sends a statement.
    Statement(Query),
    /// A process is killed, frozen, continued or restarted.
    Fault {
        /// What is done to the process.
        action: Action,
        /// Name of the process.
        process: String,
    },
    /// An operator sets the state of a target.
    Change {
        /// Name of the target.
        target: String,
        /// New state of the target.
        state: State,
    },
}

/// A statement that a caller sends.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Number of the caller.
    pub caller: u64,
    /// Index of the shape.
    pub shape: usize,
    pub key: u64,
    pub weight: Weight,
    /// Largest age of data that the caller accepts.
    pub max_age_ms: Option<u64>,
}
