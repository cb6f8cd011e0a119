//! Class and fingerprint of SQL statements.
//!
//! The class decides where a statement may run, so every rule errs on the strict side: a statement
//! is a read only if its tokens and its parse show it to be one. A text that does not parse is a
//! write, so that the target reports the error.

pub mod cache;
pub mod class;
pub mod fingerprint;
mod function;
mod scan;
mod set;

pub use cache::Cache;
pub use class::{Binding, Class, Kind, classify};
pub use fingerprint::Fingerprint;
pub use set::is_kept;
