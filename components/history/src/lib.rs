//! Checker of operation histories.
//!
//! Each write stores a unique value, so that a value found in a read or in the final state
//! identifies the write that stored it.

mod check;
mod operation;
mod violation;

pub use check::check;
pub use operation::{Operation, Outcome, Read, Row, Write};
pub use violation::{Kind, Violation};
