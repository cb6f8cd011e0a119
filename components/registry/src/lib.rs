//! State that the coordinators replicate through their log (the operators' plan, the registered
//! servers and the chosen primaries), and the failover decisions based on it.

pub mod convert;
mod delta;
pub mod failover;
pub mod history;
pub mod plan;
pub mod sample;
pub mod server;
pub mod state;
pub mod tenant;
pub mod watermark;

pub use failover::Machine;
pub use history::History;
pub use plan::Plan;
pub use sample::Sample;
pub use server::{Life, Server};
pub use state::{Order, Outcome, Registry};
pub use tenant::Tenant;
pub use watermark::Watermark;
