//! Findings.

use std::fmt;

/// What is wrong.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// An acknowledged write is absent from the final state.
    Lost,
    /// A write is present more than once.
    Duplicate,
    /// A write that was answered "not run" is present.
    Ran,
    /// A value that nobody wrote to this key is present.
    Foreign,
    /// A read lacks an acknowledged write of its own session.
    Own,
    /// A read lacks a write that is older than the accepted age.
    Stale,
    /// Only a part of a transaction is present.
    Mixed,
    /// The history has no final state, or more than one.
    Incomplete,
}

/// A broken rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// What is wrong.
    pub kind: Kind,
    /// Value of the write concerned; 0 if there is none.
    pub value: u64,
    /// The key concerned.
    pub key: u64,
    /// Instant and session of the read that shows it; none for the final state.
    pub read: Option<(u64, u64)>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            kind,
            value,
            key,
            read,
        } = self;
        write!(f, "{kind:?}: value {value} of key {key}")?;
        match read {
            Some((at, session)) => write!(f, " in a read of session {session} at {at} us"),
            None => write!(f, " in the final state"),
        }
    }
}
