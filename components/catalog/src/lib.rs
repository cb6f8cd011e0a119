//! Replicated state: settings tree, targets, terms, enrolled entries.
//!
//! Control instances and entries apply the same commands and so hold equal catalogs.

mod answers;
mod apply;
pub mod catalog;
pub mod change;
pub mod command;
pub mod database;
#[rustfmt::skip]
mod generated;
pub mod path;
mod phase;
mod snapshot;
pub mod target;
pub mod tree;

pub use catalog::Catalog;
pub use change::{Change, Finding, Findings, Outcome, Winner};
pub use command::Command;
pub use database::{Database, Phase};
pub use generated::{Key, TABLE, Values};
pub use path::Path;
pub use target::Target;
pub use tree::Tree;
