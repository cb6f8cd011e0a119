//! Loop of a coordinator process: the replicated log with its disk, the registry of plans and
//! servers, the upkeep of the member list, and changes of primary. What callers of its HTTP
//! endpoint and the platform speak is behind the traits [`Api`] and [`Fleet`].

mod api;
mod event;
mod leadership;
mod log;
mod membership;
mod metrics;
pub mod neighbours;
mod process;
mod requests;
mod samples;
mod servers;
mod subscribers;

pub use api::{Api, Call, Reply};
pub use process::run;
pub use servers::Fleet;
