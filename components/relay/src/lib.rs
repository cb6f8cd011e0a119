//! The exchange of messages between a caller and a target connection: matches answers to requests,
//! generates answers for requests that the target does not see, and holds back the answers to a
//! write until it is known to be safe.

mod exchange;
mod expected;
mod failure;
mod hold;
mod name_journal;
pub mod probe;
pub mod statement;

pub use exchange::{Exchange, Progress};
pub use failure::Failure;
