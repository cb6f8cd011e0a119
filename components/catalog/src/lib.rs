//! Replicated state: settings tree, targets, terms, enrolled entries.
//!
//! Control instances and entries apply the same commands and so hold equal catalogs. Outcomes depend
//! on nothing else than the commands and their revisions.
//!
//! - A catalog serves one organisation, the first name of every path. Leases are settings of the
//!   organisation; all others are read at a target's path.
//! - A database has one group, since a group is what replicates from one primary. Its name is unique
//!   in the organisation.
//! - The mark of a retired target stays: a target that goes on announcing itself is still leaving.
//! - Floors of connections always fit: an entry, a setting or an announcement that would let all
//!   floors together exceed a limit is refused.

mod answers;
mod apply;

pub mod change;
pub mod command;
pub mod database;
#[rustfmt::skip]
mod generated;
pub mod path;
mod phase;
mod snapshot;
mod state;
pub mod target;
pub mod tree;

pub use change::{Change, Finding, Findings, Outcome, Winner};
pub use command::Command;
pub use database::{Database, Phase};
pub use generated::{Key, TABLE, Values};
pub use path::Path;
pub use state::Catalog;
pub use target::Target;
pub use tree::Tree;
