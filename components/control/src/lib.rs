//! Event loop of a control instance: the replicated log on its disk, the catalog built from it,
//! leases and quotas for entries, changes of primary, and the operators' HTTP API.

mod actions;
pub mod api;
mod entries;
mod entry_messages;
mod event;
pub mod introductions;
pub mod leader;
mod log;
mod membership;
mod metrics;
mod peers;
mod process;
mod renewal;
pub mod target;

pub use cluster::convert;
pub use process::run;
