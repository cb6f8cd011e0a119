//! Loop of a control process: the replicated log with its disk, the catalog, leases for entries,
//! and changes of primary.

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
