//! Checker of operation histories.
//!
//! Every write has a value of its own, so that a value found in a read or in the final state names
//! the write that it came from.

mod check;
mod operation;
mod violation;

pub use check::check;
pub use operation::{Operation, Outcome, Read, Row, Write};
pub use violation::{Kind, Violation};
