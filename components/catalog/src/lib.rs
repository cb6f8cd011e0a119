//! Replicated state: settings tree, targets, terms, enrolled entries.
//!
//! Control instances and entries apply the same commands and so hold equal catalogs.

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
