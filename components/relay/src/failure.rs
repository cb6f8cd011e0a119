//! Errors that end an exchange.

use std::fmt;

use pg::Error;

/// Why an exchange cannot continue. The target connection must be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// A received frame violates the protocol.
    Protocol(Error),
    /// An answer that no request asked for, by its message type.
    Unexpected(u8),
    /// The answers to a write exceed the hold limit.
    TooLarge,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Protocol(error) => error.fmt(f),
            Self::Unexpected(tag) => write!(f, "unexpected answer {:?}", char::from(*tag)),
            Self::TooLarge => f.write_str("answers to a write exceed what can be held back"),
        }
    }
}

impl std::error::Error for Failure {}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self::Protocol(error)
    }
}
