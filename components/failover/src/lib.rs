//! Health of targets and changes of primary.
//!
//! [`Machine`] decides each step and performs no I/O; the control leader executes its
//! actions. The leader must ensure that:
//!
//! - [`Signals::verdict`] is about the database's current primary. A watcher reports silence as the
//!   time since the target last answered as the primary of the current term.
//! - [`Signals::fenced`] is the lease table's answer for the revision at which the current phase
//!   began, and is computed anew for each step.
//! - Only the leader of the replicated log's current epoch sends promotions, and only to a target
//!   whose term is earlier than the one it is promoted for.
//! - The start of a term that is reported after a promotion is where the new timeline branched off.
//!   A later position, such as the current one, would hide writes that the promotion discarded.
//! - A leaving replica is retired only once every entry instance has the catalog revision that
//!   marked it as leaving and another replica covers what the primary had written by then. Until
//!   then, the selection of a primary needs its answer.

pub mod change;
pub mod health;
mod selection;
mod state;
mod step;

pub use change::{Action, Machine, Signals, Stage, Stall};
pub use health::{Health, Verdict};
pub use selection::Position;
