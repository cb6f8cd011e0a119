//! The exchange between a caller and a target connection: which answer belongs to which request,
//! which answers are the entry's own, and which are held back until a write is known to be safe.

mod exchange;
pub mod probe;
pub mod statement;

pub use exchange::{Exchange, Failure, Progress};
