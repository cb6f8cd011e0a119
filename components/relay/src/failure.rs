//! Errors that end an exchange.

use std::fmt;

use pg::Invalid;

/// Why an exchange cannot continue. The target connection must be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// A frame that violates the protocol.
    Frame(Invalid),
    /// An answer that no request asked for, by its message type.
    Unexpected(u8),
    /// The answers to a write exceed the hold limit.
    TooLarge,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Frame(invalid) => invalid.fmt(f),
            Self::Unexpected(tag) => write!(f, "unexpected answer {:?}", char::from(*tag)),
            Self::TooLarge => f.write_str("answers to a write exceed what can be held back"),
        }
    }
}

impl std::error::Error for Failure {}

impl From<Invalid> for Failure {
    fn from(invalid: Invalid) -> Self {
        Self::Frame(invalid)
    }
}
