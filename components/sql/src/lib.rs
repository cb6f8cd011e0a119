//! Classification and fingerprints of SQL statements.
//!
//! The classification decides where a statement may run, so every rule is conservative: a statement
//! counts as a read only if both its tokens and its syntax prove it. A text that does not parse
//! counts as a write, so that the target reports the error.

pub mod cache;
pub mod classification;
pub mod fingerprint;
mod function;
mod set_statement;
mod statement_tokens;

pub use cache::Cache;
pub use classification::{Binding, Classification, Kind, classify};
pub use fingerprint::Fingerprint;
pub use set_statement::is_session_parameter;
