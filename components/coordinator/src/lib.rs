//! Loop of a coordinator process: the replicated log with its disk, the registry of plans and
//! servers, the upkeep of the member list, and changes of primary. What callers of its HTTP
//! endpoint and the platform speak is behind the traits [`Api`] and [`Fleet`].

mod api;
mod event;
mod fleet;
mod lead;
mod log;
mod membership;
mod metrics;
pub mod neighbours;
mod process;
mod samples;
mod serve;
mod subscribers;

pub use api::{Api, Call, Reply};
pub use fleet::Fleet;
pub use process::run;
