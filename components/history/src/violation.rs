//! Violations of the consistency rules.

use std::fmt;

/// Rule that was violated.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// An acknowledged write is absent from the final state.
    Lost,
    /// A write is present more than once.
    Duplicate,
    /// A write that was refused without being run is present.
    Ran,
    /// A value that no write stored under this key is present.
    Foreign,
    /// A read lacks an acknowledged write of its own session.
    Own,
    /// A read lacks an acknowledged write that is older than the accepted age.
    Stale,
    /// Only a part of a transaction is present.
    Mixed,
    /// The history cannot be checked: it has no final state or more than one, or two writes with
    /// the same value.
    Incomplete,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    pub kind: Kind,
    /// Value of the affected write; 0 if there is none.
    pub value: u64,
    /// The affected key; 0 if there is none.
    pub key: u64,
    /// Time of sending in microseconds and session of the read that shows the violation; none for
    /// the final state.
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
            Some((sent_us, session)) => {
                write!(f, " in a read of session {session} at {sent_us} us")
            }
            None => write!(f, " in the final state"),
        }
    }
}
