//! Health of targets and changes of primary.
//!
//! [`Machine`] decides, the control leader carries out. What the leader has to keep to:
//!
//! - [`Signals::verdict`] is about the database's present primary. A watcher reports silence as the
//!   time since the target last answered as the primary of the present term.
//! - [`Signals::fenced`] is the grants table's answer for the revision at which the present phase
//!   began, and is asked again for each step.
//! - Promotions are sent by the leader that holds the log's epoch, and only to a target whose term is
//!   earlier than the one it is promoted for.
//! - The start of a term that is reported after a promotion is where the new timeline branched off.
//!   A later position, such as the present one, would hide writes that the promotion discarded.
//! - A leaving replica is retired only once every entry has the revision of its mark and another
//!   replica covers what the primary had written by then: until then, the choice of a primary needs
//!   its answer.

pub mod change;
pub mod health;
mod selection;
mod state;
mod step;

pub use change::{Action, Machine, Reason, Signals, Stage};
pub use health::{Verdict, Watch};
pub use selection::Position;
