//! Health of targets and changes of primary.

pub mod change;
mod choice;
pub mod health;
mod step;
mod work;

pub use change::{Action, Machine, Reason, Signals, Stage};
pub use choice::Position;
pub use health::{Verdict, Watch};
