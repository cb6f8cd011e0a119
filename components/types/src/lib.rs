//! Validated core types shared by all crates.

pub mod database;
pub mod name;
pub mod point;
pub mod target;

pub use name::Name;
pub use point::{Lsn, Point, Term};

/// Position in the replicated log; identifies a version of the catalog.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Revision(pub u64);
