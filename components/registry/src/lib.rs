//! State of the coordinators' replicated log, and the decisions on it: the operators' plan, the
//! servers that announce themselves and their lives, and changes of primary.

pub mod convert;
mod delta;
pub mod failover;
pub mod plan;
pub mod sample;
pub mod server;
pub mod state;

pub use failover::Machine;
pub use plan::Plan;
pub use sample::Sample;
pub use server::{Life, Server};
pub use state::{Order, Outcome, Registry};
