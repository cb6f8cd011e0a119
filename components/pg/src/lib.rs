//! PostgreSQL frames: borrowed views on what arrives, builders for what is sent.
//!
//! Frames pass through the entry unchanged in most cases, so that only the fields which decide
//! something are read, in place. Messages that the entry makes itself are encoded by libraries.

mod build;
mod frame;
mod front;
mod startup;

pub use build::*;
pub use frame::{Frame, Frames, HEADER, Invalid};
pub use front::{Kind, Message};
pub use startup::{Opening, Parameters, VERSION_3_0};

/// Transaction status that ReadyForQuery carries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Status {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed.
    Failed,
}

impl TryFrom<u8> for Status {
    type Error = Invalid;

    fn try_from(raw: u8) -> Result<Self, Invalid> {
        match raw {
            b'I' => Ok(Self::Idle),
            b'T' => Ok(Self::Open),
            b'E' => Ok(Self::Failed),
            _ => Err(Invalid::Body),
        }
    }
}

impl From<Status> for u8 {
    fn from(status: Status) -> Self {
        match status {
            Status::Idle => b'I',
            Status::Open => b'T',
            Status::Failed => b'E',
        }
    }
}
