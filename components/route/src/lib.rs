//! Routing: choice of a target for a statement.

pub mod choice;
pub mod freshness;
pub mod share;
pub mod view;

pub use choice::{Choice, Reason, choose};
pub use freshness::Positions;
pub use share::Share;
pub use view::{Candidate, Kind, Observed, Phase, Request, View};
