//! Frames of the PostgreSQL protocol: borrowed views on received frames, encoders for sent ones.
//!
//! Most frames pass through the entry unchanged, so only the fields that the entry needs are decoded,
//! in place. Most messages that the entry sends itself are encoded by libraries.

mod encode;
mod frame;
mod message;
mod startup;

pub use encode::*;
pub use frame::{Error, Frame, Frames, HEADER_BYTES};
pub use message::{Message, Object};
pub use startup::{Parameters, Request, VERSION_3_0};

/// Transaction status in a ReadyForQuery.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Status {
    #[default]
    Idle,
    /// In a transaction that has not failed.
    Open,
    /// In a transaction that has failed.
    Failed,
}

impl TryFrom<u8> for Status {
    type Error = Error;

    fn try_from(raw: u8) -> Result<Self, Error> {
        match raw {
            b'I' => Ok(Self::Idle),
            b'T' => Ok(Self::Open),
            b'E' => Ok(Self::Failed),
            _ => Err(Error::Body),
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
