//! Event loop of a coordinator process: the replicated log and its storage, the registry of plans and
//! servers, maintenance of the member list, and changes of primary. The encoding of HTTP requests is
//! behind the trait [`Api`], the protocols of servers and of the platform behind [`Connection`].
//!
//! Entries are the processes that take callers' connections; the crate `proxy` implements them.

mod acknowledge;
mod api;
mod changes;
mod event;
mod leadership;
mod lists;
mod log;
mod membership;
mod metrics;
pub mod neighbours;
mod process;
mod rate;
mod requests;
mod samples;
mod servers;
mod streams;
mod subscribers;

pub use api::{Api, Call, Reply};
pub use process::run;
pub use servers::Connection;
