//! Subcommands.

pub mod check;
pub mod explain;
pub mod members;
pub mod settings;
pub mod status;
pub mod switch;
pub mod targets;
