//! The exchange between a caller and a target connection: which answer belongs to which request,
//! which answers are the entry's own, and which are held back until a write is known to be safe.

mod exchange;
mod expected;
mod failure;
mod hold;
mod naming;
pub mod probe;
pub mod statement;

pub use exchange::{Exchange, Progress};
pub use failure::Failure;
