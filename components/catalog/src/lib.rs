//! Replicated state: settings tree, targets, terms of the databases, enrolled entry instances.
//!
//! Control and entry instances apply the same commands and therefore hold equal catalogs. The
//! outcome of a command depends only on the commands so far and their revisions.
//!
//! - A catalog belongs to one organisation, which is the first name of every path. The lease
//!   settings are read at the organisation's node, all other settings at a target's path.
//! - A database has exactly one group, because the targets of a group replicate from one primary.
//!   Database names are unique in the organisation.
//! - The state that operators set for a target outlives its retirement: a retired target that still
//!   announces itself is leaving, as before.
//! - Each entry instance may keep `connections.floor` connections to a target without a lease. An
//!   enrollment, a setting or an announcement is refused if the floors of all entry instances
//!   together would exceed the target's connection limit.

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
